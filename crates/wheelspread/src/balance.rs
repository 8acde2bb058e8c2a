//! Every decision of wheelspread. Call `Balancer::start` with the settings, `hear` for each event of
//! a moment and `settle` once at the end of that moment: it writes the orders that are due. Events
//! and actions are in `interface.rs`, what is remembered in `state.rs`, settings in `facts.rs`.
//!
//! The design (docs/design.md) decides the ordinary path: `targets` says where traffic should go,
//! `plan` orders the way there so that no node gets more than its room while tables change.
//! Six mechanisms stand beside it:
//! 1. speed estimate: `learn`, `able`      4. overload admission: `admission`
//! 2. node health: `judge`, STANDING       5. channel ledger: `may_write`, `outstanding`
//! 3. cold guard: `cold_limit`, `urgent`   6. joining and restart recovery: `join`, `start`

use crate::facts::{Fact, Facts};
use crate::ids::*;
use crate::interface::*;
use crate::pcg::Pcg;
use crate::ring::Ring;
use crate::state::*;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// What the list and the clock can say of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    Steady,
    Fresh,
    Drains,
    Dropped,
    Warmed,
}

/// What follows for the tables: at the next step, or at once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    Nothing,
    Admit,
    Chill,
    Remove,
}

const LIFE: &[(Life, Told, Life, Then)] = &[
    (Life::Unlisted, Told::Steady, Life::Warm, Then::Admit),
    (Life::Unlisted, Told::Fresh, Life::Cold, Then::Chill),
    (Life::Unlisted, Told::Drains, Life::Draining, Then::Remove),
    (Life::Cold, Told::Fresh, Life::Cold, Then::Chill),
    (Life::Cold, Told::Warmed, Life::Warm, Then::Nothing),
    (Life::Cold, Told::Drains, Life::Draining, Then::Remove),
    (Life::Cold, Told::Dropped, Life::Unlisted, Then::Remove),
    (Life::Warm, Told::Fresh, Life::Cold, Then::Chill),
    (Life::Warm, Told::Drains, Life::Draining, Then::Remove),
    (Life::Warm, Told::Dropped, Life::Unlisted, Then::Remove),
    (Life::Draining, Told::Steady, Life::Warm, Then::Admit),
    (Life::Draining, Told::Fresh, Life::Cold, Then::Chill),
    (Life::Draining, Told::Dropped, Life::Unlisted, Then::Remove),
];

/// What a zone's proxies met at a node, and what follows for the node in that zone's tables.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Met {
    Failing,
    Working,
    HeldLong,
}

const STANDING: &[(Standing, Met, Standing, HoldFor)] = &[
    (Standing::Clear, Met::Failing, Standing::Out, HoldFor::First),
    (Standing::Out, Met::HeldLong, Standing::Trial, HoldFor::Same),
    (Standing::Trial, Met::Failing, Standing::Out, HoldFor::Longer),
    (Standing::Trial, Met::Working, Standing::Clear, HoldFor::Same),
];

#[derive(Clone, Copy, Debug, PartialEq)]
enum HoldFor {
    First,
    Same,
    Longer,
}

/// Retry orders: repeat kind, whether repeats meet the same guard, strained; the order.
const RETRY: &[(Repeat, bool, bool, Retry)] = &[
    (Repeat::Idempotent, true, false, Retry::OnceAfterAnyFailure),
    (Repeat::Fingerprinted, true, false, Retry::OnceAfterAnyFailure),
    (Repeat::Fingerprinted, false, false, Retry::AfterProofItNeverRan),
    (Repeat::SideEffecting, false, false, Retry::AfterProofItNeverRan),
];

const NEEDED: &[&str] = &[
    "conductor.number",
    "conductor.count",
    "zone.count",
    "operation.count",
    "channel.lines_waiting_at_most",
    "channel.lines_per_second",
    "channel.head_lines",
    "channel.delay_at_most",
    "proxy.count",
    "sums.period",
    "rules.without_node_at_most",
    "rules.drain_grace",
    "rules.cold_overload_factor",
    "rules.cold_start_share",
    "rules.warm_after",
];

// Ratios, each to the figure its comment names.
const ROOM_START: f64 = 1.5; // to a node's part of traffic (design)
const ROOM_FRESH: f64 = 0.5; // to the same, for a cold node (design)
const ROOM_RISE: f64 = 1.25; // to the most carried while latency held: how far a step may go beyond it
const ACK_SHARE: f64 = 0.9; // of the proxies asked (design)
const STEP_WAIT: f64 = 1.0; // seconds at most for those acks (design)
const LINE_MOVES: f64 = 0.06; // to a line's weight: smaller changes are not sent
const STEP_STARTS: f64 = 0.12; // to a line's weight: a change that starts a step by itself
const MEMORY: f64 = 6.0; // to the sums' period: how long measures are remembered
const PRIOR: f64 = 3.0; // to the sums' period: what the kind's mean counts beside a node's own sums
const LEARN: f64 = 0.12; // of the distance to the fleet's time, each period
const ERROR_COST: f64 = 2.0; // to the latency objective: what an errored try counts as
const EVIDENCE: f64 = 5.0; // invocations: as many weigh as one full period
const USUAL_LOAD: f64 = 0.6; // of capacity, assumed before anything is heard
const COMFORT: f64 = 0.5; // of a zone's capacity: below it traffic stays at home
const COMFORT_PRICE: f64 = 3.0; // to the price of crossing zones: how much later it leaves
const PROVEN: f64 = 0.95; // of the most a node was lately seen to serve: it can do that again
const FULL: f64 = 0.88; // of capacity: what admission aims at under overload
const STRAINED: f64 = 0.85; // of capacity: measured load above which admission may cut
const LEAST_LEVEL: f64 = 0.3; // of an operation's traffic, before the next operation is cut
const COLD_GUARD: f64 = 0.5; // to the load over a whole window that would push a cold node over
const FAILING: f64 = 0.45; // of tries, beyond twice what others meet
const FEWEST_ERRORS: f64 = 3.0; // tries: fewer prove nothing
const TRIAL_PART: f64 = 0.2; // to a node's usual weight
const HOLD: f64 = 4.0; // to the sums' period plus the channel's longest delay
const OUT_AT_MOST: f64 = 0.34; // of a zone's nodes: with more failing, no single node is to blame
const STEP_WRITES: f64 = 0.4; // of the messages allowed to a proxy
const LEVEL_WRITES: f64 = 0.2; // the same, for admission
const LEVEL_RISE: f64 = 0.05; // of an operation's traffic, each time levels are set
const EASE_WAITS: f64 = 3.0; // sums' periods between two cuts that errors call for
const ERRING: f64 = 0.15; // of all tries: with more, the fleet is overrun whatever else is measured
const DRAIN_WRITES: f64 = 0.95; // the same, for what can't wait
const STEP_LINES: f64 = 0.1; // of the lines that may wait in the channel
const JOIN_LINES: f64 = 0.7; // the same, for joins
const WEIGHT_SUM: f64 = 100.0; // of a table that is written for the first time

pub struct Balancer {
    facts: Facts,
    random: Pcg,
    now: Moment,
    operations: Vec<Operation>,
    nodes: BTreeMap<NodeId, Node>,
    paths: BTreeMap<(ZoneId, NodeId), Path>,
    proxies: BTreeMap<ProxyId, Proxy>,
    tables: BTreeMap<TableId, Table>,
    peers: BTreeMap<PeerId, PeerView>,
    channel: Channel,
    joins: BTreeSet<ProxyId>,
    cut: Option<(TableId, f64)>,
    let_in: BTreeMap<(TableId, OperationId), f64>,
    ease: f64,
    eased: Moment,
    quickest: BTreeMap<KindId, f64>,
    strained: bool,
    heard: Moment,
    moved: bool,
    learnt: bool,
    started: bool,
    told_peers: Moment,
    ticks: u64,
    next_tick: Moment,
}

