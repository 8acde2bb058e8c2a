//! The order of weight updates, after Cupid: W. Wang, W. He, J. Su, Y. Chen, "Cupid: Congestion-free Consistent
//! Data Plane Update In Software Defined Networks".
//!
//! Cupid orders flow-table updates so that no link is overloaded in mid-move. Here nodes stand for links and
//! tables for flows. A node is at risk when what leaves or what arrives fits beside what stays, but not both. A
//! table that adds to a node at risk waits for those that take load off it. Tables that wait for nobody are
//! published whole; tables that wait for each other are published whole where headroom allows, else the one
//! that can shift most makes a part of its move; with no headroom at all, admission is cut.

use crate::fleet::Fleet;
use crate::flows::{is_waiting_for, node_flow, WaitGraph};
use crate::ids::{NodeId, TableId};
use crate::lifecycle::Node;
use crate::locality::MIN_SHARE;
use crate::shares::{shares, weight_of, NodeWeights, TableWeights};
use std::collections::{BTreeMap, BTreeSet};

/// The load that a node may get.
struct NodeLimitFactors {
    /// To its part of the traffic by listed weight.
    even_share: f64,
    /// To that, while it warms up.
    warming: f64,
    /// To the most that it served while latency held.
    peak: f64,
}

const NODE_LIMIT_FACTORS: NodeLimitFactors = NodeLimitFactors {
    even_share: 1.5,
    warming: 0.5,
    peak: 1.25,
};

/// To an entry's weight: changes from there on start a step by themselves.
const MIN_STEP_CHANGE_RATIO: f64 = 0.12;
/// To a table's mean weight: entries below it count as that large when changes are compared.
pub(crate) const SMALL_ENTRY_RATIO: f64 = 0.3;
/// Sum of the weights of a table that is written for the first time.
pub(crate) const INITIAL_WEIGHT_SUM: f64 = 100.0;
/// Least load that counts as one.
const MIN_LOAD: f64 = 1e-9;

/// The greedy step and the admission cut.
struct DeadlockLimits {
    /// Of the load that a table moves: smaller greedy steps are not sent.
    min_shift_ratio: f64,
    /// Of the load that a table moves: what an admission cut is to make headroom for.
    headroom_ratio: f64,
    /// Of a table's traffic: what is left after a cut, at least.
    min_admitted_ratio: f64,
}

const DEADLOCK_LIMITS: DeadlockLimits = DeadlockLimits {
    min_shift_ratio: 0.01,
    headroom_ratio: 0.1,
    min_admitted_ratio: 0.5,
};

/// What the last resort leaves of a table's traffic while a step has no headroom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionCut {
    pub table: TableId,
    /// Part of the table's traffic that is still admitted.
    pub admitted_ratio: f64,
}

/// One step of the way from what `draft` says to `targets`, written into `draft`. Returns the admission cut that
/// is needed while the step has no headroom.
pub(crate) fn plan_step(
    fleet: &Fleet,
    targets: &TableWeights,
    draft: &mut TableWeights,
) -> Option<AdmissionCut> {
    let mut plan = Plan::new(fleet, targets, draft);
    let moving = tables_needing_a_step(fleet, targets, draft);
    plan.compute_additions(&moving);
    let wait_graph = plan.wait_graph(&moving);
    let mut publish: BTreeMap<TableId, f64> = unblocked_tables(&wait_graph);
    let deadlocked = deadlocked_tables(&moving, &wait_graph);
    let mut cut = None;
    if !plan.complete_moves(&deadlocked, &mut publish) {
        cut = plan.greedy_step(fleet, &deadlocked, &mut publish);
    }
    for (table, ratio) in publish {
        plan.write_weights(table, ratio, draft);
    }
    cut
}

/// The loads of one step.
struct Plan {
    /// Load by table and node, as published.
    published: TableWeights,
    /// The same by the targets.
    target: TableWeights,
    /// The target, less what would overfill a node by itself.
    goal: TableWeights,
    /// Nodes that must lose load before they get new load.
    at_risk: BTreeSet<NodeId>,
    headroom: NodeWeights,
    /// By table, what it adds to nodes at risk.
    additions: BTreeMap<TableId, Vec<(NodeId, f64)>>,
}

/// How far a table can move now.
struct Shift {
    /// The load that it moves in all.
    moved_load: f64,
    /// The least headroom on its new nodes, and where that is; `None`: it adds to no node at risk.
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

    /// Sums what leaves a node, arrives and stays: whether it is at risk, and its headroom.
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
            // A weight that alone overfills the node rises in steps within the headroom.
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

    /// Removals before additions: who adds to a node at risk waits for those that take load off it.
    fn wait_graph(&self, moving: &[TableId]) -> WaitGraph {
        let waits_for = |table: &TableId| {
            let others = moving.iter().copied().filter(|other| other != table);
            let awaited = others.filter(|other| {
                let additions = &self.additions[table];
                additions
                    .iter()
                    .any(|(node, _)| self.removes_load_from(*other, *node))
            });
            (*table, awaited.collect())
        };
        moving.iter().map(waits_for).collect()
    }

    /// Publishes tables that wait for each other whole where headroom takes all they add; whether any was.
    fn complete_moves(
        &mut self,
        deadlocked: &[TableId],
        publish: &mut BTreeMap<TableId, f64>,
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
                publish.insert(*table, 1.0);
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

    /// Moves a part of the table that can shift most. With no headroom at all, the table that brings most to the
    /// blocked node has its admission cut by the shortfall.
    fn greedy_step(
        &self,
        fleet: &Fleet,
        deadlocked: &[TableId],
        publish: &mut BTreeMap<TableId, f64>,
    ) -> Option<AdmissionCut> {
        let shifts = deadlocked.iter().map(|table| (*table, self.shift(*table)));
        let (table, shift) =
            shifts.max_by(|a, b| a.1.possible_load().total_cmp(&b.1.possible_load()))?;
        let possible_load = shift.possible_load();
        if possible_load > shift.moved_load * DEADLOCK_LIMITS.min_shift_ratio {
            publish.insert(table, (possible_load / shift.moved_load).min(1.0));
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

    /// Writes a table's move, or a part of it, as weights.
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
        let sum = if published_sum > 0.0 {
            published_sum.clamp(1.0, 1e6)
        } else {
            INITIAL_WEIGHT_SUM
        };
        let mut entries = scaled(&shares(&goal), sum);
        entries.retain(|_, weight| *weight > sum * MIN_SHARE * 0.05);
        draft.insert(table, entries);
    }
}

/// The load that a node may get: a part of traffic by listed weight, or the most it served while latency held.
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

/// Whether an entry's move, or an entry more or less, is large enough for a step.
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

/// Tables that wait for nobody, each to be published whole.
fn unblocked_tables(wait_graph: &WaitGraph) -> BTreeMap<TableId, f64> {
    let unblocked = wait_graph.iter().filter(|(_, awaited)| awaited.is_empty());
    unblocked.map(|(table, _)| (*table, 1.0)).collect()
}

/// Tables that wait, through others, for themselves.
fn deadlocked_tables(moving: &[TableId], wait_graph: &WaitGraph) -> Vec<TableId> {
    let is_deadlocked = |table: &TableId| is_waiting_for(wait_graph, *table, *table);
    moving.iter().copied().filter(is_deadlocked).collect()
}
