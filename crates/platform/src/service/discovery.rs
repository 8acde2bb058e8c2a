//! The client of discovery: a watch on the endpoint list, and the complete list where it is needed.

use super::exchanges::{ExchangeId, OpenExchange, Purpose};
use super::Service;
use crate::clock::span;
use std::net::SocketAddrV4;
use std::time::Duration;
use tracing::{debug, info, warn};
use wheelspread::time::Moment;
use wheelspread_platform_core::{EndpointList, SourceId, CONFIGURED_SOURCE};

/// Time from the end of a watch to the next one, at first; it doubles up to the maximum.
const WATCH_BACKOFF_MIN: Duration = Duration::from_millis(50);
const WATCH_BACKOFF_MAX: Duration = Duration::from_secs(1);
const MEMBERS_PATH: &str = "/catalog/members";

/// What the client knows beside its exchanges.
pub(super) struct DiscoveryState {
    /// When the next watch may be opened.
    next_watch_at: Moment,
    backoff: Duration,
    pub(super) newest_source: SourceId,
    /// Discovery has started its versions again: changes mean nothing before the complete list is read.
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

    /// The complete list of a source was read, or can't be: the watch may be opened, from whatever version is
    /// in force.
    fn finish_complete_list(&mut self, source: SourceId) {
        if source == self.newest_source {
            self.awaits_complete_list = false;
        }
    }
}

impl Service {
    /// Opens a watch if there is none at the address in force.
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

    /// The configuration names another address. Its versions may be others, so the complete list is read beside
    /// the watch.
    pub(super) fn change_discovery_address(&mut self, now: Moment) {
        self.discovery.next_watch_at = now;
        self.discovery.reset_backoff();
        self.discovery.awaits_complete_list = false;
        self.maintain_watch(now);
        self.request_complete_list(now);
    }

    /// Whether the request was opened.
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
            // The watch beside it continues from here.
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

    /// Whether all objects continue from those before them on this watch.
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
            // A watch at an address that was left changes nothing any more.
            return open.address != self.config.discovery;
        }
        self.discovery.reset_backoff();
        self.handle_list(now, &list, source);
        true
    }

    /// A watch has gone back to lower versions: changes by them mean nothing before the complete list is read.
    pub(super) fn handle_version_restart(&mut self, now: Moment, id: ExchangeId) {
        info!("discovery restarted its versions, reading the complete endpoint list");
        self.exchanges.remove(&id);
        self.discovery.newest_source = self.discovery.newest_source.next();
        self.discovery.awaits_complete_list = self.request_complete_list(now);
    }

    /// The end of a watch at an address that was left holds up no other.
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
                warn!(%error, "endpoint list can't be read");
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
