//! Rollback to an older version of a table.
//!
//! The old entries are not sent as they were: nodes among them may be draining by now, be gone or be warming up.
//! Instead the endpoint list gives those nodes that may have it the weight of the old version, and the balancer
//! orders the way there as for any list: removals before additions, within headroom.

use crate::deployment::RuleConfig;
use crate::publication::{OperationTable, TableSet, Version};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointStatus, Event};

/// Listed weights stay between these multiples of an even one.
const MIN_WEIGHT: f64 = 0.05;
const MAX_WEIGHT: f64 = 20.0;
/// The balancer combines listed weights with what it knows of nodes: so often the remaining difference is worked
/// out again, then the balancer's weights stand.
const MAX_CORRECTIONS: u32 = 6;
/// Time between two corrections, in which the balancer takes its steps.
const CORRECTION_INTERVAL: Duration = Duration::from_secs(2);
/// Keeps a share of 0 from being divided by.
const MIN_SHARE: f64 = 1e-9;

/// Why an entry of the old version doesn't come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionReason {
    /// The node isn't listed any more.
    NotListed,
    /// The node drains.
    Draining,
    /// The node is warming up.
    WarmingUp,
    /// The balancer keeps the node out of the table now, as an outlier.
    KeptOut,
}

impl ExclusionReason {
    /// The reason as operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            ExclusionReason::NotListed => "not listed any more",
            ExclusionReason::Draining => "drains",
            ExclusionReason::WarmingUp => "cold",
            ExclusionReason::KeptOut => "kept out for what is known of it",
        }
    }
}

/// What a rollback, or its end, leads to.
#[derive(Clone, Debug, PartialEq)]
pub struct RollbackResult {
    /// The version that tables are rolled back to.
    pub version: Version,
    /// Entries of the old version that are in force again, or will be.
    pub entries: usize,
    /// Nodes of the old version that don't come back.
    pub excluded: Vec<(NodeId, ExclusionReason)>,
}

/// Why a rollback, or its end, isn't possible.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RollbackError {
    /// The version is too old, was made by an earlier run or belongs to another table.
    #[error("version {} of this table is not kept", .0 .0)]
    VersionNotRetained(Version),
    /// The table has no newest version to roll back from.
    #[error("this table was never published")]
    NeverPublished,
    /// There is no rollback that could end.
    #[error("no version is stepped back to")]
    NotRolledBack,
}

/// A rollback that is approached in several steps.
#[derive(Clone, Debug)]
struct Correction {
    target: Arc<TableSet>,
    count: u32,
    next_at: Moment,
}

/// The listed weights that a rollback puts in the place of others.
#[derive(Clone, Debug, Default)]
pub struct RollbackWeights {
    weights: BTreeMap<NodeId, f64>,
    version: Option<Version>,
    correction: Option<Correction>,
}

/// What a rollback starts from and leads to.
pub struct RollbackRequest<'a> {
    /// The version to go back to.
    pub target: &'a Arc<TableSet>,
    /// The table's newest version.
    pub current: &'a TableSet,
    /// Every listed node, as the balancer knows it.
    pub listed: &'a BTreeMap<NodeId, EndpointEntry>,
    /// The deployment's rules, which tell how long a node warms up.
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
            Some(_) if !current_shares.contains_key(&node) => Some(ExclusionReason::KeptOut),
            Some(_) => None,
        }
    }
}

/// Each node's share of its tables' weights, summed over the tables, among the nodes that are included.
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

    /// Puts the rollback's weights in the place of those of an endpoint list.
    pub fn apply(&self, mut event: Event) -> Event {
        if let Event::EndpointList { entries, .. } = &mut event {
            for entry in entries {
                if let Some(weight) = self.weights.get(&entry.node) {
                    entry.weight = *weight;
                }
            }
        }
        event
    }

    /// Works out the weights that lead from the current version to the target.
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
        // What the old version did not name gets next to nothing; the balancer decides on nodes that warm up.
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

    /// Scales the listed weight of each included node by the share it should have to the share it has; returns
    /// how many nodes should have one.
    fn scale_weights(
        &mut self,
        request: &RollbackRequest,
        is_included: impl Fn(NodeId) -> bool,
    ) -> usize {
        let current = summed_shares(&request.current.operations, &is_included);
        let wanted = summed_shares(&request.target.operations, &is_included);
        for (node, wanted_share) in &wanted {
            let (Some(share), Some(entry)) = (current.get(node), request.listed.get(node)) else {
                continue;
            };
            let weight = self.weights.get(node).copied().unwrap_or(entry.weight);
            let scaled = weight * wanted_share / share.max(MIN_SHARE);
            self.weights
                .insert(*node, scaled.clamp(MIN_WEIGHT, MAX_WEIGHT));
        }
        wanted.len()
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

    /// The version towards which weights are to be corrected now.
    pub fn due_correction(&self, now: Moment) -> Option<Arc<TableSet>> {
        self.correction
            .as_ref()
            .filter(|correction| correction.next_at <= now)
            .map(|correction| correction.target.clone())
    }

    /// Ends the rollback; returns the nodes whose weight is again the listed one.
    pub fn end(&mut self) -> Vec<NodeId> {
        (self.version, self.correction) = (None, None);
        std::mem::take(&mut self.weights).into_keys().collect()
    }
}
