//! Admission under overload: demand beyond the capacity target is rejected at the proxies, starting with the
//! operations of the lowest billed value.
//!
//! This covers overload, lost nodes and anything that slows down all nodes at once. A capacity estimate that is too low
//! would reject too many requests. Therefore admission is cut to the capacity target only while measured load or
//! failures show an overload, and the capacity of a node counts as at least a ratio of the rate that it recently
//! served. The capacity target is multiplied by the capacity factor, which follows the measured load and failures, not
//! the capacity estimates.

use crate::fleet::Fleet;
use crate::fleet_load::{mean_utilization, measured_load, FleetLoad, LOAD_THRESHOLDS};
use crate::ids::{OperationId, TableId, ZoneId};
use crate::lifecycle::Node;
use crate::retry_policy::retry_policy;
use crate::slow_start::warming_limit;
use crate::tables::{AdmissionPolicy, DemandClass, Table};
use crate::time::Moment;
use crate::update_plan::AdmissionCut;
use std::collections::BTreeMap;

/// Ratios of which the capacity target is computed: the requests per second that are admitted under overload.
struct CapacityTargetRatios {
    /// The capacity target before the capacity factor, as a ratio of the summed capacity of all open nodes.
    capacity_ratio: f64,
    /// The capacity of a node counts as at least this ratio of the highest rate that it recently served: the node
    /// can serve that rate again, even if the estimate is lower.
    recent_peak_ratio: f64,
}

const CAPACITY_TARGET_RATIOS: CapacityTargetRatios = CapacityTargetRatios {
    capacity_ratio: 0.77,
    recent_peak_ratio: 0.95,
};

/// Parameters of the capacity factor, by which the capacity target is multiplied. The factor decreases while the
/// measured load is at least 1 and increases otherwise.
struct CapacityFactorSteps {
    /// Multiplier of the factor at each decrease.
    decrease: f64,
    /// Minimum value of the factor.
    min: f64,
    /// Increment in each admission update while the measured load is below 1.
    increase: f64,
    /// Minimum interval between two decreases, in report cycles, so that reports show the effect of one decrease
    /// before the next.
    decrease_interval_cycles: f64,
}

const CAPACITY_FACTOR: CapacityFactorSteps = CapacityFactorSteps {
    decrease: 0.85,
    min: 0.8,
    increase: 0.06,
    decrease_interval_cycles: 3.0,
};

/// Minimum admission ratio of an operation, in two passes: every operation is cut to the first ratio before any is
/// cut to the second.
const MIN_RATIOS: [f64; 2] = [0.3, 0.02];
/// Increase of an admission ratio in one update while it recovers: `RECOVERY_STEP` times the sum of the ratio and
/// `RECOVERY_OFFSET`, where that sum counts as at most 1.
const RECOVERY_STEP: f64 = 0.08;
const RECOVERY_OFFSET: f64 = 0.2;
/// Admission ratio above which all requests of an operation are admitted.
const ADMIT_ALL_RATIO: f64 = 0.97;
/// Admission limit of each proxy that admits all requests, in requests per second.
const UNLIMITED_RATE: f64 = 1e6;
/// Minimum admission limit of each proxy, in requests per second.
const MIN_RATE: f64 = 0.1;

/// Current admission ratios and the state from which they are updated.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    /// Ratio of the requests that is admitted, by table and operation.
    ratios: BTreeMap<(TableId, OperationId), f64>,
    /// Admission cut of the latest update plan; `None`: the plan had headroom.
    cut: Option<AdmissionCut>,
    /// Factor of the capacity target; see [`CapacityFactorSteps`].
    capacity_factor: f64,
    /// Time of the last decrease of the capacity factor.
    last_decrease_at: Moment,
    load: FleetLoad,
    /// Last time at which the measured load was at or above `LoadThresholds::low`.
    last_not_low_at: Moment,
}

impl Admission {
    /// Starts with all requests admitted.
    pub fn new(now: Moment) -> Admission {
        Admission {
            ratios: BTreeMap::new(),
            cut: None,
            capacity_factor: 1.0,
            last_decrease_at: now,
            load: FleetLoad::Normal,
            last_not_low_at: now,
        }
    }