type Shares = BTreeMap<NodeId, f64>;
type Orders = BTreeMap<TableId, Shares>;

impl Balancer {
    pub fn start(now: Moment, seed: u64, facts: Facts) -> Result<Balancer, String> {
        for name in NEEDED {
            facts.number(name)?;
        }
        let mut operations = Vec::new();
        for at in 0..facts.number("operation.count")?.clamp(0.0, 16.0) as u8 {
            let name = |part: &str| format!("operation.{at}.{part}");
            operations.push(Operation {
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
            });
        }
        let mut tables = BTreeMap::new();
        for zone in 0..facts.number("zone.count")?.clamp(0.0, 1e4) as u16 {
            for stays in [false, true] {
                let own = operations.iter().filter(|o| o.stays == stays).map(|o| o.id).collect::<Vec<_>>();
                let table = Table { zone: ZoneId(zone), stays, operations: own, ..Table::default() };
                if !table.operations.is_empty() {
                    tables.insert(TableId(2 * zone + u16::from(stays)), table);
                }
            }
        }
        let (nodes, paths, proxies) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Ok(Balancer {
            random: Pcg::new(seed),
            operations,
            nodes,
            paths,
            proxies,
            tables,
            facts,
            now,
            peers: BTreeMap::new(),
            channel: Channel::default(),
            joins: BTreeSet::new(),
            cut: None,
            let_in: BTreeMap::new(),
            ease: 1.0,
            eased: now,
            quickest: BTreeMap::new(),
            strained: false,
            heard: now,
            moved: true,
            learnt: false,
            started: false,
            told_peers: now,
            ticks: 0,
            next_tick: now,
        })
    }

    fn fact(&self, name: &str) -> f64 {
        self.facts.number_or(name, 0.0)
    }

    fn period(&self) -> Span {
        Span::from_seconds(self.fact("sums.period").clamp(0.05, 60.0))
    }

    // ---- what is heard ----

    pub fn hear(&mut self, now: Moment, event: &Event) -> Result<(), String> {
        self.now = now;
        match event {
            Event::List { kind, entries } => {
                for entry in entries {
                    self.listed(entry);
                }
                if matches!(kind, ListKind::Cached | ListKind::Complete) {
                    let named: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
                    let dropped: Vec<_> = self.nodes.keys().filter(|n| !named.contains(n)).copied().collect();
                    dropped.into_iter().for_each(|id| self.tell(id, Told::Dropped));
                }
            }
            Event::ProxyJoined { proxy, zone, usual_rate, .. } => self.joined(*proxy, *zone, *usual_rate),
            Event::ProxyLeft { proxy } => {
                let known = self.proxies.get_mut(proxy).ok_or(format!("{proxy:?} left but never joined"))?;
                (known.joined, known.bound, known.since) = (false, false, now);
                self.joins.remove(proxy);
                self.channel.sent.iter_mut().for_each(|sent| sent.waiting.retain(|p| p != proxy));
            }
            Event::NodeSums { zone, node, tries, errored, latency, over, load } => {
                let seconds = over.seconds();
                if !(seconds > 0.0 && seconds < 600.0 && *errored <= *tries) {
                    return Err(format!("sums over {seconds} s with {errored} of {tries} errored"));
                }
                self.node_sums(
                    *zone,
                    *node,
                    Work { tries: *tries, errored: *errored, seconds: 0.0 },
                    *latency,
                    *over,
                    load,
                )?;
            }
            Event::Offered { proxy, operation, count, over, .. } => {
                let memory = self.period() * (MEMORY / 3.0);
                let known = self.proxies.get_mut(proxy).ok_or(format!("load of unknown {proxy:?}"))?;
                if !(over.seconds() > 0.0 && over.seconds() < 600.0) {
                    return Err(format!("load counted over {} s", over.seconds()));
                }
                let demand = known.demand.entry(*operation).or_default();
                demand.feed(count / over.seconds(), *over, memory);
                self.heard = now;
            }
            Event::Acked { proxy, mark, .. } => {
                let Some(place) = self.channel.sent.iter().position(|sent| sent.mark == *mark) else {
                    return Ok(());
                };
                // The channel is in order: what was sent before this message has left it.
                self.channel.sent[place].waiting.remove(proxy);
                self.channel.sent.iter_mut().take(place).for_each(|sent| sent.lines = 0.0);
            }
            Event::PeerNote { from, bytes } => self.peer_note(*from, bytes)?,
            Event::Probed { node, .. } => {
                self.nodes.get(node).ok_or(format!("probe of unknown {node:?}"))?;
            }
            Event::Timer { .. }
            | Event::SliceOffered { .. }
            | Event::SliceCharge { .. }
            | Event::SliceLine { .. } => {}
        }
        Ok(())
    }

    fn listed(&mut self, entry: &ListEntry) {
        let known = self.nodes.get(&entry.node);
        let young = entry.started.is_some_and(|at| self.now - at < self.warm_after());
        let restarted = known.map_or(young, |node| {
            young && (node.started != entry.started || matches!(node.life, Life::Unlisted | Life::Draining))
        });
        let told = match entry.listing {
            Listing::Gone => Told::Dropped,
            Listing::Draining => Told::Drains,
            Listing::Ready if restarted => Told::Fresh,
            Listing::Ready => Told::Steady,
        };
        let weight = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        let (now, id) = (self.now, entry.node);
        let node = self.nodes.entry(id).or_insert_with(|| Node::new(entry, now));
        (node.zone, node.kind, node.cell, node.weight) = (entry.zone, entry.kind, entry.cell, weight);
        if entry.listing == Listing::Ready {
            node.started = entry.started;
        }
        self.tell(id, told);
    }

    fn tell(&mut self, id: NodeId, told: Told) {
        let Some(node) = self.nodes.get_mut(&id) else { return };
        let Some(row) = LIFE.iter().find(|row| row.0 == node.life && row.1 == told) else { return };
        (node.life, node.told, self.moved) = (row.2, self.now, true);
        if row.3 == Then::Chill {
            // A process that started anew is another one: nothing measured before speaks of it.
            (node.capacity, node.utilization, node.sojourn) = Default::default();
            (node.evidence, node.carried, node.peak) = (0.0, 0.0, 0.0);
        }
        if row.3 != Then::Nothing {
            self.paths.retain(|key, _| key.1 != id);
        }
    }

    fn joined(&mut self, id: ProxyId, zone: ZoneId, usual_rate: f64) {
        let window = self.fact("channel.messages_window").max(1.0);
        let proxy = self.proxies.entry(id).or_insert_with(|| Proxy {
            zone,
            joined: true,
            bound: false,
            since: self.now,
            demand: BTreeMap::new(),
            written: Ring::new(Span::from_seconds(window / 20.0), 22),
        });
        (proxy.zone, proxy.joined, proxy.bound, proxy.since) = (zone, true, false, self.now);
        proxy.written = Ring::new(Span::from_seconds(window / 20.0), 22);
        if proxy.demand.is_empty() && usual_rate.is_finite() && usual_rate > 0.0 {
            let part = usual_rate / self.operations.len().max(1) as f64;
            for operation in &self.operations {
                proxy.demand.entry(operation.id).or_default().set(Some(part));
            }
        }
        self.joins.insert(id);
    }

    fn path(&mut self, zone: ZoneId, node: NodeId) -> &mut Path {
        let (now, width) = (self.now, self.period());
        self.paths.entry((zone, node)).or_insert_with(|| Path {
            standing: Standing::Clear,
            since: now,
            hold: Span::ZERO,
            rate: Smooth::default(),
            served: Smooth::default(),
            heard: now,
            sums: Ring::new(width, 8),
        })
    }

