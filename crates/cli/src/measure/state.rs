//! Measures the cost of persisting changes and the recovery time of a controller after a crash, by the size of the
//! fleet and the number of changes in the state file.

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

/// The durations of a start, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Start {
    /// The time until the controller listens.
    listens_ms: f64,
    /// The time until every proxy has tables from the started controller.
    all_joined_ms: f64,
}

/// The size of the state file and the number of commits in it.
struct StateSize {
    commits: u64,
    bytes: u64,
}

/// The time from applying one change to its acknowledgement, and the size of the request that staged it.
struct Applied {
    milliseconds: f64,
    request_bytes: usize,
}

/// The figures of one fleet size.
#[derive(Clone, Debug)]
struct Measured {
    nodes: usize,
    proxies: usize,
    changes: usize,
    state_bytes: u64,
    /// The restart after a kill.
    with_state: Start,
    /// The restart after a kill and the loss of the state file.
    without_state: Start,
    /// State writes, each with an fsync, for one change from staged to kept.
    commits: f64,
    /// Bytes of these writes.
    bytes: f64,
    /// The size of the request that stages a change, in bytes.
    request_bytes: usize,
    /// The time from applying a change until every proxy has acknowledged it, in milliseconds.
    applied_ms: f64,
}

/// The number of changes measured at each size.
const MEASURED_CHANGES: usize = 5;
/// The time limit for an applied change to be kept.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// The record of a change that was applied and kept.
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

/// Writes a state file with this number of changes, none of whose values is still in force.
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

/// Starts the controller and waits until all proxies have joined.
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

/// Reads a resource of the controller's operators' API.
fn get(root: &Path, target: &str) -> Result<Value, MeasureError> {
    Ok(call(root, "GET", target, None)?.body)
}

/// Sends the controller a request about a change.
fn post(root: &Path, order: &str, body: Value) -> Result<(), MeasureError> {
    let answer = call(root, "POST", &format!("/v1/changes/{order}"), Some(body))?;
    if answer.is_ok() {
        return Ok(());
    }
    Err(MeasureError::Change(format!("{order}: {}", answer.body)))
}

/// Stages and applies a change, and waits until the change is kept. Records when every proxy has acknowledged it.
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
                return Err(MeasureError::Change(
                    "a change was not kept within the time limit".to_string(),
                ))
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

/// Whether every proxy holds the configuration in force and no node is migrating between pools.
fn is_acknowledged(configuration: &Value) -> bool {
    let lacking = configuration["lacking"].as_array();
    lacking.is_some_and(Vec::is_empty) && configuration["between_pools"] == 0
}

/// Measures a fleet of this size whose controller has this number of changes in its state file.
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
    // Let the controller persist capacities and the endpoint list, so that these writes are not counted as a change's.
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
    std::fs::remove_file(root.join("state")).map_err(io("the state file"))?;
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

/// The number of changes in the state file, at each size.
const REMEMBERED_CHANGES: [usize; 3] = [100, 1000, 10_000];

/// Measures all fleet sizes and prints the figures.
pub fn run() -> Result<(), MeasureError> {
    let program = program()?;
    print_line!(
        "{:>6}{:>9}{:>9}{:>12}{:>14}{:>14}{:>16}{:>16}{:>10}{:>8}{:>8}{:>12}",
        "nodes",
        "proxies",
        "changes",
        "state KiB",
        "listens ms",
        "joined ms",
        "(no state) ms",
        "(no state) ms",
        "writes",
        "bytes",
        "request",
        "in force ms"
    );
    for ((nodes, proxies), changes) in SIZES.into_iter().zip(REMEMBERED_CHANGES) {
        let figures = measure(&program, nodes, proxies, changes)?;
        print_line!(
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
