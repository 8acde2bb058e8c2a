//! One connection to a node: idle in the pool, or with one try on it.

use crate::client::{take_in, ConnectionState};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_http1::{Body, Response};
use wheelspread_proxy_core::{Failure, RequestHandle};

/// The try that a connection carries.
pub struct Attempt {
    pub client: usize,
    pub handle: RequestHandle,
    pub number: u32,
}

pub struct UpstreamResponse {
    pub head: Response,
    pub body: Body,
    pub loads: Vec<(String, f64)>,
    /// The core knows of the try's end already: what comes is only passed on.
    pub told: bool,
}

pub struct UpstreamConnection {
    pub socket: TcpStream,
    pub node: NodeId,
    pub attempt: Option<Attempt>,
    request: Rc<Vec<u8>>,
    sent: usize,
    pub input: Vec<u8>,
    pub response: Option<UpstreamResponse>,
    /// It has carried a try before, or at least stands.
    pub stood: bool,
    reused: bool,
    pub since: Moment,
    pub ended: bool,
    more: bool,
}

impl UpstreamConnection {
    pub fn new(now: Moment, socket: TcpStream, node: NodeId) -> UpstreamConnection {
        UpstreamConnection {
            socket,
            node,
            attempt: None,
            request: Rc::new(Vec::new()),
            sent: 0,
            input: Vec::new(),
            response: None,
            stood: false,
            reused: false,
            since: now,
            ended: false,
            more: true,
        }
    }

    pub fn carry(&mut self, now: Moment, attempt: Attempt, request: Rc<Vec<u8>>) {
        (self.attempt, self.request, self.sent, self.response) = (Some(attempt), request, 0, None);
        (self.reused, self.since) = (self.stood, now);
    }

    pub fn write(&mut self) -> ConnectionState {
        while self.attempt.is_some() && self.sent < self.request.len() {
            match self.socket.write(&self.request[self.sent..]) {
                Ok(0) => return ConnectionState::Closed,
                Ok(count) => {
                    self.sent += count;
                    self.stood = true;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // A connect that is pending way says so in several ways.
                Err(error) if error.kind() == ErrorKind::NotConnected && !self.stood => break,
                Err(_) => return ConnectionState::Closed,
            }
        }
        ConnectionState::Open
    }

    /// Takes what has come, while not more than `most` is held.
    pub fn read(&mut self, most: usize, readable: bool, piece: &mut [u8]) -> ConnectionState {
        self.more |= readable;
        take_in(
            &self.socket,
            &mut self.input,
            most,
            piece,
            (&mut self.more, &mut self.ended),
        )
    }

    /// There is more of an answer than was taken.
    pub fn held_back(&self) -> bool {
        self.response.is_some() && self.attempt.is_some() && (self.more || !self.input.is_empty())
    }

    /// What a connection that ended without an answer says of the try on it.
    pub fn failure(&self) -> Failure {
        match (self.sent, self.reused) {
            (0, false) => Failure::Connect,
            (0, true) => Failure::Unsent,
            _ => Failure::Reset,
        }
    }

    /// The whole request went out and the whole answer came: another may follow on it.
    pub fn reusable(&self) -> bool {
        let whole = self
            .response
            .as_ref()
            .is_some_and(|response| response.head.keep_alive && response.body.done());
        whole && self.sent == self.request.len() && self.input.is_empty() && !self.ended
    }

    pub fn rest(&mut self, now: Moment) {
        (self.attempt, self.response, self.request) = (None, None, Rc::new(Vec::new()));
        (self.input, self.since) = (Vec::new(), now);
    }
}
