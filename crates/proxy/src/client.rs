//! One client's connection: requests in, one at a time, answers out.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use wheelspread::time::Moment;
use wheelspread_http1::{Body, Request};
use wheelspread_proxy_core::RequestHandle;

/// Read ahead of a request that is pending way: no more than this.
pub const READ_AHEAD_BYTES: usize = 64 << 10;
/// Answers that the client has not taken yet: while more wait, nodes are not read from.
pub const MAX_UNSENT_RESPONSE_BYTES: usize = 256 << 10;

pub enum Stage {
    Head,
    Body {
        head: Request,
        body: Body,
        taken: usize,
    },
    /// An invocation is pending way.
    Waiting,
    /// Nothing more is taken from this client; what is left goes out.
    Ending,
}

/// The invocation that a client waits for.
pub struct PendingRequest {
    pub handle: RequestHandle,
    pub id: String,
    pub operation: String,
    pub request: Rc<Vec<u8>>,
    pub node: Option<usize>,
    pub is_head: bool,
    pub keep_alive: bool,
    /// Its answer has begun to go out.
    pub began: bool,
}

pub struct Client {
    pub socket: TcpStream,
    pub input: Vec<u8>,
    output: Vec<u8>,
    sent: usize,
    pub stage: Stage,
    pub pending: Option<PendingRequest>,
    /// The client sends no more; it may still read.
    pub ended: bool,
    pub since: Moment,
    /// There may be more to read than was taken.
    more: bool,
}

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    Open,
    Closed,
}

/// TableSource until there is no more for now, the peer ended, or as much is held as may be. `state`: whether there
/// may be more, and whether the peer sends no more.
pub fn take_in(
    mut socket: &TcpStream,
    input: &mut Vec<u8>,
    most: usize,
    piece: &mut [u8],
    (more, ended): (&mut bool, &mut bool),
) -> ConnectionState {
    while *more && !*ended && input.len() < most {
        match socket.read(piece) {
            Ok(0) => *ended = true,
            Ok(count) => {
                input.extend_from_slice(&piece[..count]);
                // Less than was asked for: there is no more for now, and the next comes as news.
                *more = count == piece.len();
            }
            // A connection that does not stand yet has nothing to read.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::NotConnected
                ) =>
            {
                *more = false
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return ConnectionState::Closed,
        }
    }
    ConnectionState::Open
}

impl Client {
    pub fn new(now: Moment, socket: TcpStream) -> Client {
        Client {
            socket,
            input: Vec::new(),
            output: Vec::new(),
            sent: 0,
            stage: Stage::Head,
            pending: None,
            ended: false,
            since: now,
            more: true,
        }
    }

    /// Takes what has come, as far as it may be held.
    pub fn read(
        &mut self,
        now: Moment,
        most: usize,
        readable: bool,
        piece: &mut [u8],
    ) -> ConnectionState {
        self.more |= readable;
        let before = self.input.len();
        let (more, ended) = (&mut self.more, &mut self.ended);
        let line = take_in(&self.socket, &mut self.input, most, piece, (more, ended));
        if self.input.len() > before {
            self.since = now;
        }
        line
    }

    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// Bytes that wait to be taken.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.sent
    }

    pub fn write(&mut self, now: Moment) -> ConnectionState {
        while self.unsent() > 0 {
            match self.socket.write(&self.output[self.sent..]) {
                Ok(0) => return ConnectionState::Closed,
                Ok(count) => {
                    self.sent += count;
                    self.since = now;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return ConnectionState::Closed,
            }
        }
        if self.unsent() == 0 {
            self.output.clear();
            self.sent = 0;
            // A connection that idles holds no buffer.
            if self.output.capacity() > READ_AHEAD_BYTES
                || matches!(self.stage, Stage::Head) && self.input.is_empty()
            {
                self.output = Vec::new();
            }
        } else if self.sent > MAX_UNSENT_RESPONSE_BYTES {
            self.output.drain(..self.sent);
            self.sent = 0;
        }
        ConnectionState::Open
    }

    /// Lets go of what was read of a request.
    pub fn consume(&mut self, count: usize) {
        if count >= self.input.len() {
            self.input = Vec::new();
        } else {
            self.input.drain(..count);
        }
    }
}
