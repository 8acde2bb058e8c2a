//! The order of weight updates, after Cupid: W. Wang, W. He, J. Su, Y. Chen, "Cupid: Congestion-free Consistent
//! Data Plane Update In Software Defined Networks".
//!
//! Cupid orders flow-table updates so that no link is overloaded during a move. Here, nodes take the place of
//! links and tables the place of flows. A node is at risk when its limit holds the staying load together with
//! either the leaving or the arriving load, but not with both. A table that adds load to an at-risk node waits for
//! the tables that remove load from it. Tables that wait for no other table are published completely. Of the
//! tables that wait for each other, those whose complete move fits into the headroom are published completely; if
//! there is none, the table that can shift the most load makes a greedy step. If there is no headroom at all, the
//! admission of one table is cut.

use crate::fleet::Fleet;
use crate::flows::{is_waiting_for, node_flow, WaitGraph};
use crate::ids::{NodeId, TableId};
use crate::lifecycle::Node;
use crate::locality::MIN_SHARE;
use crate::shares::{shares, weight_of, NodeWeights, TableWeights};
use std::collections::{BTreeMap, BTreeSet};

/// Factors for the load limit of a node. The limit is the larger one of its load by listed weight and the highest rate
/// that it served within the latency objective, each multiplied by its factors.
struct NodeLimitFactors {
    /// Factor of the load that the node gets when all demand is spread by listed weight.
    even_share: f64,
    /// Additional factor of the same load while the node is warming.
    warming: f64,
    /// Factor of the highest rate that the node served within the latency objective.
    peak: f64,
}

const NODE_LIMIT_FACTORS: NodeLimitFactors = NodeLimitFactors {
    even_share: 1.5,
    warming: 0.5,
    peak: 1.25,
};

/// Change of an entry's share above which a step is needed, as a ratio of the larger share.
const MIN_STEP_CHANGE_RATIO: f64 = 0.12;
/// Ratio of a table's mean weight. When changes are compared, an entry of a smaller weight counts as having this
/// weight, so that small entries do not cause updates.
pub(crate) const SMALL_ENTRY_RATIO: f64 = 0.3;
/// Sum of the weights of a table that had no entries before.
pub(crate) const INITIAL_WEIGHT_SUM: f64 = 100.0;
/// Changes of load below this rate, in requests per second, are ignored.
const MIN_LOAD: f64 = 1e-9;

/// Bounds of the greedy step and of the admission cut, which resolve a deadlock of tables.
struct DeadlockLimits {
    /// Minimum size of a greedy step, as a ratio of the load that the table's complete move shifts.
    min_shift_ratio: f64,
    /// Headroom that an admission cut is to create, as a ratio of the load that the blocked table's complete move
    /// shifts.
    headroom_ratio: f64,
    /// Minimum ratio of a table's traffic that a cut leaves admitted.
    min_admitted_ratio: f64,
}

const DEADLOCK_LIMITS: DeadlockLimits = DeadlockLimits {
    min_shift_ratio: 0.01,
    headroom_ratio: 0.1,
    min_admitted_ratio: 0.5,
};

/// A reduction of one table's admitted traffic, applied while no deadlocked table has headroom to move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionCut {
    pub table: TableId,
    /// Ratio of the traffic that stays admitted.
    pub admitted_ratio: f64,
}

/// Plans one update step from the weights in `draft` towards `targets` and writes the new weights into `draft`.
/// Returns the admission cut that is needed if no deadlocked table has headroom to move.
pub(crate) fn plan_step(
    fleet: &Fleet,
    targets: &TableWeights,
    draft: &mut TableWeights,
) -> Option<AdmissionCut> {
    let mut plan = Plan::new(fleet, targets, draft);
    let moving = tables_needing_a_step(fleet, targets, draft);
    plan.compute_additions(&moving);
    let wait_graph = plan.wait_graph(&moving);
    let mut move_ratios: BTreeMap<TableId, f64> = unblocked_tables(&wait_graph);
    let deadlocked = deadlocked_tables(&moving, &wait_graph);
    let mut cut = None;
    if !plan.complete_moves(&deadlocked, &mut move_ratios) {
        cut = plan.greedy_step(fleet, &deadlocked, &mut move_ratios);
    }
    for (table, ratio) in move_ratios {
        plan.write_weights(table, ratio, draft);
    }
    cut
}

/// The loads, in requests per second, from which one update step is planned.
struct Plan {
    /// Load by table and node with the published weights.
    published: TableWeights,
    /// Load by table and node with the target weights.
    target: TableWeights,
    /// The target load, reduced at nodes whose limit is exceeded by the arriving and staying load alone.
    goal: TableWeights,
    /// Nodes that must lose load before they can take the arriving load.
    at_risk: BTreeSet<NodeId>,
    /// Load that each node can take in addition before anything leaves it; below 0 if it is over its limit.
    headroom: NodeWeights,
    /// By table, the load that it adds to each at-risk node.
    additions: BTreeMap<TableId, Vec<(NodeId, f64)>>,
}

