//! Sends drain orders to all controllers of a fleet, and repeats orders for controllers that missed them.

use super::{exit_code, missing};
use crate::exit::{CONTROLLER_UNREACHABLE, REFUSED, SUCCESS};
use clap::Args;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;
use wheelspread_drain::consistency::{missing_orders, MissingOrder};
use wheelspread_drain::{Drain, DrainAction, Outcome, Reply};
use wheelspread_fleet::{drain_order, Fleet, OrderResult, Request};

/// Arguments of `wheelspread fleet drain` and `undrain`.
#[derive(Args)]
pub struct DrainArguments {
    /// The node's address and port, such as 127.0.0.1:9000
    node: String,
    /// Who gives the order; recorded with it.
    #[arg(long, default_value_t = default_user())]
    by: String,
    /// A check to override: `pool`, `cold` or `capacity`. The controller logs the override.
    #[arg(long, value_name = "CHECK")]
    force: Vec<String>,
    /// Waits until no proxy sends requests to the node any more, and prints the evidence.
    #[arg(long)]
    wait: bool,
    /// The time limit for retries at controllers that failed and for `--wait`; default: the fleet file's.
    #[arg(long, value_parser = span_format::read)]
    order_within: Option<Span>,
}

fn default_user() -> String {
    std::env::var("USER")
        .ok()
        .filter(|user| !user.is_empty())
        .unwrap_or_else(|| "operator".to_string())
}

/// Drains a node at all controllers, or withdraws its drain; returns the exit code.
pub fn drain(
    fleet: &Fleet,
    json_output: bool,
    arguments: &DrainArguments,
    action: DrainAction,
) -> u8 {
    let begin = Instant::now();
    let within = arguments.order_within.unwrap_or(fleet.order_timeout);
    let body = drain_order(&arguments.node, action, &arguments.by, &arguments.force);
    let request = Request::post("/v1/drains", body.clone());
    let ordered = fleet.order(&request, within, u64::from(std::process::id()));
    let accepted_by = accepting_controllers(&ordered);
    let drain_wait = (arguments.wait && !accepted_by.is_empty()).then(|| {
        let deadline = begin + Duration::from_secs_f64(within.seconds());
        wait_for_drain(fleet, &arguments.node, action, &accepted_by, deadline)
    });
    if json_output {
        let seconds = begin.elapsed().as_secs_f64();
        print_line!(
            "{}",
            json!({ "order": body, "told": ordered, "waited": drain_wait, "seconds": seconds })
        );
    } else {
        print_order(&ordered);
        let lines = drain_wait.iter().flat_map(|drain_wait| &drain_wait.lines);
        lines.for_each(|line| print_line!("{line}"));
    }
    let code = order_exit_code(&ordered);
    match drain_wait {
        Some(drain_wait) if !drain_wait.done => code.max(CONTROLLER_UNREACHABLE),
        _ => code,
    }
}

fn order_exit_code(ordered: &OrderResult) -> u8 {
    let is_refused = ordered
        .controllers
        .values()
        .any(|(_, reply)| matches!(reply, Some(Reply::Refused { .. })));
    match ordered.outcome {
        Outcome::Everywhere => SUCCESS,
        _ if is_refused => REFUSED,
        Outcome::Partly | Outcome::Nowhere => CONTROLLER_UNREACHABLE,
    }
}

fn accepting_controllers(ordered: &OrderResult) -> BTreeSet<String> {
    ordered
        .controllers
        .iter()
        .filter(|(_, (_, reply))| matches!(reply, Some(Reply::Accepted { .. })))
        .map(|(name, _)| name.clone())
        .collect()
}

fn print_order(ordered: &OrderResult) {
    for (name, (attempts, reply)) in &ordered.controllers {
        let result = match reply {
            Some(Reply::Accepted { state }) => state.clone(),
            Some(Reply::Refused { reason }) => format!("refused: {reason}"),
            Some(Reply::Failed { reason }) => {
                format!("not delivered, after {attempts} attempts: {reason}")
            }
            None => "no answer".to_string(),
        };
        print_line!("{name}: {result}");
    }
    let outcome = match ordered.outcome {
        Outcome::Everywhere => "accepted by all conductors",
        Outcome::Partly => "accepted by a part of the conductors only: repeat the order",
        Outcome::Nowhere => "accepted by no conductor",
    };
    print_line!("{outcome}");
}

/// An order that was sent again to a controller that had missed it.
struct Resent {
    order: Value,
    result: String,
    code: u8,
}

