//! A step back to an older version of a table. The old lines are not sent as they were: nodes among them may
//! drain by now, be gone, or be cold. The weights of the version are listed instead, for those nodes that may
//! have them, and the module orders the way there as for any list: removals before additions, within room.

use crate::deployment::RulePlan;
use crate::publication::{OperationTable, TableSet, Version};
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus, Event};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionReason {
    Gone,
    Draining,
    Cold,
    /// The module keeps it out of the table now, as one that fails.
    KeptOut,
}

impl ExclusionReason {
    pub fn word(self) -> &'static str {
        match self {
            ExclusionReason::Gone => "not listed any more",
            ExclusionReason::Draining => "drains",
            ExclusionReason::Cold => "cold",
            ExclusionReason::KeptOut => "kept out for what is known of it",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct RollbackResult {
    pub version: Version,
    /// Lines of the old version that are in force again, or will be.
    pub lines: usize,
    pub left_out: Vec<(NodeId, ExclusionReason)>,
}

/// Listed weights stay between these multiples of an even one.
const LEAST: f64 = 0.05;
const MOST: f64 = 20.0;
/// The module weighs listed weights with what it knows of nodes: so often the difference that is left is
/// worked out again, then its word stands.
const CORRECTIONS: u32 = 6;
/// Between two of them, for the module's steps.
const APART: f64 = 2.0;

/// Listed weights that an order to step back has put in the place of others.
#[derive(Clone, Debug, Default)]
pub struct RollbackWeights {
    weights: BTreeMap<NodeId, f64>,
    version: Option<Version>,
    /// What is gone back to, how often it was corrected, and when it next is.
    correcting: Option<(Arc<TableSet>, u32, Moment)>,
}

fn shares(tables: &[OperationTable], counts: impl Fn(NodeId) -> bool) -> BTreeMap<NodeId, f64> {
    let mut sums: BTreeMap<NodeId, f64> = BTreeMap::new();
    for table in tables {
        let lines: Vec<_> = table
            .lines
            .iter()
            .filter(|line| counts(line.node))
            .collect();
        let all: f64 = lines.iter().map(|line| line.weight).sum();
        for line in lines {
            *sums.entry(line.node).or_insert(0.0) += line.weight / all.max(f64::MIN_POSITIVE);
        }
    }
    sums
}

impl RollbackWeights {
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// Puts pinned weights in the place of those of a list.
    pub fn put(&self, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                entry.weight = self
                    .weights
                    .get(&entry.node)
                    .copied()
                    .unwrap_or(entry.weight);
            }
        }
        event
    }

    /// Works out the weights that lead from `now_held` to `old`. `listed`: every node with its entry as the
    /// module knows it.
    pub fn step(
        &mut self,
        now: Moment,
        old: &Arc<TableSet>,
        now_held: &TableSet,
        listed: &BTreeMap<NodeId, EndpointEntry>,
        rules: &RulePlan,
    ) -> RollbackResult {
        let named: BTreeMap<NodeId, f64> = shares(&old.operations, |_| true);
        let present = shares(&now_held.operations, |_| true);
        let judge = |node: &NodeId| match listed.get(node) {
            None => Some(ExclusionReason::Gone),
            Some(entry) if entry.status != EndpointStatus::Ready => Some(ExclusionReason::Draining),
            Some(entry) if rules.is_cold(now, entry.started) => Some(ExclusionReason::Cold),
            Some(_) if !present.contains_key(node) => Some(ExclusionReason::KeptOut),
            Some(_) => None,
        };
        let left_out: BTreeMap<NodeId, ExclusionReason> = named
            .keys()
            .filter_map(|node| Some((*node, judge(node)?)))
            .collect();
        let counts = |node: NodeId| named.contains_key(&node) && !left_out.contains_key(&node);
        let (from, to) = (
            shares(&now_held.operations, counts),
            shares(&old.operations, counts),
        );
        for (node, wanted) in &to {
            let (Some(held), Some(entry)) = (from.get(node), listed.get(node)) else {
                continue;
            };
            let weight = self.weights.get(node).copied().unwrap_or(entry.weight);
            self.weights
                .insert(*node, (weight * wanted / held.max(1e-9)).clamp(LEAST, MOST));
        }
        // What the old version did not name gets next to nothing; a cold node's weight is the module's.
        let fresh = present.keys().filter(|node| !named.contains_key(*node));
        for node in fresh
            .filter(|node| judge(node).is_none())
            .copied()
            .collect::<Vec<_>>()
        {
            self.weights.insert(node, LEAST);
        }
        let count = self
            .correcting
            .as_ref()
            .filter(|(set, ..)| set.version == old.version)
            .map_or(0, |c| c.1 + 1);
        self.correcting =
            (count < CORRECTIONS).then(|| (old.clone(), count, now + Span::from_seconds(APART)));
        self.version = Some(old.version);
        RollbackResult {
            version: old.version,
            lines: to.len(),
            left_out: left_out.into_iter().collect(),
        }
    }

    /// The version to be corrected towards now.
    pub fn due(&self, now: Moment) -> Option<Arc<TableSet>> {
        self.correcting
            .as_ref()
            .filter(|(.., at)| *at <= now)
            .map(|(set, ..)| set.clone())
    }

    /// Lets go of all pins; returns whose weight is again its listed one.
    pub fn free(&mut self) -> Vec<NodeId> {
        (self.version, self.correcting) = (None, None);
        std::mem::take(&mut self.weights).into_keys().collect()
    }
}
