//! Every decision of wheelspread. Call `Balancer::start` with the settings, `hear` for each event of
//! a moment and `settle` once at the end of that moment: it writes the orders that are due. Events
//! and actions are in `interface.rs`, what is remembered in `state.rs`, plain sums in `measure.rs`.
//!
//! The design (docs/design.md) decides the ordinary path: `targets` says where traffic should go, `plan`
//! orders the way there within every node's room. Large zones fall into parts (`divide`).
//! Six mechanisms stand beside it:
//! 1. speed estimate: `learn`, `able`      4. overload admission: `admit`, RETRY
//! 2. node health: `judge`, STANDING       5. channel ledger: `may_order`, `may_step`
//! 3. cold guard: `cold_limit`, `guard`    6. joining and restart recovery: `join`, `urgent`, LIFE

use crate::ids::*;
use crate::measure::{flows, load, reaches, scatter, shares};
use crate::ring::Ring;
use crate::settings::Settings;
use crate::{Action, EndpointEntry, EndpointListKind, EndpointStatus, Event, RetryPolicy};

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

/// What becomes of what was measured at the node.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Measures {
    Keep,
    Paths,
    Forget,
}

// Tables drop nodes that are not open at once (`urgent`); the rest follows in steps (`plan`).
const LIFE: &[(Life, Told, Life, Measures)] = &[
    (Life::Unlisted, Told::Steady, Life::Warm, Measures::Paths),
    (Life::Unlisted, Told::Fresh, Life::Cold, Measures::Forget),
    (Life::Unlisted, Told::Drains, Life::Draining, Measures::Keep),
    (Life::Cold, Told::Fresh, Life::Cold, Measures::Forget),
    (Life::Cold, Told::Warmed, Life::Warm, Measures::Keep),
    (Life::Cold, Told::Drains, Life::Draining, Measures::Keep),
    (Life::Cold, Told::Dropped, Life::Unlisted, Measures::Paths),
    (Life::Warm, Told::Fresh, Life::Cold, Measures::Forget),
    (Life::Warm, Told::Drains, Life::Draining, Measures::Keep),
    (Life::Warm, Told::Dropped, Life::Unlisted, Measures::Paths),
    (Life::Draining, Told::Steady, Life::Warm, Measures::Paths),
    (Life::Draining, Told::Fresh, Life::Cold, Measures::Forget),
    (
        Life::Draining,
        Told::Dropped,
        Life::Unlisted,
        Measures::Paths,
    ),
];

/// What a zone's proxies met at a node, and how long it then stays out of that zone's tables.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Met {
    Failing,
    Working,
    HeldLong,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Hold {
    First,
    Same,
    Longer,
}

const STANDING: &[(Standing, Met, Standing, Hold)] = &[
    (Standing::Clear, Met::Failing, Standing::Out, Hold::First),
    (Standing::Out, Met::HeldLong, Standing::Trial, Hold::Same),
    (Standing::Trial, Met::Failing, Standing::Out, Hold::Longer),
    (Standing::Trial, Met::Working, Standing::Clear, Hold::Same),
];

/// RetryPolicy orders: whether a repeat can't take effect twice, how busy nodes are; the order. What may be
/// followed is given up early, work done twice unless nodes are calm; under strain any repeat is load.
const RETRY: &[(bool, Busy, RetryPolicy)] = &[
    (true, Busy::Calm, RetryPolicy::OnceOnAnyFailure),
    (true, Busy::Usual, RetryPolicy::IfUnprocessed),
    (false, Busy::Calm, RetryPolicy::IfUnprocessed),
    (false, Busy::Usual, RetryPolicy::IfUnprocessed),
];

/// Settings without which nothing can be decided.
const NEEDED: &str = "conductor.count zone.count operation.count proxy.count sums.period \
    channel.lines_waiting_at_most channel.head_lines channel.delay_at_most \
    rules.cold_overload_factor rules.cold_start_share rules.warm_after";

// Ratios, each to the figure its comment names.
const ROOM: (f64, f64, f64) = (1.5, 0.5, 1.25); // to a part of traffic; if cold (design); to the most carried
const HELD: f64 = 0.5; // of the latency objective: mean times below it count as latency held
const ACKS: (f64, f64) = (0.9, 1.0); // of the proxies asked; seconds at most for them (design)
const MOVES: (f64, f64) = (0.06, 0.12); // to a line's weight: smaller is not sent; starts a step by itself
const WEIGHT_SUM: f64 = 100.0; // of a table that is written for the first time
const KEPT: f64 = 0.35; // of what a table's target gives warm nodes: with less it is taken whole
const DUST: f64 = 0.002; // of a table's traffic: smaller lines are left out
const MEMORY: (f64, f64) = (4.0, 3.0); // sums' cycles: of measures; how long an unheard path has a rate
const PEERS: (f64, f64) = (12.0, 2.0); // sums' periods: how long a peer's note stands; between two
const PRIOR: f64 = 3.0; // full periods: what the kind's mean counts beside a node's own sums
const EVIDENCE: f64 = 3.0; // invocations: as many weigh as half a full period
const RECALLED: f64 = 0.5; // of the evidence from before a restart
const FIRST_SUMS: f64 = 1.5; // full periods that teach no capacity yet
const LEARN: (f64, f64) = (0.22, 0.12); // a period, of a kind's distance in time to the fleet, a node's to it
const QUEUE: (f64, f64, f64) = (0.12, 3.4, 0.65); // wait at the quickest, and the shape of load over wait
const QUEUED: (f64, f64) = (0.66, 0.3); // the most load without a queue; more for each invocation waiting
const FORGET: (f64, f64) = (1.003, 0.02); // each period: the quickest time; a figure's distance to its kind
const ERRS: (f64, f64, f64) = (0.25, 1.0, 2.0); // of tries: its queue shows; objectives each counts; to all
const UNHEARD: f64 = 0.15; // of demand: with more of it out of reach, sums teach nothing
const SLOWER: (f64, f64, f64) = (0.3, 0.4, 1.25); // power of the ratio of times, least and most it changes
const QUICKNESS: (f64, f64) = (0.5, 1.6); // to the fleet's speed: least and most that a kind's times tell
const USUAL_LOAD: f64 = 0.6; // of capacity, assumed before anything is heard
const COMFORT: (f64, f64, f64) = (0.6, 3.0, 0.08); // of a zone; more by its price; over the fleet
const FULL: f64 = 0.77; // of capacity: what admission aims at under overload
const PROVEN: f64 = 0.95; // of the most a node was lately seen to serve: it can do that again
const BUSY: (f64, f64, f64) = (0.72, 0.6, 8.0); // measured load: cuts from there on; calm below, after cycles
const ERRING: f64 = 0.06; // of all tries: with more, the fleet is overrun whatever else is measured
const EASE: (f64, f64, f64, f64) = (0.85, 0.8, 0.06, 3.0); // a cut for errors, least, return; periods apart
const LEAST_LEVEL: [f64; 2] = [0.3, 0.02]; // of an operation's traffic, before the next one is cut
const LEVELS: (f64, f64) = (0.08, 0.04); // each return, to what is asked; to a level: changes not sent
pub(crate) const ALL_IN: f64 = 0.97; // of an operation's traffic: larger shares let in all
const GUARD: (f64, f64) = (0.75, 1.3); // to the root of what pushes over; to that, before lines are lowered
const BLIND: f64 = 4.0; // sums' cycles after the first sums since the start
const AVOIDED: f64 = 0.1; // chance of such a run of errors: with more, proxies avoid many nodes
const FAILING: (f64, f64, f64) = (0.8, 0.4, 3.0); // of tries; the others' at most; least number of tries
const JUDGED_OVER: f64 = 5.0; // sums' cycles
const OVERRUN: f64 = 0.7; // of the latency objective: errors of so slow a node are its load's
const TRIAL_PART: f64 = 0.2; // to a node's usual weight
const HOLD: (f64, f64, f64) = (4.0, 1.5, 4.0); // to period plus longest delay; growth; at most, to the first
const OUT_AT_MOST: f64 = 0.34; // of the nodes: with more failing, no single node is to blame
const WRITES: (f64, f64, f64) = (0.55, 0.4, 0.8); // of a proxy's messages: steps, hurried ones, cold limits
const URGENT: f64 = 0.4; // of a drain's grace: what can't wait waits no longer for the cap's sake
pub(crate) const BEFORE: f64 = 0.35; // of a proxy's messages: assumed from before a restart
const WAITING: (f64, f64, f64) = (0.1, 0.5, 0.7); // of lines that may wait: before a step, with it, joins
const RUSH: f64 = 0.05; // sums' periods between two moments that news of the list or joins bring forward
const PARTS: (f64, f64, f64) = (10.0, 6.0, 0.2); // uses of a line while idle; least lines; tables a proxy

