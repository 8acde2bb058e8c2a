//! What outlives a crash of the conductor is written by a thread of its own: a disk that takes seconds delays
//! what is kept, and no decision. What waits meanwhile is written together.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::Duration;
use tracing::{info, warn};
use wheelspread::ids::NodeId;
use wheelspread::time::Span;
use wheelspread::CapacitySnapshot;
use wheelspread_config_rollout::values::node;
use wheelspread_config_transaction::{Commit, PersistedState};
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::endpoint_list::{
    show, EndpointList, EndpointRecord, EndpointSnapshot,
};
use wheelspread_controller_core::Version;
use wheelspread_faults::reached;
use wheelspread_reactor::Waker;
use wheelspread_store::{Found as File, Store, StoreError};

/// Settings: the last version that was published, the list, its nodes, what was learnt of them.
const VERSION: &str = "version";
const LIST: &str = "list";
const LISTED: &str = "listed.";
const LEARNT: &str = "learnt.";
/// Versions that may have been made after the last that was kept.
const MARGIN: u64 = 10_000;
/// A file that is longer is written anew as one commit, unless that one would be nearly as long.
const LONG: u64 = 1 << 20;
/// What could not be written is tried again after so long.
const AGAIN: Duration = Duration::from_secs(1);
/// What was learnt counts as the same while it is no further apart: logarithm of the capacity, part of the
/// evidence.
const SAME: (f64, f64) = (0.05, 0.3);

/// A node of the list, as it is kept.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Listed {
    zone: String,
    kind: String,
    cell: String,
    draining: bool,
    weight: f64,
    /// What tells one run of its process from the next, and when it started, in seconds since 1970.
    started: Option<(String, f64)>,
}

/// What was learnt of a node, as it is kept.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct LearntFact {
    capacity: f64,
    evidence: f64,
    quickest_s: f64,
}

type Told = (u64, Result<(), String>);

pub struct StateWriter {
    to: Option<Sender<(Option<u64>, Commit)>>,
    done: Receiver<Told>,
    thread: Option<JoinHandle<()>>,
    version: Version,
    list: String,
    listed: BTreeMap<NodeId, EndpointRecord>,
    learnt: BTreeMap<NodeId, LearntFact>,
}

impl StateWriter {
    /// Opens the file; returns what an earlier run kept. A disk that fails is told and gone on without; a file
    /// of a newer program is not.
    pub fn start(
        path: &Path,
        wall: f64,
        waker: Waker,
    ) -> Result<(StateWriter, PersistedState), StoreError> {
        let (told, done) = channel();
        let mut keeper = StateWriter {
            to: None,
            done,
            thread: None,
            version: Version(0),
            list: String::new(),
            listed: BTreeMap::new(),
            learnt: BTreeMap::new(),
        };
        let (store, found) = match Store::open(path) {
            Ok(opened) => opened,
            Err(error @ (StoreError::Newer { .. } | StoreError::InUse { .. })) => {
                return Err(error)
            }
            Err(error) => {
                warn!(%error, "nothing can be kept over a crash, and no configuration changed");
                return Ok((keeper, PersistedState::default()));
            }
        };
        match &found {
            File::Fresh => info!("no state of an earlier run"),
            File::Sound => {}
            File::TornTail { bytes } => warn!(
                bytes,
                "the last commit of the state was torn, it was cut off"
            ),
            File::Damaged { aside, at, bytes } => {
                let aside = aside.display().to_string();
                warn!(
                    aside,
                    at, bytes, "the state is damaged, what comes before is gone on with"
                );
            }
        }
        let kept = store.kept().clone();
        // What is kept already is not kept again, and what has gone since is let go of.
        keeper.list = kept.facts.get(LIST).cloned().unwrap_or_default();
        keeper.listed = listed(&kept, wall)
            .map(|record| (record.node, record))
            .collect();
        keeper.learnt = learnt(&kept).collect();
        let (to, commits) = channel();
        let work = move || write(store, &commits, &told, &waker);
        let thread = std::thread::Builder::new()
            .name("keeper".to_string())
            .spawn(work);
        let disk = |source| StoreError::Disk {
            path: path.to_path_buf(),
            source,
        };
        (keeper.to, keeper.thread) = (Some(to), Some(thread.map_err(disk)?));
        Ok((keeper, kept))
    }

