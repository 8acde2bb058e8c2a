//! What the module remembers. Plain shapes: nothing here decides anything.

use crate::ids::*;
use crate::interface::{ListEntry, Retry};
use crate::ring::Ring;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::AddAssign;

/// Where a node stands by the list and the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Unlisted,
    Cold,
    Warm,
    Draining,
}

/// How a zone's proxies find a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Clear,
    Out,
    Trial,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    pub tries: f64,
    pub errored: f64,
    pub seconds: f64,
}

impl AddAssign for Work {
    fn add_assign(&mut self, more: Work) {
        self.tries += more.tries;
        self.errored += more.errored;
        self.seconds += more.seconds;
    }
}

/// An average that forgets by the time its samples cover, not by their number.
#[derive(Clone, Copy, Debug, Default)]
pub struct Smooth(Option<f64>);

impl Smooth {
    pub fn feed(&mut self, sample: f64, covers: Span, memory: Span) {
        let keep = (-covers.seconds().max(0.0) / memory.seconds().max(1e-6)).exp();
        self.0 = Some(self.0.map_or(sample, |old| old * keep + sample * (1.0 - keep)));
    }

    pub fn get(&self) -> Option<f64> {
        self.0
    }

    pub fn set(&mut self, value: Option<f64>) {
        self.0 = value;
    }
}

#[derive(Clone, Debug)]
pub struct Node {
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub weight: f64,
    pub started: Option<Moment>,
    pub life: Life,
    /// When the list last changed what it says of this node.
    pub told: Moment,
    pub utilization: Smooth,
    pub sojourn: Smooth,
    /// Logarithm of the invocations a second that it can do.
    pub capacity: Smooth,
    pub evidence: f64,
    pub carried: f64,
    /// The most it lately served, a second; fades.
    pub peak: f64,
    pub heard: Option<Moment>,
    pub news: Span,
    /// Sums not yet learnt from.
    pub fresh: Work,
}

impl Node {
    pub fn new(entry: &ListEntry, now: Moment) -> Node {
        Node {
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            weight: 1.0,
            started: entry.started,
            life: Life::Unlisted,
            told: now,
            utilization: Smooth::default(),
            sojourn: Smooth::default(),
            capacity: Smooth::default(),
            evidence: 0.0,
            carried: 0.0,
            peak: 0.0,
            heard: None,
            news: Span::ZERO,
            fresh: Work::default(),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Path {
    pub standing: Standing,
    pub since: Moment,
    pub hold: Span,
    pub rate: Smooth,
    pub served: Smooth,
    pub heard: Moment,
    pub sums: Ring<Work>,
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: ZoneId,
    pub joined: bool,
    pub bound: bool,
    pub since: Moment,
    pub demand: BTreeMap<OperationId, Smooth>,
    pub written: Ring<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub zone: ZoneId,
    pub stays: bool,
    pub operations: Vec<OperationId>,
    pub lines: BTreeMap<NodeId, f64>,
    pub levels: BTreeMap<OperationId, (f64, Retry)>,
}

#[derive(Clone, Debug, Default)]
pub struct PeerView {
    pub heard: Moment,
    pub demand: BTreeMap<(ZoneId, bool), f64>,
    pub rates: BTreeMap<NodeId, f64>,
}

/// One reply's orders on their way: how many lines, and who has not answered.
#[derive(Clone, Debug)]
pub struct Sent {
    pub mark: MarkId,
    pub at: Moment,
    pub lines: f64,
    pub asked: usize,
    pub waiting: BTreeSet<ProxyId>,
    pub step: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Channel {
    pub sent: VecDeque<Sent>,
    pub next: u32,
    pub last_step: Option<Moment>,
    pub last_levels: Option<Moment>,
}

#[derive(Clone, Debug)]
pub struct Operation {
    pub id: OperationId,
    pub objective: Span,
    pub timeout: Span,
    pub value: f64,
    pub effect: Repeat,
    pub group: String,
    pub window: Span,
    pub stays: bool,
}

/// What a repeat of an invocation may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Idempotent,
    Fingerprinted,
    SideEffecting,
}
