//! The memory that the buffers of all connections take, and its limit.
//!
//! The limits of one connection do not bound the process: each of its streams may hold an incomplete message of maximum
//! length.

use super::Streams;
use std::collections::BTreeMap;
use tracing::warn;
use wheelspread_grpc::{ServerConnection, Status};
use wheelspread_reactor::Token;

/// The buffers of all connections, by connection. Connections without buffered bytes are left out.
pub(super) struct BufferAccount {
    bytes: BTreeMap<Token, usize>,
    total_bytes: usize,
    max_bytes: usize,
}

impl BufferAccount {
    pub(super) fn new(max_bytes: usize) -> BufferAccount {
        BufferAccount {
            bytes: BTreeMap::new(),
            total_bytes: 0,
            max_bytes,
        }
    }

    fn set(&mut self, token: Token, bytes: usize) {
        let previous = if bytes > 0 {
            self.bytes.insert(token, bytes)
        } else {
            self.bytes.remove(&token)
        };
        self.total_bytes = self.total_bytes + bytes - previous.unwrap_or(0);
    }

    /// The connection with the largest buffers, if all together exceed the limit.
    fn largest_above_limit(&self) -> Option<Token> {
        if self.total_bytes <= self.max_bytes {
            return None;
        }
        let largest = self.bytes.iter().max_by_key(|(_, bytes)| **bytes);
        largest.map(|(token, _)| *token)
    }
}

impl Streams {
    /// Counts the buffers of a connection after its turn, and closes streams while all buffers together exceed their
    /// limit, the largest first.
    pub(super) fn limit_buffers(&mut self, token: Token) {
        self.count_buffers(token);
        while let Some(largest) = self.buffers.largest_above_limit() {
            let reason = "the buffers of all connections exceed their limit";
            let connection = self.connections.get_mut(&largest);
            let is_closed = connection.is_some_and(|connection| {
                connection.close_largest(Status::ResourceExhausted, reason)
            });
            self.count_buffers(largest);
            if !is_closed {
                return;
            }
            warn!(connection = largest.0, reason, "stream closed");
            self.ready.push(largest);
        }
    }

    fn count_buffers(&mut self, token: Token) {
        let connection = self.connections.get_mut(&token);
        let bytes = connection.map_or(0, ServerConnection::buffer_bytes);
        self.buffers.set(token, bytes);
    }
}
