//! Node overrides: values that configuration changes and drains set for single nodes and that take precedence
//! over the endpoint list: the pool (the zone in whose tables the node is listed), the cell, the weight, and
//! whether the node is in service. The endpoint list decides which nodes exist and are ready: an override never
//! returns a node to service that the list drains or lacks.
//!
//! A node that migrates from one pool to another is removed from all tables of the old pool before any table of
//! the new pool lists it, so that no two proxies see it in different pools.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{CellId, NodeId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus, Event};

/// The state in which a configuration takes a node out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// The node finishes its requests in flight and takes no new ones.
    Draining,
    /// The node is treated as gone.
    OutOfService,
}

/// A configuration's values for one node. `None` stands for the value of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeValues {
    /// Name of the zone in whose tables the node is listed.
    pub zone: Option<String>,
    /// Name of the node's cell.
    pub cell: Option<String>,
    /// The node's weight.
    pub weight: Option<f64>,
    /// How the node is taken out of service.
    pub service: Option<ServiceState>,
}

/// The values of one node, with the ids of their zone and cell.
#[derive(Clone, Debug, PartialEq)]
struct NodeOverride {
    values: NodeValues,
    zone: Option<ZoneId>,
    cell: Option<CellId>,
}

/// The pool of a node according to the events that the balancer got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placement {
    Pool(ZoneId),
    /// The node has left its old pool and is not yet listed in the new one.
    Migrating {
        since: Moment,
    },
}

/// The overrides in force, the nodes drained by operators, and the migrations in progress.
#[derive(Clone, Debug, Default)]
pub struct NodeOverrides {
    overrides: BTreeMap<NodeId, NodeOverride>,
    /// Nodes drained by an operator.
    drained: BTreeSet<NodeId>,
    placements: BTreeMap<NodeId, Placement>,
}

impl NodeOverrides {
    /// Replaces all overrides and returns the nodes whose override changes. `zone_id` and `cell_id` look up
    /// the ids of names.
    pub fn set(
        &mut self,
        values: BTreeMap<NodeId, NodeValues>,
        mut zone_id: impl FnMut(&str) -> Option<ZoneId>,
        mut cell_id: impl FnMut(&str) -> CellId,
    ) -> Vec<NodeId> {
        let before = std::mem::take(&mut self.overrides);
        for (node, values) in values {
            let zone = values.zone.as_deref().and_then(&mut zone_id);
            let cell = values.cell.as_deref().map(&mut cell_id);
            let node_override = NodeOverride { values, zone, cell };
            self.overrides.insert(node, node_override);
        }
        let nodes: BTreeSet<NodeId> = before
            .keys()
            .chain(self.overrides.keys())
            .copied()
            .collect();
        nodes
            .into_iter()
            .filter(|node| before.get(node) != self.overrides.get(node))
            .collect()
    }

    /// Replaces the set of nodes that operators drain and returns the nodes added to it or removed from it.
    pub fn set_drained(&mut self, nodes: BTreeSet<NodeId>) -> Vec<NodeId> {
        let changed = self.drained.symmetric_difference(&nodes).copied().collect();
        self.drained = nodes;
        changed
    }

    /// Nodes that operators drain.
    pub fn drained(&self) -> &BTreeSet<NodeId> {
        &self.drained
    }

    /// The zone that a node's override sets; `None` if the zone of the endpoint list applies.
    pub fn zone(&self, node: NodeId) -> Option<&str> {
        self.overrides.get(&node)?.values.zone.as_deref()
    }

    /// An entry of the endpoint list with the overrides applied, without regard to migrations.
    pub fn effective_entry(&self, entry: &EndpointEntry) -> EndpointEntry {
        let mut entry = entry.clone();
        if entry.status == EndpointStatus::Ready && self.drained.contains(&entry.node) {
            entry.status = EndpointStatus::Draining;
        }
        let Some(node_override) = self.overrides.get(&entry.node) else {
            return entry;
        };
        entry.zone = node_override.zone.unwrap_or(entry.zone);
        entry.cell = node_override.cell.unwrap_or(entry.cell);
        entry.weight = node_override.values.weight.unwrap_or(entry.weight);
        entry.status = match (node_override.values.service, entry.status) {
            (Some(ServiceState::OutOfService), _) => EndpointStatus::Gone,
            (Some(ServiceState::Draining), EndpointStatus::Ready) => EndpointStatus::Draining,
            (_, status) => status,
        };
        entry
    }

    /// Applies the overrides to an endpoint list event on its way to the balancer. A node that changes pools
    /// has status `Gone` until its migration is complete.
    pub fn apply_to_event(&mut self, now: Moment, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                *entry = self.effective_entry(entry);
                self.update_placement(now, entry);
            }
        }
        event
    }

    /// Updates a node's placement by its entry, and sets the entry's status to `Gone` while the node migrates.
    fn update_placement(&mut self, now: Moment, entry: &mut EndpointEntry) {
        if entry.status == EndpointStatus::Gone {
            self.placements.remove(&entry.node);
            return;
        }
        match self.placements.get(&entry.node).copied() {
            Some(Placement::Pool(zone)) if zone != entry.zone => {
                let migrating = Placement::Migrating { since: now };
                self.placements.insert(entry.node, migrating);
                (entry.status, entry.zone) = (EndpointStatus::Gone, zone);
            }
            Some(Placement::Migrating { .. }) => entry.status = EndpointStatus::Gone,
            Some(Placement::Pool(_)) | None => {
                self.placements
                    .insert(entry.node, Placement::Pool(entry.zone));
            }
        }
    }

    /// Starts the persisted migrations again, because a controller that has just started does not know which
    /// proxies still hold tables with these nodes.
    pub fn restore_migrations(&mut self, now: Moment, nodes: &[NodeId]) {
        let migrating = Placement::Migrating { since: now };
        self.placements
            .extend(nodes.iter().map(|node| (*node, migrating)));
    }

    /// Whether a node has left its old pool and is not yet listed in the new one.
    pub fn is_migrating(&self, node: NodeId) -> bool {
        matches!(
            self.placements.get(&node),
            Some(Placement::Migrating { .. })
        )
    }

    /// The number of nodes that are migrating.
    pub fn migration_count(&self) -> usize {
        self.placements
            .values()
            .filter(|placement| matches!(placement, Placement::Migrating { .. }))
            .count()
    }

    /// Completes migrations and returns their nodes, which may now be listed in their new pools. A migration is
    /// complete when no proxy's table can still list the node (`in_table`), or `grace` after its start.
    pub fn complete_migrations(
        &mut self,
        now: Moment,
        grace: Span,
        in_table: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let is_complete =
            |node: NodeId, since: Moment| now > since && (now - since >= grace || !in_table(node));
        let mut complete = Vec::new();
        for (node, placement) in &self.placements {
            match placement {
                Placement::Migrating { since } if is_complete(*node, *since) => {
                    complete.push(*node);
                }
                Placement::Migrating { .. } | Placement::Pool(_) => {}
            }
        }
        for node in &complete {
            self.placements.remove(node);
        }
        complete
    }
}

#[cfg(test)]
mod tests;
