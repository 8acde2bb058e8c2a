//! Non-blocking reads, shared by client and upstream connections.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// Whether a connection can still be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is usable as far as is known.
    Open,
    /// The connection failed.
    Closed,
}

/// State of the peer's sending side.
#[derive(Clone, Copy, Debug)]
pub struct ReadState {
    /// Whether there may be unread bytes in the socket. Events are edge-triggered, so this has to be remembered until
    /// the bytes are read.
    pub may_have_more: bool,
    /// Whether the peer closed its sending side. It may still read.
    pub peer_closed: bool,
}

impl ReadState {
    /// State of a connection that was not read yet.
    pub const NEW: ReadState = ReadState {
        may_have_more: true,
        peer_closed: false,
    };

    /// Reads until no more bytes are available, the peer closed its sending side, or `input` holds at least `limit`
    /// bytes.
    pub fn read_available(
        &mut self,
        mut socket: &TcpStream,
        input: &mut Vec<u8>,
        limit: usize,
        buffer: &mut [u8],
    ) -> ConnectionState {
        while self.may_have_more && !self.peer_closed && input.len() < limit {
            match socket.read(buffer) {
                Ok(0) => self.peer_closed = true,
                Ok(count) => {
                    input.extend_from_slice(&buffer[..count]);
                    // A short read means that the socket is empty for now. An event announces further bytes.
                    self.may_have_more = count == buffer.len();
                }
                Err(error) => match error.kind() {
                    // `NotConnected`: a connection that is not established yet has nothing to read.
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => self.may_have_more = false,
                    ErrorKind::Interrupted => {}
                    _ => return ConnectionState::Closed,
                },
            }
        }
        ConnectionState::Open
    }
}
