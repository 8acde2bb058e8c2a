//! The discovery client: a watch on the endpoint list, and requests for the complete list when needed.

use super::exchanges::{ExchangeId, OpenExchange, Purpose};
use super::Service;
use crate::clock::span;
use std::net::SocketAddrV4;
use std::time::Duration;
use tracing::{debug, info, warn};
use wheelspread::time::Moment;
use wheelspread_platform_core::{EndpointList, SourceId, CONFIGURED_SOURCE};

/// Backoff between watches: it starts at the minimum, doubles with each use up to the maximum, and is reset when a
/// watch receives a list.
const WATCH_BACKOFF_MIN: Duration = Duration::from_millis(50);
const WATCH_BACKOFF_MAX: Duration = Duration::from_secs(1);
const MEMBERS_PATH: &str = "/catalog/members";

/// The client's state other than its open exchanges.
pub(super) struct DiscoveryState {
    /// When the next watch may be opened.
    next_watch_at: Moment,
    backoff: Duration,
    pub(super) newest_source: SourceId,
    /// Discovery has restarted its version count: no watch is opened before the complete list is read, since changes
    /// can't be applied without it.
    awaits_complete_list: bool,
}

impl DiscoveryState {
    pub(super) fn new(now: Moment) -> DiscoveryState {
        DiscoveryState {
            next_watch_at: now,
            backoff: WATCH_BACKOFF_MIN,
            newest_source: CONFIGURED_SOURCE,
            awaits_complete_list: false,
        }
    }

    fn back_off(&mut self, now: Moment) {
        self.next_watch_at = now + span(self.backoff);
        self.backoff = (self.backoff * 2).min(WATCH_BACKOFF_MAX);
    }

    fn reset_backoff(&mut self) {
        self.backoff = WATCH_BACKOFF_MIN;
    }

    /// The request for the complete list of a source has succeeded or failed. In both cases the next watch may be
    /// opened, from the current version.
    fn finish_complete_list(&mut self, source: SourceId) {
        if source == self.newest_source {
            self.awaits_complete_list = false;
        }
    }
}

impl Service {
    /// Opens a watch if there is none at the configured address and the backoff has passed.
    pub(super) fn maintain_watch(&mut self, now: Moment) {
        let address = self.config.discovery;
        let is_current =
            |open: &OpenExchange| open.purpose == Purpose::Watch && open.address == address;
        if now < self.discovery.next_watch_at
            || self.discovery.awaits_complete_list
            || self.exchanges.values().any(is_current)
        {
            return;
        }
        let target = match self.core.endpoint_list_version() {
            Some(version) => format!("{MEMBERS_PATH}?watch=1&from={version}"),
            None => format!("{MEMBERS_PATH}?watch=1"),
        };
        self.discovery.back_off(now);
        self.discovery.newest_source = self.discovery.newest_source.next();
        self.open_exchange(now, address, &target, Purpose::Watch);
    }

    /// Handles a new discovery address in the configuration. Its versions may be unrelated to those of the previous
    /// address, so the complete list is requested in addition to the watch.
    pub(super) fn change_discovery_address(&mut self, now: Moment) {
        self.discovery.next_watch_at = now;
        self.discovery.reset_backoff();
        self.discovery.awaits_complete_list = false;
        self.maintain_watch(now);
        self.request_complete_list(now);
    }

    /// Requests the complete list. Returns whether the request was opened.
    pub(super) fn request_complete_list(&mut self, now: Moment) -> bool {
        let is_open = self.open_exchange(
            now,
            self.config.discovery,
            MEMBERS_PATH,
            Purpose::CompleteList,
        );
        if !is_open {
            self.core.handle_endpoint_list_unavailable(now);
        }
        is_open
    }

    pub(super) fn handle_complete_list(&mut self, now: Moment, open: &OpenExchange) {
        if let Some(list) = self.parse_list(&open.exchange.body) {
            self.handle_list(now, &list, open.source);
            // The watch of the same source continues from the version of this list.
            let watch = self
                .exchanges
                .values_mut()
                .find(|other| other.purpose == Purpose::Watch && other.source == open.source);
            if let Some(watch) = watch {
                watch.position.record_complete_list(&list);
            }
        }
        self.discovery.finish_complete_list(open.source);
    }

    pub(super) fn handle_complete_list_failure(&mut self, now: Moment, source: SourceId) {
        self.core.handle_endpoint_list_unavailable(now);
        self.discovery.finish_complete_list(source);
    }

    /// Handles the lists received on a watch. Returns whether each continues from the one before it.
    pub(super) fn handle_watch_lines(
        &mut self,
        now: Moment,
        id: ExchangeId,
        lines: &[Vec<u8>],
    ) -> bool {
        lines
            .iter()
            .all(|line| self.handle_watch_line(now, id, line))
    }

    fn handle_watch_line(&mut self, now: Moment, id: ExchangeId, line: &[u8]) -> bool {
        let Some(list) = self.parse_list(line) else {
            return true;
        };
        let Some(open) = self.exchanges.get_mut(&id) else {
            return true;
        };
        let source = open.source;
        if !open.position.advance(&list) {
            // A restart of versions at a previous address is of no interest.
            return open.address != self.config.discovery;
        }
        self.discovery.reset_backoff();
        self.handle_list(now, &list, source);
        true
    }

    /// Handles a version on a watch that is lower than the one before. The changes that follow can't be applied before
    /// the complete list is read, so the watch is closed and the list requested.
    pub(super) fn handle_version_restart(&mut self, now: Moment, id: ExchangeId) {
        info!("discovery restarted its versions, reading the complete endpoint list");
        self.exchanges.remove(&id);
        self.discovery.newest_source = self.discovery.newest_source.next();
        self.discovery.awaits_complete_list = self.request_complete_list(now);
    }

    /// Begins the backoff after the end of a watch. The end of a watch at a previous address does not delay the next
    /// watch at the current one.
    pub(super) fn handle_watch_end(&mut self, now: Moment, address: SocketAddrV4) {
        if address == self.config.discovery {
            self.discovery.back_off(now);
        }
    }

    fn parse_list(&self, text: &[u8]) -> Option<EndpointList> {
        match EndpointList::parse_json(text, self.core.names()) {
            Ok(list) => {
                for error in &list.entry_errors {
                    warn!(%error, "endpoint list entry rejected");
                }
                Some(list)
            }
            Err(error) => {
                warn!(%error, "endpoint list rejected");
                None
            }
        }
    }

    fn handle_list(&mut self, now: Moment, list: &EndpointList, source: SourceId) {
        let is_accepted = self.core.handle_endpoint_list(now, list, source);
        debug!(
            version = list.version,
            complete = list.is_complete,
            count = list.entries.len(),
            accepted = is_accepted,
            source = source.0,
            "endpoint list received"
        );
    }
}
