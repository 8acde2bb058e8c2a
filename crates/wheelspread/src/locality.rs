//! Target weights: where each table's traffic should go.
//!
//! Traffic stays in its zone up to a comfortable part of the zone's capacity, or somewhat above the fleet's
//! part; the rest goes where there is headroom. A zone's nodes stand in a row, in a random order that stays the
//! same, so that neighbours differ in kind and cell; each subset of its proxies uses the range of the row that
//! its part of the demand fills.

use crate::fleet::Fleet;
use crate::ids::{NodeId, ZoneId};
use crate::shares::{hash_position, shares, NodeWeights, TableWeights};
use crate::subset::{subset_ranges, SubsetRange};
use crate::tables::{DemandClass, Table};
use std::collections::{BTreeMap, BTreeSet};

/// Up to what utilization traffic stays in its zone.
struct ComfortableLoad {
    /// Of the zone's capacity.
    base: f64,
    /// More of it, by the price of crossing zones.
    by_price: f64,
    /// More than the utilization of the fleet.
    over_fleet: f64,
}

const COMFORTABLE_LOAD: ComfortableLoad = ComfortableLoad {
    base: 0.6,
    by_price: 3.0,
    over_fleet: 0.08,
};

/// Of a table's traffic: smaller entries are left out.
pub(crate) const LEAST_SHARE: f64 = 0.002;

/// An open node in the row.
struct Candidate {
    node: NodeId,
    zone: ZoneId,
    capacity: f64,
}

/// Shares of each table's traffic by node.
pub(crate) fn target_shares(fleet: &Fleet) -> TableWeights {
    let placement = Placement::new(fleet);
    let ranges = subset_ranges(fleet);
    let targets = fleet.tables.iter().map(|(id, table)| {
        let range = ranges[&(table.zone(), table.subset())];
        (*id, placement.table_shares(table, range))
    });
    targets.collect()
}

/// The nodes, what each zone can use of them, and how far each zone's demand exceeds what is comfortable.
struct Placement {
    row: Vec<Candidate>,
    /// By zone of the proxies, what each candidate can serve for them.
    usable: BTreeMap<ZoneId, Vec<f64>>,
    /// The same by zone of the proxies and zone of the nodes, summed.
    between: BTreeMap<(ZoneId, ZoneId), f64>,
    demand: BTreeMap<DemandClass, f64>,
    /// By zone, the demand over the comfortable load; below 0: headroom.
    excess: BTreeMap<ZoneId, f64>,
}

/// How a table's traffic divides between its own zone and the others.
struct Spillover {
    /// Part that leaves the zone.
    away: f64,
    /// By other zone, the headroom and the capacity there.
    reachable: BTreeMap<ZoneId, Reachable>,
    total: Reachable,
}

#[derive(Clone, Copy, Default)]
struct Reachable {
    headroom: f64,
    capacity: f64,
}

impl Placement {
    fn new(fleet: &Fleet) -> Placement {
        let row = node_row(fleet);
        let table_zones = fleet.tables.values().map(Table::zone);
        let zones: BTreeSet<ZoneId> = row.iter().map(|c| c.zone).chain(table_zones).collect();
        let usable = |from: ZoneId| {
            let shares = row
                .iter()
                .map(|c| c.capacity * fleet.usable_ratio(from, c.node));
            (from, shares.collect())
        };
        let usable: BTreeMap<ZoneId, Vec<f64>> = zones.iter().map(|zone| usable(*zone)).collect();
        let mut between: BTreeMap<(ZoneId, ZoneId), f64> = BTreeMap::new();
        for (from, capacities) in &usable {
            between.extend(zones.iter().map(|at| ((*from, *at), 0.0)));
            for (candidate, capacity) in row.iter().zip(capacities) {
                *between.entry((*from, candidate.zone)).or_default() += capacity;
            }
        }
        let mut placement = Placement {
            row,
            usable,
            between,
            demand: fleet.demand_by_class(),
            excess: BTreeMap::new(),
        };
        placement.excess = placement.zone_excess(&zones, fleet.config.cross_zone_price);
        placement
    }

