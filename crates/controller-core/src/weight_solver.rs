//! The optional weight solver. It corrects the configured capacity of each node by load reports, takes the demand
//! from load reports too, and solves for node weights, which replace the weights of the endpoint list on their
//! way to the balancer. The balancer decides in which order traffic moves to the new weights. If a solve fails,
//! the last solved weights stay in force.

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
use wheelspread_solve::estimate::{CapacityEstimate, Observation};
use wheelspread_solve::steady::{damp, Damping};
use wheelspread_solve::{solve, Fleet, Host, Solution, SolveInputError, Status};

/// Step limit of one solve, so that a solve does not block the controller's loop for long; the largest fleets
/// take far fewer steps.
const MAX_SOLVER_STEPS: usize = 50_000;
/// Smallest weight of a node, as a ratio of the weight in an even distribution. A node for which the solver plans
/// no work stays listed with this weight; a smaller one would be indistinguishable from noise.
const MIN_NODE_WEIGHT: f64 = 0.05;
/// Smoothing factor of the demand: ratio of the difference between the smoothed demand and the demand of a period
/// by which the smoothed demand moves in that period.
const DEMAND_SMOOTHING: f64 = 0.3;
/// Weight of a node that has no solved weight yet; 1 is the weight of an even distribution.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Capacity estimates, smoothed demand and the weights of the last solve.
#[derive(Clone, Debug, Default)]
pub struct WeightSolver {
    estimates: BTreeMap<NodeId, CapacityEstimate>,
    /// Smoothed requests per second, by zone and operation.
    demand: BTreeMap<(ZoneId, OperationId), f64>,
    /// The weights in force, by node address as [`format_node`] writes it.
    weights: BTreeMap<String, f64>,
    next_solve_at: Moment,
}

/// Why a solve yielded no weights.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SolveError {
    /// The step limit was reached before the solution was optimal.
    #[error("no optimal solution within 50000 steps")]
    StepLimit,
    /// The solver rejected its input.
    #[error(transparent)]
    InvalidInput(#[from] SolveInputError),
}

/// Result of a solve.
#[derive(Clone, Debug, PartialEq)]
pub enum SolverOutcome {
    /// Entries with the new weights of the ready nodes whose weight changes.
    Changed(Vec<EndpointEntry>),
    /// The solve failed; the last weights stay in force.
    Failed(SolveError),
}

impl WeightSolver {
    /// The solved weight of a node, if there is one.
    pub fn weight(&self, node: NodeId) -> Option<f64> {
        weight_of(&self.weights, node)
    }

    /// Replaces the listed weights of an endpoint list event by solved weights, for nodes that have one.
    pub fn apply_to_event(&self, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                entry.weight = self.weight(entry.node).unwrap_or(entry.weight);
            }
        }
        event
    }

    /// Updates demand and capacity estimates by the load reports among the events of a report period.
    pub fn record_reports(
        &mut self,
        events: &[Event],
        deployment: &Deployment,
        config: &SolverConfig,
        members: &Membership,
        endpoints: &EndpointList,
    ) {
        let observations = Observations::collect(events, deployment, members);
        for (key, rate) in observations.demand {
            let smoothed_rate = self.demand.entry(key).or_insert(rate);
            *smoothed_rate += DEMAND_SMOOTHING * (rate - *smoothed_rate);
        }
        let mean_work_seconds = self.mean_work_seconds(deployment, config);
        for (node, observation) in observations.nodes {
            if let Some(record) = endpoints.record(node) {
                let configured = problem::configured_capacity(config, &record.kind);
                self.correct_estimate(node, observation, mean_work_seconds, configured);
            }
        }
    }

    fn correct_estimate(
        &mut self,
        node: NodeId,
        observation: NodeObservation,
        mean_work_seconds: f64,
        configured: f64,
    ) {
        let observed = Observation {
            load: observation.attempt_rate * mean_work_seconds,
            utilization: observation.utilization,
            late_or_failed_ratio: observation.failures / observation.attempts.max(1.0),
            attempts: observation.attempts,
        };
        self.estimates
            .entry(node)
            .or_insert_with(|| CapacityEstimate::new(configured))
            .observe(observed);
    }

    /// Mean work of a request in seconds, weighted by demand. Without demand it is the work of the most expensive
    /// operation.
    fn mean_work_seconds(&self, deployment: &Deployment, config: &SolverConfig) -> f64 {
        let work = |operation: OperationId| {
            problem::operation_config(deployment, operation)
                .and_then(|operation| config.work.get(&operation.name))
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
        config
            .work
            .values()
            .map(|work| work.0.seconds())
            .fold(0.0, f64::max)
    }

    /// Solves if the solve interval has passed. `None` if no solve is due or no weight changes.
    pub fn solve_if_due(
        &mut self,
        now: Moment,
        deployment: &Deployment,
        config: &SolverConfig,
        endpoints: &EndpointList,
    ) -> Option<SolverOutcome> {
        if now < self.next_solve_at || endpoints.version().is_empty() || self.demand.is_empty() {
            return None;
        }
        self.next_solve_at = now + config.every;
        self.estimates
            .retain(|node, _| endpoints.record(*node).is_some());
        let fleet = self.fleet(deployment, config, endpoints);
        match solve_within_limit(&fleet) {
            Ok(solution) => {
                let entries = self.update_weights(&fleet, &solution, endpoints);
                (!entries.is_empty()).then_some(SolverOutcome::Changed(entries))
            }
            Err(error) => Some(SolverOutcome::Failed(error)),
        }
    }

    /// Moves the weights towards a solution, damped, and returns the entries of the ready nodes whose weight
    /// changes.
    fn update_weights(
        &mut self,
        fleet: &Fleet,
        solution: &Solution,
        endpoints: &EndpointList,
    ) -> Vec<EndpointEntry> {
        let solved = solution
            .hosts
            .iter()
            .map(|host| (host.id.clone(), host.weight.max(MIN_NODE_WEIGHT)))
            .collect();
        let current = fleet.hosts.iter().map(|host| self.current_weight(host));
        let current: BTreeMap<String, f64> = current.collect();
        let damped_weights = damp(&current, &solved, Damping::default());
        let before = std::mem::replace(&mut self.weights, damped_weights);
        endpoints
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
    let mut is_limit_reached = || {
        steps_left = steps_left.saturating_sub(1);
        steps_left == 0
    };
    let solution = solve(fleet, &mut is_limit_reached)?;
    match solution.status {
        Status::Optimal => Ok(solution),
        _ => Err(SolveError::StepLimit),
    }
}
