//! Rollback to an older version of a table.
//!
//! The old entries are not sent unchanged, because some of their nodes may be draining, removed or warming up by now.
//! Instead, the listed weights of the remaining nodes are set so that they lead to the old version, and the balancer
//! orders the updates as for any endpoint list: removals before additions, within headroom.

use crate::deployment::RuleConfig;
use crate::publication::{OperationTable, TableSet, Version};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus, Event};

/// Bounds of the listed weights that a rollback sets, as multiples of an even weight.
const MIN_WEIGHT: f64 = 0.05;
const MAX_WEIGHT: f64 = 20.0;
/// Maximum number of corrections after the first step. The balancer combines listed weights with its own estimates,
/// so the remaining difference to the target is computed again each time. After the last one the balancer's weights
/// stand.
const MAX_CORRECTIONS: u32 = 6;
/// Time between two corrections, in which the balancer takes its update steps.
const CORRECTION_INTERVAL: Duration = Duration::from_secs(2);
/// Lower bound of a share used as a divisor, which avoids a division by 0.
const MIN_SHARE: f64 = 1e-9;

/// Why a node of the old version is excluded from the rollback.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionReason {
    /// The node is no longer listed.
    NotListed,
    /// The node drains.
    Draining,
    /// The node is warming up.
    WarmingUp,
    /// The balancer leaves the node out of the current table, for example as an outlier.
    NotInTable,
}

impl ExclusionReason {
    /// The reason as shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            ExclusionReason::NotListed => "not listed any more",
            ExclusionReason::Draining => "drains",
            ExclusionReason::WarmingUp => "cold",
            ExclusionReason::NotInTable => "kept out for what is known of it",
        }
    }
}

/// The outcome of a rollback, or of its end.
#[derive(Clone, Debug, PartialEq)]
pub struct RollbackResult {
    /// The version that tables are rolled back to.
    pub version: Version,
    /// Number of entries that get the weights of the old version or, at the end of a rollback, the listed ones.
    pub entries: usize,
    /// Nodes of the old version that are excluded, and why.
    pub excluded: Vec<(NodeId, ExclusionReason)>,
}

/// Why a rollback, or its end, was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RollbackError {
    /// The version is too old, was made by an earlier run or belongs to another table.
    #[error("version {} of this table is not kept; only its newest versions of this run are", .0 .0)]
    VersionNotRetained(Version),
    /// The table has no newest version to roll back from.
    #[error("this table has no published version to roll back from")]
    NeverPublished,
    /// No rollback is in force.
    #[error("no rollback is in force")]
    NotRolledBack,
}

/// The next correction of a rollback.
#[derive(Clone, Debug)]
struct Correction {
    target: Arc<TableSet>,
    count: u32,
    next_at: Moment,
}

/// The weights that replace those of the endpoint list during a rollback.
#[derive(Clone, Debug, Default)]
pub struct RollbackWeights {
    weights: BTreeMap<NodeId, f64>,
    version: Option<Version>,
    correction: Option<Correction>,
}

/// The inputs of a rollback step.
pub struct RollbackRequest<'a> {
    /// The version to roll back to.
    pub target: &'a Arc<TableSet>,
    /// The table's newest version.
    pub current: &'a TableSet,
    /// The entry of every listed node, with node overrides applied.
    pub listed: &'a BTreeMap<NodeId, EndpointEntry>,
    /// The deployment's rules, which set the warm-up time of nodes.
    pub rules: &'a RuleConfig,
}

impl RollbackRequest<'_> {
    fn exclusion(
        &self,
        now: Moment,
        current_shares: &BTreeMap<NodeId, f64>,
        node: NodeId,
    ) -> Option<ExclusionReason> {
        match self.listed.get(&node) {
            None => Some(ExclusionReason::NotListed),
            Some(entry) if entry.status != EndpointStatus::Ready => Some(ExclusionReason::Draining),
            Some(entry) if self.rules.is_warming(now, entry.started) => {
                Some(ExclusionReason::WarmingUp)
            }
            Some(_) if !current_shares.contains_key(&node) => Some(ExclusionReason::NotInTable),
            Some(_) => None,
        }
    }
}

