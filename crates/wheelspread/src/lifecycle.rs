//! The lifecycle of nodes, driven by the endpoint list and the clock.
//!
//! Nodes that take no new requests are removed from tables at once. All other changes of tables are made in steps.

use crate::config::Config;
use crate::ids::{KindId, NodeId, ZoneId};
use crate::node_load::NodeLoad;
use crate::time::{Moment, Span};
use crate::{EndpointEntry, EndpointStatus};
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// A node's lifecycle state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lifecycle {
    /// Not in the endpoint list.
    Unlisted,
    /// Started recently: has only a part of its full capacity.
    WarmingUp,
    /// Takes new requests at full capacity.
    Ready,
    /// Finishes the requests in flight and takes no new ones.
    Draining,
}

/// An input of the lifecycle, from the endpoint list or the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LifecycleInput {
    /// Listed as ready without a recent restart.
    ListedReady,
    /// Listed as ready with a process that started recently.
    Restarted,
    /// Listed as draining.
    ListedDraining,
    /// Listed as gone, or missing from a complete list.
    Removed,
    /// The warm-up time has passed.
    WarmedUp,
}

/// The measurements of a node that a transition keeps or discards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Measurements {
    /// Keeps all measurements.
    Keep,
    /// Keeps the node's load; discards what zones observed at the node.
    DiscardPaths,
    /// Discards the node's load and what zones observed at the node: measurements of the old process do not apply to a
    /// restarted one.
    DiscardAll,
}

/// The next state; `None` if the input does not change the state.
fn transition(state: Lifecycle, input: LifecycleInput) -> Option<(Lifecycle, Measurements)> {
    use Lifecycle::{Draining, Ready, Unlisted, WarmingUp};
    use Measurements::{DiscardAll, DiscardPaths, Keep};
    match (input, state) {
        (LifecycleInput::ListedReady, Unlisted | Draining) => Some((Ready, DiscardPaths)),
        (LifecycleInput::ListedReady, WarmingUp | Ready) => None,
        (LifecycleInput::Restarted, _) => Some((WarmingUp, DiscardAll)),
        (LifecycleInput::ListedDraining, Unlisted | WarmingUp | Ready) => Some((Draining, Keep)),
        (LifecycleInput::ListedDraining, Draining) => None,
        (LifecycleInput::Removed, WarmingUp | Ready | Draining) => Some((Unlisted, DiscardPaths)),
        (LifecycleInput::Removed, Unlisted) => None,
        (LifecycleInput::WarmedUp, WarmingUp) => Some((Ready, Keep)),
        (LifecycleInput::WarmedUp, Unlisted | Ready | Draining) => None,
    }
}

/// A node that is or was in an endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    zone: ZoneId,
    kind: KindId,
    weight: f64,
    started: Option<Moment>,
    state: Lifecycle,
    /// Time of the last change of `state`.
    changed_at: Moment,
    /// The node's load by its load reports.
    pub load: NodeLoad,
}

impl Node {
    fn new(entry: &EndpointEntry, now: Moment) -> Node {
        Node {
            zone: entry.zone,
            kind: entry.kind,
            weight: 1.0,
            started: entry.started,
            state: Lifecycle::Unlisted,
            changed_at: now,
            load: NodeLoad::default(),
        }
    }

    /// The node's zone.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// The node's machine type.
    pub fn kind(&self) -> KindId {
        self.kind
    }

    /// The node's listed weight; 1 if the listed value was not finite or not above 0.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether the node takes new requests at full capacity.
    pub fn is_ready(&self) -> bool {
        self.state == Lifecycle::Ready
    }

    /// Whether the node is warming up.
    pub fn is_warming(&self) -> bool {
        self.state == Lifecycle::WarmingUp
    }

    /// Whether the node takes new requests: warming or ready.
    pub fn is_open(&self) -> bool {
        matches!(self.state, Lifecycle::WarmingUp | Lifecycle::Ready)
    }

    /// The node's age as a ratio of the warm-up time, at most 1.
    fn warm_up_progress(&self, warm_up: Span, now: Moment) -> f64 {
        let total = warm_up.seconds().max(1e-3);
        self.started
            .map_or(1.0, |at| ((now - at).seconds().max(0.0) / total).min(1.0))
    }

    /// The minimum ratio of its full capacity that the node has at `now`.
    pub fn capacity_ratio(&self, config: &Config, now: Moment) -> f64 {
        let start = config.warm_up_start_ratio;
        if self.is_warming() {
            start + (1.0 - start) * self.warm_up_progress(config.warm_up, now)
        } else {
            1.0
        }
    }
}

