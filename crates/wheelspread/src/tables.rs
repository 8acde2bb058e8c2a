//! The weighted tables as they stand at the proxies.

use crate::action::RetryPolicy;
use crate::config::Operation;
use crate::ids::{NodeId, OperationId, ProxyId, TableId, ZoneId};
use crate::shares::NodeWeights;
use std::collections::{BTreeMap, BTreeSet};

/// What a table's requests have in common: where they come from, and whether they may leave that zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandClass {
    pub zone: ZoneId,
    pub stays_in_zone: bool,
}

/// An admission limit and a retry policy as they were published.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionPolicy {
    /// A share of the requests, or a rate at each proxy, as the settings say.
    pub limit: f64,
    pub retry: RetryPolicy,
}

/// One table, which the proxies of a zone or of a subset of it share.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    class: DemandClass,
    /// Which subset of the zone's proxies uses it.
    subset: u16,
    /// Of how many; 0 while the zone is undivided.
    subsets: u16,
    operations: Vec<OperationId>,
    /// Weights as published; no entry has weight 0.
    entries: NodeWeights,
    admission: BTreeMap<OperationId, AdmissionPolicy>,
}

impl Table {
    /// Where its requests come from, and whether they may leave that zone.
    pub fn class(&self) -> DemandClass {
        self.class
    }

    /// Which subset of the zone's proxies uses it.
    pub fn subset(&self) -> u16 {
        self.subset
    }

    /// Whether it was decided into how many subsets its zone is divided.
    pub fn is_divided(&self) -> bool {
        self.subsets > 0
    }

    /// The operations it serves.
    pub fn operations(&self) -> &[OperationId] {
        &self.operations
    }

    /// Weights as published.
    pub fn entries(&self) -> &NodeWeights {
        &self.entries
    }

    /// The admission order as published; `None`: all is admitted.
    pub fn admission(&self, operation: OperationId) -> Option<&AdmissionPolicy> {
        self.admission.get(&operation)
    }

    /// Entries of a message that holds the whole table.
    pub fn message_entries(&self) -> usize {
        1 + self.entries.len() + self.admission.len()
    }

    /// Publishes a weight; 0 removes the entry.
    pub fn set_weight(&mut self, node: NodeId, weight: f64) {
        if weight > 0.0 {
            self.entries.insert(node, weight);
        } else {
            self.entries.remove(&node);
        }
    }

    /// Publishes an admission order.
    pub fn set_admission(&mut self, operation: OperationId, order: AdmissionPolicy) {
        self.admission.insert(operation, order);
    }

    /// The table of one of so many subsets; the first keeps what was published.
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

    /// Takes entries as published.
    #[cfg(test)]
    pub fn set_entries(&mut self, entries: NodeWeights) {
        self.entries = entries;
    }

    /// The zone of its proxies.
    pub fn zone(&self) -> ZoneId {
        self.class.zone
    }

    /// Whether a proxy of that zone uses it.
    pub fn serves(&self, proxy: ProxyId, zone: ZoneId) -> bool {
        zone == self.class.zone && proxy.0 % self.subsets.max(1) == self.subset
    }
}

/// All tables.
pub(crate) type Tables = BTreeMap<TableId, Table>;

/// One table for each zone, or two where some operations stay in their zone and some don't.
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

/// The classes of demand that have tables, each with a sum of 0.
pub(crate) fn zero_demand(tables: &Tables) -> BTreeMap<DemandClass, f64> {
    tables.values().map(|table| (table.class, 0.0)).collect()
}
