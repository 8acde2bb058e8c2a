//! The tables last delivered to each proxy, and the tables being written for it.

use super::{ControllerCore, TableWriteError};
use crate::publication::{TableSet, Version};
use crate::update_queue::Urgency;
use crate::LogEvent;
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::Moment;

/// Tables delivered to proxies and table writes in flight. Tables offered to a stream count as delivered at once,
/// because the stream sends the last version that it was offered.
#[derive(Default)]
pub(super) struct Deliveries {
    /// The tables that each proxy's files were last switched to, or that its stream was last offered.
    delivered: BTreeMap<ProxyId, Arc<TableSet>>,
    /// The tables being written to the disk.
    in_flight: BTreeMap<ProxyId, Arc<TableSet>>,
}

impl Deliveries {
    pub(super) fn start_write(&mut self, proxy: ProxyId, set: Arc<TableSet>) {
        self.in_flight.insert(proxy, set);
    }

    /// Ends a proxy's write in flight and returns its tables.
    pub(super) fn finish_write(&mut self, proxy: ProxyId) -> Option<Arc<TableSet>> {
        self.in_flight.remove(&proxy)
    }

    pub(super) fn set_delivered(&mut self, proxy: ProxyId, set: Arc<TableSet>) {
        self.delivered.insert(proxy, set);
    }

    pub(super) fn clear_delivered(&mut self, proxy: ProxyId) {
        self.delivered.remove(&proxy);
    }

    pub(super) fn forget(&mut self, proxy: ProxyId) {
        self.delivered.remove(&proxy);
        self.in_flight.remove(&proxy);
    }

    /// The tables that the proxy will hold once its write in flight, if any, succeeds.
    pub(super) fn latest(&self, proxy: ProxyId) -> Option<&Arc<TableSet>> {
        self.in_flight
            .get(&proxy)
            .or_else(|| self.delivered.get(&proxy))
    }

    pub(super) fn delivered_version(&self, proxy: ProxyId) -> Option<Version> {
        self.delivered.get(&proxy).map(|set| set.version)
    }

    /// Versions delivered to some proxy, or being written for one.
    pub(super) fn versions(&self) -> impl Iterator<Item = Version> + '_ {
        self.delivered
            .values()
            .chain(self.in_flight.values())
            .map(|set| set.version)
    }
}

impl ControllerCore {
    pub(super) fn on_tables_written(
        &mut self,
        now: Moment,
        proxy: String,
        version: Version,
        result: Result<(), TableWriteError>,
    ) {
        let Some(id) = self.members.member(&proxy).map(|member| member.id) else {
            return self.recovered_tables.on_write_finished(&proxy);
        };
        let Some(set) = self.deliveries.finish_write(id) else {
            return;
        };
        match result {
            Ok(()) => {
                self.queue.on_written(id);
                self.acknowledgements.on_delivered(now, id, version);
                self.deliveries.set_delivered(id, set);
                self.log(LogEvent::TablesWritten { proxy, version });
            }
            Err(error) => {
                let retry_in = self.queue.on_write_failed(now, id, Urgency::Update);
                self.log(LogEvent::TableWriteFailed {
                    proxy,
                    version,
                    reason: error.to_string(),
                    retry_in,
                });
            }
        }
    }
}
