//! What is published: the module's shared tables, who is bound to which, and the versions that come of
//! it. Proxies with the same tables share a `Bundle`, so a change is written once however many proxies
//! use it. A proxy is then pointed at a version, which holds all its tables at once: there is no moment
//! at which it could read one table old and another new.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread::ids::{NodeId, OperationId, ProxyId, TableId};
use wheelspread::RetryPolicy;

/// Rises with everything that is published by one conductor, over restarts too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BundleId(pub u32);

#[derive(Clone, Debug, PartialEq)]
pub struct TableEntry {
    pub node: NodeId,
    pub zone: String,
    pub weight: f64,
}

/// What a proxy does for one operation.
#[derive(Clone, Debug, PartialEq)]
pub struct OperationTable {
    pub operation: OperationId,
    pub table: TableId,
    pub lines: Vec<TableEntry>,
    /// A share of 1, or invocations a second at each proxy, as the deployment's form says.
    pub quota: Option<f64>,
    pub retry: RetryPolicy,
}

/// Everything that a proxy holds, at one version.
#[derive(Clone, Debug, PartialEq)]
pub struct TableSet {
    pub bundle: BundleId,
    pub version: Version,
    /// The version of the configuration that it was made under.
    pub configuration: u64,
    pub operations: Vec<OperationTable>,
}

/// Which table serves each operation of a proxy.
pub type Bundle = BTreeMap<OperationId, TableId>;

#[derive(Clone, Debug, Default)]
struct Table {
    lines: BTreeMap<NodeId, f64>,
    levels: BTreeMap<OperationId, (f64, RetryPolicy)>,
}

#[derive(Clone, Debug, Default)]
pub struct Publication {
    tables: BTreeMap<TableId, Table>,
    for_all: BTreeMap<OperationId, (f64, RetryPolicy)>,
    withdrawn: BTreeSet<NodeId>,
    bound: BTreeMap<ProxyId, Bundle>,
    numbers: BTreeMap<Bundle, BundleId>,
    newest: BTreeMap<BundleId, Arc<TableSet>>,
    /// Tables that changed since versions were last made.
    changed: BTreeSet<TableId>,
    everything: bool,
    last: Version,
    operations: usize,
    configuration: u64,
}

/// How many lines apart two sets are, by what a proxy has to take in: each table's lines count once.
pub fn lines_apart(from: Option<&TableSet>, to: &TableSet) -> usize {
    let mut counted = BTreeSet::new();
    let mut apart = 0;
    for new in &to.operations {
        let old = from.and_then(|set| {
            set.operations
                .iter()
                .find(|old| old.operation == new.operation)
        });
        apart +=
            usize::from(old.is_none_or(|old| (old.quota, old.retry) != (new.quota, new.retry)));
        if !counted.insert(new.table) {
            continue;
        }
        let before: BTreeMap<NodeId, f64> = old
            .iter()
            .flat_map(|old| &old.lines)
            .map(|line| (line.node, line.weight))
            .collect();
        let after: BTreeMap<NodeId, f64> = new
            .lines
            .iter()
            .map(|line| (line.node, line.weight))
            .collect();
        apart += after
            .iter()
            .filter(|(node, weight)| before.get(node) != Some(weight))
            .count();
        apart += before
            .keys()
            .filter(|node| !after.contains_key(node))
            .count();
    }
    apart
}

/// Whether `to` takes a node away that `from` names.
pub fn removes_lines(from: &TableSet, to: &TableSet) -> bool {
    from.operations.iter().any(|old| {
        let new = to
            .operations
            .iter()
            .find(|new| new.operation == old.operation);
        let still = |node| new.is_some_and(|new| new.lines.iter().any(|line| line.node == node));
        old.lines.iter().any(|line| !still(line.node))
    })
}

impl Publication {
    /// `last`: the highest version that is known to have been published before.
    pub fn new(operations: usize, last: Version) -> Publication {
        Publication {
            operations,
            last,
            ..Publication::default()
        }
    }

    /// From now on tables are made under another configuration: all of them say so.
    pub fn configure(&mut self, configuration: u64) {
        self.everything |= self.configuration != configuration;
        self.configuration = configuration;
    }

    pub fn set_line(&mut self, table: TableId, node: NodeId, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        if weight > 0.0 && weight.is_finite() {
            lines.insert(node, weight);
        } else {
            lines.remove(&node);
        }
        self.changed.insert(table);
    }

    pub fn clear(&mut self, table: TableId) {
        self.tables.insert(table, Table::default());
        self.changed.insert(table);
    }

    pub fn set_level(
        &mut self,
        table: Option<TableId>,
        operations: &[OperationId],
        quota: f64,
        retry: RetryPolicy,
    ) {
        let all: Vec<OperationId> = (0..self.operations as u8).map(OperationId).collect();
        let operations = if operations.is_empty() {
            &all
        } else {
            operations
        };
        let levels = match table {
            Some(table) => {
                self.changed.insert(table);
                &mut self.tables.entry(table).or_default().levels
            }
            None => {
                self.everything = true;
                &mut self.for_all
            }
        };
        levels.extend(
            operations
                .iter()
                .map(|operation| (*operation, (quota, retry))),
        );
    }

