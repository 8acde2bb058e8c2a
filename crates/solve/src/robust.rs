//! What a solution is worth when capacities are not as stated.
//!
//! Loads stay as solved; a host whose capacity is less than its load serves what it can, of each kind of work the
//! same part. [`hedge`] solves with a part of each capacity held back where that serves more in the worst case.

use crate::fleet::{Fleet, Host, SolveInputError};
use crate::solution::{solve, Solution};
use std::collections::BTreeMap;

/// How capacities may be wrong: true ones lie between these parts of the stated ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityRange {
    /// The least part.
    pub min_ratio: f64,
    /// The largest part.
    pub max_ratio: f64,
}

/// What a solution serves under other capacities.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Billed value a second of what is answered in time.
    pub value_per_s: f64,
    /// Hosts with more load than they can serve in time, and how many times as much; worst first.
    pub overloaded: Vec<(String, f64)>,
}

/// Work of one operation that a zone gets.
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

/// The value of a second of a zone's work, on the mean.
fn mean_value(work: &[ZoneWork]) -> f64 {
    let amount: f64 = work.iter().map(|work| work.amount).sum();
    let value = work
        .iter()
        .map(|work| work.value * work.amount)
        .sum::<f64>();
    value / amount.max(MIN_POSITIVE)
}

/// What is served if each host has `capacity_ratio` of its stated capacity.
pub fn served(fleet: &Fleet, solution: &Solution, capacity_ratio: &dyn Fn(&Host) -> f64) -> Served {
    let zones = work_by_zone(fleet, solution);
    let mut value_per_s = 0.0;
    let mut overloaded = Vec::new();
    for (host, result) in fleet.hosts.iter().zip(&solution.hosts) {
        let Some(work) = zones.get(&host.zone).filter(|_| result.load > 0.0) else {
            continue;
        };
        // Each host of a zone gets the zone's mix; one that is overrun is late with all of it alike.
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

/// The least that is served whatever the capacities are within their bounds: each host at its least.
pub fn worst_case(fleet: &Fleet, solution: &Solution, range: CapacityRange) -> Served {
    served(fleet, solution, &|_| range.min_ratio)
}

/// Parts of the capacities that `hedge` solves with, from all of them down to what is certain.
const HEDGE_STEP_COUNT: usize = 6;

/// The least part of the capacities that `hedge` solves with.
const MIN_HEDGE_RATIO: f64 = 0.05;

/// Loads and scores closer than this part count as equal.
const OVERLOAD_TOLERANCE: f64 = 1e-9;
const SCORE_TOLERANCE: f64 = 1e-9;

/// Keeps divisors above zero.
const MIN_POSITIVE: f64 = 1e-300;

struct Candidate {
    score: f64,
    solution: Solution,
    ratio: f64,
}

/// The solution with the best score, and the part of the capacities that it was solved with. The score is the
/// mean of the worst case and of the stated capacities: holding back costs nothing while all demand fits, and
/// otherwise it admits less than could be served if the capacities are right.
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
        let as_stated = served(fleet, &solution, &|_| 1.0).value_per_s;
        let score = (worst + as_stated) / 2.0;
        // The first of equals uses more of the stated capacities.
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
