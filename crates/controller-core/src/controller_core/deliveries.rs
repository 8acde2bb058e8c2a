//! What each proxy was last given, and what is being written for it.

use super::{ControllerCore, TableWriteError};
use crate::publication::{TableSet, Version};
use crate::update_queue::Urgency;
use crate::LogEvent;
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::Moment;

/// The tables that were given to proxies. Streams have nothing in flight: what a stream was offered last is what
/// it will send.
#[derive(Default)]
pub(super) struct Deliveries {
    /// What each proxy's files were last pointed at, or its stream was offered.
    delivered: BTreeMap<ProxyId, Arc<TableSet>>,
    /// What is being written to the disk.
    in_flight: BTreeMap<ProxyId, Arc<TableSet>>,
}

impl Deliveries {
    pub(super) fn start_write(&mut self, proxy: ProxyId, set: Arc<TableSet>) {
        self.in_flight.insert(proxy, set);
    }

    /// Returns what was being written.
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

    /// The tables that the proxy will hold once the write in flight is done.
    pub(super) fn latest(&self, proxy: ProxyId) -> Option<&Arc<TableSet>> {
        self.in_flight
            .get(&proxy)
            .or_else(|| self.delivered.get(&proxy))
    }

    pub(super) fn delivered_version(&self, proxy: ProxyId) -> Option<Version> {
        self.delivered.get(&proxy).map(|set| set.version)
    }

    /// Versions that some proxy reads or will read.
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