/// Sends each controller the drain orders that other controllers hold and it lacks; returns the exit code.
pub fn sync(fleet: &Fleet, json_output: bool) -> u8 {
    let answers = fleet.call_all(&Request::get("/v1/drains"), fleet.answer_timeout);
    let held_drains = answers.iter().filter_map(|(name, answer)| {
        let drains = serde_json::from_value::<Vec<Drain>>(answer.as_ref().ok()?.clone());
        Some((name.clone(), drains.ok()?))
    });
    let resent: Vec<(String, Resent)> = missing_orders(&held_drains.collect())
        .into_iter()
        .map(|missed| (missed.controller.clone(), resend(fleet, missed)))
        .collect();
    let code = resent
        .iter()
        .map(|(_, resent)| resent.code)
        .fold(exit_code(&answers), u8::max);
    let missing = missing(&answers);
    if json_output {
        print_sync_json(&resent, &missing);
    } else {
        print_sync(&resent, &missing);
    }
    code
}

fn resend(fleet: &Fleet, missed: MissingOrder) -> Resent {
    let target = BTreeSet::from([missed.controller.clone()]);
    let order = json!(missed.order);
    let request = Request::post("/v1/drains", order.clone());
    let answer = fleet
        .call_some(&target, &request, Instant::now() + fleet.answer_timeout)
        .remove(&missed.controller);
    let (result, code) = match answer {
        Some(Ok(drain)) => {
            let state = drain["state"].as_str().unwrap_or("taken");
            (state.to_string(), SUCCESS)
        }
        Some(Err(failed)) if failed.is_transient() => (failed.to_string(), CONTROLLER_UNREACHABLE),
        Some(Err(failed)) => (failed.to_string(), REFUSED),
        None => ("not asked".to_string(), SUCCESS),
    };
    Resent {
        order,
        result,
        code,
    }
}

fn print_sync_json(resent: &[(String, Resent)], missing: &BTreeMap<&str, String>) {
    let resent: Vec<Value> = resent
        .iter()
        .map(|(name, resent)| {
            json!({ "conductor": name, "order": resent.order, "result": resent.result })
        })
        .collect();
    print_line!("{}", json!({ "told": resent, "missing": missing }));
}

fn print_sync(resent: &[(String, Resent)], missing: &BTreeMap<&str, String>) {
    for (name, Resent { order, result, .. }) in resent {
        let text = |field: &str| order[field].as_str().unwrap_or("").to_string();
        let (action, node, by) = (text("word"), text("node"), text("by"));
        print_line!("{name}: {action} {node} by {by}: {result}");
    }
    missing
        .iter()
        .for_each(|(name, reason)| print_line!("{name}: {reason}"));
    print_line!(
        "{} orders told to controllers that had missed them",
        resent.len()
    );
}

/// The progress of a drain when the wait for it ended.
#[derive(serde::Serialize)]
struct DrainWait {
    done: bool,
    lines: Vec<String>,
}

/// The interval between two queries for the progress of a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until each controller that accepted the order reports that no proxy sends requests to the node or, for
/// `undrain`, that the drain is withdrawn; ends at `deadline` at the latest.
fn wait_for_drain(
    fleet: &Fleet,
    node: &str,
    action: DrainAction,
    accepted_by: &BTreeSet<String>,
    deadline: Instant,
) -> DrainWait {
    loop {
        let round = (Instant::now() + fleet.answer_timeout).min(deadline + POLL_INTERVAL);
        let answers = fleet.call_some(
            accepted_by,
            &Request::get(format!("/v1/where/{node}")),
            round,
        );
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
        if done || Instant::now() >= deadline {
            return DrainWait { done, lines };
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether the order has taken full effect at a controller, and a text with the evidence.
fn drain_evidence(drain: &Value, action: DrainAction) -> (bool, String) {
    let state = drain["state"].as_str().unwrap_or("unknown");
    if action == DrainAction::Undrain {
        return (state == "withdrawn", state.to_string());
    }
    let number = |field: &str| drain["evidence"][field].as_u64().unwrap_or(0);
    let (naming_proxies, proxies) = (number("named_by"), number("gateways"));
    match state {
        "quiet" => {
            let (attempts, reporting_proxies) = (number("tries"), number("heard"));
            let text = format!(
                "quiet: 0 of {proxies} gateways name it, {attempts} tries reported by {reporting_proxies} that have reported since"
            );
            (true, text)
        }
        "in-force" if proxies == 0 => (true, "in force: no gateway is joined".to_string()),
        "in-force" => (
            false,
            format!(
                "in force: {naming_proxies} of {proxies} gateways name it, none has reported since"
            ),
        ),
        _ => (
            false,
            format!("{state}: {naming_proxies} of {proxies} gateways name it"),
        ),
    }
}
