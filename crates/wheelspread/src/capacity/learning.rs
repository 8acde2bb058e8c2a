//! Updates of the capacity estimates from load reports.

use super::{CapacityModel, PRIOR_PERIODS};
use crate::config::Config;
use crate::ids::{KindId, NodeId};
use crate::lifecycle::{Node, Nodes};
use crate::node_load::{AttemptStats, NodeLoad};
use crate::report_timing::REPORT_VALIDITY;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// Parameters of the capacity updates. Each `_step` is the ratio of the named distance between logarithms that one
/// update covers.
struct LearningParameters {
    /// Attempts at which an update has half of its full weight.
    half_weight_attempts: f64,
    /// Evidence, in report periods, up to which reported utilization is not used: the first reports still describe the
    /// time before the node got its current load.
    min_evidence: f64,
    /// Reported utilization up to which it is too low to derive the capacity from it.
    min_utilization: f64,
    /// Distance of a kind's latency to the fleet's.
    kind_step: f64,
    /// Distance of a node's latency to its kind's.
    node_step: f64,
    /// Distance of a node's estimate to its prior.
    prior_step: f64,
    /// Distance of the summed estimates to the total capacity that the utilization by latency suggests.
    scale_step: f64,
    /// Ratio of failures to attempts above which a node's rate may reflect its queue instead of its capacity.
    min_failure_ratio: f64,
    /// The node's failure ratio, as a multiple of the fleet's, from which the node itself is too slow.
    max_relative_failure_ratio: f64,
    /// Latency that each failure counts as, in latency objectives.
    failure_latency_ratio: f64,
    /// Latency, as a ratio of the shortest latency objective, below which a rate counts as served within the objective.
    met_latency_ratio: f64,
}

const LEARNING: LearningParameters = LearningParameters {
    half_weight_attempts: 3.0,
    min_evidence: 1.5,
    min_utilization: 0.1,
    kind_step: 0.22,
    node_step: 0.12,
    prior_step: 0.02,
    scale_step: 0.2,
    min_failure_ratio: 0.25,
    max_relative_failure_ratio: 2.0,
    failure_latency_ratio: 1.0,
    met_latency_ratio: 0.5,
};

/// The factor by which the base latency of a kind grows at each update, unless its median latency is lower.
const BASE_LATENCY_GROWTH: f64 = 1.003;

/// Input of an update, in addition to the nodes.
pub(crate) struct LearningInput {
    /// The common time constant of averages.
    pub time_constant: Span,
    /// The shortest latency objective, in seconds.
    pub objective: f64,
    /// Whether the fleet is overloaded: latency then reflects queues and not the speed of nodes.
    pub is_overloaded: bool,
    pub now: Moment,
}

/// Sums of attempts and of relative latency over a set of nodes.
#[derive(Clone, Copy, Default)]
struct LatencySum {
    /// Sum over the nodes of attempts times the logarithm of the relative latency.
    weighted: f64,
    attempts: f64,
}

impl LatencySum {
    fn mean(self) -> f64 {
        self.weighted / self.attempts
    }
}

/// The relative latencies in one update, as natural logarithms.
struct LatencyComparison {
    by_node: BTreeMap<NodeId, f64>,
    by_kind: BTreeMap<KindId, LatencySum>,
    fleet: LatencySum,
    /// The fleet's ratio of failures to attempts.
    failure_ratio: f64,
}

impl CapacityModel {
    /// Updates the estimates from new load reports. `rate_at` is the observed rate of successes per second at a node.
    pub fn learn(
        &mut self,
        nodes: &mut Nodes,
        config: &Config,
        input: &LearningInput,
        rate_at: impl Fn(NodeId) -> f64,
    ) {
        self.update_base_latencies(nodes);
        let comparison = self.compare_latencies(nodes, input.objective);
        for id in nodes.open_ids() {
            let rate = rate_at(id);
            self.learn_node(nodes, id, rate, config, input, &comparison);
        }
        self.scale_unreported(nodes, rate_at);
    }

    /// Updates the base latency of each kind: the lowest median latency that its ready nodes have shown. The base
    /// latency grows by `BASE_LATENCY_GROWTH` at each update, as the latency of services on which all nodes depend may
    /// change.
    fn update_base_latencies(&mut self, nodes: &Nodes) {
        let mut latencies: BTreeMap<KindId, Vec<f64>> = BTreeMap::new();
        let is_ready_with_evidence =
            |node: &&Node| node.is_ready() && node.load.evidence() >= PRIOR_PERIODS;
        for node in nodes.values().filter(is_ready_with_evidence) {
            let kind_latencies = latencies.entry(node.kind()).or_default();
            kind_latencies.extend(node.load.latency());
        }
        for (kind, mut kind_latencies) in latencies {
            kind_latencies.sort_by(f64::total_cmp);
            if let Some(median) = kind_latencies.get(kind_latencies.len() / 2) {
                let base_latency = self.base_latency.entry(kind).or_insert(*median);
                *base_latency = (*base_latency * BASE_LATENCY_GROWTH).min(*median);
            }
        }
    }

