//! What the module remembers. Plain shapes: nothing here decides anything.

use crate::ids::*;
use crate::pcg::Pcg;
use crate::ring::Ring;
use crate::settings::Settings;
use crate::time::{Moment, Span};
use crate::{EndpointEntry, RetryPolicy};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::AddAssign;

/// Weights or shares by node, and by table.
pub type Shares = BTreeMap<NodeId, f64>;
pub type Orders = BTreeMap<TableId, Shares>;

/// All that one conductor's module remembers; `balance` decides with it, `measure` adds it up.
pub struct Balancer {
    pub(crate) facts: Settings,
    pub(crate) random: Pcg,
    pub(crate) began: Moment,
    pub(crate) now: Moment,
    pub(crate) operations: Vec<Operation>,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) paths: BTreeMap<(NodeId, ZoneId), Path>,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) tables: BTreeMap<TableId, Table>,
    pub(crate) peers: BTreeMap<PeerId, PeerView>,
    pub(crate) channel: Channel,
    /// Proxies that have joined and are not bound yet.
    pub(crate) joins: BTreeSet<ProxyId>,
    pub(crate) admission: Admission,
    /// The shortest mean time that each kind of node has shown.
    pub(crate) quickest: BTreeMap<KindId, f64>,
    /// By kind, what a warm node of listed weight 1 does and was seen to serve; the usual time.
    pub(crate) each: BTreeMap<KindId, (f64, Option<f64>)>,
    pub(crate) usual_time: f64,
    /// When sums last came, and whether any have not been learnt from.
    pub(crate) heard: Moment,
    pub(crate) news: bool,
    /// When sums came before those of this moment, and the usual span of sums.
    pub(crate) heard_before: Moment,
    pub(crate) sums_span: Smooth,
    /// When the first sums since the start came.
    pub(crate) sums_since: Option<Moment>,
    /// Whether the list or health changed since the last step, and the list since the last moment settled.
    pub(crate) moved: bool,
    pub(crate) rush: bool,
    pub(crate) told_peers: Moment,
    pub(crate) ticks: u64,
    pub(crate) next_tick: Moment,
    pub(crate) settled: Moment,
}

impl Balancer {
    pub(crate) fn new(
        now: Moment,
        seed: u64,
        facts: Settings,
        operations: Vec<Operation>,
        tables: BTreeMap<TableId, Table>,
    ) -> Balancer {
        let (nodes, paths, proxies, peers) = Default::default();
        let (channel, joins, quickest) = Default::default();
        let (let_in, cut) = Default::default();
        let admission = Admission {
            let_in,
            cut,
            ease: 1.0,
            eased: now,
            busy: Busy::Usual,
            excited: now,
        };
        Balancer {
            random: Pcg::new(seed),
            heard: now,
            heard_before: now,
            sums_span: Smooth::default(),
            news: false,
            each: BTreeMap::new(),
            usual_time: 0.0,
            sums_since: None,
            moved: true,
            rush: true,
            told_peers: now,
            ticks: 0,
            next_tick: now,
            settled: Moment::default(),
            facts,
            began: now,
            now,
            operations,
            nodes,
            paths,
            proxies,
            tables,
            peers,
            channel,
            joins,
            admission,
            quickest,
        }
    }
}

/// What is worth keeping of a node over a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySnapshot {
    pub node: NodeId,
    /// Logarithm of the invocations a second that it can do.
    pub capacity: f64,
    pub evidence: f64,
    /// The shortest mean time of its kind, in seconds.
    pub quickest: f64,
}

impl CapacitySnapshot {
    pub fn sound(&self) -> bool {
        self.capacity.is_finite()
            && self.evidence.is_finite()
            && self.evidence >= 0.0
            && self.quickest > 0.0
    }
}