impl Balancer {
    pub fn start(now: Moment, seed: u64, facts: Settings) -> Result<Balancer, String> {
        NEEDED
            .split_whitespace()
            .try_for_each(|name| facts.number(name).map(drop))?;
        let count = facts.number("operation.count")?.clamp(0.0, 16.0) as u8;
        let operations = (0..count)
            .map(|at| Operation::read(&facts, at))
            .collect::<Result<Vec<_>, _>>()?;
        let tables = Table::all(
            &operations,
            facts.number("zone.count")?.clamp(0.0, 250.0) as u16,
        );
        Ok(Balancer::new(now, seed, facts, operations, tables))
    }

    /// Other figures for the same zones and operations, from now on.
    pub fn reconfigure(&mut self, facts: Settings) -> Result<(), String> {
        let same = |name| Ok::<_, String>(facts.number(name)? == self.facts.number(name)?);
        NEEDED
            .split_whitespace()
            .try_for_each(|name| facts.number(name).map(drop))?;
        let read = |known: &Operation| Operation::read(&facts, known.id.0);
        let operations = self
            .operations
            .iter()
            .map(read)
            .collect::<Result<Vec<_>, _>>()?;
        let stay = operations
            .iter()
            .zip(&self.operations)
            .all(|(new, old)| new.stays == old.stays);
        if !same("zone.count")? || !same("operation.count")? || !stay {
            return Err("zones and operations stay what they are while this runs".to_string());
        }
        (self.facts, self.operations, self.moved, self.rush) = (facts, operations, true, true);
        Ok(())
    }

    /// What was learnt before a restart, of nodes that the list names: less evidence than it was then.
    pub fn restore_capacities(&mut self, learnt: &[CapacitySnapshot]) {
        for told in learnt.iter().filter(|told| told.sound()) {
            let heard = |node: &&mut Node| node.life == Life::Warm && node.evidence <= 0.0;
            let Some(node) = self.nodes.get_mut(&told.node).filter(heard) else {
                continue;
            };
            (node.capacity, node.evidence) = (Smooth::at(told.capacity), told.evidence * RECALLED);
            self.quickest.entry(node.kind).or_insert(told.quickest);
        }
    }

    // ---- what is heard ----

    pub fn handle_event(&mut self, now: Moment, event: &Event) -> Result<(), String> {
        self.now = now;
        event.check()?;
        match event {
            Event::EndpointList { kind, entries } => {
                entries.iter().for_each(|entry| self.listed(entry));
                if matches!(kind, EndpointListKind::Cached | EndpointListKind::Complete) {
                    let named: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
                    let dropped: Vec<_> = self
                        .nodes
                        .keys()
                        .filter(|n| !named.contains(n))
                        .copied()
                        .collect();
                    dropped
                        .into_iter()
                        .for_each(|id| self.tell(id, Told::Dropped));
                }
            }
            Event::ProxyJoined {
                proxy,
                zone,
                usual_rate,
                fresh,
            } => {
                self.joined(*proxy, *zone, *usual_rate, *fresh);
            }
            Event::ProxyLeft { proxy } => self.left(*proxy)?,
            Event::NodeLoadReport { zone, node, .. } => {
                self.nodes
                    .get(node)
                    .ok_or(format!("sums of unknown {node:?}"))?;
                self.node_sums(*zone, *node, event);
            }
            Event::DemandReport {
                proxy,
                operation,
                requests: count,
                window: over,
                ..
            } => {
                self.heard_sums(*over);
                let (memory, now, before) =
                    (self.cycle() * (MEMORY.0 / 3.0), self.now, self.heard_before);
                let known = self
                    .proxies
                    .get_mut(proxy)
                    .ok_or(format!("load of unknown {proxy:?}"))?;
                known
                    .demand
                    .entry(*operation)
                    .or_default()
                    .feed(*count, *over, memory, now, before);
            }
            Event::MarkerAcknowledged {
                proxy,
                marker: mark,
                ..
            } => self.acked(*proxy, *mark),
            Event::PeerGossip {
                from,
                payload: bytes,
            } => {
                let sorts: Vec<_> = self.sorts().into_keys().collect();
                let read = self
                    .peers
                    .entry(*from)
                    .or_default()
                    .read(bytes, &sorts, now);
                read.ok_or(format!("note of {} bytes", bytes.len()))?;
            }
            _ => {} // timers only wake the module; sites with slices are not decided yet
        }
        Ok(())
    }

    fn listed(&mut self, entry: &EndpointEntry) {
        let known = self.nodes.get(&entry.node);
        let young = entry
            .started
            .is_some_and(|at| self.now - at < self.span("rules.warm_after"));
        let restarted = young
            && known.is_none_or(|node| {
                node.started != entry.started
                    || matches!(node.life, Life::Unlisted | Life::Draining)
            });
        let told = match entry.status {
            EndpointStatus::Gone => Told::Dropped,
            EndpointStatus::Draining => Told::Drains,
            EndpointStatus::Ready if restarted => Told::Fresh,
            EndpointStatus::Ready => Told::Steady,
        };
        let weight = if entry.weight.is_finite() && entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        let now = self.now;
        let node = self
            .nodes
            .entry(entry.node)
            .or_insert_with(|| Node::new(entry, now));
        (node.zone, node.kind, node.cell, node.weight) =
            (entry.zone, entry.kind, entry.cell, weight);
        if entry.status == EndpointStatus::Ready {
            node.started = entry.started;
        }
        self.tell(entry.node, told);
    }

    fn tell(&mut self, id: NodeId, told: Told) {
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let Some(row) = LIFE.iter().find(|row| (row.0, row.1) == (node.life, told)) else {
            return;
        };
        (node.life, node.told, self.moved, self.rush) = (row.2, self.now, true, true);
        if row.3 == Measures::Forget {
            // A process that started anew is another one: nothing measured before speaks of it.
            (node.capacity, node.utilization, node.queue, node.sojourn) = Default::default();
            (node.evidence, node.carried, node.peak) = (0.0, 0.0, 0.0);
        }
        if row.3 != Measures::Keep {
            self.paths.retain(|key, _| key.0 != id);
        }
    }

