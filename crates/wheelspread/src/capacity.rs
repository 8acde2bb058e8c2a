//! Capacity estimates: how much each node can serve, and how busy it is.
//!
//! Where nodes report utilization, capacity is what succeeds at full utilization. Where they don't, kinds of
//! node and single nodes are compared by their latency, in small steps.

use crate::config::Config;
use crate::ids::{KindId, NodeId};
use crate::lifecycle::{Node, Nodes};
use crate::report_timing::REPORT_MEMORY;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// How capacity follows from load reports.
struct Learning {
    /// Report periods that the mean of the node's kind counts beside the node's own reports.
    prior_periods: f64,
    /// Attempts in a report that weigh as half a full period.
    half_weight_attempts: f64,
    /// Report periods that teach no capacity yet: the first reports speak of the time before.
    first_periods_ignored: f64,
    /// Least reported utilization that says something of capacity.
    least_utilization: f64,
    /// Each period, of a kind's distance in latency to the fleet.
    kind_step: f64,
    /// Each period, of a node's distance in latency to its kind.
    node_step: f64,
    /// Each period, of an estimate's distance to that of its kind.
    return_step: f64,
    /// Each period, of the fleet's distance to the rate that its latency suggests.
    scale_step: f64,
    /// Failures by attempts: with more, a node shows its queue and not its capacity.
    failing_share: f64,
    /// Failures by attempts, to those of the fleet: with more, the node itself is too slow.
    failing_ratio: f64,
    /// Latency objectives that a failure counts.
    failure_objectives: f64,
    /// Of the latency objective: while latency is below it, the rate counts as served well.
    held_objective: f64,
}

const LEARNING: Learning = Learning {
    prior_periods: 3.0,
    half_weight_attempts: 3.0,
    first_periods_ignored: 1.5,
    least_utilization: 0.1,
    kind_step: 0.22,
    node_step: 0.12,
    return_step: 0.02,
    scale_step: 0.2,
    failing_share: 0.25,
    failing_ratio: 2.0,
    failure_objectives: 1.0,
    held_objective: 0.5,
};

/// Each period, the factor by which the quickest latency of a kind is forgotten.
const QUICKEST_GROWTH: f64 = 1.003;
/// Of the evidence from before a restart.
const RESTORED_EVIDENCE: f64 = 0.5;
/// Utilization that is assumed before anything was reported.
pub(crate) const ASSUMED_UTILIZATION: f64 = 0.6;

/// A range of ratios.
struct RatioRange {
    least: f64,
    most: f64,
}

/// A node's own estimate, to that of its kind.
const ESTIMATE_RANGE: RatioRange = RatioRange {
    least: 0.1,
    most: 10.0,
};
/// What latency may tell of a kind's speed, to that of the fleet.
const KIND_SPEED: RatioRange = RatioRange {
    least: 0.5,
    most: 1.6,
};

/// Utilization by latency, in the shape of a queue before a few cores.
struct QueueShape {
    /// Waiting time at the quickest, to the service time.
    least_wait: f64,
    factor: f64,
    exponent: f64,
    /// The most utilization without a queue.
    without_queue: f64,
    /// More of it for each request that waits.
    per_waiting_request: f64,
}

const QUEUE_SHAPE: QueueShape = QueueShape {
    least_wait: 0.12,
    factor: 3.4,
    exponent: 0.65,
    without_queue: 0.66,
    per_waiting_request: 0.3,
};

/// What a node's latency changes of its effective capacity.
struct LatencyFactor {
    /// Power of the fleet's latency by the node's.
    exponent: f64,
    least: f64,
    most: f64,
}

const LATENCY_FACTOR: LatencyFactor = LatencyFactor {
    exponent: 0.3,
    least: 0.4,
    most: 1.25,
};

/// What is worth keeping of a node over a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySnapshot {
    /// The node.
    pub node: NodeId,
    /// Logarithm of the requests per second that it can serve.
    pub capacity: f64,
    /// Report periods that the capacity rests on.
    pub evidence: f64,
    /// The shortest mean latency of its kind, in seconds.
    pub quickest: f64,
}

