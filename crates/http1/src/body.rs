//! Where a body ends.

use crate::{BadMessage, Framing};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Counting(u64),
    UntilClose,
    /// Within a chunk's size line: digits so far and their value, and whether an extension has begun.
    Size {
        digits: u8,
        value: u64,
        extension: bool,
        seen: u16,
    },
    SizeEnd(u64),
    Chunk(u64),
    ChunkEnd,
    ChunkEndLine,
    /// Within the trailer: bytes so far, and those of the line.
    Trailer {
        seen: u16,
        line: u16,
    },
    TrailerEnd {
        seen: u16,
        line: u16,
    },
    Done,
}

/// Extensions and trailers are passed on, but not at any length.
const LONGEST_LINE: u16 = 4096;

/// Follows a body through the bytes that carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body(State);

const SIZE: State = State::Size {
    digits: 0,
    value: 0,
    extension: false,
    seen: 0,
};

impl Body {
    pub fn new(framing: Framing) -> Body {
        Body(match framing {
            Framing::None => State::Done,
            Framing::Length(length) => State::Counting(length),
            Framing::Chunked => SIZE,
            Framing::UntilClose => State::UntilClose,
        })
    }

    pub fn done(&self) -> bool {
        self.0 == State::Done
    }

    /// The connection has ended; whether the body has, too.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.0, State::UntilClose | State::Done)
    }

    /// How many of these bytes belong to the body.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, BadMessage> {
        self.follow(bytes, |_| {})
    }

    /// The same; what they carry, without what stands between chunks, is appended to `carried`.
    pub fn read(&mut self, bytes: &[u8], carried: &mut Vec<u8>) -> Result<usize, BadMessage> {
        self.follow(bytes, |some| carried.extend_from_slice(some))
    }

    fn follow(
        &mut self,
        bytes: &[u8],
        mut carries: impl FnMut(&[u8]),
    ) -> Result<usize, BadMessage> {
        let mut at = 0;
        while at < bytes.len() && self.0 != State::Done {
            let left = (bytes.len() - at) as u64;
            self.0 = match self.0 {
                State::UntilClose => {
                    carries(&bytes[at..]);
                    at = bytes.len();
                    State::UntilClose
                }
                State::Counting(wanted) => {
                    let taken = wanted.min(left);
                    carries(&bytes[at..at + taken as usize]);
                    at += taken as usize;
                    if taken == wanted {
                        State::Done
                    } else {
                        State::Counting(wanted - taken)
                    }
                }
                State::Chunk(wanted) => {
                    let taken = wanted.min(left);
                    carries(&bytes[at..at + taken as usize]);
                    at += taken as usize;
                    if taken == wanted {
                        State::ChunkEnd
                    } else {
                        State::Chunk(wanted - taken)
                    }
                }
                state => {
                    let next = step(state, bytes[at])?;
                    at += 1;
                    next
                }
            };
        }
        Ok(at)
    }
}

