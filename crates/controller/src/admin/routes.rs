//! What can be asked on the socket of operators, by method and path, and the JSON of the answers.

use crate::admin::Asked;
use crate::drains::Drains;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use wheelspread::ids::{OperationId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus};
use wheelspread_config_rollout::values::node;
use wheelspread_config_rollout::{Rollout, RolloutCommand};
use wheelspread_config_transaction::ledger::Record;
use wheelspread_config_transaction::{Change, ChangeId};
use wheelspread_controller_core::deployment::OperationPlan;
use wheelspread_controller_core::endpoint_list::show;
use wheelspread_controller_core::membership::Member;
use wheelspread_controller_core::publication::{BundleId, Version};
use wheelspread_controller_core::transport::Transport;
use wheelspread_controller_core::{ControllerCore, Observation};
use wheelspread_drain::{Order, OrderId, Word};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BackOrder {
    table: u32,
    version: u64,
}

/// A gateway's line of `GET /v1/tables`.
#[derive(Debug, Serialize)]
struct GatewayTold<'a> {
    gateway: &'a str,
    joined: bool,
    front: &'static str,
    /// The table that it reads and the newest version of it; left out before it was bound to one.
    table: Option<u32>,
    newest: Option<u64>,
    holds: Option<u64>,
    held_for_s: Option<f64>,
    refused: Option<u64>,
}

/// A change as it is told: values may be plain numbers and flags, null lets the file have its word again.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeTold {
    id: String,
    by: String,
    /// Left out: the version in force when this is first read.
    #[serde(default)]
    base: Option<u64>,
    sets: BTreeMap<String, Value>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeOrder {
    id: String,
    #[serde(default)]
    why: Option<String>,
}

/// An answer, or `None`: it follows when what was ordered has come of it.
pub type Outcome = Result<Option<Value>, (u16, String)>;

fn body<'a, T: Deserialize<'a>>(asked: &'a Asked) -> Result<T, (u16, String)> {
    serde_json::from_slice(&asked.body).map_err(|error| (400, error.to_string()))
}

const LONGEST_NAME: usize = 100;
const MOST_VALUES: usize = 10_000;

fn named(what: &str, text: &str) -> Result<(), (u16, String)> {
    let fine = |c: char| c.is_ascii_alphanumeric() || "-_.@".contains(c);
    if !text.is_empty() && text.len() <= LONGEST_NAME && text.chars().all(fine) {
        return Ok(());
    }
    Err((
        400,
        format!("{what}: 1 to {LONGEST_NAME} letters, digits, -, _, . and @ are expected"),
    ))
}

fn change(told: ChangeTold, rollout: &Rollout) -> Result<Change, (u16, String)> {
    named("id", &told.id)?;
    named("by", &told.by)?;
    if told.sets.len() > MOST_VALUES {
        return Err((
            400,
            format!(
                "{} values, {MOST_VALUES} at most are taken",
                told.sets.len()
            ),
        ));
    }
    let mut sets = BTreeMap::new();
    for (path, value) in told.sets {
        let value = match value {
            Value::Null => None,
            Value::String(text) => Some(text),
            plain @ (Value::Number(_) | Value::Bool(_)) => Some(plain.to_string()),
            _ => {
                return Err((
                    400,
                    format!("{path}: a text, a number, true, false or null is expected"),
                ))
            }
        };
        sets.insert(path, value);
    }
    let id = ChangeId(told.id);
    // Told again it is the same change, whatever is in force by now.
    let known = rollout
        .ledger()
        .record(&id)
        .map(|record| record.change.base);
    let base = told
        .base
        .or(known)
        .unwrap_or(rollout.ledger().configuration().version);
    Ok(Change {
        id,
        by: told.by,
        base,
        sets,
    })
}

fn told(rollout: &Rollout, id: &str) -> Result<Value, (u16, String)> {
    let record = rollout.ledger().record(&ChangeId(id.to_string()));
    record
        .map(|record| json!(record))
        .ok_or_else(|| (404, format!("`{id}` is no change that is known")))
}

