//! All discovery streams of a controller: the proxy of each stream, the snapshot offered to it, the version that its
//! client acknowledged and when, and the reaction to rejections.

use crate::message::{Request, RequestOutcome, Response};
use crate::rejection::{RejectionResponse, RejectionTracker};
use crate::snapshot::Snapshot;
use crate::snapshot_cache::SnapshotCache;
use crate::stream::{Stream, MAX_SUBSCRIBED_NAMES};
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::{BundleId, Version};

/// Limits on discovery streams.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryLimits {
    /// How many versions have room for their deltas in the cache.
    pub cached_versions: usize,
    /// The maximum number of subscription changes of a stream within `subscription_change_window`. Above it, responses
    /// wait.
    pub max_subscription_changes: u32,
    /// The window over which subscription changes are counted.
    pub subscription_change_window: Span,
    /// If a client has had responses in flight without interruption for longer than this, it counts as unresponsive.
    pub ack_timeout: Span,
    /// How long ordinary changes of a table set are paused after a majority of clients rejected a version; the pause
    /// doubles with each further rejected version.
    pub rejection_pause: Span,
}

/// An event on a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// The client acknowledged this version for every type that it subscribes to.
    VersionAcknowledged {
        /// The client.
        proxy: ProxyId,
        /// The version.
        version: Version,
    },
    /// The client rejected this version.
    VersionRejected {
        /// The client.
        proxy: ProxyId,
        /// The version.
        version: Version,
        /// The client's reason.
        reason: String,
        /// How the controller has to react.
        response: RejectionResponse,
    },
    /// A request referred to a response that was not sent on its stream.
    UnknownNonce {
        /// The client.
        proxy: ProxyId,
        /// The description of the unknown nonce.
        text: String,
    },
    /// The stream has to be closed.
    CloseRequired {
        /// The stream.
        stream: StreamId,
        /// The reason, which is sent to the client.
        reason: String,
    },
}

/// A version that a client acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcknowledgedVersion {
    /// The version.
    pub version: Version,
    /// When it was acknowledged.
    pub since: Moment,
}

#[derive(Debug)]
struct OpenStream {
    proxy: ProxyId,
    stream: Stream,
    /// The last acknowledged version that was reported.
    acknowledged: Option<AcknowledgedVersion>,
    awaiting_ack_since: Option<Moment>,
}

/// All discovery streams of a controller.
#[derive(Debug)]
pub struct DiscoveryStreams {
    limits: DiscoveryLimits,
    cache: SnapshotCache,
    streams: BTreeMap<StreamId, OpenStream>,
    rejections: RejectionTracker,
    stale_requests: u64,
}

/// A stream is closed after more requests than this with an unknown nonce.
const MAX_UNKNOWN_NONCES: u32 = 10;

impl DiscoveryStreams {
    /// Creates the state of a controller without open streams.
    pub fn new(limits: DiscoveryLimits) -> DiscoveryStreams {
        DiscoveryStreams {
            cache: SnapshotCache::new(limits.cached_versions),
            rejections: RejectionTracker::new(limits.rejection_pause),
            limits,
            streams: BTreeMap::new(),
            stale_requests: 0,
        }
    }

    /// Adds a stream that a proxy opened.
    pub fn open(&mut self, stream: StreamId, proxy: ProxyId) {
        let limits = &self.limits;
        let opened = OpenStream {
            proxy,
            stream: Stream::new(
                limits.max_subscription_changes,
                limits.subscription_change_window,
            ),
            acknowledged: None,
            awaiting_ack_since: None,
        };
        self.streams.insert(stream, opened);
    }

    /// Removes a stream that ended.
    pub fn close(&mut self, stream: StreamId) {
        if let Some(closed) = self.streams.remove(&stream) {
            self.rejections.remove_proxy(closed.proxy);
        }
    }

    /// Whether no stream is open.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// The newest snapshots and cached deltas.
    pub fn cache(&self) -> &SnapshotCache {
        &self.cache
    }

    /// The number of requests that were stale: their nonce was not that of the last response of the type.
    pub fn stale_requests(&self) -> u64 {
        self.stale_requests
    }

    /// The last version that a stream's client acknowledged, and when.
    pub fn acknowledged_version(&self, stream: StreamId) -> Option<AcknowledgedVersion> {
        self.streams.get(&stream)?.acknowledged
    }

    /// Makes a snapshot the newest of a stream.
    pub fn offer(&mut self, stream: StreamId, snapshot: &Arc<Snapshot>) {
        self.cache.insert(snapshot.clone());
        if let Some(open) = self.streams.get_mut(&stream) {
            open.stream.offer(snapshot.clone());
        }
    }

