//! A connection to a node, either idle in the pool or carrying one attempt.

use crate::connection::{ConnectionState, ReadState};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_http1::{Body, Response};
use wheelspread_proxy_core::{Failure, RequestHandle};

/// The attempt that a connection carries.
pub struct Attempt {
    /// Slot of the client that waits for the response.
    pub client: usize,
    /// The core's handle of the request.
    pub handle: RequestHandle,
    /// Number of the attempt within its request, from 1.
    pub number: u32,
}

/// A response whose head was received.
pub struct UpstreamResponse {
    /// The head.
    pub head: Response,
    /// Decoder that finds the end of the body.
    pub body: Body,
    /// Load metrics that the node sent with the response, by name.
    pub loads: Vec<(String, f64)>,
    /// Whether the attempt's failure was already reported to the core. The response is then only forwarded.
    pub is_reported: bool,
}

/// A connection to a node.
pub struct UpstreamConnection {
    /// The socket.
    pub socket: TcpStream,
    /// The node.
    pub node: NodeId,
    /// The attempt that the connection carries; `None` if it is idle.
    pub attempt: Option<Attempt>,
    /// The encoded request of the attempt.
    request: Rc<Vec<u8>>,
    /// Number of bytes of `request` that were written.
    sent_bytes: usize,
    /// Bytes read and not yet forwarded.
    pub input: Vec<u8>,
    /// The response, once its head was received.
    pub response: Option<UpstreamResponse>,
    /// Whether bytes were written, which shows that the connect succeeded.
    pub established: bool,
    /// Whether the connection was already established when the current attempt started.
    reused: bool,
    /// When the connection became idle or got its current attempt.
    pub state_since: Moment,
    read_state: ReadState,
}

impl UpstreamConnection {
    /// Wraps a socket whose connect is in progress.
    pub fn new(now: Moment, socket: TcpStream, node: NodeId) -> UpstreamConnection {
        UpstreamConnection {
            socket,
            node,
            attempt: None,
            request: Rc::new(Vec::new()),
            sent_bytes: 0,
            input: Vec::new(),
            response: None,
            established: false,
            reused: false,
            state_since: now,
            read_state: ReadState::NEW,
        }
    }

    /// Assigns an attempt to a connection without one. [`write`](Self::write) sends the request.
    pub fn start_attempt(&mut self, now: Moment, attempt: Attempt, request: Rc<Vec<u8>>) {
        self.attempt = Some(attempt);
        self.request = request;
        self.sent_bytes = 0;
        self.response = None;
        self.reused = self.established;
        self.state_since = now;
    }

    /// Writes as much of the request as the socket accepts.
    pub fn write(&mut self) -> ConnectionState {
        while self.attempt.is_some() && self.sent_bytes < self.request.len() {
            match self.socket.write(&self.request[self.sent_bytes..]) {
                Ok(0) => return ConnectionState::Closed,
                Ok(count) => {
                    self.sent_bytes += count;
                    self.established = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // While a connect is in progress, a write fails with either `WouldBlock` or `NotConnected`.
                Err(error) if error.kind() == ErrorKind::NotConnected && !self.established => break,
                Err(_) => return ConnectionState::Closed,
            }
        }
        ConnectionState::Open
    }

    /// Reads the available bytes while `input` holds fewer than `limit` bytes.
    pub fn read(&mut self, limit: usize, readable: bool, buffer: &mut [u8]) -> ConnectionState {
        self.read_state.may_have_more |= readable;
        self.read_state
            .read_available(&self.socket, &mut self.input, limit, buffer)
    }

    /// Whether the node closed its sending side.
    pub fn peer_closed(&self) -> bool {
        self.read_state.peer_closed
    }

    /// Whether a response has started and more of it may be available than was forwarded.
    pub fn has_unforwarded_response(&self) -> bool {
        let has_bytes = self.read_state.may_have_more || !self.input.is_empty();
        self.response.is_some() && self.attempt.is_some() && has_bytes
    }

    /// The failure of the attempt if the connection closed without a response.
    pub fn failure_on_close(&self) -> Failure {
        match (self.sent_bytes, self.reused) {
            (0, false) => Failure::Connect,
            (0, true) => Failure::Unsent,
            _ => Failure::Reset,
        }
    }

    /// Whether the connection can carry another attempt: the request was sent and the response received in full, and
    /// the node keeps the connection open.
    pub fn is_reusable(&self) -> bool {
        let response = self.response.as_ref();
        let is_complete = response
            .is_some_and(|response| response.head.keep_alive && response.body.is_complete());
        is_complete
            && self.sent_bytes == self.request.len()
            && self.input.is_empty()
            && !self.peer_closed()
    }

    /// Removes the attempt and its buffers.
    pub fn become_idle(&mut self, now: Moment) {
        self.attempt = None;
        self.response = None;
        self.request = Rc::new(Vec::new());
        self.input = Vec::new();
        self.state_since = now;
    }
}
