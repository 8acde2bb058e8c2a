//! One connection at the conductor's address: bytes in, messages out of them, bytes back.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use wheelspread::time::Moment;
use wheelspread_resp::{BadMessage, Limits, Reader};

/// Of who has not said who it is; of who has.
pub const STRANGER: Limits = Limits {
    message: 4 << 10,
    strings: 32,
};
pub const KNOWN: Limits = Limits {
    message: 1 << 20,
    strings: 64,
};
/// What one connection may bring before the others have their turn.
const TURN: usize = 256 << 10;
/// What may wait for who does not read.
const UNREAD: usize = 128 << 10;

pub struct Connection {
    pub stream: TcpStream,
    pub reader: Reader,
    pub since: Moment,
    pub known: bool,
    out: Vec<u8>,
    written: usize,
}

/// Why a connection can't go on.
#[derive(Debug, thiserror::Error)]
pub enum Over {
    #[error("it has ended")]
    Ended,
    #[error("{0}")]
    Failed(#[from] io::Error),
    #[error("not taken: {0}")]
    Refused(String),
    #[error("{0}")]
    Unreadable(#[from] BadMessage),
    #[error("it does not read what it is sent")]
    Unread,
}

impl Connection {
    pub fn new(stream: TcpStream, now: Moment) -> Connection {
        Connection {
            stream,
            reader: Reader::new(STRANGER),
            since: now,
            known: false,
            out: Vec::new(),
            written: 0,
        }
    }

    /// It has said who it is.
    pub fn know(&mut self) {
        self.known = true;
        self.reader.limit(KNOWN);
    }

    /// Reads what there is, up to a turn's worth, and gives it to the reader; whether there may be more.
    /// `messages` takes the whole messages out after each piece.
    pub fn read<F>(&mut self, scratch: &mut [u8], mut messages: F) -> Result<bool, Over>
    where
        F: FnMut(&mut Connection) -> Result<(), Over>,
    {
        let mut taken = 0;
        while taken < TURN {
            match self.stream.read(scratch) {
                Ok(0) => return Err(Over::Ended),
                Ok(count) => {
                    taken += count;
                    self.reader.feed(&scratch[..count]);
                    messages(self)?;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.reader.rest();
                    return Ok(false);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(true)
    }

    /// What the kernel does not take at once waits here, and is bounded.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), Over> {
        self.out.extend_from_slice(bytes);
        self.push()?;
        if self.out.len() - self.written > UNREAD {
            return Err(Over::Unread);
        }
        Ok(())
    }

    /// Sends what waits, as far as it goes.
    pub fn push(&mut self) -> Result<(), Over> {
        while self.written < self.out.len() {
            match self.stream.write(&self.out[self.written..]) {
                Ok(0) => return Err(Over::Ended),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        if self.written == self.out.len() {
            (self.out, self.written) = (Vec::new(), 0);
        } else if self.written > UNREAD / 2 {
            self.out.drain(..self.written);
            self.written = 0;
        }
        Ok(())
    }

    /// What it holds in memory.
    pub fn held(&self) -> usize {
        self.out.capacity() + self.reader.held()
    }
}