/// The share of each included node in the summed weights of the included nodes of a table, added up over the tables.
fn summed_shares(
    tables: &[OperationTable],
    is_included: impl Fn(NodeId) -> bool,
) -> BTreeMap<NodeId, f64> {
    let mut shares: BTreeMap<NodeId, f64> = BTreeMap::new();
    for table in tables {
        let entries: Vec<_> = table
            .entries
            .iter()
            .filter(|entry| is_included(entry.node))
            .collect();
        let total: f64 = entries.iter().map(|entry| entry.weight).sum();
        for entry in entries {
            *shares.entry(entry.node).or_insert(0.0) += entry.weight / total.max(f64::MIN_POSITIVE);
        }
    }
    shares
}

impl RollbackWeights {
    /// The version that tables are rolled back to.
    pub fn target(&self) -> Option<Version> {
        self.version
    }

    /// Replaces the weights in an endpoint list event by those of the rollback.
    pub fn apply_to_event(&self, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                if let Some(weight) = self.weights.get(&entry.node) {
                    entry.weight = *weight;
                }
            }
        }
        event
    }

    /// Computes the weights that lead from the current version to the target, and schedules the next correction.
    pub fn step(&mut self, now: Moment, request: &RollbackRequest) -> RollbackResult {
        let target_shares = summed_shares(&request.target.operations, |_| true);
        let current_shares = summed_shares(&request.current.operations, |_| true);
        let exclusion = |node: NodeId| request.exclusion(now, &current_shares, node);
        let excluded: BTreeMap<NodeId, ExclusionReason> = target_shares
            .keys()
            .filter_map(|node| Some((*node, exclusion(*node)?)))
            .collect();
        let is_included =
            |node: NodeId| target_shares.contains_key(&node) && !excluded.contains_key(&node);
        let entries = self.scale_weights(request, is_included);
        // Nodes without an entry in the old version get the minimum weight, except excluded ones such as warming nodes,
        // on which the balancer decides.
        for node in current_shares.keys() {
            if !target_shares.contains_key(node) && exclusion(*node).is_none() {
                self.weights.insert(*node, MIN_WEIGHT);
            }
        }
        self.schedule_correction(now, request.target);
        self.version = Some(request.target.version);
        RollbackResult {
            version: request.target.version,
            entries,
            excluded: excluded.into_iter().collect(),
        }
    }

    /// Scales the listed weight of each included node by the ratio of its target share to its current share; returns
    /// the number of nodes with a target share.
    fn scale_weights(
        &mut self,
        request: &RollbackRequest,
        is_included: impl Fn(NodeId) -> bool,
    ) -> usize {
        let current_shares = summed_shares(&request.current.operations, &is_included);
        let target_shares = summed_shares(&request.target.operations, &is_included);
        for (node, target_share) in &target_shares {
            let (Some(current_share), Some(entry)) =
                (current_shares.get(node), request.listed.get(node))
            else {
                continue;
            };
            let weight = self.weights.get(node).copied().unwrap_or(entry.weight);
            let scaled = weight * target_share / current_share.max(MIN_SHARE);
            self.weights
                .insert(*node, scaled.clamp(MIN_WEIGHT, MAX_WEIGHT));
        }
        target_shares.len()
    }

    fn schedule_correction(&mut self, now: Moment, target: &Arc<TableSet>) {
        let count = self
            .correction
            .as_ref()
            .filter(|correction| correction.target.version == target.version)
            .map_or(0, |correction| correction.count + 1);
        let interval = Span::from_seconds(CORRECTION_INTERVAL.as_secs_f64());
        self.correction = (count < MAX_CORRECTIONS).then(|| Correction {
            target: target.clone(),
            count,
            next_at: now + interval,
        });
    }

    /// The target of the rollback, if a correction is due.
    pub fn due_correction(&self, now: Moment) -> Option<Arc<TableSet>> {
        self.correction
            .as_ref()
            .filter(|correction| correction.next_at <= now)
            .map(|correction| correction.target.clone())
    }

    /// Ends the rollback; returns the nodes whose weight is the listed one again.
    pub fn end(&mut self) -> Vec<NodeId> {
        (self.version, self.correction) = (None, None);
        std::mem::take(&mut self.weights).into_keys().collect()
    }
}