    fn zone_excess(&self, zones: &BTreeSet<ZoneId>, price: f64) -> BTreeMap<ZoneId, f64> {
        let home: f64 = zones.iter().map(|zone| self.between[&(*zone, *zone)]).sum();
        let fleet_load = self.demand.values().sum::<f64>() / home.max(1e-6);
        let comfortable = (COMFORTABLE_LOAD.base + COMFORTABLE_LOAD.by_price * price)
            .max(fleet_load + COMFORTABLE_LOAD.over_fleet);
        let excess = |zone: ZoneId| {
            self.demand_at(zone, false) + self.demand_at(zone, true)
                - comfortable * self.between[&(zone, zone)]
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
        let at = table.zone();
        let others = self.excess.iter().filter(|(zone, _)| **zone != at);
        let reachable: BTreeMap<ZoneId, Reachable> = others
            .map(|(zone, excess)| {
                let headroom = (-excess).max(0.0);
                (
                    *zone,
                    Reachable {
                        headroom,
                        capacity: self.between[&(at, *zone)],
                    },
                )
            })
            .collect();
        let total = reachable
            .values()
            .fold(Reachable::default(), |sum, zone| Reachable {
                headroom: sum.headroom + zone.headroom,
                capacity: sum.capacity + zone.capacity,
            });
        let is_bound_to_zone = table.class().stays_in_zone || total.capacity <= 0.0;
        let away = match (is_bound_to_zone, self.between[&(at, at)] > 0.0) {
            (true, _) => 0.0,
            (false, false) => 1.0,
            (false, true) => {
                (self.excess[&at] / self.demand_at(at, false).max(1e-6)).clamp(0.0, 1.0)
            }
        };
        Spillover {
            away,
            reachable,
            total,
        }
    }

    /// Shares of one table's traffic, by the range of the row that its subset uses.
    fn table_shares(&self, table: &Table, range: SubsetRange) -> NodeWeights {
        let at = table.zone();
        let spillover = self.spillover(table);
        let mut filled = BTreeMap::<ZoneId, f64>::new();
        let mut entries = NodeWeights::new();
        for (candidate, usable) in self.row.iter().zip(&self.usable[&at]) {
            let whole = self.between[&(at, candidate.zone)].max(1e-6);
            let position = filled.entry(candidate.zone).or_default();
            let (from, to) = (*position / whole, (*position + usable) / whole);
            *position += usable;
            let overlap = (to.min(range.until) - from.max(range.from)).max(0.0);
            let within = overlap / (range.until - range.from);
            let share = within * spillover.share_of(candidate.zone);
            if share > LEAST_SHARE {
                entries.insert(candidate.node, share);
            }
        }
        if entries.is_empty() {
            // No table may be left without a node: with no healthy one, any open one will do.
            let stays = table.class().stays_in_zone;
            let allowed = self.row.iter().filter(|c| !stays || c.zone == at);
            entries = allowed.map(|c| (c.node, c.capacity.max(1e-6))).collect();
        }
        shares(&entries)
    }
}

impl Spillover {
    /// Part of the table's traffic that goes to a zone; the table's own is none of the others.
    fn share_of(&self, zone: ZoneId) -> f64 {
        match self.reachable.get(&zone) {
            None => 1.0 - self.away,
            Some(zone) if self.total.headroom > 0.0 => {
                self.away * zone.headroom / self.total.headroom
            }
            Some(zone) => self.away * zone.capacity / self.total.capacity.max(1e-6),
        }
    }
}

/// All open nodes, by zone and then in an order by chance that stays the same.
fn node_row(fleet: &Fleet) -> Vec<Candidate> {
    let open = fleet.nodes.open().map(|(id, node)| Candidate {
        node: *id,
        zone: node.zone(),
        capacity: fleet.effective_capacity_of(node),
    });
    let mut row: Vec<Candidate> = open.collect();
    row.sort_by_key(|candidate| (candidate.zone, hash_position(candidate.node)));
    row
}