    /// What is to be told by its number when it is on the disk; `false`: there is no disk.
    pub fn write(&mut self, number: u64, commit: Commit) -> bool {
        self.to
            .as_ref()
            .is_some_and(|to| to.send((Some(number), commit)).is_ok())
    }

    pub fn done(&self) -> Vec<Told> {
        self.done.try_iter().collect()
    }

    /// Settings that have changed since they were last given.
    pub fn keep(
        &mut self,
        wall: f64,
        version: Version,
        nodes: &EndpointList,
        learnt: impl Iterator<Item = CapacitySnapshot>,
    ) {
        let mut facts = BTreeMap::new();
        if version != self.version {
            self.version = version;
            facts.insert(VERSION.to_string(), Some(version.0.to_string()));
        }
        if nodes.version() != self.list && !nodes.version().is_empty() {
            self.list = nodes.version().to_string();
            facts.insert(LIST.to_string(), Some(self.list.clone()));
            self.keep_list(wall, nodes, &mut facts);
        }
        for told in learnt.filter(CapacitySnapshot::sound) {
            let fact = LearntFact {
                capacity: told.capacity,
                evidence: told.evidence,
                quickest_s: told.quickest,
            };
            let near = |old: &LearntFact| {
                (old.capacity - fact.capacity).abs() <= SAME.0
                    && (old.evidence - fact.evidence).abs() <= SAME.1 * old.evidence.max(1.0)
            };
            if !self.learnt.get(&told.node).is_some_and(near) {
                self.learnt.insert(told.node, fact);
                facts.insert(
                    format!("{LEARNT}{}", show(told.node)),
                    serde_json::to_string(&fact).ok(),
                );
            }
        }
        if let Some(to) = self.to.as_ref().filter(|_| !facts.is_empty()) {
            let _ = to.send((
                None,
                Commit {
                    facts,
                    ..Commit::default()
                },
            ));
        }
    }

    fn keep_list(
        &mut self,
        wall: f64,
        nodes: &EndpointList,
        facts: &mut BTreeMap<String, Option<String>>,
    ) {
        let mut next = BTreeMap::new();
        for (record, _) in nodes.listed() {
            // Of the age only what it says of the start is kept: that does not change.
            let same = |old: &EndpointRecord| {
                let run =
                    |record: &EndpointRecord| record.started.as_ref().map(|(run, _)| run.clone());
                let plain = EndpointRecord {
                    started: record.started.clone(),
                    ..old.clone()
                };
                run(old) == run(record) && plain == *record
            };
            if !self.listed.get(&record.node).is_some_and(same) {
                let listed = Listed {
                    zone: record.zone.clone(),
                    kind: record.kind.clone(),
                    cell: record.cell.clone(),
                    draining: record.draining,
                    weight: record.weight,
                    started: record
                        .started
                        .as_ref()
                        .map(|(run, age)| (run.clone(), wall - age.seconds())),
                };
                facts.insert(
                    format!("{LISTED}{}", show(record.node)),
                    serde_json::to_string(&listed).ok(),
                );
            }
            next.insert(record.node, record.clone());
        }
        for node in self.listed.keys().filter(|node| !next.contains_key(node)) {
            facts.insert(format!("{LISTED}{}", show(*node)), None);
            facts.insert(format!("{LEARNT}{}", show(*node)), None);
            self.learnt.remove(node);
        }
        self.listed = next;
    }
}

