//! Converts flows to the results of hosts, proxies and zones.

use super::problem::{Problem, ZoneOperation};
use super::{AdmissionResult, FlowResult, HostResult, Solution, Status};
use crate::fleet::Host;
use crate::flow::Flows;
use std::collections::BTreeMap;

/// A host counts as full if its load is below its limit by no more than this ratio of the limit.
const FULL_TOLERANCE: f64 = 1e-9;

/// Lower bound that keeps divisors above zero.
const MIN_POSITIVE: f64 = 1e-300;

/// An operation with the zone of its proxies and the zone of its hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Route<'a> {
    operation: usize,
    from: &'a str,
    to: &'a str,
}

/// Sums of flows, from which the solution is built.
pub(super) struct Report<'a> {
    problem: &'a Problem<'a>,
    flows: &'a Flows,
    objective: f64,
    value_per_s: f64,
    /// Load by class of hosts, in seconds of work a second.
    load_by_class: Vec<f64>,
    admitted: BTreeMap<ZoneOperation<'a>, f64>,
    /// Invocations a second.
    routes: BTreeMap<Route<'a>, f64>,
}

impl<'a> Report<'a> {
    /// Sums the flows of a problem.
    pub fn new(problem: &'a Problem<'a>, flows: &'a Flows) -> Report<'a> {
        let mut report = Report {
            problem,
            flows,
            objective: 0.0,
            value_per_s: 0.0,
            load_by_class: vec![0.0; problem.host_classes.len()],
            admitted: BTreeMap::new(),
            routes: BTreeMap::new(),
        };
        for source in 0..problem.sources.len() {
            for sink in 0..problem.sinks.len() {
                let work = flows.work[source][sink];
                if work > 0.0 {
                    report.add(source, sink, work);
                }
            }
        }
        report
    }

    fn add(&mut self, source: usize, sink: usize, work: f64) {
        let problem = self.problem;
        let demand = &problem.demands[source];
        let operation = &problem.fleet.operations[demand.zone_operation.operation];
        let to = &problem.sinks[sink];
        let class = problem.class_of_sink[sink];
        let gain = problem.sources[source].gains[to.class].unwrap_or(0.0);
        let bonus = if demand.is_guaranteed {
            problem.guarantee_bonus
        } else {
            0.0
        };
        self.objective += work * (gain - to.cost - bonus);
        self.value_per_s += work / operation.work * operation.billed_value;
        self.load_by_class[class] += work;
        *self.admitted.entry(demand.zone_operation).or_insert(0.0) += work;
        let route = Route {
            operation: demand.zone_operation.operation,
            from: demand.zone_operation.zone,
            to: problem.host_classes[class].zone,
        };
        *self.routes.entry(route).or_insert(0.0) += work / operation.work;
    }

    /// Builds the solution.
    pub fn solution(&self) -> Solution {
        Solution {
            status: if self.flows.cut_short {
                Status::CutShort
            } else {
                Status::Optimal
            },
            objective: self.objective,
            value_per_s: self.value_per_s,
            hosts: self.hosts(),
            gateways: self.gateways(),
            flows: self.zone_flows(),
            paths: self.flows.paths,
        }
    }

    fn hosts(&self) -> Vec<HostResult> {
        let total: f64 = self.load_by_class.iter().sum();
        let hosts = || {
            self.problem
                .fleet
                .hosts
                .iter()
                .zip(&self.problem.class_of_host)
        };
        let is_loaded = |host: &Host, class: usize| {
            self.problem.fleet.load_limit(host) > 0.0 && self.load_by_class[class] > 0.0
        };
        let loaded = hosts().filter(|(host, class)| is_loaded(host, **class));
        let loaded_count = loaded.count().max(1) as f64;
        let weight = |load: f64| {
            if total > 0.0 {
                load / total * loaded_count
            } else {
                0.0
            }
        };
        hosts()
            .map(|(host, class)| self.host(host, *class, &weight))
            .collect()
    }

    fn host(&self, host: &Host, class: usize, weight: &dyn Fn(f64) -> f64) -> HostResult {
        let limit = self.problem.fleet.load_limit(host);
        let class_limit = self.problem.host_classes[class].limit;
        let load = if class_limit > 0.0 {
            self.load_by_class[class] * limit / class_limit
        } else {
            0.0
        };
        let shadow_price = if limit > 0.0 {
            self.shadow_price(class)
        } else {
            0.0
        };
        HostResult {
            id: host.id.clone(),
            zone: host.zone.clone(),
            weight: weight(load),
            load,
            capacity: host.capacity,
            shadow_price,
            binds: binding_constraint(limit, load),
        }
    }

    /// The shadow price of the last and most expensive sink of a class, at which the limit ends.
    fn shadow_price(&self, class: usize) -> f64 {
        let sinks = &self.problem.class_of_sink;
        let last_sink = sinks.iter().rposition(|sink_class| *sink_class == class);
        let price = last_sink
            .and_then(|last_sink| self.flows.sink_price.get(last_sink))
            .copied()
            .unwrap_or(0.0);
        // The bonus of guaranteed demand is not part of the value.
        let bonus = self.problem.guarantee_bonus;
        if price > bonus {
            price - bonus
        } else {
            price
        }
    }

    fn gateways(&self) -> Vec<AdmissionResult> {
        let fleet = self.problem.fleet;
        let mut results = Vec::new();
        for gateway in &fleet.gateways {
            for (index, operation) in fleet.operations.iter().enumerate() {
                let demand = gateway.demand.get(&operation.name).copied().unwrap_or(0.0);
                if demand <= 0.0 {
                    continue;
                }
                let key = ZoneOperation {
                    zone: &gateway.zone,
                    operation: index,
                };
                let admitted = self.admitted.get(&key).copied().unwrap_or(0.0);
                let share = admitted / self.problem.work[&key].max(MIN_POSITIVE);
                results.push(AdmissionResult {
                    id: gateway.id.clone(),
                    operation: operation.name.clone(),
                    admitted: share.min(1.0),
                });
            }
        }
        results
    }

    fn zone_flows(&self) -> Vec<FlowResult> {
        let routes = self.routes.iter();
        routes
            .map(|(route, invocations)| FlowResult {
                operation: self.problem.fleet.operations[route.operation].name.clone(),
                from: route.from.to_string(),
                to: route.to.to_string(),
                invocations: *invocations,
            })
            .collect()
    }
}

/// The constraint that keeps a host's load from being higher, as text for the solution.
fn binding_constraint(limit: f64, load: f64) -> &'static str {
    if limit <= 0.0 {
        "draining or without capacity"
    } else if load >= limit * (1.0 - FULL_TOLERANCE) {
        "its capacity"
    } else if load > 0.0 {
        "nothing"
    } else {
        "not needed, or too dear"
    }
}