    /// The time until which ordinary changes of a table set are paused; `None` if they are not.
    pub fn changes_paused_until(&self, bundle: BundleId) -> Option<Moment> {
        self.rejections.changes_paused_until(bundle)
    }

    /// Streams whose next response waits because their subscriptions changed too often.
    pub fn rate_limited_streams(&self) -> Vec<StreamId> {
        self.streams
            .iter()
            .filter(|(_, open)| open.stream.is_rate_limited())
            .map(|(id, _)| *id)
            .collect()
    }

    /// Streams whose client has had responses in flight for longer than `ack_timeout`.
    pub fn unresponsive_streams(&self, now: Moment) -> Vec<StreamId> {
        let is_late = |open: &OpenStream| {
            open.awaiting_ack_since
                .is_some_and(|since| now - since > self.limits.ack_timeout)
        };
        self.streams
            .iter()
            .filter(|(_, open)| is_late(open))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Handles a request on a stream and returns the events that it causes.
    pub fn handle_request(
        &mut self,
        now: Moment,
        id: StreamId,
        request: &Request,
    ) -> Vec<StreamEvent> {
        let mut events = Vec::new();
        let Some(open) = self.streams.get_mut(&id) else {
            return events;
        };
        match open.stream.handle_request(now, request) {
            RequestOutcome::Subscribed | RequestOutcome::Acknowledged => {}
            RequestOutcome::Stale => self.stale_requests += 1,
            RequestOutcome::UnknownNonce(text) => on_unknown_nonce(id, open, text, &mut events),
            RequestOutcome::Rejected { version, reason } => {
                self.on_rejected(now, id, version, reason, &mut events);
            }
        }
        self.after_request(now, id, &mut events);
        events
    }

    fn on_rejected(
        &mut self,
        now: Moment,
        id: StreamId,
        version: Version,
        reason: String,
        events: &mut Vec<StreamEvent>,
    ) {
        let Some(open) = self.streams.get(&id) else {
            return;
        };
        let Some(bundle) = open.stream.newest().map(|newest| newest.bundle) else {
            return;
        };
        let proxy = open.proxy;
        let response = self.rejections.on_nack(now, bundle, version, proxy);
        events.push(StreamEvent::VersionRejected {
            proxy,
            version,
            reason: reason.clone(),
            response,
        });
        if response == RejectionResponse::RestartStream(proxy) {
            events.push(StreamEvent::CloseRequired {
                stream: id,
                reason: format!("the client rejected several versions in a row: {reason}"),
            });
        }
    }

    fn after_request(&mut self, now: Moment, id: StreamId, events: &mut Vec<StreamEvent>) {
        let Some(open) = self.streams.get_mut(&id) else {
            return;
        };
        if open.stream.subscribed_names() > MAX_SUBSCRIBED_NAMES {
            events.push(StreamEvent::CloseRequired {
                stream: id,
                reason: format!("more than {MAX_SUBSCRIBED_NAMES} resource names subscribed to"),
            });
        }
        if !open.stream.awaits_ack() {
            open.awaiting_ack_since = None;
        }
        self.report_acknowledged(now, id, events);
    }

    /// Returns the next response of a stream whose connection is writable, if one is due.
    pub fn next_response(
        &mut self,
        now: Moment,
        id: StreamId,
        events: &mut Vec<StreamEvent>,
    ) -> Option<Response> {
        let open = self.streams.get_mut(&id)?;
        let response = open.stream.next_response(now, &mut self.cache);
        if response.is_some() {
            open.awaiting_ack_since.get_or_insert(now);
        }
        // A version that changes nothing for the client is acknowledged without a response.
        self.report_acknowledged(now, id, events);
        response
    }

    fn report_acknowledged(&mut self, now: Moment, id: StreamId, events: &mut Vec<StreamEvent>) {
        let Some(open) = self.streams.get_mut(&id) else {
            return;
        };
        let Some(version) = open.stream.acknowledged_version() else {
            return;
        };
        if open.acknowledged.map(|last| last.version) == Some(version) {
            return;
        }
        let since = now;
        open.acknowledged = Some(AcknowledgedVersion { version, since });
        let proxy = open.proxy;
        events.push(StreamEvent::VersionAcknowledged { proxy, version });
        if let Some(newest) = open.stream.newest() {
            self.rejections.on_ack(now, newest.bundle, version, proxy);
        }
    }
}

fn on_unknown_nonce(id: StreamId, open: &OpenStream, text: String, events: &mut Vec<StreamEvent>) {
    events.push(StreamEvent::UnknownNonce {
        proxy: open.proxy,
        text: text.clone(),
    });
    if open.stream.unknown_nonces() > MAX_UNKNOWN_NONCES {
        events.push(StreamEvent::CloseRequired {
            stream: id,
            reason: text,
        });
    }
}
