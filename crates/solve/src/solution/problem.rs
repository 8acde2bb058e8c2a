//! Converts a fleet to a transportation problem of sources and sinks.

use crate::fleet::{Fleet, Operation};
use crate::flow::{Sink, Source};
use std::collections::BTreeMap;

/// The bonus of guaranteed demand, as a multiple of the maximum sum of gains and costs in the fleet.
const GUARANTEE_FACTOR: f64 = 4.0;

/// An operation with demand from the proxies of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZoneOperation<'a> {
    pub zone: &'a str,
    /// The operation's index in the fleet.
    pub operation: usize,
}

/// The hosts of one zone and price.
pub(super) struct HostClass<'a> {
    pub zone: &'a str,
    pub price: f64,
    /// The sum of the hosts' load limits, in seconds of work a second.
    pub limit: f64,
}

/// The demand that a source represents.
pub(super) struct Demand<'a> {
    pub zone_operation: ZoneOperation<'a>,
    /// Whether this is the demand up to the operation's `least_share`, which is served before any other.
    pub is_guaranteed: bool,
}

/// A fleet as a transportation problem.
pub(super) struct Problem<'a> {
    pub fleet: &'a Fleet,
    /// Demand in seconds of work a second.
    pub work: BTreeMap<ZoneOperation<'a>, f64>,
    pub host_classes: Vec<HostClass<'a>>,
    /// The index in `host_classes` by host, in the fleet's order.
    pub class_of_host: Vec<usize>,
    pub sinks: Vec<Sink>,
    /// The index in `host_classes` by sink. ([`Sink::class`] is the index of the zone.)
    pub class_of_sink: Vec<usize>,
    pub sources: Vec<Source>,
    /// The demand by source.
    pub demands: Vec<Demand<'a>>,
    /// The additional gain of a second of guaranteed work.
    pub guarantee_bonus: f64,
}

impl<'a> Problem<'a> {
    /// Converts a fleet, which has to be checked before.
    pub fn new(fleet: &'a Fleet) -> Problem<'a> {
        let mut problem = Problem {
            fleet,
            work: demanded_work(fleet),
            host_classes: Vec::new(),
            class_of_host: Vec::new(),
            sinks: Vec::new(),
            class_of_sink: Vec::new(),
            sources: Vec::new(),
            demands: Vec::new(),
            guarantee_bonus: guarantee_bonus(fleet),
        };
        problem.classify_hosts();
        let zones = zones(fleet);
        problem.add_sinks(&zones);
        problem.add_sources(&zones);
        problem
    }

    fn classify_hosts(&mut self) {
        for host in &self.fleet.hosts {
            let found = self
                .host_classes
                .iter()
                .position(|class| class.zone == host.zone && class.price == host.price);
            let class = found.unwrap_or_else(|| {
                self.host_classes.push(HostClass {
                    zone: &host.zone,
                    price: host.price,
                    limit: 0.0,
                });
                self.host_classes.len() - 1
            });
            self.host_classes[class].limit += self.fleet.load_limit(host);
            self.class_of_host.push(class);
        }
    }

    /// Adds a sink for each part of a class's limit that has the same cost.
    fn add_sinks(&mut self, zones: &[&str]) {
        let fleet = self.fleet;
        let max_work_value = max_work_value(fleet);
        for (index, class) in self.host_classes.iter().enumerate() {
            let zone = zones.iter().position(|zone| *zone == class.zone);
            let current_load = fleet.current_load(class.zone, class.price);
            for part in limit_parts(fleet, class.limit, current_load) {
                self.sinks.push(Sink {
                    class: zone.unwrap_or(0),
                    amount: part.amount,
                    cost: part.fill_cost * max_work_value + part.move_cost + class.price,
                });
                self.class_of_sink.push(index);
            }
        }
    }

    fn add_sources(&mut self, zones: &[&str]) {
        for (zone_operation, work) in &self.work {
            let operation = &self.fleet.operations[zone_operation.operation];
            let guaranteed = work * operation.least_share;
            let not_guaranteed = work * (1.0 - operation.least_share);
            for (amount, is_guaranteed) in [(guaranteed, true), (not_guaranteed, false)] {
                if amount <= 0.0 {
                    continue;
                }
                let bonus = if is_guaranteed {
                    self.guarantee_bonus
                } else {
                    0.0
                };
                self.sources.push(Source {
                    amount,
                    gains: gains(self.fleet, operation, zone_operation.zone, zones, bonus),
                });
                self.demands.push(Demand {
                    zone_operation: *zone_operation,
                    is_guaranteed,
                });
            }
        }
    }
}

fn demanded_work(fleet: &Fleet) -> BTreeMap<ZoneOperation<'_>, f64> {
    let mut work = BTreeMap::new();
    for gateway in &fleet.gateways {
        for (index, operation) in fleet.operations.iter().enumerate() {
            let demand = gateway.demand.get(&operation.name).copied().unwrap_or(0.0);
            let key = ZoneOperation {
                zone: &gateway.zone,
                operation: index,
            };
            *work.entry(key).or_insert(0.0) += demand * operation.work;
        }
    }
    work
}

