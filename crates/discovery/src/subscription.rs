//! The subscription of a stream to one type: names, resources that the client holds, and the response in flight.

use crate::ack::{AckEffect, AckState, NonceKind};
use crate::message::{Request, RequestBody};
use crate::resource::{Checksum, Resource, ResourceName, ResourceType};
use crate::resource_delta::ResourceDelta;
use crate::resource_filter::{is_pattern, ResourceFilter, WILDCARD};
use crate::snapshot::Snapshot;
use crate::snapshot_cache::{DeltaKey, SnapshotCache};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread_controller_core::publication::Version;

/// The resources of a type that a client holds.
#[derive(Clone, Debug)]
pub(crate) enum ClientResources {
    /// No resources yet.
    Nothing,
    /// Resources from an earlier stream that the client declared on this one: versions by name.
    Declared(BTreeMap<String, String>),
    /// The resources of a snapshot, which the client acknowledged.
    Snapshot(Arc<Snapshot>),
}

/// The progress of a type towards the newest snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// The client holds the newest snapshot.
    UpToDate,
    /// The newest snapshot is in flight.
    InFlight,
    /// An earlier response is in flight: types later in the send order have to wait.
    Blocked,
    /// The client rejected the newest snapshot.
    Rejected,
    /// A response has to be sent.
    Behind,
}

/// The subscription of a stream to one type.
#[derive(Debug)]
pub(crate) struct Subscription {
    pub(crate) resource_type: ResourceType,
    pub(crate) state: AckState,
    pub(crate) is_delta: bool,
    pub(crate) filter: ResourceFilter,
    /// The fingerprint of `filter`.
    fingerprint: Checksum,
    /// Names subscribed to since the last response; their resources are sent even if they were sent before.
    pub(crate) pending_names: BTreeSet<String>,
    pub(crate) last_nonce: u64,
    /// The snapshot of the response that is not acknowledged or rejected yet.
    pub(crate) in_flight: Option<Arc<Snapshot>>,
    pub(crate) held: ClientResources,
    pub(crate) rejected: Option<Version>,
    /// Resources that are missing from the newest snapshot, which the client keeps until no other resource refers to
    /// them.
    pub(crate) deferred_removals: BTreeMap<ResourceName, Option<Resource>>,
}

impl Subscription {
    /// Creates a subscription without names, in the protocol variant of its first request.
    pub(crate) fn new(request: &Request) -> Subscription {
        Subscription {
            resource_type: request.resource_type,
            state: AckState::Idle,
            is_delta: matches!(request.body, RequestBody::Delta { .. }),
            filter: ResourceFilter::default(),
            fingerprint: ResourceFilter::default().fingerprint(),
            pending_names: BTreeSet::new(),
            last_nonce: 0,
            in_flight: None,
            held: ClientResources::Nothing,
            rejected: None,
            deferred_removals: BTreeMap::new(),
        }
    }

    /// Whether the client subscribes to any resource.
    pub(crate) fn is_active(&self) -> bool {
        !self.filter.is_empty()
    }

    /// Whether a response is in flight.
    pub(crate) fn awaits_ack(&self) -> bool {
        self.state == AckState::AwaitingAck
    }

    /// The progress towards the newest snapshot.
    pub(crate) fn progress(&self, newest: &Snapshot) -> Progress {
        let is_newest = |snapshot: &Arc<Snapshot>| snapshot.version == newest.version;
        let is_in_flight = self.in_flight.as_ref().is_some_and(is_newest);
        let is_held = matches!(&self.held, ClientResources::Snapshot(held) if is_newest(held));
        let nothing_pending = self.pending_names.is_empty();
        match self.state {
            AckState::AwaitingAck if is_in_flight && nothing_pending => Progress::InFlight,
            AckState::AwaitingAck => Progress::Blocked,
            AckState::Idle if self.rejected == Some(newest.version) => Progress::Rejected,
            AckState::Idle if is_held && nothing_pending => Progress::UpToDate,
            AckState::Idle => Progress::Behind,
        }
    }

    /// Classifies a request's nonce; `last_stream_nonce` is the last nonce sent on the stream, of any type.
    pub(crate) fn classify_nonce(&self, request: &Request, last_stream_nonce: u64) -> NonceKind {
        if request.nonce.is_empty() {
            return NonceKind::Empty;
        }
        match request.nonce.parse::<u64>() {
            Ok(nonce) if nonce > 0 && nonce == self.last_nonce => match request.error {
                None => NonceKind::Latest,
                Some(_) => NonceKind::LatestWithError,
            },
            Ok(nonce) if nonce > 0 && nonce <= last_stream_nonce => NonceKind::Older,
            _ => NonceKind::Unknown,
        }
    }