impl Balancer {
    /// Of warm nodes of which something is known.
    pub fn capacity_snapshots(&self) -> impl Iterator<Item = CapacitySnapshot> + '_ {
        let warm = self
            .nodes
            .iter()
            .filter(|(_, node)| node.life == Life::Warm && node.evidence > 0.0);
        warm.filter_map(|(id, node)| {
            let (capacity, quickest) = (node.capacity.get()?, *self.quickest.get(&node.kind)?);
            Some(CapacitySnapshot {
                node: *id,
                capacity,
                evidence: node.evidence,
                quickest,
            })
        })
    }
}

/// How busy the fleet is as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Busy {
    Calm,
    Usual,
    Strained,
}

#[derive(Clone, Debug)]
pub struct Admission {
    /// Share let in by table and operation.
    pub let_in: BTreeMap<(TableId, OperationId), f64>,
    /// What the design's last resort takes off a table while a step has no room.
    pub cut: Option<(TableId, f64)>,
    pub ease: f64,
    pub eased: Moment,
    pub busy: Busy,
    /// When the fleet was last anything but calm.
    pub excited: Moment,
}

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
        self.0 = Some(
            self.0
                .map_or(sample, |old| old * keep + sample * (1.0 - keep)),
        );
    }

    pub fn get(&self) -> Option<f64> {
        self.0
    }

    pub fn at(value: f64) -> Smooth {
        Smooth(Some(value))
    }
}

/// A rate by sums that come only when there is something to tell: time that none covers was silence, up
/// to when others were heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    rate: Smooth,
    until: Option<Moment>,
}

impl Flow {
    pub fn at(rate: f64) -> Flow {
        Flow {
            rate: Smooth::at(rate),
            until: None,
        }
    }

    pub fn feed(&mut self, count: f64, over: Span, memory: Span, now: Moment, heard: Moment) {
        if let Some(until) = self.until {
            self.rate
                .feed(0.0, (now - until - over).min(heard - until), memory);
        }
        self.rate.feed(count / over.seconds(), over, memory);
        self.until = Some(now);
    }