    fn node_sums(&mut self, zone: ZoneId, id: NodeId, event: &Event) {
        let Event::NodeLoadReport {
            attempts: tries,
            failures: errored,
            mean_latency: latency,
            window: over,
            metrics: load,
            ..
        } = event
        else {
            return;
        };
        self.heard_sums(*over);
        let (now, period, before, memory) = (
            self.now,
            self.period(),
            self.heard_before,
            self.cycle() * MEMORY.0,
        );
        let (succeeded, seconds) = (tries - errored, latency.seconds().clamp(0.0, 60.0));
        let named = |at: usize, name| self.facts.text(&format!("report.field.{at}")) == Ok(name);
        let told = |name| {
            (0..load.len())
                .find(|at| named(*at, name))
                .map(|at| load[at])
                .filter(|v| *v >= 0.0)
        };
        let (busy, queue) = (told("utilization"), told("queue"));
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if succeeded > 0.0 && seconds > 0.0 {
            node.sojourn.feed(
                seconds,
                *over * (succeeded / (succeeded + 2.0)),
                memory * 0.3,
            );
        }
        for (told, most, known) in [
            (busy, 1.0, &mut node.utilization),
            (queue, 1e3, &mut node.queue),
        ] {
            told.iter()
                .for_each(|told| known.feed(told.min(most), *over, memory * 0.5));
        }
        node.news = node.news.max(*over);
        node.fresh += Work {
            tries: *tries,
            errored: *errored,
            seconds: succeeded * seconds,
        };
        let path = self
            .paths
            .entry((id, zone))
            .or_insert_with(|| Path::new(now, Ring::new(period, 24)));
        path.rate.feed(*tries, *over, memory, now, before);
        path.succeeded.feed(succeeded, *over, memory, now, before);
        path.heard = now;
        // Evidence is as old as its period: sums from before a trial began say nothing of it.
        if path.standing != Standing::Trial || now - *over - period * 0.5 > path.since {
            path.sums.add(
                now,
                Work {
                    tries: *tries,
                    errored: *errored,
                    seconds: 0.0,
                },
            );
        }
        self.news = true;
        self.sums_since.get_or_insert(now);
    }

    // ---- mechanism 1: how much a node can do ----

    fn peers_since(&self) -> Moment {
        self.now - self.period() * PEERS.0
    }

    fn rate_at(&self, id: NodeId) -> f64 {
        self.own_rate(id, self.heard - self.cycle() * MEMORY.1)
            + self.peers_rate(id, self.peers_since())
    }

    /// How busy a node is, of 1. Where reports don't say, from how much longer its invocations take
    /// than those of its kind did at their quickest (the shape is that of a queue before a few cores),
    /// as far as the queue it tells of allows: time lost on the way is not its load, and a cut for it never
    /// ends. Queues alone don't serve: they stay at nothing until it is too late.
    fn pressure(&self, node: &Node) -> Option<f64> {
        node.utilization.get().or_else(|| {
            let wait =
                (node.sojourn.get()? / self.quickest.get(&node.kind)? - 1.0).max(0.0) + QUEUE.0;
            let y = QUEUE.1 * wait.powf(QUEUE.2);
            Some(
                (y / (1.0 + y)).min(
                    node.queue
                        .get()
                        .map_or(1.0, |queue| QUEUED.0 + QUEUED.1 * queue),
                ),
            )
        })
    }

    /// The shortest mean time each kind has shown; forgotten slowly, as what all depend on may change.
    fn note_quickest(&mut self) {
        let mut times: BTreeMap<KindId, Vec<f64>> = BTreeMap::new();
        for node in self
            .nodes
            .values()
            .filter(|n| n.life == Life::Warm && n.evidence >= PRIOR)
        {
            times
                .entry(node.kind)
                .or_default()
                .extend(node.sojourn.get());
        }
        for (kind, mut known) in times {
            known.sort_by(f64::total_cmp);
            if let Some(middle) = known.get(known.len() / 2) {
                let least = self.quickest.entry(kind).or_insert(*middle);
                *least = (*least * FORGET.0).min(*middle);
            }
        }
    }

    /// Reads new sums into the estimates: capacity is what succeeds at full utilization; where that
    /// is not reported, nodes that take longer than the fleet does get less, in small steps. Sums that
    /// show only a part of what nodes get, as while many proxies are unheard, teach nothing.
    fn learn(&mut self) {
        let unheard = self.demand_by(|proxy| !proxy.joined) / self.demand_by(|_| true).max(1e-6);
        let partial = self.fact("conductor.count") <= 1.0 && unheard > UNHEARD;
        if !std::mem::take(&mut self.news) || partial {
            return;
        }
        self.note_quickest();
        let (memory, objective, fade) = (
            self.cycle() * MEMORY.0,
            self.objective(),
            (-0.5 / MEMORY.0).exp(),
        );
        let by_kind = if self.admission.busy == Busy::Strained {
            0.0
        } else {
            LEARN.0
        };
        let time = |node: &Node| {
            let base = self
                .quickest
                .get(&node.kind)
                .copied()
                .unwrap_or(objective)
                .sqrt();
            let all = node.fresh.seconds + node.fresh.errored * objective * ERRS.1;
            (all / node.fresh.tries.max(1.0) / base).max(1e-6).ln()
        };
        let times: BTreeMap<NodeId, f64> = self
            .nodes
            .iter()
            .map(|(id, node)| (*id, time(node)))
            .collect();
        let (mut kinds, mut all) = (BTreeMap::<KindId, (f64, f64)>::new(), (0.0, 0.0));
        let errs = self
            .nodes
            .values()
            .map(|node| node.fresh.errored)
            .sum::<f64>()
            / self
                .nodes
                .values()
                .map(|node| node.fresh.tries)
                .sum::<f64>()
                .max(1.0);
        for (id, node) in &self.nodes {
            for sum in [kinds.entry(node.kind).or_default(), &mut all] {
                *sum = (
                    sum.0 + node.fresh.tries * times[id],
                    sum.1 + node.fresh.tries,
                );
            }
        }
        for id in self.open_nodes() {
            let (rate, pressure) = (self.rate_at(id), self.pressure(&self.nodes[&id]));
            let prior = (self.full(&self.nodes[&id]) * self.warmth(&self.nodes[&id]))
                .max(1e-3)
                .ln();
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            // Little evidence weighs little, and old evidence fades, so a node that gets next to nothing
            // because it was slow once is tried again.
            node.evidence *= fade;
            node.peak = (node.peak * fade.sqrt()).max(rate);
            let (news, fresh) = (
                std::mem::take(&mut node.news),
                std::mem::take(&mut node.fresh),
            );
            if fresh.tries <= 0.0 {
                continue;
            }
            let weight = fresh.tries / (fresh.tries + EVIDENCE);
            node.evidence += 2.0 * weight;
            // With no figure at all, as after a start in the middle of an overload, its queue must do.
            // What errs far more than the fleet is itself too slow for what it gets, and must show that.
            let share = fresh.errored / fresh.tries;
            let erring = share > ERRS.0 && share < errs * ERRS.2 && node.capacity.get().is_some();
            match node.utilization.get().and(pressure) {
                // The first reports speak of the time before; a node that errs much shows its queue.
                Some(busy) if busy > 0.1 && rate > 0.0 && node.evidence > FIRST_SUMS && !erring => {
                    node.capacity
                        .feed((rate / busy).ln(), news * (2.0 * weight).min(1.0), memory);
                }
                Some(_) => {}
                None => {
                    let old = node.capacity.get().unwrap_or(prior);
                    // A kind is told from others before a node is from its kind; under strain by queues only.
                    let (kind, tries) = kinds[&node.kind];
                    let apart = (all.0 / all.1 - kind / tries).clamp(-1.0, 1.0) * tries
                        / (tries + EVIDENCE);
                    let own = weight * (kind / tries - times[&id]).clamp(-1.0, 1.0);
                    let step = by_kind * apart + LEARN.1 * own - FORGET.1 * (old - prior);
                    node.capacity = Smooth::at(old + step);
                }
            }
            if node
                .sojourn
                .get()
                .is_some_and(|sojourn| sojourn < objective * HELD)
            {
                node.carried = node.carried.max(rate);
            }
        }
        self.scale();
    }

    /// Without utilization a node's figure only compares it with the others; all of them together are
    /// held against what the fleet serves and how much longer that takes than at its quickest.
    fn scale(&mut self) {
        let (mut rates, mut busy, mut sum, mut plain) = (0.0, 0.0, 0.0, Vec::new());
        for id in self.open_nodes() {
            let node = &self.nodes[&id];
            if let (None, Some(p), Some(c)) = (
                node.utilization.get(),
                self.pressure(node),
                node.capacity.get(),
            ) {
                (rates, busy) = (rates + self.rate_at(id), busy + self.rate_at(id) * p);
                sum += c.exp();
                plain.push((id, c));
            }
        }
        let shift = 0.2 * (rates * rates / busy / sum).max(1e-9).ln().clamp(-1.0, 1.0);
        for (id, capacity) in plain.into_iter().filter(|_| rates > 0.0 && busy > 0.0) {
            self.nodes
                .entry(id)
                .and_modify(|node| node.capacity = Smooth::at(capacity + shift));
        }
    }