/// Everything that is asked about.
pub struct Desk<'a> {
    pub session: &'a mut ControllerCore,
    pub rollout: &'a mut Rollout,
    pub drains: &'a mut Drains,
    pub about: &'a About,
}

/// What stays the same while a conductor runs.
#[derive(Debug)]
pub struct About {
    pub name: String,
    pub number: u32,
    pub started: Moment,
}

/// Of what is asked here: it rises when something is taken away or means something else.
pub const INTERFACE: u32 = 1;

/// A drain as it is told; `given_ms` may be left out, and is then the time at which it came.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainTold {
    id: String,
    node: String,
    word: Word,
    by: String,
    #[serde(default)]
    given_ms: Option<u64>,
    #[serde(default)]
    overrides: Vec<String>,
}

/// A clock that is further ahead than this is not believed: its orders would go before all others for as long.
const AHEAD_MS: u64 = 60_000;

fn drain(told: DrainTold) -> Result<Order, (u16, String)> {
    named("id", &told.id)?;
    named("by", &told.by)?;
    let now_ms = (wheelspread_reactor::wall() * 1e3) as u64;
    let given_ms = told.given_ms.unwrap_or(now_ms);
    if given_ms > now_ms + AHEAD_MS {
        return Err((
            400,
            format!(
                "given_ms: {} s ahead of the clock here",
                (given_ms - now_ms) / 1000
            ),
        ));
    }
    let DrainTold {
        id,
        node,
        word,
        by,
        overrides,
        ..
    } = told;
    Ok(Order {
        id: OrderId(id),
        node,
        word,
        by,
        given_ms,
        overrides,
    })
}

/// Whether a request orders something, and does not only ask.
pub fn orders(asked: &Asked) -> bool {
    asked.method != "GET" && asked.target != "/v1/changes/plan"
}

pub fn carry_out(now: Moment, asked: &Asked, order: u64, desk: &mut Desk) -> Outcome {
    let session = &mut *desk.session;
    let rollout = &mut *desk.rollout;
    let id = |asked: &Asked| body::<ChangeOrder>(asked).map(|told| (ChangeId(told.id), told.why));
    let ask = match (asked.method.as_str(), asked.target.as_str()) {
        ("POST", "/v1/changes/plan") => RolloutCommand::Plan(change(body(asked)?, rollout)?),
        ("POST", "/v1/changes/stage") => RolloutCommand::Stage(change(body(asked)?, rollout)?),
        ("POST", "/v1/changes/apply") => RolloutCommand::Apply(id(asked)?.0),
        ("POST", "/v1/changes/undo") => {
            let (id, why) = id(asked)?;
            RolloutCommand::Undo(id, why.unwrap_or_else(|| "by order".to_string()))
        }
        ("POST", "/v1/tables/back") => {
            let told: BackOrder = body(asked)?;
            let (bundle, version) = (BundleId(told.table), Version(told.version));
            session.observe(
                now,
                Observation::Back {
                    order,
                    bundle,
                    version,
                },
            );
            return Ok(None);
        }
        ("POST", "/v1/tables/free") => {
            session.observe(now, Observation::Free { order });
            return Ok(None);
        }
        ("POST", "/v1/drains") => {
            let told = drain(body(asked)?)?;
            let come = desk.drains.order(now, order, told, session);
            return come
                .map(|()| None)
                .map_err(|refused| (409, refused.to_string()));
        }
        ("GET", target) => return shown(now, target, desk).map(Some),
        (method, target) => return Err((404, format!("{method} {target} is not served here"))),
    };
    rollout.ask(now, order, ask, session);
    Ok(None)
}

