//! Typed settings for the balancer's decisions, read at start and at each reconfiguration.

use crate::error::ConfigError;
use crate::ids::OperationId;
use crate::settings::Settings;
use crate::time::Span;

/// Settings that must be present. All others have defaults.
const REQUIRED: [&str; 11] = [
    "conductor.count",
    "zone.count",
    "operation.count",
    "proxy.count",
    "sums.period",
    "channel.lines_waiting_at_most",
    "channel.head_lines",
    "channel.delay_at_most",
    "rules.cold_overload_factor",
    "rules.cold_start_share",
    "rules.warm_after",
];

/// Larger settings of `operation.count` are lowered to this.
const MAX_OPERATIONS: f64 = 16.0;
/// Larger settings of `zone.count` are lowered to this.
const MAX_ZONES: f64 = 250.0;
/// Upper bound of the shortest latency objective, in seconds.
const MAX_OBJECTIVE_SECONDS: f64 = 60.0;

/// Typed settings of one deployment.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// `sums.period`: time between two load reports, limited to 0.05 s to 60 s.
    pub report_period: Span,
    /// The N of the setting `report.field.N` whose value is `utilization`: its index among a node's own metrics.
    pub utilization_metric: Option<usize>,
    /// The N of the setting `report.field.N` whose value is `queue`: its index among a node's own metrics.
    pub queue_metric: Option<usize>,
    /// `conductor.count`: controllers in the deployment.
    pub controller_count: f64,
    /// `conductor.tick`: minimum time between two timer-driven decision rounds.
    pub tick: Span,
    /// `conductor.joined_by_zone`: whether proxies join the controller of their zone.
    pub proxies_join_by_zone: bool,
    /// `peers.may_tell`: whether controllers may send gossip to each other.
    pub gossip_enabled: bool,
    /// `proxy.count`: proxies in the whole fleet.
    pub proxy_count: f64,
    /// `proxy.errors_until_avoided`: consecutive errors after which a proxy avoids a node; 0 means never.
    pub errors_until_avoided: f64,
    /// `proxy.connection_idle`: idle time after which a proxy closes a connection.
    pub connection_idle: Span,
    /// Whether `level.form` is `share`: admission limits are ratios of the requests, not rates at each proxy.
    pub admission_as_share: bool,
    /// `channel.lines_waiting_at_most`: maximum entries in the update queue.
    pub queue_capacity: f64,
    /// `channel.lines_per_second`: entries per second that leave the update queue; 0 means unknown.
    pub queue_entries_per_second: f64,
    /// `channel.head_lines`: queue entries that each message takes in addition to those it carries.
    pub message_overhead: f64,
    /// `channel.delay_at_most`: maximum time until an update reaches a proxy.
    pub max_queue_delay: Span,
    /// `channel.messages_at_most`: maximum messages to one proxy within the message window; 0 means no cap.
    pub message_cap: f64,
    /// `channel.messages_window`: the window of the message cap.
    pub message_window: Span,
    /// `rules.warm_after`: time that a node takes to warm up after its start.
    pub warm_up: Span,
    /// `rules.cold_start_share`: ratio of its full capacity that a node has when it starts, limited to 0.01 to 1.
    pub warm_up_start_ratio: f64,
    /// `rules.cold_overload_factor`: load, as a multiple of its current capacity, that overloads a warming node.
    pub warm_up_overload_factor: f64,
    /// `rules.drain_grace`: grace period during which a draining node still serves; 0 means unknown.
    pub drain_grace: Span,
    /// `price.cross_zone`: cost of a request that crosses zones.
    pub cross_zone_price: f64,
    /// The operations, in the order of their ids.
    pub operations: Vec<Operation>,
    zone_count: f64,
    operation_count: f64,
}

