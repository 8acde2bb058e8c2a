//! Drains given to all controllers of a fleet, and the orders that a controller missed.

use super::{exit_code, missing};
use crate::exit::{CONTROLLER_UNREACHABLE, NOT_CARRIED_OUT, SUCCESS};
use clap::Args;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;
use wheelspread_drain::consistency::{missing_orders, MissingOrder};
use wheelspread_drain::{Drain, DrainAction, Outcome, Reply};
use wheelspread_fleet::{drain_order, Fleet, Ordered, Request};

/// A node and who drains it.
#[derive(Args)]
pub struct DrainArguments {
    /// As 127.0.0.1:9000
    node: String,
    /// Who orders, for the record.
    #[arg(long, default_value_t = user())]
    by: String,
    /// Names a check that is to be overridden, as `pool`, `cold` or `capacity`; it is logged.
    #[arg(long, value_name = "CHECK")]
    force: Vec<String>,
    /// Waits until no proxy sends there any more, and prints the evidence.
    #[arg(long)]
    wait: bool,
    /// How long the order is retried where it failed, and waited for; left out: as in the fleet file.
    #[arg(long, value_parser = span_format::read)]
    order_within: Option<Span>,
}

fn user() -> String {
    std::env::var("USER")
        .ok()
        .filter(|user| !user.is_empty())
        .unwrap_or_else(|| "operator".to_string())
}

/// Drains a node at all controllers, or withdraws its drain; returns the exit code.
pub fn drain(
    fleet: &Fleet,
    as_object: bool,
    arguments: &DrainArguments,
    action: DrainAction,
) -> u8 {
    let begin = Instant::now();
    let within = arguments.order_within.unwrap_or(fleet.order_within);
    let body = drain_order(&arguments.node, action, &arguments.by, &arguments.force);
    let request = Request::post("/v1/drains", body.clone());
    let ordered = fleet.order(&request, within, u64::from(std::process::id()));
    let taken = controllers_that_took(&ordered);
    let waited = (arguments.wait && !taken.is_empty()).then(|| {
        let until = begin + Duration::from_secs_f64(within.seconds());
        wait(fleet, &arguments.node, action, &taken, until)
    });
    if as_object {
        let seconds = begin.elapsed().as_secs_f64();
        say!(
            "{}",
            json!({ "order": body, "told": ordered, "waited": waited, "seconds": seconds })
        );
    } else {
        print_order(&ordered);
        let lines = waited.iter().flat_map(|waited| &waited.lines);
        lines.for_each(|line| say!("{line}"));
    }
    let code = order_exit_code(&ordered);
    match waited {
        Some(waited) if !waited.done => code.max(CONTROLLER_UNREACHABLE),
        _ => code,
    }
}

fn order_exit_code(ordered: &Ordered) -> u8 {
    let is_refused = ordered
        .conductors
        .values()
        .any(|(_, reply)| matches!(reply, Some(Reply::Refused { .. })));
    match ordered.outcome {
        Outcome::Everywhere => SUCCESS,
        _ if is_refused => NOT_CARRIED_OUT,
        Outcome::Partly | Outcome::Nowhere => CONTROLLER_UNREACHABLE,
    }
}

fn controllers_that_took(ordered: &Ordered) -> BTreeSet<String> {
    ordered
        .conductors
        .iter()
        .filter(|(_, (_, reply))| matches!(reply, Some(Reply::Accepted { .. })))
        .map(|(name, _)| name.clone())
        .collect()
}

fn print_order(ordered: &Ordered) {
    for (name, (attempts, reply)) in &ordered.conductors {
        let result = match reply {
            Some(Reply::Accepted { state }) => state.clone(),
            Some(Reply::Refused { reason }) => format!("refused: {reason}"),
            Some(Reply::Failed { reason }) => {
                format!("not told, after {attempts} tries: {reason}")
            }
            None => "no answer".to_string(),
        };
        say!("{name}: {result}");
    }
    let outcome = match ordered.outcome {
        Outcome::Everywhere => "it holds at all conductors",
        Outcome::Partly => "it holds at a part of the conductors only: tell it again",
        Outcome::Nowhere => "it holds nowhere",
    };
    say!("{outcome}");
}

/// An order that was repeated for a controller that missed it.
struct Resent {
    order: Value,
    result: String,
    code: u8,
}