    /// Once a moment: by kind, what a warm node does and was seen to serve for each unit of listed weight.
    fn note_means(&mut self) {
        let weights: f64 = self
            .open_nodes()
            .iter()
            .map(|id| self.nodes[id].weight)
            .sum();
        let blind = self.demand_by(|_| true).max(1.0) / USUAL_LOAD / weights.max(1e-6);
        let known = |n: &Node| {
            n.capacity
                .get()
                .filter(|_| n.evidence > PRIOR)
                .map(f64::exp)
        };
        let seen = |n: &Node| Some(n.peak).filter(|peak| *peak > 0.0);
        let kinds: BTreeSet<KindId> = self.nodes.values().map(|node| node.kind).collect();
        let means = |k: KindId| {
            let own = self
                .by_weight(k, known)
                .unwrap_or_else(|| blind * self.quickness(k));
            (k, (own, self.by_weight(k, seen)))
        };
        self.each = kinds.into_iter().map(means).collect();
        self.usual_time = self.mean_time(|_| true).unwrap_or(1.0);
    }

    /// How much quicker a kind is than the fleet, by the times of its warm nodes: what it does while nothing
    /// better is known of it. Listed weights may tell of size and not of speed.
    pub(crate) fn quickness(&self, kind: KindId) -> f64 {
        let own = self.mean_time(|node| node.kind == kind && node.life == Life::Warm);
        own.map_or(1.0, |own| {
            (self.usual_time / own).clamp(QUICKNESS.0, QUICKNESS.1)
        })
    }

    /// What a warm node of this kind and listed weight does.
    fn full(&self, node: &Node) -> f64 {
        node.weight * self.each.get(&node.kind).map_or(0.0, |each| each.0)
    }

    /// Invocations a second that a node can do now.
    fn able(&self, id: NodeId) -> f64 {
        let Some(node) = self.nodes.get(&id) else {
            return 0.0;
        };
        let prior = (self.full(node) * self.warmth(node)).max(1e-3);
        let own = node.capacity.get().unwrap_or(prior.ln());
        let mixed = (own * node.evidence + prior.ln() * PRIOR) / (node.evidence + PRIOR);
        mixed.exp().clamp(prior * 0.1, prior * 10.0)
    }

    /// The same, less where invocations take longer than the fleet's do: at equal utilization a slow
    /// node misses the objective before a quick one does.
    fn worth(&self, id: NodeId) -> f64 {
        let node = &self.nodes[&id];
        let slower = match (node.utilization.get(), node.sojourn.get()) {
            (Some(_), Some(time)) => (self.usual_time / time).powf(SLOWER.0),
            _ => 1.0,
        };
        self.able(id) * slower.clamp(SLOWER.1, SLOWER.2)
    }

    // ---- mechanism 2: node health ----

    /// Takes a node out of a zone's tables when most tries err there and not elsewhere, whatever the
    /// cause (silent, failing fast, cut off from this zone only). When many nodes err alike none is to
    /// blame and none is taken out; nor is one that answers slowly, as its errors are its load's and
    /// its weight falls instead. Harm: the others carry more, which the bound on nodes out keeps small.
    fn judge(&mut self) {
        let (now, nodes) = (self.now, self.open_nodes().len() as f64);
        let first = (self.cycle() + self.span("channel.delay_at_most")) * HOLD.0;
        let mut zones = self.met_by_zone(JUDGED_OVER);
        for key in self.paths.keys().copied().collect::<Vec<_>>() {
            let path = &self.paths[&key];
            let (recent, (zone, out)) = (self.lately(path, JUDGED_OVER), zones[&key.1]);
            let others = (zone.errored - recent.errored) / (zone.tries - recent.tries).max(1.0);
            let succeeded = recent.tries - recent.errored;
            let time = self
                .nodes
                .get(&key.0)
                .and_then(|node| node.sojourn.get())
                .unwrap_or(0.0);
            let overrun = succeeded >= FAILING.2 && time > self.objective() * OVERRUN;
            let mostly = others < FAILING.1 && recent.errored > recent.tries * FAILING.0;
            let met = match path.standing {
                Standing::Clear if overrun || (out + 1) as f64 >= nodes * OUT_AT_MOST => continue,
                Standing::Clear if mostly && recent.errored >= FAILING.2 => Met::Failing,
                Standing::Out if now - path.since > path.hold => Met::HeldLong,
                Standing::Trial if mostly && recent.errored >= FAILING.2 - 1.0 => Met::Failing,
                Standing::Trial if succeeded >= FAILING.2 => Met::Working,
                _ => continue,
            };
            let row = STANDING
                .iter()
                .find(|row| (row.0, row.1) == (path.standing, met));
            let Some(row) = row else { continue };
            let hold = match row.3 {
                Hold::First => first * (0.9 + 0.2 * self.random.unit()),
                Hold::Same => path.hold,
                Hold::Longer => (path.hold * HOLD.1).min(first * HOLD.2),
            };
            zones
                .entry(key.1)
                .and_modify(|zone| zone.1 += usize::from(row.2 == Standing::Out));
            let fresh = Path::new(now, Ring::new(self.period(), 24));
            self.paths.insert(
                key,
                Path {
                    standing: row.2,
                    hold,
                    ..fresh
                },
            );
            self.moved = true;
        }
    }

    /// The part of a node's capacity that a zone should use. What errs in part gets less, by the root of
    /// what works: a try that fails is made again, but a node that is shunned drowns the others.
    fn usable(&self, zone: ZoneId, id: NodeId) -> f64 {
        let Some(path) = self.paths.get(&(id, zone)) else {
            return 1.0;
        };
        let recent = self.lately(path, JUDGED_OVER);
        let erring = (recent.errored - 1.0).max(0.0) / (recent.tries + 2.0);
        match path.standing {
            Standing::Clear => (1.0 - erring).sqrt().max(0.05),
            Standing::Trial => TRIAL_PART,
            Standing::Out => 0.0,
        }
    }

    // ---- mechanism 3: cold guard ----

    /// The most that all proxies together may bring a cold node, far enough under what pushes it over
    /// that bursts and what others turn away still fit: where most nodes refuse, proxies and clients
    /// repeat, and within a second it gets five times its part. Goes by what warm nodes of its kind are
    /// seen to serve, never by an estimate of what they could. Also covers a fleet that is mostly cold.
    fn cold_limit(&self, node: &Node) -> f64 {
        let (full, seen) = (
            self.full(node),
            self.each.get(&node.kind).and_then(|each| each.1),
        );
        let full = seen
            .map_or(full * USUAL_LOAD, |each| each * node.weight)
            .min(full);
        GUARD.0 * self.fact("rules.cold_overload_factor").max(0.0).sqrt() * self.warmth(node) * full
    }

