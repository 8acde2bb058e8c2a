//! The pool of connections to nodes: idle ones are used again, new ones are opened up to a limit for each node.

use crate::connection::ConnectionState;
use crate::token::{Source, TokenSpace};
use crate::upstream::{Attempt, UpstreamConnection, UpstreamResponse};
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest, Poll};

/// What a pool has to know of its proxy.
pub struct PoolConfig {
    /// Makes the tokens of its connections.
    pub tokens: TokenSpace,
    /// The address that nodes are called from; `None`: the system chooses.
    pub source: Option<Ipv4Addr>,
    /// Open connections to one node, idle ones included.
    pub max_connections_per_node: usize,
}

/// An attempt that ended with a whole response.
pub struct FinishedAttempt {
    /// The node that responded.
    pub node: NodeId,
    /// The attempt.
    pub attempt: Attempt,
    /// Its response; the body has been passed on.
    pub response: UpstreamResponse,
}

/// A connection that has waited for too long.
pub struct TimedOutConnection {
    /// Its place in the pool.
    pub slot: usize,
    /// Whether an attempt waits for it; otherwise it is idle.
    pub carries_attempt: bool,
}

/// All connections of one proxy to nodes.
pub struct UpstreamPool {
    config: PoolConfig,
    connections: Slab<UpstreamConnection>,
    /// Slots of idle connections by node, the one used last at the end. No empty lists.
    idle: BTreeMap<NodeId, Vec<usize>>,
    /// The number of open connections by node. No zeros.
    open: BTreeMap<NodeId, usize>,
}

impl UpstreamPool {
    /// A pool without connections.
    pub fn new(config: PoolConfig) -> UpstreamPool {
        UpstreamPool {
            config,
            connections: Slab::new(),
            idle: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    /// A connection, by its slot.
    pub fn get(&self, slot: usize) -> Option<&UpstreamConnection> {
        self.connections.get(slot)
    }

    /// A connection, by its slot.
    pub fn get_mut(&mut self, slot: usize) -> Option<&mut UpstreamConnection> {
        self.connections.get_mut(slot)
    }

    /// An idle connection, the one used last, or a new one; `None` if there can be no more.
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

    /// Whether an idle connection is still open. One that the node closed meanwhile is seen here, before
    /// anything is written on it: a read costs less than an attempt that may have been processed.
    fn is_usable(&mut self, slot: usize, read_buffer: &mut [u8]) -> bool {
        self.connections.get_mut(slot).is_some_and(|connection| {
            connection.read(1, true, read_buffer) == ConnectionState::Open
                && !connection.peer_closed()
                && connection.input.is_empty()
        })
    }

    fn connect(&mut self, poll: &Poll, now: Moment, node: NodeId) -> Option<usize> {
        let open = self.open.get(&node).copied().unwrap_or(0);
        if open >= self.config.max_connections_per_node {
            return None;
        }
        let socket = reactor::connect_from(self.config.source, node.address, node.port).ok()?;
        let entry = self.connections.vacant_entry();
        let slot = entry.key();
        let token = self.config.tokens.token(Source::Upstream(slot));
        poll.add(&socket, token, Interest::Edges).ok()?;
        entry.insert(UpstreamConnection::new(now, socket, node));
        *self.open.entry(node).or_insert(0) += 1;
        Some(slot)
    }

    /// Takes an attempt off its connection, which becomes idle or is closed.
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

    /// Closes a connection. One that carries an attempt is reset, so that the node sees that nobody waits.
    pub fn close(&mut self, slot: usize) {
        let Some(connection) = self.connections.try_remove(slot) else {
            return;
        };
        if let Some(open) = self.open.get_mut(&connection.node) {
            *open -= 1;
            if *open == 0 {
                self.open.remove(&connection.node);
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

    /// Closes idle connections to nodes that no table names.
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

    /// Connections that did not come about in `connect_timeout`, or were idle for `idle_timeout`.
    pub fn timed_out(
        &self,
        now: Moment,
        connect_timeout: Span,
        idle_timeout: Span,
    ) -> Vec<TimedOutConnection> {
        let is_timed_out = |connection: &UpstreamConnection| match &connection.attempt {
            Some(_) => !connection.established && now - connection.since > connect_timeout,
            None => now - connection.since > idle_timeout,
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