    fn node_sums(
        &mut self,
        zone: ZoneId,
        id: NodeId,
        work: Work,
        latency: Span,
        over: Span,
        load: &[f64],
    ) -> Result<(), String> {
        let (now, period) = (self.now, self.period());
        let memory = period * MEMORY;
        let fields: Vec<String> = (0..load.len())
            .map(|at| self.facts.text(&format!("report.field.{at}")).unwrap_or("").to_string())
            .collect();
        let node = self.nodes.get_mut(&id).ok_or(format!("sums of unknown {id:?}"))?;
        let served = work.tries - work.errored;
        if served > 0.0 && latency > Span::ZERO {
            let covers = over * (served / (served + 2.0));
            node.sojourn.feed(latency.seconds(), covers, memory * 0.5);
        }
        for (field, value) in fields.iter().zip(load).filter(|(_, value)| value.is_finite() && **value >= 0.0)
        {
            if field == "utilization" {
                node.utilization.feed(value.min(1.0), over, memory * 0.5);
            }
        }
        (node.heard, node.news) = (Some(now), node.news.max(over));
        node.fresh.tries += work.tries;
        node.fresh.errored += work.errored;
        node.fresh.seconds += served * latency.seconds().clamp(0.0, 60.0);
        let path = self.path(zone, id);
        path.rate.feed(work.tries / over.seconds(), over, memory);
        path.served.feed(served / over.seconds(), over, memory);
        path.heard = now;
        // Evidence is as old as its period: sums from before a trial began say nothing of it.
        let from = now - over - period * 0.5;
        if path.standing != Standing::Trial || from > path.since {
            path.sums.add(now, work);
        }
        (self.heard, self.learnt) = (now, false);
        Ok(())
    }

    // ---- mechanism 1: how much a node can do ----

    fn warm_after(&self) -> Span {
        Span::from_seconds(self.fact("rules.warm_after"))
    }

    fn open(&self, id: NodeId) -> bool {
        self.nodes.get(&id).is_some_and(|node| matches!(node.life, Life::Cold | Life::Warm))
    }

    /// How busy a node is, of 1. Where reports don't say, from how much longer its invocations take
    /// than those of its kind did at their quickest (the shape is that of a queue before a few cores).
    /// Queue lengths and service times don't serve here: they stay at nothing until it is too late.
    fn pressure(&self, node: &Node) -> Option<f64> {
        node.utilization.get().or_else(|| {
            let quickest = *self.quickest.get(&node.kind)?;
            let wait = (node.sojourn.get()? / quickest - 1.0).max(0.0) + 0.12;
            let y = 3.4 * wait.powf(0.65);
            Some(y / (1.0 + y))
        })
    }

    /// The shortest mean time each kind has shown; forgotten slowly, as what all depend on may change.
    fn note_quickest(&mut self) {
        let kinds: BTreeSet<KindId> = self.nodes.values().map(|node| node.kind).collect();
        for kind in kinds {
            let warm = self.nodes.values().filter(|node| node.kind == kind && node.life == Life::Warm);
            let known = warm.filter(|node| node.evidence >= PRIOR).filter_map(|node| node.sojourn.get());
            let mut known: Vec<f64> = known.collect();
            known.sort_by(f64::total_cmp);
            if let Some(middle) = known.get(known.len() / 2) {
                let least = self.quickest.entry(kind).or_insert(*middle);
                *least = (*least * 1.003).min(*middle);
            }
        }
    }

    fn rate_at(&self, id: NodeId) -> f64 {
        let stale = self.heard - self.period() * 3.0;
        let own: f64 = self
            .paths
            .iter()
            .filter(|(key, path)| key.1 == id && path.heard >= stale)
            .filter_map(|(_, path)| path.served.get())
            .sum();
        own + self.told_by_peers(id)
    }

    fn told_by_peers(&self, id: NodeId) -> f64 {
        self.peers.values().filter(|p| self.peer_fresh(p)).filter_map(|p| p.rates.get(&id)).sum()
    }

    fn peer_fresh(&self, peer: &PeerView) -> bool {
        self.now - peer.heard < self.period() * 12.0
    }

    /// Reads new sums into the estimates. While a good part of the proxies is unheard the sums don't
    /// show what a node really gets, so they teach nothing.
    fn learn(&mut self) {
        if self.learnt || self.unheard() > 0.15 {
            return;
        }
        self.learnt = true;
        self.note_quickest();
        let memory = self.period() * MEMORY;
        let objective = self.objective();
        let fade = (-self.period().seconds() / (memory.seconds() * 2.0)).exp();
        let ids: Vec<NodeId> = self.nodes.keys().copied().filter(|id| self.open(*id)).collect();
        let slow = objective.seconds() * ERROR_COST;
        let each: BTreeMap<NodeId, (f64, f64)> = ids
            .iter()
            .filter_map(|id| {
                let node = &self.nodes[id];
                let base = self.quickest.get(&node.kind).copied().unwrap_or(objective.seconds()).sqrt();
                let time = (node.fresh.seconds + node.fresh.errored * slow) / node.fresh.tries;
                (node.fresh.tries > 0.0 && time > 0.0).then(|| (*id, (node.fresh.tries, (time / base).ln())))
            })
            .collect();
        let tries: f64 = each.values().map(|(tries, _)| tries).sum();
        let usual = each.values().map(|(tries, time)| tries * time).sum::<f64>() / tries.max(1.0);
        for id in &ids {
            let (rate, pressure) = (self.rate_at(*id), self.pressure(&self.nodes[id]));
            let prior = (self.full(&self.nodes[id]) * self.warmth(&self.nodes[id])).max(1e-3).ln();
            let Some(node) = self.nodes.get_mut(id) else { continue };
            node.evidence *= fade;
            node.peak = (node.peak * fade.powf(0.5)).max(rate);
            let (news, fresh) = (std::mem::take(&mut node.news), std::mem::take(&mut node.fresh));
            if fresh.tries <= 0.0 {
                continue;
            }
            // Little evidence weighs little, and old evidence fades, so a node that gets next to nothing
            // because it was slow once is tried again.
            let weight = fresh.tries / (fresh.tries + EVIDENCE);
            node.evidence += 2.0 * weight;
            let erring = fresh.errored / fresh.tries;
            match (node.utilization.get().and(pressure), each.get(id)) {
                // A node that turns many tries away shows its queue, not its speed.
                (Some(p), _) if p > 0.1 && rate > 0.0 && erring < 0.25 => {
                    node.capacity.feed((rate / p).ln(), news * (2.0 * weight).min(1.0), memory);
                }
                (None, Some((_, time))) => {
                    let old = node.capacity.get().unwrap_or(prior);
                    let step = LEARN * weight * (usual - time).clamp(-1.0, 1.0);
                    node.capacity.set(Some(old + step - 0.02 * (old - prior)));
                }
                _ => {}
            }
            if node.sojourn.get().is_some_and(|sojourn| sojourn < objective.seconds() * 0.5) {
                node.carried = node.carried.max(rate);
            }
        }
        self.scale();
    }

    /// Without utilization a node's figure only compares it with the others; all of them together are
    /// held against what the fleet serves and how much longer that takes than at its quickest.
    fn scale(&mut self) {
        let plain =
            |node: &Node| node.utilization.get().is_none() && matches!(node.life, Life::Cold | Life::Warm);
        let (mut rates, mut busy, mut sum) = (0.0, 0.0, 0.0);
        for (id, node) in self.nodes.iter().filter(|(_, node)| plain(node)) {
            if let (Some(pressure), Some(capacity)) = (self.pressure(node), node.capacity.get()) {
                let rate = self.rate_at(*id);
                (rates, busy, sum) = (rates + rate, busy + rate * pressure, sum + capacity.exp());
            }
        }
        if rates > 0.0 && busy > 0.0 {
            let shift = 0.2 * (rates * rates / busy / sum).ln().clamp(-1.0, 1.0);
            for node in self.nodes.values_mut().filter(|node| plain(node)) {
                let moved = node.capacity.get().map(|capacity| capacity + shift);
                node.capacity.set(moved);
            }
        }
    }

    fn objective(&self) -> Span {
        self.operations.iter().map(|o| o.objective).min().unwrap_or(Span::from_seconds(1.0))
    }

