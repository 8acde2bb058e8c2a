//! The pool of connections to nodes. Idle connections are reused; new ones are opened up to a limit per node.

use crate::connection::ConnectionState;
use crate::token::{Source, TokenSpace};
use crate::upstream::{Attempt, UpstreamConnection, UpstreamResponse};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest, Poll};

/// Settings of a pool.
pub struct PoolConfig {
    /// Creates the tokens of the pool's connections.
    pub tokens: TokenSpace,
    /// Source address of connections to nodes; `None` lets the operating system choose.
    pub source: Option<Ipv4Addr>,
    /// Maximum number of open connections to one node, including idle ones.
    pub max_connections_per_node: usize,
}

/// An attempt that ended with a complete response.
pub struct FinishedAttempt {
    /// The node that responded.
    pub node: NodeId,
    /// The attempt.
    pub attempt: Attempt,
    /// Its response, whose body was forwarded.
    pub response: UpstreamResponse,
}

/// A connection that exceeded the connect or the idle time-out.
pub struct TimedOutConnection {
    /// Slot of the connection in the pool.
    pub slot: usize,
    /// Whether an attempt waits for the connect; otherwise the connection is idle.
    pub carries_attempt: bool,
}

/// All connections from one proxy to nodes.
pub struct UpstreamPool {
    config: PoolConfig,
    connections: Slab<UpstreamConnection>,
    /// Slots of idle connections by node, the most recently used last. Empty lists are not stored.
    idle: BTreeMap<NodeId, Vec<usize>>,
    /// Number of open connections by node. Only non-zero counts are stored.
    open_counts: BTreeMap<NodeId, usize>,
}

impl UpstreamPool {
    /// Creates a pool without connections.
    pub fn new(config: PoolConfig) -> UpstreamPool {
        UpstreamPool {
            config,
            connections: Slab::new(),
            idle: BTreeMap::new(),
            open_counts: BTreeMap::new(),
        }
    }

    /// The connection in a slot.
    pub fn get(&self, slot: usize) -> Option<&UpstreamConnection> {
        self.connections.get(slot)
    }

    /// Mutable access to the connection in a slot.
    pub fn get_mut(&mut self, slot: usize) -> Option<&mut UpstreamConnection> {
        self.connections.get_mut(slot)
    }

    /// Returns the slot of the most recently used idle connection to the node, or of a new connection. Returns `None`
    /// if the node's limit is reached or the connect fails immediately.
    pub fn check_out(
        &mut self,
        poll: &Poll,
        now: Moment,
        node: NodeId,
        read_buffer: &mut [u8],
    ) -> Option<usize> {
        while let Some(slot) = self.idle.get_mut(&node).and_then(Vec::pop) {
            if self.is_usable(slot, read_buffer) {
                return Some(slot);
            }
            self.close(slot);
        }
        self.connect(poll, now, node)
    }

    /// Whether an idle connection is still open. The read detects a connection that the node has closed before
    /// anything is written to it. It costs less than a failed attempt that may have been processed.
    fn is_usable(&mut self, slot: usize, read_buffer: &mut [u8]) -> bool {
        self.connections.get_mut(slot).is_some_and(|connection| {
            connection.read(1, true, read_buffer) == ConnectionState::Open
                && !connection.peer_closed()
                && connection.input.is_empty()
        })
    }

    fn connect(&mut self, poll: &Poll, now: Moment, node: NodeId) -> Option<usize> {
        let open_count = self.open_counts.get(&node).copied().unwrap_or(0);
        if open_count >= self.config.max_connections_per_node {
            return None;
        }
        let socket = reactor::connect_from(self.config.source, node.address, node.port).ok()?;
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let token = self.config.tokens.token(Source::Upstream(slot));
        poll.add(&socket, token, Interest::Edges).ok()?;
        entry.insert(UpstreamConnection::new(now, socket, node));
        *self.open_counts.entry(node).or_insert(0) += 1;
        Some(slot)
    }

    /// Removes a finished attempt from its connection. The connection becomes idle if it is reusable, else it is closed.
    pub fn finish_attempt(&mut self, now: Moment, slot: usize) -> Option<FinishedAttempt> {
        let connection = self.connections.get_mut(slot)?;
        let (node, is_reusable) = (connection.node, connection.is_reusable());
        let (response, attempt) = (connection.response.take()?, connection.attempt.take()?);
        if is_reusable {
            connection.become_idle(now);
            self.idle.entry(node).or_default().push(slot);
        } else {
            self.close(slot);
        }
        Some(FinishedAttempt {
            node,
            attempt,
            response,
        })
    }

    /// Closes a connection. One that carries an attempt is reset, so that the node learns that no client waits for the
    /// response any more.
    pub fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.try_remove(slot) else {
            return;
        };
        if let Some(open_count) = self.open_counts.get_mut(&connection.node) {
            *open_count -= 1;
            if *open_count == 0 {
                self.open_counts.remove(&connection.node);
            }
        }
        if let Some(idle) = self.idle.get_mut(&connection.node) {
            idle.retain(|other| *other != slot);
            if idle.is_empty() {
                self.idle.remove(&connection.node);
            }
        }
        if connection.attempt.is_some() {
            reactor::reset(connection.socket);
        }
    }

    /// Closes idle connections to nodes that are not in `published`.
    pub fn close_idle_except(&mut self, published: &BTreeSet<NodeId>) {
        let unpublished: Vec<usize> = self
            .idle
            .iter()
            .filter(|(node, _)| !published.contains(node))
            .flat_map(|(_, slots)| slots.iter().copied())
            .collect();
        for slot in unpublished {
            self.close(slot);
        }
    }

    /// Connections that were not established within `connect_timeout`, or were idle for longer than `idle_timeout`.
    pub fn timed_out(
        &self,
        now: Moment,
        connect_timeout: Span,
        idle_timeout: Span,
    ) -> Vec<TimedOutConnection> {
        let is_timed_out = |connection: &UpstreamConnection| match &connection.attempt {
            Some(_) => !connection.established && now - connection.state_since > connect_timeout,
            None => now - connection.state_since > idle_timeout,
        };
        self.connections
            .iter()
            .filter(|(_, connection)| is_timed_out(connection))
            .map(|(slot, connection)| TimedOutConnection {
                slot,
                carries_attempt: connection.attempt.is_some(),
            })
            .collect()
    }
}
