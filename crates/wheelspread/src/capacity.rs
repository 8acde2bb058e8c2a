//! Capacity estimates: how much each node can serve, and how busy it is.
//!
//! Where nodes report utilization, capacity is what succeeds at full utilization. Where they don't, kinds of
//! node and single nodes are compared by their latency, in small steps.

mod learning;

pub(crate) use learning::LearningInput;

use crate::config::Config;
use crate::ids::{KindId, NodeId};
use crate::lifecycle::{Node, Nodes};
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Report periods that the mean of a node's kind counts beside the node's own reports.
const PRIOR_PERIODS: f64 = 3.0;
/// Of the evidence from before a restart.
const RESTORED_EVIDENCE_RATIO: f64 = 0.5;
/// Utilization that is assumed before anything was reported.
pub(crate) const ASSUMED_UTILIZATION: f64 = 0.6;

/// A range of ratios.
struct RatioRange {
    min_ratio: f64,
    max_ratio: f64,
}

/// A node's own estimate, to that of its kind.
const ESTIMATE_RANGE: RatioRange = RatioRange {
    min_ratio: 0.1,
    max_ratio: 10.0,
};
/// What latency may tell of a kind's speed, to that of the fleet.
const KIND_SPEED_RANGE: RatioRange = RatioRange {
    min_ratio: 0.5,
    max_ratio: 1.6,
};

/// Utilization by latency, in the shape of a queue before a few cores.
struct QueueShape {
    /// Waiting time at the quickest, to the service time.
    min_wait_ratio: f64,
    factor: f64,
    exponent: f64,
    /// The most utilization without a queue.
    max_without_queue: f64,
    /// More of it for each request that waits.
    per_waiting_request: f64,
}

const QUEUE_SHAPE: QueueShape = QueueShape {
    min_wait_ratio: 0.12,
    factor: 3.4,
    exponent: 0.65,
    max_without_queue: 0.66,
    per_waiting_request: 0.3,
};

/// What a node's latency changes of its effective capacity.
struct LatencyFactor {
    /// Power of the fleet's latency by the node's.
    exponent: f64,
    min_ratio: f64,
    max_ratio: f64,
}

const LATENCY_FACTOR: LatencyFactor = LatencyFactor {
    exponent: 0.3,
    min_ratio: 0.4,
    max_ratio: 1.25,
};

/// What is kept of a node over a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySnapshot {
    /// The node.
    pub node: NodeId,
    /// Logarithm of the requests per second that it can serve.
    pub log_capacity: f64,
    /// Report periods that the capacity rests on.
    pub evidence: f64,
    /// The shortest mean latency of its kind, in seconds.
    pub kind_base_latency: f64,
}

