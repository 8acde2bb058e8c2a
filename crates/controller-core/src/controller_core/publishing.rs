//! Publishing: making new table versions, passing them through the update queue, and requesting the
//! acknowledgements of version markers.

use super::rounds::{MarkerRequest, RoundOutcome};
use super::ControllerCore;
use crate::publication::{count_entry_changes, removes_entries, BundleId, TableSet, Version};
use crate::transport::Transport;
use crate::update_queue::Urgency;
use crate::{Effect, LogEvent};
use std::collections::BTreeSet;
use std::sync::Arc;
use wheelspread::ids::{NodeId, ProxyId};
use wheelspread::time::Moment;

impl ControllerCore {
    /// Publishes the tables that a round changed and queues them for the affected proxies.
    pub(super) fn publish(&mut self, now: Moment, outcome: RoundOutcome) {
        let published = self.make_versions();
        let bound_proxies: Vec<ProxyId> = self.publication.bound_proxies().collect();
        let is_affected = |proxy: &ProxyId| {
            self.publication
                .bundle_of(*proxy)
                .is_some_and(|bundle| published.contains(&bundle))
        };
        let mut affected = outcome.bound.clone();
        affected.extend(bound_proxies.iter().copied().filter(is_affected));
        for bundle in &published {
            self.retain_published(now, *bundle, &bound_proxies);
        }
        if !published.is_empty() {
            self.retained_versions.trim();
        }
        for proxy in &affected {
            // A proxy that was bound in this round is sent its tables even if it holds them already, because it
            // waits for a delivery.
            self.enqueue_newest_tables(now, *proxy, outcome.bound.contains(proxy));
        }
        self.request_acknowledgements(now, &bound_proxies, &affected, &outcome.markers);
        self.report_queue_limit();
    }

    /// Makes new versions of the tables that changed, and returns their bundles.
    fn make_versions(&mut self) -> BTreeSet<BundleId> {
        let (endpoints, overrides) = (&self.endpoints, &self.overrides);
        let zone_of = |node: NodeId| {
            let listed_zone = || {
                endpoints
                    .record(node)
                    .map_or("", |record| record.zone.as_str())
            };
            overrides.zone(node).unwrap_or_else(listed_zone).to_string()
        };
        self.publication.publish(zone_of).into_iter().collect()
    }

    fn retain_published(&mut self, now: Moment, bundle: BundleId, bound_proxies: &[ProxyId]) {
        let Some(set) = self.publication.newest(bundle).cloned() else {
            return;
        };
        let proxies = bound_proxies
            .iter()
            .filter(|proxy| self.publication.bundle_of(**proxy) == Some(bundle))
            .count();
        let entries = set.operations.iter().map(|table| table.entries.len()).max();
        self.log(LogEvent::VersionPublished {
            bundle,
            version: set.version,
            configuration: set.configuration,
            proxies,
            entries: entries.unwrap_or(0),
        });
        self.stored_versions.mark_used(now, set.version);
        self.retained_versions.insert(set);
    }

    /// Requests that joined proxies acknowledge markers once they hold the newest version of their tables.
    fn request_acknowledgements(
        &mut self,
        now: Moment,
        bound_proxies: &[ProxyId],
        affected: &BTreeSet<ProxyId>,
        markers: &[MarkerRequest],
    ) {
        let joined: Vec<ProxyId> = bound_proxies
            .iter()
            .copied()
            .filter(|proxy| self.is_joined(*proxy))
            .collect();
        for request in markers {
            for proxy in &joined {
                if request.to_all || affected.contains(proxy) {
                    self.request_acknowledgement(now, *proxy, request);
                }
            }
        }
    }

    fn request_acknowledgement(&mut self, now: Moment, proxy: ProxyId, request: &MarkerRequest) {
        let Some(version) = self.newest_version(proxy) else {
            return;
        };
        self.acknowledgements
            .request(now, proxy, request.marker, version);
        let delivered = self.deliveries.delivered_version(proxy);
        if delivered.is_some_and(|delivered| delivered >= version) {
            self.acknowledgements.on_delivered(now, proxy, version);
        }
    }

    fn newest_version(&self, proxy: ProxyId) -> Option<Version> {
        self.publication.newest_for(proxy).map(|set| set.version)
    }

    /// Logs that the update queue is over its limit, once until it is within the limit again.
    fn report_queue_limit(&mut self) {
        let is_over_limit = self.queue.is_over_limit();
        if is_over_limit && !self.queue_was_over_limit {
            let entries = self.queue.queued_entries();
            self.log(LogEvent::UpdateQueueFull { entries });
        }
        self.queue_was_over_limit = is_over_limit;
    }

    /// Queues the newest tables of a proxy. Tables that were delivered already, or are being written, are queued
    /// again only if `is_forced`.
    pub(super) fn enqueue_newest_tables(&mut self, now: Moment, proxy: ProxyId, is_forced: bool) {
        let Some(newest) = self.publication.newest_for(proxy).cloned() else {
            return;
        };
        let latest = self.deliveries.latest(proxy).cloned();
        if !is_forced && latest.as_ref().map(|set| set.version) == Some(newest.version) {
            return;
        }
        if self.transports.transport(proxy) == Transport::Disconnected {
            return; // The proxy gets the newest tables when it reconnects.
        }
        let urgency = self.urgency(proxy, latest.as_deref(), &newest);
        let entries = count_entry_changes(latest.as_deref(), &newest) as f64;
        if urgency == Urgency::Update && self.transports.postpone(now, newest.bundle, proxy) {
            return;
        }
        self.queue.enqueue(now, proxy, entries, urgency);
    }

    fn urgency(&self, proxy: ProxyId, latest: Option<&TableSet>, newest: &TableSet) -> Urgency {
        let reads_files = self.transports.transport(proxy) == Transport::Files;
        if reads_files && !self.is_joined(proxy) {
            return Urgency::Disconnected;
        }
        match latest {
            Some(latest) if removes_entries(latest, newest) => Urgency::Removal,
            // Deliveries are cleared when a stream breaks, as it is unknown which tables the proxy received. A
            // proxy that reported a version when it subscribed does not need its first tables.
            None if !self.transports.has_initial_version(proxy) => Urgency::FirstTables,
            _ => Urgency::Update,
        }
    }

    /// Delivers the newest tables of every proxy whose update the queue releases now.
    pub(super) fn deliver(&mut self, now: Moment) {
        while let Some(id) = self.queue.start_next(now) {
            let newest = self.publication.newest_for(id).cloned();
            let name = self.members.name(id).map(str::to_string);
            match (newest, name) {
                (Some(set), Some(proxy)) => self.deliver_to(now, id, proxy, set),
                _ => self.queue.on_written(id),
            }
        }
    }

    fn deliver_to(&mut self, now: Moment, id: ProxyId, proxy: String, set: Arc<TableSet>) {
        match self.transports.transport(id) {
            Transport::Files => {
                self.deliveries.start_write(id, set.clone());
                self.effects.push(Effect::WriteTables { proxy, set });
            }
            // A stream sends only the last version that it was offered, so this counts as delivered at once.
            Transport::Stream(stream) => {
                self.queue.on_written(id);
                self.acknowledgements.on_delivered(now, id, set.version);
                self.deliveries.set_delivered(id, set.clone());
                self.effects.push(Effect::SendTables { stream, set });
            }
            Transport::Disconnected => self.queue.on_written(id),
        }
    }
}
