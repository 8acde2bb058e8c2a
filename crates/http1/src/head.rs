//! Parsing of request and response heads.

use crate::{Limits, MessageError};
use std::ops::Range;

/// How the end of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    None,
    /// The body has this many bytes.
    Length(u64),
    /// The body has the chunked transfer coding.
    Chunked,
    /// The body of a response ends when the connection is closed.
    UntilClose,
}

/// The ranges of a header field's name and value in the bytes of a head.
pub type HeaderRanges = (Range<usize>, Range<usize>);

/// A request head. Ranges refer to the bytes from which it was parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Range<usize>,
    /// The request target, unchanged.
    pub target: Range<usize>,
    /// All header fields in the order of the head.
    pub headers: Vec<HeaderRanges>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the method is HEAD, so that the response has no body.
    pub is_head: bool,
    /// The length of the head in bytes.
    pub length: usize,
}

/// A response head. Ranges refer to the bytes from which it was parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// All header fields in the order of the head.
    pub headers: Vec<HeaderRanges>,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the connection may be used for another request.
    pub keep_alive: bool,
    /// The length of the head in bytes.
    pub length: usize,
}

/// Capacity of the parser's header table. A larger `Limits::max_headers` is reduced to it.
const MAX_HEADERS: usize = 100;

/// Maximum number of digits of `Content-Length`; 18 digits fit a `u64`.
const MAX_LENGTH_DIGITS: usize = 18;

/// Returns the length of a complete head, or `None` until its final empty line has arrived. Every line must end with
/// CR LF.
fn head_length(bytes: &[u8], limits: Limits) -> Result<Option<usize>, MessageError> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate().take(limits.max_head_bytes) {
        if *byte != b'\n' {
            continue;
        }
        if at == 0 || bytes[at - 1] != b'\r' {
            return Err(MessageError::BareLineFeed);
        }
        // An empty line ends the head, except before the first line.
        if at - 1 == line_start && line_start > 0 {
            return Ok(Some(at + 1));
        }
        line_start = at + 1;
    }
    if bytes.len() >= limits.max_head_bytes {
        Err(MessageError::HeadTooLong(limits.max_head_bytes))
    } else {
        Ok(None)
    }
}

fn syntax_error(error: httparse::Error, limits: Limits) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::TooManyHeaders(limits.max_headers),
        httparse::Error::HeaderName => MessageError::Syntax("header field name"),
        httparse::Error::HeaderValue => MessageError::Syntax("header field value"),
        httparse::Error::Token => MessageError::Syntax("start line"),
        httparse::Error::Version => MessageError::Syntax("HTTP version"),
        httparse::Error::Status => MessageError::Syntax("status code"),
        httparse::Error::NewLine => MessageError::Syntax("line end"),
    }
}

/// Returns the range of `part` within `whole`, of which it must be a slice; otherwise an empty range.
fn range_within(whole: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(whole.as_ptr() as usize);
    if start <= whole.len() && start + part.len() <= whole.len() {
        start..start + part.len()
    } else {
        0..0
    }
}

/// The values of the header fields that concern the framing and the connection.
#[derive(Default)]
struct ConnectionHeaders {
    content_length: Option<u64>,
    is_chunked: bool,
    has_close: bool,
    has_keep_alive: bool,
    expects_continue: bool,
    host_count: usize,
}

impl ConnectionHeaders {
    fn read(headers: &[httparse::Header]) -> Result<ConnectionHeaders, MessageError> {
        let mut found = ConnectionHeaders::default();
        for header in headers {
            found.add(header.name, header.value)?;
        }
        if found.is_chunked && found.content_length.is_some() {
            return Err(MessageError::ContentLengthAndChunked);
        }
        Ok(found)
    }

    fn add(&mut self, name: &str, value: &[u8]) -> Result<(), MessageError> {
        if name.eq_ignore_ascii_case("content-length") {
            // Equal lengths are rejected too, because other parsers may handle repeated fields differently.
            if self.content_length.is_some() {
                return Err(MessageError::DuplicateContentLength);
            }
            self.content_length = Some(content_length(value)?);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(MessageError::UnsupportedTransferCoding);
            }
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for token in value.split(|byte| *byte == b',') {
                let token = token.trim_ascii();
                self.has_close |= token.eq_ignore_ascii_case(b"close");
                self.has_keep_alive |= token.eq_ignore_ascii_case(b"keep-alive");
            }
        } else if name.eq_ignore_ascii_case("expect") {
            self.expects_continue |= value.eq_ignore_ascii_case(b"100-continue");
        } else if name.eq_ignore_ascii_case("host") {
            self.host_count += 1;
        }
        Ok(())
    }

    /// Whether the connection stays open: by default in HTTP/1.1, and only with `keep-alive` in HTTP/1.0.
    fn keep_alive(&self, minor_version: u8) -> bool {
        !self.has_close && (minor_version == 1 || self.has_keep_alive)
    }
}

