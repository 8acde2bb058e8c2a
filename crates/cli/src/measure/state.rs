//! What it costs to persist changes, and how long a controller takes to recover from a crash: by the size of the
//! fleet and by how many changes it remembers.

use super::controller_process::ControllerProcess;
use super::error::{io, MeasureError};
use super::file_proxies::FileProxies;
use super::fleet_config::controller_file;
use super::sampling::median;
use super::{program, SIZES};
use crate::operator::call;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};
use wheelspread_config_transaction::ChangeRecord;
use wheelspread_config_transaction::{Change, ChangeId, ChangeState, Commit, Configuration};
use wheelspread_store::{Inspection, Store};

/// How long a start takes, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// Until the controller listens.
    listens_ms: f64,
    /// Until every proxy has tables of the new run.
    all_joined_ms: f64,
}

/// Size of the state file, and how often it was written.
struct StateSize {
    commits: u64,
    bytes: u64,
}

/// One change from its order to its acknowledgement.
struct Applied {
    milliseconds: f64,
    request_bytes: usize,
}

/// Figures of one size.
#[derive(Clone, Debug)]
struct Measured {
    nodes: usize,
    proxies: usize,
    changes: usize,
    state_bytes: u64,
    /// After a kill.
    with_state: Start,
    /// After a kill and the loss of the state file.
    without_state: Start,
    /// Writes to the state, each with an fsync, and bytes of them, for one change from staged to kept.
    commits: f64,
    bytes: f64,
    /// Bytes of the request that stages a change.
    request_bytes: usize,
    /// From the order until every proxy has acknowledged it.
    applied_ms: f64,
}

/// Changes that are measured at each size.
const MEASURED_CHANGES: usize = 5;
/// How long a change may take until it is kept.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// A change that was applied and kept.
fn applied_change(number: usize) -> ChangeRecord {
    let path = format!(
        "nodes.127.0.{}.{}:9000.weight",
        1 + number % 250,
        1 + number % 199
    );
    let sets = BTreeMap::from([(path, Some("1.5".to_string()))]);
    let change = Change {
        id: ChangeId(format!("c{number}")),
        by: "measure".into(),
        base: 1,
        sets,
    };
    let applied_version = Some(number as u64 + 2);
    ChangeRecord {
        change,
        state: ChangeState::Kept,
        previous_values: BTreeMap::new(),
        findings: Vec::new(),
        reason: None,
        applied_version,
        undone_version: None,
    }
}

/// Writes a state with that many changes, none of whose values is in force any more.
fn write_state(path: &Path, changes: usize) -> Result<(), MeasureError> {
    let (mut store, _) = Store::open(path)?;
    let configuration = Configuration {
        version: changes as u64 + 1,
        values: BTreeMap::new(),
    };
    let changes = (0..changes).map(applied_change).collect();
    store.commit(Commit {
        configuration: Some(configuration),
        changes,
        ..Commit::default()
    })?;
    Ok(())
}

fn state_size(root: &Path) -> Result<StateSize, MeasureError> {
    let Inspection {
        state, total_bytes, ..
    } = Store::inspect(&root.join("state"))?;
    Ok(StateSize {
        commits: state.commits,
        bytes: total_bytes,
    })
}

/// Starts the controller and lets all proxies join.
fn start(fleet: &mut FileProxies, program: &Path, proxies: usize) -> Result<Start, MeasureError> {
    let begin = Instant::now();
    let changes = "changes: {watch: 1s}\n";
    fleet.controller.start(program, |listen| {
        format!("{}{changes}", controller_file(listen, proxies))
    })?;
    let listens_ms = begin.elapsed().as_secs_f64() * 1e3;
    let joined_ms = fleet.join(proxies)?;
    Ok(Start {
        listens_ms,
        all_joined_ms: listens_ms + joined_ms,
    })
}

/// Asks the controller for a resource of the operators' API.
fn get(root: &Path, target: &str) -> Result<Value, MeasureError> {
    Ok(call(root, "GET", target, None)?.body)
}

/// Gives the controller an order about a change.
fn post(root: &Path, order: &str, body: Value) -> Result<(), MeasureError> {
    let answer = call(root, "POST", &format!("/v1/changes/{order}"), Some(body))?;
    if answer.is_ok() {
        return Ok(());
    }
    Err(MeasureError::Change(format!("{order}: {}", answer.body)))
}

