//! Admission under overload: what is asked beyond capacity is rejected at the proxies, the operations of least
//! billed value first.
//!
//! Covers overload, lost nodes, and whatever slows all nodes at once. Harm: an estimate too low rejects too much,
//! so nothing is cut unless measured load or failures confirm it, and never below what nodes were lately seen to
//! serve; the easing factor follows the failures rather than the estimate.

use crate::fleet::Fleet;
use crate::fleet_load::{mean_utilization, measured_load, FleetLoad, LOAD_THRESHOLDS};
use crate::ids::{OperationId, TableId, ZoneId};
use crate::lifecycle::Node;
use crate::retry_policy::retry_policy;
use crate::slow_start::warming_limit;
use crate::tables::{AdmissionOrder, DemandClass, Table};
use crate::time::Moment;
use crate::update_plan::AdmissionCut;
use std::collections::BTreeMap;

/// What admission aims at under overload.
struct CapacityTarget {
    /// Of the estimated capacity.
    of_capacity: f64,
    /// Of the most that a node was lately seen to serve: it can do that again.
    of_recent_peak: f64,
}

const CAPACITY_TARGET: CapacityTarget = CapacityTarget {
    of_capacity: 0.77,
    of_recent_peak: 0.95,
};

/// How admission follows failures.
struct Easing {
    /// Each cut, to what was aimed at before.
    cut: f64,
    least: f64,
    /// Each return, while the fleet is not overrun.
    recovery: f64,
    /// Report cycles between two cuts: each waits for reports from after it.
    cut_cycles: f64,
}

const EASING: Easing = Easing {
    cut: 0.85,
    least: 0.8,
    recovery: 0.06,
    cut_cycles: 3.0,
};

/// Of an operation's traffic: what is left before the next operation is cut, in two rounds.
const LEAST_RATIOS: [f64; 2] = [0.3, 0.02];
/// An admission ratio's return each time: to the ratio and this much more, at most.
const RETURN_STEP: f64 = 0.08;
const RETURN_OFFSET: f64 = 0.2;
/// Of an operation's traffic: larger ratios admit all.
const ADMIT_ALL: f64 = 0.97;
/// A rate at each proxy that admits all.
const UNLIMITED_RATE: f64 = 1e6;
const LEAST_RATE: f64 = 0.1;

/// The admission ratios that were decided.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Part of the requests that is admitted, by table and operation.
    ratios: BTreeMap<(TableId, OperationId), f64>,
    /// What the last resort of an update plan takes off a table.
    cut: Option<AdmissionCut>,
    /// To the capacity that is aimed at: lower while failures go on.
    easing: f64,
    last_eased_at: Moment,
    load: FleetLoad,
    /// When the fleet was last anything but calm.
    last_busy_at: Moment,
}

impl Admission {
    /// Everything is admitted.
    pub fn new(now: Moment) -> Admission {
        Admission {
            ratios: BTreeMap::new(),
            cut: None,
            easing: 1.0,
            last_eased_at: now,
            load: FleetLoad::Normal,
            last_busy_at: now,
        }
    }

    /// Whether the fleet is overloaded.
    pub fn is_strained(&self) -> bool {
        self.load == FleetLoad::Overloaded
    }

    /// The last resort of the latest update plan; `None`: it had headroom.
    pub fn set_cut(&mut self, cut: Option<AdmissionCut>) {
        self.cut = cut;
    }

    /// What was last set.
    #[cfg(test)]
    pub fn cut(&self) -> Option<AdmissionCut> {
        self.cut
    }

    /// Decides the admission ratios of all tables.
    pub fn update(&mut self, fleet: &Fleet) {
        self.update_load(fleet);
        let demand = fleet.demand_by_class();
        let wanted = self.ratios_by_value(fleet, demand.values().sum());
        for (id, table) in &fleet.tables {
            let local_limit = local_limit(fleet, table, &demand);
            let warming_limit = warming_ratio(fleet, table);
            let is_tight = local_limit.is_some() || self.is_strained();
            for operation in table.operations() {
                let before = self.ratio(*id, *operation);
                let most = before + RETURN_STEP * (before + RETURN_OFFSET).min(1.0);
                let mut ratio = wanted[operation];
                if let Some(limit) = local_limit.filter(|limit| *limit > 0.0) {
                    ratio = ratio.min(limit);
                }
                ratio = if is_tight {
                    ratio.min(most)
                } else {
                    ratio.max(most)
                };
                if let Some(limit) = warming_limit {
                    ratio = ratio.min(limit);
                }
                self.ratios
                    .insert((*id, *operation), ratio.clamp(LEAST_RATIOS[1], 1.0));
            }
        }
    }

    fn ratio(&self, table: TableId, operation: OperationId) -> f64 {
        self.ratios.get(&(table, operation)).copied().unwrap_or(1.0)
    }

