//! Acknowledgement barriers: the balancer sends a marker and waits until a proxy holds the tables sent before it.
//!
//! A file has no acknowledgement. A proxy that publishes its status says which version it holds; one that never
//! does is assumed to hold what was written for it after a second. A rejected version acknowledges
//! nothing.

use crate::publication::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wheelspread::ids::{MarkerId, ProxyId};
use wheelspread::time::{Moment, Span};
use wheelspread::Event;

/// The design's wait for an acknowledgement (DESIGN-wheelspread.md).
const ASSUMED_APPLIED_AFTER: Duration = Duration::from_secs(1);
/// Markers that wait for one proxy; the balancer gives up older ones by itself.
const MAX_PENDING_MARKERS: usize = 64;

/// A version that a proxy holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    /// The version.
    pub version: Version,
    /// Since when it is known.
    pub since: Moment,
}

#[derive(Clone, Debug)]
struct PendingMarker {
    marker: MarkerId,
    version: Version,
    sent_at: Moment,
}

#[derive(Clone, Debug, Default)]
struct ProxyAcknowledgements {
    pending: VecDeque<PendingMarker>,
    /// What was last delivered to it.
    delivered: Option<AppliedVersion>,
    /// The newest version that it said it holds; `None` while it never published a status.
    reported: Option<Version>,
    reported_at: Option<Moment>,
    rejected: Option<Version>,
    /// It reads a stream, where silence and rejections are waited for no longer than a silent file reader.
    reads_stream: bool,
}

impl ProxyAcknowledgements {
    /// The delivered version, if it is assumed to be held. A proxy that is silent, or rejects for good, holds up
    /// nobody else: after the wait the balancer goes on without it.
    fn assumed_version(&self, now: Moment) -> Option<Version> {
        let delivered = self.delivered?;
        let has_responded = self.reported.is_some() || self.rejected >= Some(delivered.version);
        let is_overdue = now - delivered.since >= assumed_applied_after();
        (is_overdue && (self.reads_stream || !has_responded)).then_some(delivered.version)
    }

    /// When its delivered version may be assumed to be held, if a marker waits for that.
    fn wake_at(&self) -> Option<Moment> {
        let is_waiting = (self.reported.is_none() || self.reads_stream) && !self.pending.is_empty();
        self.delivered
            .filter(|_| is_waiting)
            .map(|delivered| delivered.since + assumed_applied_after())
    }
}

fn assumed_applied_after() -> Span {
    Span::from_seconds(ASSUMED_APPLIED_AFTER.as_secs_f64())
}

/// The markers that wait for each proxy, and what each is known to hold.
#[derive(Clone, Debug, Default)]
pub struct Acknowledgements {
    proxies: BTreeMap<ProxyId, ProxyAcknowledgements>,
}

impl Acknowledgements {
    /// The balancer wants to know when the proxy holds `version`.
    pub fn request(&mut self, now: Moment, proxy: ProxyId, marker: MarkerId, version: Version) {
        let pending = &mut self.proxies.entry(proxy).or_default().pending;
        if pending.len() >= MAX_PENDING_MARKERS {
            pending.pop_front();
        }
        pending.push_back(PendingMarker {
            marker,
            version,
            sent_at: now,
        });
    }

    /// A version was written for the proxy, or sent to it.
    pub fn on_delivered(&mut self, now: Moment, proxy: ProxyId, version: Version) {
        self.proxies.entry(proxy).or_default().delivered = Some(AppliedVersion {
            version,
            since: now,
        });
    }

    /// The proxy said that it holds a version.
    pub fn on_reported(&mut self, now: Moment, proxy: ProxyId, version: Version) {
        let state = self.proxies.entry(proxy).or_default();
        if state.reported < Some(version) {
            (state.reported, state.reported_at) = (Some(version), Some(now));
        }
    }

    /// The proxy said that it rejects a version.
    pub fn on_rejected(&mut self, proxy: ProxyId, version: Version) {
        self.proxies.entry(proxy).or_default().rejected = Some(version);
    }

    /// The proxy reads a stream from now on: it says by itself what it holds.
    pub fn on_subscribed(&mut self, proxy: ProxyId) {
        let state = self.proxies.entry(proxy).or_default();
        state.reads_stream = true;
        state.reported = state.reported.max(Some(Version(0)));
    }

    /// The version that a proxy said it holds or, if it never did, that was written for it.
    pub fn applied(&self, proxy: ProxyId) -> Option<AppliedVersion> {
        let state = self.proxies.get(&proxy)?;
        match (state.reported, state.reported_at) {
            (Some(version), Some(since)) => Some(AppliedVersion { version, since }),
            _ => state.delivered.filter(|_| !state.reads_stream),
        }
    }

    /// The last version that a proxy rejected.
    pub fn rejected(&self, proxy: ProxyId) -> Option<Version> {
        self.proxies.get(&proxy)?.rejected
    }

    /// The proxy's stream broke: its markers stay unacknowledged, and it has to report a status anew.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// Markers that are acknowledged by now, in the order in which they were sent to each proxy.
    pub fn take_acknowledged(&mut self, now: Moment) -> Vec<Event> {
        let mut events = Vec::new();
        for (proxy, state) in &mut self.proxies {
            let held = state.reported.max(state.assumed_version(now));
            while let Some(pending) = state
                .pending
                .pop_front_if(|pending| Some(pending.version) <= held)
            {
                events.push(Event::MarkerAcknowledged {
                    proxy: *proxy,
                    marker: pending.marker,
                    latency: now - pending.sent_at,
                });
            }
        }
        events
    }

    /// When a version may next be assumed to be held.
    pub fn wake_at(&self) -> Option<Moment> {
        self.proxies
            .values()
            .filter_map(ProxyAcknowledgements::wake_at)
            .min()
    }
}

#[cfg(test)]
mod tests;