/// The zones that have hosts, in the fleet's order.
fn zones(fleet: &Fleet) -> Vec<&str> {
    let mut zones: Vec<&str> = Vec::new();
    for host in &fleet.hosts {
        if !zones.contains(&host.zone.as_str()) {
            zones.push(&host.zone);
        }
    }
    zones
}

/// The highest value of a second of work.
fn max_work_value(fleet: &Fleet) -> f64 {
    let values = fleet.operations.iter();
    values
        .map(|operation| operation.billed_value / operation.work)
        .fold(0.0, f64::max)
}

/// A bonus above any gain or cost in the fleet, so that guaranteed demand is served first.
fn guarantee_bonus(fleet: &Fleet) -> f64 {
    let max_value = max_work_value(fleet);
    let prices = fleet.hosts.iter().map(|host| host.price);
    let last_step = fleet.steps.last().map_or(0.0, |step| step.1 * max_value);
    let max_gain_and_cost = max_value + prices.fold(0.0, f64::max) + fleet.change_price + last_step;
    let operations = fleet.operations.iter();
    let max_route_cost = operations
        .map(|operation| fleet.route_cost(operation, true) / operation.work)
        .fold(0.0, f64::max);
    GUARANTEE_FACTOR * (max_gain_and_cost + max_route_cost)
}

/// The gain of a second of work by zone; `None` where the operation has to stay in its own zone.
fn gains(
    fleet: &Fleet,
    operation: &Operation,
    from: &str,
    zones: &[&str],
    bonus: f64,
) -> Vec<Option<f64>> {
    let gain = |zone: &&str| {
        let crosses = *zone != from;
        let gain = (operation.billed_value - fleet.route_cost(operation, crosses)) / operation.work;
        (!(crosses && operation.stays_in_zone)).then_some(gain + bonus)
    };
    zones.iter().map(gain).collect()
}

/// A part of a class's load limit in which every unit has the same cost.
struct LimitPart {
    amount: f64,
    /// The cost of the load step, as a ratio of the maximum value of a second of work.
    fill_cost: f64,
    /// The price of moving a second of work to this class; 0 within the current load.
    move_cost: f64,
}

/// Divides a limit where the cost rises: at the load steps, and at the current load. The current load is never more
/// expensive than additional load, so the parts are filled in order.
fn limit_parts(fleet: &Fleet, limit: f64, current_load: f64) -> Vec<LimitPart> {
    let move_cost = if fleet.standing.is_empty() {
        0.0
    } else {
        fleet.change_price
    };
    let mut parts = Vec::new();
    let mut start = 0.0;
    for (end, fill_cost) in &fleet.steps {
        let end = limit * end;
        let current_load = current_load.clamp(start, end);
        if current_load > start {
            parts.push(LimitPart {
                amount: current_load - start,
                fill_cost: *fill_cost,
                move_cost: 0.0,
            });
        }
        if end > current_load || end <= start {
            parts.push(LimitPart {
                amount: (end - current_load).max(0.0),
                fill_cost: *fill_cost,
                move_cost,
            });
        }
        start = end;
    }
    parts
}
