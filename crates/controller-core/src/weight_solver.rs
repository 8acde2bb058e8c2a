//! Solved weights, where the deployment turns them on: capacities told by kind are corrected by the sums,
//! what is asked for is taken from them too, and the weights that follow reach the module as the listed
//! weights of nodes. How traffic gets there is the module's to order. A solve that fails leaves the last
//! good weights.

use crate::deployment::{Deployment, SolverPlan};
use crate::endpoint_list::{show, EndpointList};
use crate::membership::Membership;
use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus, Event};
use wheelspread_solve::estimate::{Estimate, Seen};
use wheelspread_solve::steady::{next, Steadiness};
use wheelspread_solve::{solve, Fleet, Gateway, Host, HostState, Operation, Status};

/// Steps of one solve: far more than the largest fleets take, so that the loop is never held up for long.
const STEPS: usize = 50_000;
/// Of an even weight: a node that should carry nothing is still listed, and with less it would be noise.
const LEAST: f64 = 0.05;
/// Of what is remembered of demand, each period.
const FORGET: f64 = 0.3;

#[derive(Clone, Debug, Default)]
pub struct WeightSolver {
    estimates: BTreeMap<NodeId, Estimate>,
    /// Invocations a second, by zone and operation.
    demand: BTreeMap<(ZoneId, OperationId), f64>,
    standing: BTreeMap<String, f64>,
    next_at: Moment,
}

/// What a round came to.
#[derive(Clone, Debug, PartialEq)]
pub enum SolverOutcome {
    /// Nodes whose listed weight changes.
    Changed(Vec<EndpointEntry>),
    Failed(String),
}

impl WeightSolver {
    /// The weight that a node is listed with, where one was solved.
    pub fn weight(&self, node: NodeId) -> Option<f64> {
        self.standing
            .get(&show(node))
            .map(|weight| weight.max(LEAST))
    }