    fn update_load(&mut self, fleet: &Fleet) {
        let (now, cycle, load) = (fleet.now, fleet.timing.cycle(), measured_load(fleet));
        if load < 1.0 {
            self.easing = (self.easing + EASING.recovery).min(1.0);
        } else if now - self.last_eased_at > cycle * EASING.cut_cycles {
            self.easing = (self.easing * EASING.cut).max(EASING.least);
            self.last_eased_at = now;
        }
        let has_been_calm = now - self.last_busy_at > cycle * LOAD_THRESHOLDS.low_cycles;
        self.load = if load >= LOAD_THRESHOLDS.overload {
            FleetLoad::Overloaded
        } else if load < LOAD_THRESHOLDS.low && has_been_calm {
            FleetLoad::Low
        } else {
            FleetLoad::Normal
        };
        if load >= LOAD_THRESHOLDS.low {
            self.last_busy_at = now;
        }
    }

    /// Ratios by operation that leave no more than the nodes can serve: the cheapest are cut first.
    fn ratios_by_value(&self, fleet: &Fleet, demand: f64) -> BTreeMap<OperationId, f64> {
        let usable = |node: &Node| {
            let peak = node.load.recent_peak() * CAPACITY_TARGET.of_recent_peak;
            fleet.capacity_of(node).max(peak)
        };
        let capacity: f64 = fleet.nodes.open().map(|(_, node)| usable(node)).sum();
        let target = CAPACITY_TARGET.of_capacity * self.easing * capacity;
        let mut excess = (demand - target).max(0.0);
        let scale = demand / fleet.members.total_demand().max(1e-6);
        let operations = fleet.config.operations.iter();
        let mut by_value: Vec<(f64, OperationId)> = operations
            .map(|operation| (operation.billed_value, operation.id))
            .collect();
        by_value.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut ratios: BTreeMap<OperationId, f64> =
            by_value.iter().map(|(_, id)| (*id, 1.0)).collect();
        for least in LEAST_RATIOS {
            for (_, id) in &by_value {
                let proxies = fleet.members.proxies().values();
                let own_demand = proxies.map(|proxy| proxy.demand(&[*id])).sum::<f64>();
                let offered = own_demand * scale;
                let cut = excess.min(offered * (ratios[id] - least).max(0.0));
                excess -= cut;
                if let Some(ratio) = ratios.get_mut(id) {
                    *ratio -= cut / offered.max(1e-6);
                }
            }
        }
        ratios
    }

    /// What is to be published for an operation of a table.
    pub fn order(&self, fleet: &Fleet, table: TableId, operation: OperationId) -> AdmissionOrder {
        let cut = self.cut.filter(|cut| cut.table == table);
        let ratio = self.ratio(table, operation) * cut.map_or(1.0, |cut| cut.admitted);
        let known = &fleet.config.operations[usize::from(operation.0)];
        AdmissionOrder {
            limit: limit_for(fleet, &fleet.tables[&table], operation, ratio),
            retry: retry_policy(known, self.load),
        }
    }
}

/// Where requests may not leave a zone whose nodes are strained: the ratio that these can serve.
fn local_limit(fleet: &Fleet, table: &Table, demand: &BTreeMap<DemandClass, f64>) -> Option<f64> {
    let zone = table.zone();
    let is_strained = |zone: ZoneId| {
        mean_utilization(fleet, |node| node.zone() == zone) >= LOAD_THRESHOLDS.overload
    };
    if !table.class().stays_in_zone || !is_strained(zone) {
        return None;
    }
    let own = fleet.nodes.open().filter(|(_, node)| node.zone() == zone);
    let capacity = own.map(|(_, node)| fleet.capacity_of(node)).sum::<f64>();
    Some(capacity / demand[&table.class()].max(1e-6))
}

/// Where a table has entries of warming nodes only: the ratio that these may take.
fn warming_ratio(fleet: &Fleet, table: &Table) -> Option<f64> {
    if table.entries().is_empty() {
        return None;
    }
    let limit = |node: &Node| node.is_warming().then(|| warming_limit(fleet, node));
    let entries = table.entries().keys();
    let limits: Option<Vec<f64>> = entries.map(|id| limit(fleet.nodes.get(id)?)).collect();
    let sum: f64 = limits?.iter().sum();
    Some(sum / fleet.demand_of(table).max(1e-6))
}

/// An admission ratio as the settings want it said. As a rate at each proxy it is the one rate under which the
/// table's proxies, unequal in size, admit that ratio together.
fn limit_for(fleet: &Fleet, table: &Table, operation: OperationId, ratio: f64) -> f64 {
    match (fleet.config.admission_as_share, ratio > ADMIT_ALL) {
        (true, true) => 1.0,
        (true, false) => ratio,
        (false, true) => UNLIMITED_RATE,
        (false, false) => {
            let joined = fleet
                .proxies_of(table)
                .filter(|(_, proxy)| proxy.has_joined());
            let demand = joined
                .map(|(_, proxy)| proxy.demand(&[operation]))
                .collect();
            common_rate_limit(demand, ratio).unwrap_or(UNLIMITED_RATE)
        }
    }
}

/// The one rate under which proxies of such demands, unequal in size, admit a ratio of them together.
fn common_rate_limit(mut demand: Vec<f64>, ratio: f64) -> Option<f64> {
    demand.sort_by(f64::total_cmp);
    let (mut left, mut count) = (demand.iter().sum::<f64>() * ratio, demand.len());
    for rate in demand {
        if rate * count as f64 >= left {
            return Some((left / count as f64).max(LEAST_RATE));
        }
        (left, count) = (left - rate, count - 1);
    }
    None
}
