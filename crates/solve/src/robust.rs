//! What a solution is still worth when capacities are not what was told. Loads stand; a host that can do
//! less than it is given serves what it can, the dearest work last to be lost. `hedge` solves with a part of
//! each capacity held back where that serves more in the worst case.

use crate::fleet::{Fleet, Host, SolveError};
use crate::solution::{solve, Solution};
use std::collections::BTreeMap;

/// How capacities may be wrong: true ones lie between these parts of what was told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wrong {
    pub least: f64,
    pub most: f64,
}

/// What a solution serves under other capacities.
#[derive(Clone, Debug, PartialEq)]
pub struct Served {
    /// Billed value a second of what is answered in time.
    pub value_per_s: f64,
    /// Hosts that are given more than they can do in time, with by how much, worst first.
    pub overrun: Vec<(String, f64)>,
}

/// Value of a second of work that a solution sends to each zone, on the mean, the cheapest first.
fn mix(fleet: &Fleet, solution: &Solution) -> BTreeMap<String, Vec<(f64, f64)>> {
    let mut mix: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for flow in &solution.flows {
        let told = fleet
            .operations
            .iter()
            .find(|operation| operation.name == flow.operation);
        let Some(told) = told else { continue };
        let worth = told.billed_value / told.work;
        mix.entry(flow.to.clone())
            .or_default()
            .push((worth, flow.invocations * told.work));
    }
    mix
}

/// What is served if each host can do `true_part` of what was told of it.
pub fn served(fleet: &Fleet, solution: &Solution, true_part: &dyn Fn(&Host) -> f64) -> Served {
    let mix = mix(fleet, solution);
    let (mut value, mut overrun) = (0.0, Vec::new());
    for (host, told) in fleet.hosts.iter().zip(&solution.hosts) {
        let Some(parts) = mix.get(&host.zone).filter(|_| told.load > 0.0) else {
            continue;
        };
        // Hosts of a zone get the zone's mix; a node that is overrun is late with all of it alike.
        let work: f64 = parts.iter().map(|part| part.1).sum();
        let worth = parts.iter().map(|part| part.0 * part.1).sum::<f64>() / work.max(1e-300);
        let able = host.capacity * true_part(host) * fleet.fill_at_most;
        value += told.load.min(able) * worth;
        if told.load > able * (1.0 + 1e-9) {
            overrun.push((host.id.clone(), told.load / able.max(1e-300)));
        }
    }
    overrun.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    Served {
        value_per_s: value,
        overrun,
    }
}

/// The least that is served, whatever the capacities are within their bounds: each host may do its worst.
pub fn guaranteed(fleet: &Fleet, solution: &Solution, wrong: Wrong) -> Served {
    served(fleet, solution, &|_| wrong.least)
}

/// Parts of the capacities that are tried, from all of them down to what is certain.
const TRIED: usize = 6;

/// The solution that serves most in the worst case, and the part of the capacities that it goes by. Where
/// there is room for all, holding back costs nothing; where there is none, it lets in less than could be
/// served if the figures are right: the mean of both cases decides.
pub fn hedge(
    fleet: &Fleet,
    wrong: Wrong,
    over: &mut dyn FnMut() -> bool,
) -> Result<(Solution, f64), SolveError> {
    let mut best: Option<(f64, Solution, f64)> = None;
    for step in 0..TRIED {
        let part = 1.0 - (1.0 - wrong.least.clamp(0.05, 1.0)) * step as f64 / (TRIED - 1) as f64;
        let mut held = fleet.clone();
        held.hosts.iter_mut().for_each(|host| host.capacity *= part);
        let solution = solve(&held, over)?;
        let worst = guaranteed(fleet, &solution, wrong).value_per_s;
        let right = served(fleet, &solution, &|_| 1.0).value_per_s;
        let score = (worst + right) / 2.0;
        // The first of equals goes by more of what was told.
        if best
            .as_ref()
            .is_none_or(|(known, ..)| score > known * (1.0 + 1e-9))
        {
            best = Some((score, solution, part));
        }
    }
    best.map(|(_, solution, part)| (solution, part))
        .ok_or(SolveError::NoCapacity)
}

#[cfg(test)]
mod tests;
