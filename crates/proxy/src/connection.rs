//! What client and upstream connections have in common: reading without blocking.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

/// Whether a connection can still be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It can, as far as is known.
    Open,
    /// It failed.
    Closed,
}

/// What is known of the peer's sending side.
#[derive(Clone, Copy, Debug)]
pub struct ReadState {
    /// There may be more to read than was taken. Events come on changes only, so this has to be remembered.
    pub may_have_more: bool,
    /// The peer sends no more; it may still read.
    pub peer_closed: bool,
}

impl ReadState {
    /// Of a connection that was not read yet.
    pub const NEW: ReadState = ReadState {
        may_have_more: true,
        peer_closed: false,
    };

    /// Reads until there is no more for now, the peer closed, or `input` holds `limit` bytes.
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
                    // Less than was asked for: there is no more for now, and an event tells of the next.
                    self.may_have_more = count == buffer.len();
                }
                Err(error) => match error.kind() {
                    // A connection that is not established yet has nothing to read.
                    ErrorKind::WouldBlock | ErrorKind::NotConnected => self.may_have_more = false,
                    ErrorKind::Interrupted => {}
                    _ => return ConnectionState::Closed,
                },
            }
        }
        ConnectionState::Open
    }
}