    /// Computes the relative latency of each node: its mean latency, with failures counted as latency, divided by the
    /// square root of its kind's base latency (or of the objective, if that is unknown).
    fn compare_latencies(&self, nodes: &Nodes, objective: f64) -> LatencyComparison {
        let relative = |node: &Node| {
            let base_latency = self.base_latency.get(&node.kind()).copied();
            let base = base_latency.unwrap_or(objective).sqrt();
            let reported = node.load.pending();
            let total_seconds = reported.success_seconds
                + reported.failures * objective * LEARNING.failure_latency_ratio;
            (total_seconds / reported.attempts.max(1.0) / base)
                .max(1e-6)
                .ln()
        };
        let by_node: BTreeMap<NodeId, f64> = nodes
            .iter()
            .map(|(id, node)| (*id, relative(node)))
            .collect();
        let failures = nodes
            .values()
            .map(|node| node.load.pending().failures)
            .sum::<f64>();
        let attempts = nodes
            .values()
            .map(|node| node.load.pending().attempts)
            .sum::<f64>();
        let mut by_kind = BTreeMap::<KindId, LatencySum>::new();
        let mut fleet = LatencySum::default();
        for (id, node) in nodes.iter() {
            let attempts = node.load.pending().attempts;
            for sum in [by_kind.entry(node.kind()).or_default(), &mut fleet] {
                sum.weighted += attempts * by_node[id];
                sum.attempts += attempts;
            }
        }
        LatencyComparison {
            by_node,
            by_kind,
            fleet,
            failure_ratio: failures / attempts.max(1.0),
        }
    }

    /// Updates the estimate of one node. Reports of few attempts have little weight and old evidence decays, so a node
    /// that was slow once and now gets few requests moves back towards its prior and gets more again.
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
        load.decay((-0.5 / REPORT_VALIDITY.time_constant_cycles).exp(), rate);
        let (reported, window) = load.take_pending();
        if reported.attempts <= 0.0 {
            return;
        }
        let weight = reported.attempts / (reported.attempts + LEARNING.half_weight_attempts);
        load.add_evidence(2.0 * weight);
        let fails_from_fleet_overload = comparison.fails_from_fleet_overload(reported, load);
        match load.utilization().and(utilization) {
            Some(observed_utilization)
                if observed_utilization > LEARNING.min_utilization
                    && rate > 0.0
                    && load.evidence() > LEARNING.min_evidence
                    && !fails_from_fleet_overload =>
            {
                let covered = window * (2.0 * weight).min(1.0);
                load.add_capacity_sample(
                    (rate / observed_utilization).ln(),
                    covered,
                    input.time_constant,
                );
            }
            Some(_) => {}
            None => {
                let log_capacity = load.log_capacity().unwrap_or(log_prior);
                let latency = comparison.by_node[&id];
                let step = comparison.step(kind, latency, weight, input.is_overloaded);
                load.set_capacity(
                    log_capacity + (step - LEARNING.prior_step * (log_capacity - log_prior)),
                );
            }
        }
        let met_latency = input.objective * LEARNING.met_latency_ratio;
        if load.latency().is_some_and(|latency| latency < met_latency) {
            load.record_rate_within_objective(rate);
        }
    }

    /// Scales the estimates of nodes that do not report utilization. Each estimate only compares a node with the
    /// others, so their sum is moved towards the capacity that the served rate and the utilization by latency suggest.
    fn scale_unreported(&self, nodes: &mut Nodes, rate_at: impl Fn(NodeId) -> f64) {
        let (mut rate_sum, mut weighted_utilization, mut capacity_sum) = (0.0, 0.0, 0.0);
        let mut unreported = Vec::new();
        for (id, node) in nodes.open() {
            let estimates = (
                node.load.utilization(),
                self.utilization(node),
                node.load.log_capacity(),
            );
            if let (None, Some(utilization), Some(log_capacity)) = estimates {
                let rate = rate_at(*id);
                (rate_sum, weighted_utilization) =
                    (rate_sum + rate, weighted_utilization + rate * utilization);
                capacity_sum += log_capacity.exp();
                unreported.push((*id, log_capacity));
            }
        }
        let is_serving = rate_sum > 0.0 && weighted_utilization > 0.0;
        if !is_serving {
            return;
        }
        let ratio = (rate_sum * rate_sum / weighted_utilization / capacity_sum).max(1e-9);
        let shift = LEARNING.scale_step * ratio.ln().clamp(-1.0, 1.0);
        for (id, log_capacity) in unreported {
            if let Some(node) = nodes.get_mut(&id) {
                node.load.set_capacity(log_capacity + shift);
            }
        }
    }
}

impl LatencyComparison {
    /// The change of a node's log capacity by latency. Kinds are separated faster than the nodes of a kind. While the
    /// fleet is overloaded, kinds are not compared, since latency then reflects queues.
    fn step(&self, kind: KindId, latency: f64, weight: f64, is_overloaded: bool) -> f64 {
        let kind_step = if is_overloaded {
            0.0
        } else {
            LEARNING.kind_step
        };
        let kind_sum = self.by_kind[&kind];
        let kind_distance = (self.fleet.mean() - kind_sum.mean()).clamp(-1.0, 1.0)
            * kind_sum.attempts
            / (kind_sum.attempts + LEARNING.half_weight_attempts);
        let node_distance = weight * (kind_sum.mean() - latency).clamp(-1.0, 1.0);
        kind_step * kind_distance + LEARNING.node_step * node_distance
    }

    /// Whether a node's failures are due to overload of the whole fleet. Its rate of successes then reflects its queue
    /// and not its capacity, and must not lower the estimate. False for a node without an estimate, as after a start
    /// during an overload: a rate that reflects the queue is better than no estimate. Also false for a node that fails
    /// far more often than the fleet: it is too slow for its load, and its estimate must follow.
    fn fails_from_fleet_overload(&self, reported: AttemptStats, load: &NodeLoad) -> bool {
        let failure_ratio = reported.failures / reported.attempts;
        failure_ratio > LEARNING.min_failure_ratio
            && failure_ratio < self.failure_ratio * LEARNING.max_relative_failure_ratio
            && load.log_capacity().is_some()
    }
}
