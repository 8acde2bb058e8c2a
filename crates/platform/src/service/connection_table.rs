//! The connections of proxies, collectors and unidentified peers. The total size of their buffers is updated with
//! each change, so that reading it needs no pass over all connections.

use crate::connection::Connection;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wheelspread::time::Moment;
use wheelspread_platform_core::ConnectionId;

/// A connection that was removed from the table.
pub(super) struct RemovedConnection {
    pub(super) connection: Connection,
    pub(super) was_identified: bool,
}

#[derive(Default)]
pub(super) struct ConnectionTable {
    connections: BTreeMap<ConnectionId, Connection>,
    /// Connections whose peers have not identified themselves, the oldest first.
    unidentified: BTreeSet<ConnectionId>,
    /// Bytes of memory allocated for the buffers of all connections.
    buffer_bytes: usize,
    /// Connections that may have more to read than the limits of an iteration allowed, in the order of their turns.
    more_to_read: VecDeque<ConnectionId>,
}

impl ConnectionTable {
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(super) fn identified_count(&self) -> usize {
        self.connections.len() - self.unidentified.len()
    }

    pub(super) fn buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.connections.contains_key(&id)
    }

    pub(super) fn is_unidentified(&self, id: ConnectionId) -> bool {
        self.unidentified.contains(&id)
    }

    /// Adds a new, unidentified connection.
    pub(super) fn insert(&mut self, id: ConnectionId, connection: Connection) {
        self.connections.insert(id, connection);
        self.unidentified.insert(id);
    }

    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<RemovedConnection> {
        self.more_to_read.retain(|waiting| *waiting != id);
        let was_identified = !self.unidentified.remove(&id);
        let connection = self.connections.remove(&id)?;
        self.buffer_bytes -= connection.buffer_bytes();
        Some(RemovedConnection {
            connection,
            was_identified,
        })
    }

    pub(super) fn mark_identified(&mut self, id: ConnectionId) {
        self.unidentified.remove(&id);
    }

    /// Runs a function that may change a connection's buffers, and updates their total size; `None` if there is no
    /// such connection.
    pub(super) fn update<T>(
        &mut self,
        id: ConnectionId,
        run: impl FnOnce(&mut Connection) -> T,
    ) -> Option<T> {
        let connection = self.connections.get_mut(&id)?;
        let before = connection.buffer_bytes();
        let result = run(connection);
        self.buffer_bytes = self.buffer_bytes + connection.buffer_bytes() - before;
        Some(result)
    }

    pub(super) fn has_more_to_read(&self) -> bool {
        !self.more_to_read.is_empty()
    }

    pub(super) fn set_more_to_read(&mut self, id: ConnectionId) {
        if !self.more_to_read.contains(&id) {
            self.more_to_read.push_back(id);
        }
    }

    pub(super) fn take_more_to_read(&mut self) -> VecDeque<ConnectionId> {
        std::mem::take(&mut self.more_to_read)
    }

    /// The unidentified connection that was accepted first, and when it was accepted.
    pub(super) fn oldest_unidentified(&self) -> Option<(ConnectionId, Moment)> {
        let id = *self.unidentified.first()?;
        let connection = self.connections.get(&id)?;
        Some((id, connection.accepted_at))
    }

    /// Unidentified connections that were accepted before this time.
    pub(super) fn unidentified_before(&self, moment: Moment) -> Vec<ConnectionId> {
        let is_older = |id: &ConnectionId| {
            self.connections
                .get(id)
                .is_some_and(|connection| connection.accepted_at < moment)
        };
        self.unidentified
            .iter()
            .copied()
            .take_while(is_older)
            .collect()
    }

    /// The connection with the largest buffers.
    pub(super) fn with_largest_buffers(&self) -> Option<ConnectionId> {
        self.connections
            .iter()
            .max_by_key(|(_, connection)| connection.buffer_bytes())
            .map(|(id, _)| *id)
    }

    /// Flushes the waiting output of all connections as far as possible.
    pub(super) fn flush_all(&mut self) {
        for connection in self.connections.values_mut() {
            // The process is about to exit, so output that can't be written now is lost and errors are ignored.
            _ = connection.flush();
        }
    }
}
