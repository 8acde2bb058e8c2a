//! One client's connection: requests in, one at a time, responses out.

use crate::connection::{ConnectionState, ReadState};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;
use wheelspread::time::Moment;
use wheelspread_http1::{Body, Request};
use wheelspread_proxy_core::RequestHandle;

/// The most that is read ahead while a request is pending.
pub const READ_AHEAD_BYTES: usize = 64 << 10;
/// While the client has not taken this much of its responses, nodes are not read from.
pub const MAX_UNSENT_RESPONSE_BYTES: usize = 256 << 10;

/// What a client connection does.
pub enum Stage {
    /// Reads the head of a request, or waits for one.
    Head,
    /// Reads the body of a request.
    Body {
        /// The head of that request.
        head: Request,
        /// Tells where the body ends.
        body: Body,
        /// Bytes of the body that are here.
        received: usize,
    },
    /// A request is pending.
    Waiting,
    /// Nothing more is read; what is left to send goes out, then the connection is closed.
    Closing,
}

/// The request that a client waits for.
pub struct PendingRequest {
    /// The core's name of the request.
    pub handle: RequestHandle,
    /// The client's `x-request-id`, or empty.
    pub id: String,
    /// The name of the operation.
    pub operation: String,
    /// The request as it is sent to nodes, the same for all attempts.
    pub bytes: Rc<Vec<u8>>,
    /// The connection that carries the attempt in flight.
    pub upstream: Option<usize>,
    /// Whether the method is `HEAD`: its response has no body.
    pub is_head: bool,
    /// Whether the connection is kept for another request.
    pub keep_alive: bool,
    /// Whether a node's response has begun to go out.
    pub response_started: bool,
}

/// One client's connection.
pub struct Client {
    /// The connection.
    pub socket: TcpStream,
    /// What was read and not consumed.
    pub input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    /// What the connection does.
    pub stage: Stage,
    /// The request that the client waits for.
    pub pending: Option<PendingRequest>,
    /// When something was last read, written or decided.
    pub last_activity_at: Moment,
    read_state: ReadState,
}

impl Client {
    /// A connection that was just accepted.
    pub fn new(now: Moment, socket: TcpStream) -> Client {
        Client {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            stage: Stage::Head,
            pending: None,
            last_activity_at: now,
            read_state: ReadState::NEW,
        }
    }

    /// Reads what has come, while `input` holds less than `limit`.
    pub fn read(
        &mut self,
        now: Moment,
        limit: usize,
        readable: bool,
        buffer: &mut [u8],
    ) -> ConnectionState {
        self.read_state.may_have_more |= readable;
        let before = self.input.len();
        let state = self
            .read_state
            .read_available(&self.socket, &mut self.input, limit, buffer);
        if self.input.len() > before {
            self.last_activity_at = now;
        }
        state
    }

    /// Whether the client sends no more; it may still read.
    pub fn peer_closed(&self) -> bool {
        self.read_state.peer_closed
    }

    /// Appends to what goes out.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// What goes out, to append to.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes that the client has not taken yet.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.sent
    }

    /// Writes as much as the client takes.
    pub fn write(&mut self, now: Moment) -> ConnectionState {
        while self.unsent() > 0 {
            match self.socket.write(&self.output[self.sent..]) {
                Ok(0) => return ConnectionState::Closed,
                Ok(count) => {
                    self.sent += count;
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
        if self.unsent() == 0 {
            self.output.clear();
            self.sent = 0;
            let is_idle = matches!(self.stage, Stage::Head) && self.input.is_empty();
            // A connection that idles holds no buffer.
            if self.output.capacity() > READ_AHEAD_BYTES || is_idle {
                self.output = Vec::new();
            }
        } else if self.sent > MAX_UNSENT_RESPONSE_BYTES {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
    }

    /// Drops the first bytes of the input.
    pub fn consume(&mut self, count: usize) {
        if count >= self.input.len() {
            self.input = Vec::new();
        } else {
            self.input.drain(..count);
        }
    }

    /// Whether everything is sent and nothing more is to come.
    pub fn is_finished(&self) -> bool {
        let is_closing = matches!(self.stage, Stage::Closing);
        let is_idle = matches!(self.stage, Stage::Head) && self.pending.is_none();
        self.unsent() == 0 && (is_closing || (self.peer_closed() && is_idle))
    }

    /// Whether a request has begun and the client can still get a response to it.
    pub fn has_partial_request(&self) -> bool {
        let has_begun = matches!(self.stage, Stage::Body { .. }) || !self.input.is_empty();
        has_begun
            && self.unsent() == 0
            && self.pending.is_none()
            && !matches!(self.stage, Stage::Closing)
    }
}
