//! Requests to drain nodes, and to show which proxies' tables still name a node.

use super::api_error::ApiError;
use super::changes::check_name;
use super::request::AdminRequest;
use super::routes::HandlerResult;
use super::status::listing_name;
use super::AdminContext;
use crate::drains::DrainOrders;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use wheelspread::time::Moment;
use wheelspread_config_rollout::values::parse_node;
use wheelspread_drain::{Drain, DrainAction, DrainOrder, OrderId};
use wheelspread_reactor as reactor;

/// How far the time of an order may be ahead of this controller's clock. An order further ahead is rejected, because it
/// would take precedence over all later orders for the node until that time.
const CLOCK_LEAD_LIMIT_MS: u64 = 60_000;

/// An order to drain a node, or to withdraw its drain.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainRequest {
    id: String,
    node: String,
    word: DrainAction,
    by: String,
    /// When the order was given, in milliseconds since 1970; default: the time at which the request was received.
    #[serde(default)]
    given_ms: Option<u64>,
    #[serde(default)]
    overrides: Vec<String>,
}

/// How a node is listed, and which proxies' tables name it.
#[derive(Debug, Serialize)]
struct NodeLocation<'a> {
    node: &'a str,
    listing: &'static str,
    named_by: Vec<String>,
    drain: Option<&'a Drain>,
}

/// `POST /v1/drains`
pub fn submit(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    let drain_order = parse_order(request.json_body()?)?;
    context
        .drains
        .submit(now, order, drain_order, context.core)?;
    Ok(None)
}

fn parse_order(request: DrainRequest) -> Result<DrainOrder, ApiError> {
    check_name("id", &request.id)?;
    check_name("by", &request.by)?;
    let now_ms = (reactor::unix_seconds() * 1e3) as u64;
    let given_ms = request.given_ms.unwrap_or(now_ms);
    if given_ms > now_ms + CLOCK_LEAD_LIMIT_MS {
        let seconds = (given_ms - now_ms) / 1000;
        return Err(ApiError::ClockAhead { seconds });
    }
    Ok(DrainOrder {
        id: OrderId(request.id),
        node: request.node,
        action: request.word,
        by: request.by,
        given_ms,
        overrides: request.overrides,
    })
}

/// `GET /v1/drains`
pub fn list(drains: &DrainOrders) -> Value {
    json!(drains.drains().collect::<Vec<_>>())
}

/// `GET /v1/where/{node}`
pub fn locate(text: &str, context: &AdminContext) -> Result<Value, ApiError> {
    let Some(id) = parse_node(text) else {
        return Err(ApiError::InvalidNode(text.to_string()));
    };
    let entry = context
        .core
        .effective_entries()
        .find(|entry| entry.node == id);
    Ok(json!(NodeLocation {
        node: text,
        listing: entry.map_or("not listed", |entry| listing_name(entry.status)),
        named_by: context.core.proxies_with_entry_for(id),
        drain: context.drains.drain(text),
    }))
}
