//! State of the controller, its update queue, the load reports and the nodes.

use super::AdminContext;
use serde::Serialize;
use serde_json::{json, Value};
use wheelspread::ids::{OperationId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_config_transaction::ChangeId;
use wheelspread_controller_core::endpoint_list::show;
use wheelspread_controller_core::ControllerCore;

/// Version of the API; it rises when something is taken away or changes its meaning.
const API_VERSION: u32 = 1;
/// `GET /v1/sums` sums up the load reports of so many periods.
const LOAD_REPORT_PERIODS: f64 = 10.0;

#[derive(Debug, Serialize)]
struct StatusResponse<'a> {
    interface: u32,
    program: &'static str,
    name: &'a str,
    number: u32,
    up_s: f64,
    list: &'a str,
    nodes: NodeCounts,
    gateways: ProxyCounts,
    sums_heard_s: Option<f64>,
    lines_waiting: f64,
    lines_waiting_at_most: f64,
    newest_version: u64,
    configuration: u64,
    configuration_lacking: usize,
    change_under_way: Option<&'a ChangeId>,
    drains: usize,
    waits_for_disk: usize,
}

#[derive(Debug, Default, Serialize)]
struct NodeCounts {
    ready: u32,
    draining: u32,
    cold: u32,
}

#[derive(Debug, Serialize)]
struct ProxyCounts {
    joined: usize,
    known: usize,
}

#[derive(Debug, Serialize)]
struct ChannelResponse {
    lines_waiting: f64,
    lines_waiting_at_most: f64,
    lines_per_second: f64,
    messages_sent: u64,
    messages_overtaken: u64,
}

#[derive(Debug, Serialize)]
struct LoadReportsResponse<'a> {
    over_s: f64,
    operations: Vec<OperationLoad<'a>>,
    gateways: Vec<ProxyReports<'a>>,
}

#[derive(Debug, Serialize)]
struct OperationLoad<'a> {
    operation: &'a str,
    asked: f64,
    succeeded: f64,
    rate_limited: f64,
    tries: f64,
    errored_tries: f64,
    mean_latency_ms: Option<f64>,
}

#[derive(Debug, Serialize)]
struct ProxyReports<'a> {
    gateway: &'a str,
    joined: bool,
    heard_s: Option<f64>,
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
    cold: bool,
    by_order: bool,
    weight: f64,
}

/// `GET /v1/status`
pub fn controller_status(now: Moment, context: &AdminContext) -> Value {
    let (core, rollout) = (&*context.core, &*context.rollout);
    let progress = core.reach();
    let change_under_way = rollout
        .ledger()
        .unfinished()
        .find(|record| record.state.is_in_progress());
    json!(StatusResponse {
        interface: API_VERSION,
        program: env!("CARGO_PKG_VERSION"),
        name: &context.identity.name,
        number: context.identity.number,
        up_s: seconds_since(now, context.identity.started_at),
        list: core.nodes().version(),
        nodes: count_nodes(now, core),
        gateways: count_proxies(core),
        sums_heard_s: core
            .measured()
            .heard_last()
            .map(|at| seconds_since(now, at)),
        lines_waiting: core.lines_waiting(),
        lines_waiting_at_most: core.plan().channel.lines_waiting_at_most,
        newest_version: core.version().0,
        configuration: progress.configuration,
        configuration_lacking: progress.lacking.len(),
        change_under_way: change_under_way.map(|record| &record.change.id),
        drains: context.drains.active_count(),
        waits_for_disk: rollout.unwritten(),
    })
}

fn count_nodes(now: Moment, core: &ControllerCore) -> NodeCounts {
    let mut counts = NodeCounts::default();
    for entry in core.serving() {
        match entry.status {
            EndpointStatus::Ready => counts.ready += 1,
            EndpointStatus::Draining => counts.draining += 1,
            EndpointStatus::Gone => {}
        }
        counts.cold += u32::from(is_warming(now, &entry, core));
    }
    counts
}

fn count_proxies(core: &ControllerCore) -> ProxyCounts {
    let members = || core.members().members();
    ProxyCounts {
        joined: members().filter(|(_, member)| member.joined()).count(),
        known: members().count(),
    }
}

/// `GET /v1/channel`
pub fn update_channel(core: &ControllerCore) -> Value {
    let (messages_sent, messages_overtaken) = core.messages();
    let settings = &core.plan().channel;
    json!(ChannelResponse {
        lines_waiting: core.lines_waiting(),
        lines_waiting_at_most: settings.lines_waiting_at_most,
        lines_per_second: settings.lines_per_second,
        messages_sent,
        messages_overtaken,
    })
}

/// `GET /v1/sums`
pub fn load_reports(now: Moment, core: &ControllerCore) -> Value {
    let plan = core.plan();
    let from = now - plan.sums.period * LOAD_REPORT_PERIODS;
    let (tallies, seconds) = core.measured().between(from, now);
    let operations = plan.operations.iter().enumerate().map(|(at, operation)| {
        let tally = tallies.of(OperationId(at as u8));
        OperationLoad {
            operation: &operation.name,
            asked: tally.asked,
            succeeded: tally.succeeded,
            rate_limited: tally.rate_limited,
            tries: tally.tries,
            errored_tries: tally.errored,
            mean_latency_ms: (tally.timed > 0.0).then(|| tally.seconds / tally.timed * 1e3),
        }
    });
    let proxies = core.members().members().map(|(name, member)| ProxyReports {
        gateway: name,
        joined: member.joined(),
        heard_s: core
            .measured()
            .heard(member.id)
            .map(|at| seconds_since(now, at)),
    });
    json!(LoadReportsResponse {
        over_s: seconds,
        operations: operations.collect(),
        gateways: proxies.collect(),
    })
}

/// `GET /v1/nodes`
pub fn nodes(now: Moment, core: &ControllerCore) -> Value {
    json!(NodesResponse {
        list: core.nodes().version(),
        nodes: core
            .serving()
            .map(|entry| node_status(now, core, &entry))
            .collect(),
    })
}

fn node_status(now: Moment, core: &ControllerCore, entry: &EndpointEntry) -> NodeStatus {
    NodeStatus {
        node: show(entry.node),
        zone: zone_name(core, entry.zone),
        listing: listing_name(entry.status),
        cold: is_warming(now, entry, core),
        by_order: core.drained().contains(&entry.node),
        weight: entry.weight,
    }
}

fn zone_name(core: &ControllerCore, id: ZoneId) -> String {
    let zones = &core.plan().zones;
    zones.get(usize::from(id.0)).cloned().unwrap_or_default()
}

/// The status of an endpoint as the API names it.
pub fn listing_name(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Gone => "out",
    }
}

fn is_warming(now: Moment, entry: &EndpointEntry, core: &ControllerCore) -> bool {
    entry.status == EndpointStatus::Ready && core.plan().rules.is_cold(now, entry.started)
}

/// Seconds with three decimals.
fn seconds_since(now: Moment, then: Moment) -> f64 {
    ((now - then).seconds() * 1e3).round() / 1e3
}
