//! Sums over what is remembered: rates, demand, traffic. Plain arithmetic, no decision.

use crate::balance::{ALL_IN, BEFORE};
use crate::ids::*;
use crate::pcg::Pcg;
use crate::ring::Ring;
use crate::state::*;
use crate::time::{Moment, Span};
use crate::Action;
use std::collections::{BTreeMap, BTreeSet};

pub fn shares(lines: &Shares) -> Shares {
    let sum: f64 = lines.values().sum();
    lines
        .iter()
        .map(|(id, weight)| (*id, weight / sum.max(1e-9)))
        .collect()
}

/// A place by chance that stays the same for an id.
pub fn scatter(id: NodeId) -> u32 {
    Pcg::new(u64::from(u32::from_le_bytes(id.address)) << 16 | u64::from(id.port)).draw()
}

pub fn load(orders: &Orders, table: TableId, node: NodeId) -> f64 {
    orders
        .get(&table)
        .and_then(|lines| lines.get(&node))
        .copied()
        .unwrap_or(0.0)
}

/// What leaves a node, arrives and stays, from one set of loads to the next.
pub fn flows(old: &Orders, new: &Orders, node: NodeId) -> (f64, f64, f64) {
    old.keys().fold((0.0, 0.0, 0.0), |sum, table| {
        let (before, after) = (load(old, *table, node), load(new, *table, node));
        let (less, more) = ((before - after).max(0.0), (after - before).max(0.0));
        (sum.0 + less, sum.1 + more, sum.2 + before.min(after))
    })
}