impl CapacitySnapshot {
    /// Whether all figures are usable.
    pub fn is_valid(&self) -> bool {
        self.log_capacity.is_finite()
            && self.evidence.is_finite()
            && self.evidence >= 0.0
            && self.kind_base_latency > 0.0
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

/// What is known of kinds of node, and of the fleet's latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityModel {
    /// The shortest mean latency that each kind has shown, in seconds.
    base_latency: BTreeMap<KindId, f64>,
    kinds: BTreeMap<KindId, KindMeans>,
    /// The fleet's mean latency in seconds.
    fleet_latency: f64,
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
        for snapshot in snapshots.iter().filter(|snapshot| snapshot.is_valid()) {
            let Some(node) = nodes
                .get_mut(&snapshot.node)
                .filter(|node| node.is_ready() && node.load.evidence() <= 0.0)
            else {
                continue;
            };
            node.load.restore(
                snapshot.log_capacity,
                snapshot.evidence * RESTORED_EVIDENCE_RATIO,
            );
            self.base_latency
                .entry(node.kind())
                .or_insert(snapshot.kind_base_latency);
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
                log_capacity: node.load.log_capacity()?,
                evidence: node.load.evidence(),
                kind_base_latency: *self.base_latency.get(&node.kind())?,
            })
        })
    }

    /// How busy a node is, of 1. Where reports don't say, from how much longer its requests take than those
    /// of its kind did at their quickest, as far as the queue that it reports allows: time lost on the way is
    /// not its load, and an admission cut for it never ends. Queues alone don't serve: they stay empty until it
    /// is too late.
    pub fn utilization(&self, node: &Node) -> Option<f64> {
        node.load.utilization().or_else(|| {
            let base_latency = self.base_latency.get(&node.kind())?;
            let wait =
                (node.load.latency()? / base_latency - 1.0).max(0.0) + QUEUE_SHAPE.min_wait_ratio;
            let load = QUEUE_SHAPE.factor * wait.powf(QUEUE_SHAPE.exponent);
            let limit = node.load.queue_length().map_or(1.0, |length| {
                QUEUE_SHAPE.max_without_queue + QUEUE_SHAPE.per_waiting_request * length
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
        let blended = (own * evidence + prior.ln() * PRIOR_PERIODS) / (evidence + PRIOR_PERIODS);
        blended.exp().clamp(
            prior * ESTIMATE_RANGE.min_ratio,
            prior * ESTIMATE_RANGE.max_ratio,
        )
    }

    /// The same, less where requests take longer than the fleet's do: at equal utilization a slow node
    /// misses the latency objective before a quick one does.
    pub fn effective_capacity(&self, node: &Node, config: &Config, now: Moment) -> f64 {
        let factor = match (node.load.utilization(), node.load.latency()) {
            (Some(_), Some(latency)) => {
                (self.fleet_latency / latency).powf(LATENCY_FACTOR.exponent)
            }
            _ => 1.0,
        };
        self.capacity(node, config, now)
            * factor.clamp(LATENCY_FACTOR.min_ratio, LATENCY_FACTOR.max_ratio)
    }

    /// What a node is assumed to serve before its own reports tell.
    fn prior(&self, node: &Node, config: &Config, now: Moment) -> f64 {
        (self.nominal_capacity(node) * node.capacity_ratio(config, now)).max(1e-3)
    }

    /// Once a round: by kind, what a ready node serves and was seen to serve for each unit of listed weight.
    pub fn update_kind_means(&mut self, nodes: &Nodes, demand: f64) {
        let assumed_capacity =
            demand.max(1.0) / ASSUMED_UTILIZATION / nodes.open_weight().max(1e-6);
        let estimate = |node: &Node| {
            let known = node.load.evidence() > PRIOR_PERIODS;
            node.load.log_capacity().filter(|_| known).map(f64::exp)
        };
        let peak = |node: &Node| Some(node.load.recent_peak()).filter(|peak| *peak > 0.0);
        let kinds: BTreeSet<KindId> = nodes.values().map(Node::kind).collect();
        let means = |kind: KindId| {
            let capacity = self
                .mean_per_weight(nodes, kind, estimate)
                .unwrap_or_else(|| assumed_capacity * self.relative_speed(nodes, kind));
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
        self.fleet_latency = mean_latency(nodes, |_| true).unwrap_or(1.0);
    }

    /// How much quicker a kind is than the fleet, by the latency of its ready nodes: what it is taken for while
    /// nothing better is known of it. Listed weights may tell of size and not of speed.
    fn relative_speed(&self, nodes: &Nodes, kind: KindId) -> f64 {
        let own = mean_latency(nodes, |node| node.kind() == kind && node.is_ready());
        own.map_or(1.0, |own| {
            (self.fleet_latency / own).clamp(KIND_SPEED_RANGE.min_ratio, KIND_SPEED_RANGE.max_ratio)
        })
    }

    /// A figure for each unit of listed weight, over the ready nodes of a kind, else of the fleet.
    fn mean_per_weight(
        &self,
        nodes: &Nodes,
        kind: KindId,
        value: impl Fn(&Node) -> Option<f64>,
    ) -> Option<f64> {
        let mean = |counts: &dyn Fn(&Node) -> bool| {
            let ready = nodes
                .values()
                .filter(|node| node.is_ready() && counts(node));
            let known = ready.filter_map(|node| Some((value(node)?, node.weight())));
            let (sum, weights) =
                known.fold((0.0, 0.0), |sum, item| (sum.0 + item.0, sum.1 + item.1));
            (weights > 0.0).then(|| sum / weights)
        };
        let of_fleet = || Some(mean(&|_| true)? * self.relative_speed(nodes, kind));
        mean(&|node| node.kind() == kind).or_else(of_fleet)
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