impl CapacitySnapshot {
    /// Whether all figures are usable.
    pub fn sound(&self) -> bool {
        self.capacity.is_finite()
            && self.evidence.is_finite()
            && self.evidence >= 0.0
            && self.quickest > 0.0
    }
}

/// What the fleet shows of a kind of node, for each unit of listed weight.
#[derive(Clone, Copy, Debug)]
struct KindMeans {
    /// Requests per second that a ready node can serve.
    capacity: f64,
    /// The most that a ready node was seen to serve.
    observed_peak: Option<f64>,
}

/// What a learning step goes by, beside the nodes.
pub(crate) struct LearningInput {
    /// Time constant of averages.
    pub memory: Span,
    /// The shortest latency objective, in seconds.
    pub objective: f64,
    /// Whether the fleet is overloaded: latency then tells of queues, not of speed.
    pub is_strained: bool,
    pub now: Moment,
}

/// Attempts and the latency that they add up to, over some nodes.
#[derive(Clone, Copy, Default)]
struct LatencySum {
    /// Sum of attempts times the logarithm of the node's relative latency.
    weighted: f64,
    attempts: f64,
}

impl LatencySum {
    fn mean(self) -> f64 {
        self.weighted / self.attempts
    }
}

/// The relative latencies of one learning step.
struct LatencyComparison {
    by_node: BTreeMap<NodeId, f64>,
    by_kind: BTreeMap<KindId, LatencySum>,
    fleet: LatencySum,
    /// Failures by attempts, of the fleet.
    failure_share: f64,
}

/// What is known of kinds of node, and of the fleet's latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityModel {
    /// The shortest mean latency that each kind has shown, in seconds.
    quickest: BTreeMap<KindId, f64>,
    kinds: BTreeMap<KindId, KindMeans>,
    /// The fleet's mean latency in seconds.
    usual_latency: f64,
    /// Whether reports came that were not learnt from.
    has_new_reports: bool,
}

impl CapacityModel {
    /// A load report came.
    pub fn on_load_report(&mut self) {
        self.has_new_reports = true;
    }

    /// Whether reports came since this was last asked.
    pub fn take_new_reports(&mut self) -> bool {
        std::mem::take(&mut self.has_new_reports)
    }

    /// Takes over what was known before a restart, for ready nodes without reports: at less evidence than
    /// it had then.
    pub fn restore(&mut self, nodes: &mut Nodes, snapshots: &[CapacitySnapshot]) {
        for snapshot in snapshots.iter().filter(|snapshot| snapshot.sound()) {
            let Some(node) = nodes
                .get_mut(&snapshot.node)
                .filter(|node| node.is_ready() && node.load.evidence() <= 0.0)
            else {
                continue;
            };
            node.load
                .restore(snapshot.capacity, snapshot.evidence * RESTORED_EVIDENCE);
            self.quickest
                .entry(node.kind())
                .or_insert(snapshot.quickest);
        }
    }

