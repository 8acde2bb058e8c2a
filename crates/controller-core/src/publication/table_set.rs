//! Table sets, each of which is one version of all tables of a proxy, and the difference between two of them.

use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::RetryPolicy;

/// Version of a table set. It rises with everything that a controller publishes, across restarts too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

/// Identifies a bundle, which is a combination of tables that proxies share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleId(pub u32);

/// A node in a table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableEntry {
    /// The node to which requests are sent.
    pub node: NodeId,
    /// The node's zone.
    pub zone: String,
    /// The node's weight, relative to the weights of the other entries.
    pub weight: f64,
}

/// The entries and policies that a proxy applies to one operation.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationTable {
    /// The operation.
    pub operation: OperationId,
    /// The shared table that the entries come from.
    pub table: TableId,
    /// The entries, ordered by node.
    pub entries: Vec<TableEntry>,
    /// The admission limit: a ratio of 0 to 1, or requests per second at each proxy, as the deployment is configured.
    pub admission_limit: Option<f64>,
    /// The retry policy.
    pub retry: RetryPolicy,
}

/// All tables of a proxy, at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct TableSet {
    /// The bundle of which this is a version.
    pub bundle: BundleId,
    /// The version.
    pub version: Version,
    /// The version of the configuration under which it was made.
    pub configuration: u64,
    /// The table of each operation.
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

/// Counts the entries and policies that a proxy has to update between two sets. Entries of a table that several
/// operations share count once.
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

/// Whether an operation of `to` lacks a node that the same operation of `from` has.
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
