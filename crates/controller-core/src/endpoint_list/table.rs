//! The accepted endpoints, and the difference to the next snapshot as an event for the balancer.

use super::snapshot::EndpointRecord;
use crate::deployment::Deployment;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{CellId, KindId, NodeId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};

/// Times the warm-up span: a node that was removed longer ago is forgotten.
const REMOVED_NODE_RETENTION_FACTOR: f64 = 10.0;

/// A record together with the entry that the balancer was given for it.
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

    /// The number of a cell; a new name gets the next one.
    pub(super) fn cell_id(&mut self, name: &str) -> CellId {
        let next = CellId(self.cells.len() as u16);
        *self.cells.entry(name.to_string()).or_insert(next)
    }

    /// All entries, for a balancer that asks for the complete list.
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

    /// Puts other records in place. The event has only what changed, but for the first list, which the
    /// balancer takes as a whole.
    pub(super) fn replace(
        &mut self,
        now: Moment,
        records: Vec<EndpointRecord>,
        plan: &Deployment,
        first: bool,
    ) -> Event {
        let complete = first || self.endpoints.is_empty();
        let mut previous = std::mem::take(&mut self.endpoints);
        let mut entries = Vec::new();
        for record in records {
            let before = previous.remove(&record.node);
            let entry = self.entry(now, &record, before.as_ref(), plan, complete);
            let unchanged = before.is_some_and(|before| is_same_entry(&before.entry, &entry));
            if complete || !unchanged {
                entries.push(entry.clone());
            }
            self.removed_at.remove(&record.node);
            let endpoint = TrackedEndpoint { record, entry };
            self.endpoints.insert(endpoint.record.node, endpoint);
        }
        entries.extend(self.remove(now, previous));
        self.forget_removed(now, plan);
        let kind = if complete {
            EndpointListKind::Complete
        } else {
            EndpointListKind::Changes
        };
        Event::EndpointList { kind, entries }
    }

    /// Notes when nodes were removed and returns their last entries.
    fn remove(
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

    fn forget_removed(&mut self, now: Moment, plan: &Deployment) {
        let retention = plan.rules.warm_after * REMOVED_NODE_RETENTION_FACTOR;
        self.removed_at.retain(|_, at| now - *at < retention);
    }

    fn entry(
        &mut self,
        now: Moment,
        record: &EndpointRecord,
        before: Option<&TrackedEndpoint>,
        plan: &Deployment,
        complete: bool,
    ) -> EndpointEntry {
        EndpointEntry {
            node: record.node,
            zone: ZoneId(position(&plan.zones, &record.zone) as u16),
            kind: KindId(position(&plan.kinds, &record.kind) as u8),
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

    /// When a node's process started; `None`: long ago.
    fn started_at(
        &self,
        now: Moment,
        record: &EndpointRecord,
        before: Option<&TrackedEndpoint>,
        complete: bool,
    ) -> Option<Moment> {
        match (&record.started, before) {
            // The start of a process is fixed when it is first reported: a clock that jumps moves none.
            (Some((run, _)), Some(before)) if before.is_run(run) => before.entry.started,
            (Some((_, age)), _) => Some(now - *age),
            (None, Some(before)) if !self.removed_at.contains_key(&record.node) => {
                before.entry.started
            }
            // Listed after this controller started and without an age: it may have to warm up.
            (None, _) if !complete => Some(now),
            (None, _) => None,
        }
    }
}

impl TrackedEndpoint {
    fn is_run(&self, run: &str) -> bool {
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

/// Unknown names were rejected before: the fallback stands only for a record without a kind.
fn position(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(0)
}
