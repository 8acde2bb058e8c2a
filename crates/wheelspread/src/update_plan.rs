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
use crate::locality::LEAST_SHARE;
use crate::shares::{shares, weight_of, NodeWeights, TableWeights};
use std::collections::{BTreeMap, BTreeSet};

/// The load that a node may get.
struct NodeLimit {
    /// To its part of the traffic by listed weight.
    to_even_part: f64,
    /// To that, while it warms up.
    warming: f64,
    /// To the most that it served while latency held.
    to_peak: f64,
}

const NODE_LIMIT: NodeLimit = NodeLimit {
    to_even_part: 1.5,
    warming: 0.5,
    to_peak: 1.25,
};

/// To an entry's weight: changes from there on start a step by themselves.
const STEP_THRESHOLD: f64 = 0.12;
/// To a table's mean weight: entries below it count as that large when changes are compared.
pub(crate) const SMALL_ENTRY: f64 = 0.3;
/// Sum of the weights of a table that is written for the first time.
pub(crate) const FIRST_WEIGHT_SUM: f64 = 100.0;
/// Least load that counts as one.
const LEAST_LOAD: f64 = 1e-9;

/// The greedy step and the admission cut.
struct LastResort {
    /// Of the load that a table moves: smaller greedy steps are not sent.
    least_shift: f64,
    /// Of the load that a table moves: what an admission cut is to make headroom for.
    wanted_headroom: f64,
    /// Of a table's traffic: what is left after a cut, at least.
    least_admitted: f64,
}

const LAST_RESORT: LastResort = LastResort {
    least_shift: 0.01,
    wanted_headroom: 0.1,
    least_admitted: 0.5,
};

/// What the last resort leaves of a table's traffic while a step has no headroom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionCut {
    pub table: TableId,
    /// Part of the table's traffic that is still admitted.
    pub admitted: f64,
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
    plan.find_additions(&moving);
    let waits = plan.waits(&moving);
    let mut publish: BTreeMap<TableId, f64> = unblocked_tables(&waits);
    let deadlocked = deadlocked_tables(&moving, &waits);
    let mut cut = None;
    if !plan.complete_moves(&deadlocked, &mut publish) {
        cut = plan.greedy_step(fleet, &deadlocked, &mut publish);
    }
    for (table, part) in publish {
        plan.write(table, part, draft);
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
    moved: f64,
    /// The least headroom on its new nodes, and where that is; `None`: it adds to no node at risk.
    tightest: Option<(f64, NodeId)>,
}

impl Shift {
    fn possible(&self) -> f64 {
        self.tightest
            .map_or(0.0, |(headroom, _)| self.moved.min(headroom))
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
        let even_part = demand / fleet.nodes.open_weight().max(1e-6);
        for (id, node) in fleet.nodes.iter() {
            plan.assess_node(*id, node_limit(node, even_part), fleet.peers_rate(*id));
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
            let part = (headroom.max(0.0) / flow.arriving).min(1.0);
            for (table, loads) in &mut self.goal {
                let before = weight_of(&self.published, *table, id);
                if let Some(after) = loads.get_mut(&id) {
                    *after = after.min(before + (*after - before).max(0.0) * part);
                }
            }
        }
    }

    fn find_additions(&mut self, moving: &[TableId]) {
        let added = |table: TableId| {
            let more = self.at_risk.iter().map(|node| {
                let before = weight_of(&self.published, table, *node);
                (*node, weight_of(&self.goal, table, *node) - before)
            });
            (table, more.filter(|(_, more)| *more > LEAST_LOAD).collect())
        };
        self.additions = moving.iter().map(|table| added(*table)).collect();
    }

    fn takes_load_off(&self, table: TableId, node: NodeId) -> bool {
        weight_of(&self.published, table, node) > weight_of(&self.target, table, node) + LEAST_LOAD
    }

