//! The endpoint list as this controller has accepted it. Snapshots are read from a file that other programs
//! replace, so a snapshot may be late, partial, truncated or empty. An invalid snapshot is rejected with a
//! [`SnapshotRejection`] and the last accepted list stays in force; the changes of an accepted snapshot go to
//! the balancer as an event.
//!
//! A snapshot that lacks too many ready nodes puts the list in doubt: its additions and drains apply at once,
//! while the missing nodes are kept until a later snapshot confirms their removal or the doubt period ends.

mod snapshot;
mod table;
mod validation;

pub use snapshot::{EndpointRecord, EndpointSnapshot, SnapshotReadError};
pub use validation::SnapshotRejection;

use crate::deployment::Deployment;
use std::collections::BTreeSet;
use table::EndpointTable;
use wheelspread::ids::{CellId, NodeId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, Event};

/// Doubt period as a ratio of the drain grace period, within which proxies have to stop sending to a node that
/// is gone. The rest of the grace period is left for delivering tables if the removals turn out to be right.
const DOUBT_PERIOD_TO_DRAIN_GRACE_RATIO: f64 = 0.6;
/// Ratio of the missing nodes; if more of them than this answer requests, the snapshot is considered wrong.
const REFUTING_ANSWER_RATIO: f64 = 0.5;

/// Whether the last valid snapshot is accepted in full.
#[derive(Clone, Debug)]
enum ListState {
    /// No snapshot has been accepted yet: the first valid one is accepted whatever its version.
    NoSnapshot,
    Accepted,
    /// The snapshot lacked too many ready nodes; the next snapshot, or answers from the missing nodes, decide.
    InDoubt(ListInDoubt),
}

/// A snapshot that lacks too many ready nodes, and which of the missing nodes have answered since.
#[derive(Clone, Debug)]
struct ListInDoubt {
    snapshot: EndpointSnapshot,
    since: Moment,
    missing: BTreeSet<NodeId>,
    answered: BTreeSet<NodeId>,
}

impl ListInDoubt {
    fn is_refuted(&self) -> bool {
        self.answered.len() as f64 > self.missing.len() as f64 * REFUTING_ANSWER_RATIO
    }
}

/// Result of applying a snapshot. Both fields are set for a snapshot that was applied in part.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotOutcome {
    /// The endpoint changes, for the balancer.
    pub event: Option<Event>,
    /// Why the snapshot was not applied, or not in full.
    pub rejection: Option<SnapshotRejection>,
}

impl SnapshotOutcome {
    fn rejected(rejection: SnapshotRejection) -> SnapshotOutcome {
        SnapshotOutcome {
            event: None,
            rejection: Some(rejection),
        }
    }
}

/// The accepted endpoints, and the rules by which a new snapshot is accepted, rejected or applied in part.
#[derive(Clone, Debug)]
pub struct EndpointList {
    state: ListState,
    version: String,
    table: EndpointTable,
    /// The endpoints were restored from persisted state instead of read from the file, so a snapshot with the
    /// same version is accepted.
    restored: bool,
}

impl Default for EndpointList {
    fn default() -> Self {
        EndpointList {
            state: ListState::NoSnapshot,
            version: String::new(),
            table: EndpointTable::default(),
            restored: false,
        }
    }
}

/// A node's address as `a.b.c.d:port`, the notation of logs, the operators' API and tables.
pub fn format_node(node: NodeId) -> String {
    let [a, b, c, d] = node.address;
    format!("{a}.{b}.{c}.{d}:{}", node.port)
}

impl EndpointList {
    /// Marks the endpoints just applied as restored from an earlier run of this controller.
    pub fn mark_restored(&mut self) {
        self.restored = true;
    }

    /// Version of the last snapshot that was accepted, in full or in part.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// All accepted nodes with their entries for the balancer, before overrides and solved weights.
    pub fn listed(&self) -> impl Iterator<Item = (&EndpointRecord, &EndpointEntry)> {
        self.table.iter()
    }

    /// The accepted record of a node.
    pub fn record(&self, node: NodeId) -> Option<&EndpointRecord> {
        self.table.record(node)
    }

    /// The id of a cell; a new name gets the next free id.
    pub fn cell_id(&mut self, name: &str) -> CellId {
        self.table.cell_id(name)
    }

    /// All accepted entries, for a balancer that requests the complete list.
    pub fn complete_event(&self) -> Event {
        self.table.complete_event()
    }

