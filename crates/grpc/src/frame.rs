//! The length-prefixed messages of a stream, and no more memory for them than was allowed.

use bytes::{BufMut, Bytes, BytesMut};

/// A report of the largest fleets is well below it.
pub const LONGEST_MESSAGE: usize = 4 << 20;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadFrame {
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
    pub fn take_message(&mut self) -> Result<Option<Bytes>, BadFrame> {
        let Some(head) = self.buffer.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        match head[0] {
            0 => {}
            1 => return Err(BadFrame::Compressed),
            other => return Err(BadFrame::Flag(other)),
        }
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if length > self.most {
            return Err(BadFrame::TooLong {
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn messages_come_out_as_they_went_in(
            messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..10),
            cut in 1usize..50,
        ) {
            let bytes: Vec<u8> = messages.iter().flat_map(|message| frame(message).to_vec()).collect();
            let (mut deframer, mut out) = (Deframer::new(200), Vec::new());
            for piece in bytes.chunks(cut) {
                deframer.push(piece);
                while let Some(message) = deframer.take_message().expect("they are fine") {
                    out.push(message.to_vec());
                }
            }
            prop_assert_eq!(out, messages);
            prop_assert!(!deframer.partial());
        }

        #[test]
        fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let mut deframer = Deframer::new(100);
            deframer.push(&bytes);
            while let Ok(Some(message)) = deframer.take_message() {
                prop_assert!(message.len() <= 100);
            }
        }
    }

    #[test]
    fn what_is_too_long_is_refused_before_it_is_held() {
        let mut deframer = Deframer::new(1000);
        deframer.push(&[0, 0x06, 0x40, 0, 0]);
        assert_eq!(
            deframer.take_message(),
            Err(BadFrame::TooLong {
                length: 100 << 20,
                most: 1000
            })
        );
    }
}
