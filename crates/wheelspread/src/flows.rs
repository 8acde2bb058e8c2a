//! How load moves between two sets of table weights, and which tables wait for each other. Pure functions.

use crate::ids::{NodeId, TableId};
use crate::shares::{weight_of, TableWeights};
use std::collections::{BTreeMap, BTreeSet};

/// Load of one node over all tables, from one set of loads to the next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NodeFlow {
    /// What tables take away.
    pub leaving: f64,
    /// What tables add.
    pub arriving: f64,
    /// What is there before and after.
    pub staying: f64,
}

/// Sums what leaves a node, arrives and stays.
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

/// For each table, those that it waits for.
pub(crate) type WaitGraph = BTreeMap<TableId, BTreeSet<TableId>>;

/// Whether `from` waits for `to`, directly or through others.
pub(crate) fn is_waiting_for(waits: &WaitGraph, from: TableId, to: TableId) -> bool {
    let mut visited = BTreeSet::new();
    let mut pending: Vec<TableId> = waits.get(&from).into_iter().flatten().copied().collect();
    while let Some(table) = pending.pop() {
        if table == to {
            return true;
        }
        if visited.insert(table) {
            pending.extend(waits.get(&table).into_iter().flatten());
        }
    }
    false
}
