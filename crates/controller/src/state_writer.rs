//! The state writer persists what has to survive a crash of the controller. It writes the state file on a thread of
//! its own, so that a disk that takes seconds delays persistence and never a decision.

mod persisted_facts;
mod writer_thread;

pub use persisted_facts::restore_core_state;

use persisted_facts::{
    capacity_fact_name, endpoint_fact_name, restore_capacity_facts, restore_endpoint_records,
    CapacityFact, EndpointFact, FactChanges, LIST_FACT, VERSION_FACT,
};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread::JoinHandle;
use tracing::{info, warn};
use wheelspread::ids::NodeId;
use wheelspread::CapacitySnapshot;
use wheelspread_config_transaction::{Commit, PersistedState};
use wheelspread_controller_core::endpoint_list::{EndpointList, EndpointRecord};
use wheelspread_controller_core::Version;
use wheelspread_reactor::Waker;
use wheelspread_store::{OpenOutcome, Store, StoreError};
use writer_thread::{WriteRequest, WriterThread};

/// Why a commit was not persisted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateWriteError {
    /// The state file could not be opened at start-up, or the writer thread has ended.
    #[error("the state file cannot be written, see the log from start-up for the reason")]
    Unavailable,
    /// The state file could not be written.
    #[error("{reason}")]
    Disk {
        /// The text of the store's error.
        reason: String,
    },
}

/// The result of a commit.
pub struct StateWriteResult {
    /// The number that was passed with the commit.
    pub number: u64,
    /// Whether the commit is persisted.
    pub result: Result<(), StateWriteError>,
}

/// The event loop's handle of the writer thread. It also keeps what was last handed over for persisting, so that
/// only changes are written.
pub struct StateWriter {
    /// `None` if the state file could not be opened.
    requests: Option<Sender<WriteRequest>>,
    results: Receiver<StateWriteResult>,
    thread: Option<JoinHandle<()>>,
    version: Version,
    list_version: String,
    endpoints: BTreeMap<NodeId, EndpointRecord>,
    capacities: BTreeMap<NodeId, CapacityFact>,
}

impl StateWriter {
    /// Opens the state file and returns what the previous run persisted. If the file can't be used, that is logged
    /// and the controller runs without persistence; a file of a newer format or one that is in use by another process
    /// is an error. `unix_seconds`: the time now, in seconds since 1970.
    pub fn start(
        path: &Path,
        unix_seconds: f64,
        waker: Waker,
    ) -> Result<(StateWriter, PersistedState), StoreError> {
        let (results_sender, results) = channel();
        let mut writer = StateWriter {
            requests: None,
            results,
            thread: None,
            version: Version(0),
            list_version: String::new(),
            endpoints: BTreeMap::new(),
            capacities: BTreeMap::new(),
        };
        let (store, outcome) = match Store::open(path) {
            Ok(opened) => opened,
            Err(error @ (StoreError::NewerFormat { .. } | StoreError::InUse { .. })) => {
                return Err(error)
            }
            Err(error) => {
                warn!(%error, "state file unusable: nothing survives a crash, configuration changes are rejected");
                return Ok((writer, PersistedState::default()));
            }
        };
        log_opened_store(&outcome);
        let persisted = store.state().clone();
        writer.remember_persisted(&persisted, unix_seconds);
        let (requests_sender, requests) = channel();
        let thread = WriterThread {
            store,
            requests,
            results: results_sender,
            waker,
        };
        writer.thread = Some(spawn(path, thread)?);
        writer.requests = Some(requests_sender);
        Ok((writer, persisted))
    }

    /// Remembers what is persisted already, so that unchanged facts are not written again and facts of nodes that are
    /// no longer listed are deleted.
    fn remember_persisted(&mut self, persisted: &PersistedState, unix_seconds: f64) {
        self.list_version = persisted.facts.get(LIST_FACT).cloned().unwrap_or_default();
        self.endpoints = restore_endpoint_records(persisted, unix_seconds)
            .map(|record| (record.node, record))
            .collect();
        self.capacities = restore_capacity_facts(persisted).collect();
    }

    /// Hands a commit to the thread. [`StateWriter::take_results`] returns its result under `number` once the write
    /// has succeeded or failed.
    pub fn write(&mut self, number: u64, commit: Commit) -> Result<(), StateWriteError> {
        let request = WriteRequest {
            number: Some(number),
            commit,
        };
        let requests = self.requests.as_ref().ok_or(StateWriteError::Unavailable)?;
        requests
            .send(request)
            .map_err(|_| StateWriteError::Unavailable)
    }