    /// Puts solved weights in the place of listed ones.
    pub fn apply_to_event(&self, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                entry.weight = self.weight(entry.node).unwrap_or(entry.weight);
            }
        }
        event
    }

    /// The events of a period's end.
    pub fn record_reports(
        &mut self,
        events: &[Event],
        plan: &Deployment,
        solver: &SolverPlan,
        members: &Membership,
        nodes: &EndpointList,
    ) {
        let mut asked: BTreeMap<(ZoneId, OperationId), f64> = BTreeMap::new();
        let mut met: BTreeMap<NodeId, (f64, f64, f64, Option<f64>)> = BTreeMap::new();
        for event in events {
            match event {
                Event::DemandReport {
                    proxy,
                    operation,
                    requests: count,
                    window: over,
                    ..
                } if over.seconds() > 0.0 => {
                    let zone = members.by_id(*proxy).map(|member| member.zone);
                    if let Some(zone) = zone {
                        *asked.entry((zone, *operation)).or_insert(0.0) += count / over.seconds();
                    }
                }
                Event::NodeLoadReport {
                    node,
                    attempts: tries,
                    failures: errored,
                    window: over,
                    metrics: load,
                    ..
                } if over.seconds() > 0.0 => {
                    let sum = met.entry(*node).or_insert((0.0, 0.0, 0.0, None));
                    let place = plan
                        .sums
                        .loads
                        .iter()
                        .position(|name| name == "utilization");
                    let busy = place
                        .and_then(|place| load.get(place))
                        .copied()
                        .filter(|busy| *busy >= 0.0);
                    *sum = (
                        sum.0 + tries / over.seconds(),
                        sum.1 + errored,
                        sum.2 + tries,
                        busy.or(sum.3),
                    );
                }
                _ => {}
            }
        }
        for (key, rate) in asked {
            let known = self.demand.entry(key).or_insert(rate);
            *known += FORGET * (rate - *known);
        }
        let mean_work = self.mean_work(plan, solver);
        for (node, (rate, errored, tries, utilization)) in met {
            let Some(record) = nodes.record(node) else {
                continue;
            };
            let told = solver.capacities.get(&record.kind).copied().unwrap_or(0.0);
            let seen = Seen {
                load: rate * mean_work,
                utilization,
                late_or_errored: errored / tries.max(1.0),
                tries,
            };
            self.estimates
                .entry(node)
                .or_insert_with(|| Estimate::new(told))
                .see(seen);
        }
    }

    fn mean_work(&self, plan: &Deployment, solver: &SolverPlan) -> f64 {
        let work = |operation: &OperationId| {
            let name = plan
                .operations
                .get(usize::from(operation.0))
                .map(|operation| operation.name.as_str());
            name.and_then(|name| solver.work.get(name))
                .map_or(0.0, |work| work.0.seconds())
        };
        let all: f64 = self.demand.values().sum();
        let sum: f64 = self
            .demand
            .iter()
            .map(|((_, operation), rate)| rate * work(operation))
            .sum();
        if all > 0.0 {
            sum / all
        } else {
            solver
                .work
                .values()
                .map(|work| work.0.seconds())
                .fold(0.0, f64::max)
        }
    }

    fn fleet(&self, plan: &Deployment, solver: &SolverPlan, nodes: &EndpointList) -> Fleet {
        let host = |(record, entry): (&crate::endpoint_list::EndpointRecord, &EndpointEntry)| {
            let told = solver.capacities.get(&record.kind).copied().unwrap_or(0.0);
            Host {
                id: show(record.node),
                zone: record.zone.clone(),
                capacity: self
                    .estimates
                    .get(&record.node)
                    .map_or(told, Estimate::capacity),
                // The module raises a cold node as it warms; its weight here is that of a warm one.
                state: match entry.status {
                    EndpointStatus::Ready => HostState::Ready,
                    _ => HostState::Draining,
                },
                price: 0.0,
                load_at_most: None,
                kind: String::new(),
            }
        };
        let zone_of = |zone: &ZoneId| {
            plan.zones
                .get(usize::from(zone.0))
                .cloned()
                .unwrap_or_default()
        };
        let mut gateways: BTreeMap<String, Gateway> = BTreeMap::new();
        for ((zone, operation), rate) in &self.demand {
            let name = zone_of(zone);
            let Some(told) = plan.operations.get(usize::from(operation.0)) else {
                continue;
            };
            let empty = Gateway {
                id: name.clone(),
                zone: name.clone(),
                demand: BTreeMap::new(),
            };
            gateways
                .entry(name)
                .or_insert(empty)
                .demand
                .insert(told.name.clone(), *rate);
        }
        let operation = |told: &crate::deployment::OperationPlan| Operation {
            name: told.name.clone(),
            billed_value: told.billed_value,
            work: solver
                .work
                .get(&told.name)
                .map_or(1.0, |work| work.0.seconds()),
            holds: None,
            stays_in_zone: told.stays_in_zone,
            least_share: solver.least_share,
        };
        Fleet {
            hosts: nodes.listed().map(host).collect(),
            gateways: gateways.into_values().collect(),
            operations: plan.operations.iter().map(operation).collect(),
            cross_zone_price: plan.cross_zone_price,
            connection_price: 0.0,
            crossing_seconds: 0.0,
            fill_at_most: solver.fill_at_most,
            cold_share: plan.rules.cold_start_share,
            steps: vec![(0.6, 0.0), (0.8, 0.01), (1.0, 0.03)],
            standing: BTreeMap::new(),
            change_price: 0.0,
        }
    }

    /// Solves, if it is time to.
    pub fn solve_if_due(
        &mut self,
        now: Moment,
        plan: &Deployment,
        solver: &SolverPlan,
        nodes: &EndpointList,
    ) -> Option<SolverOutcome> {
        if now < self.next_at || nodes.version().is_empty() || self.demand.is_empty() {
            return None;
        }
        self.next_at = now + solver.every;
        self.estimates
            .retain(|node, _| nodes.record(*node).is_some());
        let fleet = self.fleet(plan, solver, nodes);
        let mut left = STEPS;
        let mut over = || {
            left = left.saturating_sub(1);
            left == 0
        };
        let solution = match solve(&fleet, &mut over) {
            Ok(solution) if solution.status == Status::Optimal => solution,
            Ok(_) => return Some(SolverOutcome::Failed("it took too many steps".to_string())),
            Err(refused) => return Some(SolverOutcome::Failed(refused.to_string())),
        };
        let solved = solution
            .hosts
            .iter()
            .map(|host| (host.id.clone(), host.weight.max(LEAST)))
            .collect();
        // A node without a weight so far stands at an even one.
        let even = |host: &Host| {
            (
                host.id.clone(),
                self.standing.get(&host.id).copied().unwrap_or(1.0),
            )
        };
        let standing: BTreeMap<String, f64> = fleet.hosts.iter().map(even).collect();
        let before = std::mem::replace(
            &mut self.standing,
            next(&standing, &solved, Steadiness::default()),
        );
        let moved = |entry: &EndpointEntry| {
            let weight = self.weight(entry.node)?;
            let changed = before
                .get(&show(entry.node))
                .map(|weight| weight.max(LEAST))
                != Some(weight);
            (changed && entry.status == EndpointStatus::Ready).then(|| EndpointEntry {
                weight,
                ..entry.clone()
            })
        };
        let entries: Vec<EndpointEntry> = nodes
            .listed()
            .filter_map(|(_, entry)| moved(entry))
            .collect();
        (!entries.is_empty()).then_some(SolverOutcome::Changed(entries))
    }
}
