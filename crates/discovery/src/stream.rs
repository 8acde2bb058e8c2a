//! The state of one discovery stream.
//!
//! At most one response of each type is in flight. Changes in the meantime are not queued: the next response leads
//! from the resources that the client then holds to the newest snapshot. While an older response of a type awaits its
//! acknowledgement, types later in the send order, which may refer to it, wait; types before it do not.

use crate::ack::AckEffect;
use crate::message::{Request, RequestOutcome, Response};
use crate::resource::{ResourceType, SEND_ORDER};
use crate::resource_delta::ResourceDelta;
use crate::response_builder::build_response;
use crate::snapshot::Snapshot;
use crate::snapshot_cache::SnapshotCache;
use crate::subscription::{ClientResources, Progress, Subscription};
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::publication::Version;

/// The maximum number of names that a stream may subscribe to, over all types.
pub const MAX_SUBSCRIBED_NAMES: usize = 2000;
/// The number of buckets of the window in which subscription changes are counted.
const RATE_WINDOW_BUCKETS: usize = 20;
/// The maximum number of characters of an unknown nonce in its report.
const MAX_REPORTED_NONCE_CHARS: usize = 40;

/// The state of one discovery stream.
#[derive(Debug)]
pub struct Stream {
    subscriptions: BTreeMap<ResourceType, Subscription>,
    newest: Option<Arc<Snapshot>>,
    last_nonce: u64,
    /// Subscription changes. The pacing of table versions does not limit the responses that they cause.
    subscription_changes: RollingWindow<f64>,
    max_subscription_changes: f64,
    unknown_nonces: u32,
    is_rate_limited: bool,
}

impl Stream {
    /// Creates a stream whose subscriptions may change `max_subscription_changes` times within `window`; 0 counts as 1.
    pub fn new(max_subscription_changes: u32, window: Span) -> Stream {
        let bucket_width = Span::from_seconds(window.seconds() / RATE_WINDOW_BUCKETS as f64);
        Stream {
            subscriptions: BTreeMap::new(),
            newest: None,
            last_nonce: 0,
            subscription_changes: RollingWindow::new(bucket_width, RATE_WINDOW_BUCKETS + 2),
            max_subscription_changes: f64::from(max_subscription_changes.max(1)),
            unknown_nonces: 0,
            is_rate_limited: false,
        }
    }

    /// Makes a snapshot the newest. An earlier snapshot that was not sent yet is skipped.
    pub fn offer(&mut self, snapshot: Arc<Snapshot>) {
        self.newest = Some(snapshot);
    }

    /// The newest snapshot.
    pub fn newest(&self) -> Option<&Arc<Snapshot>> {
        self.newest.as_ref()
    }

    /// The number of names that the client subscribes to, over all types.
    pub fn subscribed_names(&self) -> usize {
        self.subscriptions
            .values()
            .map(|subscription| subscription.filter.names.len())
            .sum()
    }

    /// The number of requests that referred to a response that was not sent on this stream.
    pub fn unknown_nonces(&self) -> u32 {
        self.unknown_nonces
    }

    /// Whether the next response waits because subscriptions changed too often.
    pub fn is_rate_limited(&self) -> bool {
        self.is_rate_limited
    }

    /// Whether a response is in flight.
    pub fn awaits_ack(&self) -> bool {
        self.subscriptions.values().any(Subscription::awaits_ack)
    }

    /// The version that the client acknowledged for every type that it subscribes to; `None` if versions differ.
    pub fn acknowledged_version(&self) -> Option<Version> {
        let mut common = None;
        let active = self
            .subscriptions
            .values()
            .filter(|subscription| subscription.is_active());
        for subscription in active {
            let ClientResources::Snapshot(held) = &subscription.held else {
                return None;
            };
            match common {
                None if !subscription.awaits_ack() => common = Some(held.version),
                Some(version) if version == held.version => {}
                _ => return None,
            }
        }
        common
    }

