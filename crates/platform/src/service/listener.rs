//! Accepting connections, and making room for them.

use super::{Service, LISTENER_TOKEN};
use crate::clock::span;
use crate::close_reason::CloseReason;
use crate::connection::Connection;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;
use tracing::warn;
use wheelspread::time::Moment;
use wheelspread_platform_core::ConnectionId;
use wheelspread_reactor::{self as reactor, Interest, Token};

/// Descriptors that are not for connections: the loop's own and those of exchanges.
const RESERVED_DESCRIPTORS: usize = 28;
/// Connections that are accepted in one turn.
const ACCEPTS_PER_ITERATION_MAX: usize = 64;
/// No connection is evicted within this time: proxies that come in hundreds need it to send their first
/// message. Peers that wait to be accepted lose nothing.
const EVICTION_GRACE: Duration = Duration::from_millis(100);

/// The listening socket.
pub(super) struct Listener {
    socket: TcpListener,
    /// Accepting is paused until then: there is no descriptor for a peer that waits.
    pub(super) resume_at: Option<Moment>,
}

impl Listener {
    pub(super) fn new(socket: TcpListener) -> Listener {
        Listener {
            socket,
            resume_at: None,
        }
    }
}

impl Service {
    fn connection_limit(&self) -> usize {
        self.config
            .socket_limit
            .saturating_sub(RESERVED_DESCRIPTORS)
    }

    /// Accepts as many as there is room for when every unidentified connection has been evicted.
    pub(super) fn accept(&mut self, now: Moment) {
        let free_slots = self
            .connection_limit()
            .saturating_sub(self.connections.identified_count());
        for _ in 0..free_slots.clamp(1, ACCEPTS_PER_ITERATION_MAX) {
            if !self.accept_one(now) {
                return;
            }
        }
    }

    /// Whether another peer may wait to be accepted.
    fn accept_one(&mut self, now: Moment) -> bool {
        if self.connections.len() >= self.connection_limit() && !self.evict(now) {
            return self.reject_one(now);
        }
        let (accepted, error) = reactor::accept_at_most(&self.listener.socket, 1);
        if let Some(error) = error {
            warn!(%error, connections = self.connections.len(), "accept failed");
            if !self.evict(now) {
                self.pause_listener(now + span(EVICTION_GRACE));
            }
            return false;
        }
        let Some(stream) = accepted.into_iter().next() else {
            return false;
        };
        self.add_connection(now, stream);
        true
    }

    fn add_connection(&mut self, now: Moment, stream: TcpStream) {
        let id = ConnectionId(self.next_token());
        if let Err(error) = self.poll.add(&stream, Token(id.0), Interest::Edges) {
            warn!(%error, "connection can't be polled");
            return;
        }
        self.connections.insert(id, Connection::new(stream, now));
        self.read(now, id);
    }

    /// There is no descriptor for the next peer. It waits for an unidentified connection to become evictable;
    /// if all are held by proxies and collectors it is disconnected, so that it goes to another controller.
    /// Whether another peer may wait.
    fn reject_one(&mut self, now: Moment) -> bool {
        if let Some((_, accepted_at)) = self.connections.oldest_unidentified() {
            self.pause_listener(accepted_at + span(EVICTION_GRACE));
            return false;
        }
        let (rejected, error) = reactor::accept_at_most(&self.listener.socket, 1);
        self.report.counters.unidentified_closed += rejected.len() as u64;
        if rejected.is_empty() && error.is_some() {
            self.pause_listener(now + span(EVICTION_GRACE));
        }
        !rejected.is_empty()
    }

    /// Peers that wait to be accepted can wait; readiness of the listener in every turn would take all the time.
    fn pause_listener(&mut self, until: Moment) {
        match self.poll.remove(&self.listener.socket) {
            Ok(()) => self.listener.resume_at = Some(until),
            Err(error) => warn!(%error, "listener can't be paused"),
        }
    }

    pub(super) fn resume_listener(&mut self, now: Moment) {
        if self.listener.resume_at.is_none_or(|at| now < at) {
            return;
        }
        let socket = &self.listener.socket;
        match self.poll.add(socket, LISTENER_TOKEN, Interest::Readable) {
            Ok(()) => self.listener.resume_at = None,
            Err(error) => warn!(%error, "listener can't be polled"),
        }
    }

    /// Closes the oldest unidentified connection, or else a collector that a newer one of its zone has
    /// replaced. Whether there is room for one more.
    fn evict(&mut self, now: Moment) -> bool {
        while let Some((id, accepted_at)) = self.connections.oldest_unidentified() {
            if now - accepted_at < span(EVICTION_GRACE) {
                break;
            }
            // It stays if its final read has identified it; then the next one is tried.
            if self.close(now, id, CloseReason::Evicted, &"descriptors are short") {
                return true;
            }
        }
        let redundant = self.core.redundant_collector();
        redundant.is_some_and(|id| self.close_replaced(now, id, &"its zone has a newer collector"))
    }
}
