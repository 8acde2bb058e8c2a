//! Scripts of drills: fleet, traffic and faults, as YAML. A day file of the operators' bench (JSON) can
//! replace a script's faults; their times are scaled to the script's length, the affected servers and
//! balancers to ratios of the script's fleet.

use crate::error::ScriptError;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::path::Path;
use wheelspread::time::Span;
use wheelspread_controller_core::{span_format, Deployment};

/// The script that is run when none is given.
pub const BUILT_IN: &str = include_str!("../days/bad-day.yaml");

/// The kinds of faults; `docs/drills.md` describes each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A ratio of the responses is lost after the request was executed.
    AnswerLost,
    /// Controllers, or proxies, are killed and restarted.
    BalancerCrash,
    /// Controllers are paused with SIGSTOP and resumed with SIGCONT.
    BalancerStall,
    /// Nodes move to the next zone by a configuration change, which is undone at the end.
    #[serde(rename = "change")]
    ZoneChange,
    /// Nodes accept fewer connections.
    #[serde(rename = "conn_squeeze")]
    ConnectionLimit,
    /// Proxies cannot connect to any controller.
    #[serde(rename = "counter_down")]
    ControllersUnreachable,
    /// A rolling update: batches of nodes drain, stop and are replaced by cold nodes.
    Deploy,
    /// Nodes are drained by an operator's order, which is undone at the end.
    DrainOrder,
    /// A ratio of the requests fails immediately.
    FastErrors,
    /// Nodes stop responding and return cold, one after the other.
    Flapping,
    /// Cold nodes are added.
    #[serde(rename = "grow")]
    FleetGrowth,
    /// Some proxies receive more traffic.
    HotCaller,
    /// The delay of the endpoint list grows.
    LateList,
    /// Nodes of one kind are slow for the proxies of one controller only.
    #[serde(rename = "one_sided")]
    SlowForOneController,
    /// The pacing limit of the update channel is lowered.
    #[serde(rename = "origin_slow")]
    UpdateChannelSlow,
    /// All proxies receive more traffic.
    Overload,
    /// Nodes stop without a drain and are replaced by cold nodes.
    Preempt,
    /// Streams between proxies and controllers are reset.
    Reconnect,
    /// Load reports are delayed.
    ReportLate,
    /// Work takes longer at all nodes.
    #[serde(rename = "shared_slow")]
    AllNodesSlow,
    /// Traffic moves from one zone to the next, permanently.
    #[serde(rename = "shift")]
    TrafficShift,
    /// Responses of nodes are delayed.
    SlowLink,
    /// Nodes stop responding and return cold.
    Vanish,
    /// No bytes pass between one zone and the others.
    ZoneCut,
}

impl FaultKind {
    /// The name of the kind in scripts and records.
    pub fn name(self) -> String {
        let kind = serde_json::to_value(self).ok();
        kind.and_then(|kind| kind.as_str().map(str::to_string))
            .unwrap_or_default()
    }
}

/// A fault of a script.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When the fault begins, from the beginning of the script.
    #[serde(with = "span_format")]
    pub at: Span,
    /// How long the fault lasts.
    #[serde(default = "zero_span", rename = "for", with = "span_format")]
    pub span: Span,
    /// The ratio of the candidates (nodes, proxies or controllers) that are affected, 0 to 1.
    #[serde(default = "default_one", rename = "part")]
    pub ratio: f64,
    /// The strength of the fault: a factor, a ratio or seconds, depending on the kind.
    #[serde(default = "default_one")]
    pub size: f64,
    /// A second parameter, which depends on the kind.
    #[serde(default)]
    pub extra: f64,
    /// `conductor` (controllers) or `gateway` (proxies), for kinds that can affect both.
    #[serde(default, rename = "whom")]
    pub target: Option<String>,
}

fn zero_span() -> Span {
    Span::from_seconds(0.0)
}

fn default_one() -> f64 {
    1.0
}

/// Nodes of one kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeKind {
    /// The name of the kind, one of `deployment.kinds`.
    pub name: String,
    /// How many nodes of the kind there are.
    pub count: usize,
    /// How many requests a node executes concurrently.
    pub cores: u32,
    /// The speed of a core; at 1, work takes its nominal time.
    pub speed: f64,
    /// The random deviation of a node's speed from `speed`, as a ratio: 0.1 means up to 10 % faster or slower.
    #[serde(default = "default_speed_spread")]
    pub speed_spread: f64,
}

