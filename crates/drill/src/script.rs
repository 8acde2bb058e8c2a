//! What a drill plays: fleet, traffic, faults. Scripts are YAML; a day of the operators' bench is read
//! for its faults, which are played at the same parts of the drill, scaled to its fleet.

use crate::error::ScriptError;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::path::Path;
use wheelspread::time::Span;
use wheelspread_controller_core::{span_format, Deployment};

/// The bad day that is played without a script.
pub const BUILT_IN: &str = include_str!("../days/bad-day.yaml");

/// The kinds of fault; `docs/drills.md` describes each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A share of the answers is lost after the work.
    AnswerLost,
    /// Controllers, or proxies, are killed and started again.
    BalancerCrash,
    /// Controllers are stopped and go on later.
    BalancerStall,
    /// Nodes move to another zone by a change of configuration, and back.
    #[serde(rename = "change")]
    ZoneChange,
    /// Nodes accept few connections.
    #[serde(rename = "conn_squeeze")]
    ConnectionLimit,
    /// Proxies reach no controller.
    #[serde(rename = "counter_down")]
    ControllersUnreachable,
    /// Batches of nodes drain, end and come again cold.
    Deploy,
    /// Nodes are drained by order and taken back.
    DrainOrder,
    /// A share of the requests fails at once.
    FastErrors,
    /// Nodes fall silent and come back by turns.
    Flapping,
    /// Nodes are added, cold.
    #[serde(rename = "grow")]
    FleetGrowth,
    /// More traffic comes to some proxies.
    HotCaller,
    /// The list of nodes is later still.
    LateList,
    /// Nodes of one kind are slow for the proxies of one controller.
    #[serde(rename = "one_sided")]
    SlowForOneController,
    /// The pace of the update channel falls.
    #[serde(rename = "origin_slow")]
    UpdateChannelSlow,
    /// More traffic comes to all proxies.
    Overload,
    /// Nodes end without a drain and are replaced.
    Preempt,
    /// Streams of load reports break.
    Reconnect,
    /// Load reports take longer.
    ReportLate,
    /// All work takes longer.
    #[serde(rename = "shared_slow")]
    AllNodesSlow,
    /// Traffic of one zone comes to another, for good.
    #[serde(rename = "shift")]
    TrafficShift,
    /// Answers take longer on their way.
    SlowLink,
    /// Nodes fall silent and come back cold.
    Vanish,
    /// No byte passes between one zone and the others.
    ZoneCut,
}

impl FaultKind {
    /// The kind as scripts and records spell it.
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
    /// What happens.
    pub kind: FaultKind,
    /// When it begins, from the script's beginning.
    #[serde(with = "span_format")]
    pub at: Span,
    /// How long it lasts.
    #[serde(default = "zero_span", rename = "for", with = "span_format")]
    pub span: Span,
    /// Of those that it can strike.
    #[serde(default = "default_one", rename = "part")]
    pub ratio: f64,
    /// How hard: a factor, a share or seconds, by kind.
    #[serde(default = "default_one")]
    pub size: f64,
    /// A further figure, by kind.
    #[serde(default)]
    pub extra: f64,
    /// `conductor` (a controller) or `gateway` (a proxy), for what can strike both.
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
    /// The kind's name, one of the deployment's.
    pub name: String,
    /// How many there are.
    pub count: usize,
    /// How many requests one executes at once.
    pub cores: u32,
    /// How fast a core works; 1 is the usual.
    pub speed: f64,
    /// Nodes are faster or slower than their kind by up to this part, at random.
    #[serde(default = "default_speed_spread")]
    pub speed_spread: f64,
}

fn default_speed_spread() -> f64 {
    0.1
}

/// The fleet at the beginning.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodePlan {
    /// The kinds and how many there are of each.
    pub kinds: Vec<NodeKind>,
    /// Invocations that may wait at a node; it turns away more.
    pub queue: usize,
    /// Connections that a node accepts at once.
    pub connections: usize,
}

