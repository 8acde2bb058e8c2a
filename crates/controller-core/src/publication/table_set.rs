//! One version of everything that a proxy holds, and how far two versions are apart.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::RetryPolicy;

/// Rises with everything that is published by one controller, over restarts too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// A combination of tables that proxies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleId(pub u32);

/// A node in a table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableEntry {
    /// Where requests go.
    pub node: NodeId,
    /// The node's zone.
    pub zone: String,
    /// Its weight among the table's entries.
    pub weight: f64,
}

/// What a proxy does for one operation.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationTable {
    /// The operation.
    pub operation: OperationId,
    /// The shared table that its entries come from.
    pub table: TableId,
    /// Its entries, by node.
    pub entries: Vec<TableEntry>,
    /// The admission limit: a share of 1, or requests a second at each proxy, as the deployment's form says.
    pub admission_limit: Option<f64>,
    /// Which failed requests are retried.
    pub retry: RetryPolicy,
}

/// Everything that a proxy holds, at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct TableSet {
    /// Which combination of tables it is a version of.
    pub bundle: BundleId,
    /// Its version.
    pub version: Version,
    /// The version of the configuration that it was made under.
    pub configuration: u64,
    /// A table for each operation.
    pub operations: Vec<OperationTable>,
}

impl TableSet {
    /// Whether some operation's table has an entry for the node.
    pub fn has_entry_for(&self, node: NodeId) -> bool {
        self.operations
            .iter()
            .any(|operation| operation.entries.iter().any(|entry| entry.node == node))
    }
}

/// How many entries and policies differ between two sets, by what a proxy has to take in: each table's entries
/// count once, though several operations share them.
pub fn count_entry_changes(from: Option<&TableSet>, to: &TableSet) -> usize {
    let mut counted = BTreeSet::new();
    let mut changes = 0;
    for new in &to.operations {
        let old = from.and_then(|set| {
            set.operations
                .iter()
                .find(|old| old.operation == new.operation)
        });
        let is_same_policy = old.is_some_and(|old| {
            (old.admission_limit, old.retry) == (new.admission_limit, new.retry)
        });
        changes += usize::from(!is_same_policy);
        if counted.insert(new.table) {
            changes += count_weight_changes(old, new);
        }
    }
    changes
}

fn count_weight_changes(old: Option<&OperationTable>, new: &OperationTable) -> usize {
    let before = old.map(weights).unwrap_or_default();
    let after = weights(new);
    let set = after
        .iter()
        .filter(|(node, weight)| before.get(*node) != Some(*weight))
        .count();
    let removed = before
        .keys()
        .filter(|node| !after.contains_key(*node))
        .count();
    set + removed
}

fn weights(table: &OperationTable) -> BTreeMap<NodeId, f64> {
    table
        .entries
        .iter()
        .map(|entry| (entry.node, entry.weight))
        .collect()
}

/// Whether `to` lacks a node that `from` names.
pub fn removes_entries(from: &TableSet, to: &TableSet) -> bool {
    from.operations.iter().any(|old| {
        let new = to
            .operations
            .iter()
            .find(|new| new.operation == old.operation);
        let remains =
            |node| new.is_some_and(|new| new.entries.iter().any(|entry| entry.node == node));
        old.entries.iter().any(|entry| !remains(entry.node))
    })
}
