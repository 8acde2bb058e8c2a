//! HTTP/1.1 messages as bytes, without sockets.
//!
//! Heads are parsed strictly: ambiguous input, which two parsers could interpret differently, is rejected and not
//! repaired, because such differences allow request smuggling past a proxy. Bodies are tracked and not buffered:
//! [`Body`] says how many of the next bytes belong to a message, so they can be forwarded unchanged.

mod body;
mod head;

pub use body::Body;
pub use head::{parse_request, parse_response, Framing, Request, Response};

/// Limits of a message head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a head in bytes.
    pub max_head_bytes: usize,
    /// Maximum number of header fields.
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

/// Why bytes are rejected as an HTTP/1.1 message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The head is longer than this limit in bytes.
    #[error("head exceeds the limit of {0} bytes")]
    HeadTooLong(usize),
    /// The head has more header fields than this limit.
    #[error("head exceeds the limit of {0} header fields")]
    TooManyHeaders(usize),
    /// A line of the head ends with LF and not with CR LF.
    #[error("a line of the head ends with LF and not with CR LF")]
    BareLineFeed,
    /// The named part of the head does not follow the syntax of HTTP/1.1.
    #[error("invalid syntax in the head: {0}")]
    Syntax(&'static str),
    /// The head has both `Content-Length` and `Transfer-Encoding`.
    #[error("both Content-Length and Transfer-Encoding")]
    ContentLengthAndChunked,
    /// The head has more than one `Content-Length`, whether equal or not.
    #[error("more than one Content-Length")]
    DuplicateContentLength,
    /// `Content-Length` is not a decimal number, or has too many digits.
    #[error("Content-Length is not a decimal number of at most 18 digits")]
    InvalidContentLength,
    /// `Transfer-Encoding` is repeated, or other than `chunked`.
    #[error("Transfer-Encoding is repeated or not chunked")]
    UnsupportedTransferCoding,
    /// A chunked body in an HTTP/1.0 request.
    #[error("chunked body in an HTTP/1.0 request")]
    ChunkedInHttp10,
    /// `Host` is missing in an HTTP/1.1 request, or there is more than one.
    #[error("request without Host, or with more than one")]
    InvalidHost,
    /// A chunk-size line is malformed or too long.
    #[error("invalid or too long chunk size line")]
    InvalidChunkSize,
    /// A chunk's data is not followed by CR LF.
    #[error("chunk data is not followed by CR LF")]
    MissingChunkEnd,
    /// The trailer section is malformed or too long.
    #[error("invalid or too long trailer section")]
    InvalidTrailer,
}
