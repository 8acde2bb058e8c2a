//! The checks of a change against measured values: they compare the current fleet with the fleet after the change.
//! Every finding states its values, including the findings that do not forbid the change.

mod finding;

pub use finding::{CheckFinding, ServedValue};

use crate::change::{CheckReport, Finding};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::time::Span;
use wheelspread_solve::{solve, Fleet, Host, HostState, Solution};

/// How far a ratio may exceed its limit, to allow for rounding errors.
const RATIO_TOLERANCE: f64 = 1e-9;
/// Capacities are compared in steps of one invocation per second divided by this number.
const CAPACITY_STEPS_PER_UNIT: f64 = 1e6;
/// The solver's `binds` text for a host whose capacity is used up.
const BOUND_BY_CAPACITY: &str = "its capacity";

/// Limits on the cost of a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeLimits {
    /// The maximum loss of served value, as a ratio of the value served now.
    pub max_value_loss_ratio: f64,
    /// The maximum share of all work that hosts in slow start may carry after the change.
    pub max_warming_work_share: f64,
    /// The maximum time until all proxies have the change.
    pub max_propagation_time: Span,
}

/// The parameters that determine how long tables take to reach the proxies.
#[derive(Clone, Copy, Debug)]
pub struct Propagation {
    /// The number of proxies.
    pub proxies: u32,
    /// The pacing of the update queue, in entries per second for all proxies together.
    pub entries_per_second: f64,
    /// The fixed cost of a message, in entries, added to the entries that it contains.
    pub header_entries: f64,
    /// The maximum number of messages to one proxy within `window`; 0 means no cap.
    pub messages_per_window: u32,
    /// The window of the message cap.
    pub window: Span,
    /// The minimum number of update steps that the balancer takes: removals, then additions.
    pub min_update_steps: u32,
}

/// Runs all checks of a change, given the fleet before and after it.
pub fn check(
    before: &Fleet,
    after: &Fleet,
    limits: ChangeLimits,
    propagation: Propagation,
) -> CheckReport {
    let mut findings = pool_findings(before, after);
    match (solve(before, &mut || false), solve(after, &mut || false)) {
        (_, Err(error)) => findings.push(CheckFinding::NoSolution(error)),
        (solved_before, Ok(solved_after)) => {
            findings.push(capacity_finding(
                solved_before.ok().as_ref(),
                &solved_after,
                limits,
            ));
            findings.push(slow_start_finding(after, &solved_after, limits));
        }
    }
    findings.push(propagation_finding(before, after, limits, propagation));
    CheckReport(findings.into_iter().map(Finding::from).collect())
}

/// Counts the hosts with capacity that serve an operation for a zone: those in the zone if the operation stays in its
/// zone, otherwise all.
fn serving_hosts(fleet: &Fleet, zone: &str, stays_in_zone: bool) -> usize {
    let serves = |host: &&Host| fleet.room(host) > 0.0 && (!stays_in_zone || host.zone == zone);
    fleet.hosts.iter().filter(serves).count()
}

/// Finds the operations and zones with demand that would have no host.
fn pool_findings(before: &Fleet, after: &Fleet) -> Vec<CheckFinding> {
    let zones: BTreeSet<&str> = after
        .gateways
        .iter()
        .map(|gateway| gateway.zone.as_str())
        .collect();
    let mut findings = Vec::new();
    for operation in &after.operations {
        for zone in &zones {
            let demand_per_s: f64 = after
                .gateways
                .iter()
                .filter(|gateway| gateway.zone == **zone)
                .filter_map(|gateway| gateway.demand.get(&operation.name))
                .sum();
            let stays = operation.stays_in_zone;
            if demand_per_s > 0.0 && serving_hosts(after, zone, stays) == 0 {
                findings.push(CheckFinding::ZoneWithoutHost {
                    operation: operation.name.clone(),
                    zone: zone.to_string(),
                    demand_per_s,
                    hosts_now: serving_hosts(before, zone, stays),
                });
            }
        }
    }
    if findings.is_empty() {
        findings.push(CheckFinding::EveryZoneHasHosts);
    }
    findings
}