fn default_speed_spread() -> f64 {
    0.1
}

/// The nodes at the beginning of a drill.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodePlan {
    /// The node kinds and the count of each.
    pub kinds: Vec<NodeKind>,
    /// The queue capacity of a node; it answers further requests with 503.
    pub queue: usize,
    /// The maximum number of open connections of a node.
    pub connections: usize,
}

/// The traffic of one operation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationTraffic {
    /// The name of the operation, one of `deployment.operations`.
    pub name: String,
    /// Its share of the traffic, relative to the sum of all shares.
    pub share: f64,
    /// Mean execution time on a core of speed 1.
    #[serde(with = "span_format")]
    pub work: Span,
}

/// The traffic that clients offer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPlan {
    /// First attempts per second, over all proxies.
    pub rate: f64,
    /// The traffic of each operation.
    pub operations: Vec<OperationTraffic>,
    /// The maximum number of client retries after a failure.
    #[serde(default)]
    pub retries: u32,
    /// The maximum ratio between the rates of the busiest and the least busy proxy.
    #[serde(default = "default_one")]
    pub spread: f64,
}

/// A script: fleet, traffic and faults of a drill.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The name of the script, for the report.
    pub name: String,
    /// The duration of the drill.
    #[serde(with = "span_format")]
    pub length: Span,
    /// The number of proxies.
    #[serde(rename = "gateways")]
    pub proxies: usize,
    /// The nodes at the beginning.
    pub nodes: NodePlan,
    /// The traffic that clients offer.
    pub traffic: TrafficPlan,
    /// The deployment section of the controllers' configuration.
    pub deployment: Deployment,
    /// The delay between a change of the fleet and its appearance in the endpoint list.
    #[serde(default = "default_list_delay", with = "span_format")]
    pub list_delay: Span,
    /// The faults to inject.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

fn default_list_delay() -> Span {
    Span::from_seconds(0.8)
}

/// A script whose faults were replaced by those of a day file.
#[derive(Clone, Debug)]
pub struct DayScript {
    /// The script with the faults of the day file.
    pub script: Script,
    /// Fault kinds of the day file that a drill cannot inject.
    pub not_injected: Vec<String>,
}

