//! The endpoint list as this controller holds it. Snapshots come from a file that others swap in: late,
//! partial, torn or empty. One that can't be right is rejected with a named reason and the last accepted
//! one stands; what an accepted one changes goes to the balancer as an event.

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

/// Of the grace that proxies have to stop sending to a node that is gone: a snapshot is doubted for so
/// long. What is left of the grace is for the tables to reach the proxies, should the snapshot be right.
const DOUBT_SHARE_OF_DRAIN_GRACE: f64 = 0.6;
/// Of the missing nodes: with more of them answering, the doubted snapshot is wrong.
const REFUTING_ANSWER_SHARE: f64 = 0.5;

/// What the list thinks of the last snapshot that named nodes.
#[derive(Clone, Debug)]
enum Trust {
    /// Nothing was ever accepted: any valid snapshot is better than nothing.
    Unset,
    Accepted,
    /// The snapshot lacked too many nodes; the next one, or the nodes' answers, decide.
    Doubted(Doubt),
}

/// A snapshot that lacks too many nodes, and which of those go on answering.
#[derive(Clone, Debug)]
struct Doubt {
    snapshot: EndpointSnapshot,
    since: Moment,
    missing: BTreeSet<NodeId>,
    answered: BTreeSet<NodeId>,
}

impl Doubt {
    fn is_refuted(&self) -> bool {
        self.answered.len() as f64 > self.missing.len() as f64 * REFUTING_ANSWER_SHARE
    }
}

/// What came of a snapshot. Both are there where one was applied in part.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotOutcome {
    /// What changes, for the balancer.
    pub event: Option<Event>,
    /// Why it was not applied, or not in full.
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

/// The accepted endpoints, and the guard that decides what is accepted.
#[derive(Clone, Debug)]
pub struct EndpointList {
    trust: Trust,
    version: String,
    table: EndpointTable,
    /// What is held was not read but restored: the same version, once read, counts as newer.
    restored: bool,
}

impl Default for EndpointList {
    fn default() -> Self {
        EndpointList {
            trust: Trust::Unset,
            version: String::new(),
            table: EndpointTable::default(),
            restored: false,
        }
    }
}

/// A node's address as logs, the operators' API and tables write it.
pub fn format_node(node: NodeId) -> String {
    let [a, b, c, d] = node.address;
    format!("{a}.{b}.{c}.{d}:{}", node.port)
}

impl EndpointList {
    /// What was just applied is what an earlier run had read.
    pub fn mark_restored(&mut self) {
        self.restored = true;
    }

    /// Version of the last snapshot that was accepted, in full or in part.
    pub fn version(&self) -> &str {
        &self.version
    }

    /// All accepted nodes with the entries that the balancer was given.
    pub fn listed(&self) -> impl Iterator<Item = (&EndpointRecord, &EndpointEntry)> {
        self.table.iter()
    }

    /// The accepted record of a node.
    pub fn record(&self, node: NodeId) -> Option<&EndpointRecord> {
        self.table.record(node)
    }

    /// The number of a cell; a new name gets the next one.
    pub fn cell_id(&mut self, name: &str) -> CellId {
        self.table.cell_id(name)
    }

    /// The complete list as it is held, for a balancer that asks.
    pub fn complete_event(&self) -> Event {
        self.table.complete_event()
    }

    /// Applies a snapshot, a part of it, or says why not. `first` marks the one that stands when a
    /// controller starts.
    pub fn apply_snapshot(
        &mut self,
        now: Moment,
        snapshot: Result<EndpointSnapshot, SnapshotReadError>,
        plan: &Deployment,
        first: bool,
    ) -> SnapshotOutcome {
        let snapshot = match snapshot {
            Ok(snapshot) => snapshot,
            Err(error) => return SnapshotOutcome::rejected(error.into()),
        };
        // A late, empty or invalid snapshot says nothing of whether the doubted one was right.
        if let Err(rejection) = self.check(&snapshot, plan) {
            return SnapshotOutcome::rejected(rejection);
        }
        let missing = self.table.missing_from(&snapshot.records);
        match validation::check_shrinkage(&snapshot, &missing, &self.table, plan) {
            Err(rejection) if !self.confirms_doubt(&missing) => SnapshotOutcome {
                event: Some(self.apply_doubted(now, snapshot, missing, plan, first)),
                rejection: Some(rejection),
            },
            _ => SnapshotOutcome {
                event: Some(self.accept(now, snapshot, plan, first)),
                rejection: None,
            },
        }
    }