    /// Removals before additions: who adds to a node at risk waits for those that take load off it.
    fn waits(&self, moving: &[TableId]) -> WaitGraph {
        let waits_for = |table: &TableId| {
            let others = moving.iter().copied().filter(|other| other != table);
            let awaited = others.filter(|other| {
                let additions = &self.additions[table];
                additions
                    .iter()
                    .any(|(node, _)| self.takes_load_off(*other, *node))
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
        let mut any = false;
        for table in deadlocked {
            let additions = &self.additions[table];
            if additions
                .iter()
                .all(|(node, more)| *more <= self.headroom[node])
            {
                for (node, more) in additions {
                    *self.headroom.entry(*node).or_default() -= more;
                }
                publish.insert(*table, 1.0);
                any = true;
            }
        }
        any
    }

    fn shift(&self, table: TableId) -> Shift {
        let moved = self.published[&table]
            .iter()
            .map(|(node, load)| (load - weight_of(&self.goal, table, *node)).max(0.0))
            .sum();
        let tightest = self.additions[&table]
            .iter()
            .map(|(node, _)| (self.headroom[node], *node))
            .min_by(|a, b| a.0.total_cmp(&b.0));
        Shift { moved, tightest }
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
        let (table, shift) = shifts.max_by(|a, b| a.1.possible().total_cmp(&b.1.possible()))?;
        let possible = shift.possible();
        if possible > shift.moved * LAST_RESORT.least_shift {
            publish.insert(table, (possible / shift.moved).min(1.0));
            return None;
        }
        let (headroom, node) = shift.tightest?;
        let arriving = |table: &TableId| weight_of(&self.target, *table, node);
        let largest = *fleet
            .tables
            .keys()
            .max_by(|a, b| arriving(a).total_cmp(&arriving(b)))?;
        let traffic = fleet.admitted_rate(&fleet.tables[&largest]).max(1e-6);
        let shortfall = LAST_RESORT.wanted_headroom * shift.moved - headroom;
        let admitted = (1.0 - shortfall / traffic).clamp(LAST_RESORT.least_admitted, 1.0);
        Some(AdmissionCut {
            table: largest,
            admitted,
        })
    }

    /// Writes a table's move, or a part of it, as weights.
    fn write(&self, table: TableId, part: f64, draft: &mut TableWeights) {
        let moved = |node: &NodeId| {
            let before = weight_of(&self.published, table, *node);
            (
                *node,
                before + part * (weight_of(&self.goal, table, *node) - before),
            )
        };
        let nodes = self.goal[&table]
            .keys()
            .chain(self.published[&table].keys());
        let goal: NodeWeights = nodes.map(moved).collect();
        let published_sum = draft[&table].values().sum::<f64>();
        let sum = if published_sum > 0.0 {
            published_sum.clamp(1.0, 1e6)
        } else {
            FIRST_WEIGHT_SUM
        };
        let mut entries = scaled(&shares(&goal), sum);
        entries.retain(|_, weight| *weight > sum * LEAST_SHARE * 0.05);
        draft.insert(table, entries);
    }
}

/// The load that a node may get: a part of traffic by listed weight, or the most it served while latency held.
fn node_limit(node: &Node, even_part: f64) -> f64 {
    let warming = if node.is_warming() {
        NODE_LIMIT.warming
    } else {
        1.0
    };
    (even_part * node.weight() * NODE_LIMIT.to_even_part * warming)
        .max(node.load.peak_within_objective() * NODE_LIMIT.to_peak)
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
        let moves = (old - new).abs() > STEP_THRESHOLD * old.max(new).max(SMALL_ENTRY * mean);
        moves || (old > 0.0) != (new > 0.0)
    })
}

/// Tables that wait for nobody, each to be published whole.
fn unblocked_tables(waits: &WaitGraph) -> BTreeMap<TableId, f64> {
    let unblocked = waits.iter().filter(|(_, awaited)| awaited.is_empty());
    unblocked.map(|(table, _)| (*table, 1.0)).collect()
}

/// Tables that wait, through others, for themselves.
fn deadlocked_tables(moving: &[TableId], waits: &WaitGraph) -> Vec<TableId> {
    let is_deadlocked = |table: &TableId| is_waiting_for(waits, *table, *table);
    moving.iter().copied().filter(is_deadlocked).collect()
}
