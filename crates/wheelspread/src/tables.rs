//! The published weighted tables.

use crate::action::RetryPolicy;
use crate::config::Operation;
use crate::ids::{NodeId, OperationId, ProxyId, TableId, ZoneId};
use crate::shares::NodeWeights;
use std::collections::{BTreeMap, BTreeSet};

/// Common properties of the requests of a table: the zone of the proxies and whether requests may leave that zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandClass {
    pub zone: ZoneId,
    pub stays_in_zone: bool,
}

/// A published admission limit and retry policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionPolicy {
    /// A ratio of the requests, or a rate limit per proxy in requests per second, depending on the settings.
    pub limit: f64,
    pub retry: RetryPolicy,
}

/// A table that the proxies of a zone, or of a subset of a zone, share.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    class: DemandClass,
    /// Index of the subset of the zone's proxies that uses the table.
    subset: u16,
    /// Number of subsets of the zone; 0 while the zone is undivided.
    subsets: u16,
    operations: Vec<OperationId>,
    /// Published weights; no entry has weight 0.
    entries: NodeWeights,
    admission: BTreeMap<OperationId, AdmissionPolicy>,
}

impl Table {
    /// The zone of the requests and whether they may leave it.
    pub fn class(&self) -> DemandClass {
        self.class
    }

    /// Index of the subset of the zone's proxies that uses the table.
    pub fn subset(&self) -> u16 {
        self.subset
    }

    /// Whether the number of subsets of its zone has been decided.
    pub fn is_divided(&self) -> bool {
        self.subsets > 0
    }

    /// The operations that the table serves.
    pub fn operations(&self) -> &[OperationId] {
        &self.operations
    }

    /// The published weights.
    pub fn entries(&self) -> &NodeWeights {
        &self.entries
    }

    /// The published admission limit and retry policy of an operation; `None`: all requests are admitted.
    pub fn admission(&self, operation: OperationId) -> Option<&AdmissionPolicy> {
        self.admission.get(&operation)
    }

    /// Number of entries in a message that holds the whole table.
    pub fn message_entries(&self) -> usize {
        1 + self.entries.len() + self.admission.len()
    }

    /// Sets a published weight; 0 removes the entry.
    pub fn set_weight(&mut self, node: NodeId, weight: f64) {
        if weight > 0.0 {
            self.entries.insert(node, weight);
        } else {
            self.entries.remove(&node);
        }
    }

    /// Sets the published admission limit and retry policy of an operation.
    pub fn set_admission(&mut self, operation: OperationId, policy: AdmissionPolicy) {
        self.admission.insert(operation, policy);
    }

    /// The table for one of `subsets` subsets. The first one keeps the published entries; the others start empty.
    pub fn for_subset(&self, subset: u16, subsets: u16) -> Table {
        let mut table = Table {
            subset,
            subsets,
            ..self.clone()
        };
        if subset > 0 {
            table.entries.clear();
            table.admission.clear();
        }
        table
    }

    /// Replaces the published entries.
    #[cfg(test)]
    pub fn set_entries(&mut self, entries: NodeWeights) {
        self.entries = entries;
    }

    /// The zone of the proxies that use the table.
    pub fn zone(&self) -> ZoneId {
        self.class.zone
    }

    /// Whether a proxy in the given zone uses this table.
    pub fn serves(&self, proxy: ProxyId, zone: ZoneId) -> bool {
        zone == self.class.zone && proxy.0 % self.subsets.max(1) == self.subset
    }
}

/// All tables.
pub(crate) type Tables = BTreeMap<TableId, Table>;

/// The initial tables: per zone one table for operations that may leave the zone and one for operations that stay
/// in it, as far as there are such operations.
pub(crate) fn undivided_tables(operations: &[Operation], zones: u16) -> Tables {
    let mut tables = BTreeMap::new();
    for (zone, stays_in_zone) in (0..zones).flat_map(|zone| [(zone, false), (zone, true)]) {
        let served: Vec<OperationId> = operations
            .iter()
            .filter(|operation| operation.stays_in_zone == stays_in_zone)
            .map(|operation| operation.id)
            .collect();
        if !served.is_empty() {
            let table = Table {
                class: DemandClass {
                    zone: ZoneId(zone),
                    stays_in_zone,
                },
                subset: 0,
                subsets: 0,
                operations: served,
                entries: NodeWeights::new(),
                admission: BTreeMap::new(),
            };
            tables.insert(TableId(2 * zone + u16::from(stays_in_zone)), table);
        }
    }
    tables
}

/// The zones that have tables.
pub(crate) fn zones_of(tables: &Tables) -> BTreeSet<ZoneId> {
    tables.values().map(Table::zone).collect()
}

/// The demand classes that have tables, each with demand 0.
pub(crate) fn zero_demand(tables: &Tables) -> BTreeMap<DemandClass, f64> {
    tables.values().map(|table| (table.class, 0.0)).collect()
}
