//! The length-prefixed messages of a stream, in bounded memory.

use bytes::{BufMut, Bytes, BytesMut};

/// The longest message in bytes; a load report of the largest fleets is well below it.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a message of {length} bytes, {max} at most are taken")]
    TooLong { length: usize, max: usize },
    #[error("a compressed message, compression was not agreed on")]
    Compressed,
    #[error("{0} is no message flag")]
    InvalidFlag(u8),
}

/// The flag byte and the length of a frame.
const HEADER_BYTES: usize = 5;

/// Assembles messages from pieces of a stream.
#[derive(Debug)]
pub struct Deframer {
    buffer: BytesMut,
    max_message_bytes: usize,
}

impl Deframer {
    /// For messages of `max_message_bytes` at most.
    pub fn new(max_message_bytes: usize) -> Deframer {
        Deframer {
            buffer: BytesMut::new(),
            max_message_bytes,
        }
    }

    /// Adds bytes as they arrived.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Whether a message has begun that is not complete yet.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes of the message that is not complete yet.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// The next complete message. One that is too long is refused as soon as its length is known.
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
        if self.buffer.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        let mut message = self.buffer.split_to(HEADER_BYTES + length);
        Ok(Some(message.split_off(HEADER_BYTES).freeze()))
    }
}

/// A message with its header, uncompressed.
pub fn frame(message: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEADER_BYTES + message.len());
    out.put_u8(0);
    out.put_u32(message.len() as u32);
    out.put_slice(message);
    out.freeze()
}

#[cfg(test)]
mod tests;