/// The traffic of one operation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationTraffic {
    /// The operation's name, one of the deployment's.
    pub name: String,
    /// Its part of the traffic, beside the others' shares.
    pub share: f64,
    /// Mean work, at a core of speed 1.
    #[serde(with = "span_format")]
    pub work: Span,
}

/// What clients ask for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficPlan {
    /// First tries a second, over all proxies.
    pub rate: f64,
    /// The traffic of each operation.
    pub operations: Vec<OperationTraffic>,
    /// Times that a client comes again after a failure.
    #[serde(default)]
    pub retries: u32,
    /// How unequal proxies are: the largest over the smallest.
    #[serde(default = "default_one")]
    pub spread: f64,
}

/// What a drill plays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The script's name, for the report.
    pub name: String,
    /// How long it lasts.
    #[serde(with = "span_format")]
    pub length: Span,
    /// How many proxies there are.
    #[serde(rename = "gateways")]
    pub proxies: usize,
    /// The fleet at the beginning.
    pub nodes: NodePlan,
    /// What clients ask for.
    pub traffic: TrafficPlan,
    /// The deployment that controllers are told.
    pub deployment: Deployment,
    /// How late the list of nodes is.
    #[serde(default = "default_list_delay", with = "span_format")]
    pub list_delay: Span,
    /// The faults, each at its time.
    #[serde(default, rename = "troubles")]
    pub faults: Vec<Fault>,
}

fn default_list_delay() -> Span {
    Span::from_seconds(0.8)
}

/// A script with the faults of a day in place of its own.
#[derive(Clone, Debug)]
pub struct DayScript {
    /// The script with the day's faults.
    pub script: Script,
    /// Kinds of fault in the day that can't be injected here.
    pub not_injected: Vec<String>,
}

impl Script {
    /// Reads a script and checks its values.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let script: Script = serde_yaml_ng::from_str(text)?;
        let errors = script.validate();
        if errors.is_empty() {
            Ok(script)
        } else {
            Err(ScriptError::Invalid(errors))
        }
    }

    /// Reads the script of this path.
    pub fn read(path: &Path) -> Result<Script, ScriptError> {
        let text = std::fs::read_to_string(path).map_err(|source| ScriptError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Script::parse(&text).map_err(|error| error.in_file(path))
    }

    /// Texts of all values that are not possible.
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
            errors.push("length: between 2s and 1h is possible".to_string());
        }
        if self.proxies == 0 || self.proxies > 200 {
            errors.push(format!(
                "gateways: {}, between 1 and 200 are possible on one machine",
                self.proxies
            ));
        }
        let count: usize = self.nodes.kinds.iter().map(|kind| kind.count).sum();
        if count == 0 || count > 400 {
            errors.push(format!(
                "nodes.kinds: {count} nodes, between 1 and 400 are possible"
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
                "nodes.kinds: the speed_spread of `{name}` should lie between 0 and 1"
            ));
        }
        if kind.cores == 0 || !(0.01..=100.0).contains(&kind.speed) {
            errors.push(format!(
                "nodes.kinds: `{name}` needs cores and a speed between 0.01 and 100"
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
                "traffic: rate should lie between 0 and 20000, spread between 1 and 1000"
                    .to_string(),
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
                    "troubles.{at}: it should begin within the drill and strike a part between 0 and 1"
                ));
            }
        }
    }

    /// The same fleet with the faults of a day. What can't be injected is named.
    pub fn with_day(mut self, text: &str) -> Result<DayScript, ScriptError> {
        let day: Value = serde_json::from_str(text).map_err(ScriptError::DayIsNoJson)?;
        let number = |value: &Value, name: &str| value.get(name).and_then(Value::as_f64);
        let length = number(&day, "length")
            .filter(|length| *length > 0.0)
            .ok_or(ScriptError::DayLacks { field: "length" })?;
        let faults = day
            .get("troubles")
            .and_then(Value::as_array)
            .ok_or(ScriptError::DayLacks { field: "troubles" })?;
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
            // A share of streams is told as size there; late reports come later by seconds.
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
