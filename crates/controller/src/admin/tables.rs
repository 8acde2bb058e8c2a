//! Published tables: which version each proxy holds, and rolling back to an older one.

use super::request::AdminRequest;
use super::routes::HandlerResult;
use super::AdminContext;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_controller_core::endpoint_list::show;
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
    list: &'a str,
    stepped_back_to: Option<u64>,
    gateways: Vec<ProxyTables<'a>>,
    tables: Vec<TableVersions>,
    lines_waiting: f64,
}

#[derive(Debug, Serialize)]
struct ProxyTables<'a> {
    gateway: &'a str,
    joined: bool,
    front: &'static str,
    /// The table that it reads; `None` before it was bound to one.
    table: Option<u32>,
    /// The newest version of that table.
    newest: Option<u64>,
    holds: Option<u64>,
    held_for_s: Option<f64>,
    refused: Option<u64>,
}

#[derive(Debug, Serialize)]
struct TableVersions {
    table: u32,
    versions: Vec<u64>,
}

#[derive(Debug, Serialize)]
struct RollbackResponse {
    version: u64,
    lines: usize,
    left_out: Vec<ExcludedNode>,
}

#[derive(Debug, Serialize)]
struct ExcludedNode {
    node: String,
    why: &'static str,
}

/// `POST /v1/tables/back`: rolls a table back to an older version.
pub fn roll_back(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    let target: RollbackRequest = request.json_body()?;
    let observation = Observation::Back {
        order,
        bundle: BundleId(target.table),
        version: Version(target.version),
    };
    context.core.observe(now, observation);
    Ok(None)
}

/// `POST /v1/tables/free`: ends the rollback, so that weights follow the list again.
pub fn end_rollback(now: Moment, order: u64, context: &mut AdminContext) -> HandlerResult {
    context.core.observe(now, Observation::Free { order });
    Ok(None)
}

/// The answer to an order to roll back, or to end that.
pub fn rollback_body(rollback: &RollbackResult) -> Value {
    let excluded = |(node, reason): &(NodeId, ExclusionReason)| ExcludedNode {
        node: show(*node),
        why: reason.word(),
    };
    json!(RollbackResponse {
        version: rollback.version.0,
        lines: rollback.lines,
        left_out: rollback.left_out.iter().map(excluded).collect(),
    })
}

/// `GET /v1/tables`
pub fn tables(now: Moment, core: &ControllerCore) -> Value {
    json!(TablesResponse {
        list: core.nodes().version(),
        stepped_back_to: core.stepped_back_to().map(|version| version.0),
        gateways: core
            .members()
            .members()
            .map(|(name, member)| proxy_tables(now, core, name, member))
            .collect(),
        tables: retained_versions(core),
        lines_waiting: core.lines_waiting(),
    })
}

fn proxy_tables<'a>(
    now: Moment,
    core: &ControllerCore,
    name: &'a str,
    member: &Member,
) -> ProxyTables<'a> {
    let status = core.reads(member.id);
    ProxyTables {
        gateway: name,
        joined: member.joined(),
        front: match status.front {
            Transport::Files => "files",
            Transport::Stream(_) => "stream",
            Transport::Away => "away",
        },
        table: status.newest.map(|set| set.bundle.0),
        newest: status.newest.map(|set| set.version.0),
        holds: status.holds.map(|(version, _)| version.0),
        held_for_s: status.holds.map(|(_, since)| (now - since).seconds()),
        refused: status.refused.map(|version| version.0),
    }
}

/// Versions that a table can be rolled back to.
fn retained_versions(core: &ControllerCore) -> Vec<TableVersions> {
    let mut versions: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for set in core.recent() {
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
