//! How load reports change the capacity estimates.

use super::{CapacityModel, PRIOR_PERIODS};
use crate::config::Config;
use crate::ids::{KindId, NodeId};
use crate::lifecycle::{Node, Nodes};
use crate::node_load::{AttemptStats, NodeLoad};
use crate::report_timing::REPORT_RETENTION;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// How capacity follows from load reports.
struct LearningParameters {
    /// Attempts in a report that weigh as half a full period.
    half_weight_attempts: f64,
    /// Report periods that teach no capacity yet: the first reports speak of the time before.
    min_evidence: f64,
    /// Least reported utilization that says something of capacity.
    min_utilization: f64,
    /// Each period, of a kind's distance in latency to the fleet.
    kind_step: f64,
    /// Each period, of a node's distance in latency to its kind.
    node_step: f64,
    /// Each period, of an estimate's distance to that of its kind.
    prior_step: f64,
    /// Each period, of the fleet's distance to the rate that its latency suggests.
    scale_step: f64,
    /// Failures by attempts: with more, a node shows its queue and not its capacity.
    min_failure_ratio: f64,
    /// Failures by attempts, to those of the fleet: with more, the node itself is too slow.
    max_relative_failure_ratio: f64,
    /// Latency objectives that a failure counts.
    failure_latency_ratio: f64,
    /// Of the latency objective: while latency is below it, the rate counts as served well.
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

/// Each period, the factor by which the quickest latency of a kind is forgotten.
const BASE_LATENCY_GROWTH: f64 = 1.003;

/// What a learning step goes by, beside the nodes.
pub(crate) struct LearningInput {
    /// Time constant of averages.
    pub time_constant: Span,
    /// The shortest latency objective, in seconds.
    pub objective: f64,
    /// Whether the fleet is overloaded: latency then tells of queues, not of speed.
    pub is_overloaded: bool,
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
    failure_ratio: f64,
}

impl CapacityModel {
    /// Reads new load reports into the estimates. `rate_at` is what a node is seen to serve.
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

    /// The shortest mean latency of each kind; forgotten slowly, as what all nodes depend on may change.
    fn update_base_latencies(&mut self, nodes: &Nodes) {
        let mut latencies: BTreeMap<KindId, Vec<f64>> = BTreeMap::new();
        let known = |node: &&Node| node.is_ready() && node.load.evidence() >= PRIOR_PERIODS;
        for node in nodes.values().filter(known) {
            let of_kind = latencies.entry(node.kind()).or_default();
            of_kind.extend(node.load.latency());
        }
        for (kind, mut known) in latencies {
            known.sort_by(f64::total_cmp);
            if let Some(median) = known.get(known.len() / 2) {
                let base_latency = self.base_latency.entry(kind).or_insert(*median);
                *base_latency = (*base_latency * BASE_LATENCY_GROWTH).min(*median);
            }
        }
    }

    fn compare_latencies(&self, nodes: &Nodes, objective: f64) -> LatencyComparison {
        let relative = |node: &Node| {
            let base_latency = self.base_latency.get(&node.kind()).copied();
            let base = base_latency.unwrap_or(objective).sqrt();
            let new = node.load.pending();
            let total_seconds =
                new.seconds + new.failures * objective * LEARNING.failure_latency_ratio;
            (total_seconds / new.attempts.max(1.0) / base)
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
        load.decay((-0.5 / REPORT_RETENTION.time_constant_cycles).exp(), rate);
        let (new, window) = load.take_pending();
        if new.attempts <= 0.0 {
            return;
        }
        let weight = new.attempts / (new.attempts + LEARNING.half_weight_attempts);
        load.add_evidence(2.0 * weight);
        let fails_from_fleet_overload = comparison.fails_from_fleet_overload(new, load);
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
                let old = load.log_capacity().unwrap_or(log_prior);
                let latency = comparison.by_node[&id];
                let step = comparison.step(kind, latency, weight, input.is_overloaded);
                load.set_capacity(old + (step - LEARNING.prior_step * (old - log_prior)));
            }
        }
        let met_latency = input.objective * LEARNING.met_latency_ratio;
        if load.latency().is_some_and(|latency| latency < met_latency) {
            load.record_rate_within_objective(rate);
        }
    }

    /// Without utilization a node's estimate only compares it with the others; all of them together are held
    /// against what the fleet serves and how much longer that takes than at its quickest.
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
    /// How far latency moves an estimate: a kind is told from others before a node is from its kind; under
    /// strain by queues only.
    fn step(&self, kind: KindId, latency: f64, weight: f64, is_overloaded: bool) -> f64 {
        let kind_step = if is_overloaded {
            0.0
        } else {
            LEARNING.kind_step
        };
        let own_kind = self.by_kind[&kind];
        let kind_distance = (self.fleet.mean() - own_kind.mean()).clamp(-1.0, 1.0)
            * own_kind.attempts
            / (own_kind.attempts + LEARNING.half_weight_attempts);
        let node_distance = weight * (own_kind.mean() - latency).clamp(-1.0, 1.0);
        kind_step * kind_distance + LEARNING.node_step * node_distance
    }

    /// Whether a node's failures are those of an overloaded fleet: its rate then shows its queue and not its
    /// capacity. With no estimate at all, as after a start in the middle of an overload, its queue must do. A node
    /// that fails far more than the fleet is itself too slow for what it gets, and must show that.
    fn fails_from_fleet_overload(&self, new: AttemptStats, load: &NodeLoad) -> bool {
        let failure_ratio = new.failures / new.attempts;
        failure_ratio > LEARNING.min_failure_ratio
            && failure_ratio < self.failure_ratio * LEARNING.max_relative_failure_ratio
            && load.log_capacity().is_some()
    }
}
