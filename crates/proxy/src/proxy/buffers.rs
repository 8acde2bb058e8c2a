//! The memory that the buffers of all clients take, and its limit.
//!
//! A limit for each client alone does not bound the process: hundreds of clients that stop half way through a large
//! request, or read slowly, take hundreds of times that limit.

use super::Proxy;
use crate::client::Client;
use crate::http::LocalStatus;
use crate::observer::RequestObserver;
use wheelspread::time::Moment;
use wheelspread_reactor::Poll;

/// The buffers of all clients.
pub(super) struct ClientBuffers {
    /// The bytes of memory allocated for them.
    total_bytes: usize,
    max_bytes: usize,
}

impl ClientBuffers {
    pub(super) fn new(max_bytes: usize) -> ClientBuffers {
        ClientBuffers {
            total_bytes: 0,
            max_bytes,
        }
    }

    /// Counts the current buffers of a client in place of those that were counted for it before.
    fn update(&mut self, client: &mut Client) {
        let current = client.buffer_bytes();
        let counted = std::mem::replace(&mut client.counted_buffer_bytes, current);
        self.total_bytes = self.total_bytes + current - counted;
    }

    /// Stops counting the buffers of a client that is removed.
    pub(super) fn remove(&mut self, client: &Client) {
        self.total_bytes -= client.counted_buffer_bytes;
    }

    fn is_exceeded(&self) -> bool {
        self.total_bytes > self.max_bytes
    }
}

impl<W: RequestObserver> Proxy<W> {
    /// Counts a client's buffers, after its turn and before its request starts. While all buffers together exceed their
    /// limit, rejects the largest request that has not started; if there is none, closes the client with the most unread
    /// response bytes.
    pub(super) fn limit_buffers(&mut self, poll: &Poll, now: Moment, slot: usize) {
        if let Some(client) = self.clients.get_mut(slot) {
            self.buffers.update(client);
        }
        while self.buffers.is_exceeded() {
            if let Some(largest) = self.largest_client(Client::partial_request_bytes) {
                self.reject_for_memory(now, largest);
            } else if let Some(largest) = self.largest_client(Client::unsent_bytes) {
                self.disconnect_client(poll, now, largest);
            } else {
                // The rest belongs to requests in flight, which were within the limit when they started.
                return;
            }
        }
    }

    /// The slot of the client with the largest value above 0.
    fn largest_client(&self, bytes: impl Fn(&Client) -> usize) -> Option<usize> {
        let sizes = self
            .clients
            .iter()
            .map(|(slot, client)| (bytes(client), slot));
        let (largest, slot) = sizes.max()?;
        (largest > 0).then_some(slot)
    }

    fn reject_for_memory(&mut self, now: Moment, slot: usize) {
        let message = "too many bytes of requests are buffered";
        self.reject_request(now, slot, LocalStatus::BuffersFull, message);
        if let Some(client) = self.clients.get_mut(slot) {
            client.input = Vec::new();
            self.buffers.update(client);
        }
        self.changed_clients.push(slot);
    }
}