/// Whether `from` waits, directly or by others, on `to`.
pub fn reaches(waits: &BTreeMap<TableId, BTreeSet<TableId>>, from: TableId, to: TableId) -> bool {
    let mut seen = BTreeSet::new();
    let mut next: Vec<TableId> = waits.get(&from).into_iter().flatten().copied().collect();
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

/// The one rate under which proxies that ask so much, unequal in size, let in a share of it together.
pub fn one_rate(mut asked: Vec<f64>, share: f64) -> Option<f64> {
    asked.sort_by(f64::total_cmp);
    let (mut left, mut count) = (asked.iter().sum::<f64>() * share, asked.len());
    for rate in asked {
        if rate * count as f64 >= left {
            return Some((left / count as f64).max(0.1));
        }
        (left, count) = (left - rate, count - 1);
    }
    None
}

impl Balancer {
    pub(crate) fn fact(&self, name: &str) -> f64 {
        self.facts.number_or(name, 0.0)
    }

    pub(crate) fn span(&self, name: &str) -> Span {
        Span::from_seconds(self.fact(name))
    }

    pub(crate) fn period(&self) -> Span {
        Span::from_seconds(self.fact("sums.period").clamp(0.05, 60.0))
    }

    /// How long a whole set of sums takes to come: a period, or more where lines come at a limited rate.
    pub(crate) fn cycle(&self) -> Span {
        self.period()
            .max(Span::from_seconds(self.sums_span.get().unwrap_or(0.0)))
    }

    /// The same, as often as told, in buckets of a path's ring.
    fn buckets(&self, cycles: f64) -> usize {
        (self.cycle().seconds() / self.period().seconds() * cycles).round() as usize
    }

    /// Notes that sums over such a span came now.
    pub(crate) fn heard_sums(&mut self, over: Span) {
        if self.now > self.heard {
            (self.heard_before, self.heard) = (self.heard, self.now);
        }
        self.sums_span.feed(
            over.seconds(),
            Span::from_seconds(1.0),
            Span::from_seconds(300.0),
        );
    }

    /// What a path met in the last few cycles.
    pub(crate) fn lately(&self, path: &Path, cycles: f64) -> Work {
        path.sums.last(self.now, self.buckets(cycles))
    }

    /// The shortest latency objective.
    pub(crate) fn objective(&self) -> f64 {
        self.operations
            .iter()
            .map(|o| o.objective.seconds())
            .fold(f64::INFINITY, f64::min)
            .min(60.0)
    }

    pub(crate) fn open(&self, id: NodeId) -> bool {
        self.nodes
            .get(&id)
            .is_some_and(|node| matches!(node.life, Life::Cold | Life::Warm))
    }

    pub(crate) fn cold(&self, id: &NodeId) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|node| node.life == Life::Cold)
    }

    pub(crate) fn open_nodes(&self) -> Vec<NodeId> {
        self.nodes
            .keys()
            .copied()
            .filter(|id| self.open(*id))
            .collect()
    }

    /// Age, as a part of the time after which a node is warm.
    pub(crate) fn age(&self, node: &Node) -> f64 {
        let whole = self.fact("rules.warm_after").max(1e-3);
        node.started.map_or(1.0, |at| {
            ((self.now - at).seconds().max(0.0) / whole).min(1.0)
        })
    }

    /// The least share of its capacity that a node has by now.
    pub(crate) fn warmth(&self, node: &Node) -> f64 {
        let start = self.fact("rules.cold_start_share").clamp(0.01, 1.0);
        if node.life == Life::Cold {
            start + (1.0 - start) * self.age(node)
        } else {
            1.0
        }
    }

    pub(crate) fn demand(&self, proxy: &Proxy, operations: &[OperationId]) -> f64 {
        operations
            .iter()
            .filter_map(|o| proxy.demand.get(o).and_then(Flow::get))
            .sum()
    }

    pub(crate) fn demand_by(&self, counts: impl Fn(&Proxy) -> bool) -> f64 {
        let all = self.proxies.values().filter(|proxy| counts(proxy));
        all.flat_map(|proxy| proxy.demand.values())
            .filter_map(Flow::get)
            .sum()
    }

    pub(crate) fn level_is_share(&self) -> bool {
        self.facts
            .text("level.form")
            .is_ok_and(|form| form == "share")
    }

    /// A share as the settings want it said. As a rate at each proxy it is the one rate under which
    /// the table's proxies, unequal in size, let in that share together.
    pub(crate) fn quota(&self, table: &Table, operation: OperationId, share: f64) -> f64 {
        match (self.level_is_share(), share > ALL_IN) {
            (true, true) => return 1.0,
            (true, false) => return share,
            (false, true) => return 1e6,
            (false, false) => {}
        }
        let own = self
            .proxies
            .iter()
            .filter(|(id, p)| p.joined && table.serves(**id, p));
        one_rate(
            own.map(|(_, proxy)| self.demand(proxy, &[operation]))
                .collect(),
            share,
        )
        .unwrap_or(1e6)
    }

    /// What the joined proxies of a table let in, a second.
    pub(crate) fn traffic(&self, table: &Table) -> f64 {
        let (mut sum, share) = (0.0, self.level_is_share());
        for (_, proxy) in self
            .proxies
            .iter()
            .filter(|(id, p)| p.joined && table.serves(**id, p))
        {
            for operation in &table.operations {
                let asked = proxy
                    .demand
                    .get(operation)
                    .and_then(Flow::get)
                    .unwrap_or(0.0);
                let quota = table
                    .levels
                    .get(operation)
                    .map_or(f64::INFINITY, |level| level.0);
                sum += if share {
                    asked * quota.min(1.0)
                } else {
                    asked.min(quota)
                };
            }
        }
        sum
    }

    /// How many times the joined proxies' load there may be: unheard proxies, and conductors not heard. Where
    /// conductors never hear of each other, what nodes are seen to do is counted by own proxies too.
    pub(crate) fn beyond(&self, since: Moment) -> f64 {
        if self.fact("conductor.count") > 1.0 && !self.facts.flag_or("peers.may_tell", false) {
            return 1.0;
        }
        let joined = self.proxies.values().filter(|proxy| proxy.joined).count() as f64;
        // What peers' proxies bring is counted by itself.
        let told: f64 = self
            .peers
            .values()
            .filter(|peer| peer.heard >= since)
            .map(|peer| peer.proxies)
            .sum();
        ((self.fact("proxy.count") - told) / joined.max(1.0)).max(1.0)
    }

    /// The sorts of tables: zones, and whether operations stay there.
    pub(crate) fn sorts(&self) -> BTreeMap<(ZoneId, bool), f64> {
        self.tables
            .values()
            .map(|table| ((table.zone, table.stays), 0.0))
            .collect()
    }

    /// What proxies ask for by zone and by whether it stays there: own ones, those out of a single
    /// conductor's reach, and those that peers have told of since `since`.
    pub(crate) fn zone_demand(&self, since: Moment) -> BTreeMap<(ZoneId, bool), f64> {
        let alone = self.fact("conductor.count") <= 1.0;
        let mut sums = self.sorts();
        for (_, proxy) in self
            .proxies
            .iter()
            .filter(|(_, proxy)| proxy.joined || alone)
        {
            for operation in &self.operations {
                let sum = sums.entry((proxy.zone, operation.stays));
                sum.and_modify(|sum| *sum += self.demand(proxy, &[operation.id]));
            }
        }
        for peer in self.peers.values().filter(|peer| peer.heard >= since) {
            let told = |(sort, sum): (_, &mut f64)| *sum += peer.demand.get(sort).unwrap_or(&0.0);
            sums.iter_mut().for_each(told);
        }
        sums
    }

    /// What a node is seen to serve for own proxies, by sums that came since `since`.
    pub(crate) fn own_rate(&self, id: NodeId, since: Moment) -> f64 {
        let own = self.paths.range((id, ZoneId(0))..=(id, ZoneId(u16::MAX)));
        own.filter(|(_, path)| path.heard >= since)
            .filter_map(|(_, path)| path.succeeded.get())
            .sum()
    }

    pub(crate) fn peers_rate(&self, id: NodeId, since: Moment) -> f64 {
        let told = self.peers.values().filter_map(|peer| peer.rates.get(&id));
        told.filter(|(_, heard)| *heard >= since)
            .map(|(rate, _)| rate)
            .sum()
    }

    /// Tries and errors of the last few cycles, where the path counts.
    pub(crate) fn met(&self, cycles: f64, counts: impl Fn(&(NodeId, ZoneId)) -> bool) -> Work {
        let mut sum = Work::default();
        let paths = self.paths.iter().filter(|(key, _)| counts(key));
        paths.for_each(|(_, path)| sum += self.lately(path, cycles));
        sum
    }

    /// Lines that may still wait in the channel, by the acks: a slow channel shows in them at once.
    pub(crate) fn outstanding(&self) -> f64 {
        self.outstanding_since(Moment::default())
    }

    fn outstanding_since(&self, since: Moment) -> f64 {
        let sent = self.channel.sent.iter().filter(|sent| sent.at >= since);
        sent.map(|s| s.lines * s.waiting.len() as f64 / s.asked.max(1) as f64)
            .sum()
    }

    /// The same for those who wait to be bound: a full channel at its told pace has been empty twice since what
    /// is older. Where nobody answers at all, a proxy would wait for a line as long as for an answer.
    pub(crate) fn outstanding_for_joins(&self) -> f64 {
        let (most, pace) = (
            self.fact("channel.lines_waiting_at_most"),
            self.fact("channel.lines_per_second"),
        );
        if pace <= 0.0 {
            return self.outstanding();
        }
        let emptied = Span::from_seconds(most / pace) + self.span("channel.delay_at_most");
        self.outstanding_since(self.now - emptied * 2.0)
    }

    /// The same by zone, with the nodes that are out there.
    pub(crate) fn met_by_zone(&self, cycles: f64) -> BTreeMap<ZoneId, (Work, usize)> {
        let mut zones = BTreeMap::<ZoneId, (Work, usize)>::new();
        for ((_, zone), path) in &self.paths {
            let sum = zones.entry(*zone).or_default();
            sum.0 += self.lately(path, cycles);
            sum.1 += usize::from(path.standing == Standing::Out);
        }
        zones
    }

    /// Cold nodes that have had the time to get warm.
    pub(crate) fn grown_warm(&self) -> Vec<NodeId> {
        let grown = |node: &Node| node.life == Life::Cold && self.age(node) >= 1.0;
        self.nodes
            .iter()
            .filter(|(_, node)| grown(node))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Lines of this moment's messages: for each proxy those of its tables, a head and a mark.
    pub(crate) fn message_lines(&self, lines: usize) -> f64 {
        lines as f64 + self.fact("channel.head_lines") + 1.0
    }

    /// What comes to the proxies of a table, a second, let in or not.
    pub(crate) fn asked(&self, table: &Table) -> f64 {
        let own = self
            .proxies
            .iter()
            .filter(|(id, proxy)| table.serves(**id, proxy));
        own.map(|(_, proxy)| self.demand(proxy, &table.operations))
            .sum()
    }

    /// How many proxies of a zone there are likely to be here in all.
    pub(crate) fn expected(&self) -> f64 {
        let zones = self
            .tables
            .values()
            .map(|table| table.zone)
            .collect::<BTreeSet<_>>()
            .len()
            .max(1) as f64;
        let homed = self.facts.flag_or("conductor.joined_by_zone", false);
        self.fact("proxy.count")
            / (zones
                * if homed {
                    1.0
                } else {
                    self.fact("conductor.count").max(1.0)
                })
    }

    /// For each part of a zone's proxies, from where to where what is asked there fills a row of 1. Proxies that
    /// are still to come count alike in each part: by the first few alone, every join moved all stretches.
    pub(crate) fn stretches(&self) -> BTreeMap<(ZoneId, u16), (f64, f64)> {
        let mut parts: BTreeMap<(ZoneId, u16), f64> = BTreeMap::new();
        for table in self.tables.values() {
            *parts.entry((table.zone, table.part)).or_default() += self.asked(table) + 1e-3;
        }
        for zone in self
            .tables
            .values()
            .map(|table| table.zone)
            .collect::<BTreeSet<_>>()
        {
            let own = || self.proxies.values().filter(|proxy| proxy.zone == zone);
            let (known, asked) = (
                own().count() as f64,
                self.demand_by(|proxy| proxy.zone == zone),
            );
            let missing = (self.expected() - known).max(0.0) * asked / known.max(1.0);
            let count = parts.range((zone, 0)..=(zone, u16::MAX)).count().max(1) as f64;
            parts
                .range_mut((zone, 0)..=(zone, u16::MAX))
                .for_each(|part| *part.1 += missing / count);
        }
        let sum = |zone: ZoneId, until: u16| {
            parts
                .range((zone, 0)..(zone, until))
                .map(|p| p.1)
                .sum::<f64>()
        };
        let place = |(zone, part): (ZoneId, u16)| {
            let all: f64 = parts
                .range((zone, 0)..=(zone, u16::MAX))
                .map(|part| part.1)
                .sum();
            (
                (zone, part),
                (sum(zone, part) / all, sum(zone, part + 1) / all),
            )
        };
        parts.keys().map(|part| place(*part)).collect()
    }

    /// What peers are told: proxies joined, what is asked for here, what each open node serves of it;
    /// in as many notes as it takes.
    pub(crate) fn notes(&self, since: Moment, longest: usize) -> Vec<Vec<u8>> {
        let mut demand = self.sorts();
        let (mut proxies, mut notes) = (0, Vec::new());
        for proxy in self.proxies.values().filter(|proxy| proxy.joined) {
            proxies += 1;
            for operation in &self.operations {
                let sum = demand.entry((proxy.zone, operation.stays));
                sum.and_modify(|sum| *sum += self.demand(proxy, &[operation.id]));
            }
        }
        let demand: Vec<f64> = demand.into_values().collect();
        let rates: Vec<_> = self
            .open_nodes()
            .iter()
            .map(|id| (*id, self.own_rate(*id, since)))
            .collect();
        let most = (longest.saturating_sub(2 + 4 * demand.len()) / 8).max(1);
        for some in rates.chunks(most) {
            notes.push(PeerView::write(proxies, &demand, some));
        }
        notes
    }

    /// `fresh`: it holds no table that was ordered.
    pub(crate) fn joined(&mut self, id: ProxyId, zone: ZoneId, usual_rate: f64, fresh: bool) {
        let window = Span::from_seconds(self.fact("channel.messages_window").max(1.0));
        let known = self.proxies.remove(&id);
        // Messages count on whatever stream they went, and from before a restart too: who holds a table may
        // have it from here.
        let written = known
            .as_ref()
            .map(|proxy| proxy.written.clone())
            .unwrap_or_else(|| {
                // Two buckets more than the window: a message counts until it is surely outside.
                let mut written = Ring::new(window * (1.0 / 20.0), 22);
                if !fresh && self.now - self.began < window {
                    written.add(self.began, BEFORE * self.fact("channel.messages_at_most"));
                }
                written
            });
        let known = known
            .map(|proxy| proxy.demand)
            .filter(|demand| !demand.is_empty());
        let usual = if usual_rate.is_finite() {
            usual_rate.max(0.0)
        } else {
            0.0
        };
        let part = Flow::at(usual / self.operations.len().max(1) as f64);
        let demand =
            known.unwrap_or_else(|| self.operations.iter().map(|o| (o.id, part)).collect());
        self.proxies.insert(
            id,
            Proxy {
                zone,
                joined: true,
                bound: false,
                since: self.now,
                demand,
                written,
            },
        );
        self.joins.insert(id);
    }

    pub(crate) fn left(&mut self, id: ProxyId) -> Result<(), String> {
        let known = self
            .proxies
            .get_mut(&id)
            .ok_or(format!("{id:?} left but never joined"))?;
        (known.joined, known.bound, known.since) = (false, false, self.now);
        self.joins.remove(&id);
        self.channel
            .sent
            .iter_mut()
            .for_each(|sent| sent.waiting.retain(|proxy| *proxy != id));
        Ok(())
    }

    pub(crate) fn acked(&mut self, proxy: ProxyId, mark: MarkerId) {
        if let Some(place) = self.channel.sent.iter().position(|sent| sent.mark == mark) {
            // The channel is in order: what was sent before this message has left it.
            self.channel.sent[place].waiting.remove(&proxy);
            self.channel
                .sent
                .iter_mut()
                .take(place)
                .for_each(|sent| sent.lines = 0.0);
        }
    }

    /// Who gets a message by lines changed in tables, and how many lines that makes, heads included.
    pub(crate) fn to_send(&self, lines: &BTreeMap<TableId, usize>) -> (BTreeSet<ProxyId>, f64) {
        let (mut to, mut sum) = (BTreeSet::new(), 0.0);
        for (id, proxy) in self.proxies.iter().filter(|(_, proxy)| proxy.bound) {
            let own = self
                .tables
                .iter()
                .filter(|(_, table)| table.serves(*id, proxy));
            let count: usize = own.filter_map(|(id, _)| lines.get(id)).sum();
            if count > 0 {
                sum += self.message_lines(count);
                to.insert(*id);
            }
        }
        (to, sum)
    }

    /// Books this moment's messages and asks for answers to them.
    pub(crate) fn register(
        &mut self,
        lines: &BTreeMap<TableId, usize>,
        joined: &BTreeSet<ProxyId>,
        join_lines: f64,
        step: bool,
        out: &mut Vec<Action>,
    ) {
        let (mut waiting, sum) = self.to_send(lines);
        waiting.extend(joined);
        let now = self.now;
        for (_, proxy) in self
            .proxies
            .iter_mut()
            .filter(|(id, _)| waiting.contains(id))
        {
            proxy.bound = true;
            proxy.written.add(now, 1.0);
        }
        if !waiting.is_empty() {
            self.channel.next = (self.channel.next + 1) % 65536;
            let (mark, asked, lines) =
                (MarkerId(self.channel.next), waiting.len(), sum + join_lines);
            out.push(Action::SendMarker {
                marker: mark,
                to_all: false,
            });
            self.channel.sent.push_back(Sent {
                mark,
                at: now,
                lines,
                asked,
                waiting,
                step,
            });
        }
    }

    /// What `of` gives for each unit of listed weight, over the warm nodes of a kind, else of the fleet.
    pub(crate) fn by_weight(&self, kind: KindId, of: impl Fn(&Node) -> Option<f64>) -> Option<f64> {
        let mean = |counts: &dyn Fn(&Node) -> bool| {
            let warm = self
                .nodes
                .values()
                .filter(|node| node.life == Life::Warm && counts(node));
            let known = warm.filter_map(|node| Some((of(node)?, node.weight)));
            let (sum, weights) = known.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            (weights > 0.0).then(|| sum / weights)
        };
        let other = || Some(mean(&|_| true)? * self.quickness(kind));
        mean(&|node| node.kind == kind).or_else(other)
    }

    /// The mean time of an invocation at some nodes (geometric, by what they serve).
    pub(crate) fn mean_time(&self, counts: impl Fn(&Node) -> bool) -> Option<f64> {
        let own = self.nodes.values().filter(|node| counts(node));
        let known = own.filter_map(|n| Some((n.sojourn.get()?.max(1e-6).ln(), n.peak.max(1e-3))));
        let (sum, weights) = known.fold((0.0, 0.0), |sum, (time, rate)| {
            (sum.0 + time * rate, sum.1 + rate)
        });
        (weights > 0.0).then(|| (sum / weights).exp())
    }

    /// The most messages that a joined proxy was written within the window.
    fn most_written(&self) -> f64 {
        let joined = self.proxies.values().filter(|proxy| proxy.joined);
        joined
            .map(|proxy| proxy.written.whole(self.now))
            .fold(0.0, f64::max)
    }

    /// Whether every joined proxy may still be written to, within a part of what its cap allows.
    pub(crate) fn may_write(&self, part: f64) -> bool {
        let cap = self.fact("channel.messages_at_most");
        cap <= 0.0 || self.most_written() + 1.0 <= cap * part
    }

    /// The least time between two writings of what can't wait, so that it never takes the whole cap: hardly
    /// any while little was written, more the nearer the cap, up to a part of the time that a drain has.
    pub(crate) fn spacing(&self, most: f64) -> Span {
        let (cap, grace) = (
            self.fact("channel.messages_at_most"),
            self.fact("rules.drain_grace"),
        );
        if cap <= 0.0 {
            return Span::ZERO;
        }
        let used = (self.most_written() / cap).min(0.99);
        let spacing = self.fact("channel.messages_window") / cap * used / (1.0 - used);
        Span::from_seconds(if grace > 0.0 {
            spacing.min(grace * most)
        } else {
            spacing
        })
    }

    /// The least time between two writings that keep to a part of the cap.
    pub(crate) fn pace(&self, part: f64) -> Span {
        let cap = self.fact("channel.messages_at_most");
        let pace = if cap > 0.0 {
            self.fact("channel.messages_window") / (cap * part)
        } else {
            0.0
        };
        self.period().max(Span::from_seconds(pace))
    }
}