    /// What is known of ready nodes.
    pub fn snapshots<'a>(
        &'a self,
        nodes: &'a Nodes,
    ) -> impl Iterator<Item = CapacitySnapshot> + 'a {
        let known = nodes
            .iter()
            .filter(|(_, node)| node.is_ready() && node.load.evidence() > 0.0);
        known.filter_map(|(id, node)| {
            Some(CapacitySnapshot {
                node: *id,
                capacity: node.load.log_capacity()?,
                evidence: node.load.evidence(),
                quickest: *self.quickest.get(&node.kind())?,
            })
        })
    }

    /// How busy a node is, of 1. Where reports don't say, from how much longer its requests take than those
    /// of its kind did at their quickest, as far as the queue that it reports allows: time lost on the way is
    /// not its load, and an admission cut for it never ends. Queues alone don't serve: they stay empty until it
    /// is too late.
    pub fn utilization(&self, node: &Node) -> Option<f64> {
        node.load.utilization().or_else(|| {
            let quickest = self.quickest.get(&node.kind())?;
            let wait = (node.load.latency()? / quickest - 1.0).max(0.0) + QUEUE_SHAPE.least_wait;
            let load = QUEUE_SHAPE.factor * wait.powf(QUEUE_SHAPE.exponent);
            let limit = node.load.queue_length().map_or(1.0, |length| {
                QUEUE_SHAPE.without_queue + QUEUE_SHAPE.per_waiting_request * length
            });
            Some((load / (1.0 + load)).min(limit))
        })
    }

    /// Requests per second that a ready node of this kind and listed weight can serve.
    pub fn nominal_capacity(&self, node: &Node) -> f64 {
        node.weight()
            * self
                .kinds
                .get(&node.kind())
                .map_or(0.0, |kind| kind.capacity)
    }

    /// The most that ready nodes of a kind were seen to serve, for each unit of listed weight.
    pub fn observed_peak(&self, kind: KindId) -> Option<f64> {
        self.kinds.get(&kind).and_then(|means| means.observed_peak)
    }

    /// Requests per second that a node can serve now.
    pub fn capacity(&self, node: &Node, config: &Config, now: Moment) -> f64 {
        let prior = self.prior(node, config, now);
        let own = node.load.log_capacity().unwrap_or(prior.ln());
        let evidence = node.load.evidence();
        let mixed = (own * evidence + prior.ln() * LEARNING.prior_periods)
            / (evidence + LEARNING.prior_periods);
        mixed
            .exp()
            .clamp(prior * ESTIMATE_RANGE.least, prior * ESTIMATE_RANGE.most)
    }

    /// The same, less where requests take longer than the fleet's do: at equal utilization a slow node
    /// misses the latency objective before a quick one does.
    pub fn effective_capacity(&self, node: &Node, config: &Config, now: Moment) -> f64 {
        let factor = match (node.load.utilization(), node.load.latency()) {
            (Some(_), Some(latency)) => {
                (self.usual_latency / latency).powf(LATENCY_FACTOR.exponent)
            }
            _ => 1.0,
        };
        self.capacity(node, config, now) * factor.clamp(LATENCY_FACTOR.least, LATENCY_FACTOR.most)
    }

    /// What a node is assumed to serve before its own reports tell.
    fn prior(&self, node: &Node, config: &Config, now: Moment) -> f64 {
        (self.nominal_capacity(node) * node.capacity_share(config, now)).max(1e-3)
    }

    /// Reads new load reports into the estimates. `rate_at` is what a node is seen to serve.
    pub fn learn(
        &mut self,
        nodes: &mut Nodes,
        config: &Config,
        input: &LearningInput,
        rate_at: impl Fn(NodeId) -> f64,
    ) {
        self.update_quickest(nodes);
        let comparison = self.compare_latencies(nodes, input.objective);
        for id in nodes.open_ids() {
            let rate = rate_at(id);
            self.learn_node(nodes, id, rate, config, input, &comparison);
        }
        self.scale_unreported(nodes, rate_at);
    }

    /// The shortest mean latency of each kind; forgotten slowly, as what all nodes depend on may change.
    fn update_quickest(&mut self, nodes: &Nodes) {
        let mut latencies: BTreeMap<KindId, Vec<f64>> = BTreeMap::new();
        let known =
            |node: &&Node| node.is_ready() && node.load.evidence() >= LEARNING.prior_periods;
        for node in nodes.values().filter(known) {
            let of_kind = latencies.entry(node.kind()).or_default();
            of_kind.extend(node.load.latency());
        }
        for (kind, mut known) in latencies {
            known.sort_by(f64::total_cmp);
            if let Some(median) = known.get(known.len() / 2) {
                let quickest = self.quickest.entry(kind).or_insert(*median);
                *quickest = (*quickest * QUICKEST_GROWTH).min(*median);
            }
        }
    }

    fn compare_latencies(&self, nodes: &Nodes, objective: f64) -> LatencyComparison {
        let relative = |node: &Node| {
            let quickest = self.quickest.get(&node.kind()).copied();
            let base = quickest.unwrap_or(objective).sqrt();
            let new = node.load.unlearned();
            let all = new.seconds + new.failures * objective * LEARNING.failure_objectives;
            (all / new.attempts.max(1.0) / base).max(1e-6).ln()
        };
        let by_node: BTreeMap<NodeId, f64> = nodes
            .iter()
            .map(|(id, node)| (*id, relative(node)))
            .collect();
        let failures = nodes
            .values()
            .map(|node| node.load.unlearned().failures)
            .sum::<f64>();
        let attempts = nodes
            .values()
            .map(|node| node.load.unlearned().attempts)
            .sum::<f64>();
        let mut by_kind = BTreeMap::<KindId, LatencySum>::new();
        let mut fleet = LatencySum::default();
        for (id, node) in nodes.iter() {
            let attempts = node.load.unlearned().attempts;
            for sum in [by_kind.entry(node.kind()).or_default(), &mut fleet] {
                sum.weighted += attempts * by_node[id];
                sum.attempts += attempts;
            }
        }
        LatencyComparison {
            by_node,
            by_kind,
            fleet,
            failure_share: failures / attempts.max(1.0),
        }
    }

    /// Little evidence weighs little, and old evidence fades, so a node that gets next to nothing because it
    /// was slow once is tried again.
    fn learn_node(
        &self,
        nodes: &mut Nodes,
        id: NodeId,
        rate: f64,
        config: &Config,
        input: &LearningInput,
        comparison: &LatencyComparison,
    ) {
        let utilization = self.utilization(&nodes[&id]);
        let log_prior = self.prior(&nodes[&id], config, input.now).ln();
        let Some(node) = nodes.get_mut(&id) else {
            return;
        };
        let kind = node.kind();
        let load = &mut node.load;
        load.fade((-0.5 / REPORT_MEMORY.average_cycles).exp(), rate);
        let (new, window) = load.take_unlearned();
        if new.attempts <= 0.0 {
            return;
        }
        let weight = new.attempts / (new.attempts + LEARNING.half_weight_attempts);
        load.add_evidence(2.0 * weight);
        // With no figure at all, as after a start in the middle of an overload, its queue must do. A node that
        // fails far more than the fleet is itself too slow for what it gets, and must show that.
        let failure_share = new.failures / new.attempts;
        let shows_queue = failure_share > LEARNING.failing_share
            && failure_share < comparison.failure_share * LEARNING.failing_ratio
            && load.log_capacity().is_some();
        match load.utilization().and(utilization) {
            Some(busy)
                if busy > LEARNING.least_utilization
                    && rate > 0.0
                    && load.evidence() > LEARNING.first_periods_ignored
                    && !shows_queue =>
            {
                let covers = window * (2.0 * weight).min(1.0);
                load.add_capacity((rate / busy).ln(), covers, input.memory);
            }
            Some(_) => {}
            None => {
                let old = load.log_capacity().unwrap_or(log_prior);
                let latency = comparison.by_node[&id];
                let step = comparison.step(kind, latency, weight, input.is_strained);
                load.set_capacity(old + (step - LEARNING.return_step * (old - log_prior)));
            }
        }
        let held = input.objective * LEARNING.held_objective;
        if load.latency().is_some_and(|latency| latency < held) {
            load.raise_peak_within_objective(rate);
        }
    }

    /// Without utilization a node's estimate only compares it with the others; all of them together are held
    /// against what the fleet serves and how much longer that takes than at its quickest.
    fn scale_unreported(&self, nodes: &mut Nodes, rate_at: impl Fn(NodeId) -> f64) {
        let (mut rates, mut busy, mut capacities) = (0.0, 0.0, 0.0);
        let mut unreported = Vec::new();
        for (id, node) in nodes.open() {
            let figures = (
                node.load.utilization(),
                self.utilization(node),
                node.load.log_capacity(),
            );
            if let (None, Some(utilization), Some(log_capacity)) = figures {
                let rate = rate_at(*id);
                (rates, busy) = (rates + rate, busy + rate * utilization);
                capacities += log_capacity.exp();
                unreported.push((*id, log_capacity));
            }
        }
        if rates <= 0.0 || busy <= 0.0 {
            return;
        }
        let ratio = (rates * rates / busy / capacities).max(1e-9);
        let shift = LEARNING.scale_step * ratio.ln().clamp(-1.0, 1.0);
        for (id, log_capacity) in unreported {
            if let Some(node) = nodes.get_mut(&id) {
                node.load.set_capacity(log_capacity + shift);
            }
        }
    }

    /// Once a round: by kind, what a ready node serves and was seen to serve for each unit of listed weight.
    pub fn update_kind_means(&mut self, nodes: &Nodes, demand: f64) {
        let blind = demand.max(1.0) / ASSUMED_UTILIZATION / nodes.open_weight().max(1e-6);
        let estimate = |node: &Node| {
            let known = node.load.evidence() > LEARNING.prior_periods;
            node.load.log_capacity().filter(|_| known).map(f64::exp)
        };
        let peak = |node: &Node| Some(node.load.recent_peak()).filter(|peak| *peak > 0.0);
        let kinds: BTreeSet<KindId> = nodes.values().map(Node::kind).collect();
        let means = |kind: KindId| {
            let capacity = self
                .mean_per_weight(nodes, kind, estimate)
                .unwrap_or_else(|| blind * self.relative_speed(nodes, kind));
            let observed_peak = self.mean_per_weight(nodes, kind, peak);
            (
                kind,
                KindMeans {
                    capacity,
                    observed_peak,
                },
            )
        };
        self.kinds = kinds.into_iter().map(means).collect();
        self.usual_latency = mean_latency(nodes, |_| true).unwrap_or(1.0);
    }

    /// How much quicker a kind is than the fleet, by the latency of its ready nodes: what it is taken for while
    /// nothing better is known of it. Listed weights may tell of size and not of speed.
    fn relative_speed(&self, nodes: &Nodes, kind: KindId) -> f64 {
        let own = mean_latency(nodes, |node| node.kind() == kind && node.is_ready());
        own.map_or(1.0, |own| {
            (self.usual_latency / own).clamp(KIND_SPEED.least, KIND_SPEED.most)
        })
    }

    /// A figure for each unit of listed weight, over the ready nodes of a kind, else of the fleet.
    fn mean_per_weight(
        &self,
        nodes: &Nodes,
        kind: KindId,
        figure: impl Fn(&Node) -> Option<f64>,
    ) -> Option<f64> {
        let mean = |counts: &dyn Fn(&Node) -> bool| {
            let ready = nodes
                .values()
                .filter(|node| node.is_ready() && counts(node));
            let known = ready.filter_map(|node| Some((figure(node)?, node.weight())));
            let (sum, weights) = known.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            (weights > 0.0).then(|| sum / weights)
        };
        let of_fleet = || Some(mean(&|_| true)? * self.relative_speed(nodes, kind));
        mean(&|node| node.kind() == kind).or_else(of_fleet)
    }
}

