//! Solves a fleet: its weights, the share of demand that is admitted, and shadow prices.
//!
//! Gateways of a zone that ask for the same operation are one source, hosts of a zone and price are one class, and
//! what a class carries is divided among its hosts by what they may be given, so that hosts that are alike are
//! loaded alike.

mod problem;
mod report;

use crate::fleet::{Fleet, SolveInputError};
use crate::flow::maximize_gain;
use problem::Problem;
use report::Report;
use serde::Serialize;

/// How far the solver came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The solution is the best.
    Optimal,
    /// The deadline came first: the solution is feasible, but may not be the best.
    CutShort,
}

/// What a host is given.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostResult {
    /// The host.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its part of all work, times the number of hosts that carry any: 1 is an even part.
    pub weight: f64,
    /// Seconds of work a second.
    pub load: f64,
    /// Its capacity as the fleet states it.
    pub capacity: f64,
    /// Value a second that one more second of work a second would bring; 0 where the limit is not reached.
    pub shadow_price: f64,
    /// What keeps it from carrying more.
    pub binds: &'static str,
}

/// What a gateway may admit of an operation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionResult {
    /// The gateway.
    pub id: String,
    /// The operation.
    pub operation: String,
    /// The admitted part of its demand.
    pub admitted: f64,
}

/// Invocations a second of an operation from one zone to another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FlowResult {
    /// The operation.
    pub operation: String,
    /// The zone of the gateways.
    pub from: String,
    /// The zone of the hosts.
    pub to: String,
    /// Invocations a second.
    pub invocations: f64,
}

/// The solution of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Solution {
    /// How far the solver came.
    pub status: Status,
    /// Value a second less the prices of hosts, of crossing zones, of connections and of filling hosts far.
    pub objective: f64,
    /// Billed value a second of what is admitted.
    pub value_per_s: f64,
    /// Each host, in the fleet's order.
    pub hosts: Vec<HostResult>,
    /// Each gateway and operation with demand.
    pub gateways: Vec<AdmissionResult>,
    /// Flows between zones.
    pub flows: Vec<FlowResult>,
    /// Best paths that the method found.
    pub paths: usize,
}

/// Solves a fleet. `should_stop` is called between steps and says whether to stop with the best so far.
pub fn solve(
    fleet: &Fleet,
    should_stop: &mut dyn FnMut() -> bool,
) -> Result<Solution, SolveInputError> {
    fleet.check()?;
    let problem = Problem::new(fleet);
    let flows = maximize_gain(&problem.sources, &problem.sinks, should_stop);
    Ok(Report::new(&problem, &flows).solution())
}
