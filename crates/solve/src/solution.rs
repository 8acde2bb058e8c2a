//! Solves a fleet: its weights, the admitted ratio of demand, and shadow prices.
//!
//! The demand of a zone's proxies for one operation is one source, or two if a part of it is guaranteed. Hosts of the
//! same zone and price are one class, and the load of a class is divided among its hosts in proportion to their load
//! limits, so that they have the same ratio of load to limit.

mod problem;
mod report;

use crate::fleet::{Fleet, SolveInputError};
use crate::flow::maximize_gain;
use problem::Problem;
use report::Report;
use serde::Serialize;

/// Whether the solver finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The solution is optimal.
    Optimal,
    /// The deadline passed first: the solution is feasible, but may not be optimal.
    CutShort,
}

/// The result for a host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostResult {
    /// The host's name.
    pub id: String,
    /// The host's zone.
    pub zone: String,
    /// The host's share of all work, times the number of hosts with work: 1 is an equal share.
    pub weight: f64,
    /// Load in seconds of work a second.
    pub load: f64,
    /// The capacity from the fleet, in seconds of work a second.
    pub capacity: f64,
    /// Value a second that one more second of work a second would bring; 0 where the limit is not reached.
    pub shadow_price: f64,
    /// The constraint that keeps the load from being higher.
    pub binds: &'static str,
}

/// The admission ratio of an operation at a proxy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionResult {
    /// The proxy's name.
    pub id: String,
    /// The operation.
    pub operation: String,
    /// The admitted ratio of the proxy's demand for the operation.
    pub admitted: f64,
}

/// Invocations a second of an operation from one zone to another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FlowResult {
    /// The operation.
    pub operation: String,
    /// The zone of the proxies.
    pub from: String,
    /// The zone of the hosts.
    pub to: String,
    /// Invocations a second.
    pub invocations: f64,
}

/// The solution of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Solution {
    /// Whether the solver finished.
    pub status: Status,
    /// Billed value a second, less the prices of hosts, zone crossings, connections, moved work and load steps.
    pub objective: f64,
    /// Billed value a second of what is admitted.
    pub value_per_s: f64,
    /// Each host, in the fleet's order.
    pub hosts: Vec<HostResult>,
    /// Results by proxy and operation with demand.
    pub gateways: Vec<AdmissionResult>,
    /// Flows between zones.
    pub flows: Vec<FlowResult>,
    /// The number of augmenting paths.
    pub paths: usize,
}

/// Solves a fleet. `should_stop` is called between augmenting paths; if it returns `true`, the solution so far is
/// returned with [`Status::CutShort`].
pub fn solve(
    fleet: &Fleet,
    should_stop: &mut dyn FnMut() -> bool,
) -> Result<Solution, SolveInputError> {
    fleet.check()?;
    let problem = Problem::new(fleet);
    let flows = maximize_gain(&problem.sources, &problem.sinks, should_stop);
    Ok(Report::new(&problem, &flows).solution())
}
