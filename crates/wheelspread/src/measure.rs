//! Sums over what is remembered: rates, demand, traffic. Plain arithmetic, no decision.

use crate::ids::*;
use crate::interface::Action;
use crate::state::*;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

pub fn shares(lines: &Shares) -> Shares {
    let sum: f64 = lines.values().sum();
    lines.iter().map(|(id, weight)| (*id, weight / sum.max(1e-9))).collect()
}

pub fn load(orders: &Orders, table: TableId, node: NodeId) -> f64 {
    orders.get(&table).and_then(|lines| lines.get(&node)).copied().unwrap_or(0.0)
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

    /// The shortest latency objective.
    pub(crate) fn objective(&self) -> f64 {
        self.operations.iter().map(|o| o.objective.seconds()).fold(f64::INFINITY, f64::min).min(60.0)
    }

    pub(crate) fn open(&self, id: NodeId) -> bool {
        self.nodes.get(&id).is_some_and(|node| matches!(node.life, Life::Cold | Life::Warm))
    }

    pub(crate) fn open_nodes(&self) -> Vec<NodeId> {
        self.nodes.keys().copied().filter(|id| self.open(*id)).collect()
    }

    /// Age, as a part of the time after which a node is warm.
    pub(crate) fn age(&self, node: &Node) -> f64 {
        let whole = self.fact("rules.warm_after").max(1e-3);
        node.started.map_or(1.0, |at| ((self.now - at).seconds().max(0.0) / whole).min(1.0))
    }

    pub(crate) fn demand(&self, proxy: &Proxy, operations: &[OperationId]) -> f64 {
        operations.iter().filter_map(|o| proxy.demand.get(o).and_then(Smooth::get)).sum()
    }

    pub(crate) fn demand_by(&self, counts: impl Fn(&Proxy) -> bool) -> f64 {
        let all = self.proxies.values().filter(|proxy| counts(proxy));
        all.flat_map(|proxy| proxy.demand.values()).filter_map(Smooth::get).sum()
    }

    pub(crate) fn level_is_share(&self) -> bool {
        self.facts.text("level.form").is_ok_and(|form| form == "share")
    }

    /// What the joined proxies of a table let in, a second.
    pub(crate) fn traffic(&self, table: &Table) -> f64 {
        let (mut sum, share) = (0.0, self.level_is_share());
        for proxy in self.proxies.values().filter(|proxy| proxy.joined && proxy.zone == table.zone) {
            for operation in &table.operations {
                let asked = proxy.demand.get(operation).and_then(Smooth::get).unwrap_or(0.0);
                let quota = table.levels.get(operation).map_or(f64::INFINITY, |level| level.0);
                sum += if share { asked * quota.min(1.0) } else { asked.min(quota) };
            }
        }
        sum
    }

    /// How many times the joined proxies' load there may be: unheard proxies, and conductors not heard.
    pub(crate) fn beyond(&self, since: Moment) -> f64 {
        let joined = self.proxies.values().filter(|proxy| proxy.joined).count() as f64;
        // What peers' proxies bring is counted by itself.
        let told: f64 = self.peers.values().filter(|peer| peer.heard >= since).map(|peer| peer.proxies).sum();
        ((self.fact("proxy.count") - told) / joined.max(1.0)).max(1.0)
    }

    /// What proxies ask for by zone and by whether it stays there: own ones, those out of a single
    /// conductor's reach, and those that peers have told of since `since`.
    pub(crate) fn zone_demand(&self, since: Moment) -> BTreeMap<(ZoneId, bool), f64> {
        let alone = self.fact("conductor.count") <= 1.0;
        let sum = |table: &Table| {
            let known = self.proxies.values().filter(|p| p.zone == table.zone && (p.joined || alone));
            let own: f64 = known.map(|proxy| self.demand(proxy, &table.operations)).sum();
            let peers = self.peers.values().filter(|peer| peer.heard >= since);
            own + peers.filter_map(|peer| peer.demand.get(&(table.zone, table.stays))).sum::<f64>()
        };
        self.tables.values().map(|table| ((table.zone, table.stays), sum(table))).collect()
    }

    /// What a node is seen to serve for own proxies, by sums that came since `since`.
    pub(crate) fn own_rate(&self, id: NodeId, since: Moment) -> f64 {
        let own = self.paths.iter().filter(|(key, path)| key.1 == id && path.heard >= since);
        own.filter_map(|(_, path)| path.served.get()).sum()
    }

    pub(crate) fn peers_rate(&self, id: NodeId, since: Moment) -> f64 {
        let fresh = self.peers.values().filter(|peer| peer.heard >= since);
        fresh.filter_map(|peer| peer.rates.get(&id)).sum()
    }

    /// Tries and errors of the last few periods, where the path counts.
    pub(crate) fn met(&self, periods: usize, counts: impl Fn(&(ZoneId, NodeId)) -> bool) -> Work {
        let mut sum = Work::default();
        let paths = self.paths.iter().filter(|(key, _)| counts(key));
        paths.for_each(|(_, path)| sum += path.sums.last(self.now, periods));
        sum
    }

    /// Lines of this moment's messages: for each proxy those of its tables, a head and a mark.
    pub(crate) fn message_lines(&self, lines: usize) -> f64 {
        lines as f64 + self.fact("channel.head_lines") + 1.0
    }

    /// What comes to the proxies of a table, a second, let in or not.
    pub(crate) fn asked(&self, table: &Table) -> f64 {
        let own = self.proxies.values().filter(|proxy| proxy.zone == table.zone);
        own.map(|proxy| self.demand(proxy, &table.operations)).sum()
    }

    /// What peers are told: proxies joined, what is asked for here, what each open node serves of it.
    pub(crate) fn note(&self, since: Moment, longest: usize) -> Vec<u8> {
        let joined = |table: &Table| {
            let own = self.proxies.values().filter(|p| p.joined && p.zone == table.zone);
            own.map(|proxy| self.demand(proxy, &table.operations)).sum()
        };
        let demand: Vec<f64> = self.tables.values().map(joined).collect();
        let proxies = self.proxies.values().filter(|proxy| proxy.joined).count();
        let rates = self.open_nodes().into_iter().map(|id| (id, self.own_rate(id, since))).collect();
        PeerView::write(proxies, &demand, &rates, longest)
    }

    /// Books this moment's messages and asks for answers to them.
    pub(crate) fn register(
        &mut self,
        lines: &BTreeMap<TableId, usize>,
        joined: &BTreeSet<ProxyId>,
        mut sum: f64,
        step: bool,
        out: &mut Vec<Action>,
    ) {
        let (now, mut waiting) = (self.now, joined.clone());
        for (id, proxy) in self.proxies.iter().filter(|(_, proxy)| proxy.bound) {
            let own = self.tables.iter().filter(|(_, table)| table.zone == proxy.zone);
            let count: usize = own.filter_map(|(id, _)| lines.get(id)).sum();
            if count > 0 {
                sum += self.message_lines(count);
                waiting.insert(*id);
            }
        }
        for (_, proxy) in self.proxies.iter_mut().filter(|(id, _)| waiting.contains(id)) {
            proxy.bound = true;
            proxy.written.add(now, 1.0);
        }
        if !waiting.is_empty() {
            self.channel.next = (self.channel.next + 1) % 65536;
            let (mark, asked) = (MarkId(self.channel.next), waiting.len());
            out.push(Action::Mark { mark, everyone: false });
            self.channel.sent.push_back(Sent { mark, at: now, lines: sum, asked, waiting, step });
        }
    }

    /// What `of` gives for each unit of listed weight, over the warm nodes of a kind, else of the fleet.
    pub(crate) fn by_weight(&self, kind: KindId, of: impl Fn(&Node) -> Option<f64>) -> Option<f64> {
        let mean = |counts: &dyn Fn(&Node) -> bool| {
            let warm = self.nodes.values().filter(|node| node.life == Life::Warm && counts(node));
            let known = warm.filter_map(|node| Some((of(node)?, node.weight)));
            let (sum, weights) = known.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            (weights > 0.0).then(|| sum / weights)
        };
        mean(&|node| node.kind == kind).or_else(|| mean(&|_| true))
    }

    /// The mean time of an invocation (geometric, by what nodes serve).
    pub(crate) fn usual_time(&self) -> f64 {
        let known = self.nodes.values().filter_map(|n| Some((n.sojourn.get()?.max(1e-6).ln(), n.peak)));
        let (sum, weights) = known.fold((0.0, 0.0), |sum, (time, rate)| (sum.0 + time * rate, sum.1 + rate));
        (sum / weights.max(1e-9)).exp()
    }

    /// Whether every joined proxy may still be written to, within a part of what its cap allows.
    pub(crate) fn may_write(&self, part: f64) -> bool {
        let cap = self.fact("channel.messages_at_most");
        let joined = self.proxies.values().filter(|proxy| proxy.joined);
        cap <= 0.0
            || joined.map(|proxy| proxy.written.whole(self.now)).fold(0.0, f64::max) + 1.0 <= cap * part
    }

    /// The least time between two writings that keep to a part of the cap.
    pub(crate) fn pace(&self, part: f64) -> Span {
        let cap = self.fact("channel.messages_at_most");
        let pace = if cap > 0.0 { self.fact("channel.messages_window") / (cap * part) } else { 0.0 };
        self.period().max(Span::from_seconds(pace))
    }
}
