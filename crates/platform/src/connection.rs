//! One connection of a proxy or a collector: reading, decoding, buffering and writing.

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
/// Bytes that are read from one connection in an iteration of the event loop, so that other connections are not
/// delayed. The limit is checked between reads.
pub const READ_BYTES_PER_ITERATION_MAX: usize = 16 << 10;
/// As above, for the last read before a connection is closed: what the peer has sent until then still counts.
pub const FINAL_READ_BYTES_MAX: usize = 256 << 10;
/// Bytes of output that may wait for a peer that does not read.
const UNREAD_OUTPUT_BYTES_MAX: usize = 128 << 10;

/// A connection with its buffers.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Decodes the received bytes.
    pub decoder: Decoder,
    /// When the connection was accepted.
    pub accepted_at: Moment,
    output: Vec<u8>,
    /// Bytes of the output that have been written.
    written: usize,
}

/// The result of a read.
#[derive(Clone, Copy, Debug)]
pub struct ReadProgress {
    /// Bytes that were read.
    pub bytes: usize,
    /// Whether there may be more to read.
    pub has_more: bool,
}

/// Why a connection must be closed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// The peer closed the connection.
    #[error("closed by the peer")]
    PeerClosed,
    /// The socket failed, or the peer reset it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The core rejected a message.
    #[error("message rejected: {0}")]
    Rejected(RejectReason),
    /// The received bytes are not a message.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The peer does not read, and the waiting output exceeds the limit.
    #[error("the peer does not read, and the waiting output exceeds the limit")]
    UnreadOutput,
}

impl ConnectionError {
    /// The close reason for an error detected while reading.
    pub fn read_close_reason(&self) -> CloseReason {
        match self {
            ConnectionError::PeerClosed | ConnectionError::Io(_) => CloseReason::PeerClosed,
            ConnectionError::Decode(_) => CloseReason::Unreadable,
            ConnectionError::Rejected(_) => CloseReason::Rejected,
            ConnectionError::UnreadOutput => CloseReason::PingFlood,
        }
    }

    /// The close reason for an error detected while writing.
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
    /// A newly accepted connection.
    pub fn new(stream: TcpStream, now: Moment) -> Connection {
        Connection {
            stream,
            decoder: Decoder::new(UNIDENTIFIED_LIMITS),
            accepted_at: now,
            output: Vec::new(),
            written: 0,
        }
    }

    /// Applies the larger message limits of an identified peer.
    pub fn mark_identified(&mut self) {
        self.decoder.set_limits(IDENTIFIED_LIMITS);
    }

    /// Reads available bytes, up to `max_bytes`, and feeds the decoder. `process_messages` is called after each read to
    /// take out the complete messages.
    pub fn read<F>(
        &mut self,
        max_bytes: usize,
        scratch: &mut [u8],
        mut process_messages: F,
    ) -> Result<ReadProgress, ConnectionError>
    where
        F: FnMut(&mut Connection) -> Result<(), ConnectionError>,
    {
        let mut bytes = 0;
        while bytes < max_bytes {
            let length = scratch.len().min(max_bytes - bytes);
            match self.stream.read(&mut scratch[..length]) {
                Ok(0) => return Err(ConnectionError::PeerClosed),
                Ok(count) => {
                    bytes += count;
                    self.decoder.feed(&scratch[..count]);
                    process_messages(self)?;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.decoder.release_memory();
                    let has_more = false;
                    return Ok(ReadProgress { bytes, has_more });
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        let has_more = true;
        Ok(ReadProgress { bytes, has_more })
    }

    /// Appends bytes to the output and flushes it. Bytes that the kernel does not accept yet stay buffered, up to a
    /// limit.
    pub fn write(&mut self, bytes: &[u8]) -> Result<(), ConnectionError> {
        self.queue(bytes);
        self.flush_within_limit()
    }

    /// Appends bytes to the output, to be flushed together with others.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Flushes the output, and fails if more than the limit of unread output remains.
    pub fn flush_within_limit(&mut self) -> Result<(), ConnectionError> {
        self.flush()?;
        if self.output.len() - self.written > UNREAD_OUTPUT_BYTES_MAX {
            return Err(ConnectionError::UnreadOutput);
        }
        Ok(())
    }

    /// Writes as much of the waiting output as the kernel accepts.
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

    /// Bytes of memory allocated for this connection's buffers.
    pub fn buffer_bytes(&self) -> usize {
        self.output.capacity() + self.decoder.buffer_bytes()
    }
}
