//! HTTP/1.1 as bytes. Heads are read strictly: what two readers could understand differently is refused,
//! not mended, since that is how requests are smuggled past a proxy. Bodies are tracked, not held: `Body`
//! tells how many of the next bytes belong to a message, so they can be passed on as they are.

mod body;
mod head;

pub use body::Body;
pub use head::{request, response, Framing, Request, Response};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub head: usize,
    pub headers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            head: 16 << 10,
            headers: 64,
        }
    }
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    #[error("the head is longer than {0} bytes")]
    HeadTooLong(usize),
    #[error("more than {0} headers")]
    TooManyHeaders(usize),
    #[error("a line ends without a carriage return")]
    BareLineFeed,
    #[error("the head can't be read: {0}")]
    Syntax(&'static str),
    #[error("it has a length and is chunked as well")]
    LengthAndChunked,
    #[error("it names its length more than once")]
    TwoLengths,
    #[error("its length is no number")]
    BadLength,
    #[error("a transfer coding other than chunked")]
    Coding,
    #[error("chunked in HTTP/1.0")]
    ChunkedInOld,
    #[error("a request of HTTP/1.1 names its host once")]
    Host,
    #[error("a chunk's size can't be read")]
    ChunkSize,
    #[error("a chunk does not end where it says")]
    ChunkEnd,
    #[error("a trailer that can't be read, or is too long")]
    Trailer,
}