/// One byte of what stands between chunks.
fn step(state: State, byte: u8) -> Result<State, BadMessage> {
    Ok(match (state, byte) {
        (
            State::Size {
                digits,
                value,
                extension: false,
                seen,
            },
            _,
        ) if byte.is_ascii_hexdigit() => {
            if digits >= 15 {
                return Err(BadMessage::ChunkSize);
            }
            let digit = (byte as char).to_digit(16).unwrap_or(0);
            State::Size {
                digits: digits + 1,
                value: value * 16 + u64::from(digit),
                extension: false,
                seen,
            }
        }
        (
            State::Size {
                digits: 1.., value, ..
            },
            b'\r',
        ) => State::SizeEnd(value),
        (
            State::Size {
                digits: digits @ 1..,
                value,
                extension,
                seen,
            },
            _,
        ) if extension || byte == b';' => {
            if byte == b'\n' || seen >= LONGEST_LINE {
                return Err(BadMessage::ChunkSize);
            }
            State::Size {
                digits,
                value,
                extension: true,
                seen: seen + 1,
            }
        }
        (State::SizeEnd(0), b'\n') => State::Trailer { seen: 0, line: 0 },
        (State::SizeEnd(size), b'\n') => State::Chunk(size),
        (State::ChunkEnd, b'\r') => State::ChunkEndLine,
        (State::ChunkEndLine, b'\n') => SIZE,
        (State::ChunkEnd | State::ChunkEndLine, _) => return Err(BadMessage::ChunkEnd),
        (State::Trailer { seen, line }, b'\r') => State::TrailerEnd { seen, line },
        (State::Trailer { seen, line }, _) if byte != b'\n' && seen < LONGEST_LINE => {
            State::Trailer {
                seen: seen + 1,
                line: line + 1,
            }
        }
        (State::TrailerEnd { line: 0, .. }, b'\n') => State::Done,
        (State::TrailerEnd { seen, .. }, b'\n') => State::Trailer { seen, line: 0 },
        (State::Trailer { .. } | State::TrailerEnd { .. }, _) => return Err(BadMessage::Trailer),
        _ => return Err(BadMessage::ChunkSize),
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    #[test_case("5\r\nhello\r\n0\r\n\r\n", 5; "one chunk")]
    #[test_case("5;name=value\r\nhello\r\n00\r\nX: y\r\nZ: 1\r\n\r\n", 5; "extensions and trailers")]
    #[test_case("A\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n", 11; "hexadecimal")]
    #[test_case("0\r\n\r\n", 0; "nothing")]
    fn chunks_are_followed_to_their_end(text: &str, carries: u64) {
        for cut in 1..=text.len() {
            let with_next = format!("{text}GET / HTTP/1.1");
            let (mut body, mut taken) = (Body::new(Framing::Chunked), 0);
            let (mut reading, mut carried) = (body, Vec::new());
            while !body.done() {
                let end = (taken + cut).min(with_next.len());
                let some = &with_next.as_bytes()[taken..end];
                taken += body.take(some).expect("fine");
                reading.read(some, &mut carried).expect("fine");
            }
            assert_eq!(
                (taken, carried.len() as u64),
                (text.len(), carries),
                "cut by {cut}"
            );
        }
    }

    #[test_case("\r\n", BadMessage::ChunkSize; "no size")]
    #[test_case("5\nhello", BadMessage::ChunkSize; "a bare line feed")]
    #[test_case("-5\r\n", BadMessage::ChunkSize; "a sign")]
    #[test_case("0x5\r\n", BadMessage::ChunkSize; "a prefix")]
    #[test_case("1000000000000000\r\n", BadMessage::ChunkSize; "a size that overflows")]
    #[test_case("5 \r\nhello", BadMessage::ChunkSize; "a space")]
    #[test_case("5\r\nhello!\r\n", BadMessage::ChunkEnd; "longer than it says")]
    #[test_case("0\r\nX: y\n\r\n", BadMessage::Trailer; "a bare line feed in the trailer")]
    fn chunks_that_could_be_read_in_two_ways_are_refused(text: &str, why: BadMessage) {
        assert_eq!(Body::new(Framing::Chunked).take(text.as_bytes()), Err(why));
    }

    #[test]
    fn lengths_and_ends() {
        let mut body = Body::new(Framing::Length(3));
        assert_eq!(
            (body.take(b"ab"), body.done(), body.ends_with_connection()),
            (Ok(2), false, false)
        );
        assert_eq!((body.take(b"cde"), body.done()), (Ok(1), true));
        let mut body = Body::new(Framing::UntilClose);
        assert_eq!(
            (
                body.take(b"anything"),
                body.done(),
                body.ends_with_connection()
            ),
            (Ok(8), false, true)
        );
        assert!(Body::new(Framing::None).done());
    }

    proptest! {
        #[test]
        fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
            let _ = Body::new(Framing::Chunked).take(&bytes);
        }
    }
}
