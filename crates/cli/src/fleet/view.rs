//! What is known of a fleet at one time, and how it is shown.

use super::{as_json, missing, Answers};
use crate::exit::{CONTROLLER_UNREACHABLE, NOT_CARRIED_OUT, SUCCESS};
use crate::operator::{entries, shown};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Instant;
use wheelspread_drain::consistency::{find_disagreements, ControllerView, Disagreement, NodeView};
use wheelspread_fleet::{Fleet, Request};

/// Status and nodes of all controllers at one time.
pub struct Snapshot {
    /// What each controller answered.
    pub status: Answers,
    /// Where their views differ.
    pub disagreements: Vec<Disagreement>,
    /// How long the answers took.
    pub seconds: f64,
}

/// The states of its nodes that a controller reports.
fn controller_view(status: &Value, nodes: &Value) -> ControllerView {
    let view = |node: &Value| {
        let text = |field: &str| node[field].as_str().unwrap_or("").to_string();
        let by_order = node["by_order"].as_bool().unwrap_or(false);
        (
            text("node"),
            NodeView {
                listing: text("listing"),
                zone: text("zone"),
                by_order,
            },
        )
    };
    ControllerView {
        list_version: nodes["list"].as_str().unwrap_or("").to_string(),
        configuration_version: status["configuration"].as_u64().unwrap_or(0),
        nodes: entries(&nodes["nodes"]).map(view).collect(),
    }
}

impl Snapshot {
    /// Asks all controllers for both their status and their nodes at once.
    pub fn take(fleet: &Fleet) -> Snapshot {
        let begin = Instant::now();
        let (status, nodes) = std::thread::scope(|scope| {
            let nodes = scope.spawn(|| fleet.ask(&Request::get("/v1/nodes"), fleet.within));
            (
                fleet.ask(&Request::get("/v1/status"), fleet.within),
                nodes.join().unwrap_or_default(),
            )
        });
        let both = status.iter().filter_map(|(name, status)| {
            let (status, nodes) = (status.as_ref().ok()?, nodes.get(name)?.as_ref().ok()?);
            Some((name.clone(), controller_view(status, nodes)))
        });
        let all: BTreeMap<String, ControllerView> = both.collect();
        let disagreements = find_disagreements(&all);
        Snapshot {
            status,
            disagreements,
            seconds: begin.elapsed().as_secs_f64(),
        }
    }

    /// Whether all answered and agree.
    pub fn exit_code(&self) -> u8 {
        match (missing(&self.status).len(), self.disagreements.len()) {
            (0, 0) => SUCCESS,
            (0, _) => NOT_CARRIED_OUT,
            _ => CONTROLLER_UNREACHABLE,
        }
    }

    /// The JSON that is printed.
    pub fn json(&self) -> Value {
        json!({
            "conductors": as_json(&self.status),
            "disagreements": self.disagreements,
            "seconds": self.seconds,
        })
    }

    /// A controller's line, 79 columns wide.
    pub fn line(name: &str, answer: &Value) -> String {
        let nodes = &answer["nodes"];
        let text = |value: &Value| shown(value);
        let fill = answer["lines_waiting"].as_f64().unwrap_or(0.0)
            / answer["lines_waiting_at_most"]
                .as_f64()
                .unwrap_or(1.0)
                .max(1.0);
        let version = match answer["configuration_lacking"].as_u64().unwrap_or(0) {
            0 => text(&answer["configuration"]),
            lacking => format!("{} (-{lacking})", text(&answer["configuration"])),
        };
        let gateways = format!(
            "{}/{}",
            text(&answer["gateways"]["joined"]),
            text(&answer["gateways"]["known"])
        );
        format!(
            "{name:<14.14}{:>8.8}{:>7}{:>7}{:>6}{gateways:>10}{:>9}{:>8.0}%{version:>10.10}",
            text(&answer["list"]),
            text(&nodes["ready"]),
            text(&nodes["draining"]),
            text(&nodes["cold"]),
            text(&answer["sums_heard_s"]),
            fill * 100.0
        )
    }

    /// The columns of [`Snapshot::line`].
    pub const HEAD: &str =
        "conductor         list  ready  drain  cold  gateways     sums  channel   version";