    /// What rejects a snapshot in full.
    fn check(
        &self,
        snapshot: &EndpointSnapshot,
        plan: &Deployment,
    ) -> Result<(), SnapshotRejection> {
        validation::check_records(&snapshot.records, plan)?;
        let is_reread = self.restored && snapshot.version == self.version;
        let is_first = matches!(self.trust, Trust::Unset);
        if !is_first && !is_reread && !validation::is_newer(&snapshot.version, &self.version) {
            return Err(SnapshotRejection::Late {
                version: snapshot.version.clone(),
                held: self.version.clone(),
            });
        }
        if snapshot.records.is_empty() {
            return Err(SnapshotRejection::Empty {
                held: self.table.len(),
            });
        }
        Ok(())
    }

    /// Whether a snapshot that lacks these nodes says the same as the doubted one.
    fn confirms_doubt(&self, missing: &BTreeSet<NodeId>) -> bool {
        match &self.trust {
            Trust::Doubted(doubt) => missing.is_superset(&doubt.missing),
            Trust::Unset | Trust::Accepted => false,
        }
    }

    fn accept(
        &mut self,
        now: Moment,
        snapshot: EndpointSnapshot,
        plan: &Deployment,
        first: bool,
    ) -> Event {
        self.trust = Trust::Accepted;
        (self.version, self.restored) = (snapshot.version, false);
        self.table.replace(now, snapshot.records, plan, first)
    }

    /// Applies what a doubted snapshot adds and drains; what it lacks is kept.
    fn apply_doubted(
        &mut self,
        now: Moment,
        snapshot: EndpointSnapshot,
        missing: BTreeSet<NodeId>,
        plan: &Deployment,
        first: bool,
    ) -> Event {
        let kept = missing
            .iter()
            .filter_map(|node| self.table.record(*node).cloned());
        let records = snapshot.records.iter().cloned().chain(kept).collect();
        let partial = EndpointSnapshot {
            version: snapshot.version.clone(),
            records,
        };
        let event = self.accept(now, partial, plan, first);
        self.trust = Trust::Doubted(Doubt {
            snapshot,
            since: now,
            missing,
            answered: BTreeSet::new(),
        });
        event
    }

    /// A node answered in a period that began at `since`: if the snapshot that lacks it came before, that
    /// speaks against the snapshot.
    pub fn record_answer(&mut self, node: NodeId, since: Moment) {
        if let Trust::Doubted(doubt) = &mut self.trust {
            if since >= doubt.since && doubt.missing.contains(&node) {
                doubt.answered.insert(node);
            }
        }
    }

    /// When a doubted snapshot is decided on.
    pub fn doubt_deadline(&self, plan: &Deployment) -> Option<Moment> {
        match &self.trust {
            Trust::Doubted(doubt) => {
                Some(doubt.since + plan.rules.drain_grace * DOUBT_SHARE_OF_DRAIN_GRACE)
            }
            Trust::Unset | Trust::Accepted => None,
        }
    }

    /// Decides on a doubted snapshot when its time is over: nodes that nobody had an answer from are gone.
    pub fn resolve_doubt(&mut self, now: Moment, plan: &Deployment) -> Option<Event> {
        self.doubt_deadline(plan).filter(|until| now >= *until)?;
        let Trust::Doubted(doubt) = std::mem::replace(&mut self.trust, Trust::Accepted) else {
            return None;
        };
        if doubt.is_refuted() {
            return None;
        }
        Some(self.accept(now, doubt.snapshot, plan, false))
    }
}

#[cfg(test)]
mod tests;