    /// Lowers a cold node's lines in `draft` until what they bring, with the tries of unheard proxies,
    /// other conductors and repeats, stays within its limit.
    fn guard(&self, draft: &mut Orders) {
        let totals = |(id, table): (&TableId, &Table)| (*id, self.traffic(table));
        let totals: BTreeMap<TableId, f64> = self.tables.iter().map(totals).collect();
        let tries: f64 = self.paths.values().filter_map(|path| path.rate.get()).sum();
        let traffic = totals.values().sum::<f64>().max(1e-6);
        let repeated = (tries / traffic).max(1.0) * self.beyond(self.peers_since());
        // Proxies that avoid what errs leave the whole load to the lines that don't, however small their
        // weight. While runs of errors that long are common, a cold node gets no line beside warm ones; nor
        // while none can be known of: some cycles after a start, or in a zone not heard of, as after a cut.
        let (met, run) = (
            self.met(2.0, |_| true),
            self.fact("proxy.errors_until_avoided"),
        );
        let since = self.now - self.cycle() * BLIND;
        let blind = self.sums_since.is_none_or(|first| first > since);
        let erring = blind || (met.errored / met.tries.max(1.0)).powf(run) > AVOIDED;
        let heard = |zone| {
            self.paths
                .iter()
                .any(|(key, path)| key.1 == zone && path.heard >= since)
        };
        let cold = |id: &NodeId| self.cold(id);
        for (id, lines) in draft
            .iter_mut()
            .filter(|(_, lines)| run > 0.0 && !lines.keys().all(cold))
        {
            lines.retain(|node, _| !cold(node) || (!erring && heard(self.tables[id].zone)));
        }
        for lines in draft
            .values_mut()
            .filter(|lines| !lines.is_empty() && lines.keys().all(cold))
        {
            // With nothing else to go to, each gets its part and `admit` lets in no more than they take.
            lines
                .iter_mut()
                .for_each(|(id, weight)| *weight = self.cold_limit(&self.nodes[id]).max(1e-3));
        }
        for (id, node) in self
            .nodes
            .iter()
            .filter(|(_, node)| node.life == Life::Cold)
        {
            let limit = self.cold_limit(node);
            let limit = (limit - self.peers_rate(*id, self.peers_since())).max(limit * 0.3);
            // Where proxies avoid what errs, others' part comes to the lines that work: they count by that.
            let part = |(t, lines): (&TableId, &Shares)| {
                let (zone, own) = (self.tables[t].zone, totals[t] * lines.get(id)?);
                let works = |n: &NodeId| {
                    if n == id || run <= 0.0 {
                        1.0
                    } else {
                        self.usable(zone, *n).powi(4)
                    }
                };
                Some(
                    own / lines
                        .iter()
                        .map(|(n, w)| w * works(n))
                        .sum::<f64>()
                        .max(1e-9),
                )
            };
            let load = |draft: &Orders| draft.iter().filter_map(part).sum::<f64>() * repeated;
            // A line near its limit stays: each lowering costs every proxy a message.
            for _ in 0..if load(draft) > limit * GUARD.1 { 5 } else { 0 } {
                let lower = (limit / load(draft).max(1e-9)).min(1.0);
                for lines in draft.values_mut().filter(|lines| !lines.keys().all(cold)) {
                    lines
                        .entry(*id)
                        .and_modify(|weight| *weight = (*weight * lower).max(1e-3));
                }
            }
        }
    }

    // ---- targets ----

    /// Divides a zone's proxies into parts with tables of their own over as many parts of its nodes, where
    /// one table's lines would hardly be used before connections close. Fixed once proxies have joined.
    fn divide(&mut self) {
        let zones: BTreeSet<ZoneId> = self.tables.values().map(|table| table.zone).collect();
        let (count, expected) = (zones.len() as f64, self.expected());
        for zone in &zones {
            let here = |proxy: &Proxy| proxy.joined && proxy.zone == *zone;
            let known = self.proxies.values().filter(|proxy| here(proxy)).count() as f64;
            let nodes = self
                .open_nodes()
                .iter()
                .filter(|id| self.nodes[id].zone == *zone)
                .count() as f64;
            let new = self
                .tables
                .iter()
                .filter(|(_, t)| t.zone == *zone && t.parts == 0 && nodes * known > 0.0);
            let own: Vec<TableId> = new.map(|(id, _)| *id).collect();
            let uses = self.demand_by(here) / known.max(1.0) * self.fact("proxy.connection_idle");
            let most = expected * PARTS.2 / own.len().max(1) as f64;
            let parts = (nodes / (uses / PARTS.0).max(PARTS.1))
                .min(most)
                .clamp(1.0, 3e4 / count) as u16;
            for (id, part) in own
                .iter()
                .flat_map(|id| (0..parts).map(move |part| (*id, part)))
            {
                let mut table = Table {
                    part,
                    parts,
                    ..self.tables[&id].clone()
                };
                if part > 0 {
                    (table.lines, table.levels) = Default::default();
                }
                self.tables
                    .insert(TableId(id.0 + part * 2 * zones.len() as u16), table);
            }
            // Those bound while there was no part yet are bound anew, each to its own.
            let whole = |(_, proxy): &(&ProxyId, &Proxy)| here(proxy) && proxy.bound && parts > 1;
            if !own.is_empty() {
                self.joins
                    .extend(self.proxies.iter().filter(whole).map(|(id, _)| *id));
            }
        }
    }

    /// Shares of each table's traffic by node. Traffic stays in its zone up to a comfortable part of
    /// the zone's capacity, or somewhat above the fleet's part; the rest goes where there is spare.
    /// A zone's nodes stand in a row, by chance that stays, so that neighbours differ in kind and cell;
    /// each part of its proxies uses the stretch of the row that its part of what is asked for fills.
    fn targets(&self) -> Orders {
        let mut open: Vec<(NodeId, ZoneId, f64)> = self
            .open_nodes()
            .iter()
            .map(|id| (*id, self.nodes[id].zone, self.worth(*id)))
            .collect();
        open.sort_by_key(|o| (o.1, scatter(o.0)));
        let demand = self.zone_demand(self.peers_since());
        let asked = |zone: ZoneId, stays: bool| demand.get(&(zone, stays)).copied().unwrap_or(0.0);
        let zones: BTreeSet<ZoneId> = open
            .iter()
            .map(|o| o.1)
            .chain(self.tables.values().map(|t| t.zone))
            .collect();
        let able = |from: ZoneId| open.iter().map(|o| o.2 * self.usable(from, o.0)).collect();
        let able: BTreeMap<ZoneId, Vec<f64>> =
            zones.iter().map(|zone| (*zone, able(*zone))).collect();
        let mut capacity: BTreeMap<(ZoneId, ZoneId), f64> = BTreeMap::new();
        for (from, able) in &able {
            capacity.extend(zones.iter().map(|at| ((*from, *at), 0.0)));
            open.iter()
                .zip(able)
                .for_each(|(o, able)| *capacity.entry((*from, o.1)).or_default() += able);
        }
        let home: f64 = zones.iter().map(|zone| capacity[&(*zone, *zone)]).sum();
        let part = demand.values().sum::<f64>() / home.max(1e-6);
        let comfort = (COMFORT.0 + COMFORT.1 * self.fact("price.cross_zone")).max(part + COMFORT.2);
        let over = |zone: ZoneId| {
            asked(zone, false) + asked(zone, true) - comfort * capacity[&(zone, zone)]
        };
        let stretches = self.stretches();
        let mut targets = Orders::new();
        for (id, table) in &self.tables {
            let (at, own) = (table.zone, capacity[&(table.zone, table.zone)]);
            let others = zones.iter().filter(|zone| **zone != at);
            let reach: BTreeMap<ZoneId, (f64, f64)> = others
                .map(|zone| (*zone, ((-over(*zone)).max(0.0), capacity[&(at, *zone)])))
                .collect();
            let (spares, elsewhere) = reach
                .values()
                .fold((0.0, 0.0), |sum, r| (sum.0 + r.0, sum.1 + r.1));
            let away = match (table.stays || elsewhere <= 0.0, own > 0.0) {
                (true, _) => 0.0,
                (false, false) => 1.0,
                (false, true) => (over(at) / asked(at, false).max(1e-6)).clamp(0.0, 1.0),
            };
            let (before, until) = stretches[&(at, table.part)];
            let (mut row, mut lines) = (BTreeMap::<ZoneId, f64>::new(), Shares::new());
            for ((node, zone, _), able) in open.iter().zip(&able[&at]) {
                let (whole, place) = (
                    capacity[&(at, *zone)].max(1e-6),
                    row.entry(*zone).or_default(),
                );
                let (from, to) = (*place / whole, (*place + able) / whole);
                *place += able;
                let within = (to.min(until) - from.max(before)).max(0.0) / (until - before);
                let flow = match reach.get(zone) {
                    None => 1.0 - away,
                    Some((spare, _)) if spares > 0.0 => away * spare / spares,
                    Some((_, reached)) => away * reached / elsewhere.max(1e-6),
                };
                if within * flow > DUST {
                    lines.insert(*node, within * flow);
                }
            }
            if lines.is_empty() {
                // Nobody may be left without a node: with none in good standing, any open one will do.
                let may = open.iter().filter(|o| !table.stays || o.1 == at);
                lines = may.map(|o| (o.0, o.2.max(1e-6))).collect();
            }
            targets.insert(*id, shares(&lines));
        }
        targets
    }

