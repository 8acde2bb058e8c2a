//! HTTP/1.1 messages as bytes, without sockets.
//!
//! Heads are read strictly: what two readers could understand differently is refused and not repaired, because
//! such differences are how requests are smuggled past a proxy. Bodies are tracked and not buffered: [`Body`]
//! says how many of the next bytes belong to a message, so they can be forwarded as they are.

mod body;
mod head;

pub use body::Body;
pub use head::{parse_request, parse_response, Framing, Request, Response};

/// What a peer's head may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest head in bytes.
    pub max_head_bytes: usize,
    /// The most header fields.
    pub max_headers: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: 16 << 10,
            max_headers: 64,
        }
    }
}

/// Why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head is longer than the limit in bytes.
    #[error("the head is longer than {0} bytes")]
    HeadTooLong(usize),
    /// The head has more header fields than the limit.
    #[error("more than {0} headers")]
    TooManyHeaders(usize),
    /// A line ends with LF alone.
    #[error("a line ends without a carriage return")]
    BareLineFeed,
    /// The named part of the head is not HTTP/1.1.
    #[error("the head can't be read: {0}")]
    Syntax(&'static str),
    /// Both `Content-Length` and `Transfer-Encoding`.
    #[error("it has a length and is chunked as well")]
    ContentLengthAndChunked,
    /// More than one `Content-Length`.
    #[error("it names its length more than once")]
    DuplicateContentLength,
    /// `Content-Length` is not a decimal number.
    #[error("its length is no number")]
    InvalidContentLength,
    /// A transfer coding other than `chunked`.
    #[error("a transfer coding other than chunked")]
    UnsupportedTransferCoding,
    /// `chunked` in an HTTP/1.0 request.
    #[error("chunked in HTTP/1.0")]
    ChunkedInHttp10,
    /// `Host` is missing in HTTP/1.1, or there is more than one.
    #[error("a request of HTTP/1.1 names its host once")]
    InvalidHost,
    /// A chunk-size line is malformed or too long.
    #[error("a chunk's size can't be read")]
    InvalidChunkSize,
    /// A chunk's data is not followed by CR LF.
    #[error("a chunk does not end where it says")]
    MissingChunkEnd,
    /// The trailer section is malformed or too long.
    #[error("a trailer that can't be read, or is too long")]
    InvalidTrailer,
}
