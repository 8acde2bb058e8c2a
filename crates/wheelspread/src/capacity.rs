//! Capacity estimates: how many requests per second each node can serve, and its utilization.
//!
//! For nodes that report utilization, capacity is the rate of successes divided by the utilization. For other nodes,
//! latencies are compared between kinds and between the nodes of a kind, and the estimates move in small steps.

mod learning;

pub(crate) use learning::LearningInput;

use crate::config::Config;
use crate::ids::{KindId, NodeId};
use crate::lifecycle::{Node, Nodes};
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of the prior, which is based on the mean of the node's kind, against the node's own reports, in report
/// periods.
const PRIOR_PERIODS: f64 = 3.0;
/// Factor by which the evidence of a capacity estimate is reduced when the estimate is restored after a restart.
const RESTORED_EVIDENCE_RATIO: f64 = 0.5;
/// Utilization that is assumed before the first report.
pub(crate) const ASSUMED_UTILIZATION: f64 = 0.6;

/// A range of ratios.
struct RatioRange {
    min_ratio: f64,
    max_ratio: f64,
}

/// Bounds of a node's capacity, as ratios of its prior.
const ESTIMATE_RANGE: RatioRange = RatioRange {
    min_ratio: 0.1,
    max_ratio: 10.0,
};
/// Bounds of a kind's relative speed by latency, as ratios of the fleet's speed.
const KIND_SPEED_RANGE: RatioRange = RatioRange {
    min_ratio: 0.5,
    max_ratio: 1.6,
};

/// Utilization as a function of latency, modelled on a queue in front of a few cores: with `load = factor *
/// wait^exponent`, utilization is `load / (1 + load)`.
struct QueueShape {
    /// Waiting time at base latency, as a ratio of base latency.
    min_wait_ratio: f64,
    factor: f64,
    exponent: f64,
    /// Maximum utilization while no request waits.
    max_without_queue: f64,
    /// Increase of that maximum for each waiting request.
    per_waiting_request: f64,
}

const QUEUE_SHAPE: QueueShape = QueueShape {
    min_wait_ratio: 0.12,
    factor: 3.4,
    exponent: 0.65,
    max_without_queue: 0.66,
    per_waiting_request: 0.3,
};

/// The factor by which a node's latency changes its effective capacity.
struct LatencyFactor {
    /// Exponent of the ratio of the fleet's mean latency to the node's.
    exponent: f64,
    min_ratio: f64,
    max_ratio: f64,
}

const LATENCY_FACTOR: LatencyFactor = LatencyFactor {
    exponent: 0.3,
    min_ratio: 0.4,
    max_ratio: 1.25,
};

/// The capacity estimate of a node, kept over a restart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySnapshot {
    /// The node.
    pub node: NodeId,
    /// Natural logarithm of the requests per second that the node can serve.
    pub log_capacity: f64,
    /// Report periods on which the capacity estimate is based.
    pub evidence: f64,
    /// Base latency of the node's kind, in seconds: the shortest that the kind has shown.
    pub kind_base_latency: f64,
}

impl CapacitySnapshot {
    /// Whether all values are usable: finite, evidence not negative, base latency above 0.
    pub fn is_valid(&self) -> bool {
        self.log_capacity.is_finite()
            && self.evidence.is_finite()
            && self.evidence >= 0.0
            && self.kind_base_latency > 0.0
    }
}

/// Mean values of the ready nodes of one kind, per unit of listed weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindEstimate {
    /// Requests per second that a ready node can serve.
    pub capacity: f64,
    /// Peak observed rate of a ready node, in requests per second; `None`: no rate was observed in the fleet.
    pub peak_observed_rate: Option<f64>,
}

/// Capacity and latency of each kind of node, and the fleet's latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityModel {
    /// Base latency of each kind, in seconds: the lowest median of its nodes' mean latencies.
    base_latency: BTreeMap<KindId, f64>,
    kinds: BTreeMap<KindId, KindEstimate>,
    /// The fleet's mean latency, in seconds.
    fleet_latency: f64,
    /// Whether load reports arrived that the estimates do not use yet.
    has_new_reports: bool,
}

impl CapacityModel {
    /// Records that a load report arrived.
    pub fn on_load_report(&mut self) {
        self.has_new_reports = true;
    }

    /// Whether load reports arrived since the last call.
    pub fn take_new_reports(&mut self) -> bool {
        std::mem::take(&mut self.has_new_reports)
    }

    /// Restores estimates from before a restart for ready nodes without evidence of their own. Their evidence is
    /// reduced by `RESTORED_EVIDENCE_RATIO`.
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

