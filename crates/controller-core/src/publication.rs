//! Published tables: the balancer's shared tables, the bindings of proxies to them, and the versions made of them.
//!
//! Proxies with the same tables share a [`Bundle`], so a change is written once regardless of how many proxies use
//! it. A proxy gets one version that contains all its tables, so it never reads an old table beside a new one.

mod table_set;

pub use table_set::{
    count_entry_changes, removes_entries, BundleId, OperationTable, TableEntry, TableSet, Version,
};

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread::ids::{NodeId, OperationId, ProxyId, TableId};
use wheelspread::RetryPolicy;

/// Versions from this value on are rejected as implausible, as they would leave too few higher ones.
const VERSION_LIMIT: u64 = 1 << 52;

/// The table that serves each operation of a proxy.
pub type Bundle = BTreeMap<OperationId, TableId>;

/// The admission limit and the retry policy of an operation.
#[derive(Clone, Copy, Debug)]
struct OperationPolicy {
    limit: f64,
    retry: RetryPolicy,
}

#[derive(Clone, Debug, Default)]
struct Table {
    weights: BTreeMap<NodeId, f64>,
    policies: BTreeMap<OperationId, OperationPolicy>,
}

/// The tables as the balancer set them, and the versions made of them.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    tables: BTreeMap<TableId, Table>,
    /// Policies that apply to all tables.
    common_policies: BTreeMap<OperationId, OperationPolicy>,
    ejected: BTreeSet<NodeId>,
    bound: BTreeMap<ProxyId, Bundle>,
    bundle_ids: BTreeMap<Bundle, BundleId>,
    newest: BTreeMap<BundleId, Arc<TableSet>>,
    /// Tables that changed since the last [`Publication::publish`].
    changed: BTreeSet<TableId>,
    all_changed: bool,
    last_version: Version,
    operation_count: usize,
    configuration: u64,
}

impl Publication {
    /// Starts without tables. `last_version` is the highest version that is known to have been published before.
    pub fn new(operation_count: usize, last_version: Version) -> Publication {
        Publication {
            operation_count,
            last_version,
            ..Publication::default()
        }
    }

    /// Sets the version of the configuration in force. If it differs, all tables are published again to carry it.
    pub fn set_configuration(&mut self, configuration: u64) {
        self.all_changed |= self.configuration != configuration;
        self.configuration = configuration;
    }

