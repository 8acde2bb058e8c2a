//! What changes of configuration say of single nodes, put over what the list says: another pool (the zone
//! whose tables it serves in), another cell, another weight, or out of service. The list stays the word on
//! who is there: nothing here brings back a node that it drains or lacks.
//!
//! A node that moves from one pool to another leaves the first everywhere before it is in the second
//! anywhere: no two gateways ever find it in both.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{CellId, NodeId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus, Event};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Service {
    /// Finishes what it has.
    Draining,
    Out,
}

/// What a configuration says of one node; left out: what the list says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeValues {
    pub zone: Option<String>,
    pub cell: Option<String>,
    pub weight: Option<f64>,
    pub service: Option<Service>,
}

/// The same with names looked up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Place {
    zone: Option<ZoneId>,
    cell: Option<CellId>,
}

/// Where a node is, as the module was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Pool(ZoneId),
    /// Between two pools, since then.
    Between(Moment),
}

#[derive(Clone, Debug, Default)]
pub struct NodeOverrides {
    values: BTreeMap<NodeId, (NodeValues, Place)>,
    /// Drained by order.
    drained: BTreeSet<NodeId>,
    at: BTreeMap<NodeId, At>,
}

impl NodeOverrides {
    /// Takes over other values; returns the nodes that either speaks of.
    pub fn set(
        &mut self,
        values: BTreeMap<NodeId, NodeValues>,
        mut zone: impl FnMut(&str) -> Option<ZoneId>,
        mut cell: impl FnMut(&str) -> CellId,
    ) -> Vec<NodeId> {
        let mut spoken: Vec<NodeId> = self.values.keys().chain(values.keys()).copied().collect();
        spoken.sort();
        spoken.dedup();
        let before = std::mem::take(&mut self.values);
        for (node, values) in values {
            let place = Place {
                zone: values.zone.as_deref().and_then(&mut zone),
                cell: values.cell.as_deref().map(&mut cell),
            };
            self.values.insert(node, (values, place));
        }
        spoken.retain(|node| before.get(node) != self.values.get(node));
        spoken
    }

    /// Nodes that orders drain; returns those for which that has changed.
    pub fn set_drained(&mut self, nodes: BTreeSet<NodeId>) -> Vec<NodeId> {
        let changed = self.drained.symmetric_difference(&nodes).copied().collect();
        self.drained = nodes;
        changed
    }

    pub fn drained(&self) -> &BTreeSet<NodeId> {
        &self.drained
    }

    /// The zone whose tables a node serves in, where that is not the list's.
    pub fn zone(&self, node: NodeId) -> Option<&str> {
        self.values.get(&node)?.0.zone.as_deref()
    }

    /// An entry of the list as it goes by the configuration, wherever the node is on its way.
    pub fn effective_entry(&self, entry: &EndpointEntry) -> EndpointEntry {
        let mut entry = entry.clone();
        if entry.status == EndpointStatus::Ready && self.drained.contains(&entry.node) {
            entry.status = EndpointStatus::Draining;
        }
        let Some((values, place)) = self.values.get(&entry.node) else {
            return entry;
        };
        entry.zone = place.zone.unwrap_or(entry.zone);
        entry.cell = place.cell.unwrap_or(entry.cell);
        entry.weight = values.weight.unwrap_or(entry.weight);
        entry.status = match (values.service, entry.status) {
            (Some(Service::Out), _) => EndpointStatus::Gone,
            (Some(Service::Draining), EndpointStatus::Ready) => EndpointStatus::Draining,
            (_, status) => status,
        };
        entry
    }

    /// What the module is told in the place of the list.
    pub fn apply_to_event(&mut self, now: Moment, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                *entry = self.effective_entry(entry);
                if entry.status == EndpointStatus::Gone {
                    self.at.remove(&entry.node);
                    continue;
                }
                match self.at.get(&entry.node).copied() {
                    Some(At::Pool(zone)) if zone != entry.zone => {
                        self.at.insert(entry.node, At::Between(now));
                        (entry.status, entry.zone) = (EndpointStatus::Gone, zone);
                    }
                    Some(At::Between(_)) => entry.status = EndpointStatus::Gone,
                    _ => drop(self.at.insert(entry.node, At::Pool(entry.zone))),
                }
            }
        }
        event
    }

    /// A conductor that starts in the middle of a move does not know who still holds what.
    pub fn restore_migrations(&mut self, now: Moment, nodes: &[NodeId]) {
        self.at
            .extend(nodes.iter().map(|node| (*node, At::Between(now))));
    }

    pub fn is_migrating(&self, node: NodeId) -> bool {
        matches!(self.at.get(&node), Some(At::Between(_)))
    }

    /// Nodes on their way from one pool to another.
    pub fn migration_count(&self) -> usize {
        self.at
            .values()
            .filter(|at| matches!(at, At::Between(_)))
            .count()
    }

    /// Nodes that may be listed in their new pool: no gateway names them any more, or none may after `grace`.
    pub fn complete_migrations(
        &mut self,
        now: Moment,
        grace: Span,
        named: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let over = |node: NodeId, since: Moment| now - since >= grace || !named(node);
        let there = self.at.iter().filter_map(|(node, at)| match at {
            At::Between(since) if now > *since && over(*node, *since) => Some(*node),
            _ => None,
        });
        let there: Vec<NodeId> = there.collect();
        self.at.retain(|node, _| !there.contains(node));
        there
    }
}

#[cfg(test)]
mod tests;
