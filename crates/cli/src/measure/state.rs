//! What it costs to keep changes over crashes, and how long a conductor takes to come back: by the size of the
//! fleet and by how many changes it remembers.

use super::controller::{file, Stage};
use super::controller_process::Bench;
use crate::operator::call;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::{Duration, Instant};
use wheelspread_config_transaction::ChangeRecord;
use wheelspread_config_transaction::{Change, ChangeId, ChangeState, Commit, Configuration};
use wheelspread_drill::DrillError;
use wheelspread_store::{Inspection, Store, StoreError};

#[derive(Clone, Debug)]
pub struct Measured {
    pub nodes: usize,
    pub proxies: usize,
    pub changes: usize,
    pub state_bytes: u64,
    /// From the start after a kill until it listens, and until every gateway has tables of the new run.
    pub listens_ms: f64,
    pub all_pointed_ms: f64,
    /// The same without a state.
    pub without: (f64, f64),
    /// Writes to the state, each with an fsync, and bytes of them, for one change from staged to kept.
    pub commits: f64,
    pub bytes: f64,
    /// Bytes of the change as it was told.
    pub told_bytes: usize,
    /// From the order until every gateway holds it.
    pub applied_ms: f64,
}

fn stored(error: StoreError) -> DrillError {
    DrillError::NotReady(error.to_string())
}

fn record(number: usize) -> ChangeRecord {
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
    let made = Some(number as u64 + 2);
    ChangeRecord {
        change,
        state: ChangeState::Kept,
        previous_values: BTreeMap::new(),
        findings: Vec::new(),
        reason: None,
        applied_version: made,
        undone_version: None,
    }
}

/// A state that remembers so many changes, none of whose values is in force any more.
fn remember(path: &Path, changes: usize) -> Result<(), DrillError> {
    let (mut store, _) = Store::open(path).map_err(stored)?;
    let configuration = Configuration {
        version: changes as u64 + 1,
        values: BTreeMap::new(),
    };
    let changes = (0..changes).map(record).collect();
    store
        .commit(Commit {
            configuration: Some(configuration),
            changes,
            ..Commit::default()
        })
        .map_err(stored)
}

fn state(root: &Path) -> Result<(u64, u64), DrillError> {
    let Inspection {
        state: kept,
        total_bytes: bytes,
        ..
    } = Store::inspect(&root.join("state")).map_err(stored)?;
    Ok((kept.commits, bytes))
}

/// Starts the conductor and lets all gateways join; returns how long until it listened and until all had tables.
fn start(stage: &mut Stage, program: &Path, proxies: usize) -> Result<(f64, f64), DrillError> {
    let begin = Instant::now();
    let changes = "changes: {watch: 1s}\n";
    stage.bench.start(program, |listen| {
        format!("{}{changes}", file(listen, proxies))
    })?;
    let listens = begin.elapsed();
    let joined = stage.join(proxies)?;
    Ok((
        listens.as_secs_f64() * 1e3,
        listens.as_secs_f64() * 1e3 + joined,
    ))
}

/// Stages and applies a change; returns how long until every gateway held it.
fn apply(stage: &mut Stage, root: &Path, number: usize) -> Result<(f64, usize), DrillError> {
    let failed = |text: String| DrillError::NotReady(text);
    let node = format!("nodes.127.0.1.{}:9000.weight", 1 + number);
    let body = json!({ "id": format!("m{number}"), "by": "measure", "sets": { node: 2.0 } });
    let told = body.to_string().len();
    for (target, body) in [
        ("stage", body),
        ("apply", json!({ "id": format!("m{number}") })),
    ] {
        let answer =
            call(root, "POST", &format!("/v1/changes/{target}"), Some(body)).map_err(failed)?;
        if answer.0 != 200 {
            return Err(failed(format!("{target}: {}", answer.1)));
        }
    }
    let (begin, mut held) = (Instant::now(), None);
    loop {
        stage.report_and_wait(0.02);
        let (_, told) = call(root, "GET", "/v1/configuration", None).map_err(failed)?;
        if told["lacking"].as_array().is_some_and(Vec::is_empty) && told["between_pools"] == 0 {
            held.get_or_insert(begin.elapsed());
        }
        let (_, change) =
            call(root, "GET", &format!("/v1/changes/m{number}"), None).map_err(failed)?;
        match change["state"].as_str() {
            Some("kept") => break,
            Some("undone" | "refused") => return Err(failed(change["why"].to_string())),
            _ if begin.elapsed() > Duration::from_secs(20) => {
                return Err(failed("a change hangs".to_string()))
            }
            _ => {}
        }
    }
    Ok((held.unwrap_or(begin.elapsed()).as_secs_f64() * 1e3, told))
}

pub fn measure(
    program: &Path,
    nodes: usize,
    proxies: usize,
    changes: usize,
) -> Result<Measured, DrillError> {
    let bench = Bench::new(nodes)?;
    let root = bench.root().path().to_path_buf();
    remember(&root.join("state"), changes)?;
    let mut stage = Stage::new(bench, proxies)?;
    start(&mut stage, program, proxies)?;
    // What is learnt and listed is kept before what a change costs is counted.
    for _ in 0..12 {
        stage.report_and_wait(0.25);
    }
    let rounds = 5;
    let before = state(&root)?;
    let (mut applied, mut told_bytes) = (Vec::new(), 0);
    for number in 0..rounds {
        let (ms, bytes) = apply(&mut stage, &root, number)?;
        applied.push(ms);
        told_bytes = bytes;
    }
    let after = state(&root)?;
    applied.sort_by(f64::total_cmp);
    stage.bench.kill();
    let (_, state_bytes) = state(&root)?;
    let (listens_ms, all_pointed_ms) = start(&mut stage, program, proxies)?;
    stage.bench.kill();
    std::fs::remove_file(root.join("state")).map_err(super::controller_process::io("the state"))?;
    let without = start(&mut stage, program, proxies)?;
    stage.bench.swap_list(2, &BTreeSet::new())?;
    let per = |from: u64, to: u64| to.saturating_sub(from) as f64 / rounds as f64;
    Ok(Measured {
        nodes,
        proxies,
        changes,
        state_bytes,
        listens_ms,
        all_pointed_ms,
        without,
        commits: per(before.0, after.0),
        bytes: per(before.1, after.1),
        told_bytes,
        applied_ms: applied[rounds / 2],
    })
}
