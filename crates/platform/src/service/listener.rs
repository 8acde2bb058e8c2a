//! Accepting connections, and evicting unidentified ones when the descriptor limit is reached.

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

/// Descriptors reserved for the event loop and for exchanges.
const RESERVED_DESCRIPTORS: usize = 28;
/// Limit of connections accepted in one iteration of the event loop.
const ACCEPTS_PER_ITERATION_MAX: usize = 64;
/// Minimum age of a connection before it can be evicted. When hundreds of proxies connect at once, each needs this
/// time to send its first message. Peers waiting to be accepted are not disconnected by the delay.
const EVICTION_GRACE: Duration = Duration::from_millis(100);

/// The listening socket.
pub(super) struct Listener {
    socket: TcpListener,
    /// Accepting is paused until this time, since there is no descriptor for another connection.
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

    /// Accepts connections, at most as many as would fit if every unidentified connection were evicted.
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

    /// Accepts one connection. Returns whether another peer may be waiting.
    fn accept_one(&mut self, now: Moment) -> bool {
        if self.connections.len() >= self.connection_limit() && !self.evict(now) {
            return self.reject_one(now);
        }
        let (accepted, error) = reactor::accept_up_to(&self.listener.socket, 1);
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
            warn!(%error, "connection can't be added to epoll, closing it");
            return;
        }
        self.connections.insert(id, Connection::new(stream, now));
        self.read(now, id);
    }

    /// Handles a waiting peer for which there is no descriptor. If there are unidentified connections, the peer waits
    /// until the oldest can be evicted. If all connections belong to proxies and collectors, the peer is disconnected,
    /// so that it connects to another controller. Returns whether another peer may be waiting.
    fn reject_one(&mut self, now: Moment) -> bool {
        if let Some((_, accepted_at)) = self.connections.oldest_unidentified() {
            self.pause_listener(accepted_at + span(EVICTION_GRACE));
            return false;
        }
        let (rejected, error) = reactor::accept_up_to(&self.listener.socket, 1);
        self.report.counters.unidentified_closed += rejected.len() as u64;
        if rejected.is_empty() && error.is_some() {
            self.pause_listener(now + span(EVICTION_GRACE));
        }
        !rejected.is_empty()
    }

    /// Stops polling the listener until this time. Otherwise the listener would be ready in every iteration while peers
    /// wait, and the event loop would never block.
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
            Err(error) => warn!(%error, "listener can't be added to epoll"),
        }
    }

    /// Closes the oldest unidentified connection, or else a collector connection that a newer one of its zone has
    /// replaced. Returns whether a connection was closed.
    fn evict(&mut self, now: Moment) -> bool {
        while let Some((id, accepted_at)) = self.connections.oldest_unidentified() {
            if now - accepted_at < span(EVICTION_GRACE) {
                break;
            }
            // A connection whose final read identifies the peer stays open; then the next one is tried.
            if self.close(
                now,
                id,
                CloseReason::Evicted,
                &"the descriptor limit is reached",
            ) {
                return true;
            }
        }
        let redundant = self.core.redundant_collector();
        redundant.is_some_and(|id| self.close_replaced(now, id, &"the zone has a newer collector"))
    }
}