/// All nodes that are or were in an endpoint list, by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Nodes {
    by_id: BTreeMap<NodeId, Node>,
}

impl Nodes {
    /// Updates a node from an entry of an endpoint list; returns the input for the node's lifecycle. A ready entry is a
    /// restart if its process started less than `warm_up` ago and the node was not open or had another start time.
    pub fn on_entry(
        &mut self,
        entry: &EndpointEntry,
        warm_up: Span,
        now: Moment,
    ) -> LifecycleInput {
        let previous = self.by_id.get(&entry.node);
        let is_recent_start = entry.started.is_some_and(|at| now - at < warm_up);
        let is_restart = is_recent_start
            && previous.is_none_or(|node| node.started != entry.started || !node.is_open());
        let node = self
            .by_id
            .entry(entry.node)
            .or_insert_with(|| Node::new(entry, now));
        (node.zone, node.kind) = (entry.zone, entry.kind);
        let has_weight = entry.weight.is_finite() && entry.weight > 0.0;
        node.weight = if has_weight { entry.weight } else { 1.0 };
        if entry.status == EndpointStatus::Ready {
            node.started = entry.started;
        }
        match entry.status {
            EndpointStatus::Gone => LifecycleInput::Removed,
            EndpointStatus::Draining => LifecycleInput::ListedDraining,
            EndpointStatus::Ready if is_restart => LifecycleInput::Restarted,
            EndpointStatus::Ready => LifecycleInput::ListedReady,
        }
    }

    /// Moves a node to its next state; returns which measurements to keep, or `None` if the state did not change.
    pub fn apply(
        &mut self,
        id: NodeId,
        input: LifecycleInput,
        now: Moment,
    ) -> Option<Measurements> {
        let node = self.by_id.get_mut(&id)?;
        let (state, measurements) = transition(node.state, input)?;
        (node.state, node.changed_at) = (state, now);
        if measurements == Measurements::DiscardAll {
            node.load.reset();
        }
        Some(measurements)
    }

    /// Known nodes that are missing from a complete list.
    pub fn missing_from(&self, entries: &[EndpointEntry]) -> Vec<NodeId> {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        self.by_id
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect()
    }

    /// Warming nodes whose warm-up time has passed.
    pub fn warmed_up(&self, warm_up: Span, now: Moment) -> Vec<NodeId> {
        self.iter()
            .filter(|(_, node)| node.is_warming() && node.warm_up_progress(warm_up, now) >= 1.0)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Removes unlisted nodes whose last change of state is not recent. Nodes in `with_entries`, which have table
    /// entries, stay.
    pub fn remove_unlisted(
        &mut self,
        with_entries: &BTreeSet<NodeId>,
        is_recent: impl Fn(Moment) -> bool,
    ) {
        self.by_id.retain(|id, node| {
            node.state != Lifecycle::Unlisted
                || with_entries.contains(id)
                || is_recent(node.changed_at)
        });
    }

    /// The node with address `id`.
    pub fn get(&self, id: &NodeId) -> Option<&Node> {
        self.by_id.get(id)
    }

    /// Mutable access to the node with address `id`, to update its load.
    pub fn get_mut(&mut self, id: &NodeId) -> Option<&mut Node> {
        self.by_id.get_mut(id)
    }

    /// Whether the node is known: it is or was listed and has not been removed.
    pub fn contains(&self, id: &NodeId) -> bool {
        self.by_id.contains_key(id)
    }

    /// All nodes, in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.by_id.iter()
    }

    /// All nodes without their addresses.
    pub fn values(&self) -> impl Iterator<Item = &Node> {
        self.by_id.values()
    }

    /// The nodes that take new requests.
    pub fn open(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.by_id.iter().filter(|(_, node)| node.is_open())
    }

    /// Addresses of the nodes that take new requests.
    pub fn open_ids(&self) -> Vec<NodeId> {
        self.open().map(|(id, _)| *id).collect()
    }

    /// Sum of the listed weights of the nodes that take new requests.
    pub fn open_weight(&self) -> f64 {
        self.open().map(|(_, node)| node.weight).sum()
    }

    /// Whether a node takes new requests.
    pub fn is_open(&self, id: &NodeId) -> bool {
        self.by_id.get(id).is_some_and(Node::is_open)
    }

    /// Whether a node is warming up.
    pub fn is_warming(&self, id: &NodeId) -> bool {
        self.by_id.get(id).is_some_and(Node::is_warming)
    }
}

impl std::ops::Index<&NodeId> for Nodes {
    type Output = Node;
    fn index(&self, id: &NodeId) -> &Node {
        &self.by_id[id]
    }
}