/// The part of a table's move that is possible in this step.
struct Shift {
    /// Load that the complete move removes from nodes.
    moved_load: f64,
    /// The minimum headroom of the at-risk nodes to which the table adds load, and that node; `None`: there is no
    /// such node.
    min_headroom: Option<(f64, NodeId)>,
}

impl Shift {
    fn possible_load(&self) -> f64 {
        self.min_headroom
            .map_or(0.0, |(headroom, _)| self.moved_load.min(headroom))
    }
}

impl Plan {
    fn new(fleet: &Fleet, targets: &TableWeights, draft: &TableWeights) -> Plan {
        let (mut published, mut target) = (TableWeights::new(), TableWeights::new());
        for (id, table) in &fleet.tables {
            let traffic = fleet.admitted_rate(table).max(1e-3);
            published.insert(*id, scaled(&shares(&draft[id]), traffic));
            target.insert(*id, scaled(&targets[id], traffic));
        }
        let goal = target.clone();
        let mut plan = Plan {
            published,
            target,
            goal,
            at_risk: BTreeSet::new(),
            headroom: NodeWeights::new(),
            additions: BTreeMap::new(),
        };
        let demand = fleet.demand_by_class().values().sum::<f64>();
        let rate_per_weight = demand / fleet.nodes.open_weight().max(1e-6);
        for (id, node) in fleet.nodes.iter() {
            plan.assess_node(
                *id,
                node_limit(node, rate_per_weight),
                fleet.peers_rate(*id),
            );
        }
        plan
    }

    /// Computes the headroom of a node from its leaving, arriving and staying load, and whether it is at risk.
    fn assess_node(&mut self, id: NodeId, limit: f64, peers_rate: f64) {
        let flow = node_flow(&self.published, &self.target, id);
        let staying = flow.staying + peers_rate;
        let headroom = limit - flow.leaving - staying;
        self.headroom.insert(id, headroom);
        if flow.leaving + staying <= limit
            && flow.arriving + staying <= limit
            && flow.leaving + flow.arriving + staying > limit
        {
            self.at_risk.insert(id);
        } else if flow.arriving > 0.0 && flow.arriving + staying > limit {
            // The arriving and staying load alone exceed the limit: the weight increases in steps within the
            // headroom.
            let ratio = (headroom.max(0.0) / flow.arriving).min(1.0);
            for (table, loads) in &mut self.goal {
                let before = weight_of(&self.published, *table, id);
                if let Some(after) = loads.get_mut(&id) {
                    *after = after.min(before + (*after - before).max(0.0) * ratio);
                }
            }
        }
    }

    fn compute_additions(&mut self, moving: &[TableId]) {
        let additions_of = |table: TableId| {
            let added = self.at_risk.iter().map(|node| {
                let before = weight_of(&self.published, table, *node);
                (*node, weight_of(&self.goal, table, *node) - before)
            });
            (
                table,
                added.filter(|(_, added)| *added > MIN_LOAD).collect(),
            )
        };
        self.additions = moving.iter().map(|table| additions_of(*table)).collect();
    }

    fn removes_load_from(&self, table: TableId, node: NodeId) -> bool {
        weight_of(&self.published, table, node) > weight_of(&self.target, table, node) + MIN_LOAD
    }

    /// For each moving table, the tables that it waits for. Removals come before additions: a table that adds load to
    /// an at-risk node waits for every table that removes load from it.
    fn wait_graph(&self, moving: &[TableId]) -> WaitGraph {
        let waits_for = |table: &TableId| {
            let other_tables = moving.iter().copied().filter(|other| other != table);
            let awaited = other_tables.filter(|other| {
                let additions = &self.additions[table];
                additions
                    .iter()
                    .any(|(node, _)| self.removes_load_from(*other, *node))
            });
            (*table, awaited.collect())
        };
        moving.iter().map(waits_for).collect()
    }

    /// Publishes each deadlocked table completely if the headroom takes all load that it adds. Returns whether any
    /// table was published.
    fn complete_moves(
        &mut self,
        deadlocked: &[TableId],
        move_ratios: &mut BTreeMap<TableId, f64>,
    ) -> bool {
        let mut any_published = false;
        for table in deadlocked {
            let additions = &self.additions[table];
            if additions
                .iter()
                .all(|(node, added)| *added <= self.headroom[node])
            {
                for (node, added) in additions {
                    *self.headroom.entry(*node).or_default() -= added;
                }
                move_ratios.insert(*table, 1.0);
                any_published = true;
            }
        }
        any_published
    }

    fn shift(&self, table: TableId) -> Shift {
        let moved_load = self.published[&table]
            .iter()
            .map(|(node, load)| (load - weight_of(&self.goal, table, *node)).max(0.0))
            .sum();
        let min_headroom = self.additions[&table]
            .iter()
            .map(|(node, _)| (self.headroom[node], *node))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        Shift {
            moved_load,
            min_headroom,
        }
    }