    /// Whether the measured load was at or above `LoadThresholds::overload` in the last update.
    pub fn is_overloaded(&self) -> bool {
        self.load == FleetLoad::Overloaded
    }

    /// Sets the admission cut of the latest update plan; `None`: the plan had headroom.
    pub fn set_cut(&mut self, cut: Option<AdmissionCut>) {
        self.cut = cut;
    }

    /// The current admission cut.
    #[cfg(test)]
    pub fn cut(&self) -> Option<AdmissionCut> {
        self.cut
    }

    /// Updates the admission ratios of all tables. A ratio decreases only under overload of the fleet or of the
    /// table's zone, or to stay within the limits of warming nodes; it increases by at least a recovery step
    /// otherwise.
    pub fn update(&mut self, fleet: &Fleet) {
        self.update_load(fleet);
        let demand = fleet.demand_by_class();
        let target_ratios = self.ratios_by_value(fleet, demand.values().sum());
        for (id, table) in &fleet.tables {
            let zone_limit = zone_limit(fleet, table, &demand);
            let warming_limit = warming_ratio(fleet, table);
            let is_overloaded = zone_limit.is_some() || self.is_overloaded();
            for operation in table.operations() {
                let previous = self.ratio(*id, *operation);
                let recovered = previous + RECOVERY_STEP * (previous + RECOVERY_OFFSET).min(1.0);
                let mut ratio = target_ratios[operation];
                if let Some(limit) = zone_limit.filter(|limit| *limit > 0.0) {
                    ratio = ratio.min(limit);
                }
                ratio = if is_overloaded {
                    ratio.min(recovered)
                } else {
                    ratio.max(recovered)
                };
                if let Some(limit) = warming_limit {
                    ratio = ratio.min(limit);
                }
                self.ratios
                    .insert((*id, *operation), ratio.clamp(MIN_RATIOS[1], 1.0));
            }
        }
    }

    fn ratio(&self, table: TableId, operation: OperationId) -> f64 {
        self.ratios.get(&(table, operation)).copied().unwrap_or(1.0)
    }

    fn update_load(&mut self, fleet: &Fleet) {
        let (now, cycle, load) = (fleet.now, fleet.timing.cycle(), measured_load(fleet));
        if load < 1.0 {
            self.capacity_factor = (self.capacity_factor + CAPACITY_FACTOR.increase).min(1.0);
        } else if now - self.last_decrease_at > cycle * CAPACITY_FACTOR.decrease_interval_cycles {
            self.capacity_factor =
                (self.capacity_factor * CAPACITY_FACTOR.decrease).max(CAPACITY_FACTOR.min);
            self.last_decrease_at = now;
        }
        let has_stayed_low = now - self.last_not_low_at > cycle * LOAD_THRESHOLDS.low_cycles;
        self.load = if load >= LOAD_THRESHOLDS.overload {
            FleetLoad::Overloaded
        } else if load < LOAD_THRESHOLDS.low && has_stayed_low {
            FleetLoad::Low
        } else {
            FleetLoad::Normal
        };
        if load >= LOAD_THRESHOLDS.low {
            self.last_not_low_at = now;
        }
    }

    /// Admission ratios by operation that reduce `demand`, in requests per second, to the capacity target.
    /// Operations of the lowest billed value are cut first.
    fn ratios_by_value(&self, fleet: &Fleet, demand: f64) -> BTreeMap<OperationId, f64> {
        let served_capacity = |node: &Node| {
            let peak = node.load.recent_peak() * CAPACITY_TARGET_RATIOS.recent_peak_ratio;
            fleet.capacity_of(node).max(peak)
        };
        let capacity: f64 = fleet
            .nodes
            .open()
            .map(|(_, node)| served_capacity(node))
            .sum();
        let target = CAPACITY_TARGET_RATIOS.capacity_ratio * self.capacity_factor * capacity;
        let mut excess = (demand - target).max(0.0);
        let scale = demand / fleet.members.total_demand().max(1e-6);
        let operations = fleet.config.operations.iter();
        let mut by_value: Vec<(f64, OperationId)> = operations
            .map(|operation| (operation.billed_value, operation.id))
            .collect();
        by_value.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut ratios: BTreeMap<OperationId, f64> =
            by_value.iter().map(|(_, id)| (*id, 1.0)).collect();
        for min_ratio in MIN_RATIOS {
            for (_, id) in &by_value {
                let proxies = fleet.members.proxies().values();
                let operation_demand = proxies.map(|proxy| proxy.demand(&[*id])).sum::<f64>();
                let offered = operation_demand * scale;
                let cut = excess.min(offered * (ratios[id] - min_ratio).max(0.0));
                excess -= cut;
                if let Some(ratio) = ratios.get_mut(id) {
                    *ratio -= cut / offered.max(1e-6);
                }
            }
        }
        ratios
    }

