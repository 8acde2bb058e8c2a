//! Builds the response that updates the client of a subscription from the resources it holds to a snapshot.

use crate::ack::AckState;
use crate::message::Response;
use crate::resource::{Checksum, Resource, ResourceName};
use crate::resource_delta::{cloned, ResourceDelta};
use crate::resource_filter::{is_pattern, ResourceFilter, WILDCARD};
use crate::snapshot::Snapshot;
use crate::snapshot_cache::DeltaKey;
use crate::subscription::{ClientResources, Subscription};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Builds a response and marks the snapshot as in flight.
pub(crate) fn build_response(
    subscription: &mut Subscription,
    snapshot: &Arc<Snapshot>,
    delta: &ResourceDelta,
    delta_key: Option<DeltaKey>,
    nonce: u64,
) -> Response {
    let mut builder = ResponseBuilder {
        changed: delta.changed.clone(),
        removed: delta.removed.clone(),
        delta_key,
        subscription,
        snapshot,
    };
    builder.add_pending_names();
    builder.defer_removals();
    builder.complete_state_of_the_world();
    builder.send(nonce, delta.resulting_checksum)
}

struct ResponseBuilder<'a> {
    subscription: &'a mut Subscription,
    snapshot: &'a Arc<Snapshot>,
    changed: Vec<(ResourceName, Resource)>,
    removed: Vec<ResourceName>,
    delta_key: Option<DeltaKey>,
}

impl ResponseBuilder<'_> {
    /// Adds resources that the client has subscribed to since the last response, whether they changed or not.
    fn add_pending_names(&mut self) {
        let pending = std::mem::take(&mut self.subscription.pending_names);
        if pending.is_empty() {
            return;
        }
        let resources = self.snapshot.resources(self.subscription.resource_type);
        let already_listed: BTreeSet<ResourceName> =
            self.changed.iter().map(|(name, _)| name.clone()).collect();
        let pending = ResourceFilter {
            wildcard: pending.contains(WILDCARD),
            names: pending,
        };
        let added = resources
            .iter()
            .filter(|(name, _)| pending.matches(name) && !already_listed.contains(*name));
        let listed_before = self.changed.len() + self.removed.len();
        self.changed.extend(cloned(added));
        // In the incremental variant a name without a resource is listed as removed, so that the client does not wait
        // for it.
        if self.subscription.is_delta {
            let missing = pending
                .names
                .iter()
                .filter(|name| !is_pattern(name) && !resources.contains_key(name.as_str()));
            self.removed
                .extend(missing.map(|name| ResourceName::from(name.as_str())));
        }
        // The added resources depend on this client's subscription changes, so the response can't be shared.
        if self.changed.len() + self.removed.len() != listed_before {
            self.delta_key = None;
        }
    }

    /// Defers the removal of clusters and listeners until no other resource of the client refers to them.
    fn defer_removals(&mut self) {
        let resource_type = self.subscription.resource_type;
        if !resource_type.is_complete_set() {
            return;
        }
        let held = match &self.subscription.held {
            ClientResources::Snapshot(held) => Some(held.clone()),
            ClientResources::Nothing | ClientResources::Declared(_) => None,
        };
        for name in std::mem::take(&mut self.removed) {
            let resource = held
                .as_ref()
                .and_then(|held| held.resources(resource_type).get(&name))
                .cloned();
            self.subscription.deferred_removals.insert(name, resource);
        }
    }

    /// In the state-of-the-world variant a response never lists removed names, and for complete-set types it lists all
    /// resources.
    fn complete_state_of_the_world(&mut self) {
        if self.subscription.is_delta {
            return;
        }
        self.removed.clear();
        let resource_type = self.subscription.resource_type;
        if !resource_type.is_complete_set() {
            return;
        }
        let resources = self.snapshot.resources(resource_type);
        let filter = &self.subscription.filter;
        self.changed = cloned(resources.iter().filter(|(name, _)| filter.matches(name)));
        let still_kept = self
            .subscription
            .deferred_removals
            .iter()
            .filter(|(name, _)| !resources.contains_key(*name))
            .filter_map(|(name, resource)| Some((name.clone(), resource.clone()?)));
        self.changed.extend(still_kept);
    }

    fn send(self, nonce: u64, resulting_checksum: Checksum) -> Response {
        let subscription = self.subscription;
        subscription.state = AckState::AwaitingAck;
        subscription.last_nonce = nonce;
        subscription.in_flight = Some(self.snapshot.clone());
        // With deferred removals the client holds more resources than the snapshot, so the checksum would not match.
        let is_exact = subscription.deferred_removals.is_empty();
        Response {
            resource_type: subscription.resource_type,
            nonce,
            version: self.snapshot.version,
            is_delta: subscription.is_delta,
            changed: self.changed,
            removed: self.removed,
            resulting_checksum: is_exact.then_some(resulting_checksum),
            delta_key: self.delta_key.filter(|_| is_exact),
        }
    }
}
