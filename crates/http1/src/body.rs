//! Where a body ends.

use crate::{Framing, MessageError};

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
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, MessageError> {
        self.follow(bytes, |_| {})
    }

    /// The same; what they carry, without what stands between chunks, is appended to `carried`.
    pub fn read(&mut self, bytes: &[u8], carried: &mut Vec<u8>) -> Result<usize, MessageError> {
        self.follow(bytes, |some| carried.extend_from_slice(some))
    }

    fn follow(
        &mut self,
        bytes: &[u8],
        mut carries: impl FnMut(&[u8]),
    ) -> Result<usize, MessageError> {
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
fn step(state: State, byte: u8) -> Result<State, MessageError> {
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
                return Err(MessageError::ChunkSize);
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
                return Err(MessageError::ChunkSize);
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
        (State::ChunkEnd | State::ChunkEndLine, _) => return Err(MessageError::ChunkEnd),
        (State::Trailer { seen, line }, b'\r') => State::TrailerEnd { seen, line },
        (State::Trailer { seen, line }, _) if byte != b'\n' && seen < LONGEST_LINE => {
            State::Trailer {
                seen: seen + 1,
                line: line + 1,
            }
        }
        (State::TrailerEnd { line: 0, .. }, b'\n') => State::Done,
        (State::TrailerEnd { seen, .. }, b'\n') => State::Trailer { seen, line: 0 },
        (State::Trailer { .. } | State::TrailerEnd { .. }, _) => return Err(MessageError::Trailer),
        _ => return Err(MessageError::ChunkSize),
    })
}

#[cfg(test)]
mod tests;
