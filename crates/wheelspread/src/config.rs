//! The settings that decisions use, read once at start and at each reconfiguration.

use crate::error::ConfigError;
use crate::ids::OperationId;
use crate::settings::Settings;
use crate::time::Span;

/// Settings without which nothing can be decided. The others have defaults.
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

const MAX_OPERATIONS: f64 = 16.0;
const MAX_ZONES: f64 = 250.0;
/// Longest latency objective that counts, in seconds.
const MAX_OBJECTIVE_SECONDS: f64 = 60.0;

/// Typed settings of one deployment.
#[derive(Clone, Debug)]
pub(crate) struct Config {
    /// `sums.period`: time between two load reports.
    pub report_period: Span,
    /// `report.field.N` that is `utilization`: its place among a node's own metrics.
    pub utilization_metric: Option<usize>,
    /// `report.field.N` that is `queue`.
    pub queue_metric: Option<usize>,
    /// `conductor.count`
    pub controller_count: f64,
    /// `conductor.tick`: least time between two decision rounds.
    pub tick: Span,
    /// `conductor.joined_by_zone`: proxies join the controller of their zone.
    pub proxies_join_by_zone: bool,
    /// `peers.may_tell`: controllers may send gossip to each other.
    pub gossip_enabled: bool,
    /// `proxy.count`: proxies of the whole fleet.
    pub proxy_count: f64,
    /// `proxy.errors_until_avoided`: errors in a row after which a proxy avoids a node; 0: never.
    pub errors_until_avoided: f64,
    /// `proxy.connection_idle`: after that time a proxy closes an unused connection.
    pub connection_idle: Span,
    /// `level.form` is `share`: admission limits are shares, not rates at each proxy.
    pub admission_as_share: bool,
    /// `channel.lines_waiting_at_most`: entries that the update queue holds.
    pub queue_capacity: f64,
    /// `channel.lines_per_second`: pace at which the update queue empties; 0: not known.
    pub queue_entries_per_second: f64,
    /// `channel.head_lines`: entries that each message costs beside those it carries.
    pub message_overhead: f64,
    /// `channel.delay_at_most`: longest time on the way to a proxy.
    pub max_queue_delay: Span,
    /// `channel.messages_at_most`: messages to one proxy within the window; 0: no cap.
    pub message_cap: f64,
    /// `channel.messages_window`: the time for which that cap holds.
    pub message_window: Span,
    /// `rules.warm_after`: time after its start for which a node warms up.
    pub warm_up: Span,
    /// `rules.cold_start_share`: share of its capacity that a node has when it starts.
    pub warm_up_start_ratio: f64,
    /// `rules.cold_overload_factor`: times its capacity that pushes a node over while it warms up.
    pub warm_up_overload_factor: f64,
    /// `rules.drain_grace`: how long a draining node goes on serving; 0: not known.
    pub drain_grace: Span,
    /// `price.cross_zone`: price of a request that crosses zones.
    pub cross_zone_price: f64,
    /// The operations, by their number.
    pub operations: Vec<Operation>,
    zone_count: f64,
    operation_count: f64,
}

impl Config {
    /// Reads all settings; names the first one that is missing or of another type.
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

    /// Whether tables built for `other` serve this configuration too.
    pub fn has_same_topology(&self, other: &Config) -> bool {
        let pairs = || self.operations.iter().zip(&other.operations);
        self.zone_count == other.zone_count
            && self.operation_count == other.operation_count
            && pairs().all(|(a, b)| a.stays_in_zone == b.stays_in_zone)
    }

    /// How many zones there are.
    pub fn zone_count(&self) -> u16 {
        self.zone_count.clamp(0.0, MAX_ZONES) as u16
    }

    /// Entries that a message takes in the queue: those it carries, its head and a marker.
    pub fn message_entries(&self, carried: usize) -> f64 {
        carried as f64 + self.message_overhead + 1.0
    }

    /// The shortest latency objective, in seconds.
    pub fn shortest_objective(&self) -> f64 {
        self.operations
            .iter()
            .map(|operation| operation.latency_objective.seconds())
            .fold(f64::INFINITY, f64::min)
            .min(MAX_OBJECTIVE_SECONDS)
    }
}

/// The place of a metric in load reports, by the settings `report.field.N`.
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
    /// Time after which a node gives up a request of this operation.
    pub timeout: Span,
    /// What one request is billed with: under overload the cheapest are rejected first.
    pub billed_value: f64,
    pub retry_safety: RetrySafety,
    /// Whether all nodes together recognize a retry, not only some of them.
    pub recognized_by_all_nodes: bool,
    /// How long nodes recognize a retry.
    pub recognized_for: Span,
    /// Whether its requests may not leave their zone.
    pub stays_in_zone: bool,
}

/// What a retry of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetrySafety {
    /// The same as the first attempt alone.
    Idempotent,
    /// The same, as long as nodes recognize the request by its fingerprint.
    Fingerprinted,
    /// Its work twice.
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