    // ---- the design: the order of updates ----

    /// Room of a node: a part of traffic by listed weight, or the most it carried while latency held.
    fn room(&self, node: &Node, each: f64) -> f64 {
        let fresh = if node.life == Life::Cold { ROOM.1 } else { 1.0 };
        (each * node.weight * ROOM.0 * fresh).max(node.carried * ROOM.2)
    }

    /// One step of the way from what is published to `targets`, as the design orders it, written into
    /// `draft`. Waits between tables follow from the loads: a table that adds to a node at risk waits
    /// for those that lift load off it.
    pub(crate) fn plan(&mut self, targets: &Orders, draft: &mut Orders) {
        let scaled = |lines: &Shares, traffic: f64| {
            lines
                .iter()
                .map(|(n, share)| (*n, share * traffic))
                .collect()
        };
        let (mut old, mut new) = (Orders::new(), Orders::new());
        for (id, table) in &self.tables {
            let traffic = self.traffic(table).max(1e-3);
            old.insert(*id, scaled(&shares(&draft[id]), traffic));
            new.insert(*id, scaled(&targets[id], traffic));
        }
        let weights: f64 = self
            .open_nodes()
            .iter()
            .map(|id| self.nodes[id].weight)
            .sum();
        let each = self.zone_demand(self.peers_since()).values().sum::<f64>() / weights.max(1e-6);
        let (mut risk, mut spare, mut step) = (BTreeSet::new(), Shares::new(), new.clone());
        for (id, node) in &self.nodes {
            let (leaving, arriving, staying) = flows(&old, &new, *id);
            let staying = staying + self.peers_rate(*id, self.peers_since());
            let room = self.room(node, each);
            spare.insert(*id, room - leaving - staying);
            if leaving + staying <= room
                && arriving + staying <= room
                && leaving + arriving + staying > room
            {
                risk.insert(*id);
            } else if arriving > 0.0 && arriving + staying > room {
                // A weight that alone overfills room rises in steps within the spare room.
                let part = ((room - leaving - staying).max(0.0) / arriving).min(1.0);
                for (table, lines) in &mut step {
                    let before = load(&old, *table, *id);
                    lines.entry(*id).and_modify(|after| {
                        *after = after.min(before + (*after - before).max(0.0) * part)
                    });
                }
            }
        }
        let moving: Vec<TableId> = self
            .tables
            .keys()
            .copied()
            .filter(|t| worth_a_step(&draft[t], &targets[t]))
            .collect();
        let added = |t: &TableId| {
            let more = risk
                .iter()
                .map(|n| (*n, load(&step, *t, *n) - load(&old, *t, *n)));
            (*t, more.filter(|(_, more)| *more > 1e-9).collect())
        };
        let adds: BTreeMap<TableId, Vec<(NodeId, f64)>> = moving.iter().map(added).collect();
        let lifts =
            |table: TableId, node: NodeId| load(&old, table, node) > load(&new, table, node) + 1e-9;
        let on = |t: TableId| moving.iter().copied().filter(move |u| *u != t);
        let waits: BTreeMap<TableId, BTreeSet<TableId>> = moving
            .iter()
            .map(|t| {
                (
                    *t,
                    on(*t)
                        .filter(|u| adds[t].iter().any(|(n, _)| lifts(*u, *n)))
                        .collect(),
                )
            })
            .collect();
        let free = waits
            .iter()
            .filter(|(_, on)| on.is_empty())
            .map(|(table, _)| (*table, 1.0));
        let mut publish: BTreeMap<TableId, f64> = free.collect();
        let mutual: Vec<TableId> = moving
            .iter()
            .copied()
            .filter(|t| reaches(&waits, *t, *t))
            .collect();
        let mut whole = false;
        for table in &mutual {
            if adds[table].iter().all(|(n, more)| *more <= spare[n]) {
                adds[table]
                    .iter()
                    .for_each(|(n, more)| *spare.entry(*n).or_default() -= more);
                publish.insert(*table, 1.0);
                whole = true;
            }
        }
        let shift = |table: TableId| {
            let left: f64 = old[&table]
                .iter()
                .map(|(n, l)| (l - load(&step, table, *n)).max(0.0))
                .sum();
            let room = adds[&table]
                .iter()
                .map(|(n, _)| (spare[n], *n))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            (left, room)
        };
        let possible = |table: &TableId| {
            shift(*table)
                .1
                .map_or(0.0, |room| shift(*table).0.min(room.0))
        };
        let largest = mutual
            .iter()
            .copied()
            .max_by(|a, b| possible(a).total_cmp(&possible(b)));
        self.admission.cut = None;
        if let (false, Some(table)) = (whole, largest) {
            let (left, room) = shift(table);
            if possible(&table) > left * 0.01 {
                publish.insert(table, (possible(&table) / left).min(1.0));
            } else if let Some((least, node)) = room {
                // No room at all: the largest on that node's new path gives way, by the shortfall.
                let path = |t: &&TableId| load(&new, **t, node);
                if let Some(largest) = self
                    .tables
                    .keys()
                    .max_by(|a, b| path(a).total_cmp(&path(b)))
                {
                    let traffic = self.traffic(&self.tables[largest]).max(1e-6);
                    self.admission.cut = Some((
                        *largest,
                        (1.0 - (0.1 * left - least) / traffic).clamp(0.5, 1.0),
                    ));
                }
            }
        }
        for (table, part) in publish {
            let toward = |n: &NodeId| {
                let before = load(&old, table, *n);
                (*n, before + part * (load(&step, table, *n) - before))
            };
            let goal: Shares = step[&table]
                .keys()
                .chain(old[&table].keys())
                .map(toward)
                .collect();
            let sum = draft[&table].values().sum::<f64>();
            let sum = if sum > 0.0 {
                sum.clamp(1.0, 1e6)
            } else {
                WEIGHT_SUM
            };
            let mut lines: Shares = shares(&goal)
                .into_iter()
                .map(|(n, share)| (n, share * sum))
                .collect();
            lines.retain(|_, weight| *weight > sum * DUST * 0.05);
            draft.insert(table, lines);
        }
    }

    // ---- what can't wait ----

    /// Drained and gone nodes leave at once. A table whose warm lines are then meant to carry less than half
    /// of its traffic takes its whole target at once: the few lines left would drown, and cold ones fall.
    fn urgent(&self, targets: &Orders, draft: &mut Orders) {
        for (id, lines) in draft {
            lines.retain(|node, _| self.open(*node));
            let warm = |node: &&NodeId| self.open(**node) && !self.cold(node);
            let part = |node: &NodeId| targets[id].get(node).copied().unwrap_or(0.0);
            let meant: f64 = targets[id].keys().filter(warm).map(part).sum();
            if lines.is_empty() || lines.keys().filter(warm).map(part).sum::<f64>() < meant * KEPT {
                *lines = targets[id]
                    .iter()
                    .map(|(node, share)| (*node, share * WEIGHT_SUM))
                    .collect();
            }
        }
    }

    // ---- mechanism 4: overload admission ----

