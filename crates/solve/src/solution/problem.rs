//! From a fleet to sources and sinks.

use crate::fleet::{Fleet, Operation};
use crate::flow::{Sink, Source};
use std::collections::BTreeMap;

/// An operation's guaranteed share gains so many times the largest gain more than all else.
const GUARANTEE_FACTOR: f64 = 4.0;

/// An operation as a zone's gateways ask for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ZoneOperation<'a> {
    pub zone: &'a str,
    /// Its place in the fleet.
    pub operation: usize,
}

/// The hosts of one zone and price.
pub(super) struct HostClass<'a> {
    pub zone: &'a str,
    pub price: f64,
    /// Seconds of work a second that they may be given together.
    pub limit: f64,
}

/// What a source stands for.
pub(super) struct Demand<'a> {
    pub of: ZoneOperation<'a>,
    /// Demand up to the operation's least share, which comes before all else.
    pub is_guaranteed: bool,
}

/// A fleet as a transportation problem.
pub(super) struct Problem<'a> {
    pub fleet: &'a Fleet,
    /// Seconds of work a second that are asked for.
    pub work: BTreeMap<ZoneOperation<'a>, f64>,
    pub host_classes: Vec<HostClass<'a>>,
    /// By host, in the fleet's order.
    pub class_of_host: Vec<usize>,
    pub sinks: Vec<Sink>,
    /// The hosts that a sink stands for, by sink. (A sink's own class is its zone.)
    pub class_of_sink: Vec<usize>,
    pub sources: Vec<Source>,
    /// By source.
    pub demands: Vec<Demand<'a>>,
    /// What guaranteed demand gains over its own gain.
    pub guarantee_bonus: f64,
}

impl<'a> Problem<'a> {
    /// The problem of a fleet that was checked.
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
            self.host_classes[class].limit += self.fleet.room(host);
            self.class_of_host.push(class);
        }
    }

    /// Each part of the hosts' limit that costs the same is a sink.
    fn add_sinks(&mut self, zones: &[&str]) {
        let fleet = self.fleet;
        let highest_value = highest_value(fleet);
        for (at, class) in self.host_classes.iter().enumerate() {
            let zone = zones.iter().position(|zone| *zone == class.zone);
            let carried = fleet.carried_now(class.zone, class.price);
            for part in limit_parts(fleet, class.limit, carried) {
                self.sinks.push(Sink {
                    class: zone.unwrap_or(0),
                    amount: part.amount,
                    cost: part.filling * highest_value + part.change + class.price,
                });
                self.class_of_sink.push(at);
            }
        }
    }

    fn add_sources(&mut self, zones: &[&str]) {
        for (of, work) in &self.work {
            let operation = &self.fleet.operations[of.operation];
            let guaranteed = work * operation.least_share;
            let other = work * (1.0 - operation.least_share);
            for (amount, is_guaranteed) in [(guaranteed, true), (other, false)] {
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
                    gains: gains(self.fleet, operation, of.zone, zones, bonus),
                });
                self.demands.push(Demand {
                    of: *of,
                    is_guaranteed,
                });
            }
        }
    }
}

fn demanded_work(fleet: &Fleet) -> BTreeMap<ZoneOperation<'_>, f64> {
    let mut work = BTreeMap::new();
    for gateway in &fleet.gateways {
        for (at, operation) in fleet.operations.iter().enumerate() {
            let demand = gateway.demand.get(&operation.name).copied().unwrap_or(0.0);
            let key = ZoneOperation {
                zone: &gateway.zone,
                operation: at,
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
fn highest_value(fleet: &Fleet) -> f64 {
    let values = fleet.operations.iter();
    values
        .map(|operation| operation.billed_value / operation.work)
        .fold(0.0, f64::max)
}

/// More than any gain or cost in the fleet, so that guaranteed demand is served first.
fn guarantee_bonus(fleet: &Fleet) -> f64 {
    let value = highest_value(fleet);
    let prices = fleet.hosts.iter().map(|host| host.price);
    let last_step = fleet.steps.last().map_or(0.0, |step| step.1 * value);
    let highest = value + prices.fold(0.0, f64::max) + fleet.change_price + last_step;
    let ways = fleet.operations.iter();
    let way = ways
        .map(|operation| fleet.way(operation, true) / operation.work)
        .fold(0.0, f64::max);
    GUARANTEE_FACTOR * (highest + way)
}

/// The gain of a second of work in each zone; `None`: the operation stays in its own zone.
fn gains(
    fleet: &Fleet,
    operation: &Operation,
    from: &str,
    zones: &[&str],
    bonus: f64,
) -> Vec<Option<f64>> {
    let gain = |zone: &&str| {
        let crosses = *zone != from;
        let gain = (operation.billed_value - fleet.way(operation, crosses)) / operation.work;
        (!(crosses && operation.stays_in_zone)).then_some(gain + bonus)
    };
    zones.iter().map(gain).collect()
}

/// A part of what hosts may be given, all of which costs the same.
struct LimitPart {
    amount: f64,
    /// As a part of the highest value of a second of work.
    filling: f64,
    /// For work that would have to move here.
    change: f64,
}

/// Divides a limit where it becomes more expensive: at the steps of filling hosts, and at what they carry now.
/// What they carry already is never more expensive than what would come, so the parts fill in their order.
fn limit_parts(fleet: &Fleet, limit: f64, carried: f64) -> Vec<LimitPart> {
    let change = if fleet.standing.is_empty() {
        0.0
    } else {
        fleet.change_price
    };
    let mut parts = Vec::new();
    let mut before = 0.0;
    for (until, filling) in &fleet.steps {
        let until = limit * until;
        let carried = carried.clamp(before, until);
        if carried > before {
            parts.push(LimitPart {
                amount: carried - before,
                filling: *filling,
                change: 0.0,
            });
        }
        if until > carried || until <= before {
            parts.push(LimitPart {
                amount: (until - carried).max(0.0),
                filling: *filling,
                change,
            });
        }
        before = until;
    }
    parts
}