    pub fn get(&self) -> Option<f64> {
        self.rate.get()
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
    /// Invocations that it says wait there.
    pub queue: Smooth,
    pub sojourn: Smooth,
    /// Logarithm of the invocations a second that it can do.
    pub capacity: Smooth,
    pub evidence: f64,
    pub carried: f64,
    /// The most that lately succeeded there, a second; fades.
    pub peak: f64,
    pub news: Span,
    /// Sums not yet learnt from.
    pub fresh: Work,
}

impl Node {
    pub fn new(entry: &EndpointEntry, now: Moment) -> Node {
        Node {
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            weight: 1.0,
            started: entry.started,
            life: Life::Unlisted,
            told: now,
            utilization: Smooth::default(),
            queue: Smooth::default(),
            sojourn: Smooth::default(),
            capacity: Smooth::default(),
            evidence: 0.0,
            carried: 0.0,
            peak: 0.0,
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
    pub rate: Flow,
    pub succeeded: Flow,
    pub heard: Moment,
    pub sums: Ring<Work>,
}

impl Path {
    pub fn new(now: Moment, sums: Ring<Work>) -> Path {
        let (rate, succeeded) = Default::default();
        Path {
            standing: Standing::Clear,
            since: now,
            hold: Span::ZERO,
            rate,
            succeeded,
            heard: now,
            sums,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub zone: ZoneId,
    pub joined: bool,
    pub bound: bool,
    pub since: Moment,
    pub demand: BTreeMap<OperationId, Flow>,
    /// Messages written to it.
    pub written: Ring<f64>,
}

#[derive(Clone, Debug, Default)]
pub struct Table {
    pub zone: ZoneId,
    pub stays: bool,
    /// Which part of the zone's proxies uses it, of how many; 0 while undivided and unknown.
    pub part: u16,
    pub parts: u16,
    pub operations: Vec<OperationId>,
    pub lines: BTreeMap<NodeId, f64>,
    pub levels: BTreeMap<OperationId, (f64, RetryPolicy)>,
}

impl Table {
    /// One table a zone, or two where some operations stay in their zone and some don't.
    pub fn all(operations: &[Operation], zones: u16) -> BTreeMap<TableId, Table> {
        let mut tables = BTreeMap::new();
        for (zone, stays) in (0..zones).flat_map(|zone| [(zone, false), (zone, true)]) {
            let own: Vec<OperationId> = operations
                .iter()
                .filter(|operation| operation.stays == stays)
                .map(|o| o.id)
                .collect();
            if !own.is_empty() {
                let table = Table {
                    zone: ZoneId(zone),
                    stays,
                    operations: own,
                    ..Table::default()
                };
                tables.insert(TableId(2 * zone + u16::from(stays)), table);
            }
        }
        tables
    }

    pub fn serves(&self, id: ProxyId, proxy: &Proxy) -> bool {
        proxy.zone == self.zone && id.0 % self.parts.max(1) == self.part
    }
}

#[derive(Clone, Debug, Default)]
pub struct PeerView {
    pub heard: Moment,
    pub proxies: f64,
    pub demand: BTreeMap<(ZoneId, bool), f64>,
    pub rates: BTreeMap<NodeId, (f64, Moment)>,
}

impl PeerView {
    /// A note between conductors: proxies joined, what is asked for by sort of table, what nodes serve.
    pub fn write(proxies: usize, demand: &[f64], rates: &[(NodeId, f64)]) -> Vec<u8> {
        let mut bytes = (proxies.min(65535) as u16).to_le_bytes().to_vec();
        bytes.extend(demand.iter().flat_map(|rate| (*rate as f32).to_le_bytes()));
        for (id, rate) in rates {
            bytes.extend(id.address);
            bytes.extend(id.port.to_le_bytes());
            bytes.extend(((rate * 64.0).min(65535.0) as u16).to_le_bytes());
        }
        bytes
    }

    /// Takes in a note; what it doesn't speak of stands as it was told before.
    pub fn read(&mut self, bytes: &[u8], sorts: &[(ZoneId, bool)], now: Moment) -> Option<()> {
        let head = 2 + 4 * sorts.len();
        if bytes.len() < head || !(bytes.len() - head).is_multiple_of(8) {
            return None;
        }
        (self.heard, self.proxies) = (now, f64::from(u16::from_le_bytes([bytes[0], bytes[1]])));
        for (sort, four) in sorts.iter().zip(bytes[2..].chunks_exact(4)) {
            let demand = f64::from(f32::from_le_bytes(four.try_into().ok()?));
            if demand.is_finite() && demand >= 0.0 {
                self.demand.insert(*sort, demand);
            }
        }
        for line in bytes[head..].chunks_exact(8) {
            let (address, port) = (
                line[..4].try_into().ok()?,
                u16::from_le_bytes([line[4], line[5]]),
            );
            let rate = f64::from(u16::from_le_bytes([line[6], line[7]])) / 64.0;
            self.rates.insert(NodeId { address, port }, (rate, now));
        }
        Some(())
    }
}

/// One reply's orders on their way: how many lines, and who has not answered.
#[derive(Clone, Debug)]
pub struct Sent {
    pub mark: MarkerId,
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
    pub last_orders: Option<Moment>,
    /// When lines or levels were last written to proxies that were bound before.
    pub last_lines: Option<Moment>,
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

impl Operation {
    pub fn read(facts: &Settings, at: u8) -> Result<Operation, String> {
        let name = |part: &str| format!("operation.{at}.{part}");
        Ok(Operation {
            id: OperationId(at),
            objective: Span::from_seconds(facts.number(&name("latency_objective"))?),
            timeout: Span::from_seconds(facts.number(&name("integration_timeout"))?),
            value: facts.number_or(&name("billed_value"), 1.0),
            effect: match facts.text(&name("repeat"))? {
                "idempotent" => Repeat::Idempotent,
                "fingerprinted" => Repeat::Fingerprinted,
                _ => Repeat::SideEffecting,
            },
            group: facts.text(&name("repeat_group")).unwrap_or("").to_string(),
            window: Span::from_seconds(facts.number_or(&name("repeat_window"), 0.0)),
            stays: facts.flag_or(&name("stays_in_zone"), false),
        })
    }
}
