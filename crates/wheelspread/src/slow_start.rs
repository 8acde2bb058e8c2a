//! Slow start: keeps nodes that warm up below the load that would push them over.
//!
//! Limits go by what ready nodes of the same kind are seen to serve, never by an estimate of what they could.

use crate::capacity::ASSUMED_UTILIZATION;
use crate::fleet::Fleet;
use crate::ids::{NodeId, TableId, ZoneId};
use crate::lifecycle::Node;
use crate::shares::{NodeWeights, TableWeights};
use std::collections::BTreeMap;

/// How far a warming node is kept from being pushed over.
struct WarmingLimit {
    /// To the root of the factor that pushes it over.
    overload_factor_ratio: f64,
    /// To the limit: entries are lowered only when the load is over that, as each lowering costs every proxy a
    /// message.
    tolerance: f64,
    /// To the limit: the least that is left where peers' proxies bring load too.
    min_ratio_beside_peers: f64,
    /// How often entries are lowered: each time the rest of the table gains.
    iterations: usize,
    min_weight: f64,
}

const WARMING_LIMIT: WarmingLimit = WarmingLimit {
    overload_factor_ratio: 0.75,
    tolerance: 1.3,
    min_ratio_beside_peers: 0.3,
    iterations: 5,
    min_weight: 1e-3,
};

/// When proxies' own avoidance makes weights unreliable.
struct AvoidanceRisk {
    /// Report cycles after the first report since the start in which nothing can be known of it.
    unobserved_cycles: f64,
    /// Report cycles over which failures are counted.
    failure_cycles: f64,
    /// Chance of a run of errors that makes a proxy avoid a node: with more, many nodes are avoided.
    max_run_probability: f64,
    /// Power of a node's usable share: how much of its share avoided nodes leave to the others.
    usable_ratio_exponent: i32,
}

const AVOIDANCE_RISK: AvoidanceRisk = AvoidanceRisk {
    unobserved_cycles: 4.0,
    failure_cycles: 2.0,
    max_run_probability: 0.1,
    usable_ratio_exponent: 4,
};

/// The most that all proxies together may bring a warming node, far enough under what pushes it over that bursts
/// and what other nodes reject still fit: where most nodes refuse, proxies and clients retry, and within a
/// second it gets five times its share. Also covers a fleet that mostly warms up.
pub(crate) fn warming_limit(fleet: &Fleet, node: &Node) -> f64 {
    let nominal = fleet.capacity.nominal_capacity(node);
    let served = fleet
        .capacity
        .observed_peak(node.kind())
        .map_or(nominal * ASSUMED_UTILIZATION, |peak| peak * node.weight())
        .min(nominal);
    WARMING_LIMIT.overload_factor_ratio
        * fleet.config.warm_up_overload_factor.sqrt()
        * node.capacity_ratio(&fleet.config, fleet.now)
        * served
}

/// Lowers the entries of warming nodes in `draft` until what they bring, with the attempts of proxies that are not
/// observed, of other controllers and of retries, stays within their limits.
pub(crate) fn limit_warming_entries(fleet: &Fleet, draft: &mut TableWeights) {
    if fleet.config.errors_until_avoided > 0.0 {
        remove_unsafe_entries(fleet, draft);
    }
    let only_warming = |entries: &NodeWeights| entries.keys().all(|id| fleet.nodes.is_warming(id));
    for entries in draft.values_mut().filter(|entries| only_warming(entries)) {
        // With nothing else to go to, each gets its part and admission is cut to what they take together.
        for (id, weight) in entries.iter_mut() {
            *weight = warming_limit(fleet, &fleet.nodes[id]).max(WARMING_LIMIT.min_weight);
        }
    }
    let load = IncomingLoad::new(fleet);
    for (id, node) in fleet.nodes.iter().filter(|(_, node)| node.is_warming()) {
        let limit = warming_limit(fleet, node);
        let limit =
            (limit - fleet.peers_rate(*id)).max(limit * WARMING_LIMIT.min_ratio_beside_peers);
        let is_over = load.at(*id, draft) > limit * WARMING_LIMIT.tolerance;
        if !is_over {
            continue;
        }
        for _ in 0..WARMING_LIMIT.iterations {
            let factor = (limit / load.at(*id, draft).max(1e-9)).min(1.0);
            for entries in draft.values_mut().filter(|entries| !only_warming(entries)) {
                if let Some(weight) = entries.get_mut(id) {
                    *weight = (*weight * factor).max(WARMING_LIMIT.min_weight);
                }
            }
        }
    }
}

/// Proxies that avoid what fails leave the whole load to the entries that don't, however small their weight. While
/// runs of errors that long are common, a warming node gets no entry beside ready ones; nor while nothing can be
/// known of them: some cycles after a start, or in a zone that is not observed, as after a network partition.
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

/// The load that a draft brings to single nodes.
struct IncomingLoad<'a> {
    fleet: &'a Fleet,
    /// Admitted requests per second by table.
    admitted_rates: BTreeMap<TableId, f64>,
    /// Attempts by request, with those of proxies and controllers that are not observed.
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

    fn at(&self, node: NodeId, draft: &TableWeights) -> f64 {
        let loads = draft
            .iter()
            .filter_map(|(table, entries)| self.table_share(node, *table, entries));
        loads.sum::<f64>() * self.amplification
    }

    /// Where proxies avoid what fails, the others' part comes to the entries that work: they count by that.
    fn table_share(&self, node: NodeId, table: TableId, entries: &NodeWeights) -> Option<f64> {
        let zone = self.fleet.tables[&table].zone();
        let own_load = self.admitted_rates[&table] * entries.get(&node)?;
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
        Some(own_load / remaining_weights.sum::<f64>().max(1e-9))
    }
}

/// How many times the joined proxies' load there may be: proxies and controllers that are not observed. Where
/// controllers never hear of each other, what nodes are seen to do is counted by own proxies too.
fn unobserved_factor(fleet: &Fleet) -> f64 {
    if fleet.config.controller_count > 1.0 && !fleet.config.gossip_enabled {
        return 1.0;
    }
    let joined = fleet.members.joined().count() as f64;
    // What peers' proxies bring is counted by itself.
    let peer_proxies = fleet.gossip.proxies(fleet.gossip_since());
    ((fleet.config.proxy_count - peer_proxies) / joined.max(1.0)).max(1.0)
}
