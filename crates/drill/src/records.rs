//! The records of a drill: what was observed, by whom and when. Times are seconds since the drill began, by
//! the monotonic clock.

use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use wheelspread::time::Moment;

/// Table entries by operation: node address and weight.
pub type EntriesByOperation = BTreeMap<String, Vec<(String, f64)>>;

/// One line of a log file. `docs/drills.md` describes each.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Record {
    // ---- proxies ----
    /// A proxy joined a controller.
    Joined {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
    },
    /// A proxy left its controller.
    Left {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
    },
    /// A proxy was killed.
    #[serde(rename = "died")]
    ProxyKilled {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
    },
    /// A proxy applied tables.
    Tables {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The version of the tables.
        version: u64,
        /// SHA-256 over both table documents.
        hash: String,
        /// The table entries by operation.
        #[serde(rename = "lines")]
        entries: EntriesByOperation,
    },
    /// A proxy rejected tables that it could not read.
    #[serde(rename = "tables_refused")]
    TablesRejected {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The reader's error.
        reason: String,
    },
    /// A proxy sent an attempt to a node.
    #[serde(rename = "sent")]
    AttemptSent {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// The operation's name.
        operation: String,
        /// The node's address.
        node: String,
        /// The number of the attempt, from 1.
        number: u32,
    },
    /// An attempt that a proxy had sent ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// The node's address.
        node: String,
        /// The number of the attempt, from 1.
        number: u32,
        /// The outcome: `succeeded` or the kind of failure.
        outcome: String,
    },
    /// A request ended at a proxy, usually with a response to the client.
    #[serde(rename = "answered")]
    RequestFinished {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// The outcome: `node-` and the node's status, `rate-limited`, `no-node`, `client-gone` or the kind of
        /// failure.
        outcome: String,
    },
    // ---- nodes ----
    /// A node started or returned.
    #[serde(rename = "started")]
    NodeStarted {
        /// The node's address.
        node: String,
        /// The index of the node's zone.
        zone: usize,
        /// The node kind, as named in the script.
        kind: String,
        /// Capacity in seconds of work per second.
        capacity: f64,
        /// Whether the node has to warm up.
        cold: bool,
    },
    /// A request arrived at a node.
    #[serde(rename = "came")]
    RequestArrived {
        /// The node's address.
        node: String,
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// The operation's name.
        operation: String,
        /// The work of the request in seconds on a core of speed 1.
        work: f64,
    },
    /// A node executed a request, with its effect.
    #[serde(rename = "effect")]
    RequestExecuted {
        /// The node's address.
        node: String,
        /// The `x-request-id`.
        id: String,
        /// The operation's name.
        operation: String,
    },
    /// A warming node received more work than it can execute, and failed.
    #[serde(rename = "fell")]
    NodeOverloaded {
        /// The node's address.
        node: String,
    },
    /// A node stopped.
    #[serde(rename = "ceased")]
    NodeStopped {
        /// The node's address.
        node: String,
    },
    // ---- table directories and endpoint lists ----
    /// Tables were published to a proxy, by a swap in its directory or over its stream.
    #[serde(rename = "swapped")]
    TablesSwapped {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The version of the tables.
        version: u64,
        /// SHA-256 over both table documents.
        hash: String,
        /// The table entries by operation.
        #[serde(rename = "lines")]
        entries: EntriesByOperation,
    },
    /// Tables that were swapped into a directory could not be read.
    SwapUnreadable {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The reader's error.
        reason: String,
    },
    /// An endpoint list was written for a controller.
    #[serde(rename = "listed")]
    ListPublished {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The version of the list.
        version: u64,
        /// The listed nodes, by address.
        nodes: BTreeMap<String, ListedNodeState>,
    },
    // ---- clients ----
    /// A client's invocation ended, after all of its attempts.
    #[serde(rename = "done")]
    InvocationEnded {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// The operation's name.
        operation: String,
        /// The number of the client's last attempt, from 0.
        attempt: u32,
        /// Seconds since the invocation arrived.
        latency: f64,
        /// The outcome.
        outcome: ClientOutcome,
    },
    // ---- the drill ----
    /// A fault began, or could not be injected.
    #[serde(rename = "trouble")]
    Fault {
        /// The fault kind, as named in scripts.
        kind: String,
        /// Whether a drill can inject this kind.
        injected: bool,
        /// The duration of the fault in seconds.
        span: f64,
    },
    /// A controller was started.
    #[serde(rename = "conductor_started")]
    ControllerStarted {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
    },
    /// A controller was killed.
    #[serde(rename = "conductor_killed")]
    ControllerKilled {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
    },
    /// A controller accepted an order to drain a node, or to undo the drain.
    #[serde(rename = "ordered")]
    DrainOrdered {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The node's address.
        node: String,
        /// `true` for a drain, `false` for its undo.
        #[serde(rename = "out")]
        drains: bool,
        /// When the order was given, in seconds since the drill began.
        #[serde(rename = "asked")]
        ordered_at: f64,
    },
    /// A controller answered a configuration change or its undo.
    #[serde(rename = "changed")]
    ChangeAnswered {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The id of the change.
        change: String,
        /// Whether this is the undo of the change.
        undo: bool,
        /// Whether the controller accepted it.
        #[serde(rename = "taken")]
        accepted: bool,
    },
}

