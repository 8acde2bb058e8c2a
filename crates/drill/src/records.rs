//! What was seen, by whom. Times are seconds since the drill began, by the machine's monotonic clock.

use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use wheelspread::time::Moment;

/// The entries of tables by operation: node and weight.
pub type EntriesByOperation = BTreeMap<String, Vec<(String, f64)>>;

/// One line of a log. `docs/drills.md` describes each.
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
    /// A proxy was ended.
    #[serde(rename = "died")]
    ProxyKilled {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
    },
    /// A proxy took tables.
    #[serde(rename = "tables")]
    TablesApplied {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The version, as it is named there.
        version: u64,
        /// SHA-256 of both documents.
        hash: String,
        /// The entries, by operation.
        #[serde(rename = "lines")]
        entries: EntriesByOperation,
    },
    /// A proxy could not read tables.
    #[serde(rename = "tables_refused")]
    TablesRejected {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// Why, as the reader says it.
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
        /// Which attempt it is, from 1.
        number: u32,
    },
    /// An attempt of a proxy ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// The node's address.
        node: String,
        /// Which attempt it is, from 1.
        number: u32,
        /// How it ended.
        outcome: String,
    },
    /// A proxy answered its client.
    #[serde(rename = "answered")]
    RequestFinished {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// How it ended.
        outcome: String,
    },
    // ---- nodes ----
    /// A node started, or came back.
    #[serde(rename = "started")]
    NodeStarted {
        /// The node's address.
        node: String,
        /// The number of the node's zone.
        zone: usize,
        /// The kind, as scripts spell it.
        kind: String,
        /// Seconds of work a second.
        capacity: f64,
        /// Whether it has to warm up.
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
        /// Seconds at a core of speed 1.
        work: f64,
    },
    /// A request took effect at a node.
    #[serde(rename = "effect")]
    RequestExecuted {
        /// The node's address.
        node: String,
        /// The `x-request-id`.
        id: String,
        /// The operation's name.
        operation: String,
    },
    /// A cold node got more work than it can take, and failed.
    #[serde(rename = "fell")]
    NodeOverloaded {
        /// The node's address.
        node: String,
    },
    /// A node ended.
    #[serde(rename = "ceased")]
    NodeStopped {
        /// The node's address.
        node: String,
    },
    // ---- what the directories and lists showed ----
    /// Tables were swapped into a proxy's directory.
    #[serde(rename = "swapped")]
    TablesSwapped {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The version, as it is named there.
        version: u64,
        /// SHA-256 of both documents.
        hash: String,
        /// The entries, by operation.
        #[serde(rename = "lines")]
        entries: EntriesByOperation,
    },
    /// What was swapped into a directory could not be read.
    SwapUnreadable {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// Why, as the reader says it.
        reason: String,
    },
    /// A controller's list of nodes changed.
    #[serde(rename = "listed")]
    ListPublished {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The version, as it is named there.
        version: u64,
        /// The listed nodes, by address.
        nodes: BTreeMap<String, ListedNodeState>,
    },
    // ---- clients ----
    /// An invocation of a client ended.
    #[serde(rename = "done")]
    InvocationEnded {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// The `x-request-id`.
        id: String,
        /// The operation's name.
        operation: String,
        /// The client's attempt, from 0.
        attempt: u32,
        /// Seconds from the first attempt's arrival.
        latency: f64,
        /// How it ended.
        outcome: ClientOutcome,
    },
    // ---- the drill ----
    /// A fault began, or could not be injected.
    #[serde(rename = "trouble")]
    Fault {
        /// The kind, as scripts spell it.
        kind: String,
        /// Whether it could be injected here.
        injected: bool,
        /// How long it lasts, in seconds.
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
    /// A controller took an order to drain a node, or to take that back; `asked`: when it was given.
    #[serde(rename = "ordered")]
    DrainOrdered {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The node's address.
        node: String,
        /// Drained, or taken back.
        #[serde(rename = "out")]
        drains: bool,
        /// When the order was given.
        #[serde(rename = "asked")]
        ordered_at: f64,
    },
    /// A controller answered to a change of configuration that was told to it, or to its undo.
    #[serde(rename = "changed")]
    ChangeAnswered {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The change's id.
        change: String,
        /// Whether it is the change's undo.
        undo: bool,
        /// Whether the controller took it.
        #[serde(rename = "taken")]
        accepted: bool,
    },
}

/// What a list says of a node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ListedNodeState {
    /// The number of its zone.
    pub zone: usize,
    /// Whether it drains.
    pub draining: bool,
    /// Seconds since the drill began; below 0: before it.
    pub started: f64,
}

/// How a client's invocation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientOutcome {
    /// Answered with success.
    Succeeded,
    /// Rejected by the rate limit.
    RateLimited,
    /// Answered with an error, or not at all.
    Errored,
    /// The client's timeout passed.
    #[serde(rename = "given-up")]
    TimedOut,
}

impl Record {
    /// Which log file it belongs to.
    fn log_name(&self) -> String {
        use Record::*;
        match self {
            Joined { proxy, .. }
            | Left { proxy }
            | ProxyKilled { proxy }
            | TablesApplied { proxy, .. } => {
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

/// What was seen, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Records(pub Vec<(f64, Record)>);

impl Records {
    /// A log for each proxy, node, directory and list, one JSON object a line.
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

/// Notes what was seen, from any thread.
#[derive(Clone)]
pub struct Recorder {
    start: Moment,
    sender: Sender<(f64, Record)>,
}

impl Recorder {
    /// A recorder whose times begin here, and where its records arrive.
    pub fn new(start: Moment) -> (Recorder, Receiver<(f64, Record)>) {
        let (sender, receiver) = channel();
        (Recorder { start, sender }, receiver)
    }

    /// Seconds since the drill began.
    pub fn seconds_at(&self, now: Moment) -> f64 {
        (now - self.start).seconds()
    }

    /// Notes a record at this time.
    pub fn record(&self, now: Moment, record: Record) {
        // The other end is gone only when the drill is over.
        let _ = self.sender.send((self.seconds_at(now), record));
    }
}

#[cfg(test)]
mod tests;
