//! One connection at the controller's address: bytes in, messages out of them, bytes back.

use crate::close_reason::CloseReason;
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use wheelspread::time::Moment;
use wheelspread_platform_core::RejectReason;
use wheelspread_resp::{DecodeError, Decoder, Limits};

/// Message limits of a connection that has not identified itself.
const UNIDENTIFIED_LIMITS: Limits = Limits {
    message_bytes: 4 << 10,
    strings: 32,
};
/// Message limits of a proxy or a collector.
const IDENTIFIED_LIMITS: Limits = Limits {
    message_bytes: 1 << 20,
    strings: 64,
};
/// What is read of one connection before the others have their turn.
const READ_BYTES_PER_ITERATION_MAX: usize = 256 << 10;
/// What may wait for a peer that does not read.
const UNREAD_OUTPUT_BYTES_MAX: usize = 128 << 10;

/// A connection with its buffers.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Decodes what was read.
    pub decoder: Decoder,
    /// When it was accepted.
    pub accepted_at: Moment,
    output: Vec<u8>,
    /// How much of the output has been written.
    written: usize,
}

/// Why a connection can't go on.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The peer closed it.
    #[error("closed by the peer")]
    PeerClosed,
    /// The socket failed, or the peer reset it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The core rejected a message.
    #[error("message rejected: {0}")]
    Rejected(RejectReason),
    /// The bytes are no message.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// More output waits than the bound.
    #[error("the peer does not read what it is sent")]
    UnreadOutput,
}

impl ConnectionError {
    /// The close reason for an error that reading has found.
    pub fn read_close_reason(&self) -> CloseReason {
        match self {
            ConnectionError::PeerClosed | ConnectionError::Io(_) => CloseReason::PeerClosed,
            ConnectionError::Decode(_) => CloseReason::Unreadable,
            ConnectionError::Rejected(_) => CloseReason::Rejected,
            ConnectionError::UnreadOutput => CloseReason::PingFlood,
        }
    }

    /// The close reason for an error that writing has found.
    pub fn write_close_reason(&self) -> CloseReason {
        match self {
            ConnectionError::UnreadOutput => CloseReason::UnreadOutput,
            ConnectionError::PeerClosed
            | ConnectionError::Io(_)
            | ConnectionError::Rejected(_)
            | ConnectionError::Decode(_) => CloseReason::WriteFailed,
        }
    }
}

impl Connection {
    /// A connection that was just accepted.
    pub fn new(stream: TcpStream, now: Moment) -> Connection {
        Connection {
            stream,
            decoder: Decoder::new(UNIDENTIFIED_LIMITS),
            accepted_at: now,
            output: Vec::new(),
            written: 0,
        }
    }

    /// The peer has identified itself: larger messages are read from now on.
    pub fn mark_identified(&mut self) {
        self.decoder.set_limits(IDENTIFIED_LIMITS);
    }

    /// Reads what has come, up to one turn's worth, and feeds the decoder. `process_messages` takes the whole
    /// messages out after each piece. Whether there may be more to read.
    pub fn read<F>(
        &mut self,
        scratch: &mut [u8],
        mut process_messages: F,
    ) -> Result<bool, ConnectionError>
    where
        F: FnMut(&mut Connection) -> Result<(), ConnectionError>,
    {
        let mut total = 0;
        while total < READ_BYTES_PER_ITERATION_MAX {
            match self.stream.read(scratch) {
                Ok(0) => return Err(ConnectionError::PeerClosed),
                Ok(count) => {
                    total += count;
                    self.decoder.feed(&scratch[..count]);
                    process_messages(self)?;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.decoder.release_memory();
                    return Ok(false);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(true)
    }

    /// Writes these bytes behind what waits. What the kernel does not take at once is buffered, within bounds.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        self.output.extend_from_slice(bytes);
        self.flush()?;
        if self.output.len() - self.written > UNREAD_OUTPUT_BYTES_MAX {
            return Err(ConnectionError::UnreadOutput);
        }
        Ok(())
    }

    /// Writes what waits, as far as the kernel takes it.
    pub fn flush(&mut self) -> Result<(), ConnectionError> {
        while self.written < self.output.len() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return Err(ConnectionError::PeerClosed),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        if self.written == self.output.len() {
            (self.output, self.written) = (Vec::new(), 0);
        } else if self.written > UNREAD_OUTPUT_BYTES_MAX / 2 {
            self.output.drain(..self.written);
            self.written = 0;
        }
        Ok(())
    }

    /// Bytes of memory that its buffers take.
    pub fn buffer_bytes(&self) -> usize {
        self.output.capacity() + self.decoder.buffer_bytes()
    }
}
