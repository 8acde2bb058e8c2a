//! A client connection: reads requests one at a time and writes responses.

use crate::connection::{ConnectionState, ReadState};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;
use wheelspread::time::Moment;
use wheelspread_http1::{Body, Request};
use wheelspread_proxy_core::RequestHandle;

/// Maximum number of bytes read ahead of what the current stage needs.
const READ_AHEAD_BYTES: usize = 64 << 10;
/// While a client has at least this many unsent response bytes, no more of its response is read from the node.
pub const MAX_UNSENT_RESPONSE_BYTES: usize = 256 << 10;

/// What a client connection is doing.
pub enum Stage {
    /// Reading the head of a request, or idle.
    Head,
    /// Reading the body of a request.
    Body {
        /// The head of the request.
        head: Request,
        /// Decoder that finds the end of the body.
        body: Body,
        /// Number of body bytes received.
        received: usize,
    },
    /// Waiting for the response to a pending request.
    Waiting,
    /// Sending the remaining output, after which the connection is closed. Nothing more is read.
    Closing,
}

/// The request that a client waits for.
pub struct PendingRequest {
    /// The core's handle of the request.
    pub handle: RequestHandle,
    /// The value of the client's `x-request-id` header, or empty.
    pub id: String,
    /// Name of the operation.
    pub operation: String,
    /// The encoded request that is sent to nodes, shared by all attempts.
    pub bytes: Rc<Vec<u8>>,
    /// Pool slot of the connection that carries the attempt in flight.
    pub upstream: Option<usize>,
    /// Whether the method is `HEAD`, so that the response has no body.
    pub is_head: bool,
    /// Whether the client connection is kept open for another request.
    pub keep_alive: bool,
    /// Whether part of a node's response was queued for the client.
    pub response_started: bool,
}

/// A client connection.
pub struct Client {
    /// The socket.
    pub socket: TcpStream,
    /// Bytes read and not yet consumed.
    pub input: Vec<u8>,
    output: Vec<u8>,
    /// Number of bytes of `output` that were sent.
    sent_bytes: usize,
    /// What the connection is doing.
    pub stage: Stage,
    /// The request that the client waits for.
    pub pending: Option<PendingRequest>,
    /// When bytes were last read or written, or a response was last queued.
    pub last_activity_at: Moment,
    read_state: ReadState,
    /// Whether the client is known to have closed its sending side, though bytes that it sent before may be unread. It may
    /// still read, so a request that has begun is answered, but no pipelined one is started.
    pub has_left: bool,
    /// Whether bytes of the next request arrived before the previous one was answered.
    has_pipelined: bool,
    /// Whether the last turn ended at its limits, so that the next one takes place in the next iteration of the event
    /// loop.
    pub is_deferred: bool,
    /// The bytes of this client's buffers that are counted in the total of all clients.
    pub counted_buffer_bytes: usize,
}

impl Client {
    /// Wraps a socket that was just accepted.
    pub fn new(now: Moment, socket: TcpStream) -> Client {
        Client {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            sent_bytes: 0,
            stage: Stage::Head,
            pending: None,
            last_activity_at: now,
            read_state: ReadState::NEW,
            has_left: false,
            has_pipelined: false,
            is_deferred: false,
            counted_buffer_bytes: 0,
        }
    }

    /// Reads the available bytes while `input` holds fewer than `limit` bytes.
    pub fn read(
        &mut self,
        now: Moment,
        limit: usize,
        readable: bool,
        buffer: &mut [u8],
    ) -> ConnectionState {
        self.read_state.may_have_more |= readable;
        let length_before = self.input.len();
        let state = self
            .read_state
            .read_available(&self.socket, &mut self.input, limit, buffer);
        if self.input.len() > length_before {
            self.last_activity_at = now;
        }
        state
    }

    /// The length of the input up to which more is read: what the current stage can use, and some of what follows.
    pub fn read_limit(&self, max_head_bytes: usize) -> usize {
        let needed = match &self.stage {
            Stage::Head => max_head_bytes,
            Stage::Body { head, received, .. } => head.length + received,
            Stage::Waiting | Stage::Closing => 0,
        };
        needed + READ_AHEAD_BYTES
    }