/// Compares the value served after the change with the value served now.
fn capacity_finding(
    solved_before: Option<&Solution>,
    solved_after: &Solution,
    limits: ChangeLimits,
) -> CheckFinding {
    let Some(solved_before) = solved_before else {
        return CheckFinding::NothingServedNow {
            value_after_per_s: solved_after.value_per_s,
        };
    };
    let loss_ratio = if solved_before.value_per_s > 0.0 {
        1.0 - solved_after.value_per_s / solved_before.value_per_s
    } else {
        0.0
    };
    CheckFinding::ServedValue(ServedValue {
        now_per_s: solved_before.value_per_s,
        after_per_s: solved_after.value_per_s,
        loss_ratio,
        max_loss_ratio: limits.max_value_loss_ratio,
        exceeds_limit: loss_ratio > limits.max_value_loss_ratio + RATIO_TOLERANCE,
        full_hosts: solved_after
            .hosts
            .iter()
            .filter(|host| host.binds == BOUND_BY_CAPACITY)
            .count(),
        hosts: solved_after.hosts.len(),
    })
}

/// Checks the share of all work that hosts in slow start would carry.
fn slow_start_finding(
    after: &Fleet,
    solved_after: &Solution,
    limits: ChangeLimits,
) -> CheckFinding {
    let total_load: f64 = solved_after.hosts.iter().map(|host| host.load).sum();
    let warming = after
        .hosts
        .iter()
        .zip(&solved_after.hosts)
        .filter(|(host, _)| host.state == HostState::Cold);
    let (hosts, warming_load) = warming.fold((0, 0.0), |(count, load), (_, solved)| {
        (count + 1, load + solved.load)
    });
    let work_share = if total_load > 0.0 {
        warming_load / total_load
    } else {
        0.0
    };
    CheckFinding::SlowStartWork {
        hosts,
        work_share,
        max_work_share: limits.max_warming_work_share,
        exceeds_limit: work_share > limits.max_warming_work_share + RATIO_TOLERANCE,
    }
}

/// Returns the zone and the rounded capacity of each host by id. The table entries of a host change when either does.
fn host_placements(fleet: &Fleet) -> BTreeMap<String, (String, u64)> {
    let placement = |host: &Host| {
        let capacity_steps = (fleet.room(host) * CAPACITY_STEPS_PER_UNIT).round() as u64;
        (host.id.clone(), (host.zone.clone(), capacity_steps))
    };
    fleet.hosts.iter().map(placement).collect()
}

/// Counts the hosts that are added, removed, or have another zone or capacity.
fn changed_hosts(before: &Fleet, after: &Fleet) -> usize {
    let (placements_before, placements_after) = (host_placements(before), host_placements(after));
    let ids: BTreeSet<&String> = placements_before
        .keys()
        .chain(placements_after.keys())
        .collect();
    ids.into_iter()
        .filter(|id| placements_before.get(*id) != placements_after.get(*id))
        .count()
}

/// Checks the minimum time until all proxies have new entries for each host that is added, removed or changed.
fn propagation_finding(
    before: &Fleet,
    after: &Fleet,
    limits: ChangeLimits,
    propagation: Propagation,
) -> CheckFinding {
    let changed_hosts = changed_hosts(before, after);
    let proxies = f64::from(propagation.proxies);
    let messages = if changed_hosts == 0 {
        0.0
    } else {
        f64::from(propagation.min_update_steps.max(1))
    };
    let entries = proxies
        * (changed_hosts as f64 * after.operations.len() as f64
            + propagation.header_entries * messages);
    let queue_seconds = entries / propagation.entries_per_second.max(1.0);
    // Messages above the cap are delayed to the next window.
    let windows_waited = match propagation.messages_per_window {
        0 => 0.0,
        cap => (messages / f64::from(cap)).ceil().max(1.0) - 1.0,
    };
    let seconds = queue_seconds + windows_waited * propagation.window.seconds();
    CheckFinding::PropagationTime {
        changed_hosts,
        entries,
        messages,
        proxies,
        min_seconds: seconds,
        limit: limits.max_propagation_time,
        exceeds_limit: seconds > limits.max_propagation_time.seconds(),
    }
}
