//! Tracking of a message body up to its end.

use crate::{Framing, MessageError};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of a body with a `Content-Length` are outstanding.
    Length(u64),
    UntilClose,
    ChunkSize(ChunkSize),
    /// CR after a chunk's size was read; LF must follow. Holds the size.
    ChunkSizeEnd(u64),
    /// This many bytes of a chunk's data are outstanding.
    ChunkData(u64),
    /// A chunk's data was read; CR LF must follow.
    ChunkDataEnd,
    /// CR after a chunk's data was read; LF must follow.
    ChunkDataEndLine,
    Trailer(Trailer),
    /// CR in the trailer section was read; LF must follow.
    TrailerEnd(Trailer),
    Done,
}

/// The part of a chunk's size line read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ChunkSize {
    digits: u8,
    value: u64,
    /// A chunk extension has begun.
    in_extension: bool,
    extension_bytes: u16,
}

/// The number of bytes of the trailer section and of its current line read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Trailer {
    bytes: u16,
    line_bytes: u16,
}

/// Maximum length of the extensions of a chunk. Extensions and trailers are forwarded, but bounded.
const MAX_EXTENSION_BYTES: u16 = 4096;
/// Maximum length of the trailer section without line ends.
const MAX_TRAILER_BYTES: u16 = 4096;

/// Maximum number of hexadecimal digits of a chunk's size, so that the size cannot overflow.
const MAX_SIZE_DIGITS: u8 = 15;

const CHUNK_START: State = State::ChunkSize(ChunkSize {
    digits: 0,
    value: 0,
    in_extension: false,
    extension_bytes: 0,
});

/// Tracks the position in a body as its bytes arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Body(State);

impl Body {
    /// Creates the state at the start of a body.
    pub fn new(framing: Framing) -> Body {
        Body(match framing {
            Framing::None => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => CHUNK_START,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Whether the body was read to its end.
    pub fn is_complete(&self) -> bool {
        self.0 == State::Done
    }

    /// Whether the body is complete if the connection ends now.
    pub fn ends_with_connection(&self) -> bool {
        matches!(self.0, State::UntilClose | State::Done)
    }

    /// Advances by `bytes` and returns how many of them belong to the body, chunk framing included.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, MessageError> {
        self.advance(bytes, |_| {})
    }

    /// As [`Body::take`], and appends the data without chunk framing to `content`.
    pub fn read(&mut self, bytes: &[u8], content: &mut Vec<u8>) -> Result<usize, MessageError> {
        self.advance(bytes, |data| content.extend_from_slice(data))
    }

    fn advance(
        &mut self,
        bytes: &[u8],
        mut on_data: impl FnMut(&[u8]),
    ) -> Result<usize, MessageError> {
        let mut at = 0;
        while at < bytes.len() && self.0 != State::Done {
            let rest = &bytes[at..];
            let (next, taken) = match self.0 {
                State::UntilClose => (State::UntilClose, rest.len()),
                State::Length(outstanding) => match consume(outstanding, rest) {
                    (0, taken) => (State::Done, taken),
                    (left, taken) => (State::Length(left), taken),
                },
                State::ChunkData(outstanding) => match consume(outstanding, rest) {
                    (0, taken) => (State::ChunkDataEnd, taken),
                    (left, taken) => (State::ChunkData(left), taken),
                },
                state => {
                    self.0 = next_state(state, rest[0])?;
                    at += 1;
                    continue;
                }
            };
            on_data(&rest[..taken]);
            self.0 = next;
            at += taken;
        }
        Ok(at)
    }
}

/// Returns how many bytes are still outstanding after `bytes`, and how many of `bytes` were consumed.
fn consume(outstanding: u64, bytes: &[u8]) -> (u64, usize) {
    let taken = outstanding.min(bytes.len() as u64);
    (outstanding - taken, taken as usize)
}

/// Returns the state after one byte of the chunk framing.
fn next_state(state: State, byte: u8) -> Result<State, MessageError> {
    match (state, byte) {
        (State::ChunkSize(size), _) => advance_chunk_size(size, byte),
        (State::ChunkSizeEnd(0), b'\n') => Ok(State::Trailer(Trailer {
            bytes: 0,
            line_bytes: 0,
        })),
        (State::ChunkSizeEnd(size), b'\n') => Ok(State::ChunkData(size)),
        (State::ChunkDataEnd, b'\r') => Ok(State::ChunkDataEndLine),
        (State::ChunkDataEndLine, b'\n') => Ok(CHUNK_START),
        (State::ChunkDataEnd | State::ChunkDataEndLine, _) => Err(MessageError::MissingChunkEnd),
        (State::Trailer(trailer), _) => advance_trailer(trailer, byte),
        (State::TrailerEnd(Trailer { line_bytes: 0, .. }), b'\n') => Ok(State::Done),
        (State::TrailerEnd(Trailer { bytes, .. }), b'\n') => Ok(State::Trailer(Trailer {
            bytes,
            line_bytes: 0,
        })),
        (State::TrailerEnd(_), _) => Err(MessageError::InvalidTrailer),
        _ => Err(MessageError::InvalidChunkSize),
    }
}

fn advance_chunk_size(size: ChunkSize, byte: u8) -> Result<State, MessageError> {
    if !size.in_extension && byte.is_ascii_hexdigit() {
        if size.digits >= MAX_SIZE_DIGITS {
            return Err(MessageError::InvalidChunkSize);
        }
        let digit = (byte as char).to_digit(16).unwrap_or(0);
        return Ok(State::ChunkSize(ChunkSize {
            digits: size.digits + 1,
            value: size.value * 16 + u64::from(digit),
            ..size
        }));
    }
    if size.digits == 0 {
        return Err(MessageError::InvalidChunkSize);
    }
    if byte == b'\r' {
        return Ok(State::ChunkSizeEnd(size.value));
    }
    let is_extension = size.in_extension || byte == b';';
    if !is_extension || byte == b'\n' || size.extension_bytes >= MAX_EXTENSION_BYTES {
        return Err(MessageError::InvalidChunkSize);
    }
    Ok(State::ChunkSize(ChunkSize {
        in_extension: true,
        extension_bytes: size.extension_bytes + 1,
        ..size
    }))
}

fn advance_trailer(trailer: Trailer, byte: u8) -> Result<State, MessageError> {
    match byte {
        b'\r' => Ok(State::TrailerEnd(trailer)),
        b'\n' => Err(MessageError::InvalidTrailer),
        _ if trailer.bytes >= MAX_TRAILER_BYTES => Err(MessageError::InvalidTrailer),
        _ => Ok(State::Trailer(Trailer {
            bytes: trailer.bytes + 1,
            line_bytes: trailer.line_bytes + 1,
        })),
    }
}

#[cfg(test)]
mod tests;