impl LatencyComparison {
    /// How far latency moves an estimate: a kind is told from others before a node is from its kind; under
    /// strain by queues only.
    fn step(&self, kind: KindId, latency: f64, weight: f64, is_strained: bool) -> f64 {
        let kind_step = if is_strained { 0.0 } else { LEARNING.kind_step };
        let own_kind = self.by_kind[&kind];
        let apart = (self.fleet.mean() - own_kind.mean()).clamp(-1.0, 1.0) * own_kind.attempts
            / (own_kind.attempts + LEARNING.half_weight_attempts);
        let own = weight * (own_kind.mean() - latency).clamp(-1.0, 1.0);
        kind_step * apart + LEARNING.node_step * own
    }
}

/// The mean latency at some nodes (geometric, by what they serve).
fn mean_latency(nodes: &Nodes, counts: impl Fn(&Node) -> bool) -> Option<f64> {
    let own = nodes.values().filter(|node| counts(node));
    let known = own.filter_map(|node| {
        let latency = node.load.latency()?.max(1e-6).ln();
        Some((latency, node.load.recent_peak().max(1e-3)))
    });
    let (sum, weights) = known.fold((0.0, 0.0), |sum, (latency, rate)| {
        (sum.0 + latency * rate, sum.1 + rate)
    });
    (weights > 0.0).then(|| (sum / weights).exp())
}
