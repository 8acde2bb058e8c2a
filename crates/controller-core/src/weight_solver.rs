//! Solved weights, where the deployment turns them on. Capacities configured by kind are corrected by load
//! reports, demand is taken from them too, and the weights that follow reach the balancer as the listed
//! weights of nodes. How traffic gets there is the balancer's to order. A solve that fails leaves the last
//! good weights.

mod observations;
mod problem;

use crate::deployment::{Deployment, SolverConfig};
use crate::endpoint_list::{format_node, EndpointList};
use crate::membership::Membership;
use observations::{NodeObservation, Observations};
use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus, Event};
use wheelspread_solve::estimate::{Estimate, Seen};
use wheelspread_solve::steady::{next, Steadiness};
use wheelspread_solve::{solve, Fleet, Host, Solution, SolveInputError, Status};

/// Steps of one solve: far more than the largest fleets take, so that the loop is never held up for long.
const MAX_SOLVER_STEPS: usize = 50_000;
/// Of an even weight: a node that should carry nothing is still listed, and with less it would be noise.
const MIN_NODE_WEIGHT: f64 = 0.05;
/// Of the difference between the remembered demand and a period's: what is taken over each period.
const DEMAND_SMOOTHING: f64 = 0.3;
/// Weight of a node that no solve has weighed yet.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Capacity estimates, demand and the weights of the last solve.
#[derive(Clone, Debug, Default)]
pub struct WeightSolver {
    estimates: BTreeMap<NodeId, Estimate>,
    /// Requests a second, by zone and operation.
    demand: BTreeMap<(ZoneId, OperationId), f64>,
    /// The weights in force, by the nodes' addresses.
    weights: BTreeMap<String, f64>,
    next_at: Moment,
}

/// Why a solve gave no weights.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SolveError {
    /// It was given up before it was optimal.
    #[error("it took too many steps")]
    StepLimit,
    /// The fleet can't be solved as it is.
    #[error(transparent)]
    Refused(#[from] SolveInputError),
}

/// What a solve came to.
#[derive(Clone, Debug, PartialEq)]
pub enum SolverOutcome {
    /// Nodes whose listed weight changes.
    Changed(Vec<EndpointEntry>),
    /// The last weights stay in force.
    Failed(SolveError),
}

impl WeightSolver {
    /// The weight that a node is listed with, where one was solved.
    pub fn weight(&self, node: NodeId) -> Option<f64> {
        weight_of(&self.weights, node)
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

    /// Takes in the load reports among the events of a period's end.
    pub fn record_reports(
        &mut self,
        events: &[Event],
        plan: &Deployment,
        solver: &SolverConfig,
        members: &Membership,
        nodes: &EndpointList,
    ) {
        let observations = Observations::collect(events, plan, members);
        for (key, rate) in observations.demand {
            let known = self.demand.entry(key).or_insert(rate);
            *known += DEMAND_SMOOTHING * (rate - *known);
        }
        let mean_work = self.mean_work(plan, solver);
        for (node, observation) in observations.nodes {
            if let Some(record) = nodes.record(node) {
                let configured = problem::configured_capacity(solver, &record.kind);
                self.correct_estimate(node, observation, mean_work, configured);
            }
        }
    }

    fn correct_estimate(
        &mut self,
        node: NodeId,
        observation: NodeObservation,
        mean_work: f64,
        configured: f64,
    ) {
        let seen = Seen {
            load: observation.attempt_rate * mean_work,
            utilization: observation.utilization,
            late_or_errored: observation.failures / observation.attempts.max(1.0),
            tries: observation.attempts,
        };
        self.estimates
            .entry(node)
            .or_insert_with(|| Estimate::new(configured))
            .see(seen);
    }

    /// Seconds of work of a mean request; that of the most expensive operation while nothing is asked for.
    fn mean_work(&self, plan: &Deployment, solver: &SolverConfig) -> f64 {
        let work = |operation: OperationId| {
            problem::operation_plan(plan, operation)
                .and_then(|operation| solver.work.get(&operation.name))
                .map_or(0.0, |work| work.0.seconds())
        };
        let total_rate: f64 = self.demand.values().sum();
        let total_work: f64 = self
            .demand
            .iter()
            .map(|((_, operation), rate)| rate * work(*operation))
            .sum();
        if total_rate > 0.0 {
            return total_work / total_rate;
        }
        solver
            .work
            .values()
            .map(|work| work.0.seconds())
            .fold(0.0, f64::max)
    }

    /// Solves, if it is time to; `None` where nothing changes.
    pub fn solve_if_due(
        &mut self,
        now: Moment,
        plan: &Deployment,
        solver: &SolverConfig,
        nodes: &EndpointList,
    ) -> Option<SolverOutcome> {
        if now < self.next_at || nodes.version().is_empty() || self.demand.is_empty() {
            return None;
        }
        self.next_at = now + solver.every;
        self.estimates
            .retain(|node, _| nodes.record(*node).is_some());
        let fleet = self.fleet(plan, solver, nodes);
        match solve_within_limit(&fleet) {
            Ok(solution) => {
                let entries = self.adopt_solution(&fleet, &solution, nodes);
                (!entries.is_empty()).then_some(SolverOutcome::Changed(entries))
            }
            Err(error) => Some(SolverOutcome::Failed(error)),
        }
    }

    /// Moves the weights towards a solution, and returns the ready nodes whose weight changes.
    fn adopt_solution(
        &mut self,
        fleet: &Fleet,
        solution: &Solution,
        nodes: &EndpointList,
    ) -> Vec<EndpointEntry> {
        let solved = solution
            .hosts
            .iter()
            .map(|host| (host.id.clone(), host.weight.max(MIN_NODE_WEIGHT)))
            .collect();
        let current = fleet.hosts.iter().map(|host| self.current_weight(host));
        let current: BTreeMap<String, f64> = current.collect();
        let steadied = next(&current, &solved, Steadiness::default());
        let before = std::mem::replace(&mut self.weights, steadied);
        nodes
            .listed()
            .filter(|(_, entry)| entry.status == EndpointStatus::Ready)
            .filter_map(|(_, entry)| {
                let weight = self.weight(entry.node)?;
                let is_changed = weight_of(&before, entry.node) != Some(weight);
                is_changed.then(|| EndpointEntry {
                    weight,
                    ..entry.clone()
                })
            })
            .collect()
    }

    fn current_weight(&self, host: &Host) -> (String, f64) {
        let weight = self.weights.get(&host.id).copied();
        (host.id.clone(), weight.unwrap_or(DEFAULT_WEIGHT))
    }
}

fn weight_of(weights: &BTreeMap<String, f64>, node: NodeId) -> Option<f64> {
    weights
        .get(&format_node(node))
        .map(|weight| weight.max(MIN_NODE_WEIGHT))
}

fn solve_within_limit(fleet: &Fleet) -> Result<Solution, SolveError> {
    let mut steps_left = MAX_SOLVER_STEPS;
    let mut is_over_limit = || {
        steps_left = steps_left.saturating_sub(1);
        steps_left == 0
    };
    let solution = solve(fleet, &mut is_over_limit)?;
    match solution.status {
        Status::Optimal => Ok(solution),
        _ => Err(SolveError::StepLimit),
    }
}