    /// Applies a snapshot in full or in part, or rejects it. `is_initial` marks the snapshot that is found
    /// when a controller starts.
    pub fn apply_snapshot(
        &mut self,
        now: Moment,
        snapshot: Result<EndpointSnapshot, SnapshotReadError>,
        deployment: &Deployment,
        is_initial: bool,
    ) -> SnapshotOutcome {
        let snapshot = match snapshot {
            Ok(snapshot) => snapshot,
            Err(error) => return SnapshotOutcome::rejected(error.into()),
        };
        // A late, empty or invalid snapshot neither confirms nor ends a doubt.
        if let Err(rejection) = self.check_snapshot(&snapshot, deployment) {
            return SnapshotOutcome::rejected(rejection);
        }
        let missing = self.table.missing_from(&snapshot.records);
        match validation::check_shrinkage(&snapshot, &missing, &self.table, deployment) {
            Err(rejection) if !self.confirms_doubt(&missing) => SnapshotOutcome {
                event: Some(self.apply_in_doubt(now, snapshot, missing, deployment, is_initial)),
                rejection: Some(rejection),
            },
            _ => SnapshotOutcome {
                event: Some(self.accept(now, snapshot, deployment, is_initial)),
                rejection: None,
            },
        }
    }

    /// Checks for the faults that reject a snapshot as a whole.
    fn check_snapshot(
        &self,
        snapshot: &EndpointSnapshot,
        deployment: &Deployment,
    ) -> Result<(), SnapshotRejection> {
        validation::check_records(&snapshot.records, deployment)?;
        let is_reread = self.restored && snapshot.version == self.version;
        let has_no_snapshot = matches!(self.state, ListState::NoSnapshot);
        if !has_no_snapshot && !is_reread && !validation::is_newer(&snapshot.version, &self.version)
        {
            return Err(SnapshotRejection::NotNewer {
                version: snapshot.version.clone(),
                accepted: self.version.clone(),
            });
        }
        if snapshot.records.is_empty() {
            return Err(SnapshotRejection::Empty {
                accepted: self.table.len(),
            });
        }
        Ok(())
    }

    /// Whether a snapshot that lacks these nodes confirms the one in doubt: it lacks at least the same nodes.
    fn confirms_doubt(&self, missing: &BTreeSet<NodeId>) -> bool {
        match &self.state {
            ListState::InDoubt(doubt) => missing.is_superset(&doubt.missing),
            ListState::NoSnapshot | ListState::Accepted => false,
        }
    }

    fn accept(
        &mut self,
        now: Moment,
        snapshot: EndpointSnapshot,
        deployment: &Deployment,
        is_initial: bool,
    ) -> Event {
        self.state = ListState::Accepted;
        (self.version, self.restored) = (snapshot.version, false);
        self.table
            .replace(now, snapshot.records, deployment, is_initial)
    }

    /// Applies the additions and drains of a snapshot in doubt; the ready nodes that it lacks are kept.
    fn apply_in_doubt(
        &mut self,
        now: Moment,
        snapshot: EndpointSnapshot,
        missing: BTreeSet<NodeId>,
        deployment: &Deployment,
        is_initial: bool,
    ) -> Event {
        let kept = missing
            .iter()
            .filter_map(|node| self.table.record(*node).cloned());
        let records = snapshot.records.iter().cloned().chain(kept).collect();
        let partial = EndpointSnapshot {
            version: snapshot.version.clone(),
            records,
        };
        let event = self.accept(now, partial, deployment, is_initial);
        self.state = ListState::InDoubt(ListInDoubt {
            snapshot,
            since: now,
            missing,
            answered: BTreeSet::new(),
        });
        event
    }

    /// Records that a node answered requests in a report interval that began at `since`. The answer is
    /// evidence against a snapshot that lacks the node only if that snapshot was read before `since`.
    pub fn record_answer(&mut self, node: NodeId, since: Moment) {
        if let ListState::InDoubt(doubt) = &mut self.state {
            if since >= doubt.since && doubt.missing.contains(&node) {
                doubt.answered.insert(node);
            }
        }
    }

    /// When the doubt period ends; `None` if the list is not in doubt.
    pub fn doubt_deadline(&self, deployment: &Deployment) -> Option<Moment> {
        match &self.state {
            ListState::InDoubt(doubt) => {
                Some(doubt.since + deployment.rules.drain_grace * DOUBT_PERIOD_TO_DRAIN_GRACE_RATIO)
            }
            ListState::NoSnapshot | ListState::Accepted => None,
        }
    }

    /// Ends the doubt when its period is over: the missing nodes are removed, unless more than
    /// `REFUTING_ANSWER_RATIO` of them have answered. `None` if no node is removed.
    pub fn resolve_doubt(&mut self, now: Moment, deployment: &Deployment) -> Option<Event> {
        self.doubt_deadline(deployment)
            .filter(|until| now >= *until)?;
        let ListState::InDoubt(doubt) = std::mem::replace(&mut self.state, ListState::Accepted)
        else {
            return None;
        };
        if doubt.is_refuted() {
            return None;
        }
        Some(self.accept(now, doubt.snapshot, deployment, false))
    }
}

#[cfg(test)]
mod tests;