    /// Invocations a second for each unit of listed weight: the mean of the kind, or of the fleet.
    fn by_weight(&self, kind: Option<KindId>) -> Option<f64> {
        let (mut sum, mut weights) = (0.0, 0.0);
        for node in self.nodes.values().filter(|node| kind.is_none_or(|kind| node.kind == kind)) {
            if let Some(capacity) =
                node.capacity.get().filter(|_| node.life == Life::Warm && node.evidence > PRIOR)
            {
                sum += capacity.exp();
                weights += node.weight;
            }
        }
        (weights > 0.0).then(|| sum / weights)
    }

    /// What a warm node of this kind and listed weight does.
    fn full(&self, node: &Node) -> f64 {
        let guess = || {
            let weights: f64 =
                self.nodes.values().filter(|n| n.life != Life::Unlisted).map(|n| n.weight).sum();
            self.demand_total().max(1.0) / USUAL_LOAD / weights.max(1e-6)
        };
        let each = self.by_weight(Some(node.kind)).or_else(|| self.by_weight(None)).unwrap_or_else(guess);
        node.weight * each
    }

    /// The least share of its capacity that a node has by now.
    fn warmth(&self, node: &Node) -> f64 {
        let (Life::Cold, Some(started)) = (node.life, node.started) else { return 1.0 };
        let start = self.fact("rules.cold_start_share").clamp(0.01, 1.0);
        let age = (self.now - started).seconds().max(0.0) / self.warm_after().seconds().max(1e-3);
        start + (1.0 - start) * age.min(1.0)
    }

    /// Invocations a second that a node can do now.
    fn able(&self, id: NodeId) -> f64 {
        let Some(node) = self.nodes.get(&id) else { return 0.0 };
        let prior = (self.full(node) * self.warmth(node)).max(1e-3);
        let own = node.capacity.get().unwrap_or(prior.ln());
        let mixed = (own * node.evidence + prior.ln() * PRIOR) / (node.evidence + PRIOR);
        let able = mixed.exp().clamp(prior * 0.1, prior * 10.0);
        if node.life == Life::Cold {
            able.min(self.cold_limit(node))
        } else {
            able
        }
    }

    // ---- mechanism 2: node health ----

    /// Takes a node out of a zone's tables when it errs far more than the others do there, whatever
    /// the cause (silent, failing fast, cut off from this zone only, full). When many nodes err alike
    /// none is to blame and none is taken out. Harm: a node that is merely overloaded leaves its load
    /// to the others, which the bound on nodes out keeps small.
    fn judge(&mut self) {
        let (now, period) = (self.now, self.period());
        let first = (period + Span::from_seconds(self.fact("channel.delay_at_most"))) * HOLD;
        let mut all = BTreeMap::<ZoneId, Work>::new();
        for (key, path) in &self.paths {
            *all.entry(key.0).or_default() += path.sums.last(now, 5);
        }
        let keys: Vec<_> = self.paths.keys().copied().collect();
        for key in keys {
            let nodes = self.nodes.iter().filter(|(id, _)| self.open(**id)).count() as f64;
            let out = self.paths.iter().filter(|(k, p)| k.0 == key.0 && p.standing == Standing::Out).count();
            let path = &self.paths[&key];
            let (recent, zone) = (path.sums.last(now, 5), all[&key.0]);
            let others = (zone.errored - recent.errored) / (zone.tries - recent.tries).max(1.0);
            let bar = FAILING + 2.0 * others;
            // Slow answers and errors together are a node with too much to do: its weight falls instead.
            let slow = self.nodes.get(&key.1).and_then(|node| node.sojourn.get());
            let overrun = slow.is_some_and(|time| time > self.objective().seconds() * 0.7);
            let overrun = overrun && recent.tries - recent.errored >= FEWEST_ERRORS;
            let failing = recent.errored >= FEWEST_ERRORS && recent.errored > recent.tries * bar && !overrun;
            let met = match path.standing {
                Standing::Clear if failing && ((out + 1) as f64) < nodes * OUT_AT_MOST => Met::Failing,
                Standing::Out if now - path.since > path.hold => Met::HeldLong,
                Standing::Trial if recent.errored >= 2.0 && recent.errored > recent.tries * bar => {
                    Met::Failing
                }
                Standing::Trial if recent.tries - recent.errored >= FEWEST_ERRORS => Met::Working,
                _ => continue,
            };
            let jitter = 0.9 + 0.2 * self.random.unit();
            if let Some(row) = STANDING.iter().find(|row| row.0 == self.paths[&key].standing && row.1 == met)
            {
                let path = self.path(key.0, key.1);
                (path.standing, path.since) = (row.2, now);
                path.sums = Ring::new(period, 8);
                path.hold = match row.3 {
                    HoldFor::First => first * jitter,
                    HoldFor::Same => path.hold,
                    HoldFor::Longer => (path.hold * 1.5).min(first * 4.0),
                };
                self.moved = true;
            }
        }
    }

    fn usable(&self, zone: ZoneId, id: NodeId) -> f64 {
        let Some(path) = self.paths.get(&(zone, id)) else { return 1.0 };
        let recent = path.sums.last(self.now, 5);
        let erring = (recent.errored - 1.0).max(0.0) / (recent.tries + 2.0);
        match path.standing {
            // What errs in part gets less: too little to be taken out may still be too much to keep.
            Standing::Clear => (1.0 - erring).powi(2).max(0.05),
            Standing::Trial => TRIAL_PART,
            Standing::Out => 0.0,
        }
    }

    // ---- mechanism 3: cold guard ----

    /// The most that all proxies together may bring a cold node, far enough under what pushes it over
    /// that bursts, retries and handshakes still fit. It goes by what warm nodes of its kind are seen to
    /// serve, never by an estimate of what they could. Also covers a fleet that is mostly cold.
    fn cold_limit(&self, node: &Node) -> f64 {
        let proven = |kind: Option<KindId>| {
            let like = self.nodes.iter().filter(|(_, n)| kind.is_none_or(|kind| n.kind == kind));
            let warm = like.filter(|(_, n)| n.life == Life::Warm && n.peak > 0.0);
            let (sum, weights) = warm.fold((0.0, 0.0), |sum, (_, n)| (sum.0 + n.peak, sum.1 + n.weight));
            (weights > 0.0).then(|| sum / weights)
        };
        let each = proven(Some(node.kind)).or_else(|| proven(None));
        let full = each.map_or(self.full(node) * USUAL_LOAD, |each| each * node.weight);
        COLD_GUARD * self.fact("rules.cold_overload_factor") * self.warmth(node) * full.min(self.full(node))
    }

    // ---- load ----

    fn demand(&self, proxy: &Proxy, operations: &[OperationId]) -> f64 {
        operations.iter().filter_map(|o| proxy.demand.get(o).and_then(Smooth::get)).sum()
    }

    fn demand_total(&self) -> f64 {
        let all: Vec<_> = self.operations.iter().map(|o| o.id).collect();
        self.proxies.values().map(|proxy| self.demand(proxy, &all)).sum()
    }

    /// Share of what is known to come that comes to proxies out of reach.
    fn unheard(&self) -> f64 {
        let all: Vec<_> = self.operations.iter().map(|o| o.id).collect();
        let gone = self.proxies.values().filter(|p| !p.joined).map(|p| self.demand(p, &all)).sum::<f64>();
        if self.fact("conductor.count") > 1.0 {
            return 0.0;
        }
        gone / self.demand_total().max(1e-6)
    }

    /// What the joined proxies of a table let in, a second.
    fn traffic(&self, table: &Table) -> f64 {
        let joined = self.proxies.values().filter(|p| p.joined && p.zone == table.zone);
        let level = |o: &OperationId| table.levels.get(o).map_or(1.0, |level| level.0.min(1.0));
        let share = self.level_is_share();
        joined
            .flat_map(|p| table.operations.iter().map(move |o| (p, o)))
            .filter_map(|(p, o)| {
                let demand = p.demand.get(o)?.get()?;
                let quota = table.levels.get(o).map_or(f64::INFINITY, |level| level.0);
                Some(if share { demand * level(o) } else { demand.min(quota) })
            })
            .sum()
    }