    /// Sets a node's weight in a table; a weight of 0 removes its entry.
    pub fn set_weight(&mut self, table: TableId, node: NodeId, weight: f64) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        if weight > 0.0 && weight.is_finite() {
            weights.insert(node, weight);
        } else {
            weights.remove(&node);
        }
        self.changed.insert(table);
    }

    /// Empties a table.
    pub fn clear(&mut self, table: TableId) {
        self.tables.insert(table, Table::default());
        self.changed.insert(table);
    }

    /// Sets the admission limit and the retry policy of operations in one table, or in all if `table` is `None`. An
    /// empty `operations` means all operations.
    pub fn set_admission(
        &mut self,
        table: Option<TableId>,
        operations: &[OperationId],
        limit: f64,
        retry: RetryPolicy,
    ) {
        let operations = self.operations_or_all(operations);
        let policies = match table {
            Some(table) => {
                self.changed.insert(table);
                &mut self.tables.entry(table).or_default().policies
            }
            None => {
                self.all_changed = true;
                &mut self.common_policies
            }
        };
        let policy = OperationPolicy { limit, retry };
        policies.extend(operations.into_iter().map(|operation| (operation, policy)));
    }

    /// Ejects a node from all tables, or ends its ejection.
    pub fn set_ejected(&mut self, node: NodeId, ejected: bool) {
        if ejected {
            self.ejected.insert(node);
        } else {
            self.ejected.remove(&node);
        }
        self.all_changed = true;
    }

    /// Binds operations of a proxy to a table; an empty `operations` means all. Other operations keep their tables.
    pub fn bind(&mut self, proxy: ProxyId, table: TableId, operations: &[OperationId]) {
        let operations = self.operations_or_all(operations);
        let bundle = self.bound.entry(proxy).or_default();
        bundle.extend(operations.into_iter().map(|operation| (operation, table)));
        let next_id = BundleId(self.bundle_ids.len() as u32);
        self.bundle_ids.entry(bundle.clone()).or_insert(next_id);
    }

    fn operations_or_all(&self, operations: &[OperationId]) -> Vec<OperationId> {
        if operations.is_empty() {
            (0..self.operation_count as u8).map(OperationId).collect()
        } else {
            operations.to_vec()
        }
    }

    /// Removes all bindings of a proxy.
    pub fn unbind(&mut self, proxy: ProxyId) {
        self.bound.remove(&proxy);
    }

    /// The bundle that a proxy is bound to.
    pub fn bundle_of(&self, proxy: ProxyId) -> Option<BundleId> {
        self.bundle_ids.get(self.bound.get(&proxy)?).copied()
    }

    /// Proxies that are bound to tables.
    pub fn bound_proxies(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.bound.keys().copied()
    }

    /// The newest version of a bundle.
    pub fn newest(&self, bundle: BundleId) -> Option<&Arc<TableSet>> {
        self.newest.get(&bundle)
    }

    /// The newest version of the bundle that a proxy is bound to.
    pub fn newest_for(&self, proxy: ProxyId) -> Option<&Arc<TableSet>> {
        self.newest(self.bundle_of(proxy)?)
    }

    /// The highest version allocated so far.
    pub fn last_version(&self) -> Version {
        self.last_version
    }

    /// Raises the last version to one that a proxy reports to hold from an earlier run, so that later versions are
    /// above it. Returns `false` if the version is implausibly high; it is then ignored.
    pub fn raise_last_version(&mut self, version: Version) -> bool {
        let is_plausible = version.0 < VERSION_LIMIT;
        if is_plausible {
            self.last_version = self.last_version.max(version);
        }
        is_plausible
    }

    /// Allocates a version for tables that do not belong to a bundle.
    pub fn allocate_version(&mut self) -> Version {
        self.last_version = Version(self.last_version.0 + 1);
        self.last_version
    }

    /// The newest versions of the bundles that some proxy is bound to.
    pub fn newest_in_use(&self) -> impl Iterator<Item = &Arc<TableSet>> {
        let in_use: BTreeSet<BundleId> = self
            .bound
            .values()
            .map(|bundle| self.bundle_ids[bundle])
            .collect();
        in_use
            .into_iter()
            .filter_map(|bundle| self.newest.get(&bundle))
    }

    /// Makes new versions of the bundles whose tables changed, and returns those bundles. `zone_of` returns the zone
    /// of a node.
    pub fn publish(&mut self, zone_of: impl Fn(NodeId) -> String) -> Vec<BundleId> {
        let changed = std::mem::take(&mut self.changed);
        let all_changed = std::mem::take(&mut self.all_changed);
        let in_use: BTreeSet<&Bundle> = self.bound.values().collect();
        let mut published = Vec::new();
        for bundle in in_use {
            let id = self.bundle_ids[bundle];
            let is_changed = all_changed || bundle.values().any(|table| changed.contains(table));
            if !is_changed && self.newest.contains_key(&id) {
                continue;
            }
            let operations = self.operation_tables(bundle, &zone_of);
            let is_same = |newest: &Arc<TableSet>| {
                newest.operations == operations && newest.configuration == self.configuration
            };
            if self.newest.get(&id).is_some_and(is_same) {
                continue;
            }
            self.last_version = Version(self.last_version.0 + 1);
            let set = TableSet {
                bundle: id,
                version: self.last_version,
                configuration: self.configuration,
                operations,
            };
            self.newest.insert(id, Arc::new(set));
            published.push(id);
        }
        published
    }

    fn operation_tables(
        &self,
        bundle: &Bundle,
        zone_of: &impl Fn(NodeId) -> String,
    ) -> Vec<OperationTable> {
        bundle
            .iter()
            .map(|(operation, table)| self.operation_table(*operation, *table, zone_of))
            .collect()
    }

    fn operation_table(
        &self,
        operation: OperationId,
        table: TableId,
        zone_of: &impl Fn(NodeId) -> String,
    ) -> OperationTable {
        let content = self.tables.get(&table);
        let weights = content.iter().flat_map(|table| &table.weights);
        let entries = weights
            .filter(|(node, _)| !self.ejected.contains(node))
            .map(|(node, weight)| TableEntry {
                node: *node,
                zone: zone_of(*node),
                weight: *weight,
            });
        let own_policy = content.and_then(|table| table.policies.get(&operation));
        let common_policy = self.common_policies.get(&operation);
        // If both are set, the lower admission limit and the table's own retry policy apply.
        let limit = own_policy
            .into_iter()
            .chain(common_policy)
            .map(|policy| policy.limit)
            .reduce(f64::min);
        let retry = own_policy
            .or(common_policy)
            .map_or(RetryPolicy::IfUnprocessed, |policy| policy.retry);
        OperationTable {
            operation,
            table,
            entries: entries.collect(),
            admission_limit: limit,
            retry,
        }
    }
}

#[cfg(test)]
mod tests;
