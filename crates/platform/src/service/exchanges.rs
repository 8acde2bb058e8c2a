//! HTTP exchanges with discovery and nodes: opening, progress, completion, failure and time limits.

use super::Service;
use crate::clock::span;
use crate::exchange::Exchange;
use std::net::SocketAddrV4;
use std::time::Duration;
use tracing::debug;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_platform_core::{SourceId, WatchPosition};
use wheelspread_reactor::{Interest, Token};

/// Limit of concurrent exchanges.
const EXCHANGES_MAX: usize = 12;
/// Limit of concurrent exchanges for opening a health check. It leaves some exchanges for the endpoint list.
const EXCHANGES_MAX_FOR_HEALTH_CHECKS: usize = EXCHANGES_MAX - 4;
/// Time limit for a complete list, and for the head of the response to a watch.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit without a received byte on a watch. Discovery sends at least an empty line every 2 s.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(2);
const STATUS_OK: u16 = 200;

/// Identifies an exchange. Exchanges and connections share one sequence of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ExchangeId(pub(super) u64);

/// The purpose of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    /// A single request for the complete endpoint list.
    CompleteList,
    /// A watch on changes of the endpoint list.
    Watch,
    HealthCheck(NodeId),
}

/// An exchange that is not complete yet.
pub(super) struct OpenExchange {
    pub(super) exchange: Exchange,
    pub(super) purpose: Purpose,
    pub(super) opened_at: Moment,
    pub(super) last_received_at: Moment,
    pub(super) address: SocketAddrV4,
    /// The newest watch at the time when the exchange was opened.
    pub(super) source: SourceId,
    pub(super) position: WatchPosition,
}

impl OpenExchange {
    pub(super) fn is_successful(&self) -> bool {
        self.exchange.status == STATUS_OK
    }

    fn has_timed_out(&self, now: Moment) -> bool {
        let (since, timeout) = match self.purpose {
            Purpose::Watch if self.exchange.status == 0 => (self.opened_at, LIST_TIMEOUT),
            Purpose::Watch => (self.last_received_at, WATCH_IDLE_TIMEOUT),
            Purpose::CompleteList => (self.opened_at, LIST_TIMEOUT),
            Purpose::HealthCheck(_) => (self.opened_at, HEALTH_CHECK_TIMEOUT),
        };
        now - since > span(timeout)
    }
}

impl Service {
    /// Opens an exchange unless the limit for its purpose is reached. Returns whether it was opened.
    pub(super) fn open_exchange(
        &mut self,
        now: Moment,
        address: SocketAddrV4,
        target: &str,
        purpose: Purpose,
    ) -> bool {
        let max = match purpose {
            Purpose::HealthCheck(_) => EXCHANGES_MAX_FOR_HEALTH_CHECKS,
            Purpose::CompleteList | Purpose::Watch => EXCHANGES_MAX,
        };
        if self.exchanges.len() >= max {
            return false;
        }
        let opened = Exchange::get(address, target).and_then(|exchange| {
            let id = ExchangeId(self.next_token());
            self.poll
                .add(&exchange.stream, Token(id.0), Interest::Edges)?;
            let open = OpenExchange {
                exchange,
                purpose,
                opened_at: now,
                last_received_at: now,
                address,
                source: self.discovery.newest_source,
                position: WatchPosition::starting_at(self.core.endpoint_list_version()),
            };
            self.exchanges.insert(id, open);
            Ok(())
        });
        if let Err(error) = &opened {
            debug!(%error, ?purpose, "exchange can't be opened");
        }
        opened.is_ok()
    }

    /// Sends and receives without blocking, and handles the received part of the response.
    pub(super) fn progress_exchange(&mut self, now: Moment, id: ExchangeId) {
        let Some(open) = self.exchanges.get_mut(&id) else {
            return;
        };
        let received_before = open.exchange.received_bytes;
        let progress = open.exchange.progress(&mut self.scratch);
        if open.exchange.received_bytes > received_before {
            open.last_received_at = now;
        }
        let is_watch = open.purpose == Purpose::Watch;
        let mut is_refused_watch = false;
        if is_watch && open.is_successful() {
            let has_ended = !matches!(progress, Ok(false));
            let lines = take_watch_lines(&mut open.exchange, has_ended);
            if !self.handle_watch_lines(now, id, &lines) {
                return self.handle_version_restart(now, id);
            }
        } else {
            is_refused_watch = is_watch && open.exchange.status != 0;
        }
        match progress {
            // A watch whose response status is not 200 is closed at once: its response may never end.
            Ok(_) if is_refused_watch => self.fail_exchange(now, id),
            Ok(false) => {}
            Ok(true) => self.complete_exchange(now, id),
            Err(error) => {
                debug!(%error, "exchange failed");
                self.fail_exchange(now, id);
            }
        }
    }

    fn complete_exchange(&mut self, now: Moment, id: ExchangeId) {
        let Some(open) = self.exchanges.get(&id) else {
            return;
        };
        if open.purpose == Purpose::CompleteList && !open.is_successful() {
            return self.fail_exchange(now, id);
        }
        let Some(open) = self.exchanges.remove(&id) else {
            return;
        };
        match open.purpose {
            Purpose::CompleteList => self.handle_complete_list(now, &open),
            Purpose::Watch => self.handle_watch_end(now, open.address),
            Purpose::HealthCheck(node) => self.complete_health_check(now, node, &open),
        }
    }

    fn fail_exchange(&mut self, now: Moment, id: ExchangeId) {
        let Some(open) = self.exchanges.remove(&id) else {
            return;
        };
        match open.purpose {
            Purpose::CompleteList => self.handle_complete_list_failure(now, open.source),
            Purpose::Watch => self.handle_watch_end(now, open.address),
            Purpose::HealthCheck(node) => {
                self.fail_health_check(now, node, now - open.opened_at);
            }
        }
    }

    pub(super) fn expire_exchanges(&mut self, now: Moment) {
        let has_timed_out = |open: &OpenExchange| open.has_timed_out(now);
        let expired: Vec<ExchangeId> = self
            .exchanges
            .iter()
            .filter(|(_, open)| has_timed_out(open))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            // The response may have arrived in time without being read yet.
            self.progress_exchange(now, id);
            if self.exchanges.get(&id).is_some_and(has_timed_out) {
                debug!("exchange timed out");
                self.fail_exchange(now, id);
            }
        }
    }
}

/// Takes the complete lines received on a watch. When the response has ended, its last line may have no line end; a
/// truncated line is rejected later as invalid JSON.
fn take_watch_lines(exchange: &mut Exchange, has_ended: bool) -> Vec<Vec<u8>> {
    let mut lines = exchange.take_lines();
    if has_ended && !exchange.body.is_empty() {
        lines.push(std::mem::take(&mut exchange.body));
    }
    lines
}
