//! Slow start: keeps the load of warming nodes below the load that would overload them.
//!
//! Limits are based on the peak observed rate of ready nodes of the same kind, not on capacity estimates.

use crate::capacity::ASSUMED_UTILIZATION;
use crate::fleet::Fleet;
use crate::ids::{NodeId, TableId, ZoneId};
use crate::lifecycle::Node;
use crate::shares::{NodeWeights, TableWeights};
use std::collections::BTreeMap;

/// Parameters of the load limit of warming nodes and of lowering their entries.
struct WarmingLimitRule {
    /// Factor of the square root of the setting `rules.cold_overload_factor`.
    overload_factor_ratio: f64,
    /// Entries are lowered only when the load exceeds the limit by this factor, as each change costs a message to every
    /// proxy.
    tolerance: f64,
    /// Minimum ratio of the limit that remains for this controller's proxies beside the load of peers' proxies.
    min_ratio_beside_peers: f64,
    /// How many times entries are lowered in one decision round. Lowering one entry shifts load to the other entries of
    /// the table, so one pass does not reach the limit.
    iterations: usize,
    /// Weights are not lowered below this value.
    min_weight: f64,
}

const WARMING_LIMIT: WarmingLimitRule = WarmingLimitRule {
    overload_factor_ratio: 0.75,
    tolerance: 1.3,
    min_ratio_beside_peers: 0.3,
    iterations: 5,
    min_weight: 1e-3,
};

/// Conditions under which proxies may avoid failing nodes on their own, so that the published weights do not determine
/// the load of the other nodes.
struct AvoidanceRisk {
    /// Report cycles after the first load report since the start during which failures count as unknown. After as many
    /// cycles without a load report a zone counts as unobserved.
    unobserved_cycles: f64,
    /// Report cycles over which failures and attempts are counted.
    failure_cycles: f64,
    /// Probability of a run of errors that makes a proxy avoid a node, above which many nodes are avoided.
    max_run_probability: f64,
    /// Exponent of another node's usable ratio: the result is the ratio of its weight that still gets traffic while
    /// proxies avoid failing nodes.
    usable_ratio_exponent: i32,
}

const AVOIDANCE_RISK: AvoidanceRisk = AvoidanceRisk {
    unobserved_cycles: 4.0,
    failure_cycles: 2.0,
    max_run_probability: 0.1,
    usable_ratio_exponent: 4,
};

/// The maximum load of a warming node from all proxies together, in requests per second. It leaves room for bursts and
/// for requests that other nodes reject: where most nodes reject, proxies and clients retry, and within a second the
/// node gets five times its share. The limit also holds in a fleet that consists mostly of warming nodes.
pub(crate) fn warming_limit(fleet: &Fleet, node: &Node) -> f64 {
    let nominal = fleet.capacity.nominal_capacity(node);
    let ready_rate = fleet
        .capacity
        .peak_observed_rate(node.kind())
        .map_or(nominal * ASSUMED_UTILIZATION, |peak| peak * node.weight())
        .min(nominal);
    WARMING_LIMIT.overload_factor_ratio
        * fleet.config.warm_up_overload_factor.sqrt()
        * node.capacity_ratio(&fleet.config, fleet.now)
        * ready_rate
}

/// Lowers the entries of warming nodes in `draft` until the nodes' load stays within their limits. The load includes
/// retries and the attempts of unobserved proxies and of other controllers' proxies.
pub(crate) fn limit_warming_entries(fleet: &Fleet, draft: &mut TableWeights) {
    if fleet.config.errors_until_avoided > 0.0 {
        remove_unsafe_entries(fleet, draft);
    }
    let has_only_warming =
        |entries: &NodeWeights| entries.keys().all(|id| fleet.nodes.is_warming(id));
    for entries in draft
        .values_mut()
        .filter(|entries| has_only_warming(entries))
    {
        // A table with no other nodes: weights follow the limits, and admission is cut to the sum of the limits.
        for (id, weight) in entries.iter_mut() {
            *weight = warming_limit(fleet, &fleet.nodes[id]).max(WARMING_LIMIT.min_weight);
        }
    }
    let load = IncomingLoad::new(fleet);
    for (id, node) in fleet.nodes.iter().filter(|(_, node)| node.is_warming()) {
        let limit = warming_limit(fleet, node);
        let limit =
            (limit - fleet.peers_rate(*id)).max(limit * WARMING_LIMIT.min_ratio_beside_peers);
        let exceeds_limit = load.attempt_rate(*id, draft) > limit * WARMING_LIMIT.tolerance;
        if !exceeds_limit {
            continue;
        }
        for _ in 0..WARMING_LIMIT.iterations {
            let factor = (limit / load.attempt_rate(*id, draft).max(1e-9)).min(1.0);
            for entries in draft
                .values_mut()
                .filter(|entries| !has_only_warming(entries))
            {
                if let Some(weight) = entries.get_mut(id) {
                    *weight = (*weight * factor).max(WARMING_LIMIT.min_weight);
                }
            }
        }
    }
}

