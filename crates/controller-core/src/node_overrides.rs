//! What configuration changes say of single nodes, put over what the endpoint list says: another pool (the
//! zone whose tables it serves in), another cell, another weight, or out of service. The list stays the
//! authority on who is there: nothing here brings back a node that it drains or lacks.
//!
//! A node that migrates from one pool to another leaves the first everywhere before it is in the second
//! anywhere: no two proxies ever find it in both.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{CellId, NodeId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus, Event};

/// How a configuration takes a node out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceState {
    /// It finishes what it has.
    Draining,
    /// It is treated as gone.
    OutOfService,
}

/// What a configuration says of one node; left out: what the list says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeValues {
    /// Name of the zone whose tables it serves in.
    pub zone: Option<String>,
    /// Name of its cell.
    pub cell: Option<String>,
    /// Its weight.
    pub weight: Option<f64>,
    /// Whether it is out of service.
    pub service: Option<ServiceState>,
}

/// The values of one node, with their names looked up.
#[derive(Clone, Debug, PartialEq)]
struct NodeOverride {
    values: NodeValues,
    zone: Option<ZoneId>,
    cell: Option<CellId>,
}

/// Where a node is, as the balancer was notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Placement {
    Pool(ZoneId),
    /// It has left one pool and is not in the next.
    Migrating {
        since: Moment,
    },
}

/// The overrides in force, and the nodes that migrate because of them.
#[derive(Clone, Debug, Default)]
pub struct NodeOverrides {
    overrides: BTreeMap<NodeId, NodeOverride>,
    /// Drained by an operator's order.
    drained: BTreeSet<NodeId>,
    placements: BTreeMap<NodeId, Placement>,
}

impl NodeOverrides {
    /// Puts other values in force; returns the nodes for which they differ. `zone_id` and `cell_id` look
    /// names up.
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
            let of_node = NodeOverride { values, zone, cell };
            self.overrides.insert(node, of_node);
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

    /// Sets the nodes that operators drain; returns those for which that has changed.
    pub fn set_drained(&mut self, nodes: BTreeSet<NodeId>) -> Vec<NodeId> {
        let changed = self.drained.symmetric_difference(&nodes).copied().collect();
        self.drained = nodes;
        changed
    }

    /// Nodes that operators drain.
    pub fn drained(&self) -> &BTreeSet<NodeId> {
        &self.drained
    }

    /// The zone whose tables a node serves in, where that is not the list's.
    pub fn zone(&self, node: NodeId) -> Option<&str> {
        self.overrides.get(&node)?.values.zone.as_deref()
    }

    /// An entry of the list with the overrides applied, wherever a migration has come to.
    pub fn effective_entry(&self, entry: &EndpointEntry) -> EndpointEntry {
        let mut entry = entry.clone();
        if entry.status == EndpointStatus::Ready && self.drained.contains(&entry.node) {
            entry.status = EndpointStatus::Draining;
        }
        let Some(of_node) = self.overrides.get(&entry.node) else {
            return entry;
        };
        entry.zone = of_node.zone.unwrap_or(entry.zone);
        entry.cell = of_node.cell.unwrap_or(entry.cell);
        entry.weight = of_node.values.weight.unwrap_or(entry.weight);
        entry.status = match (of_node.values.service, entry.status) {
            (Some(ServiceState::OutOfService), _) => EndpointStatus::Gone,
            (Some(ServiceState::Draining), EndpointStatus::Ready) => EndpointStatus::Draining,
            (_, status) => status,
        };
        entry
    }

    /// The event that the balancer gets in the place of the list's: a node that changes pools is gone until
    /// its migration is complete.
    pub fn apply_to_event(&mut self, now: Moment, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                *entry = self.effective_entry(entry);
                self.place(now, entry);
            }
        }
        event
    }

    /// Follows a node's placement, and lists it as gone while it migrates.
    fn place(&mut self, now: Moment, entry: &mut EndpointEntry) {
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

    /// A controller that starts in the middle of migrations does not know who still holds what: they begin
    /// anew.
    pub fn restore_migrations(&mut self, now: Moment, nodes: &[NodeId]) {
        let migrating = Placement::Migrating { since: now };
        self.placements
            .extend(nodes.iter().map(|node| (*node, migrating)));
    }

    /// Whether a node has left one pool and is not in the next.
    pub fn is_migrating(&self, node: NodeId) -> bool {
        matches!(
            self.placements.get(&node),
            Some(Placement::Migrating { .. })
        )
    }

    /// How many nodes migrate.
    pub fn migration_count(&self) -> usize {
        self.placements
            .values()
            .filter(|placement| matches!(placement, Placement::Migrating { .. }))
            .count()
    }

    /// Ends migrations, and returns their nodes, which may be listed in their new pools: no proxy's table
    /// names them any more, or none may after `grace`.
    pub fn complete_migrations(
        &mut self,
        now: Moment,
        grace: Span,
        is_named: impl Fn(NodeId) -> bool,
    ) -> Vec<NodeId> {
        let is_complete =
            |node: NodeId, since: Moment| now > since && (now - since >= grace || !is_named(node));
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
