//! What was seen, by whom. Times are seconds since the drill began, by the machine's monotonic clock.

use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;
use std::sync::mpsc::{channel, Receiver, Sender};
use wheelspread::time::Moment;

pub type Lines = BTreeMap<String, Vec<(String, f64)>>;

/// One line of a log. `docs/drills.md` describes each.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Record {
    // ---- proxies ----
    Joined {
        #[serde(rename = "gateway")]
        proxy: usize,
        #[serde(rename = "conductor")]
        controller: usize,
    },
    Left {
        #[serde(rename = "gateway")]
        proxy: usize,
    },
    Died {
        #[serde(rename = "gateway")]
        proxy: usize,
    },
    Tables {
        #[serde(rename = "gateway")]
        proxy: usize,
        #[serde(rename = "conductor")]
        controller: usize,
        version: u64,
        hash: String,
        lines: Lines,
    },
    TablesRefused {
        #[serde(rename = "gateway")]
        proxy: usize,
        reason: String,
    },
    Sent {
        #[serde(rename = "gateway")]
        proxy: usize,
        id: String,
        operation: String,
        node: String,
        number: u32,
    },
    Ended {
        #[serde(rename = "gateway")]
        proxy: usize,
        id: String,
        node: String,
        number: u32,
        outcome: String,
    },
    Answered {
        #[serde(rename = "gateway")]
        proxy: usize,
        id: String,
        outcome: String,
    },
    // ---- nodes ----
    Started {
        node: String,
        zone: usize,
        kind: String,
        capacity: f64,
        cold: bool,
    },
    Came {
        node: String,
        #[serde(rename = "gateway")]
        proxy: usize,
        id: String,
        operation: String,
        work: f64,
    },
    Effect {
        node: String,
        id: String,
        operation: String,
    },
    Fell {
        node: String,
    },
    Ceased {
        node: String,
    },
    // ---- what the directories and lists showed ----
    Swapped {
        #[serde(rename = "conductor")]
        controller: usize,
        #[serde(rename = "gateway")]
        proxy: usize,
        version: u64,
        hash: String,
        lines: Lines,
    },
    SwapUnreadable {
        #[serde(rename = "conductor")]
        controller: usize,
        #[serde(rename = "gateway")]
        proxy: usize,
        reason: String,
    },
    Listed {
        #[serde(rename = "conductor")]
        controller: usize,
        version: u64,
        nodes: BTreeMap<String, Listed>,
    },
    // ---- clients ----
    Done {
        #[serde(rename = "gateway")]
        proxy: usize,
        id: String,
        operation: String,
        attempt: u32,
        latency: f64,
        outcome: ClientOutcome,
    },
    // ---- the drill ----
    #[serde(rename = "trouble")]
    Fault {
        kind: String,
        injected: bool,
        span: f64,
    },
    #[serde(rename = "conductor_started")]
    ControllerStarted {
        #[serde(rename = "conductor")]
        controller: usize,
    },
    #[serde(rename = "conductor_killed")]
    ControllerKilled {
        #[serde(rename = "conductor")]
        controller: usize,
    },
    /// A controller took an order to drain a node, or to take that back; `asked`: when it was given.
    Ordered {
        #[serde(rename = "conductor")]
        controller: usize,
        node: String,
        out: bool,
        asked: f64,
    },
    /// A controller answered to a change of configuration that was told to it, or to its undo.
    Changed {
        #[serde(rename = "conductor")]
        controller: usize,
        change: String,
        undo: bool,
        taken: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Listed {
    pub zone: usize,
    pub draining: bool,
    /// Seconds since the drill began; below 0: before it.
    pub started: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientOutcome {
    Succeeded,
    RateLimited,
    Errored,
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
    pub fn new(start: Moment) -> (Recorder, Receiver<(f64, Record)>) {
        let (to, from) = channel();
        (Recorder { start, to }, from)
    }

    pub fn at(&self, now: Moment) -> f64 {
        (now - self.start).seconds()
    }

    pub fn note(&self, now: Moment, record: Record) {
        // The other end is gone only when the drill is over.
        let _ = self.to.send((self.at(now), record));
    }
}

#[cfg(test)]
mod tests;
