//! The value that a solution serves if real capacities differ from the nominal ones.
//!
//! Loads stay as solved. A host whose capacity is less than its load serves the same ratio of every operation's work.
//! [`hedge`] solves with reduced capacities where that gives a better balance between the worst case and the nominal
//! capacities.

use crate::fleet::{Fleet, Host, SolveInputError};
use crate::solution::{solve, Solution};
use std::collections::BTreeMap;

/// The range of real capacities, as ratios of the nominal ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityRange {
    /// The minimum ratio.
    pub min_ratio: f64,
    /// The maximum ratio.
    pub max_ratio: f64,
}

/// The result of a solution under other capacities.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Billed value a second of the responses within their latency objective.
    pub value_per_s: f64,
    /// Hosts whose load exceeds what they can serve within the latency objective, with the ratio of the two; highest
    /// ratio first.
    pub overloaded: Vec<(String, f64)>,
}

/// The work of one operation in a zone.
struct ZoneWork {
    /// The value of a second of work.
    value: f64,
    /// Seconds of work a second.
    amount: f64,
}

fn work_by_zone(fleet: &Fleet, solution: &Solution) -> BTreeMap<String, Vec<ZoneWork>> {
    let mut zones: BTreeMap<String, Vec<ZoneWork>> = BTreeMap::new();
    for flow in &solution.flows {
        let mut operations = fleet.operations.iter();
        let Some(operation) = operations.find(|operation| operation.name == flow.operation) else {
            continue;
        };
        zones.entry(flow.to.clone()).or_default().push(ZoneWork {
            value: operation.billed_value / operation.work,
            amount: flow.invocations * operation.work,
        });
    }
    zones
}

/// The mean value of a second of a zone's work.
fn mean_value(work: &[ZoneWork]) -> f64 {
    let amount: f64 = work.iter().map(|work| work.amount).sum();
    let value = work
        .iter()
        .map(|work| work.value * work.amount)
        .sum::<f64>();
    value / amount.max(MIN_POSITIVE)
}

/// Evaluates a solution with the capacity of each host multiplied by `capacity_ratio`.
pub fn served(fleet: &Fleet, solution: &Solution, capacity_ratio: &dyn Fn(&Host) -> f64) -> Served {
    let zones = work_by_zone(fleet, solution);
    let mut value_per_s = 0.0;
    let mut overloaded = Vec::new();
    for (host, result) in fleet.hosts.iter().zip(&solution.hosts) {
        let Some(work) = zones.get(&host.zone).filter(|_| result.load > 0.0) else {
            continue;
        };
        // Each host of a zone gets the zone's mix of operations, and an overloaded host is late equally with all.
        let capacity = host.capacity * capacity_ratio(host) * fleet.fill_at_most;
        value_per_s += result.load.min(capacity) * mean_value(work);
        if result.load > capacity * (1.0 + OVERLOAD_TOLERANCE) {
            overloaded.push((host.id.clone(), result.load / capacity.max(MIN_POSITIVE)));
        }
    }
    overloaded.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    Served {
        value_per_s,
        overloaded,
    }
}

/// The minimum that is served for any capacities within the range: every host at the minimum ratio.
pub fn worst_case(fleet: &Fleet, solution: &Solution, range: CapacityRange) -> Served {
    served(fleet, solution, &|_| range.min_ratio)
}

/// The number of capacity ratios that `hedge` tries, from 1 down to the minimum ratio of the range.
const HEDGE_STEP_COUNT: usize = 6;

/// The minimum capacity ratio that `hedge` tries.
const MIN_HEDGE_RATIO: f64 = 0.05;

/// Loads and scores that differ by less than these ratios count as equal.
const OVERLOAD_TOLERANCE: f64 = 1e-9;
const SCORE_TOLERANCE: f64 = 1e-9;

/// Lower bound that keeps divisors above zero.
const MIN_POSITIVE: f64 = 1e-300;

struct Candidate {
    score: f64,
    solution: Solution,
    ratio: f64,
}

/// Returns the solution with the best score, and the ratio of the capacities that it was solved with. The score is
/// the mean of the values served in the worst case and with the nominal capacities: a lower ratio costs nothing while
/// all demand is served, and otherwise admits less than could be served if the nominal capacities are right.
pub fn hedge(
    fleet: &Fleet,
    range: CapacityRange,
    should_stop: &mut dyn FnMut() -> bool,
) -> Result<(Solution, f64), SolveInputError> {
    let held_back_ratio = 1.0 - range.min_ratio.clamp(MIN_HEDGE_RATIO, 1.0);
    let mut best: Option<Candidate> = None;
    for step in 0..HEDGE_STEP_COUNT {
        let ratio = 1.0 - held_back_ratio * step as f64 / (HEDGE_STEP_COUNT - 1) as f64;
        let mut reduced = fleet.clone();
        reduced
            .hosts
            .iter_mut()
            .for_each(|host| host.capacity *= ratio);
        let solution = solve(&reduced, should_stop)?;
        let worst = worst_case(fleet, &solution, range).value_per_s;
        let nominal = served(fleet, &solution, &|_| 1.0).value_per_s;
        let score = (worst + nominal) / 2.0;
        // Of equal candidates the first stays, which uses more of the nominal capacities.
        let is_better = best
            .as_ref()
            .is_none_or(|best| score > best.score * (1.0 + SCORE_TOLERANCE));
        if is_better {
            best = Some(Candidate {
                score,
                solution,
                ratio,
            });
        }
    }
    best.map(|best| (best.solution, best.ratio))
        .ok_or(SolveInputError::NoCapacity)
}

#[cfg(test)]
mod tests;
