//! How load moves between two sets of table weights, and which tables wait for each other. Pure functions.

use crate::ids::{NodeId, TableId};
use crate::shares::{weight_of, TableWeights};
use std::collections::{BTreeMap, BTreeSet};

/// Change of the load of one node, summed over all tables.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NodeFlow {
    /// Load that tables remove.
    pub leaving: f64,
    /// Load that tables add.
    pub arriving: f64,
    /// Load that remains unchanged.
    pub staying: f64,
}

/// Computes the change of the load of a node from the old to the new loads by table.
pub(crate) fn node_flow(old: &TableWeights, new: &TableWeights, node: NodeId) -> NodeFlow {
    let mut flow = NodeFlow {
        leaving: 0.0,
        arriving: 0.0,
        staying: 0.0,
    };
    for table in old.keys() {
        let before = weight_of(old, *table, node);
        let after = weight_of(new, *table, node);
        flow.leaving += (before - after).max(0.0);
        flow.arriving += (after - before).max(0.0);
        flow.staying += before.min(after);
    }
    flow
}

/// For each table, the tables that it waits for.
pub(crate) type WaitGraph = BTreeMap<TableId, BTreeSet<TableId>>;

/// Whether `from` waits for `to`, directly or through other tables.
pub(crate) fn is_waiting_for(wait_graph: &WaitGraph, from: TableId, to: TableId) -> bool {
    let mut visited = BTreeSet::new();
    let mut pending: Vec<TableId> = wait_graph
        .get(&from)
        .into_iter()
        .flatten()
        .copied()
        .collect();
    while let Some(table) = pending.pop() {
        if table == to {
            return true;
        }
        if visited.insert(table) {
            pending.extend(wait_graph.get(&table).into_iter().flatten());
        }
    }
    false
}
