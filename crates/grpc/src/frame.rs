//! The length-prefixed messages of a stream, and no more memory for them than was allowed.

use bytes::{BufMut, Bytes, BytesMut};

/// A report of the largest fleets is well below it.
pub const LONGEST_MESSAGE: usize = 4 << 20;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a message of {length} bytes, {most} at most are taken")]
    TooLong { length: usize, most: usize },
    #[error("a compressed message, compression was not agreed on")]
    Compressed,
    #[error("{0} is no message flag")]
    Flag(u8),
}

const HEAD: usize = 5;

/// Puts messages together from pieces.
#[derive(Debug)]
pub struct Deframer {
    buffer: BytesMut,
    most: usize,
}

impl Deframer {
    pub fn new(most: usize) -> Deframer {
        Deframer {
            buffer: BytesMut::new(),
            most,
        }
    }

    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.extend_from_slice(piece);
    }

    /// Whether a message has begun that is not whole yet.
    pub fn partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// The next whole message. A length that is too long is refused as soon as it is known.
    pub fn take_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        let Some(head) = self.buffer.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        match head[0] {
            0 => {}
            1 => return Err(FrameError::Compressed),
            other => return Err(FrameError::Flag(other)),
        }
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if length > self.most {
            return Err(FrameError::TooLong {
                length,
                most: self.most,
            });
        }
        if self.buffer.len() < HEAD + length {
            return Ok(None);
        }
        let mut message = self.buffer.split_to(HEAD + length);
        Ok(Some(message.split_off(HEAD).freeze()))
    }
}

pub fn frame(message: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEAD + message.len());
    out.put_u8(0);
    out.put_u32(message.len() as u32);
    out.put_slice(message);
    out.freeze()
}

#[cfg(test)]
mod tests;