/// What a session that starts is told of the time before; `wall` as now.
pub fn recall(kept: &PersistedState, wall: f64, found: &mut RecoveredState) {
    let last = kept.facts.get(VERSION).and_then(|last| last.parse().ok());
    found.floor = last.map_or(Version(0), |last: u64| Version(last.saturating_add(MARGIN)));
    let records: Vec<EndpointRecord> = listed(kept, wall).collect();
    if let Some(version) = kept.facts.get(LIST).filter(|_| !records.is_empty()) {
        found.list = Some(EndpointSnapshot {
            version: version.clone(),
            records,
        });
    }
    let learnt = learnt(kept).map(|(node, fact)| {
        let LearntFact {
            capacity,
            evidence,
            quickest_s,
        } = fact;
        CapacitySnapshot {
            node,
            capacity,
            evidence,
            quickest: quickest_s,
        }
    });
    found.learnt = learnt.collect();
}

/// Settings of nodes under a prefix.
fn of_nodes<'a>(
    kept: &'a PersistedState,
    prefix: &'a str,
) -> impl Iterator<Item = (NodeId, &'a String)> {
    kept.facts
        .iter()
        .filter_map(move |(name, text)| Some((node(name.strip_prefix(prefix)?)?, text)))
}

fn listed(kept: &PersistedState, wall: f64) -> impl Iterator<Item = EndpointRecord> + '_ {
    of_nodes(kept, LISTED).filter_map(move |(node, text)| {
        let listed: Listed = serde_json::from_str(text).ok()?;
        let started = listed
            .started
            .map(|(run, at)| (run, Span::from_seconds((wall - at).clamp(0.0, 1e9))));
        let Listed {
            zone,
            kind,
            cell,
            draining,
            weight,
            ..
        } = listed;
        Some(EndpointRecord {
            node,
            zone,
            kind,
            cell,
            draining,
            weight,
            started,
        })
    })
}

fn learnt(kept: &PersistedState) -> impl Iterator<Item = (NodeId, LearntFact)> + '_ {
    of_nodes(kept, LEARNT).filter_map(|(node, text)| Some((node, serde_json::from_str(text).ok()?)))
}

/// The thread: takes all that waits, writes it as one commit, says what came of it.
fn write(
    mut store: Store,
    commits: &Receiver<(Option<u64>, Commit)>,
    told: &Sender<Told>,
    waker: &Waker,
) {
    // Settings that could not be written go with the next that is.
    let mut left = Commit::default();
    loop {
        let first = match left.facts.is_empty() {
            true => commits.recv().map_err(|_| RecvTimeoutError::Disconnected),
            false => commits.recv_timeout(AGAIN),
        };
        let (mut numbers, mut commit) = (BTreeSet::new(), std::mem::take(&mut left));
        match first {
            Err(RecvTimeoutError::Timeout) => {}
            // What was left is tried once more, then that is all.
            Err(RecvTimeoutError::Disconnected) if commit.facts.is_empty() => return,
            Err(RecvTimeoutError::Disconnected) => {
                if let Err(error) = store.commit(commit) {
                    warn!(%error, "not kept");
                }
                return;
            }
            Ok(first) => {
                for (number, later) in std::iter::once(first).chain(commits.try_iter()) {
                    numbers.extend(number);
                    commit.join(later);
                }
            }
        }
        let facts = commit.facts.clone();
        let written = store.commit(commit).map_err(|error| error.to_string());
        if let Err(reason) = &written {
            warn!(reason, "not kept, tried again");
            left.facts = facts;
        }
        let _ = reached("store.told");
        for number in numbers {
            // The other side is gone only when the program ends.
            let _ = told.send((number, written.clone()));
        }
        waker.wake();
        if store.bytes() > LONG.max(store.compacted() * 2) {
            if let Err(error) = store.compact() {
                warn!(%error, "the state could not be written anew, it goes on growing");
            }
        }
    }
}

impl Drop for StateWriter {
    /// What was given to be kept is kept.
    fn drop(&mut self) {
        self.to = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests;
