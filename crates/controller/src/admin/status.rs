//! Queries for the state of the controller, its update queue, the load reports and the nodes.

use super::AdminContext;
use serde::Serialize;
use serde_json::{json, Value};
use wheelspread::ids::{OperationId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_config_transaction::ChangeId;
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::ControllerCore;

/// Version of the API; it is raised when something is removed or changes its meaning.
const API_VERSION: u32 = 1;
/// Time over which `GET /v1/sums` adds up load reports, in report periods.
const LOAD_REPORT_PERIODS: f64 = 10.0;

#[derive(Debug, Serialize)]
struct StatusResponse<'a> {
    #[serde(rename = "interface")]
    api_version: u32,
    program: &'static str,
    name: &'a str,
    number: u32,
    #[serde(rename = "up_s")]
    uptime_s: f64,
    list: &'a str,
    nodes: NodeCounts,
    #[serde(rename = "gateways")]
    proxies: ProxyCounts,
    #[serde(rename = "sums_heard_s")]
    last_load_report_s: Option<f64>,
    #[serde(rename = "lines_waiting")]
    queued_entries: f64,
    #[serde(rename = "lines_waiting_at_most")]
    queued_entries_limit: f64,
    newest_version: u64,
    configuration: u64,
    #[serde(rename = "configuration_lacking")]
    lagging_proxies: usize,
    change_under_way: Option<&'a ChangeId>,
    drains: usize,
    #[serde(rename = "waits_for_disk")]
    unwritten_commits: usize,
}

#[derive(Debug, Default, Serialize)]
struct NodeCounts {
    ready: u32,
    draining: u32,
    #[serde(rename = "cold")]
    warming: u32,
}

#[derive(Debug, Serialize)]
struct ProxyCounts {
    joined: usize,
    known: usize,
}

#[derive(Debug, Serialize)]
struct ChannelResponse {
    #[serde(rename = "lines_waiting")]
    queued_entries: f64,
    #[serde(rename = "lines_waiting_at_most")]
    queued_entries_limit: f64,
    #[serde(rename = "lines_per_second")]
    entries_per_second: f64,
    messages_sent: u64,
    #[serde(rename = "messages_overtaken")]
    messages_superseded: u64,
}

#[derive(Debug, Serialize)]
struct LoadReportsResponse<'a> {
    over_s: f64,
    operations: Vec<OperationLoad<'a>>,
    #[serde(rename = "gateways")]
    proxies: Vec<ProxyReports<'a>>,
}

#[derive(Debug, Serialize)]
struct OperationLoad<'a> {
    operation: &'a str,
    #[serde(rename = "asked")]
    requests: f64,
    succeeded: f64,
    rate_limited: f64,
    #[serde(rename = "tries")]
    attempts: f64,
    #[serde(rename = "errored_tries")]
    failed_attempts: f64,
    mean_latency_ms: Option<f64>,
}

#[derive(Debug, Serialize)]
struct ProxyReports<'a> {
    #[serde(rename = "gateway")]
    proxy: &'a str,
    joined: bool,
    #[serde(rename = "heard_s")]
    last_report_s: Option<f64>,
}

#[derive(Debug, Serialize)]
struct NodesResponse<'a> {
    list: &'a str,
    nodes: Vec<NodeStatus>,
}

#[derive(Debug, Serialize)]
struct NodeStatus {
    node: String,
    zone: String,
    listing: &'static str,
    #[serde(rename = "cold")]
    is_warming: bool,
    #[serde(rename = "by_order")]
    is_drained_by_order: bool,
    weight: f64,
}

/// `GET /v1/status`
pub fn controller_status(now: Moment, context: &AdminContext) -> Value {
    let (core, rollout) = (&*context.core, &*context.rollout);
    let progress = core.rollout_progress();
    let change_under_way = rollout
        .ledger()
        .unfinished()
        .find(|record| record.state.is_in_progress());
    json!(StatusResponse {
        api_version: API_VERSION,
        program: env!("CARGO_PKG_VERSION"),
        name: &context.identity.name,
        number: context.identity.number,
        uptime_s: seconds_since(now, context.identity.started_at),
        list: core.endpoint_list().version(),
        nodes: count_nodes(now, core),
        proxies: count_proxies(core),
        last_load_report_s: core
            .service_history()
            .latest_report_at()
            .map(|at| seconds_since(now, at)),
        queued_entries: core.queued_entries(),
        queued_entries_limit: core.deployment().update_queue.max_queued_entries,
        newest_version: core.last_version().0,
        configuration: progress.configuration,
        lagging_proxies: progress.outdated_proxies.len(),
        change_under_way: change_under_way.map(|record| &record.change.id),
        drains: context.drains.active_count(),
        unwritten_commits: rollout.pending_write_count(),
    })
}

