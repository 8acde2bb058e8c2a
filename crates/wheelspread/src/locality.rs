//! Target weights: the share of each table's traffic that each node should get.
//!
//! Traffic stays in its zone up to a utilization limit. The limit is a fixed ratio, raised by the price of cross-zone
//! traffic, or the utilization of the fleet plus a fixed difference, whichever is higher. The rest goes to zones with
//! headroom. The nodes of a zone are listed in a stable pseudorandom order, so that neighbors differ in kind and cell.
//! Each subset of the proxies of a zone uses a contiguous range of this list, in proportion to its part of the demand.

use crate::fleet::Fleet;
use crate::ids::{NodeId, ZoneId};
use crate::shares::{node_order_key, shares, NodeWeights, TableWeights};
use crate::subset::{subset_ranges, SubsetRange};
use crate::tables::{DemandClass, Table};
use std::collections::{BTreeMap, BTreeSet};

/// Parameters of the utilization up to which traffic stays in its zone.
struct LocalUtilizationLimit {
    /// Base limit, as a ratio of the zone's capacity.
    base: f64,
    /// Increase of the base limit per unit of the price of cross-zone traffic.
    per_cross_zone_price: f64,
    /// Difference to the utilization of the fleet: the limit is at least the utilization of the fleet plus this
    /// value.
    above_fleet_utilization: f64,
}

const LOCAL_UTILIZATION_LIMIT: LocalUtilizationLimit = LocalUtilizationLimit {
    base: 0.6,
    per_cross_zone_price: 3.0,
    above_fleet_utilization: 0.08,
};

/// Minimum share of a table's traffic; smaller entries are left out.
pub(crate) const MIN_SHARE: f64 = 0.002;

/// An open node in the ordered list.
struct Candidate {
    node: NodeId,
    zone: ZoneId,
    capacity: f64,
}

/// The target share of each node in the traffic of each table.
pub(crate) fn target_shares(fleet: &Fleet) -> TableWeights {
    let placement = Placement::new(fleet);
    let ranges = subset_ranges(fleet);
    let targets = fleet.tables.iter().map(|(id, table)| {
        let range = ranges[&(table.zone(), table.subset())];
        (*id, placement.table_shares(table, range))
    });
    targets.collect()
}

/// The open nodes, the capacity that each zone can use of them, and the demand of each zone beyond its utilization
/// limit.
struct Placement {
    candidates: Vec<Candidate>,
    /// By zone of the proxies, the capacity of each candidate that the proxies can use.
    usable_capacity: BTreeMap<ZoneId, Vec<f64>>,
    /// Usable capacity, summed by zone of the proxies and zone of the nodes.
    capacity_between: BTreeMap<(ZoneId, ZoneId), f64>,
    demand: BTreeMap<DemandClass, f64>,
    /// By zone, the demand beyond the utilization limit; a negative value is headroom.
    excess: BTreeMap<ZoneId, f64>,
}

/// Division of a table's traffic between its own zone and the other zones.
struct Spillover {
    /// Share of the traffic that leaves the zone.
    remote_share: f64,
    /// Headroom and capacity of each other zone.
    remote_zones: BTreeMap<ZoneId, RemoteZone>,
    /// Sums over the other zones.
    total: RemoteZone,
}

#[derive(Clone, Copy, Default)]
struct RemoteZone {
    headroom: f64,
    capacity: f64,
}

impl Placement {
    fn new(fleet: &Fleet) -> Placement {
        let candidates = ordered_candidates(fleet);
        let table_zones = fleet.tables.values().map(Table::zone);
        let zones: BTreeSet<ZoneId> = candidates
            .iter()
            .map(|candidate| candidate.zone)
            .chain(table_zones)
            .collect();
        let usable_capacity = |from: ZoneId| {
            let capacities = candidates
                .iter()
                .map(|candidate| candidate.capacity * fleet.usable_ratio(from, candidate.node));
            (from, capacities.collect())
        };
        let usable_capacity: BTreeMap<ZoneId, Vec<f64>> =
            zones.iter().map(|zone| usable_capacity(*zone)).collect();
        let mut capacity_between: BTreeMap<(ZoneId, ZoneId), f64> = BTreeMap::new();
        for (from, capacities) in &usable_capacity {
            capacity_between.extend(zones.iter().map(|node_zone| ((*from, *node_zone), 0.0)));
            for (candidate, capacity) in candidates.iter().zip(capacities) {
                *capacity_between.entry((*from, candidate.zone)).or_default() += capacity;
            }
        }
        let mut placement = Placement {
            candidates,
            usable_capacity,
            capacity_between,
            demand: fleet.demand_by_class(),
            excess: BTreeMap::new(),
        };
        placement.excess = placement.zone_excess(&zones, fleet.config.cross_zone_price);
        placement
    }