/// Sends each controller the orders that others hold and it does not; returns the exit code.
pub fn sync(fleet: &Fleet, as_object: bool) -> u8 {
    let answers = fleet.ask(&Request::get("/v1/drains"), fleet.within);
    let held = answers.iter().filter_map(|(name, answer)| {
        let drains = serde_json::from_value::<Vec<Drain>>(answer.as_ref().ok()?.clone());
        Some((name.clone(), drains.ok()?))
    });
    let resent: Vec<(String, Resent)> = missing_orders(&held.collect())
        .into_iter()
        .map(|missed| (missed.controller.clone(), resend(fleet, missed)))
        .collect();
    let code = resent
        .iter()
        .map(|(_, resent)| resent.code)
        .fold(exit_code(&answers), u8::max);
    let missing = missing(&answers);
    if as_object {
        print_sync_object(&resent, &missing);
    } else {
        print_sync(&resent, &missing);
    }
    code
}

fn resend(fleet: &Fleet, missed: MissingOrder) -> Resent {
    let one = BTreeSet::from([missed.controller.clone()]);
    let order = json!(missed.order);
    let request = Request::post("/v1/drains", order.clone());
    let answer = fleet
        .ask_some(&one, &request, Instant::now() + fleet.within)
        .remove(&missed.controller);
    let (result, code) = match answer {
        Some(Ok(drain)) => {
            let state = drain["state"].as_str().unwrap_or("taken");
            (state.to_string(), SUCCESS)
        }
        Some(Err(failed)) if failed.passes() => (failed.to_string(), CONTROLLER_UNREACHABLE),
        Some(Err(failed)) => (failed.to_string(), NOT_CARRIED_OUT),
        None => ("not asked".to_string(), SUCCESS),
    };
    Resent {
        order,
        result,
        code,
    }
}

fn print_sync_object(resent: &[(String, Resent)], missing: &BTreeMap<&str, String>) {
    let resent: Vec<Value> = resent
        .iter()
        .map(|(name, resent)| {
            json!({ "conductor": name, "order": resent.order, "result": resent.result })
        })
        .collect();
    say!("{}", json!({ "told": resent, "missing": missing }));
}

fn print_sync(resent: &[(String, Resent)], missing: &BTreeMap<&str, String>) {
    for (name, Resent { order, result, .. }) in resent {
        let text = |field: &str| order[field].as_str().unwrap_or("").to_string();
        let (action, node, by) = (text("word"), text("node"), text("by"));
        say!("{name}: {action} {node} by {by}: {result}");
    }
    missing
        .iter()
        .for_each(|(name, reason)| say!("{name}: {reason}"));
    say!("{} orders told that had been missed", resent.len());
}

/// How far a drain had come when the wait for it ended.
#[derive(serde::Serialize)]
struct Waited {
    done: bool,
    lines: Vec<String>,
}

/// Between two queries for a drain that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Until the controllers that took an order report that nothing is sent there, or that the drain is withdrawn.
fn wait(
    fleet: &Fleet,
    node: &str,
    action: DrainAction,
    taken: &BTreeSet<String>,
    until: Instant,
) -> Waited {
    loop {
        let round = (Instant::now() + fleet.within).min(until + POLL_INTERVAL);
        let answers = fleet.ask_some(taken, &Request::get(format!("/v1/where/{node}")), round);
        let mut lines = Vec::new();
        let mut done = true;
        for (name, answer) in &answers {
            let (is_done, line) = match answer {
                Ok(body) => drain_evidence(&body["drain"], action),
                Err(failed) => (false, failed.to_string()),
            };
            done &= is_done;
            lines.push(format!("{name}: {line}"));
        }
        if done || Instant::now() >= until {
            return Waited { done, lines };
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether an order is complete at a controller, and the evidence for it.
fn drain_evidence(drain: &Value, action: DrainAction) -> (bool, String) {
    let state = drain["state"].as_str().unwrap_or("not known");
    if action == DrainAction::Undrain {
        return (state == "withdrawn", state.to_string());
    }
    let number = |field: &str| drain["evidence"][field].as_u64().unwrap_or(0);
    let (named, proxies) = (number("named_by"), number("gateways"));
    match state {
        "quiet" => {
            let (attempts, reporting) = (number("tries"), number("heard"));
            let text = format!(
                "quiet: 0 of {proxies} gateways name it, {attempts} tries reported by {reporting} that were heard since"
            );
            (true, text)
        }
        "in-force" if proxies == 0 => (true, "in force: no gateway is joined".to_string()),
        "in-force" => (
            false,
            format!("in force: {named} of {proxies} gateways name it, nobody heard since yet"),
        ),
        _ => (
            false,
            format!("{state}: {named} of {proxies} gateways name it"),
        ),
    }
}