    /// Publishes a part of the move of the table that can shift the most load. With no headroom at all, cuts the
    /// admission of the table with the highest target load on the blocked node by the shortfall.
    fn greedy_step(
        &self,
        fleet: &Fleet,
        deadlocked: &[TableId],
        move_ratios: &mut BTreeMap<TableId, f64>,
    ) -> Option<AdmissionCut> {
        let shifts = deadlocked.iter().map(|table| (*table, self.shift(*table)));
        let (table, shift) =
            shifts.max_by(|a, b| a.1.possible_load().total_cmp(&b.1.possible_load()))?;
        let possible_load = shift.possible_load();
        if possible_load > shift.moved_load * DEADLOCK_LIMITS.min_shift_ratio {
            move_ratios.insert(table, (possible_load / shift.moved_load).min(1.0));
            return None;
        }
        let (headroom, node) = shift.min_headroom?;
        let arriving = |table: &TableId| weight_of(&self.target, *table, node);
        let largest_table = *fleet
            .tables
            .keys()
            .max_by(|a, b| arriving(a).total_cmp(&arriving(b)))?;
        let traffic = fleet.admitted_rate(&fleet.tables[&largest_table]).max(1e-6);
        let shortfall = DEADLOCK_LIMITS.headroom_ratio * shift.moved_load - headroom;
        let admitted_ratio =
            (1.0 - shortfall / traffic).clamp(DEADLOCK_LIMITS.min_admitted_ratio, 1.0);
        Some(AdmissionCut {
            table: largest_table,
            admitted_ratio,
        })
    }

    /// Writes the weights of a table into `draft` after the given ratio of its move; a ratio of 1 is the complete
    /// move.
    fn write_weights(&self, table: TableId, ratio: f64, draft: &mut TableWeights) {
        let moved_entry = |node: &NodeId| {
            let before = weight_of(&self.published, table, *node);
            (
                *node,
                before + ratio * (weight_of(&self.goal, table, *node) - before),
            )
        };
        let nodes = self.goal[&table]
            .keys()
            .chain(self.published[&table].keys());
        let goal: NodeWeights = nodes.map(moved_entry).collect();
        let published_sum = draft[&table].values().sum::<f64>();
        let weight_sum = if published_sum > 0.0 {
            published_sum.clamp(1.0, 1e6)
        } else {
            INITIAL_WEIGHT_SUM
        };
        let mut entries = scaled(&shares(&goal), weight_sum);
        entries.retain(|_, weight| *weight > weight_sum * MIN_SHARE * 0.05);
        draft.insert(table, entries);
    }
}

/// The load limit of a node, in requests per second: a multiple of its load by listed weight or of the highest
/// rate that it served within the latency objective, whichever is higher.
fn node_limit(node: &Node, rate_per_weight: f64) -> f64 {
    let warming = if node.is_warming() {
        NODE_LIMIT_FACTORS.warming
    } else {
        1.0
    };
    (rate_per_weight * node.weight() * NODE_LIMIT_FACTORS.even_share * warming)
        .max(node.load.peak_within_objective() * NODE_LIMIT_FACTORS.peak)
}

fn scaled(shares: &NodeWeights, sum: f64) -> NodeWeights {
    shares
        .iter()
        .map(|(node, share)| (*node, share * sum))
        .collect()
}

fn tables_needing_a_step(
    fleet: &Fleet,
    targets: &TableWeights,
    draft: &TableWeights,
) -> Vec<TableId> {
    let tables = fleet.tables.keys().copied();
    tables
        .filter(|id| needs_a_step(&draft[id], &targets[id]))
        .collect()
}

/// Whether any entry is added or removed, or changes its share enough for an update step.
fn needs_a_step(entries: &NodeWeights, target: &NodeWeights) -> bool {
    let published = shares(entries);
    let mean = 1.0 / target.len().max(1) as f64;
    target.keys().chain(published.keys()).any(|node| {
        let old = published.get(node).copied().unwrap_or(0.0);
        let new = target.get(node).copied().unwrap_or(0.0);
        let is_large_change =
            (old - new).abs() > MIN_STEP_CHANGE_RATIO * old.max(new).max(SMALL_ENTRY_RATIO * mean);
        is_large_change || (old > 0.0) != (new > 0.0)
    })
}

/// Tables that wait for no other table, each with the ratio 1 of its move.
fn unblocked_tables(wait_graph: &WaitGraph) -> BTreeMap<TableId, f64> {
    let unblocked = wait_graph.iter().filter(|(_, awaited)| awaited.is_empty());
    unblocked.map(|(table, _)| (*table, 1.0)).collect()
}

/// Tables that wait for themselves, directly or through other tables.
fn deadlocked_tables(moving: &[TableId], wait_graph: &WaitGraph) -> Vec<TableId> {
    let is_deadlocked = |table: &TableId| is_waiting_for(wait_graph, *table, *table);
    moving.iter().copied().filter(is_deadlocked).collect()
}