/// Removes the entries of warming nodes beside ready ones where proxies' avoidance of failing nodes would overload
/// them: proxies that avoid nodes send the whole load to the remaining entries, however small their weight. The entries
/// are removed while error runs long enough for avoidance are common, and while failures are unknown: for some report
/// cycles after a start, or in a zone without load reports, as after a network partition.
fn remove_unsafe_entries(fleet: &Fleet, draft: &mut TableWeights) {
    let since = fleet.now - fleet.timing.cycle() * AVOIDANCE_RISK.unobserved_cycles;
    let bucket_count = fleet.timing.bucket_count(AVOIDANCE_RISK.failure_cycles);
    let recent = fleet.outliers.recent(fleet.now, bucket_count);
    let run_probability =
        (recent.failures / recent.attempts.max(1.0)).powf(fleet.config.errors_until_avoided);
    let is_unsafe = fleet.timing.lacks_load_reports_before(since)
        || run_probability > AVOIDANCE_RISK.max_run_probability;
    let is_observed = |zone: ZoneId| {
        let mut paths = fleet.outliers.paths();
        paths.any(|(key, path)| key.1 == zone && path.last_report_at() >= since)
    };
    let is_warming = |id: &NodeId| fleet.nodes.is_warming(id);
    for (id, entries) in draft.iter_mut() {
        if !entries.keys().all(is_warming) {
            entries.retain(|node, _| {
                !is_warming(node) || (!is_unsafe && is_observed(fleet.tables[id].zone()))
            });
        }
    }
}

/// The load of single nodes under a draft of the tables.
struct IncomingLoad<'a> {
    fleet: &'a Fleet,
    /// Admitted requests per second, by table.
    admitted_rates: BTreeMap<TableId, f64>,
    /// Ratio of all attempts, including those of unobserved proxies and controllers, to the admitted requests.
    amplification: f64,
}

impl IncomingLoad<'_> {
    fn new(fleet: &Fleet) -> IncomingLoad<'_> {
        let tables = fleet.tables.iter();
        let admitted_rates: BTreeMap<TableId, f64> = tables
            .map(|(id, table)| (*id, fleet.admitted_rate(table)))
            .collect();
        let attempts: f64 = fleet
            .outliers
            .paths()
            .filter_map(|(_, path)| path.attempt_rate())
            .sum();
        let admitted = admitted_rates.values().sum::<f64>().max(1e-6);
        let amplification = (attempts / admitted).max(1.0) * unobserved_factor(fleet);
        IncomingLoad {
            fleet,
            admitted_rates,
            amplification,
        }
    }

    /// Attempts per second that a node gets under `draft`.
    fn attempt_rate(&self, node: NodeId, draft: &TableWeights) -> f64 {
        let loads = draft
            .iter()
            .filter_map(|(table, entries)| self.table_rate(node, *table, entries));
        loads.sum::<f64>() * self.amplification
    }

    /// Admitted requests per second of a table that go to a node; `None` without an entry. Where proxies avoid failing
    /// nodes, the weights of the other entries are reduced to the part that still gets traffic.
    fn table_rate(&self, node: NodeId, table: TableId, entries: &NodeWeights) -> Option<f64> {
        let zone = self.fleet.tables[&table].zone();
        let weighted_rate = self.admitted_rates[&table] * entries.get(&node)?;
        let is_avoidance_enabled = self.fleet.config.errors_until_avoided > 0.0;
        let remaining_ratio = |other: &NodeId| {
            if *other == node || !is_avoidance_enabled {
                1.0
            } else {
                let usable_ratio = self.fleet.usable_ratio(zone, *other);
                usable_ratio.powi(AVOIDANCE_RISK.usable_ratio_exponent)
            }
        };
        let remaining_weights = entries
            .iter()
            .map(|(other, weight)| weight * remaining_ratio(other));
        Some(weighted_rate / remaining_weights.sum::<f64>().max(1e-9))
    }
}

/// Ratio of the load of all proxies, except those of peers, to the load of the joined proxies; the difference is the
/// load of proxies that are not observed. The ratio is 1 where several controllers exchange no gossip: the peak
/// observed rates, on which the limits are based, then include only the load of this controller's proxies too.
fn unobserved_factor(fleet: &Fleet) -> f64 {
    if fleet.config.controller_count > 1.0 && !fleet.config.gossip_enabled {
        return 1.0;
    }
    let joined = fleet.members.joined().count() as f64;
    // The load of peers' proxies is subtracted from the limits instead.
    let peer_proxies = fleet.gossip.peer_proxy_count(fleet.gossip_since());
    ((fleet.config.proxy_count - peer_proxies) / joined.max(1.0)).max(1.0)
}
