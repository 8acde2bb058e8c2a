//! Requests about published tables: which version each proxy holds, and rolling a table back to an older version.

use super::request::AdminRequest;
use super::routes::HandlerResult;
use super::AdminContext;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::membership::Member;
use wheelspread_controller_core::publication::{BundleId, Version};
use wheelspread_controller_core::rollback::{ExclusionReason, RollbackResult};
use wheelspread_controller_core::transport::Transport;
use wheelspread_controller_core::{ControllerCore, Observation};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RollbackRequest {
    table: u32,
    version: u64,
}

#[derive(Debug, Serialize)]
struct TablesResponse<'a> {
    #[serde(rename = "list")]
    list_version: &'a str,
    #[serde(rename = "stepped_back_to")]
    rollback_target: Option<u64>,
    #[serde(rename = "gateways")]
    proxies: Vec<ProxyTables<'a>>,
    tables: Vec<TableVersions>,
    #[serde(rename = "lines_waiting")]
    queued_entries: f64,
}

#[derive(Debug, Serialize)]
struct ProxyTables<'a> {
    #[serde(rename = "gateway")]
    proxy: &'a str,
    joined: bool,
    #[serde(rename = "front")]
    transport: &'static str,
    /// The table that the proxy reads; `None` before it was bound to one.
    table: Option<u32>,
    /// The newest version of that table.
    #[serde(rename = "newest")]
    newest_version: Option<u64>,
    #[serde(rename = "holds")]
    held_version: Option<u64>,
    held_for_s: Option<f64>,
    #[serde(rename = "refused")]
    rejected_version: Option<u64>,
}

#[derive(Debug, Serialize)]
struct TableVersions {
    table: u32,
    versions: Vec<u64>,
}

#[derive(Debug, Serialize)]
struct RollbackResponse {
    version: u64,
    #[serde(rename = "lines")]
    entries: usize,
    #[serde(rename = "left_out")]
    excluded: Vec<ExcludedNode>,
}

#[derive(Debug, Serialize)]
struct ExcludedNode {
    node: String,
    #[serde(rename = "why")]
    reason: &'static str,
}

/// `POST /v1/tables/back`: rolls a table back to an older version.
pub fn roll_back(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    let target: RollbackRequest = request.json_body()?;
    let observation = Observation::RollBack {
        request: order,
        bundle: BundleId(target.table),
        version: Version(target.version),
    };
    context.core.observe(now, observation);
    Ok(None)
}

/// `POST /v1/tables/free`: ends a rollback, so that the tables follow the endpoint list again.
pub fn end_rollback(now: Moment, order: u64, context: &mut AdminContext) -> HandlerResult {
    context
        .core
        .observe(now, Observation::EndRollback { request: order });
    Ok(None)
}

/// The body of the response to an order to roll a table back, or to end the rollback.
pub fn rollback_body(rollback: &RollbackResult) -> Value {
    let excluded = |(node, reason): &(NodeId, ExclusionReason)| ExcludedNode {
        node: format_node(*node),
        reason: reason.as_str(),
    };
    json!(RollbackResponse {
        version: rollback.version.0,
        entries: rollback.entries,
        excluded: rollback.excluded.iter().map(excluded).collect(),
    })
}

/// `GET /v1/tables`
pub fn tables(now: Moment, core: &ControllerCore) -> Value {
    json!(TablesResponse {
        list_version: core.endpoint_list().version(),
        rollback_target: core.rollback_target().map(|version| version.0),
        proxies: core
            .members()
            .members()
            .map(|(name, member)| proxy_tables(now, core, name, member))
            .collect(),
        tables: retained_versions(core),
        queued_entries: core.queued_entries(),
    })
}

fn proxy_tables<'a>(
    now: Moment,
    core: &ControllerCore,
    name: &'a str,
    member: &Member,
) -> ProxyTables<'a> {
    let status = core.table_status(member.id);
    ProxyTables {
        proxy: name,
        joined: member.is_joined(),
        transport: match status.transport {
            Transport::Files => "files",
            Transport::Stream(_) => "stream",
            Transport::Disconnected => "away",
        },
        table: status.newest.map(|set| set.bundle.0),
        newest_version: status.newest.map(|set| set.version.0),
        held_version: status.applied.map(|applied| applied.version.0),
        held_for_s: status
            .applied
            .map(|applied| (now - applied.since).seconds()),
        rejected_version: status.rejected.map(|version| version.0),
    }
}

/// Versions that a table can be rolled back to.
fn retained_versions(core: &ControllerCore) -> Vec<TableVersions> {
    let mut versions: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for set in core.retained_versions() {
        versions
            .entry(set.bundle.0)
            .or_default()
            .push(set.version.0);
    }
    versions
        .into_iter()
        .map(|(table, versions)| TableVersions { table, versions })
        .collect()
}