    fn level_is_share(&self) -> bool {
        self.facts.text("level.form").is_ok_and(|form| form == "share")
    }

    /// How much more than the joined proxies' load there is: unheard proxies and other conductors.
    fn beyond(&self) -> f64 {
        let joined = self.proxies.values().filter(|proxy| proxy.joined).count();
        (self.fact("proxy.count") / joined.max(1) as f64).max(1.0)
    }

    /// Demand by zone and by whether it stays there: own, unheard, and told by peers; where peers say
    /// nothing, what is known stands for all.
    fn zone_demand(&self) -> BTreeMap<(ZoneId, bool), f64> {
        let mut sums = BTreeMap::new();
        for table in self.tables.values() {
            let known = self.proxies.values().filter(|p| p.zone == table.zone);
            let own: f64 = known
                .filter(|p| p.joined || self.fact("conductor.count") <= 1.0)
                .map(|p| self.demand(p, &table.operations))
                .sum();
            let told: f64 = self
                .peers
                .values()
                .filter(|peer| self.peer_fresh(peer))
                .filter_map(|peer| peer.demand.get(&(table.zone, table.stays)))
                .sum();
            sums.insert((table.zone, table.stays), own + told);
        }
        sums
    }

    // ---- targets ----

    /// Shares of each table's traffic by node. Traffic stays in its zone up to a comfortable part of
    /// the zone's capacity, or somewhat above the fleet's part; the rest goes where there is spare.
    fn targets(&self) -> Orders {
        let open: Vec<(NodeId, ZoneId, f64)> = self
            .nodes
            .iter()
            .filter(|(id, _)| self.open(**id))
            .map(|(id, node)| (*id, node.zone, self.able(*id)))
            .collect();
        let demand = self.zone_demand();
        let zones: BTreeSet<ZoneId> =
            open.iter().map(|o| o.1).chain(self.tables.values().map(|t| t.zone)).collect();
        let capacity = |from: ZoneId, at: ZoneId| -> f64 {
            open.iter().filter(|o| o.1 == at).map(|o| o.2 * self.usable(from, o.0)).sum()
        };
        let loads = |zone: ZoneId| -> (f64, f64) {
            let get = |stays| demand.get(&(zone, stays)).copied().unwrap_or(0.0);
            (get(false), get(true))
        };
        let own: BTreeMap<ZoneId, f64> = zones.iter().map(|z| (*z, capacity(*z, *z))).collect();
        let total: f64 = demand.values().sum();
        let part = total / own.values().sum::<f64>().max(1e-6);
        let comfort = (COMFORT + COMFORT_PRICE * self.fact("price.cross_zone")).max(part + 0.05);
        let spare = |zone: ZoneId| {
            let (free, stays) = loads(zone);
            (comfort * own[&zone] - free - stays).max(0.0)
        };
        let mut targets = Orders::new();
        for (id, table) in &self.tables {
            let (free, stays) = loads(table.zone);
            let home = own[&table.zone];
            let mut weights = Shares::new();
            let away = match (table.stays, home > 0.0) {
                (true, _) => 0.0,
                (false, false) => 1.0,
                (false, true) => ((free + stays - comfort * home).max(0.0) / free.max(1e-6)).min(1.0),
            };
            let others: BTreeMap<ZoneId, f64> =
                zones.iter().filter(|z| **z != table.zone).map(|z| (*z, spare(*z))).collect();
            let spares: f64 = others.values().sum();
            let elsewhere: f64 = others.keys().map(|z| capacity(table.zone, *z)).sum();
            let away = if elsewhere <= 0.0 { 0.0 } else { away };
            for (node, zone, able) in &open {
                let able = able * self.usable(table.zone, *node);
                let share = if *zone == table.zone {
                    (1.0 - away) * able / home.max(1e-6)
                } else if spares > 0.0 {
                    away * others[zone] / spares * able / capacity(table.zone, *zone).max(1e-6)
                } else {
                    away * able / elsewhere.max(1e-6)
                };
                if share > 0.002 && !(table.stays && *zone != table.zone) {
                    weights.insert(*node, share);
                }
            }
            if weights.is_empty() {
                // Nobody may be left without a node: with none in good standing, any open one will do.
                let any = open.iter().filter(|o| !table.stays || o.1 == table.zone);
                weights.extend(any.map(|o| (o.0, o.2.max(1e-6))));
            }
            let sum: f64 = weights.values().sum();
            weights.values_mut().for_each(|share| *share /= sum.max(1e-9));
            targets.insert(*id, weights);
        }
        targets
    }

    // ---- the design: the order of updates ----

    fn shares(lines: &Shares) -> Shares {
        let sum: f64 = lines.values().sum();
        lines.iter().map(|(id, weight)| (*id, weight / sum.max(1e-9))).collect()
    }

    /// Room of a node: a part of traffic by listed weight, or the most it carried while latency held.
    fn room(&self, id: NodeId, total: f64, weights: f64) -> f64 {
        let Some(node) = self.nodes.get(&id) else { return 0.0 };
        let fresh = if node.life == Life::Cold { ROOM_FRESH } else { 1.0 };
        let part = total * node.weight / weights.max(1e-6);
        (part * ROOM_START * fresh).max(node.carried * ROOM_RISE)
    }