    /// Mean load of a zone's nodes, or all, by the tries they get, of 1; full when many tries err at nodes
    /// that are busy or tell nothing. Errors elsewhere are not the load's: letting in less mends none.
    fn strain(&self, zone: Option<ZoneId>) -> f64 {
        let (mut sum, mut rates, mut met, mut overrun) = (0.0, 0.0, 0.0, 0.0);
        for ((id, _), path) in self.paths.iter().filter(|(key, _)| self.open(key.0)) {
            let (node, lately) = (&self.nodes[id], self.lately(path, 2.0));
            let pressure = self.pressure(node);
            met += lately.tries;
            overrun += if pressure.is_none_or(|p| p >= BUSY.1) {
                lately.errored
            } else {
                0.0
            };
            if let Some(pressure) = pressure.filter(|_| zone.is_none_or(|z| z == node.zone)) {
                let rate = path.rate.get().unwrap_or(0.0);
                (sum, rates) = (sum + rate * pressure, rates + rate);
            }
        }
        match zone {
            None if overrun > met * ERRING => 1.0,
            _ => sum / rates.max(1e-6),
        }
    }

    /// Shares to let in, by table and operation. What is asked beyond capacity is turned away at the
    /// door, the operations of least billed value first. Covers overload, lost nodes, and whatever
    /// slows all nodes at once. Harm: an estimate too low turns away too much, so nothing is cut unless
    /// measured load or errors confirm it, never below what nodes were lately seen to serve, and `ease`
    /// follows the errors rather than the estimate.
    fn admit(&mut self) {
        let strain = self.strain(None);
        // Each cut waits for sums from after it.
        if strain < 1.0 {
            self.admission.ease = (self.admission.ease + EASE.2).min(1.0);
        } else if self.now - self.admission.eased > self.cycle() * EASE.3 {
            (self.admission.ease, self.admission.eased) =
                ((self.admission.ease * EASE.0).max(EASE.1), self.now);
        }
        self.admission.busy = match strain {
            _ if strain >= BUSY.0 => Busy::Strained,
            _ if strain < BUSY.1 && self.now - self.admission.excited > self.cycle() * BUSY.2 => {
                Busy::Calm
            }
            _ => Busy::Usual,
        };
        if strain >= BUSY.1 {
            self.admission.excited = self.now;
        }
        let (nodes, demand) = (self.open_nodes(), self.zone_demand(self.peers_since()));
        let all: f64 = demand.values().sum();
        let capacity: f64 = nodes
            .iter()
            .map(|id| self.able(*id).max(self.nodes[id].peak * PROVEN))
            .sum();
        let mut excess = (all - FULL * self.admission.ease * capacity).max(0.0);
        let scale = all / self.demand_by(|_| true).max(1e-6);
        let mut cheap: Vec<(f64, OperationId)> =
            self.operations.iter().map(|o| (o.value, o.id)).collect();
        cheap.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut shares: BTreeMap<OperationId, f64> =
            cheap.iter().map(|(_, id)| (*id, 1.0)).collect();
        for (least, (_, id)) in LEAST_LEVEL
            .iter()
            .flat_map(|least| cheap.iter().map(move |c| (least, c)))
        {
            let asked: f64 = self
                .proxies
                .values()
                .map(|p| self.demand(p, &[*id]))
                .sum::<f64>()
                * scale;
            let cut = excess.min(asked * (shares[id] - least).max(0.0));
            excess -= cut;
            shares
                .entry(*id)
                .and_modify(|share| *share -= cut / asked.max(1e-6));
        }
        for (id, table) in &self.tables {
            let local = table.stays && self.strain(Some(table.zone)) >= BUSY.0;
            let own = nodes.iter().filter(|n| self.nodes[n].zone == table.zone);
            let able = own.map(|n| self.able(*n)).sum::<f64>();
            let most = able / demand[&(table.zone, table.stays)].max(1e-6);
            let limit = |id: &NodeId| self.cold(id).then(|| self.cold_limit(&self.nodes[id]));
            let limits: Option<Vec<f64>> = table.lines.keys().map(limit).collect();
            let asked = self.asked(table).max(1e-6);
            let cold_only = limits.map_or(1.0, |limits| limits.iter().sum::<f64>() / asked);
            for operation in &table.operations {
                let before = self
                    .admission
                    .let_in
                    .get(&(*id, *operation))
                    .copied()
                    .unwrap_or(1.0);
                let share = if local && able > 0.0 {
                    shares[operation].min(most)
                } else {
                    shares[operation]
                };
                let rise = before + LEVELS.0 * (before + 0.2).min(1.0);
                let tight = local || self.admission.busy == Busy::Strained;
                let share = if tight {
                    share.min(rise)
                } else {
                    share.max(rise)
                };
                let share = if table.lines.is_empty() {
                    share
                } else {
                    share.min(cold_only)
                };
                self.admission
                    .let_in
                    .insert((*id, *operation), share.clamp(LEAST_LEVEL[1], 1.0));
            }
        }
    }

    fn level(&self, id: TableId, operation: OperationId) -> (f64, RetryPolicy) {
        let share = self
            .admission
            .let_in
            .get(&(id, operation))
            .copied()
            .unwrap_or(1.0);
        let share = share
            * self
                .admission
                .cut
                .filter(|cut| cut.0 == id)
                .map_or(1.0, |cut| cut.1);
        let known = &self.operations[usize::from(operation.0)];
        (
            self.quota(&self.tables[&id], operation, share),
            self.retry(known),
        )
    }

    /// Rule 2: a repeat after any failure only where it can't take effect twice.
    fn retry(&self, operation: &Operation) -> RetryPolicy {
        let guarded = match operation.effect {
            Repeat::Idempotent => true,
            Repeat::Fingerprinted => {
                operation.group == "all" && operation.window > operation.timeout
            }
            Repeat::SideEffecting => false,
        };
        let row = RETRY
            .iter()
            .find(|row| (row.0, row.1) == (guarded, self.admission.busy));
        row.map_or(RetryPolicy::Never, |row| row.2)
    }

    // ---- mechanism 5: channel ledger ----

    /// Whether steps and levels may be written. They share one pace: on their own, levels once took all
    /// the messages allowed under strain and no step went out for 20 s.
    fn may_order(&self) -> bool {
        let early = self.moved && self.may_write(WRITES.1);
        let pace = if early {
            self.period() * 0.2
        } else {
            self.pace(WRITES.0)
        };
        self.channel
            .last_orders
            .is_none_or(|at| self.now - at >= pace)
            && self.outstanding() <= WAITING.1 * self.fact("channel.lines_waiting_at_most")
            && self.may_write(WRITES.0 + 0.1)
    }

    /// Whether the last step has arrived, or long enough ago, and the channel is nearly empty.
    fn may_step(&self) -> bool {
        let last = self.channel.sent.iter().rev().find(|sent| sent.step);
        let waited = |sent: &Sent| self.now - sent.at >= Span::from_seconds(ACKS.1);
        let answered =
            |sent: &Sent| sent.waiting.len() as f64 <= sent.asked as f64 * (1.0 - ACKS.0);
        last.is_none_or(|sent| answered(sent) || waited(sent))
            && self.outstanding() <= WAITING.0 * self.fact("channel.lines_waiting_at_most")
    }

    /// Whether lines may be written at all. Drained nodes leave at once, but where one after another drains
    /// each by itself took more messages than a proxy may get.
    fn may_change(&self) -> bool {
        let spacing = self.spacing(URGENT);
        self.may_write(1.0)
            && self
                .channel
                .last_lines
                .is_none_or(|at| self.now - at >= spacing)
    }

    // ---- what goes out ----