    /// In the state-of-the-world variant an ACK names the version that was sent; a request with another version is
    /// handled as a NACK.
    pub(crate) fn check_acknowledged_version(
        &self,
        request: &Request,
        effect: AckEffect,
    ) -> AckEffect {
        let (RequestBody::StateOfTheWorld { version, .. }, Some(sent)) =
            (&request.body, &self.in_flight)
        else {
            return effect;
        };
        if effect == AckEffect::Acknowledge && *version != sent.version.0.to_string() {
            return AckEffect::Reject;
        }
        effect
    }

    /// Applies a request's names to the filter; returns whether the filter changed.
    pub(crate) fn update_filter(&mut self, request: &Request, is_first: bool) -> bool {
        let before = self.filter.clone();
        match &request.body {
            RequestBody::StateOfTheWorld { names, .. } => self.replace_names(names, is_first),
            RequestBody::Delta {
                subscribe,
                unsubscribe,
                initial_versions,
            } => {
                if is_first {
                    self.begin_delta(subscribe, initial_versions);
                }
                self.add_names(subscribe, initial_versions, is_first);
                self.remove_names(unsubscribe);
            }
        }
        let changed = before != self.filter;
        if changed {
            self.fingerprint = self.filter.fingerprint();
        }
        changed
    }

    fn replace_names(&mut self, names: &[String], is_first: bool) {
        // For complete-set types, an empty list of a client that has not yet listed names subscribes to every resource.
        // After a list with names, an empty list subscribes to nothing.
        let implied_wildcard = self.resource_type.is_complete_set()
            && names.is_empty()
            && (is_first || self.filter.wildcard);
        let wildcard = implied_wildcard || names.iter().any(|name| name == WILDCARD);
        let names = names
            .iter()
            .filter(|name| *name != WILDCARD)
            .cloned()
            .collect();
        let before = std::mem::replace(&mut self.filter, ResourceFilter { wildcard, names });
        let added = self.filter.names.difference(&before.names);
        self.pending_names
            .extend(added.filter(|name| !before.matches(name)).cloned());
        if wildcard && !before.wildcard && !is_first {
            self.pending_names.insert(WILDCARD.to_string());
        }
    }

    fn begin_delta(&mut self, subscribe: &[String], initial_versions: &BTreeMap<String, String>) {
        self.filter.wildcard = self.resource_type.is_complete_set() && subscribe.is_empty();
        if !initial_versions.is_empty() {
            self.held = ClientResources::Declared(initial_versions.clone());
        }
    }

    fn add_names(
        &mut self,
        subscribe: &[String],
        initial_versions: &BTreeMap<String, String>,
        is_first: bool,
    ) {
        for name in subscribe {
            if name == WILDCARD {
                self.filter.wildcard = true;
            } else {
                self.filter.names.insert(name.clone());
            }
            // For a pattern in the first request, the delta against the held resources is sent instead.
            let is_initial_pattern = is_first && is_pattern(name);
            if !is_initial_pattern && !initial_versions.contains_key(name) {
                self.pending_names.insert(name.clone());
            }
        }
    }

    fn remove_names(&mut self, unsubscribe: &[String]) {
        for name in unsubscribe {
            if name == WILDCARD {
                self.filter.wildcard = false;
            }
            self.filter.names.remove(name);
            self.pending_names.remove(name);
        }
    }

    /// The delta from the held resources to a snapshot, and its key if other clients may get the same delta.
    pub(crate) fn delta_to(
        &self,
        newest: &Snapshot,
        cache: &mut SnapshotCache,
    ) -> (Arc<ResourceDelta>, Option<DeltaKey>) {
        let resource_type = self.resource_type;
        let held = match &self.held {
            ClientResources::Declared(versions) => {
                let delta = ResourceDelta::from_declared_versions(
                    resource_type,
                    versions,
                    newest,
                    &self.filter,
                );
                return (Arc::new(delta), None);
            }
            ClientResources::Nothing => None,
            ClientResources::Snapshot(held) => Some(&**held),
        };
        let (delta, key) = cache.delta(resource_type, held, newest, &self.filter, self.fingerprint);
        (delta, Some(key))
    }
}