fn count_nodes(now: Moment, core: &ControllerCore) -> NodeCounts {
    let mut counts = NodeCounts::default();
    for entry in core.effective_entries() {
        match entry.status {
            EndpointStatus::Ready => counts.ready += 1,
            EndpointStatus::Draining => counts.draining += 1,
            EndpointStatus::Gone => {}
        }
        counts.warming += u32::from(is_warming(now, &entry, core));
    }
    counts
}

fn count_proxies(core: &ControllerCore) -> ProxyCounts {
    let members = || core.members().members();
    ProxyCounts {
        joined: members().filter(|(_, member)| member.is_joined()).count(),
        known: members().count(),
    }
}

/// `GET /v1/channel`
pub fn update_channel(core: &ControllerCore) -> Value {
    let counts = core.update_counts();
    let settings = &core.deployment().update_queue;
    json!(ChannelResponse {
        queued_entries: core.queued_entries(),
        queued_entries_limit: settings.max_queued_entries,
        entries_per_second: settings.entries_per_second,
        messages_sent: counts.sent,
        messages_superseded: counts.superseded,
    })
}

/// `GET /v1/sums`
pub fn load_reports(now: Moment, core: &ControllerCore) -> Value {
    let plan = core.deployment();
    let from = now - plan.load_reports.period * LOAD_REPORT_PERIODS;
    let (tallies, seconds) = core.service_history().between(from, now);
    let operations = plan.operations.iter().enumerate().map(|(at, operation)| {
        let tally = tallies.for_operation(OperationId(at as u8));
        OperationLoad {
            operation: &operation.name,
            requests: tally.requests,
            succeeded: tally.succeeded,
            rate_limited: tally.rate_limited,
            attempts: tally.attempts,
            failed_attempts: tally.failures,
            mean_latency_ms: (tally.timed_attempts > 0.0)
                .then(|| tally.latency_seconds / tally.timed_attempts * 1e3),
        }
    });
    let proxies = core.members().members().map(|(name, member)| ProxyReports {
        proxy: name,
        joined: member.is_joined(),
        last_report_s: core
            .service_history()
            .last_report_at(member.id)
            .map(|at| seconds_since(now, at)),
    });
    json!(LoadReportsResponse {
        over_s: seconds,
        operations: operations.collect(),
        proxies: proxies.collect(),
    })
}

/// `GET /v1/nodes`
pub fn nodes(now: Moment, core: &ControllerCore) -> Value {
    json!(NodesResponse {
        list: core.endpoint_list().version(),
        nodes: core
            .effective_entries()
            .map(|entry| node_status(now, core, &entry))
            .collect(),
    })
}

fn node_status(now: Moment, core: &ControllerCore, entry: &EndpointEntry) -> NodeStatus {
    NodeStatus {
        node: format_node(entry.node),
        zone: zone_name(core, entry.zone),
        listing: listing_name(entry.status),
        is_warming: is_warming(now, entry, core),
        is_drained_by_order: core.drained_nodes().contains(&entry.node),
        weight: entry.weight,
    }
}

fn zone_name(core: &ControllerCore, id: ZoneId) -> String {
    let zones = &core.deployment().zones;
    zones.get(usize::from(id.0)).cloned().unwrap_or_default()
}

/// The name of an endpoint status in the API.
pub fn listing_name(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Gone => "out",
    }
}

fn is_warming(now: Moment, entry: &EndpointEntry, core: &ControllerCore) -> bool {
    entry.status == EndpointStatus::Ready && core.deployment().rules.is_warming(now, entry.started)
}

/// Seconds from `then` to `now`, rounded to three decimals.
fn seconds_since(now: Moment, then: Moment) -> f64 {
    ((now - then).seconds() * 1e3).round() / 1e3
}