    /// The admission limit and the retry policy to publish for an operation of a table.
    pub fn policy(&self, fleet: &Fleet, table: TableId, operation: OperationId) -> AdmissionPolicy {
        let cut = self.cut.filter(|cut| cut.table == table);
        let ratio = self.ratio(table, operation) * cut.map_or(1.0, |cut| cut.admitted_ratio);
        let configured = &fleet.config.operations[usize::from(operation.0)];
        AdmissionPolicy {
            limit: admission_limit(fleet, &fleet.tables[&table], operation, ratio),
            retry: retry_policy(configured, self.load),
        }
    }
}

/// For a table whose requests stay in its zone: the ratio of the zone's capacity to the demand of the table's class,
/// while the mean utilization of the zone's nodes is at or above `LoadThresholds::overload`; `None` otherwise.
fn zone_limit(fleet: &Fleet, table: &Table, demand: &BTreeMap<DemandClass, f64>) -> Option<f64> {
    let zone = table.zone();
    let is_overloaded = |zone: ZoneId| {
        mean_utilization(fleet, |node| node.zone() == zone) >= LOAD_THRESHOLDS.overload
    };
    if !table.class().stays_in_zone || !is_overloaded(zone) {
        return None;
    }
    let zone_nodes = fleet.nodes.open().filter(|(_, node)| node.zone() == zone);
    let capacity = zone_nodes
        .map(|(_, node)| fleet.capacity_of(node))
        .sum::<f64>();
    Some(capacity / demand[&table.class()].max(1e-6))
}

/// For a table that has entries of warming nodes only: the ratio of the summed load limits of these nodes to the
/// demand of the table; `None` for other tables and tables without entries.
fn warming_ratio(fleet: &Fleet, table: &Table) -> Option<f64> {
    if table.entries().is_empty() {
        return None;
    }
    let limit_if_warming = |node: &Node| node.is_warming().then(|| warming_limit(fleet, node));
    let entries = table.entries().keys();
    let limits: Option<Vec<f64>> = entries
        .map(|id| limit_if_warming(fleet.nodes.get(id)?))
        .collect();
    let limit_sum: f64 = limits?.iter().sum();
    Some(limit_sum / fleet.demand_of(table).max(1e-6))
}

/// Converts an admission ratio to the form that the settings require: a ratio, or a rate limit that is the same
/// for all joined proxies of the table.
fn admission_limit(fleet: &Fleet, table: &Table, operation: OperationId, ratio: f64) -> f64 {
    match (fleet.config.admission_as_share, ratio > ADMIT_ALL_RATIO) {
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

/// The common rate limit under which proxies with the given, unequal demand together admit `ratio` of the total
/// demand; `None` if `ratio` admits all of it. The limit is at least `MIN_RATE`.
fn common_rate_limit(mut demand: Vec<f64>, ratio: f64) -> Option<f64> {
    demand.sort_by(f64::total_cmp);
    let (mut remaining_rate, mut count) = (demand.iter().sum::<f64>() * ratio, demand.len());
    for rate in demand {
        if rate * count as f64 >= remaining_rate {
            return Some((remaining_rate / count as f64).max(MIN_RATE));
        }
        (remaining_rate, count) = (remaining_rate - rate, count - 1);
    }
    None
}
