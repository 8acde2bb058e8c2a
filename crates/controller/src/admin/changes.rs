//! Requests to plan, stage, apply, undo and show changes of configuration.

use super::api_error::{ApiError, CHANGE_VALUE_LIMIT, NAME_LIMIT_CHARS};
use super::request::AdminRequest;
use super::routes::HandlerResult;
use super::AdminContext;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use wheelspread::time::Moment;
use wheelspread_config_rollout::{Rollout, RolloutCommand};
use wheelspread_config_transaction::{Change, ChangeId, ChangeRecord};
use wheelspread_controller_core::ControllerCore;

/// Maximum count of changes that `GET /v1/changes` lists; others can be requested by their id.
const LISTED_CHANGES_LIMIT: usize = 500;
/// The reason of an undo if the request gives none.
const DEFAULT_UNDO_REASON: &str = "by order";

/// A change to plan or stage. A value is a string, a number or a boolean; null removes the value that an earlier
/// change set, so that the file's value is in force again.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeRequest {
    id: String,
    by: String,
    /// The version that the change is based on; default: the version in force when the change is first received.
    #[serde(default)]
    base: Option<u64>,
    sets: BTreeMap<String, Value>,
}

/// A staged change to apply, or a change to undo.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeReference {
    id: String,
    #[serde(default)]
    why: Option<String>,
}

/// The configuration in force, and the progress of its rollout to the proxies.
#[derive(Debug, Serialize)]
struct ConfigurationResponse<'a> {
    version: u64,
    values: &'a BTreeMap<String, String>,
    #[serde(rename = "told")]
    published_version: u64,
    #[serde(rename = "lacking")]
    lagging_proxies: Vec<String>,
    #[serde(rename = "away")]
    absent_proxies: usize,
    #[serde(rename = "between_pools")]
    migrating_nodes: usize,
    #[serde(rename = "waits_for_disk")]
    unwritten_commits: usize,
}

/// `POST /v1/changes/plan`: shows what a change would do.
pub fn plan(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    let change = parse_change(request.json_body()?, context.rollout)?;
    submit(now, order, RolloutCommand::Plan(change), context)
}

/// `POST /v1/changes/stage`: checks a change and keeps it ready.
pub fn stage(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    let change = parse_change(request.json_body()?, context.rollout)?;
    submit(now, order, RolloutCommand::Stage(change), context)
}

/// `POST /v1/changes/apply`: puts a staged change in force.
pub fn apply(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    let reference: ChangeReference = request.json_body()?;
    let command = RolloutCommand::Apply(ChangeId(reference.id));
    submit(now, order, command, context)
}

/// `POST /v1/changes/undo`: undoes a change.
pub fn undo(
    now: Moment,
    request: &AdminRequest,
    order: u64,
    context: &mut AdminContext,
) -> HandlerResult {
    let reference: ChangeReference = request.json_body()?;
    let reason = reference
        .why
        .unwrap_or_else(|| DEFAULT_UNDO_REASON.to_string());
    let command = RolloutCommand::Undo(ChangeId(reference.id), reason);
    submit(now, order, command, context)
}

fn submit(
    now: Moment,
    order: u64,
    command: RolloutCommand,
    context: &mut AdminContext,
) -> HandlerResult {
    context
        .rollout
        .handle_command(now, order, command, context.core);
    Ok(None)
}

fn parse_change(request: ChangeRequest, rollout: &Rollout) -> Result<Change, ApiError> {
    check_name("id", &request.id)?;
    check_name("by", &request.by)?;
    let count = request.sets.len();
    if count > CHANGE_VALUE_LIMIT {
        return Err(ApiError::TooManyValues { count });
    }
    let mut sets = BTreeMap::new();
    for (path, value) in request.sets {
        let value = parse_value(&path, value)?;
        sets.insert(path, value);
    }
    let id = ChangeId(request.id);
    // A change that is sent again keeps its base, even if another version is in force by then; with another base it
    // would be a different change.
    let known_base = rollout
        .ledger()
        .record(&id)
        .map(|record| record.change.base);
    let base = request
        .base
        .or(known_base)
        .unwrap_or(rollout.ledger().configuration().version);
    Ok(Change {
        id,
        by: request.by,
        base,
        sets,
    })
}

fn parse_value(path: &str, value: Value) -> Result<Option<String>, ApiError> {
    match value {
        Value::Null => Ok(None),
        Value::String(text) => Ok(Some(text)),
        plain @ (Value::Number(_) | Value::Bool(_)) => Ok(Some(plain.to_string())),
        Value::Array(_) | Value::Object(_) => Err(ApiError::InvalidValue {
            path: path.to_string(),
        }),
    }
}

/// Checks the characters of an id or an operator's name: only those that logs and shells show unescaped are allowed.
pub fn check_name(field: &'static str, text: &str) -> Result<(), ApiError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
    if !text.is_empty() && text.len() <= NAME_LIMIT_CHARS && text.chars().all(is_plain) {
        return Ok(());
    }
    Err(ApiError::InvalidName { field })
}

/// `GET /v1/changes/{id}`
pub fn show(rollout: &Rollout, id: &str) -> Result<Value, ApiError> {
    let record = rollout.ledger().record(&ChangeId(id.to_string()));
    match record {
        Some(record) => Ok(json!(record)),
        None => Err(ApiError::UnknownChange(id.to_string())),
    }
}

/// `GET /v1/changes`: unfinished changes first, then the others, the latest version first.
pub fn list(rollout: &Rollout) -> Value {
    let mut records: Vec<&ChangeRecord> = rollout.ledger().records().collect();
    records.sort_by_key(|record| {
        Reverse((
            !record.state.is_final(),
            record.applied_version.max(record.undone_version),
        ))
    });
    records.truncate(LISTED_CHANGES_LIMIT);
    json!(records)
}

/// `GET /v1/configuration`
pub fn configuration(core: &ControllerCore, rollout: &Rollout) -> Value {
    let in_force = rollout.ledger().configuration();
    let progress = core.rollout_progress();
    json!(ConfigurationResponse {
        version: in_force.version,
        values: &in_force.values,
        published_version: progress.configuration,
        lagging_proxies: progress.outdated_proxies,
        absent_proxies: progress.disconnected_count,
        migrating_nodes: progress.migrating_count,
        unwritten_commits: rollout.pending_write_count(),
    })
}
