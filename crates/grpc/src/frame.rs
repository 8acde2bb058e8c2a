//! Length-prefixed gRPC messages: framing, and deframing in bounded memory.

use bytes::{BufMut, Bytes, BytesMut};

/// Default maximum length of a message. A load report of the largest fleets is well below it.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why bytes are not a valid gRPC frame.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("message of {length} bytes exceeds the limit of {max} bytes")]
    TooLong { length: usize, max: usize },
    #[error("compressed message, but compression was not negotiated")]
    Compressed,
    #[error("invalid compression flag {0} in a message header")]
    InvalidFlag(u8),
}

/// Length of a frame header: the compression flag byte and the 4-byte message length.
const HEADER_BYTES: usize = 5;

/// Reassembles messages from the data of a stream.
#[derive(Debug)]
pub struct Deframer {
    buffer: BytesMut,
    max_message_bytes: usize,
}

impl Deframer {
    /// Creates a deframer for messages of up to `max_message_bytes`.
    pub fn new(max_message_bytes: usize) -> Deframer {
        Deframer {
            buffer: BytesMut::new(),
            max_message_bytes,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Whether a part of an incomplete message is buffered.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of buffered bytes of an incomplete message, frame header included.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Bytes of memory reserved for an incomplete message: its whole length, once its header is read.
    pub fn reserved_bytes(&self) -> usize {
        if self.buffer.is_empty() {
            0
        } else {
            self.buffer.capacity()
        }
    }

    /// Returns the next complete message. A message that is too long is rejected as soon as its header is read.
    pub fn take_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(head) = self.buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        match head[0] {
            0 => {}
            1 => return Err(FrameError::Compressed),
            other => return Err(FrameError::InvalidFlag(other)),
        }
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if length > self.max_message_bytes {
            return Err(FrameError::TooLong {
                length,
                max: self.max_message_bytes,
            });
        }
        let missing = (HEADER_BYTES + length).saturating_sub(self.buffer.len());
        if missing > 0 {
            // Without this, the buffer doubles as it grows, and holds its content twice while it is moved.
            self.buffer.reserve(missing);
            return Ok(None);
        }
        let mut message = self.buffer.split_to(HEADER_BYTES + length);
        Ok(Some(message.split_off(HEADER_BYTES).freeze()))
    }
}

/// Frames a message: uncompressed, with its header.
pub fn frame(message: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEADER_BYTES + message.len());
    out.put_u8(0);
    out.put_u32(message.len() as u32);
    out.put_slice(message);
    out.freeze()
}

#[cfg(test)]
mod tests;