/// Parses `Content-Length`: only digits, and few enough that the number cannot overflow.
fn content_length(value: &[u8]) -> Result<u64, MessageError> {
    if value.is_empty() || value.len() > MAX_LENGTH_DIGITS || !value.iter().all(u8::is_ascii_digit)
    {
        return Err(MessageError::InvalidContentLength);
    }
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(MessageError::InvalidContentLength)
}

fn header_ranges(head: &[u8], headers: &[httparse::Header]) -> Vec<HeaderRanges> {
    headers
        .iter()
        .map(|header| {
            (
                range_within(head, header.name.as_bytes()),
                range_within(head, header.value),
            )
        })
        .collect()
}

/// Checks that the parser found the same end of the head as `head_length`.
fn check_complete(
    parsed: httparse::Result<usize>,
    length: usize,
    limits: Limits,
) -> Result<(), MessageError> {
    match parsed {
        Ok(httparse::Status::Complete(read)) if read == length => Ok(()),
        Ok(_) => Err(MessageError::Syntax("line end")),
        Err(error) => Err(syntax_error(error, limits)),
    }
}

/// Parses a request head; returns `None` while it is incomplete.
pub fn parse_request(bytes: &[u8], limits: Limits) -> Result<Option<Request>, MessageError> {
    let Some(length) = head_length(bytes, limits)? else {
        return Ok(None);
    };
    let head = &bytes[..length];
    let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let headers = &mut table[..limits.max_headers.min(MAX_HEADERS)];
    let mut parsed = httparse::Request::new(headers);
    check_complete(parsed.parse(head), length, limits)?;
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(MessageError::Syntax("start line"));
    };
    let connection = ConnectionHeaders::read(parsed.headers)?;
    if version == 1 && connection.host_count != 1 || connection.host_count > 1 {
        return Err(MessageError::InvalidHost);
    }
    if version == 0 && connection.is_chunked {
        return Err(MessageError::ChunkedInHttp10);
    }
    let framing = match (connection.is_chunked, connection.content_length) {
        (true, _) => Framing::Chunked,
        (false, Some(0) | None) => Framing::None,
        (false, Some(length)) => Framing::Length(length),
    };
    Ok(Some(Request {
        method: range_within(head, method.as_bytes()),
        target: range_within(head, target.as_bytes()),
        headers: header_ranges(head, parsed.headers),
        framing,
        keep_alive: connection.keep_alive(version),
        expects_continue: connection.expects_continue && version == 1 && framing != Framing::None,
        is_head: method == "HEAD",
        length,
    }))
}

/// Parses a response head; returns `None` while it is incomplete. `is_reply_to_head`: the method of the request was
/// HEAD.
pub fn parse_response(
    bytes: &[u8],
    is_reply_to_head: bool,
    limits: Limits,
) -> Result<Option<Response>, MessageError> {
    let Some(length) = head_length(bytes, limits)? else {
        return Ok(None);
    };
    let head = &bytes[..length];
    let mut table = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let headers = &mut table[..limits.max_headers.min(MAX_HEADERS)];
    let mut parsed = httparse::Response::new(headers);
    check_complete(parsed.parse(head), length, limits)?;
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(MessageError::Syntax("start line"));
    };
    let connection = ConnectionHeaders::read(parsed.headers)?;
    let has_no_body = is_reply_to_head || status / 100 == 1 || status == 204 || status == 304;
    let framing = match (
        has_no_body,
        connection.is_chunked,
        connection.content_length,
    ) {
        (true, ..) => Framing::None,
        (_, true, _) => Framing::Chunked,
        (_, _, Some(0)) => Framing::None,
        (_, _, Some(length)) => Framing::Length(length),
        (_, _, None) => Framing::UntilClose,
    };
    Ok(Some(Response {
        status,
        headers: header_ranges(head, parsed.headers),
        framing,
        keep_alive: connection.keep_alive(version) && framing != Framing::UntilClose,
        length,
    }))
}

#[cfg(test)]
mod tests;