impl Script {
    /// Parses a script and validates its values.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let script: Script = serde_yaml_ng::from_str(text)?;
        let errors = script.validate();
        if errors.is_empty() {
            Ok(script)
        } else {
            Err(ScriptError::Invalid(errors))
        }
    }

    /// Reads, parses and validates the script at a path.
    pub fn read(path: &Path) -> Result<Script, ScriptError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScriptError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Script::parse(&text).map_err(|error| error.in_file(path))
    }

    /// The errors of all invalid values.
    fn validate(&self) -> Vec<String> {
        let mut errors: Vec<String> = self
            .deployment
            .validate()
            .iter()
            .map(|error| format!("deployment.{}: {}", error.field, error.kind))
            .collect();
        self.validate_size(&mut errors);
        for kind in &self.nodes.kinds {
            self.validate_node_kind(kind, &mut errors);
        }
        self.validate_traffic(&mut errors);
        self.validate_faults(&mut errors);
        errors
    }

    fn validate_size(&self, errors: &mut Vec<String>) {
        if !(2.0..=3600.0).contains(&self.length.seconds()) {
            errors.push("length: must be between 2s and 1h".to_string());
        }
        if self.proxies == 0 || self.proxies > 200 {
            errors.push(format!(
                "gateways: {}, must be between 1 and 200 (all run on one machine)",
                self.proxies
            ));
        }
        let count: usize = self.nodes.kinds.iter().map(|kind| kind.count).sum();
        if count == 0 || count > 400 {
            errors.push(format!(
                "nodes.kinds: {count} nodes in total, must be between 1 and 400"
            ));
        }
    }

    fn validate_node_kind(&self, kind: &NodeKind, errors: &mut Vec<String>) {
        let name = &kind.name;
        if !self.deployment.kinds.contains(name) {
            errors.push(format!(
                "nodes.kinds: `{name}` is not one of deployment.kinds"
            ));
        }
        if !(0.0..1.0).contains(&kind.speed_spread) {
            errors.push(format!(
                "nodes.kinds: the speed_spread of `{name}` must be at least 0 and less than 1"
            ));
        }
        if kind.cores == 0 || !(0.01..=100.0).contains(&kind.speed) {
            errors.push(format!(
                "nodes.kinds: `{name}` must have at least 1 core and a speed between 0.01 and 100"
            ));
        }
    }

    fn validate_traffic(&self, errors: &mut Vec<String>) {
        let traffic = &self.traffic;
        for OperationTraffic { name, .. } in &traffic.operations {
            let mut known = self.deployment.operations.iter();
            if !known.any(|operation| operation.name == *name) {
                errors.push(format!(
                    "traffic.operations: `{name}` is not one of deployment.operations"
                ));
            }
        }
        if !(0.0..=20_000.0).contains(&traffic.rate) || !(1.0..=1000.0).contains(&traffic.spread) {
            errors.push(
                "traffic: rate must be between 0 and 20000, spread between 1 and 1000".to_string(),
            );
        }
    }

    fn validate_faults(&self, errors: &mut Vec<String>) {
        for (at, fault) in self.faults.iter().enumerate() {
            if fault.at > self.length
                || !(0.0..=1.0).contains(&fault.ratio)
                || !fault.size.is_finite()
            {
                errors.push(format!(
                    "troubles.{at}: `at` must lie within the drill, `part` between 0 and 1, and `size` must be finite"
                ));
            }
        }
    }

    /// Replaces the faults with those of a day file. Kinds that cannot be injected are returned by name.
    pub fn with_day(mut self, text: &str) -> Result<DayScript, ScriptError> {
        let day: Value = serde_json::from_str(text).map_err(ScriptError::InvalidDayJson)?;
        let number = |value: &Value, name: &str| value.get(name).and_then(Value::as_f64);
        let length = number(&day, "length")
            .filter(|length| *length > 0.0)
            .ok_or(ScriptError::InvalidDayField { field: "length" })?;
        let faults = day
            .get("troubles")
            .and_then(Value::as_array)
            .ok_or(ScriptError::InvalidDayField { field: "troubles" })?;
        let array_len = |name: &str| {
            day.get(name)
                .and_then(Value::as_array)
                .map_or(1, Vec::len)
                .max(1) as f64
        };
        let (servers, balancers) = (array_len("servers"), array_len("balancers"));
        let scale = self.length.seconds() / length;
        let mut unknown = Vec::new();
        self.faults.clear();
        for entry in faults {
            let kind = entry.get("kind").and_then(Value::as_str).unwrap_or("");
            let Ok(known) = serde_json::from_value::<FaultKind>(Value::String(kind.to_string()))
            else {
                unknown.push(kind.to_string());
                continue;
            };
            let count = |value: Option<&Value>| value.and_then(Value::as_array).map_or(0, Vec::len);
            let steps = entry
                .get("steps")
                .and_then(Value::as_array)
                .into_iter()
                .flatten();
            let affected_by_steps: usize = steps
                .map(|step| count(step.get("stop")).max(count(step.get("start"))))
                .sum();
            let affected = count(entry.get("on")).max(affected_by_steps) as f64;
            let total = match known {
                FaultKind::BalancerCrash
                | FaultKind::ControllersUnreachable
                | FaultKind::HotCaller => balancers,
                _ => servers,
            };
            let ratio = if affected > 0.0 {
                (affected / total).clamp(0.0, 1.0)
            } else {
                1.0
            };
            let size = number(entry, "size").unwrap_or(1.0);
            // `size` has the same meaning in day files: a ratio of streams for reconnects, seconds for late
            // reports.
            self.faults.push(Fault {
                kind: known,
                at: Span::from_seconds(number(entry, "at").unwrap_or(0.0) * scale),
                span: Span::from_seconds(number(entry, "len").unwrap_or(0.0) * scale),
                ratio,
                size,
                extra: number(entry, "extra").unwrap_or(0.0),
                target: None,
            });
        }
        self.name = format!("{} with the troubles of a day", self.name);
        Ok(DayScript {
            script: self,
            not_injected: unknown,
        })
    }
}

#[cfg(test)]
mod tests;
