//! Endpoint lists: accepting them, and listing nodes to the balancer with the changes that node overrides, weight
//! solver and rollback make to them.

use super::recovery::PRUNE_AFTER_DRAIN_GRACES;
use super::{zone_of, ConfigUpdate, ControllerCore};
use crate::endpoint_list::{EndpointSnapshot, SnapshotReadError};
use crate::node_overrides::NodeOverrides;
use crate::LogEvent;
use std::collections::BTreeSet;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointListKind, Event};

impl ControllerCore {
    pub(super) fn on_endpoint_list(
        &mut self,
        now: Moment,
        list: Result<EndpointSnapshot, SnapshotReadError>,
    ) {
        let is_first = self.schedule.start();
        // Only the first read falls back to the stored list. If a later one fails, the list in force stays.
        let stored = self.pending_restore.take_endpoint_list();
        if let Some(stored) = stored.filter(|_| is_first && list.is_err()) {
            self.restore_endpoint_list(now, stored);
        }
        let outcome = self
            .endpoints
            .apply_snapshot(now, list, &self.deployment, is_first);
        if let Some(rejection) = outcome.rejection {
            let reason = rejection.to_string();
            self.log(LogEvent::EndpointListRejected { reason });
        }
        if let Some(event) = outcome.event {
            self.accept_endpoint_list(now, &event);
        }
    }

    /// Applies the last list accepted before the restart, because none could be read at the start.
    fn restore_endpoint_list(&mut self, now: Moment, stored: EndpointSnapshot) {
        self.log(LogEvent::EndpointListRestored {
            version: stored.version.clone(),
            nodes: stored.records.len(),
        });
        let outcome = self
            .endpoints
            .apply_snapshot(now, Ok(stored), &self.deployment, true);
        self.endpoints.mark_restored();
        if let Some(event) = outcome.event {
            self.accept_endpoint_list(now, &event);
        }
    }

    pub(super) fn accept_endpoint_list(&mut self, now: Moment, event: &Event) {
        let Event::EndpointList { entries, .. } = event else {
            return;
        };
        self.list_endpoints(now, event.clone());
        // Capacities can be restored only for nodes that the balancer knows, so not before the first list.
        let capacities = self.pending_restore.take_capacities();
        if !capacities.is_empty() {
            self.balancer.restore_capacities(&capacities);
        }
        let records = self.endpoints.listed().map(|(record, _)| record);
        self.log(LogEvent::EndpointListAccepted {
            version: self.endpoints.version().to_string(),
            ready: records.filter(|record| !record.draining).count(),
            changes: entries.len(),
        });
        let prune_at = now + self.deployment.rules.drain_grace * PRUNE_AFTER_DRAIN_GRACES;
        self.recovered_tables.schedule_pruning(prune_at);
    }

    pub(super) fn set_drained_nodes(&mut self, now: Moment, drained: BTreeSet<NodeId>) {
        let changed: BTreeSet<NodeId> = self.overrides.set_drained(drained).into_iter().collect();
        self.relist(now, |entry| changed.contains(&entry.node));
    }

    /// Lists the nodes for which `is_changed` holds to the balancer again, after a change of what overrides the
    /// endpoint list.
    pub(super) fn relist(&mut self, now: Moment, is_changed: impl Fn(&EndpointEntry) -> bool) {
        let entries = self
            .endpoints
            .listed()
            .map(|(_, entry)| entry)
            .filter(|entry| is_changed(entry))
            .cloned()
            .collect();
        let kind = EndpointListKind::Changes;
        self.list_endpoints(now, Event::EndpointList { kind, entries });
    }

    /// Passes an endpoint list event to the balancer after applying node overrides, solved weights and the weights
    /// of a rollback, in this order.
    pub(super) fn list_endpoints(&mut self, now: Moment, event: Event) {
        let event = self.overrides.apply_to_event(now, event);
        let event = self.solver.apply_to_event(event);
        let event = self.rollback.apply_to_event(event);
        self.handle_event(now, &event);
    }

    /// Entries of the listed nodes with the node overrides of the configuration in force applied.
    pub fn effective_entries(&self) -> impl Iterator<Item = EndpointEntry> + '_ {
        self.endpoints
            .listed()
            .map(|(_, entry)| self.overrides.effective_entry(entry))
    }

    /// Entries of the listed nodes with the node overrides of another configuration applied.
    pub fn effective_entries_with(&self, update: &ConfigUpdate) -> Vec<EndpointEntry> {
        let (mut overrides, mut endpoints) = (NodeOverrides::default(), self.endpoints.clone());
        overrides.set(
            update.node_values.clone(),
            |zone| zone_of(&update.deployment, zone),
            |cell| endpoints.cell_id(cell),
        );
        self.endpoints
            .listed()
            .map(|(_, entry)| overrides.effective_entry(entry))
            .collect()
    }
}