    pub fn withdraw(&mut self, node: NodeId, out: bool) {
        if out {
            self.withdrawn.insert(node)
        } else {
            self.withdrawn.remove(&node)
        };
        self.everything = true;
    }

    /// Binds a proxy's operations to a table; its other operations keep theirs.
    pub fn bind(&mut self, proxy: ProxyId, table: TableId, operations: &[OperationId]) {
        let all: Vec<OperationId> = (0..self.operations as u8).map(OperationId).collect();
        let operations = if operations.is_empty() {
            &all
        } else {
            operations
        };
        let bundle = self.bound.entry(proxy).or_default();
        bundle.extend(operations.iter().map(|operation| (*operation, table)));
        let next = BundleId(self.numbers.len() as u32);
        self.numbers.entry(bundle.clone()).or_insert(next);
    }

    /// A proxy that comes from somewhere else, or anew, holds nothing of this book.
    pub fn unbind(&mut self, proxy: ProxyId) {
        self.bound.remove(&proxy);
    }

    pub fn bundle_of(&self, proxy: ProxyId) -> Option<BundleId> {
        self.numbers.get(self.bound.get(&proxy)?).copied()
    }

    pub fn bound(&self) -> impl Iterator<Item = ProxyId> + '_ {
        self.bound.keys().copied()
    }

    pub fn newest(&self, bundle: BundleId) -> Option<&Arc<TableSet>> {
        self.newest.get(&bundle)
    }

    pub fn last(&self) -> Version {
        self.last
    }

    /// Somebody holds a version of a time that is not remembered here: those to come are above it. A number
    /// that leaves no room above it is nobody's.
    pub fn at_least(&mut self, version: Version) -> bool {
        let sound = version.0 < 1 << 52;
        if sound {
            self.last = self.last.max(version);
        }
        sound
    }

    /// A version of its own for what is published beside the bundles.
    pub fn number(&mut self) -> Version {
        self.last = Version(self.last.0 + 1);
        self.last
    }

    /// The newest versions of the bundles that some proxy is bound to.
    pub fn in_force(&self) -> impl Iterator<Item = &Arc<TableSet>> {
        let in_use: BTreeSet<BundleId> = self
            .bound
            .values()
            .map(|bundle| self.numbers[bundle])
            .collect();
        in_use
            .into_iter()
            .filter_map(|bundle| self.newest.get(&bundle))
    }

    /// Makes new versions of the bundles whose tables changed. `zone` tells where a node stands.
    pub fn publish(&mut self, zone: impl Fn(NodeId) -> String) -> Vec<BundleId> {
        let changed = std::mem::take(&mut self.changed);
        let everything = std::mem::take(&mut self.everything);
        let in_use: BTreeSet<&Bundle> = self.bound.values().collect();
        let mut published = Vec::new();
        for bundle in in_use {
            let id = self.numbers[bundle];
            let touched = everything || bundle.values().any(|table| changed.contains(table));
            if !touched && self.newest.contains_key(&id) {
                continue;
            }
            let operations: Vec<OperationTable> = bundle
                .iter()
                .map(|(operation, table)| self.operation_table(*operation, *table, &zone))
                .collect();
            let same = |newest: &Arc<TableSet>| {
                newest.operations == operations && newest.configuration == self.configuration
            };
            if self.newest.get(&id).is_some_and(same) {
                continue;
            }
            self.last = Version(self.last.0 + 1);
            let configuration = self.configuration;
            let set = TableSet {
                bundle: id,
                version: self.last,
                configuration,
                operations,
            };
            self.newest.insert(id, Arc::new(set));
            published.push(id);
        }
        published
    }

    fn operation_table(
        &self,
        operation: OperationId,
        table: TableId,
        zone: &impl Fn(NodeId) -> String,
    ) -> OperationTable {
        let known = self.tables.get(&table);
        let lines = known.iter().flat_map(|table| &table.lines);
        let lines = lines.filter(|(node, _)| !self.withdrawn.contains(node));
        let own = known.and_then(|table| table.levels.get(&operation));
        let all = self.for_all.get(&operation);
        // Where both are set the lower level prevails, and the table's own way to try again.
        let quota = own
            .into_iter()
            .chain(all)
            .map(|level| level.0)
            .reduce(f64::min);
        let retry = own
            .or(all)
            .map_or(RetryPolicy::IfUnprocessed, |level| level.1);
        let lines = lines.map(|(node, weight)| TableEntry {
            node: *node,
            zone: zone(*node),
            weight: *weight,
        });
        OperationTable {
            operation,
            table,
            lines: lines.collect(),
            quota,
            retry,
        }
    }
}

#[cfg(test)]
mod tests;