    /// The estimates of ready nodes that have evidence.
    pub fn snapshots<'a>(
        &'a self,
        nodes: &'a Nodes,
    ) -> impl Iterator<Item = CapacitySnapshot> + 'a {
        let ready_with_evidence = nodes
            .iter()
            .filter(|(_, node)| node.is_ready() && node.load.evidence() > 0.0);
        ready_with_evidence.filter_map(|(id, node)| {
            Some(CapacitySnapshot {
                node: *id,
                log_capacity: node.load.log_capacity()?,
                evidence: node.load.evidence(),
                kind_base_latency: *self.base_latency.get(&node.kind())?,
            })
        })
    }

    /// Utilization of a node; 1 is full. If the node does not report it, it is estimated from the ratio of the
    /// node's latency to the base latency of its kind, up to a limit that depends on the reported queue length.
    /// Without that limit network delay would count as load, and an admission cut made for it would never end. Queue
    /// length alone is not used, since queues stay empty until the node is about to be overloaded.
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

    /// The estimate of each kind that a listed node has.
    pub fn kind_estimates(&self) -> impl Iterator<Item = (KindId, KindEstimate)> + '_ {
        self.kinds.iter().map(|(kind, estimate)| (*kind, *estimate))
    }

    /// Nominal capacity: requests per second that a ready node of this kind and listed weight can serve.
    pub fn nominal_capacity(&self, node: &Node) -> f64 {
        node.weight()
            * self
                .kinds
                .get(&node.kind())
                .map_or(0.0, |kind| kind.capacity)
    }

    /// Peak observed rate of a kind's ready nodes, in requests per second per unit of listed weight.
    pub fn peak_observed_rate(&self, kind: KindId) -> Option<f64> {
        self.kinds
            .get(&kind)
            .and_then(|estimate| estimate.peak_observed_rate)
    }

    /// Requests per second that a node can serve now: the geometric mean of the node's estimate and its prior, weighted
    /// by the evidence and by `PRIOR_PERIODS`, within `ESTIMATE_RANGE` of the prior.
    pub fn capacity(&self, node: &Node, config: &Config, now: Moment) -> f64 {
        let prior = self.prior(node, config, now);
        let log_estimate = node.load.log_capacity().unwrap_or(prior.ln());
        let evidence = node.load.evidence();
        let blended =
            (log_estimate * evidence + prior.ln() * PRIOR_PERIODS) / (evidence + PRIOR_PERIODS);
        blended.exp().clamp(
            prior * ESTIMATE_RANGE.min_ratio,
            prior * ESTIMATE_RANGE.max_ratio,
        )
    }

    /// The capacity of a node that reports utilization, reduced if its latency is above the fleet's mean and raised if
    /// it is below: at equal utilization a slow node misses the latency objective before a fast one does. For other
    /// nodes it is the capacity, which already depends on latency.
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

    /// The prior: capacity that is assumed before the node's own reports provide evidence.
    fn prior(&self, node: &Node, config: &Config, now: Moment) -> f64 {
        (self.nominal_capacity(node) * node.capacity_ratio(config, now)).max(1e-3)
    }

    /// Updates the capacity and peak observed rate of each kind, per unit of listed weight, and the fleet's mean
    /// latency. While no ready node has enough evidence, the capacity of a kind is computed from `demand`, the requests
    /// per second of the fleet, at `ASSUMED_UTILIZATION`.
    pub fn update_kind_estimates(&mut self, nodes: &Nodes, demand: f64) {
        let assumed_capacity =
            demand.max(1.0) / ASSUMED_UTILIZATION / nodes.open_weight().max(1e-6);
        let node_capacity = |node: &Node| {
            let has_evidence = node.load.evidence() > PRIOR_PERIODS;
            node.load
                .log_capacity()
                .filter(|_| has_evidence)
                .map(f64::exp)
        };
        let recent_peak = |node: &Node| Some(node.load.recent_peak()).filter(|peak| *peak > 0.0);
        let kinds: BTreeSet<KindId> = nodes.values().map(Node::kind).collect();
        let kind_estimate = |kind: KindId| {
            let capacity = self
                .mean_per_weight(nodes, kind, node_capacity)
                .unwrap_or_else(|| assumed_capacity * self.relative_speed(nodes, kind));
            let peak_observed_rate = self.mean_per_weight(nodes, kind, recent_peak);
            (
                kind,
                KindEstimate {
                    capacity,
                    peak_observed_rate,
                },
            )
        };
        self.kinds = kinds.into_iter().map(kind_estimate).collect();
        self.fleet_latency = mean_latency(nodes, |_| true).unwrap_or(1.0);
    }

    /// Speed of a kind as a ratio of the fleet's, from the latency of the kind's ready nodes. Used while no ready node
    /// of the kind has an estimate, as listed weights may describe the size of a node and not its speed.
    fn relative_speed(&self, nodes: &Nodes, kind: KindId) -> f64 {
        let kind_latency = mean_latency(nodes, |node| node.kind() == kind && node.is_ready());
        kind_latency.map_or(1.0, |latency| {
            (self.fleet_latency / latency)
                .clamp(KIND_SPEED_RANGE.min_ratio, KIND_SPEED_RANGE.max_ratio)
        })
    }

    /// The mean of a value per unit of listed weight over the ready nodes of a kind. If none of them has the value,
    /// the mean over the fleet times the kind's relative speed.
    fn mean_per_weight(
        &self,
        nodes: &Nodes,
        kind: KindId,
        value: impl Fn(&Node) -> Option<f64>,
    ) -> Option<f64> {
        let mean = |is_included: &dyn Fn(&Node) -> bool| {
            let ready = nodes
                .values()
                .filter(|node| node.is_ready() && is_included(node));
            let values = ready.filter_map(|node| Some((value(node)?, node.weight())));
            let (sum, weights) =
                values.fold((0.0, 0.0), |sum, item| (sum.0 + item.0, sum.1 + item.1));
            (weights > 0.0).then(|| sum / weights)
        };
        let fleet_mean = || Some(mean(&|_| true)? * self.relative_speed(nodes, kind));
        mean(&|node| node.kind() == kind).or_else(fleet_mean)
    }
}

/// Geometric mean latency of the included nodes in seconds, weighted by their recent peak rates; `None` if no latency
/// is known.
fn mean_latency(nodes: &Nodes, is_included: impl Fn(&Node) -> bool) -> Option<f64> {
    let included = nodes.values().filter(|node| is_included(node));
    let weighted_latencies = included.filter_map(|node| {
        let log_latency = node.load.latency()?.max(1e-6).ln();
        Some((log_latency, node.load.recent_peak().max(1e-3)))
    });
    let (sum, weights) = weighted_latencies.fold((0.0, 0.0), |sum, (log_latency, rate)| {
        (sum.0 + log_latency * rate, sum.1 + rate)
    });
    (weights > 0.0).then(|| (sum / weights).exp())
}
