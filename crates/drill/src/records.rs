//! What was seen, by whom. Times are seconds since the drill began, by the machine's monotonic clock.

use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use wheelspread::time::Moment;

/// The entries of tables by operation: node and weight.
pub type Lines = BTreeMap<String, Vec<(String, f64)>>;

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
    Died {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
    },
    /// A proxy took tables.
    Tables {
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
        lines: Lines,
    },
    /// A proxy could not read tables.
    TablesRefused {
        /// The proxy's number.
        #[serde(rename = "gateway")]
        proxy: usize,
        /// Why, as the reader says it.
        reason: String,
    },
    /// A proxy sent an attempt to a node.
    Sent {
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
    Ended {
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
    Answered {
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
    Started {
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
    Came {
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
    Effect {
        /// The node's address.
        node: String,
        /// The `x-request-id`.
        id: String,
        /// The operation's name.
        operation: String,
    },
    /// A cold node got more work than it can take, and failed.
    Fell {
        /// The node's address.
        node: String,
    },
    /// A node ended.
    Ceased {
        /// The node's address.
        node: String,
    },
    // ---- what the directories and lists showed ----
    /// Tables were swapped into a proxy's directory.
    Swapped {
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
        lines: Lines,
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
    Listed {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The version, as it is named there.
        version: u64,
        /// The listed nodes, by address.
        nodes: BTreeMap<String, Listed>,
    },
    // ---- clients ----
    /// An invocation of a client ended.
    Done {
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
    Ordered {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The node's address.
        node: String,
        /// Drained, or taken back.
        out: bool,
        /// When the order was given.
        asked: f64,
    },
    /// A controller answered to a change of configuration that was told to it, or to its undo.
    Changed {
        /// The controller's number.
        #[serde(rename = "conductor")]
        controller: usize,
        /// The change's id.
        change: String,
        /// Whether it is the change's undo.
        undo: bool,
        /// Whether the controller took it.
        taken: bool,
    },
}

/// What a list says of a node.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listed {
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
    GivenUp,
}

impl Record {
    /// Which log file it belongs to.
    fn log(&self) -> String {
        use Record::*;
        match self {
            Joined { proxy, .. } | Left { proxy } | Died { proxy } | Tables { proxy, .. } => {
                format!("gateway-{proxy:03}")
            }
            TablesRefused { proxy, .. } | Sent { proxy, .. } => format!("gateway-{proxy:03}"),
            Ended { proxy, .. } | Answered { proxy, .. } => format!("gateway-{proxy:03}"),
            Started { node, .. } | Came { node, .. } | Effect { node, .. } => {
                format!("node-{}", plain(node))
            }
            Fell { node } | Ceased { node } => format!("node-{}", plain(node)),
            Swapped { controller, .. } | SwapUnreadable { controller, .. } => {
                format!("directory-{controller}")
            }
            Listed { controller, .. } => format!("list-{controller}"),
            Done { .. } => "clients".to_string(),
            Fault { .. }
            | ControllerStarted { .. }
            | ControllerKilled { .. }
            | Changed { .. }
            | Ordered { .. } => "drill".to_string(),
        }
    }
}

fn plain(node: &str) -> String {
    node.replace([':', '.'], "-")
}

/// What was seen, in the order of time.
#[derive(Clone, Debug, Default)]
pub struct Records(pub Vec<(f64, Record)>);

impl Records {
    /// A log for each proxy, node, directory and list, one JSON object a line.
    pub fn keep(&self, directory: &Path) -> io::Result<()> {
        std::fs::create_dir_all(directory)?;
        let mut logs: BTreeMap<String, Vec<u8>> = BTreeMap::new();
        for (t, record) in &self.0 {
            #[derive(Serialize)]
            struct Dated<'a> {
                t: f64,
                #[serde(flatten)]
                record: &'a Record,
            }
            let log = logs.entry(record.log()).or_default();
            serde_json::to_writer(
                &mut *log,
                &Dated {
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
    to: Sender<(f64, Record)>,
}

impl Recorder {
    /// A recorder whose times begin here, and where its records arrive.
    pub fn new(start: Moment) -> (Recorder, Receiver<(f64, Record)>) {
        let (to, from) = channel();
        (Recorder { start, to }, from)
    }

    /// Seconds since the drill began.
    pub fn at(&self, now: Moment) -> f64 {
        (now - self.start).seconds()
    }

    /// Notes a record at this time.
    pub fn note(&self, now: Moment, record: Record) {
        // The other end is gone only when the drill is over.
        let _ = self.to.send((self.at(now), record));
    }
}

#[cfg(test)]
mod tests;
