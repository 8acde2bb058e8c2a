//! The accepted endpoints, and the changes from one list to the next as an event for the balancer.

use super::snapshot::EndpointRecord;
use crate::deployment::Deployment;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{CellId, KindId, NodeId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};

/// Multiple of the warm-up time for which the removal of a node is remembered.
const REMOVED_NODE_RETENTION_FACTOR: f64 = 10.0;

/// A record of the list together with its entry for the balancer.
#[derive(Clone, Debug)]
struct TrackedEndpoint {
    record: EndpointRecord,
    entry: EndpointEntry,
}

/// The accepted endpoints by node.
#[derive(Clone, Debug, Default)]
pub(super) struct EndpointTable {
    endpoints: BTreeMap<NodeId, TrackedEndpoint>,
    cells: BTreeMap<String, CellId>,
    /// When nodes that are no longer listed were removed.
    removed_at: BTreeMap<NodeId, Moment>,
}

impl EndpointTable {
    pub(super) fn len(&self) -> usize {
        self.endpoints.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&EndpointRecord, &EndpointEntry)> {
        self.endpoints
            .values()
            .map(|endpoint| (&endpoint.record, &endpoint.entry))
    }

    pub(super) fn record(&self, node: NodeId) -> Option<&EndpointRecord> {
        self.endpoints.get(&node).map(|endpoint| &endpoint.record)
    }

    /// Nodes that are not draining.
    pub(super) fn ready(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.endpoints
            .iter()
            .filter(|(_, endpoint)| !endpoint.record.draining)
            .map(|(node, _)| *node)
    }

    /// Ready nodes that these records do not name.
    pub(super) fn missing_from(&self, records: &[EndpointRecord]) -> BTreeSet<NodeId> {
        let named: BTreeSet<NodeId> = records.iter().map(|record| record.node).collect();
        self.ready().filter(|node| !named.contains(node)).collect()
    }

    /// The id of a cell; a new name gets the next free id.
    pub(super) fn cell_id(&mut self, name: &str) -> CellId {
        let next = CellId(self.cells.len() as u16);
        *self.cells.entry(name.to_string()).or_insert(next)
    }

    /// All entries, for a balancer that requests the complete list.
    pub(super) fn complete_event(&self) -> Event {
        let entries = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.entry.clone())
            .collect();
        Event::EndpointList {
            kind: EndpointListKind::Complete,
            entries,
        }
    }

    /// Replaces all records. The event holds only the entries that changed; for the initial list, or if no
    /// endpoint was listed before, it holds the complete list.
    pub(super) fn replace(
        &mut self,
        now: Moment,
        records: Vec<EndpointRecord>,
        deployment: &Deployment,
        is_initial: bool,
    ) -> Event {
        let complete = is_initial || self.endpoints.is_empty();
        let mut previous = std::mem::take(&mut self.endpoints);
        let mut entries = Vec::new();
        for record in records {
            let before = previous.remove(&record.node);
            let entry = self.build_entry(now, &record, before.as_ref(), deployment, complete);
            let unchanged = before.is_some_and(|before| is_same_entry(&before.entry, &entry));
            if complete || !unchanged {
                entries.push(entry.clone());
            }
            self.removed_at.remove(&record.node);
            let endpoint = TrackedEndpoint { record, entry };
            self.endpoints.insert(endpoint.record.node, endpoint);
        }
        entries.extend(self.record_removals(now, previous));
        self.forget_removed(now, deployment);
        let kind = if complete {
            EndpointListKind::Complete
        } else {
            EndpointListKind::Changes
        };
        Event::EndpointList { kind, entries }
    }

    /// Records the time of removal of these nodes and returns their last entries with status `Gone`.
    fn record_removals(
        &mut self,
        now: Moment,
        endpoints: BTreeMap<NodeId, TrackedEndpoint>,
    ) -> Vec<EndpointEntry> {
        let mut entries = Vec::new();
        for (node, endpoint) in endpoints {
            self.removed_at.insert(node, now);
            entries.push(EndpointEntry {
                status: EndpointStatus::Gone,
                ..endpoint.entry
            });
        }
        entries
    }

    fn forget_removed(&mut self, now: Moment, deployment: &Deployment) {
        let retention = deployment.rules.warm_after * REMOVED_NODE_RETENTION_FACTOR;
        self.removed_at.retain(|_, at| now - *at < retention);
    }

    fn build_entry(
        &mut self,
        now: Moment,
        record: &EndpointRecord,
        before: Option<&TrackedEndpoint>,
        deployment: &Deployment,
        complete: bool,
    ) -> EndpointEntry {
        EndpointEntry {
            node: record.node,
            zone: ZoneId(index_of(&deployment.zones, &record.zone) as u16),
            kind: KindId(index_of(&deployment.kinds, &record.kind) as u8),
            cell: self.cell_id(&record.cell),
            status: if record.draining {
                EndpointStatus::Draining
            } else {
                EndpointStatus::Ready
            },
            weight: record.weight,
            started: self.started_at(now, record, before, complete),
        }
    }

    /// When a node's process started; `None` if it started before this controller and its age is unknown.
    fn started_at(
        &self,
        now: Moment,
        record: &EndpointRecord,
        before: Option<&TrackedEndpoint>,
        complete: bool,
    ) -> Option<Moment> {
        match (&record.started, before) {
            // A run keeps the start time of its first report, so that a clock jump does not restart its warm-up.
            (Some((run, _)), Some(before)) if before.is_same_run(run) => before.entry.started,
            (Some((_, age)), _) => Some(now - *age),
            (None, Some(before)) if !self.removed_at.contains_key(&record.node) => {
                before.entry.started
            }
            // Listed after this controller started and of unknown age: the node may still be warming up.
            (None, _) if !complete => Some(now),
            (None, _) => None,
        }
    }
}

impl TrackedEndpoint {
    fn is_same_run(&self, run: &str) -> bool {
        self.record
            .started
            .as_ref()
            .is_some_and(|(known, _)| known == run)
    }
}

fn is_same_entry(a: &EndpointEntry, b: &EndpointEntry) -> bool {
    (a.zone, a.kind, a.cell, a.status, a.started) == (b.zone, b.kind, b.cell, b.status, b.started)
        && a.weight == b.weight
}

/// Index of a name. The fallback 0 applies only to a record without a kind, since validation has rejected
/// unknown names.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(0)
}