fn shown(now: Moment, target: &str, desk: &Desk) -> Result<Value, (u16, String)> {
    let (session, rollout) = (&*desk.session, &*desk.rollout);
    match target {
        "/v1/status" => Ok(status(now, desk)),
        "/v1/tables" => Ok(tables(now, session)),
        "/v1/channel" => Ok(channel(session)),
        "/v1/sums" => Ok(sums(now, session)),
        "/v1/nodes" => Ok(nodes(now, session)),
        "/v1/drains" => Ok(json!(desk.drains.book().drains().collect::<Vec<_>>())),
        "/v1/configuration" => Ok(configuration(session, rollout)),
        "/v1/changes" => Ok(changes(rollout)),
        _ => match (
            target.strip_prefix("/v1/changes/"),
            target.strip_prefix("/v1/where/"),
        ) {
            (Some(id), _) => told(rollout, id),
            (_, Some(node)) => whereabouts(node, desk),
            _ => Err((404, format!("GET {target} is not served here"))),
        },
    }
}

/// Changes that are told when all are asked for; any other can be asked for by its name.
const RECENT: usize = 500;

/// Those of which something is still to come, then the latest in force.
fn changes(rollout: &Rollout) -> Value {
    let mut records: Vec<&Record> = rollout.ledger().records().collect();
    records.sort_by_key(|record| {
        std::cmp::Reverse((!record.state.over(), record.made.max(record.unmade)))
    });
    records.truncate(RECENT);
    json!(records)
}

fn seconds_since(now: Moment, then: Option<Moment>) -> Option<f64> {
    then.map(|then| ((now - then).seconds() * 1e3).round() / 1e3)
}

fn status(now: Moment, desk: &Desk) -> Value {
    let (session, rollout) = (&*desk.session, &*desk.rollout);
    let (mut ready, mut draining, mut cold) = (0, 0, 0);
    for entry in session.serving() {
        match entry.status {
            EndpointStatus::Ready => ready += 1,
            EndpointStatus::Draining => draining += 1,
            EndpointStatus::Gone => {}
        }
        cold += u32::from(is_cold(now, &entry, session));
    }
    let joined = session
        .members()
        .members()
        .filter(|(_, member)| member.joined())
        .count();
    let reach = session.reach();
    let under_way = rollout
        .ledger()
        .open()
        .find(|record| record.state.under_way());
    let drains = desk
        .drains
        .book()
        .drains()
        .filter(|drain| drain.goes())
        .count();
    json!({
        "interface": INTERFACE,
        "program": env!("CARGO_PKG_VERSION"),
        "name": desk.about.name,
        "number": desk.about.number,
        "up_s": seconds_since(now, Some(desk.about.started)),
        "list": session.nodes().version(),
        "nodes": { "ready": ready, "draining": draining, "cold": cold },
        "gateways": { "joined": joined, "known": session.members().members().count() },
        "sums_heard_s": seconds_since(now, session.measured().heard_last()),
        "lines_waiting": session.lines_waiting(),
        "lines_waiting_at_most": session.plan().channel.lines_waiting_at_most,
        "newest_version": session.version().0,
        "configuration": reach.configuration,
        "configuration_lacking": reach.lacking.len(),
        "change_under_way": under_way.map(|record| &record.change.id),
        "drains": drains,
        "waits_for_disk": rollout.unwritten(),
    })
}

fn is_cold(now: Moment, entry: &EndpointEntry, session: &ControllerCore) -> bool {
    entry.status == EndpointStatus::Ready && session.plan().rules.is_cold(now, entry.started)
}

fn channel(session: &ControllerCore) -> Value {
    let (messages, overtaken) = session.messages();
    let plan = &session.plan().channel;
    json!({
        "lines_waiting": session.lines_waiting(),
        "lines_waiting_at_most": plan.lines_waiting_at_most,
        "lines_per_second": plan.lines_per_second,
        "messages_sent": messages,
        "messages_overtaken": overtaken,
    })
}

/// Of so many periods the sums are told.
const SUMS: f64 = 10.0;

