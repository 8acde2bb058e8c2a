//! One connection to a node: idle in the pool, or with one attempt on it.

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
    /// The client that waits for it, by its slot.
    pub client: usize,
    /// The request.
    pub handle: RequestHandle,
    /// Which attempt of that request it is, from 1.
    pub number: u32,
}

/// A response whose head has come.
pub struct UpstreamResponse {
    /// The head.
    pub head: Response,
    /// Tells where the body ends.
    pub body: Body,
    /// The load metrics that the node sent with it.
    pub loads: Vec<(String, f64)>,
    /// The core knows of the attempt's end already; the response is only passed on.
    pub is_reported: bool,
}

/// One connection to a node.
pub struct UpstreamConnection {
    /// The connection.
    pub socket: TcpStream,
    /// The node.
    pub node: NodeId,
    /// The attempt that it carries; `None`: it is idle.
    pub attempt: Option<Attempt>,
    request: Rc<Vec<u8>>,
    sent: usize,
    /// What was read and not passed on.
    pub input: Vec<u8>,
    /// The response, once its head has come.
    pub response: Option<UpstreamResponse>,
    /// Bytes were written on it, so the connect has succeeded.
    pub established: bool,
    /// It was established before the attempt that it carries.
    reused: bool,
    /// When it became idle or got its attempt.
    pub since: Moment,
    read_state: ReadState,
}

impl UpstreamConnection {
    /// A connection that is being established.
    pub fn new(now: Moment, socket: TcpStream, node: NodeId) -> UpstreamConnection {
        UpstreamConnection {
            socket,
            node,
            attempt: None,
            request: Rc::new(Vec::new()),
            sent: 0,
            input: Vec::new(),
            response: None,
            established: false,
            reused: false,
            since: now,
            read_state: ReadState::NEW,
        }
    }

    /// Puts an attempt on an idle connection; `write` sends it.
    pub fn start_attempt(&mut self, now: Moment, attempt: Attempt, request: Rc<Vec<u8>>) {
        self.attempt = Some(attempt);
        self.request = request;
        self.sent = 0;
        self.response = None;
        self.reused = self.established;
        self.since = now;
    }

    /// Writes as much of the request as the node takes.
    pub fn write(&mut self) -> ConnectionState {
        while self.attempt.is_some() && self.sent < self.request.len() {
            match self.socket.write(&self.request[self.sent..]) {
                Ok(0) => return ConnectionState::Closed,
                Ok(count) => {
                    self.sent += count;
                    self.established = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // A connect that is under way says so in several ways.
                Err(error) if error.kind() == ErrorKind::NotConnected && !self.established => break,
                Err(_) => return ConnectionState::Closed,
            }
        }
        ConnectionState::Open
    }

    /// Reads what has come, while `input` holds less than `limit`.
    pub fn read(&mut self, limit: usize, readable: bool, buffer: &mut [u8]) -> ConnectionState {
        self.read_state.may_have_more |= readable;
        self.read_state
            .read_available(&self.socket, &mut self.input, limit, buffer)
    }

    /// Whether the node sends no more.
    pub fn peer_closed(&self) -> bool {
        self.read_state.peer_closed
    }

    /// Whether there is more of a response than was passed on.
    pub fn has_unforwarded_response(&self) -> bool {
        let has_bytes = self.read_state.may_have_more || !self.input.is_empty();
        self.response.is_some() && self.attempt.is_some() && has_bytes
    }

    /// How the attempt failed, if the connection ended without a response.
    pub fn failure_on_close(&self) -> Failure {
        match (self.sent, self.reused) {
            (0, false) => Failure::Connect,
            (0, true) => Failure::Unsent,
            _ => Failure::Reset,
        }
    }

    /// Whether the whole request went out and the whole response came: another attempt may follow on it.
    pub fn is_reusable(&self) -> bool {
        let response = self.response.as_ref();
        let is_complete = response
            .is_some_and(|response| response.head.keep_alive && response.body.is_complete());
        is_complete
            && self.sent == self.request.len()
            && self.input.is_empty()
            && !self.peer_closed()
    }

    /// Drops the attempt and its buffers.
    pub fn become_idle(&mut self, now: Moment) {
        self.attempt = None;
        self.response = None;
        self.request = Rc::new(Vec::new());
        self.input = Vec::new();
        self.since = now;
    }
}