    /// Computes the excess of each zone; see [`Placement::excess`].
    fn zone_excess(&self, zones: &BTreeSet<ZoneId>, price: f64) -> BTreeMap<ZoneId, f64> {
        let local_capacity: f64 = zones
            .iter()
            .map(|zone| self.capacity_between[&(*zone, *zone)])
            .sum();
        let fleet_utilization = self.demand.values().sum::<f64>() / local_capacity.max(1e-6);
        let max_local_utilization = (LOCAL_UTILIZATION_LIMIT.base
            + LOCAL_UTILIZATION_LIMIT.per_cross_zone_price * price)
            .max(fleet_utilization + LOCAL_UTILIZATION_LIMIT.above_fleet_utilization);
        let excess = |zone: ZoneId| {
            self.demand_at(zone, false) + self.demand_at(zone, true)
                - max_local_utilization * self.capacity_between[&(zone, zone)]
        };
        zones.iter().map(|zone| (*zone, excess(*zone))).collect()
    }

    fn demand_at(&self, zone: ZoneId, stays_in_zone: bool) -> f64 {
        let class = DemandClass {
            zone,
            stays_in_zone,
        };
        self.demand.get(&class).copied().unwrap_or(0.0)
    }

    fn spillover(&self, table: &Table) -> Spillover {
        let own_zone = table.zone();
        let other_zones = self.excess.iter().filter(|(zone, _)| **zone != own_zone);
        let remote_zones: BTreeMap<ZoneId, RemoteZone> = other_zones
            .map(|(zone, excess)| {
                let headroom = (-excess).max(0.0);
                (
                    *zone,
                    RemoteZone {
                        headroom,
                        capacity: self.capacity_between[&(own_zone, *zone)],
                    },
                )
            })
            .collect();
        let total = remote_zones
            .values()
            .fold(RemoteZone::default(), |sum, zone| RemoteZone {
                headroom: sum.headroom + zone.headroom,
                capacity: sum.capacity + zone.capacity,
            });
        let is_local_only = table.class().stays_in_zone || total.capacity <= 0.0;
        let remote_share = match (
            is_local_only,
            self.capacity_between[&(own_zone, own_zone)] > 0.0,
        ) {
            (true, _) => 0.0,
            (false, false) => 1.0,
            (false, true) => {
                (self.excess[&own_zone] / self.demand_at(own_zone, false).max(1e-6)).clamp(0.0, 1.0)
            }
        };
        Spillover {
            remote_share,
            remote_zones,
            total,
        }
    }

    /// The target share of each node in one table's traffic. `range` is the part of the ordered node list that the
    /// table's subset uses.
    fn table_shares(&self, table: &Table, range: SubsetRange) -> NodeWeights {
        let own_zone = table.zone();
        let spillover = self.spillover(table);
        let mut assigned_capacity = BTreeMap::<ZoneId, f64>::new();
        let mut entries = NodeWeights::new();
        for (candidate, usable_capacity) in
            self.candidates.iter().zip(&self.usable_capacity[&own_zone])
        {
            let zone_capacity = self.capacity_between[&(own_zone, candidate.zone)].max(1e-6);
            let position = assigned_capacity.entry(candidate.zone).or_default();
            let (from, to) = (
                *position / zone_capacity,
                (*position + usable_capacity) / zone_capacity,
            );
            *position += usable_capacity;
            let overlap = (to.min(range.until) - from.max(range.from)).max(0.0);
            let range_share = overlap / (range.until - range.from);
            let share = range_share * spillover.share_of(candidate.zone);
            if share > MIN_SHARE {
                entries.insert(candidate.node, share);
            }
        }
        if entries.is_empty() {
            // A table must not be empty: if no node has a large enough share, all open nodes that the table may use
            // get an entry.
            let stays_in_zone = table.class().stays_in_zone;
            let allowed = self
                .candidates
                .iter()
                .filter(|candidate| !stays_in_zone || candidate.zone == own_zone);
            entries = allowed
                .map(|candidate| (candidate.node, candidate.capacity.max(1e-6)))
                .collect();
        }
        shares(&entries)
    }
}

impl Spillover {
    /// Share of the table's traffic that goes to a zone. The table's own zone is not among the remote zones.
    fn share_of(&self, zone: ZoneId) -> f64 {
        match self.remote_zones.get(&zone) {
            None => 1.0 - self.remote_share,
            Some(zone) if self.total.headroom > 0.0 => {
                self.remote_share * zone.headroom / self.total.headroom
            }
            Some(zone) => self.remote_share * zone.capacity / self.total.capacity.max(1e-6),
        }
    }
}

/// All open nodes, ordered by zone and then in a stable pseudorandom order.
fn ordered_candidates(fleet: &Fleet) -> Vec<Candidate> {
    let open_candidates = fleet.nodes.open().map(|(id, node)| Candidate {
        node: *id,
        zone: node.zone(),
        capacity: fleet.effective_capacity_of(node),
    });
    let mut candidates: Vec<Candidate> = open_candidates.collect();
    candidates.sort_by_key(|candidate| (candidate.zone, node_order_key(candidate.node)));
    candidates
}