    /// Handles a request: subscriptions, an ACK or a NACK.
    pub fn handle_request(&mut self, now: Moment, request: &Request) -> RequestOutcome {
        let is_first = !self.subscriptions.contains_key(&request.resource_type);
        let subscription = self
            .subscriptions
            .entry(request.resource_type)
            .or_insert_with(|| Subscription::new(request));
        let nonce = subscription.classify_nonce(request, self.last_nonce);
        let (next_state, effect) = subscription.state.on_request(nonce);
        let effect = subscription.check_acknowledged_version(request, effect);
        // A stale request of the state-of-the-world variant is ignored, including its subscriptions.
        if effect != AckEffect::Ignore || subscription.is_delta {
            let changed = subscription.update_filter(request, is_first);
            if changed && !is_first {
                self.subscription_changes.add(now, 1.0);
            }
        }
        subscription.state = next_state;
        match effect {
            AckEffect::Subscribe => RequestOutcome::Subscribed,
            AckEffect::Ignore => RequestOutcome::Stale,
            AckEffect::Acknowledge => acknowledge(subscription),
            AckEffect::Reject => reject(subscription, request),
            AckEffect::ReportUnknownNonce => {
                self.unknown_nonces += 1;
                let nonce: String = request
                    .nonce
                    .chars()
                    .take(MAX_REPORTED_NONCE_CHARS)
                    .collect();
                RequestOutcome::UnknownNonce(format!(
                    "the request refers to nonce `{nonce}`, which was not sent on this stream"
                ))
            }
        }
    }

    /// Returns the next response, if one is due, and marks it as sent.
    pub fn next_response(&mut self, now: Moment, cache: &mut SnapshotCache) -> Option<Response> {
        let newest = self.newest.clone()?;
        self.is_rate_limited = self.subscription_changes.total(now) > self.max_subscription_changes;
        if self.is_rate_limited {
            return None;
        }
        let last_type = self.last_active_type()?;
        for resource_type in SEND_ORDER {
            let subscription = self.subscriptions.get_mut(&resource_type);
            let Some(subscription) = subscription.filter(|subscription| subscription.is_active())
            else {
                continue;
            };
            match subscription.progress(&newest) {
                Progress::UpToDate | Progress::InFlight | Progress::Rejected => continue,
                Progress::Blocked => return None,
                Progress::Behind => {}
            }
            let (delta, key) = subscription.delta_to(&newest, cache);
            if delta.is_empty() && !must_respond(subscription, last_type) {
                subscription.held = ClientResources::Snapshot(newest.clone());
                continue;
            }
            self.last_nonce += 1;
            let nonce = self.last_nonce;
            return Some(build_response(subscription, &newest, &delta, key, nonce));
        }
        self.deferred_removal(&newest)
    }

    /// The last type in the send order that the client subscribes to.
    fn last_active_type(&self) -> Option<ResourceType> {
        let is_active = |resource_type: &ResourceType| {
            self.subscriptions
                .get(resource_type)
                .is_some_and(Subscription::is_active)
        };
        SEND_ORDER.into_iter().rfind(is_active)
    }

    /// Returns the response that removes the deferred resources, once no response is in flight any more.
    fn deferred_removal(&mut self, newest: &Arc<Snapshot>) -> Option<Response> {
        let awaits_ack =
            |subscription: &Subscription| subscription.is_active() && subscription.awaits_ack();
        if self.subscriptions.values().any(awaits_ack) {
            return None;
        }
        let subscription = self
            .subscriptions
            .values_mut()
            .find(|subscription| !subscription.deferred_removals.is_empty())?;
        let deferred = std::mem::take(&mut subscription.deferred_removals);
        let resource_type = subscription.resource_type;
        let unchanged = ResourceDelta::unchanged(resource_type, newest, &subscription.filter);
        self.last_nonce += 1;
        let mut response = build_response(subscription, newest, &unchanged, None, self.last_nonce);
        if response.is_delta {
            let resources = newest.resources(resource_type);
            response.removed = deferred
                .into_keys()
                .filter(|name| !resources.contains_key(name))
                .collect();
        }
        Some(response)
    }
}

/// Whether a response is due although the delta is empty.
fn must_respond(subscription: &Subscription, last_type: ResourceType) -> bool {
    let resource_type = subscription.resource_type;
    // An incremental client gets a response of its last type for every version, which marks the version as complete.
    let completes_version = subscription.is_delta && resource_type == last_type;
    let is_initial = matches!(subscription.held, ClientResources::Nothing)
        && (resource_type.is_complete_set() || subscription.is_delta);
    completes_version || is_initial || !subscription.pending_names.is_empty()
}

fn acknowledge(subscription: &mut Subscription) -> RequestOutcome {
    let Some(snapshot) = subscription.in_flight.take() else {
        return RequestOutcome::Subscribed;
    };
    subscription.held = ClientResources::Snapshot(snapshot);
    RequestOutcome::Acknowledged
}

/// Handles a NACK: the client still holds the resources from before the response.
fn reject(subscription: &mut Subscription, request: &Request) -> RequestOutcome {
    let in_flight = subscription.in_flight.take();
    let version = in_flight.map_or(Version(0), |snapshot| snapshot.version);
    subscription.rejected = Some(version);
    let other_version = || "the ACK names another version than the response had".to_string();
    let reason = request.error.clone().unwrap_or_else(other_version);
    RequestOutcome::Rejected { version, reason }
}
