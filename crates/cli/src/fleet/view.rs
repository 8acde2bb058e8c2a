//! A snapshot of the controllers' answers, and the text form of each answer.

use super::{as_json, missing, Answers};
use crate::exit::{CONTROLLER_UNREACHABLE, REFUSED, SUCCESS};
use crate::operator::{array_elements, display_value};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::time::Instant;
use wheelspread_drain::consistency::{find_disagreements, ControllerView, Disagreement, NodeView};
use wheelspread_fleet::{Fleet, Request};

/// The status of all controllers and their disagreements, from one round of queries.
pub struct Snapshot {
    /// Each controller's answer or failure, by the controller's name.
    pub status: Answers,
    /// The nodes and the configuration about which controllers disagree.
    pub disagreements: Vec<Disagreement>,
    /// The duration of the round of queries, in seconds.
    pub seconds: f64,
}

/// A controller's view of its nodes and configuration, for the comparison with the other controllers.
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
        nodes: array_elements(&nodes["nodes"]).map(view).collect(),
    }
}

impl Snapshot {
    /// Queries the status and the nodes of all controllers in parallel.
    pub fn take(fleet: &Fleet) -> Snapshot {
        let begin = Instant::now();
        let (status, nodes) = std::thread::scope(|scope| {
            let nodes =
                scope.spawn(|| fleet.call_all(&Request::get("/v1/nodes"), fleet.answer_timeout));
            (
                fleet.call_all(&Request::get("/v1/status"), fleet.answer_timeout),
                nodes.join().unwrap_or_default(),
            )
        });
        let complete = status.iter().filter_map(|(name, status)| {
            let (status, nodes) = (status.as_ref().ok()?, nodes.get(name)?.as_ref().ok()?);
            Some((name.clone(), controller_view(status, nodes)))
        });
        let all: BTreeMap<String, ControllerView> = complete.collect();
        let disagreements = find_disagreements(&all);
        Snapshot {
            status,
            disagreements,
            seconds: begin.elapsed().as_secs_f64(),
        }
    }

    /// The exit code that shows whether all controllers answered and agree.
    pub fn exit_code(&self) -> u8 {
        match (missing(&self.status).len(), self.disagreements.len()) {
            (0, 0) => SUCCESS,
            (0, _) => REFUSED,
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

    /// A controller's row of the status table, 79 columns wide.
    pub fn line(name: &str, answer: &Value) -> String {
        let nodes = &answer["nodes"];
        let text = |value: &Value| display_value(value);
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

    /// The header of the columns of [`Snapshot::line`].
    pub const HEADER: &str =
        "conductor         list  ready  drain  cold  gateways     sums  channel   version";

    /// One line for each disagreement.
    pub fn disagreement_lines(&self) -> Vec<String> {
        let line = |found: &Disagreement| {
            let views = found.views.iter().map(|(state, controllers)| {
                let examples = controllers
                    .iter()
                    .take(3)
                    .cloned()
                    .collect::<Vec<_>>()
                    .join(" ");
                let more = if controllers.len() > 3 {
                    format!(" and {} more", controllers.len() - 3)
                } else {
                    String::new()
                };
                format!("{state}: {examples}{more}")
            });
            let subject = found
                .node
                .clone()
                .unwrap_or_else(|| "configuration".to_string());
            let lists = if found.lists_differ {
                " (their lists differ)"
            } else {
                ""
            };
            format!("{subject}: {}{lists}", views.collect::<Vec<_>>().join("; "))
        };
        self.disagreements.iter().map(line).collect()
    }

    /// The lines of the status table, with the disagreements at the end.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![Self::HEADER.to_string()];
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
                .map(|text| format!("controllers disagree: {text}")),
        );
        lines
    }
}

/// The table version of each proxy of a controller.
pub fn tables(name: &str, answer: &Value) -> Vec<String> {
    let mut lines = vec![format!(
        "{name}: list {}, {} queued lines",
        display_value(&answer["list"]),
        answer["lines_waiting"]
    )];
    for gateway in array_elements(&answer["gateways"]) {
        let text = |field: &str| display_value(&gateway[field]);
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
        "{name:<20}{:>8.0} of {:>8.0} lines queued ({:>3.0}%), {:>8.0} lines/s, {} messages sent, {} superseded",
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
    let report_ages: Vec<f64> = array_elements(&answer["gateways"])
        .filter_map(|gateway| gateway["heard_s"].as_f64())
        .collect();
    let oldest = report_ages.iter().copied().fold(0.0, f64::max);
    let never_reported = array_elements(&answer["gateways"]).count() - report_ages.len();
    let mut lines = vec![format!(
        "{name}: {} gateways reported, the oldest report {oldest:.1} s ago; {never_reported} never reported",
        report_ages.len()
    )];
    let window_s = answer["over_s"].as_f64().unwrap_or(1.0).max(1e-9);
    for operation in array_elements(&answer["operations"]) {
        let rate = |field: &str| operation[field].as_f64().unwrap_or(0.0) / window_s;
        let latency = operation["mean_latency_ms"].as_f64();
        let latency = latency.map_or("-".to_string(), |ms| format!("{ms:.0} ms"));
        lines.push(format!(
            "  {:<20}{:>9.1}/s requested {:>9.1}/s succeeded {:>7.1}/s rate-limited {:>7.1}/s failed attempts, {latency}",
            display_value(&operation["operation"]),
            rate("asked"),
            rate("succeeded"),
            rate("rate_limited"),
            rate("errored_tries")
        ));
    }
    lines
}

/// A node's state at a controller, and the proxies whose tables contain it.
pub fn node_state(name: &str, answer: &Value) -> Vec<String> {
    let naming_proxies: Vec<String> = array_elements(&answer["named_by"])
        .map(display_value)
        .collect();
    let examples = naming_proxies
        .iter()
        .take(5)
        .cloned()
        .collect::<Vec<_>>()
        .join(" ");
    let drain = match answer["drain"]["state"].as_str() {
        Some(state) => {
            let order = &answer["drain"]["order"];
            format!(
                ", {} by {} is {state}",
                display_value(&order["word"]),
                display_value(&order["by"])
            )
        }
        None => String::new(),
    };
    vec![format!(
        "{name:<20}{}, named by {} gateways {examples}{drain}",
        display_value(&answer["listing"]),
        naming_proxies.len()
    )]
}
