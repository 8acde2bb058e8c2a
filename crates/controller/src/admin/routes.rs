//! Dispatches requests to their handlers by method and path.

use super::api_error::ApiError;
use super::request::AdminRequest;
use super::{changes, drains, status, tables, AdminContext};
use serde_json::Value;
use wheelspread::time::Moment;

/// The body of the response; `None` if the response follows once the order has a result.
pub type HandlerResult = Result<Option<Value>, ApiError>;

/// Serves a request; `order` is the number under which a deferred result is answered.
pub fn handle(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    match (request.method.as_str(), request.target.as_str()) {
        ("POST", "/v1/changes/plan") => changes::plan(now, request, order, context),
        ("POST", "/v1/changes/stage") => changes::stage(now, request, order, context),
        ("POST", "/v1/changes/apply") => changes::apply(now, request, order, context),
        ("POST", "/v1/changes/undo") => changes::undo(now, request, order, context),
        ("POST", "/v1/tables/back") => tables::roll_back(now, request, order, context),
        ("POST", "/v1/tables/free") => tables::end_rollback(now, order, context),
        ("POST", "/v1/drains") => drains::submit(now, request, order, context),
        ("GET", _) => read(now, request, context).map(Some),
        _ => Err(request.not_served()),
    }
}

fn read(now: Moment, request: &AdminRequest, context: &AdminContext) -> Result<Value, ApiError> {
    let (core, rollout) = (&*context.core, &*context.rollout);
    let target = request.target.as_str();
    match target {
        "/v1/status" => return Ok(status::controller_status(now, context)),
        "/v1/tables" => return Ok(tables::tables(now, core)),
        "/v1/channel" => return Ok(status::update_channel(core)),
        "/v1/sums" => return Ok(status::load_reports(now, core)),
        "/v1/nodes" => return Ok(status::nodes(now, core)),
        "/v1/drains" => return Ok(drains::list(context.drains)),
        "/v1/configuration" => return Ok(changes::configuration(core, rollout)),
        "/v1/changes" => return Ok(changes::list(rollout)),
        _ => {}
    }
    if let Some(id) = target.strip_prefix("/v1/changes/") {
        return changes::show(rollout, id);
    }
    if let Some(node) = target.strip_prefix("/v1/where/") {
        return drains::locate(node, context);
    }
    Err(request.not_served())
}