fn sums(now: Moment, session: &ControllerCore) -> Value {
    let plan = session.plan();
    let (tallies, seconds) = session
        .measured()
        .between(now - plan.sums.period * SUMS, now);
    let operation = |(at, operation): (usize, &OperationPlan)| {
        let tally = tallies.of(OperationId(at as u8));
        let mean = (tally.timed > 0.0).then(|| tally.seconds / tally.timed * 1e3);
        json!({
            "operation": operation.name,
            "asked": tally.asked,
            "succeeded": tally.succeeded,
            "rate_limited": tally.rate_limited,
            "tries": tally.tries,
            "errored_tries": tally.errored,
            "mean_latency_ms": mean,
        })
    };
    let gateway = |(name, member): (&str, &Member)| {
        let heard = session.measured().heard(member.id);
        json!({ "gateway": name, "joined": member.joined(), "heard_s": seconds_since(now, heard) })
    };
    json!({
        "over_s": seconds,
        "operations": plan.operations.iter().enumerate().map(operation).collect::<Vec<_>>(),
        "gateways": session.members().members().map(gateway).collect::<Vec<_>>(),
    })
}

fn nodes(now: Moment, session: &ControllerCore) -> Value {
    let zone = |id: ZoneId| {
        session
            .plan()
            .zones
            .get(usize::from(id.0))
            .cloned()
            .unwrap_or_default()
    };
    let node = |entry: EndpointEntry| {
        let listing = match entry.status {
            EndpointStatus::Ready => "ready",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Gone => "out",
        };
        let cold = is_cold(now, &entry, session);
        json!({ "node": show(entry.node), "zone": zone(entry.zone), "listing": listing, "cold": cold,
                "by_order": session.drained().contains(&entry.node), "weight": entry.weight })
    };
    json!({ "list": session.nodes().version(), "nodes": session.serving().map(node).collect::<Vec<_>>() })
}

fn whereabouts(text: &str, desk: &Desk) -> Result<Value, (u16, String)> {
    let id = node(text).ok_or_else(|| {
        (
            400,
            format!("`{text}` should be an address as 127.0.0.1:9000"),
        )
    })?;
    let entry = desk.session.serving().find(|entry| entry.node == id);
    let listing = entry.map_or("not listed", |entry| match entry.status {
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Gone => "out",
    });
    let named_by = desk.session.named_by(id);
    Ok(
        json!({ "node": text, "listing": listing, "named_by": named_by, "drain": desk.drains.book().drain(text) }),
    )
}

/// The configuration in force, and how far the gateways have come with it.
fn configuration(session: &ControllerCore, rollout: &Rollout) -> Value {
    let (in_force, reach) = (rollout.ledger().configuration(), session.reach());
    json!({
        "version": in_force.version,
        "values": in_force.values,
        "told": reach.configuration,
        "lacking": reach.lacking,
        "away": reach.away,
        "between_pools": reach.between,
        "waits_for_disk": rollout.unwritten(),
    })
}

fn tables(now: Moment, session: &ControllerCore) -> Value {
    let gateway = |(name, member): (&str, &wheelspread_controller_core::membership::Member)| {
        let reads = session.reads(member.id);
        let told = GatewayTold {
            gateway: name,
            joined: member.joined(),
            front: match reads.front {
                Transport::Files => "files",
                Transport::Stream(_) => "stream",
                Transport::Away => "away",
            },
            table: reads.newest.map(|set| set.bundle.0),
            newest: reads.newest.map(|set| set.version.0),
            holds: reads.holds.map(|held| held.0 .0),
            held_for_s: reads.holds.map(|held| (now - held.1).seconds()),
            refused: reads.refused.map(|version| version.0),
        };
        json!(told)
    };
    let mut versions: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
    for set in session.recent() {
        versions
            .entry(set.bundle.0)
            .or_default()
            .push(set.version.0);
    }
    let kept: Vec<Value> = versions
        .iter()
        .map(|(table, kept)| json!({ "table": table, "versions": kept }))
        .collect();
    json!({
        "list": session.nodes().version(),
        "stepped_back_to": session.stepped_back_to().map(|version| version.0),
        "gateways": session.members().members().map(gateway).collect::<Vec<_>>(),
        "tables": kept,
        "lines_waiting": session.lines_waiting(),
    })
}
