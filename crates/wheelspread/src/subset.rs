//! Subsets of large zones: each part of a zone's proxies uses a table of its own over a part of the zone's nodes.

use crate::fleet::Fleet;
use crate::ids::{TableId, ZoneId};
use crate::tables::zones_of;
use std::collections::BTreeMap;

/// When a zone is divided into subsets.
struct Subsetting {
    /// Uses of an entry within the time after which a proxy closes an idle connection.
    uses_while_idle: f64,
    /// Least nodes of a subset.
    least_nodes: f64,
    /// Tables for each proxy, at most.
    tables_per_proxy: f64,
    /// Tables in all zones, at most.
    most_tables: f64,
}

const SUBSETTING: Subsetting = Subsetting {
    uses_while_idle: 10.0,
    least_nodes: 6.0,
    tables_per_proxy: 0.2,
    most_tables: 3e4,
};

/// Part of a zone's row of nodes, which has length 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubsetRange {
    pub from: f64,
    pub until: f64,
}

/// How many proxies of a zone are likely to join here in all.
fn expected_proxies(fleet: &Fleet) -> f64 {
    let zones = zones_of(&fleet.tables).len().max(1) as f64;
    let controllers = if fleet.config.proxies_join_by_zone {
        1.0
    } else {
        fleet.config.controller_count.max(1.0)
    };
    fleet.config.proxy_count / (zones * controllers)
}

/// Divides a zone's proxies into subsets with tables of their own over as many parts of its nodes, where one
/// table's entries would hardly be used before connections close. Fixed once proxies have joined.
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
        // Proxies that were bound while there was no subset yet are bound again, each to its own.
        if subsets > 1 {
            fleet.members.rebind_zone(*zone);
        }
    }
}

/// Into how many subsets a zone is divided; `None` while it has no nodes or no proxies.
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
        .demand_of(|proxy| proxy.has_joined() && proxy.zone() == zone);
    let uses = demand / proxies.max(1.0) * fleet.config.connection_idle.seconds();
    let most = expected_proxies * SUBSETTING.tables_per_proxy / tables.max(1) as f64;
    let least_nodes = (uses / SUBSETTING.uses_while_idle).max(SUBSETTING.least_nodes);
    let subsets = (nodes / least_nodes).min(most);
    Some(subsets.clamp(1.0, SUBSETTING.most_tables / zones as f64) as u16)
}

/// Replaces a table by one for each subset.
fn split_table(fleet: &mut Fleet, id: TableId, subsets: u16, zones: usize) {
    for subset in 0..subsets {
        let table = fleet.tables[&id].for_subset(subset, subsets);
        let new_id = TableId(id.0 + subset * 2 * zones as u16);
        fleet.tables.insert(new_id, table);
    }
}

/// For each subset of a zone's proxies, the part of the row that its demand fills. Proxies that are still to come
/// count alike in each subset: by the first few alone, every join moved all ranges.
pub(crate) fn subset_ranges(fleet: &Fleet) -> BTreeMap<(ZoneId, u16), SubsetRange> {
    let demand = demand_by_subset(fleet);
    let of_zone = |zone: ZoneId| {
        demand
            .range((zone, 0)..=(zone, u16::MAX))
            .map(|(_, sum)| sum)
    };
    let before = |zone: ZoneId, subset: u16| {
        let earlier = demand.range((zone, 0)..(zone, subset));
        earlier.map(|(_, sum)| sum).sum::<f64>()
    };
    let range = |(zone, subset): (ZoneId, u16)| {
        let all: f64 = of_zone(zone).sum();
        let from = before(zone, subset) / all;
        (
            (zone, subset),
            SubsetRange {
                from,
                until: before(zone, subset + 1) / all,
            },
        )
    };
    demand.keys().map(|key| range(*key)).collect()
}

fn demand_by_subset(fleet: &Fleet) -> BTreeMap<(ZoneId, u16), f64> {
    let mut demand: BTreeMap<(ZoneId, u16), f64> = BTreeMap::new();
    for table in fleet.tables.values() {
        *demand.entry((table.zone(), table.subset())).or_default() += fleet.demand_of(table) + 1e-3;
    }
    let expected = expected_proxies(fleet);
    for zone in zones_of(&fleet.tables) {
        let own = fleet
            .members
            .proxies()
            .values()
            .filter(|proxy| proxy.zone() == zone);
        let known = own.count() as f64;
        let own_demand = fleet.members.demand_of(|proxy| proxy.zone() == zone);
        let missing = (expected - known).max(0.0) * own_demand / known.max(1.0);
        let subsets = demand.range((zone, 0)..=(zone, u16::MAX)).count().max(1) as f64;
        for (_, sum) in demand.range_mut((zone, 0)..=(zone, u16::MAX)) {
            *sum += missing / subsets;
        }
    }
    demand
}