    /// One step of the way from what is published to `targets`, as the design orders it.
    fn plan(&mut self, targets: &Orders) -> Orders {
        self.cut = None;
        let mut old = Orders::new();
        let mut new = Orders::new();
        for (id, table) in &self.tables {
            let traffic = self.traffic(table).max(1e-3);
            let scaled = |shares: &Shares| shares.iter().map(|(n, s)| (*n, s * traffic)).collect::<Shares>();
            old.insert(*id, scaled(&Self::shares(&table.lines)));
            new.insert(*id, scaled(&targets[id]));
        }
        let at =
            |orders: &Orders, table: TableId, node: NodeId| orders[&table].get(&node).copied().unwrap_or(0.0);
        let moving: Vec<TableId> =
            self.tables.keys().copied().filter(|t| self.worth_a_step(*t, targets)).collect();
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        let (total, weights) = self.open_totals();
        let mut risk = BTreeSet::new();
        let mut spare = Shares::new();
        let mut tight = Shares::new();
        for node in ids {
            let (mut leaving, mut arriving, mut staying) = (0.0, 0.0, self.told_by_peers(node));
            for table in self.tables.keys() {
                let (before, after) = (at(&old, *table, node), at(&new, *table, node));
                leaving += (before - after).max(0.0);
                arriving += (after - before).max(0.0);
                staying += before.min(after);
            }
            let room = self.room(node, total, weights);
            spare.insert(node, room - leaving - staying);
            if leaving + staying <= room && arriving + staying <= room && leaving + arriving + staying > room
            {
                risk.insert(node);
            } else if arriving > 0.0 && arriving + staying > room {
                // A weight that alone overfills room rises in steps within the spare room.
                tight.insert(node, ((room - leaving - staying).max(0.0) / arriving).min(1.0));
            }
        }
        let mut step = new.clone();
        for (table, loads) in &mut step {
            for (node, part) in &tight {
                let before = at(&old, *table, *node);
                if let Some(load) = loads.get_mut(node).filter(|load| **load > before) {
                    *load = before + (*load - before) * part;
                }
            }
        }
        let adds = |table: TableId| -> Vec<(NodeId, f64)> {
            let risky = risk.iter().map(|n| (*n, at(&step, table, *n) - at(&old, table, *n)));
            risky.filter(|(_, more)| *more > 1e-9).collect()
        };
        let waits: BTreeMap<TableId, BTreeSet<TableId>> = moving
            .iter()
            .map(|t| {
                let lifts =
                    |u: &TableId| adds(*t).iter().any(|(n, _)| at(&old, *u, *n) > at(&new, *u, *n) + 1e-9);
                (*t, moving.iter().copied().filter(|u| u != t && lifts(u)).collect())
            })
            .collect();
        let mut publish: BTreeMap<TableId, f64> = BTreeMap::new();
        publish.extend(waits.iter().filter(|(_, on)| on.is_empty()).map(|(t, _)| (*t, 1.0)));
        let mutual: Vec<TableId> = moving.iter().copied().filter(|t| reaches(&waits, *t, *t)).collect();
        let mut whole = false;
        for table in &mutual {
            if adds(*table).iter().all(|(n, more)| *more <= spare[n]) {
                adds(*table).iter().for_each(|(n, more)| *spare.entry(*n).or_default() -= more);
                publish.insert(*table, 1.0);
                whole = true;
            }
        }
        if !whole && !mutual.is_empty() {
            let shift = |t: &TableId| {
                let left: f64 = old[t].iter().map(|(n, load)| (load - at(&step, *t, *n)).max(0.0)).sum();
                let least = adds(*t).iter().map(|(n, _)| spare[n]).fold(f64::INFINITY, f64::min);
                (left.min(least), left)
            };
            let best = mutual.iter().map(|t| (shift(t), *t)).max_by(|a, b| a.0 .0.total_cmp(&b.0 .0));
            if let Some(((able, left), table)) = best {
                if able > left * 0.01 {
                    publish.insert(table, (able / left).min(1.0));
                } else if let Some((node, least)) =
                    adds(table).iter().map(|(n, _)| (*n, spare[n])).min_by(|a, b| a.1.total_cmp(&b.1))
                {
                    // No room at all: the largest on that node's new path gives way, by the shortfall.
                    let largest =
                        self.tables.keys().max_by(|a, b| at(&new, **a, node).total_cmp(&at(&new, **b, node)));
                    let shortfall = 0.1 * left - least;
                    if let Some(largest) = largest {
                        let traffic = self.traffic(&self.tables[largest]).max(1e-6);
                        self.cut = Some((*largest, (1.0 - shortfall / traffic).clamp(0.5, 1.0)));
                    }
                }
            }
        }
        let mut orders = Orders::new();
        for (table, part) in publish {
            let goal: Shares = step[&table]
                .keys()
                .chain(old[&table].keys())
                .map(|n| (*n, at(&old, table, *n) + part * (at(&step, table, *n) - at(&old, table, *n))))
                .collect();
            self.lines_to(table, &Self::shares(&goal), part >= 1.0, &mut orders);
        }
        orders
    }

    fn open_totals(&self) -> (f64, f64) {
        let weights = self.nodes.iter().filter(|(id, _)| self.open(**id)).map(|(_, node)| node.weight).sum();
        (self.zone_demand().values().sum(), weights)
    }

    fn worth_a_step(&self, table: TableId, targets: &Orders) -> bool {
        let now = Self::shares(&self.tables[&table].lines);
        let typical = 1.0 / targets[&table].len().max(1) as f64;
        targets[&table].keys().chain(now.keys()).any(|n| {
            let (a, b) = (now.get(n).copied().unwrap_or(0.0), targets[&table].get(n).copied().unwrap_or(0.0));
            (a - b).abs() > STEP_STARTS * a.max(b).max(0.3 * typical) || (a > 0.0) != (b > 0.0)
        })
    }

    /// Only the lines that change, in the scale of what stands in the table.
    fn lines_to(&self, table: TableId, goal: &Shares, whole: bool, orders: &mut Orders) {
        let lines = &self.tables[&table].lines;
        let sum = if lines.is_empty() { WEIGHT_SUM } else { lines.values().sum::<f64>().clamp(1.0, 1e6) };
        let typical = 1.0 / goal.len().max(1) as f64;
        let changes = orders.entry(table).or_default();
        for (node, share) in goal {
            let (weight, before) = (share * sum, lines.get(node).copied().unwrap_or(0.0));
            let dust = *share <= if whole { 1e-6 } else { 1e-4 };
            if dust && before > 0.0 {
                changes.insert(*node, 0.0);
            } else if !dust
                && (weight - before).abs() > LINE_MOVES * weight.max(before).max(0.3 * typical * sum)
            {
                changes.insert(*node, weight);
            }
        }
    }

    // ---- what can't wait ----

    /// Drained and gone nodes leave at once, cold ones fall to their limit, and no table is left empty.
    fn urgent(&self, targets: &Orders) -> Orders {
        let mut orders = Orders::new();
        let totals: BTreeMap<TableId, f64> =
            self.tables.iter().map(|(id, t)| (*id, self.traffic(t))).collect();
        let mut after: Orders = self.tables.iter().map(|(id, table)| (*id, table.lines.clone())).collect();
        for (id, lines) in &mut after {
            let closed: Vec<NodeId> = lines.keys().copied().filter(|n| !self.open(*n)).collect();
            for node in closed {
                lines.remove(&node);
                orders.entry(*id).or_default().insert(node, 0.0);
            }
            if lines.is_empty() {
                let fill: Shares = targets[id].iter().map(|(n, share)| (*n, share * WEIGHT_SUM)).collect();
                orders.entry(*id).or_default().extend(fill.clone());
                *lines = fill;
            }
        }
        // Proxies that try again bring more tries than they let in.
        let tries: f64 = self.paths.values().filter_map(|path| path.rate.get()).sum();
        let repeated = (tries / totals.values().sum::<f64>().max(1e-6)).max(1.0);
        for (id, node) in self.nodes.iter().filter(|(_, node)| node.life == Life::Cold) {
            let load: f64 = after
                .iter()
                .filter_map(|(t, lines)| Some(totals[t] * lines.get(id)? / lines.values().sum::<f64>()))
                .sum();
            let load = load * self.beyond() * repeated + self.told_by_peers(*id);
            let limit = self.cold_limit(node);
            if load <= limit * 1.05 {
                continue;
            }
            for (table, lines) in &mut after {
                let others: f64 = lines.iter().filter(|(n, _)| *n != id).map(|(_, w)| w).sum();
                if let Some(weight) = lines.get_mut(id).filter(|_| others > 0.0) {
                    *weight *= limit / load;
                    orders.entry(*table).or_default().insert(*id, *weight);
                }
            }
        }
        orders.retain(|_, lines| !lines.is_empty());
        orders
    }

    // ---- mechanism 4: overload admission ----

    /// Tries of the last few periods, all zones and nodes together.
    fn met(&self) -> Work {
        let mut sum = Work::default();
        self.paths.values().for_each(|path| sum += path.sums.last(self.now, 2));
        sum
    }

    /// Mean load of a zone's nodes, or all, by the tries they get, of 1; full when many tries err.
    fn strain(&self, zone: Option<ZoneId>) -> f64 {
        let (mut sum, mut rates) = (0.0, 0.0);
        for ((_, id), path) in self.paths.iter().filter(|(key, _)| self.open(key.1)) {
            let node = &self.nodes[id];
            let Some(pressure) = self.pressure(node).filter(|_| zone.is_none_or(|z| z == node.zone)) else {
                continue;
            };
            let rate = path.rate.get().unwrap_or(0.0);
            (sum, rates) = (sum + rate * pressure, rates + rate);
        }
        let met = self.met();
        if zone.is_none() && met.errored > met.tries * ERRING {
            return 1.0;
        }
        sum / rates.max(1e-6)
    }

