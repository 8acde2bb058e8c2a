//! What speaks against a change before it is staged, by what was measured: a fleet as it is and as it would be.
//! Each finding names its figures, also those that forbid nothing.

use crate::ledger::{CheckReport, Finding};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::time::Span;
use wheelspread_solve::{solve, Fleet, HostState, Solution};

/// What a change may cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeLimits {
    /// Of the value served now, so much may be lost.
    pub value_loss_share_limit: f64,
    /// Of all work afterwards, so much may be at hosts that are cold.
    pub warming_work_share_limit: f64,
    /// Until all gateways hold it.
    pub propagation_time_limit: Span,
}

/// What tables cost on their way.
#[derive(Clone, Copy, Debug)]
pub struct Propagation {
    pub gateways: u32,
    pub lines_per_second: f64,
    pub head_lines: f64,
    /// Messages to one gateway within `window`; 0: no limit.
    pub messages_at_most: u32,
    pub window: Span,
    /// Steps that the module takes at least: removals, then additions.
    pub steps: u32,
}

fn finding(check: &str, forbids: bool, text: String) -> Finding {
    Finding {
        check: check.to_string(),
        text,
        forbids,
    }
}

pub fn check(before: &Fleet, after: &Fleet, bounds: ChangeLimits, way: Propagation) -> CheckReport {
    let mut findings = pools(before, after);
    match (solve(before, &mut || false), solve(after, &mut || false)) {
        (_, Err(refused)) => findings.push(finding("capacity", true, refused.to_string())),
        (now, Ok(then)) => {
            findings.push(capacity(now.ok().as_ref(), &then, bounds));
            findings.push(cold(after, &then, bounds));
        }
    }
    findings.push(channel(before, after, bounds, way));
    CheckReport(findings)
}

/// Hosts that serve an operation in a zone: those of the zone where it stays, all others too where it does not.
fn open(fleet: &Fleet, zone: &str, stays: bool) -> usize {
    let serves =
        |host: &&wheelspread_solve::Host| fleet.room(host) > 0.0 && (!stays || host.zone == zone);
    fleet.hosts.iter().filter(serves).count()
}

fn pools(before: &Fleet, after: &Fleet) -> Vec<Finding> {
    let zones: BTreeSet<&str> = after
        .gateways
        .iter()
        .map(|gateway| gateway.zone.as_str())
        .collect();
    let mut findings = Vec::new();
    for operation in &after.operations {
        for zone in &zones {
            let asks = after
                .gateways
                .iter()
                .filter(|gateway| gateway.zone == **zone);
            let rate: f64 = asks
                .filter_map(|gateway| gateway.demand.get(&operation.name))
                .sum();
            let stays = operation.stays_in_zone;
            let (had, has) = (open(before, zone, stays), open(after, zone, stays));
            if has == 0 && rate > 0.0 {
                let name = &operation.name;
                let text =
                    format!("no host for `{name}` in `{zone}`, which asks for {rate:.1}/s ({had} hosts now)");
                findings.push(finding("pools", true, text));
            }
        }
    }
    if findings.is_empty() {
        findings.push(finding(
            "pools",
            false,
            "every zone has a host for what it asks for".to_string(),
        ));
    }
    findings
}

fn capacity(now: Option<&Solution>, then: &Solution, bounds: ChangeLimits) -> Finding {
    let full = then
        .hosts
        .iter()
        .filter(|host| host.binds == "its capacity")
        .count();
    let Some(now) = now else {
        let text = format!(
            "{:.2} a second would be served; now nothing can be",
            then.value_per_s
        );
        return finding("capacity", false, text);
    };
    let lost = if now.value_per_s > 0.0 {
        1.0 - then.value_per_s / now.value_per_s
    } else {
        0.0
    };
    let text = format!(
        "value served {:.2} a second now, {:.2} after ({:+.1}%, {:.1}% may be lost), {full} of {} hosts full",
        now.value_per_s,
        then.value_per_s,
        -lost * 100.0,
        bounds.value_loss_share_limit * 100.0,
        then.hosts.len()
    );
    finding(
        "capacity",
        lost > bounds.value_loss_share_limit + 1e-9,
        text,
    )
}

fn cold(after: &Fleet, then: &Solution, bounds: ChangeLimits) -> Finding {
    let all: f64 = then.hosts.iter().map(|host| host.load).sum();
    let colds = after
        .hosts
        .iter()
        .zip(&then.hosts)
        .filter(|(host, _)| host.state == HostState::Cold);
    let (count, load) = colds.fold((0, 0.0), |(count, sum), (_, told)| {
        (count + 1, sum + told.load)
    });
    let part = if all > 0.0 { load / all } else { 0.0 };
    let text = format!(
        "{count} cold hosts would carry {:.1}% of the work ({:.1}% may be)",
        part * 100.0,
        bounds.warming_work_share_limit * 100.0
    );
    finding("cold", part > bounds.warming_work_share_limit + 1e-9, text)
}

/// Lines of every gateway for each host that comes, goes or is weighed anew, in at least so many messages.
fn channel(before: &Fleet, after: &Fleet, bounds: ChangeLimits, way: Propagation) -> Finding {
    let of = |fleet: &Fleet| -> BTreeMap<String, (String, u64)> {
        let host = |host: &wheelspread_solve::Host| {
            (
                host.id.clone(),
                (host.zone.clone(), (fleet.room(host) * 1e6).round() as u64),
            )
        };
        fleet.hosts.iter().map(host).collect()
    };
    let (was, is) = (of(before), of(after));
    let changed = was.keys().chain(is.keys()).collect::<BTreeSet<_>>();
    let hosts = changed
        .into_iter()
        .filter(|id| was.get(*id) != is.get(*id))
        .count();
    let gateways = f64::from(way.gateways);
    let steps = if hosts == 0 {
        0.0
    } else {
        f64::from(way.steps.max(1))
    };
    let lines = gateways * (hosts as f64 * after.operations.len() as f64 + way.head_lines * steps);
    let by_pace = lines / way.lines_per_second.max(1.0);
    // Messages beyond the cap wait for the next window.
    let windows = match way.messages_at_most {
        0 => 0.0,
        most => (steps / f64::from(most)).ceil().max(1.0) - 1.0,
    };
    let seconds = by_pace + windows * way.window.seconds();
    let text = format!(
        "{hosts} hosts change: {lines:.0} lines and {steps:.0} messages to each of {gateways:.0} gateways, at least \
         {seconds:.1} s ({:.1} s at most)",
        bounds.propagation_time_limit.seconds()
    );
    finding(
        "channel",
        seconds > bounds.propagation_time_limit.seconds(),
        text,
    )
}