    /// Whether there may be unread bytes in the socket that the current stage may read.
    pub fn can_read_more(&self, max_head_bytes: usize) -> bool {
        let is_readable = self.read_state.may_have_more && !self.read_state.peer_closed;
        is_readable && self.input.len() < self.read_limit(max_head_bytes)
    }

    /// Whether the client closed its sending side. It may still read.
    pub fn peer_closed(&self) -> bool {
        self.has_left || self.read_state.peer_closed
    }

    /// Whether everything that the client sent was read, and nothing follows.
    fn has_reached_end(&self) -> bool {
        self.read_state.peer_closed
    }

    /// Takes note that a request was answered: bytes that have arrived already belong to pipelined ones.
    pub fn on_answered(&mut self) {
        self.has_pipelined = !self.input.is_empty() || self.read_state.may_have_more;
    }

    /// Whether the client left before its pipelined requests were started. They must not be started: the client does
    /// not wait for them, and may send them again.
    pub fn has_abandoned_requests(&mut self) -> bool {
        if !self.has_pipelined {
            return false;
        }
        if self.input.is_empty() && !self.read_state.may_have_more {
            self.has_pipelined = false;
            return false;
        }
        // A client that closed its socket with responses unread answers the next one with a reset.
        self.peer_closed() || self.socket.take_error().is_ok_and(|error| error.is_some())
    }

    /// Appends bytes to the output.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// The output buffer, to append to.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Number of output bytes not yet written to the socket.
    pub fn unsent_bytes(&self) -> usize {
        self.output.len() - self.sent_bytes
    }

    /// Writes as much output as the socket accepts.
    pub fn write(&mut self, now: Moment) -> ConnectionState {
        while self.unsent_bytes() > 0 {
            match self.socket.write(&self.output[self.sent_bytes..]) {
                Ok(0) => return ConnectionState::Closed,
                Ok(count) => {
                    self.sent_bytes += count;
                    self.last_activity_at = now;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ConnectionState::Closed,
            }
        }
        self.release_sent_output();
        ConnectionState::Open
    }

    fn release_sent_output(&mut self) {
        if self.unsent_bytes() == 0 {
            self.output.clear();
            self.sent_bytes = 0;
            let is_idle = matches!(self.stage, Stage::Head) && self.input.is_empty();
            // An idle connection keeps no buffer, to save memory.
            if self.output.capacity() > READ_AHEAD_BYTES || is_idle {
                self.output = Vec::new();
            }
        } else if self.sent_bytes > MAX_UNSENT_RESPONSE_BYTES {
            self.output.drain(..self.sent_bytes);
            self.sent_bytes = 0;
        }
    }

    /// Removes the first `count` bytes of the input.
    pub fn consume(&mut self, count: usize) {
        if count >= self.input.len() {
            self.input = Vec::new();
        } else {
            self.input.drain(..count);
        }
    }

    /// Whether all output is sent and no further request or response is expected.
    pub fn is_finished(&self) -> bool {
        let is_closing = matches!(self.stage, Stage::Closing);
        let is_idle = matches!(self.stage, Stage::Head) && self.pending.is_none();
        self.unsent_bytes() == 0 && (is_closing || (self.has_reached_end() && is_idle))
    }

    /// Bytes of memory allocated for the buffers of this connection.
    pub fn buffer_bytes(&self) -> usize {
        let request_bytes = self
            .pending
            .as_ref()
            .map_or(0, |pending| pending.bytes.capacity());
        self.input.capacity() + self.output.capacity() + request_bytes
    }

    /// Bytes of memory allocated for an incomplete request; 0 if no part of a request was received.
    pub fn partial_request_bytes(&self) -> usize {
        let is_partial = self.pending.is_none() && !matches!(self.stage, Stage::Closing);
        if is_partial {
            self.input.capacity()
        } else {
            0
        }
    }

    /// Whether part of a request was received and an error response can still be sent.
    pub fn has_partial_request(&self) -> bool {
        let has_begun = matches!(self.stage, Stage::Body { .. }) || !self.input.is_empty();
        has_begun
            && self.unsent_bytes() == 0
            && self.pending.is_none()
            && !matches!(self.stage, Stage::Closing)
    }
}