    /// Returns the results received since the last call.
    pub fn take_results(&self) -> Vec<StateWriteResult> {
        self.results.try_iter().collect()
    }

    /// Persists facts that have changed since the last call. `unix_seconds`: the time now, in seconds since 1970.
    pub fn persist_changes(
        &mut self,
        unix_seconds: f64,
        version: Version,
        nodes: &EndpointList,
        capacities: impl Iterator<Item = CapacitySnapshot>,
    ) {
        let mut facts = FactChanges::new();
        if version != self.version {
            self.version = version;
            facts.insert(VERSION_FACT.to_string(), Some(version.0.to_string()));
        }
        // The stored list must not be deleted before the controller has read a list, that is, while its version is
        // empty.
        if nodes.version() != self.list_version && !nodes.version().is_empty() {
            self.list_version = nodes.version().to_string();
            facts.insert(LIST_FACT.to_string(), Some(self.list_version.clone()));
            self.collect_endpoint_changes(unix_seconds, nodes, &mut facts);
        }
        self.collect_capacity_changes(capacities, &mut facts);
        self.submit_facts(facts);
    }

    fn submit_facts(&self, facts: FactChanges) {
        if facts.is_empty() {
            return;
        }
        if let Some(requests) = &self.requests {
            let commit = Commit {
                facts,
                ..Commit::default()
            };
            // The thread has ended only if the process is exiting.
            let _ = requests.send(WriteRequest {
                number: None,
                commit,
            });
        }
    }

    fn collect_endpoint_changes(
        &mut self,
        unix_seconds: f64,
        nodes: &EndpointList,
        facts: &mut FactChanges,
    ) {
        let mut endpoints = BTreeMap::new();
        for (record, _) in nodes.listed() {
            let stored = self.endpoints.get(&record.node);
            if !stored.is_some_and(|stored| is_same_endpoint(stored, record)) {
                let fact = EndpointFact::new(record, unix_seconds);
                let text = serde_json::to_string(&fact).ok();
                facts.insert(endpoint_fact_name(record.node), text);
            }
            endpoints.insert(record.node, record.clone());
        }
        for node in self
            .endpoints
            .keys()
            .filter(|node| !endpoints.contains_key(node))
        {
            facts.insert(endpoint_fact_name(*node), None);
            facts.insert(capacity_fact_name(*node), None);
            self.capacities.remove(node);
        }
        self.endpoints = endpoints;
    }

    fn collect_capacity_changes(
        &mut self,
        capacities: impl Iterator<Item = CapacitySnapshot>,
        facts: &mut FactChanges,
    ) {
        for snapshot in capacities.filter(CapacitySnapshot::is_valid) {
            let fact = CapacityFact::new(&snapshot);
            let stored = self.capacities.get(&snapshot.node);
            if stored.is_some_and(|stored| stored.is_close_to(&fact)) {
                continue;
            }
            self.capacities.insert(snapshot.node, fact);
            let text = serde_json::to_string(&fact).ok();
            facts.insert(capacity_fact_name(snapshot.node), text);
        }
    }
}

impl Drop for StateWriter {
    /// Waits until the thread has written the queued commits.
    fn drop(&mut self) {
        self.requests = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Whether two records are the same once stored. Ages are not compared: the stored start time does not change while the
/// incarnation stays the same.
fn is_same_endpoint(stored: &EndpointRecord, current: &EndpointRecord) -> bool {
    let incarnation = |record: &EndpointRecord| {
        record
            .started
            .as_ref()
            .map(|(incarnation, _)| incarnation.clone())
    };
    let stored_with_current_age = EndpointRecord {
        started: current.started.clone(),
        ..stored.clone()
    };
    incarnation(stored) == incarnation(current) && stored_with_current_age == *current
}

fn log_opened_store(outcome: &OpenOutcome) {
    match outcome {
        OpenOutcome::Fresh => info!("no persisted state of an earlier run"),
        OpenOutcome::Valid => {}
        OpenOutcome::TornTail { bytes } => {
            warn!(bytes, "last commit of the state was torn and is cut off");
        }
        OpenOutcome::Damaged { aside, at, bytes } => {
            let aside = aside.display().to_string();
            warn!(
                aside,
                at, bytes, "state file damaged, only the commits before the damage are used"
            );
        }
    }
}

fn spawn(path: &Path, thread: WriterThread) -> Result<JoinHandle<()>, StoreError> {
    std::thread::Builder::new()
        .name("state-writer".to_string())
        .spawn(move || thread.run())
        .map_err(|source| StoreError::Io {
            path: path.to_path_buf(),
            source,
        })
}

#[cfg(test)]
mod tests;
