//! Acknowledgement barriers: the balancer sends a version marker and waits until a proxy holds the tables sent
//! before it.
//!
//! Files carry no acknowledgement. A proxy that reports its status says which version it holds. A proxy that never
//! reports one is assumed to hold a version one second after it was written. A rejected version acknowledges no
//! marker, but a stream reader that rejects it is waited for only one second.

use crate::publication::Version;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use wheelspread::ids::{MarkerId, ProxyId};
use wheelspread::time::{Moment, Span};
use wheelspread::Event;

/// Time after a delivery at which a version is assumed to be applied, as specified in DESIGN-wheelspread.md.
const ASSUMED_APPLIED_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of pending markers per proxy. The oldest is dropped beyond it, as the balancer stops waiting for
/// old markers by itself.
const MAX_PENDING_MARKERS: usize = 64;

/// A version that a proxy holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AppliedVersion {
    /// The version.
    pub version: Version,
    /// When it became known that the proxy holds it.
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
    /// The version last delivered to the proxy.
    delivered: Option<AppliedVersion>,
    /// The newest version that the proxy reported to hold; `None` if it never reported a status.
    reported: Option<Version>,
    reported_at: Option<Moment>,
    rejected: Option<Version>,
    /// Whether the proxy reads a stream. If it is silent or rejects a version, it is waited for no longer than a
    /// silent proxy that reads files.
    reads_stream: bool,
}

impl ProxyAcknowledgements {
    /// The delivered version, if the proxy is assumed to hold it. After the wait this applies to a file reader that
    /// neither reported a status nor rejected the version, and to every stream reader, so that a proxy that is
    /// silent or keeps rejecting versions does not block the balancer.
    fn assumed_version(&self, now: Moment) -> Option<Version> {
        let delivered = self.delivered?;
        let has_responded = self.reported.is_some() || self.rejected >= Some(delivered.version);
        let is_overdue = now - delivered.since >= assumed_applied_after();
        (is_overdue && (self.reads_stream || !has_responded)).then_some(delivered.version)
    }

    /// When the delivered version may be assumed to be applied, if a marker is pending.
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

/// The pending markers of each proxy, and the versions that proxies are known to hold.
#[derive(Clone, Debug, Default)]
pub struct Acknowledgements {
    proxies: BTreeMap<ProxyId, ProxyAcknowledgements>,
}

impl Acknowledgements {
    /// Adds a marker that is acknowledged once the proxy holds `version`.
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

    /// The proxy reported that it holds a version.
    pub fn on_reported(&mut self, now: Moment, proxy: ProxyId, version: Version) {
        let state = self.proxies.entry(proxy).or_default();
        if state.reported < Some(version) {
            (state.reported, state.reported_at) = (Some(version), Some(now));
        }
    }

    /// The proxy reported that it rejects a version.
    pub fn on_rejected(&mut self, proxy: ProxyId, version: Version) {
        self.proxies.entry(proxy).or_default().rejected = Some(version);
    }

    /// The proxy reads a stream from now on, by which it reports the version that it holds.
    pub fn on_subscribed(&mut self, proxy: ProxyId) {
        let state = self.proxies.entry(proxy).or_default();
        state.reads_stream = true;
        state.reported = state.reported.max(Some(Version(0)));
    }

    /// The version that a proxy reported to hold. For a proxy that reads files and never reported one, the version
    /// last written for it.
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

    /// Forgets a proxy whose stream ended. Its pending markers are never acknowledged, and its earlier status no
    /// longer counts.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// Removes the markers that are acknowledged by now, and returns their events in the order in which the markers
    /// were sent to each proxy.
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

    /// When the next version may be assumed to be applied.
    pub fn wake_at(&self) -> Option<Moment> {
        self.proxies
            .values()
            .filter_map(ProxyAcknowledgements::wake_at)
            .min()
    }
}

#[cfg(test)]
mod tests;