    /// Where controllers disagree, one line each.
    pub fn disagreement_lines(&self) -> Vec<String> {
        let one = |found: &Disagreement| {
            let sides = found.views.iter().map(|(word, by)| {
                let some = by.iter().take(3).cloned().collect::<Vec<_>>().join(" ");
                let more = if by.len() > 3 {
                    format!(" and {} more", by.len() - 3)
                } else {
                    String::new()
                };
                format!("{word}: {some}{more}")
            });
            let about = found
                .node
                .clone()
                .unwrap_or_else(|| "configuration".to_string());
            let lists = if found.lists_differ {
                " (their lists differ)"
            } else {
                ""
            };
            format!("{about}: {}{lists}", sides.collect::<Vec<_>>().join("; "))
        };
        self.disagreements.iter().map(one).collect()
    }

    /// The table that is printed.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![Self::HEAD.to_string()];
        for (name, answer) in &self.status {
            match answer {
                Ok(answer) => lines.push(Self::line(name, answer)),
                Err(failed) => lines.push(format!("{name:<14.14}{failed}")),
            }
        }
        let (all, missing) = (self.status.len(), missing(&self.status).len());
        lines.push(format!(
            "{} of {all} answered in {:.2} s",
            all - missing,
            self.seconds
        ));
        lines.extend(
            self.disagreement_lines()
                .into_iter()
                .map(|text| format!("two minds: {text}")),
        );
        lines
    }
}

/// The table version of each proxy of a controller.
pub fn tables(name: &str, answer: &Value) -> Vec<String> {
    let mut lines = vec![format!(
        "{name}: list {}, {} lines wait",
        shown(&answer["list"]),
        answer["lines_waiting"]
    )];
    for gateway in entries(&answer["gateways"]) {
        let text = |field: &str| shown(&gateway[field]);
        lines.push(format!(
            "  {:<20}{:<8}table {:<6}newest {:<9}holds {:<9}since {:<10}refused {}",
            text("gateway"),
            text("front"),
            text("table"),
            text("newest"),
            text("holds"),
            text("held_for_s"),
            text("refused")
        ));
    }
    lines
}

/// A controller's update queue.
pub fn channels(name: &str, answer: &Value) -> Vec<String> {
    let number = |field: &str| answer[field].as_f64().unwrap_or(0.0);
    vec![format!(
        "{name:<20}{:>8.0} of {:>8.0} lines wait ({:>3.0}%), {:>8.0} lines/s, {} messages sent, {} overtaken",
        number("lines_waiting"),
        number("lines_waiting_at_most"),
        number("lines_waiting") / number("lines_waiting_at_most").max(1.0) * 100.0,
        number("lines_per_second"),
        answer["messages_sent"],
        answer["messages_overtaken"]
    )]
}

/// The load reports that a controller received.
pub fn load_reports(name: &str, answer: &Value) -> Vec<String> {
    let report_ages: Vec<f64> = entries(&answer["gateways"])
        .filter_map(|gateway| gateway["heard_s"].as_f64())
        .collect();
    let oldest = report_ages.iter().copied().fold(0.0, f64::max);
    let silent = entries(&answer["gateways"]).count() - report_ages.len();
    let mut lines = vec![format!(
        "{name}: {} gateways heard, the longest ago {oldest:.1} s; {silent} never",
        report_ages.len()
    )];
    let over = answer["over_s"].as_f64().unwrap_or(1.0).max(1e-9);
    for operation in entries(&answer["operations"]) {
        let rate = |field: &str| operation[field].as_f64().unwrap_or(0.0) / over;
        let latency = operation["mean_latency_ms"].as_f64();
        let latency = latency.map_or("-".to_string(), |ms| format!("{ms:.0} ms"));
        lines.push(format!(
            "  {:<20}{:>9.1}/s asked {:>9.1}/s succeeded {:>7.1}/s rate-limited {:>7.1}/s errored tries, {latency}",
            shown(&operation["operation"]),
            rate("asked"),
            rate("succeeded"),
            rate("rate_limited"),
            rate("errored_tries")
        ));
    }
    lines
}

/// In which state a controller holds a node.
pub fn whereabouts(name: &str, answer: &Value) -> Vec<String> {
    let named: Vec<String> = entries(&answer["named_by"]).map(shown).collect();
    let some = named.iter().take(5).cloned().collect::<Vec<_>>().join(" ");
    let drain = match answer["drain"]["state"].as_str() {
        Some(state) => {
            let order = &answer["drain"]["order"];
            format!(
                ", {} by {} is {state}",
                shown(&order["word"]),
                shown(&order["by"])
            )
        }
        None => String::new(),
    };
    vec![format!(
        "{name:<20}{}, named by {} gateways {some}{drain}",
        shown(&answer["listing"]),
        named.len()
    )]
}