    pub fn decide(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.now = now;
        self.grown_warm()
            .into_iter()
            .for_each(|id| self.tell(id, Told::Warmed));
        if self.ticks == 0 {
            out.push(Action::RequestEndpointList); // after a restart the first list is a stale one
        }
        if now >= self.next_tick {
            let wait = (self.period() * 0.25).max(self.span("conductor.tick"));
            (self.next_tick, self.ticks) = (now + wait, self.ticks + 1);
            out.push(Action::SetTimer {
                after: wait,
                timer: TimerId(self.ticks),
            });
        } else if now - self.settled < self.period() * RUSH
            || (self.joins.is_empty() && !(self.rush && self.may_change()))
        {
            return;
        }
        self.settled = now;
        self.forget();
        self.note_means();
        self.learn();
        self.note_means();
        self.judge();
        self.divide();
        let targets = self.targets();
        let mut draft: Orders = self
            .tables
            .iter()
            .map(|(id, table)| (*id, table.lines.clone()))
            .collect();
        self.urgent(&targets, &mut draft);
        let change = self.may_change();
        let orders = change && self.may_order();
        let step = orders && self.may_step();
        if step {
            self.plan(&targets, &mut draft);
            self.moved = false;
        }
        self.guard(&mut draft);
        // Each by itself, cold limits once took all the messages allowed and no step went out for 12 s.
        let mut lines = BTreeMap::new();
        if change {
            let lower = (std::mem::take(&mut self.rush) || orders) && self.may_write(WRITES.2);
            lines = self.publish(&draft, lower, out);
        }
        if orders {
            self.channel.last_orders = Some(now);
            self.publish_levels(&mut lines, out);
        }
        if !lines.is_empty() {
            self.channel.last_lines = Some(now);
        }
        let (joined, join_lines) = self.join(&lines, out);
        self.register(&lines, &joined, join_lines, step, out);
        self.tell_peers(out);
    }

    fn forget(&mut self) {
        let (now, long) = (self.now, self.span("rules.warm_after") * 10.0);
        self.channel
            .sent
            .retain(|sent| now - sent.at < Span::from_seconds(20.0));
        let held: BTreeSet<NodeId> = self
            .tables
            .values()
            .flat_map(|t| t.lines.keys().copied())
            .collect();
        self.nodes
            .retain(|id, n| n.life != Life::Unlisted || held.contains(id) || now - n.told < long);
        // Sums that come late leave a path at a node that is long gone.
        self.paths
            .retain(|(node, _), _| self.nodes.contains_key(node));
        self.proxies
            .retain(|_, proxy| proxy.joined || now - proxy.since < long);
    }

    /// Sends the lines by which `draft` differs from what stands, a weight only when it moved enough. Where
    /// the channel lacks room, lines that lose weight wait, lest a table run empty, but for the rules'.
    fn publish(
        &mut self,
        draft: &Orders,
        lower: bool,
        out: &mut Vec<Action>,
    ) -> BTreeMap<TableId, usize> {
        let most = if self.joins.is_empty() {
            WAITING.1
        } else {
            WAITING.0
        };
        let most = self.fact("channel.lines_waiting_at_most") * most;
        let (mut left, mut lines) = (most - self.outstanding(), BTreeMap::new());
        for id in self.tables.keys().copied().collect::<Vec<_>>() {
            let (table, goal) = (&self.tables[&id], &draft[&id]);
            let typical = goal.values().sum::<f64>() / goal.len().max(1) as f64;
            let nodes: BTreeSet<NodeId> = table.lines.keys().chain(goal.keys()).copied().collect();
            let change = |node: NodeId| {
                let old = table.lines.get(&node).copied().unwrap_or(0.0);
                let new = goal
                    .get(&node)
                    .map_or(0.0, |weight| f64::from(*weight as f32));
                let moves = (new - old).abs() > MOVES.0 * new.max(old).max(0.3 * typical);
                let goes = new != old && (new == 0.0 || (moves && (lower || old == 0.0)));
                goes.then_some((node, new, old))
            };
            let mut changes: Vec<_> = nodes.into_iter().filter_map(change).collect();
            let users = self
                .proxies
                .iter()
                .filter(|(id, p)| p.bound && table.serves(**id, p))
                .count() as f64;
            let bare = !table
                .lines
                .keys()
                .any(|node| self.open(*node) && !self.cold(node));
            left -= if changes.is_empty() {
                0.0
            } else {
                users * self.message_lines(0)
            };
            let tight = left < users * changes.len() as f64 && !bare;
            changes.retain(|(node, new, old)| {
                let goes = !tight
                    || !self.open(*node)
                    || (self.cold(node) && new < old)
                    || (new > old && left >= users);
                left -= if goes { users } else { 0.0 };
                goes
            });
            let Some(table) = self.tables.get_mut(&id) else {
                continue;
            };
            for (node, new, _) in changes {
                table.lines.insert(node, new);
                out.push(Action::SetWeight {
                    table: id,
                    node,
                    weight: new,
                });
                *lines.entry(id).or_insert(0) += 1;
            }
            table.lines.retain(|_, weight| *weight > 0.0);
        }
        lines
    }

    fn publish_levels(&mut self, lines: &mut BTreeMap<TableId, usize>, out: &mut Vec<Action>) {
        if self
            .channel
            .last_levels
            .is_some_and(|at| self.now - at < self.period())
        {
            return;
        }
        self.channel.last_levels = Some(self.now);
        self.admit();
        let all = self
            .tables
            .iter()
            .flat_map(|(id, t)| t.operations.iter().map(|o| (*id, *o)));
        for (id, operation) in all.collect::<Vec<_>>() {
            let (quota, retry) = self.level(id, operation);
            let Some(table) = self.tables.get_mut(&id) else {
                continue;
            };
            let near = |old: f64| (old - quota).abs() <= LEVELS.1 * old.max(quota);
            if !table
                .levels
                .get(&operation)
                .is_some_and(|old| near(old.0) && old.1 == retry)
            {
                table.levels.insert(operation, (quota, retry));
                out.push(Action::SetAdmission {
                    table: Some(id),
                    operations: vec![operation],
                    limit: quota,
                    retry,
                });
                *lines.entry(id).or_default() += 1;
            }
        }
    }

    // ---- mechanism 6: joining and restart recovery ----

    /// Binds who joined, at once; only a channel near its limit makes some wait.
    fn join(
        &mut self,
        lines: &BTreeMap<TableId, usize>,
        out: &mut Vec<Action>,
    ) -> (BTreeSet<ProxyId>, f64) {
        let limit = self.fact("channel.lines_waiting_at_most") * WAITING.2 - self.to_send(lines).1;
        let (mut sum, mut done) = (self.outstanding_for_joins(), BTreeSet::new());
        let before = sum;
        for id in self.joins.clone() {
            let Some(proxy) = self.proxies.get(&id) else {
                continue;
            };
            let own: Vec<_> = self
                .tables
                .iter()
                .filter(|(_, table)| table.serves(id, proxy))
                .collect();
            // One without lines is bound beside others: to hear of nodes that come, and hold none that went.
            let bare = own.iter().all(|(_, table)| table.lines.is_empty());
            let lines = self.message_lines(
                own.iter()
                    .map(|(_, t)| 1 + t.lines.len() + t.levels.len())
                    .sum(),
            );
            if bare || sum + lines > limit {
                continue;
            }
            for (table, Table { operations, .. }) in own {
                out.push(Action::BindTable {
                    proxy: id,
                    table: *table,
                    operations: operations.clone(),
                });
            }
            sum += lines;
            done.insert(id);
        }
        self.joins.retain(|id| !done.contains(id));
        (done, sum - before)
    }

    /// Tells the other conductors what is asked for here and what each node serves of it.
    fn tell_peers(&mut self, out: &mut Vec<Action>) {
        let may = self.facts.flag_or("peers.may_tell", false) && self.fact("conductor.count") > 1.0;
        if may && self.now - self.told_peers >= self.period() * PEERS.1 {
            self.told_peers = self.now;
            let notes = self.notes(self.heard - self.cycle() * MEMORY.1, 256);
            out.extend(notes.into_iter().map(|bytes| Action::SendGossip {
                peer: None,
                payload: bytes,
            }));
        }
    }
}

/// Whether a line's move, or a line more or less, is worth a step.
fn worth_a_step(lines: &Shares, target: &Shares) -> bool {
    let (now, typical) = (shares(lines), 1.0 / target.len().max(1) as f64);
    target.keys().chain(now.keys()).any(|node| {
        let (a, b) = (
            now.get(node).copied().unwrap_or(0.0),
            target.get(node).copied().unwrap_or(0.0),
        );
        (a - b).abs() > MOVES.1 * a.max(b).max(0.3 * typical) || (a > 0.0) != (b > 0.0)
    })
}