/// The state of a node in an endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedNodeState {
    /// The index of the node's zone.
    pub zone: usize,
    /// Whether the node drains.
    pub draining: bool,
    /// When the node started, in seconds since the drill began; negative if it started earlier.
    pub started: f64,
}

/// The outcome of a client's invocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientOutcome {
    /// A response with status 2xx.
    Succeeded,
    /// A response with status 429.
    RateLimited,
    /// A response with another status, or none.
    Errored,
    /// The client's timeout expired.
    #[serde(rename = "given-up")]
    Timeout,
}

impl Record {
    /// The log file of the record, without its extension.
    fn log_name(&self) -> String {
        use Record::*;
        match self {
            Joined { proxy, .. }
            | Left { proxy }
            | ProxyKilled { proxy }
            | Tables { proxy, .. } => {
                format!("gateway-{proxy:03}")
            }
            TablesRejected { proxy, .. } | AttemptSent { proxy, .. } => {
                format!("gateway-{proxy:03}")
            }
            AttemptEnded { proxy, .. } | RequestFinished { proxy, .. } => {
                format!("gateway-{proxy:03}")
            }
            NodeStarted { node, .. }
            | RequestArrived { node, .. }
            | RequestExecuted { node, .. } => {
                format!("node-{}", node_file_name(node))
            }
            NodeOverloaded { node } | NodeStopped { node } => {
                format!("node-{}", node_file_name(node))
            }
            TablesSwapped { controller, .. } | SwapUnreadable { controller, .. } => {
                format!("directory-{controller}")
            }
            ListPublished { controller, .. } => format!("list-{controller}"),
            InvocationEnded { .. } => "clients".to_string(),
            Fault { .. }
            | ControllerStarted { .. }
            | ControllerKilled { .. }
            | ChangeAnswered { .. }
            | DrainOrdered { .. } => "drill".to_string(),
        }
    }
}

fn node_file_name(node: &str) -> String {
    node.replace([':', '.'], "-")
}

/// Records with their times in seconds since the drill began, ordered by time.
#[derive(Clone, Debug, Default)]
pub struct Records(pub Vec<(f64, Record)>);

impl Records {
    /// Writes one JSON Lines file for each proxy, node, directory and list, one for the clients and one for
    /// the drill.
    pub fn write_logs(&self, directory: &Path) -> io::Result<()> {
        std::fs::create_dir_all(directory)?;
        let mut logs: BTreeMap<String, Vec<u8>> = BTreeMap::new();
        for (t, record) in &self.0 {
            #[derive(Serialize)]
            struct TimedRecord<'a> {
                t: f64,
                #[serde(flatten)]
                record: &'a Record,
            }
            let log = logs.entry(record.log_name()).or_default();
            serde_json::to_writer(
                &mut *log,
                &TimedRecord {
                    t: (t * 1e6).round() / 1e6,
                    record,
                },
            )?;
            log.push(b'\n');
        }
        for (name, bytes) in logs {
            std::fs::File::create(directory.join(format!("{name}.jsonl")))?.write_all(&bytes)?;
        }
        Ok(())
    }
}

/// Collects records from any thread.
#[derive(Clone)]
pub struct Recorder {
    start: Moment,
    sender: Sender<(f64, Record)>,
}

impl Recorder {
    /// A recorder whose time 0 is `start`, and the receiver of its records.
    pub fn new(start: Moment) -> (Recorder, Receiver<(f64, Record)>) {
        let (sender, receiver) = channel();
        (Recorder { start, sender }, receiver)
    }

    /// Seconds from the drill's beginning to `now`.
    pub fn seconds_at(&self, now: Moment) -> f64 {
        (now - self.start).seconds()
    }

    /// Records an event at `now`.
    pub fn record(&self, now: Moment, record: Record) {
        // The receiver is dropped only at the end of the drill.
        let _ = self.sender.send((self.seconds_at(now), record));
    }
}

#[cfg(test)]
mod tests;