impl Config {
    /// Reads all settings. The error names the first one that is missing or has the wrong type.
    pub fn read(settings: &Settings) -> Result<Config, ConfigError> {
        for name in REQUIRED {
            settings.number(name)?;
        }
        let number = |name: &str| settings.number_or(name, 0.0);
        let span = |name: &str| Span::from_seconds(number(name));
        let operation_count = settings.number("operation.count")?;
        let operations = (0..operation_count.clamp(0.0, MAX_OPERATIONS) as u8)
            .map(|index| Operation::read(settings, index))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(Config {
            report_period: Span::from_seconds(number("sums.period").clamp(0.05, 60.0)),
            utilization_metric: metric_index(settings, "utilization"),
            queue_metric: metric_index(settings, "queue"),
            controller_count: number("conductor.count"),
            tick: span("conductor.tick"),
            proxies_join_by_zone: settings.flag_or("conductor.joined_by_zone", false),
            gossip_enabled: settings.flag_or("peers.may_tell", false),
            proxy_count: number("proxy.count"),
            errors_until_avoided: number("proxy.errors_until_avoided"),
            connection_idle: span("proxy.connection_idle"),
            admission_as_share: settings
                .text("level.form")
                .is_ok_and(|form| form == "share"),
            queue_capacity: number("channel.lines_waiting_at_most"),
            queue_entries_per_second: number("channel.lines_per_second"),
            message_overhead: number("channel.head_lines"),
            max_queue_delay: span("channel.delay_at_most"),
            message_cap: number("channel.messages_at_most"),
            message_window: span("channel.messages_window"),
            warm_up: span("rules.warm_after"),
            warm_up_start_ratio: number("rules.cold_start_share").clamp(0.01, 1.0),
            warm_up_overload_factor: number("rules.cold_overload_factor").max(0.0),
            drain_grace: span("rules.drain_grace"),
            cross_zone_price: number("price.cross_zone"),
            operations,
            zone_count: settings.number("zone.count")?,
            operation_count,
        })
    }

    /// Whether tables built for `other` are also valid for this configuration: the zones, the operations and which
    /// operations stay in their zone must be the same.
    pub fn has_same_topology(&self, other: &Config) -> bool {
        let pairs = || self.operations.iter().zip(&other.operations);
        self.zone_count == other.zone_count
            && self.operation_count == other.operation_count
            && pairs().all(|(a, b)| a.stays_in_zone == b.stays_in_zone)
    }

    /// The number of zones, limited to `MAX_ZONES`.
    pub fn zone_count(&self) -> u16 {
        self.zone_count.clamp(0.0, MAX_ZONES) as u16
    }

    /// Queue entries that a message takes: those that it carries, its overhead and a version marker.
    pub fn message_entries(&self, carried: usize) -> f64 {
        carried as f64 + self.message_overhead + 1.0
    }

    /// The shortest latency objective of all operations in seconds, at most `MAX_OBJECTIVE_SECONDS`.
    pub fn shortest_objective(&self) -> f64 {
        self.operations
            .iter()
            .map(|operation| operation.latency_objective.seconds())
            .fold(f64::INFINITY, f64::min)
            .min(MAX_OBJECTIVE_SECONDS)
    }
}

/// The index of a metric in load reports, from the settings `report.field.N`; the lowest if several name the metric.
fn metric_index(settings: &Settings, metric: &str) -> Option<usize> {
    let indices = settings.0.keys().filter_map(|name| {
        let index: usize = name.strip_prefix("report.field.")?.parse().ok()?;
        (settings.text(name).ok()? == metric).then_some(index)
    });
    indices.min()
}

/// The settings of one operation.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    pub id: OperationId,
    pub latency_objective: Span,
    /// Time after which a node abandons a request of this operation.
    pub timeout: Span,
    /// Billed value of one request: under overload the requests of the lowest value are rejected first.
    pub billed_value: f64,
    pub retry_safety: RetrySafety,
    /// Whether every node recognizes a retry of a request that any other node processed, not only nodes of one group.
    pub recognized_by_all_nodes: bool,
    /// How long after the first attempt nodes recognize a retry.
    pub recognized_for: Span,
    /// Whether requests of this operation must not leave their zone.
    pub stays_in_zone: bool,
}

/// The effect of retrying a request that was already processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetrySafety {
    /// No further effect: the result is the same as after one attempt.
    Idempotent,
    /// No further effect, as long as nodes recognize the request by its fingerprint.
    Fingerprinted,
    /// The request takes effect twice.
    SideEffecting,
}

impl Operation {
    fn read(settings: &Settings, index: u8) -> Result<Operation, ConfigError> {
        let name = |part: &str| format!("operation.{index}.{part}");
        let span = |part: &str| settings.number(&name(part)).map(Span::from_seconds);
        Ok(Operation {
            id: OperationId(index),
            latency_objective: span("latency_objective")?,
            timeout: span("integration_timeout")?,
            billed_value: settings.number_or(&name("billed_value"), 1.0),
            retry_safety: match settings.text(&name("repeat"))? {
                "idempotent" => RetrySafety::Idempotent,
                "fingerprinted" => RetrySafety::Fingerprinted,
                _ => RetrySafety::SideEffecting,
            },
            recognized_by_all_nodes: settings.text(&name("repeat_group")) == Ok("all"),
            recognized_for: Span::from_seconds(settings.number_or(&name("repeat_window"), 0.0)),
            stays_in_zone: settings.flag_or(&name("stays_in_zone"), false),
        })
    }
}