    /// Shares to let in, by table and operation. What is asked beyond capacity is turned away at the
    /// door, the operations of least billed value first. Covers overload, lost nodes, and whatever
    /// slows all nodes at once. Harm: an estimate too low turns away too much, so nothing is cut unless
    /// measured load or errors confirm it, and `ease` follows the errors rather than the estimate.
    fn admission(&mut self) {
        let strain = self.strain(None);
        let strained = strain >= STRAINED;
        // The effect of a cut shows only when sums from after it arrive, so each cut waits for them.
        if strain < 1.0 {
            self.ease = (self.ease + 0.04).min(1.0);
        } else if self.now - self.eased > self.period() * EASE_WAITS {
            (self.ease, self.eased) = ((self.ease * 0.85).max(0.5), self.now);
        }
        let ids: Vec<NodeId> = self.nodes.keys().copied().filter(|id| self.open(*id)).collect();
        let able: BTreeMap<NodeId, f64> = ids.iter().map(|id| (*id, self.able(*id))).collect();
        let demand = self.zone_demand();
        let all: f64 = demand.values().sum();
        let scale = all / self.demand_total().max(1e-6);
        let capacity: f64 = able.iter().map(|(id, able)| able.max(self.nodes[id].peak * PROVEN)).sum();
        let mut excess = (all - FULL * self.ease * capacity).max(0.0);
        let mut shares: BTreeMap<OperationId, f64> = BTreeMap::new();
        let mut cheap: Vec<Operation> = self.operations.clone();
        cheap.sort_by(|a, b| a.value.total_cmp(&b.value));
        for least in [LEAST_LEVEL, 0.02] {
            for operation in &cheap {
                let asked: f64 =
                    self.proxies.values().map(|p| self.demand(p, &[operation.id])).sum::<f64>() * scale;
                let share = shares.entry(operation.id).or_insert(1.0);
                let cut = excess.min(asked * (*share - least).max(0.0));
                excess -= cut;
                *share -= cut / asked.max(1e-6);
            }
        }
        for (id, table) in &self.tables {
            for operation in &table.operations {
                let before = self.let_in.get(&(*id, *operation)).copied().unwrap_or(1.0);
                let mut share = shares[operation];
                let mut strained = strained;
                if table.stays && self.strain(Some(table.zone)) >= STRAINED {
                    strained = true;
                    let nodes = ids.iter().filter(|n| self.nodes[n].zone == table.zone);
                    let able: f64 = nodes.map(|n| able[n]).sum();
                    let asked = demand[&(table.zone, true)];
                    share = share.min(if asked > able && able > 0.0 { able / asked } else { 1.0 });
                }
                share =
                    if strained { share.min(before + LEVEL_RISE) } else { share.max(before + LEVEL_RISE) };
                self.let_in.insert((*id, *operation), share.clamp(0.02, 1.0));
            }
        }
        self.strained = strained;
    }

    fn level(&self, id: TableId, operation: OperationId) -> (f64, Retry) {
        let share = self.let_in.get(&(id, operation)).copied().unwrap_or(1.0);
        let share = share * self.cut.filter(|cut| cut.0 == id).map_or(1.0, |cut| cut.1);
        let quota =
            if share > 0.97 { self.no_quota() } else { self.quota(&self.tables[&id], operation, share) };
        (quota, self.retry(&self.operations[usize::from(operation.0)], self.strained))
    }

    fn no_quota(&self) -> f64 {
        if self.level_is_share() {
            1.0
        } else {
            1e6
        }
    }

    /// A share as the settings want it said. As a rate at each proxy it is the one rate under which
    /// the table's proxies, unequal in size, let in that share together.
    fn quota(&self, table: &Table, operation: OperationId, share: f64) -> f64 {
        if self.level_is_share() {
            return (share * 50.0).round() / 50.0;
        }
        let mut asked: Vec<f64> = self
            .proxies
            .values()
            .filter(|p| p.joined && p.zone == table.zone)
            .map(|p| self.demand(p, &[operation]))
            .collect();
        asked.sort_by(f64::total_cmp);
        let (mut left, mut count) = (asked.iter().sum::<f64>() * share, asked.len());
        for rate in asked {
            if rate * count as f64 >= left {
                return (left / count as f64).max(0.1);
            }
            left -= rate;
            count -= 1;
        }
        self.no_quota()
    }

    /// Rule 2: a repeat after any failure only where it can't take effect twice. Under strain repeats
    /// only add load, so they stop.
    fn retry(&self, operation: &Operation, strained: bool) -> Retry {
        let guarded = match operation.effect {
            Repeat::Idempotent => true,
            Repeat::Fingerprinted => operation.group == "all" && operation.window > operation.timeout,
            Repeat::SideEffecting => false,
        };
        let row = RETRY.iter().find(|row| (row.0, row.1, row.2) == (operation.effect, guarded, strained));
        row.map_or(Retry::Never, |row| row.3)
    }

    // ---- mechanism 5: channel ledger ----

    /// Whether every joined proxy may still be written to, within a part of what its cap allows.
    fn may_write(&self, part: f64) -> bool {
        let cap = self.fact("channel.messages_at_most");
        let joined = self.proxies.values().filter(|proxy| proxy.joined);
        cap <= 0.0
            || joined.map(|proxy| proxy.written.whole(self.now)).fold(0.0, f64::max) + 1.0 <= cap * part
    }

    /// Lines that may still wait in the channel, by the acks: a slow channel shows in them at once.
    fn outstanding(&self) -> f64 {
        let answered = |sent: &Sent| sent.waiting.len() as f64 <= sent.asked as f64 * (1.0 - ACK_SHARE);
        self.channel.sent.iter().filter(|sent| !answered(sent)).map(|sent| sent.lines).sum()
    }

    fn step_due(&self) -> bool {
        let lines = self.outstanding() <= STEP_LINES * self.fact("channel.lines_waiting_at_most");
        let answered = self.channel.sent.iter().rev().find(|sent| sent.step).is_none_or(|sent| {
            sent.waiting.len() as f64 <= sent.asked as f64 * (1.0 - ACK_SHARE)
                || self.now - sent.at >= Span::from_seconds(STEP_WAIT)
        });
        let cap = self.fact("channel.messages_at_most");
        let pace = if cap > 0.0 { self.fact("channel.messages_window") / (cap * STEP_WRITES) } else { 0.0 };
        let pace = if self.moved { self.period() * 0.2 } else { self.period().max(Span::from_seconds(pace)) };
        lines && answered && self.channel.last_step.is_none_or(|at| self.now - at >= pace)
    }

    // ---- what goes out ----

