//! What a conductor is told of its deployment at start: zones, kinds, operations, the figures of the
//! rules and of the channel. `flaws` names what can't be, field by field; `facts` is the plain map of
//! names to values that the module reads.

use crate::span_format;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::settings::{SettingValue, Settings};
use wheelspread::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}

impl Repeat {
    fn word(self) -> &'static str {
        match self {
            Repeat::Idempotent => "idempotent",
            Repeat::Fingerprinted => "fingerprinted",
            Repeat::SideEffecting => "side-effecting",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryScope {
    All,
    Zone,
    Cell,
}

/// How proxies are told how much of an operation to let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LevelForm {
    Share,
    Rate,
    None,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperationPlan {
    pub name: String,
    /// Answers within it count in full.
    #[serde(with = "span_format")]
    pub latency_objective: Span,
    /// What a client waits at most, over all tries.
    #[serde(with = "span_format")]
    pub integration_timeout: Span,
    pub billed_value: f64,
    #[serde(default)]
    pub late_share: f64,
    pub repeat: Repeat,
    #[serde(default = "all_nodes")]
    pub repeat_group: RetryScope,
    #[serde(default = "no_span", with = "span_format")]
    pub repeat_window: Span,
    #[serde(default)]
    pub stays_in_zone: bool,
}

fn all_nodes() -> RetryScope {
    RetryScope::All
}

fn no_span() -> Span {
    Span::ZERO
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControllerPlan {
    /// How many conductors share the proxies; each decides alone.
    pub count: u32,
    /// Whether a proxy joins a conductor of its own zone.
    pub joined_by_zone: bool,
    /// The least time between two rounds of decisions.
    #[serde(with = "span_format")]
    pub tick: Span,
}

impl Default for ControllerPlan {
    fn default() -> Self {
        ControllerPlan {
            count: 1,
            joined_by_zone: false,
            tick: Span::from_seconds(0.01),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyPlan {
    /// Of all conductors together.
    pub count: u32,
    /// Errors in a row after which a proxy avoids a node by itself; 0: never.
    pub errors_until_avoided: u32,
    #[serde(with = "span_format")]
    pub connection_idle: Span,
    /// Invocations a second that a proxy brings, where it does not say so itself.
    pub usual_rate: f64,
}

impl Default for ProxyPlan {
    fn default() -> Self {
        let idle = Span::from_seconds(15.0);
        ProxyPlan {
            count: 1,
            errors_until_avoided: 0,
            connection_idle: idle,
            usual_rate: 0.0,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RulePlan {
    /// Rule 1: how long a joined proxy may lack a line.
    #[serde(with = "span_format")]
    pub without_node_at_most: Span,
    /// Rule 3: how long proxies may go on sending to a node that drains or is gone.
    #[serde(with = "span_format")]
    pub drain_grace: Span,
    /// Rule 4: a node starts at this part of its capacity,
    pub cold_start_share: f64,
    /// is warm after this long,
    #[serde(with = "span_format")]
    pub warm_after: Span,
    /// and falls over at this multiple of what it can do
    pub cold_overload_factor: f64,
    /// over this long.
    #[serde(with = "span_format")]
    pub cold_overload_span: Span,
}

impl RulePlan {
    /// Whether a node that started then is cold still; `None`: long ago.
    pub fn is_cold(&self, now: Moment, started: Option<Moment>) -> bool {
        started.is_some_and(|at| now - at < self.warm_after)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChannelPlan {
    /// Rule 5: lines that may wait for proxies to take them.
    pub lines_waiting_at_most: f64,
    /// Lines that a message counts beside its own.
    #[serde(default)]
    pub head_lines: f64,
    /// Lines a second that this conductor writes.
    pub lines_per_second: f64,
    /// How long a message takes to be in force at a proxy, at most.
    #[serde(with = "span_format")]
    pub delay_at_most: Span,
    /// Messages to one proxy within `messages_window`; 0: no limit.
    #[serde(default)]
    pub messages_at_most: u32,
    #[serde(default = "ten_seconds", with = "span_format")]
    pub messages_window: Span,
}

fn ten_seconds() -> Span {
    Span::from_seconds(10.0)
}

/// By which fronts tables are given out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontPlan {
    pub files: bool,
    pub streams: bool,
}

impl Default for FrontPlan {
    fn default() -> Self {
        FrontPlan {
            files: true,
            streams: true,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LoadReportPlan {
    #[serde(with = "span_format")]
    pub period: Span,
    /// Loads that nodes tell of in their answers: `utilization`, `queue`.
    pub loads: Vec<String>,
}

impl Default for LoadReportPlan {
    fn default() -> Self {
        LoadReportPlan {
            period: Span::from_seconds(1.0),
            loads: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListPlan {
    /// A list that lacks more than this part of the ready nodes is doubted until one more says the same.
    pub shrinks_at_most: f64,
}

impl Default for ListPlan {
    fn default() -> Self {
        ListPlan {
            shrinks_at_most: 0.5,
        }
    }
}

/// Work of one invocation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Work(#[serde(with = "span_format")] pub Span);

/// Solved weights, see docs/solver.md.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SolverPlan {
    /// By kind, seconds of work a second; may be wrong by half.
    pub capacities: BTreeMap<String, f64>,
    /// By operation.
    pub work: BTreeMap<String, Work>,
    #[serde(default = "two_seconds", with = "span_format")]
    pub every: Span,
    #[serde(default = "least_share")]
    pub least_share: f64,
    #[serde(default = "fill_at_most")]
    pub fill_at_most: f64,
}

fn two_seconds() -> Span {
    Span::from_seconds(2.0)
}

fn least_share() -> f64 {
    0.05
}

fn fill_at_most() -> f64 {
    0.85
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    pub zones: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    pub operations: Vec<OperationPlan>,
    #[serde(default)]
    pub conductors: ControllerPlan,
    #[serde(default)]
    pub proxies: ProxyPlan,
    pub rules: RulePlan,
    pub channel: ChannelPlan,
    #[serde(default)]
    pub fronts: FrontPlan,
    #[serde(default)]
    pub sums: LoadReportPlan,
    #[serde(default)]
    pub list: ListPlan,
    #[serde(default = "by_share")]
    pub admission: LevelForm,
    #[serde(default)]
    pub cross_zone_price: f64,
    /// What a proxy does before it was told: times the latency objective that a first try is waited for.
    #[serde(default = "first_wait")]
    pub first_wait: f64,
    /// Left out: nodes have the weights that the list gives them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub solver: Option<SolverPlan>,
}

fn by_share() -> LevelForm {
    LevelForm::Share
}

fn first_wait() -> f64 {
    1.0
}

/// A field whose value can't be, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub field: String,
    pub text: String,
}

const LOADS: &[&str] = &["utilization", "queue"];
const MOST_OPERATIONS: usize = 16;

impl Deployment {
    pub fn validate(&self) -> Vec<ConfigError> {
        let mut flaws = Vec::new();
        let mut wrong = |field: &str, text: String| {
            flaws.push(ConfigError {
                field: field.to_string(),
                text,
            })
        };
        for (field, names) in [
            ("zones", &self.zones),
            ("kinds", &self.kinds),
            ("sums.loads", &self.sums.loads),
        ] {
            for (at, name) in names.iter().enumerate() {
                if !plain(name) {
                    wrong(
                        &format!("{field}.{at}"),
                        format!("`{name}` should be of letters, digits, - and _"),
                    );
                }
                if names[..at].contains(name) {
                    wrong(&format!("{field}.{at}"), format!("`{name}` is named twice"));
                }
            }
        }
        if self.zones.is_empty() || self.zones.len() > 250 {
            wrong(
                "zones",
                format!("{} zones: between 1 and 250 are possible", self.zones.len()),
            );
        }
        if self.kinds.len() > 250 {
            wrong(
                "kinds",
                format!("{} kinds: 250 at most are possible", self.kinds.len()),
            );
        }
        for load in self
            .sums
            .loads
            .iter()
            .filter(|load| !LOADS.contains(&load.as_str()))
        {
            wrong(
                "sums.loads",
                format!(
                    "`{load}` is no load that nodes tell of: {} are",
                    LOADS.join(", ")
                ),
            );
        }
        if self.operations.is_empty() || self.operations.len() > MOST_OPERATIONS {
            let count = self.operations.len();
            wrong(
                "operations",
                format!("{count} operations: between 1 and {MOST_OPERATIONS} are possible"),
            );
        }
        for (at, operation) in self.operations.iter().enumerate() {
            let field = |name: &str| format!("operations.{at}.{name}");
            if !plain(&operation.name) {
                wrong(
                    &field("name"),
                    format!("`{}` should be of letters, digits, - and _", operation.name),
                );
            }
            if self.operations[..at]
                .iter()
                .any(|other| other.name == operation.name)
            {
                wrong(
                    &field("name"),
                    format!("`{}` is named twice", operation.name),
                );
            }
            if operation.latency_objective <= Span::ZERO {
                wrong(&field("latency_objective"), "should be above 0".to_string());
            }
            if operation.integration_timeout < operation.latency_objective {
                wrong(
                    &field("integration_timeout"),
                    "should not lie below latency_objective".to_string(),
                );
            }
            if !(operation.billed_value > 0.0 && operation.billed_value <= 1e9) {
                wrong(
                    &field("billed_value"),
                    format!("{} should be above 0, 1e9 at most", operation.billed_value),
                );
            }
            if operation.repeat == Repeat::Fingerprinted && operation.repeat_window <= Span::ZERO {
                wrong(
                    &field("repeat_window"),
                    "a fingerprinted operation needs one above 0".to_string(),
                );
            }
            within(
                &mut wrong,
                &field("late_share"),
                operation.late_share,
                0.0,
                1.0,
            );
        }
        within(
            &mut wrong,
            "conductors.count",
            f64::from(self.conductors.count),
            1.0,
            1000.0,
        );
        let tick = self.conductors.tick.seconds();
        within(&mut wrong, "conductors.tick (seconds)", tick, 0.001, 1.0);
        within(
            &mut wrong,
            "proxies.count",
            f64::from(self.proxies.count),
            1.0,
            60000.0,
        );
        within(
            &mut wrong,
            "proxies.usual_rate",
            self.proxies.usual_rate,
            0.0,
            1e7,
        );
        within(
            &mut wrong,
            "rules.cold_start_share",
            self.rules.cold_start_share,
            0.01,
            1.0,
        );
        within(
            &mut wrong,
            "rules.cold_overload_factor",
            self.rules.cold_overload_factor,
            1.0,
            100.0,
        );
        for (field, span) in [
            (
                "rules.without_node_at_most",
                self.rules.without_node_at_most,
            ),
            ("rules.drain_grace", self.rules.drain_grace),
            ("rules.cold_overload_span", self.rules.cold_overload_span),
            ("channel.messages_window", self.channel.messages_window),
        ] {
            within(
                &mut wrong,
                &format!("{field} (seconds)"),
                span.seconds(),
                0.05,
                3600.0,
            );
        }
        if !self.fronts.files && !self.fronts.streams {
            wrong(
                "fronts",
                "with neither files nor streams nobody gets a table".to_string(),
            );
        }
        within(
            &mut wrong,
            "sums.period (seconds)",
            self.sums.period.seconds(),
            0.05,
            60.0,
        );
        within(
            &mut wrong,
            "channel.lines_waiting_at_most",
            self.channel.lines_waiting_at_most,
            10.0,
            1e9,
        );
        within(
            &mut wrong,
            "channel.head_lines",
            self.channel.head_lines,
            0.0,
            1e4,
        );
        within(
            &mut wrong,
            "channel.lines_per_second",
            self.channel.lines_per_second,
            10.0,
            1e9,
        );
        within(
            &mut wrong,
            "list.shrinks_at_most",
            self.list.shrinks_at_most,
            0.05,
            1.0,
        );
        within(&mut wrong, "first_wait", self.first_wait, 0.1, 100.0);
        if let Some(solver) = &self.solver {
            for kind in self
                .kinds
                .iter()
                .filter(|kind| !solver.capacities.contains_key(*kind))
            {
                wrong("solver.capacities", format!("kind `{kind}` has none"));
            }
            for operation in self
                .operations
                .iter()
                .filter(|operation| !solver.work.contains_key(&operation.name))
            {
                wrong(
                    "solver.work",
                    format!("operation `{}` has none", operation.name),
                );
            }
            for (name, capacity) in &solver.capacities {
                within(
                    &mut wrong,
                    &format!("solver.capacities.{name}"),
                    *capacity,
                    1e-3,
                    1e6,
                );
            }
            for (name, work) in &solver.work {
                within(
                    &mut wrong,
                    &format!("solver.work.{name} (seconds)"),
                    work.0.seconds(),
                    1e-6,
                    3600.0,
                );
            }
            within(
                &mut wrong,
                "solver.every (seconds)",
                solver.every.seconds(),
                0.1,
                600.0,
            );
            within(
                &mut wrong,
                "solver.least_share",
                solver.least_share,
                0.0,
                1.0,
            );
            within(
                &mut wrong,
                "solver.fill_at_most",
                solver.fill_at_most,
                0.05,
                1.0,
            );
        }
        within(
            &mut wrong,
            "cross_zone_price",
            self.cross_zone_price,
            0.0,
            1.0,
        );
        flaws
    }

    /// The settings by the names that the module reads.
    pub fn to_settings(&self, number: u32, zone: Option<u16>) -> Settings {
        let mut facts = Settings::default();
        let mut put = |name: &str, fact: SettingValue| drop(facts.0.insert(name.to_string(), fact));
        let number_of = SettingValue::Number;
        let span_of = |span: Span| SettingValue::Number(span.seconds());
        put(
            "conductor.count",
            number_of(f64::from(self.conductors.count)),
        );
        put("conductor.number", number_of(f64::from(number)));
        put(
            "conductor.joined_by_zone",
            SettingValue::Flag(self.conductors.joined_by_zone),
        );
        put("conductor.tick", span_of(self.conductors.tick));
        if let Some(zone) = zone {
            put("conductor.zone", number_of(f64::from(zone)));
        }
        put("peers.may_tell", SettingValue::Flag(false));
        put("zone.count", number_of(self.zones.len() as f64));
        put("operation.count", number_of(self.operations.len() as f64));
        put("proxy.count", number_of(f64::from(self.proxies.count)));
        put(
            "proxy.errors_until_avoided",
            number_of(f64::from(self.proxies.errors_until_avoided)),
        );
        put(
            "proxy.connection_idle",
            span_of(self.proxies.connection_idle),
        );
        put("sums.period", span_of(self.sums.period));
        put(
            "channel.lines_waiting_at_most",
            number_of(self.channel.lines_waiting_at_most),
        );
        put("channel.head_lines", number_of(self.channel.head_lines));
        put(
            "channel.lines_per_second",
            number_of(self.channel.lines_per_second),
        );
        put("channel.delay_at_most", span_of(self.channel.delay_at_most));
        put(
            "channel.messages_at_most",
            number_of(f64::from(self.channel.messages_at_most)),
        );
        put(
            "channel.messages_window",
            span_of(self.channel.messages_window),
        );
        put(
            "rules.without_node_at_most",
            span_of(self.rules.without_node_at_most),
        );
        put("rules.drain_grace", span_of(self.rules.drain_grace));
        put(
            "rules.cold_start_share",
            number_of(self.rules.cold_start_share),
        );
        put("rules.warm_after", span_of(self.rules.warm_after));
        put(
            "rules.cold_overload_factor",
            number_of(self.rules.cold_overload_factor),
        );
        put(
            "rules.cold_overload_span",
            span_of(self.rules.cold_overload_span),
        );
        put("price.cross_zone", number_of(self.cross_zone_price));
        let form = match self.admission {
            LevelForm::Share => "share",
            LevelForm::Rate => "rate",
            LevelForm::None => "none",
        };
        put("level.form", SettingValue::Text(form.to_string()));
        put(
            "report.field.count",
            number_of(self.sums.loads.len() as f64),
        );
        for (at, load) in self.sums.loads.iter().enumerate() {
            put(
                &format!("report.field.{at}"),
                SettingValue::Text(load.clone()),
            );
        }
        for (at, operation) in self.operations.iter().enumerate() {
            let mut put =
                |name: &str, fact: SettingValue| put(&format!("operation.{at}.{name}"), fact);
            put("latency_objective", span_of(operation.latency_objective));
            put(
                "integration_timeout",
                span_of(operation.integration_timeout),
            );
            put("billed_value", number_of(operation.billed_value));
            put("late_share", number_of(operation.late_share));
            put(
                "repeat",
                SettingValue::Text(operation.repeat.word().to_string()),
            );
            let group = match operation.repeat_group {
                RetryScope::All => "all",
                RetryScope::Zone => "zone",
                RetryScope::Cell => "cell",
            };
            put("repeat_group", SettingValue::Text(group.to_string()));
            put("repeat_window", span_of(operation.repeat_window));
            put("stays_in_zone", SettingValue::Flag(operation.stays_in_zone));
        }
        facts
    }
}

/// Names go into paths of files and into logs.
fn plain(name: &str) -> bool {
    let fine = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.len() <= 100 && name.chars().all(fine)
}

fn within(wrong: &mut impl FnMut(&str, String), field: &str, value: f64, least: f64, most: f64) {
    if !(value >= least && value <= most) {
        wrong(
            field,
            format!("{value} should lie between {least} and {most}"),
        );
    }
}

#[cfg(test)]
pub(crate) mod tests;