/// Stages and applies a change, and waits until every proxy has acknowledged it and it is kept.
fn apply(fleet: &mut FileProxies, root: &Path, number: usize) -> Result<Applied, MeasureError> {
    let id = format!("m{number}");
    let node = format!("nodes.127.0.1.{}:9000.weight", 1 + number);
    let body = json!({ "id": id, "by": "measure", "sets": { node: 2.0 } });
    let request_bytes = body.to_string().len();
    post(root, "stage", body)?;
    post(root, "apply", json!({ "id": id }))?;
    let (begin, mut acknowledged) = (Instant::now(), None);
    loop {
        fleet.report_and_wait(0.02);
        let configuration = get(root, "/v1/configuration")?;
        if is_acknowledged(&configuration) {
            acknowledged.get_or_insert(begin.elapsed());
        }
        let change = get(root, &format!("/v1/changes/{id}"))?;
        match change["state"].as_str() {
            Some("kept") => break,
            Some("undone" | "refused") => {
                return Err(MeasureError::Change(change["why"].to_string()))
            }
            _ if begin.elapsed() > CHANGE_TIMEOUT => {
                return Err(MeasureError::Change("a change hangs".to_string()))
            }
            _ => {}
        }
    }
    let span = acknowledged.unwrap_or(begin.elapsed());
    Ok(Applied {
        milliseconds: span.as_secs_f64() * 1e3,
        request_bytes,
    })
}

/// Whether every proxy holds the configuration in force and no node is between pools.
fn is_acknowledged(configuration: &Value) -> bool {
    let lacking = configuration["lacking"].as_array();
    lacking.is_some_and(Vec::is_empty) && configuration["between_pools"] == 0
}

/// Measures a fleet of that size whose controller remembers so many changes.
fn measure(
    program: &Path,
    nodes: usize,
    proxies: usize,
    changes: usize,
) -> Result<Measured, MeasureError> {
    let controller = ControllerProcess::new(nodes)?;
    let root = controller.root().path().to_path_buf();
    write_state(&root.join("state"), changes)?;
    let mut fleet = FileProxies::new(controller, proxies)?;
    start(&mut fleet, program, proxies)?;
    // Capacities and the endpoint list are persisted before the cost of a change is counted.
    for _ in 0..12 {
        fleet.report_and_wait(0.25);
    }
    let before = state_size(&root)?;
    let (mut applied_ms, mut request_bytes) = (Vec::new(), 0);
    for number in 0..MEASURED_CHANGES {
        let applied = apply(&mut fleet, &root, number)?;
        applied_ms.push(applied.milliseconds);
        request_bytes = applied.request_bytes;
    }
    let after = state_size(&root)?;
    fleet.controller.kill();
    let state_bytes = state_size(&root)?.bytes;
    let with_state = start(&mut fleet, program, proxies)?;
    fleet.controller.kill();
    std::fs::remove_file(root.join("state")).map_err(io("the state"))?;
    let without_state = start(&mut fleet, program, proxies)?;
    fleet.controller.swap_list(2, &BTreeSet::new())?;
    let per_change = |from: u64, to: u64| to.saturating_sub(from) as f64 / MEASURED_CHANGES as f64;
    Ok(Measured {
        nodes,
        proxies,
        changes,
        state_bytes,
        with_state,
        without_state,
        commits: per_change(before.commits, after.commits),
        bytes: per_change(before.bytes, after.bytes),
        request_bytes,
        applied_ms: median(&mut applied_ms),
    })
}

/// Changes that the controller remembers, at each size.
const REMEMBERED_CHANGES: [usize; 3] = [100, 1000, 10_000];

/// Measures all sizes and prints them.
pub fn run() -> Result<(), MeasureError> {
    let program = program()?;
    say!(
        "{:>6}{:>9}{:>9}{:>12}{:>14}{:>14}{:>16}{:>16}{:>10}{:>8}{:>8}{:>12}",
        "nodes",
        "proxies",
        "changes",
        "state KiB",
        "listens ms",
        "all have ms",
        "(no state) ms",
        "(no state) ms",
        "writes",
        "bytes",
        "told",
        "in force ms"
    );
    for ((nodes, proxies), changes) in SIZES.into_iter().zip(REMEMBERED_CHANGES) {
        let figures = measure(&program, nodes, proxies, changes)?;
        say!(
            "{:>6}{:>9}{:>9}{:>12.0}{:>14.0}{:>14.0}{:>16.0}{:>16.0}{:>10.1}{:>8.0}{:>8}{:>12.0}",
            figures.nodes,
            figures.proxies,
            figures.changes,
            figures.state_bytes as f64 / 1024.0,
            figures.with_state.listens_ms,
            figures.with_state.all_joined_ms,
            figures.without_state.listens_ms,
            figures.without_state.all_joined_ms,
            figures.commits,
            figures.bytes,
            figures.request_bytes,
            figures.applied_ms
        );
    }
    Ok(())
}