    pub fn settle(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.now = now;
        if !self.started {
            self.started = true;
            out.push(Action::ReadList);
        }
        let warmed: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.life == Life::Cold && n.started.is_none_or(|at| now - at >= self.warm_after()))
            .map(|(id, _)| *id)
            .collect();
        warmed.into_iter().for_each(|id| self.tell(id, Told::Warmed));
        if now >= self.next_tick {
            let wait = (self.period() * 0.25).max(Span::from_seconds(self.fact("conductor.tick")));
            self.next_tick = now + wait;
            self.ticks += 1;
            out.push(Action::SetTimer { after: wait, timer: TimerId(self.ticks) });
        } else if self.joins.is_empty() && !self.moved {
            return;
        }
        self.forget();
        self.learn();
        self.judge();
        let targets = self.targets();
        let mut lines: BTreeMap<TableId, usize> = BTreeMap::new();
        let mut step = false;
        if self.may_write(DRAIN_WRITES) {
            let orders = self.urgent(&targets);
            self.publish(&orders, &mut lines, out);
        }
        if self.step_due() && self.may_write(STEP_WRITES + LEVEL_WRITES) {
            let orders = self.plan(&targets);
            step = orders.values().any(|lines| !lines.is_empty());
            self.publish(&orders, &mut lines, out);
            self.channel.last_step = Some(now);
            self.moved = false;
        }
        self.publish_levels(&mut lines, out);
        let (joined, join_lines) = self.join(out);
        self.register(&lines, &joined, join_lines, step, out);
        self.tell_peers(out);
    }

    fn forget(&mut self) {
        let (now, long) = (self.now, self.warm_after() * 10.0);
        while self.channel.sent.front().is_some_and(|sent| now - sent.at > Span::from_seconds(20.0)) {
            self.channel.sent.pop_front();
        }
        let held: BTreeSet<NodeId> = self.tables.values().flat_map(|t| t.lines.keys().copied()).collect();
        self.nodes.retain(|id, n| n.life != Life::Unlisted || held.contains(id) || now - n.told < long);
        self.proxies.retain(|_, proxy| proxy.joined || now - proxy.since < long);
    }

    fn publish(&mut self, orders: &Orders, lines: &mut BTreeMap<TableId, usize>, out: &mut Vec<Action>) {
        for (id, changes) in orders {
            let Some(table) = self.tables.get_mut(id) else { continue };
            for (node, weight) in changes {
                let weight = if *weight > 0.0 { f64::from((*weight as f32).max(1e-4)) } else { 0.0 };
                if weight > 0.0 {
                    table.lines.insert(*node, weight);
                } else {
                    table.lines.remove(node);
                }
                out.push(Action::SetLine { table: *id, node: *node, weight });
                *lines.entry(*id).or_default() += 1;
            }
        }
    }

    fn publish_levels(&mut self, lines: &mut BTreeMap<TableId, usize>, out: &mut Vec<Action>) {
        let cap = self.fact("channel.messages_at_most");
        let pace = if cap > 0.0 { self.fact("channel.messages_window") / (cap * LEVEL_WRITES) } else { 0.0 };
        let pace = self.period().max(Span::from_seconds(pace));
        if self.channel.last_levels.is_some_and(|at| self.now - at < pace) {
            return;
        }
        self.channel.last_levels = Some(self.now);
        self.admission();
        if lines.is_empty() && !self.may_write(LEVEL_WRITES + STEP_WRITES) {
            return;
        }
        let all = self.tables.iter().flat_map(|(id, t)| t.operations.iter().map(|o| (*id, *o)));
        for (id, operation) in all.collect::<Vec<_>>() {
            let (quota, retry) = self.level(id, operation);
            let Some(table) = self.tables.get_mut(&id) else { continue };
            let same =
                |old: &(f64, Retry)| (old.0 - quota).abs() <= 0.04 * old.0.max(quota) && old.1 == retry;
            if !table.levels.get(&operation).is_some_and(same) {
                table.levels.insert(operation, (quota, retry));
                out.push(Action::SetLevel { table: Some(id), operations: vec![operation], quota, retry });
                *lines.entry(id).or_default() += 1;
            }
        }
    }

    // ---- mechanism 6: joining and restart recovery ----

    /// Binds who joined, at once, the busiest first; only a channel near its limit makes some wait.
    fn join(&mut self, out: &mut Vec<Action>) -> (BTreeSet<ProxyId>, f64) {
        let limit = self.fact("channel.lines_waiting_at_most") * JOIN_LINES;
        let (mut sum, mut done) = (0.0, BTreeSet::new());
        for id in self.joins.clone() {
            let Some(zone) = self.proxies.get(&id).map(|proxy| proxy.zone) else { continue };
            let own: Vec<_> =
                self.tables.iter().filter(|(_, t)| t.zone == zone && !t.lines.is_empty()).collect();
            let cost: usize = own.iter().map(|(_, t)| 1 + t.lines.len() + t.levels.len()).sum();
            let cost = cost as f64 + self.fact("channel.head_lines") + 1.0;
            if own.is_empty() || self.outstanding() + sum + cost > limit {
                continue;
            }
            for (table, bound) in own {
                let operations = bound.operations.clone();
                out.push(Action::Bind { proxy: id, table: *table, operations });
            }
            sum += cost;
            done.insert(id);
        }
        for id in &done {
            self.joins.remove(id);
            self.proxies.entry(*id).and_modify(|proxy| proxy.bound = true);
        }
        (done, sum)
    }

    /// Books this reply's messages and asks for answers to them.
    fn register(
        &mut self,
        lines: &BTreeMap<TableId, usize>,
        joined: &BTreeSet<ProxyId>,
        join_lines: f64,
        step: bool,
        out: &mut Vec<Action>,
    ) {
        let (now, head) = (self.now, self.fact("channel.head_lines"));
        let mut sum = join_lines;
        let mut waiting = joined.clone();
        for (id, proxy) in &mut self.proxies {
            let own = self.tables.iter().filter(|(_, table)| table.zone == proxy.zone);
            let count: usize = own.filter_map(|(id, _)| lines.get(id)).sum();
            if proxy.bound && count > 0 && !joined.contains(id) {
                sum += count as f64 + head + 1.0;
                waiting.insert(*id);
            }
            if waiting.contains(id) {
                proxy.written.add(now, 1.0);
            }
        }
        if waiting.is_empty() {
            return;
        }
        self.channel.next = (self.channel.next + 1) % 65536;
        let mark = MarkId(self.channel.next);
        out.push(Action::Mark { mark, everyone: false });
        let asked = waiting.len();
        self.channel.sent.push_back(Sent { mark, at: now, lines: sum, asked, waiting, step });
    }

    // ---- notes between conductors ----

    /// What this conductor's proxies ask for by zone and bring to each node, once in two periods.
    fn tell_peers(&mut self, out: &mut Vec<Action>) {
        let allowed = self.facts.0.get("peers.may_tell") == Some(&Fact::Flag(true));
        let few = self.fact("conductor.count") < 2.0;
        if !allowed || few || self.now - self.told_peers < self.period() * 2.0 {
            return;
        }
        self.told_peers = self.now;
        let mut bytes = Vec::new();
        for table in self.tables.values() {
            let own = self.proxies.values().filter(|p| p.joined && p.zone == table.zone);
            let demand: f64 = own.map(|p| self.demand(p, &table.operations)).sum();
            bytes.extend((demand as f32).to_le_bytes());
        }
        for id in self.nodes.keys().filter(|id| self.open(**id)) {
            let stale = self.now - self.period() * 6.0;
            let paths = self.paths.iter().filter(|(key, path)| key.1 == *id && path.heard > stale);
            let rate: f64 = paths.filter_map(|(_, path)| path.served.get()).sum();
            if bytes.len() + 8 <= 256 {
                bytes.extend(id.address);
                bytes.extend(id.port.to_le_bytes());
                bytes.extend(((rate * 64.0).min(65535.0) as u16).to_le_bytes());
            }
        }
        out.push(Action::Tell { peer: None, bytes });
    }

    fn peer_note(&mut self, from: PeerId, bytes: &[u8]) -> Result<(), String> {
        let head = 4 * self.tables.len();
        if bytes.len() < head || (bytes.len() - head) % 8 != 0 {
            return Err(format!("note of {} bytes from {from:?}", bytes.len()));
        }
        let mut view = PeerView { heard: self.now, ..PeerView::default() };
        for (table, four) in self.tables.values().zip(bytes.chunks_exact(4)) {
            let demand = f32::from_le_bytes([four[0], four[1], four[2], four[3]]);
            if demand.is_finite() && (0.0..1e7).contains(&demand) {
                view.demand.insert((table.zone, table.stays), f64::from(demand));
            }
        }
        for line in bytes[head..].chunks_exact(8) {
            let node = NodeId {
                address: [line[0], line[1], line[2], line[3]],
                port: u16::from_le_bytes([line[4], line[5]]),
            };
            view.rates.insert(node, f64::from(u16::from_le_bytes([line[6], line[7]])) / 64.0);
        }
        self.peers.insert(from, view);
        Ok(())
    }
}

/// Whether `from` waits, directly or by others, on `to`.
fn reaches(waits: &BTreeMap<TableId, BTreeSet<TableId>>, from: TableId, to: TableId) -> bool {
    let mut seen = BTreeSet::new();
    let mut next: Vec<TableId> = waits[&from].iter().copied().collect();
    while let Some(table) = next.pop() {
        if table == to {
            return true;
        }
        if seen.insert(table) {
            next.extend(waits.get(&table).into_iter().flatten());
        }
    }
    false
}
