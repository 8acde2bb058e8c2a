//! Subsets of large zones: each subset of a zone's proxies has its own table, which covers a part of the zone's
//! nodes.

use crate::fleet::Fleet;
use crate::ids::{TableId, ZoneId};
use crate::tables::zones_of;
use std::collections::BTreeMap;

/// Bounds for the number of subsets of a zone.
struct SubsetRules {
    /// Minimum mean number of requests that a proxy sends to each entry of its table within the idle timeout of
    /// its connections.
    min_uses_per_idle_timeout: f64,
    /// Minimum number of nodes per subset.
    min_nodes: f64,
    /// Maximum number of tables per proxy.
    max_tables_per_proxy: f64,
    /// Maximum number of tables in all zones together.
    max_tables: f64,
}

const SUBSET_RULES: SubsetRules = SubsetRules {
    min_uses_per_idle_timeout: 10.0,
    min_nodes: 6.0,
    max_tables_per_proxy: 0.2,
    max_tables: 3e4,
};

/// A range of the ordered node list of a zone. Positions in the list are scaled to the range from 0 to 1, by
/// capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubsetRange {
    pub from: f64,
    pub until: f64,
}

/// Number of proxies per zone that are expected to join this controller.
fn expected_proxies(fleet: &Fleet) -> f64 {
    let zones = zones_of(&fleet.tables).len().max(1) as f64;
    let controllers = if fleet.config.proxies_join_by_zone {
        1.0
    } else {
        fleet.config.controller_count.max(1.0)
    };
    fleet.config.proxy_count / (zones * controllers)
}

/// Divides the proxies of a zone into subsets if a single table would have so many entries that a proxy's idle
/// connections would be closed before they are reused. Each subset gets its own table over a part of the zone's
/// nodes. The division of a zone is fixed once it has nodes and joined proxies.
pub(crate) fn divide_large_zones(fleet: &mut Fleet) {
    let zones = zones_of(&fleet.tables);
    let expected = expected_proxies(fleet);
    for zone in &zones {
        let undivided: Vec<TableId> = fleet
            .tables
            .iter()
            .filter(|(_, table)| table.zone() == *zone && !table.is_divided())
            .map(|(id, _)| *id)
            .collect();
        if undivided.is_empty() {
            continue;
        }
        let Some(subsets) = subset_count(fleet, *zone, undivided.len(), expected, zones.len())
        else {
            continue;
        };
        for id in undivided {
            split_table(fleet, id, subsets, zones.len());
        }
        // Proxies that were bound before the zone was divided are bound again, each to the table of its subset.
        if subsets > 1 {
            fleet.members.rebind_zone(*zone);
        }
    }
}

/// The number of subsets of a zone; `None` while the zone has no open nodes or no joined proxies.
fn subset_count(
    fleet: &Fleet,
    zone: ZoneId,
    tables: usize,
    expected_proxies: f64,
    zones: usize,
) -> Option<u16> {
    let joined = fleet
        .members
        .joined()
        .filter(|(_, proxy)| proxy.zone() == zone);
    let proxies = joined.count() as f64;
    let nodes = fleet.nodes.open().filter(|(_, node)| node.zone() == zone);
    let nodes = nodes.count() as f64;
    if nodes * proxies <= 0.0 {
        return None;
    }
    let demand = fleet
        .members
        .demand_where(|proxy| proxy.has_joined() && proxy.zone() == zone);
    let uses_per_idle_timeout = demand / proxies.max(1.0) * fleet.config.connection_idle.seconds();
    let max_subsets = expected_proxies * SUBSET_RULES.max_tables_per_proxy / tables.max(1) as f64;
    let min_nodes = (uses_per_idle_timeout / SUBSET_RULES.min_uses_per_idle_timeout)
        .max(SUBSET_RULES.min_nodes);
    let subsets = (nodes / min_nodes).min(max_subsets);
    Some(subsets.clamp(1.0, SUBSET_RULES.max_tables / zones as f64) as u16)
}

/// Replaces a table by one table per subset. The first subset keeps the table's ID.
fn split_table(fleet: &mut Fleet, id: TableId, subsets: u16, zones: usize) {
    for subset in 0..subsets {
        let table = fleet.tables[&id].for_subset(subset, subsets);
        let new_id = TableId(id.0 + subset * 2 * zones as u16);
        fleet.tables.insert(new_id, table);
    }
}

/// The range of the node list for each subset of each zone, in proportion to its demand. Proxies that are expected but
/// have not joined yet count equally for all subsets: when only the first few joined proxies counted, every join moved
/// all ranges.
pub(crate) fn subset_ranges(fleet: &Fleet) -> BTreeMap<(ZoneId, u16), SubsetRange> {
    let demand = demand_by_subset(fleet);
    let zone_demand = |zone: ZoneId| {
        demand
            .range((zone, 0)..=(zone, u16::MAX))
            .map(|(_, sum)| sum)
    };
    let demand_before = |zone: ZoneId, subset: u16| {
        let earlier = demand.range((zone, 0)..(zone, subset));
        earlier.map(|(_, sum)| sum).sum::<f64>()
    };
    let range = |(zone, subset): (ZoneId, u16)| {
        let total: f64 = zone_demand(zone).sum();
        let from = demand_before(zone, subset) / total;
        (
            (zone, subset),
            SubsetRange {
                from,
                until: demand_before(zone, subset + 1) / total,
            },
        )
    };
    demand.keys().map(|key| range(*key)).collect()
}

/// Demand by zone and subset, in requests per second: of the known proxies, and of the expected ones that have not
/// joined yet, which are assumed to have the mean demand of the zone's known proxies. A small constant keeps each sum
/// above 0.
fn demand_by_subset(fleet: &Fleet) -> BTreeMap<(ZoneId, u16), f64> {
    let mut demand: BTreeMap<(ZoneId, u16), f64> = BTreeMap::new();
    for table in fleet.tables.values() {
        *demand.entry((table.zone(), table.subset())).or_default() += fleet.demand_of(table) + 1e-3;
    }
    let expected = expected_proxies(fleet);
    for zone in zones_of(&fleet.tables) {
        let zone_proxies = fleet
            .members
            .proxies()
            .values()
            .filter(|proxy| proxy.zone() == zone);
        let known_proxies = zone_proxies.count() as f64;
        let zone_demand = fleet.members.demand_where(|proxy| proxy.zone() == zone);
        let expected_demand =
            (expected - known_proxies).max(0.0) * zone_demand / known_proxies.max(1.0);
        let subsets = demand.range((zone, 0)..=(zone, u16::MAX)).count().max(1) as f64;
        for (_, sum) in demand.range_mut((zone, 0)..=(zone, u16::MAX)) {
            *sum += expected_demand / subsets;
        }
    }
    demand
}
