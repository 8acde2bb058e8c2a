//! Reading heads.

use crate::{Limits, MessageError};
use std::ops::Range;

/// How the end of a message's body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    None,
    Length(u64),
    Chunked,
    /// Of a response: up to the end of the connection.
    UntilClose,
}

/// A request's head. Ranges are within the bytes it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: Range<usize>,
    pub target: Range<usize>,
    pub headers: Vec<(Range<usize>, Range<usize>)>,
    pub framing: Framing,
    pub keep_alive: bool,
    pub expects_continue: bool,
    pub is_head: bool,
    /// How many bytes the head took.
    pub length: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(Range<usize>, Range<usize>)>,
    pub framing: Framing,
    pub keep_alive: bool,
    pub length: usize,
}

/// No limit goes beyond it.
const MOST_HEADERS: usize = 100;

/// The end of the head, if it is there; every line of it must end properly.
fn end(bytes: &[u8], limits: Limits) -> Result<Option<usize>, MessageError> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate().take(limits.head) {
        if *byte != b'\n' {
            continue;
        }
        if at == 0 || bytes[at - 1] != b'\r' {
            return Err(MessageError::BareLineFeed);
        }
        // An empty line ends it; one before the request line is not taken for it.
        if at - 1 == line && line > 0 {
            return Ok(Some(at + 1));
        }
        line = at + 1;
    }
    if bytes.len() >= limits.head {
        Err(MessageError::HeadTooLong(limits.head))
    } else {
        Ok(None)
    }
}

fn syntax(error: httparse::Error, limits: Limits) -> MessageError {
    match error {
        httparse::Error::TooManyHeaders => MessageError::TooManyHeaders(limits.headers),
        httparse::Error::HeaderName => MessageError::Syntax("a header's name"),
        httparse::Error::HeaderValue => MessageError::Syntax("a header's value"),
        httparse::Error::Token => MessageError::Syntax("the first line"),
        httparse::Error::Version => MessageError::Syntax("the version"),
        httparse::Error::Status => MessageError::Syntax("the status"),
        httparse::Error::NewLine => MessageError::Syntax("a line's end"),
    }
}

/// Where a part lies in the whole it was cut from.
fn range(whole: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).wrapping_sub(whole.as_ptr() as usize);
    if start <= whole.len() && start + part.len() <= whole.len() {
        start..start + part.len()
    } else {
        0..0
    }
}

/// What the headers say of framing and of the connection.
struct Said {
    length: Option<u64>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
    expects_continue: bool,
    hosts: usize,
}

fn said(headers: &[httparse::Header]) -> Result<Said, MessageError> {
    let mut said = Said {
        length: None,
        chunked: false,
        close: false,
        keep_alive: false,
        expects_continue: false,
        hosts: 0,
    };
    for header in headers {
        let (name, value) = (header.name, header.value);
        if name.eq_ignore_ascii_case("content-length") {
            // Also a list of equal lengths is two: others read it otherwise.
            if said.length.is_some() {
                return Err(MessageError::TwoLengths);
            }
            let digits =
                !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).map_err(|_| MessageError::BadLength)?;
            said.length = Some(
                text.parse()
                    .ok()
                    .filter(|_| digits)
                    .ok_or(MessageError::BadLength)?,
            );
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if said.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(MessageError::Coding);
            }
            said.chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            for token in value.split(|byte| *byte == b',') {
                let token = token.trim_ascii();
                said.close |= token.eq_ignore_ascii_case(b"close");
                said.keep_alive |= token.eq_ignore_ascii_case(b"keep-alive");
            }
        } else if name.eq_ignore_ascii_case("expect") {
            said.expects_continue |= value.eq_ignore_ascii_case(b"100-continue");
        } else if name.eq_ignore_ascii_case("host") {
            said.hosts += 1;
        }
    }
    if said.chunked && said.length.is_some() {
        return Err(MessageError::LengthAndChunked);
    }
    Ok(said)
}

/// Reads a request's head; `None` while it is not whole.
pub fn request(bytes: &[u8], limits: Limits) -> Result<Option<Request>, MessageError> {
    let Some(length) = end(bytes, limits)? else {
        return Ok(None);
    };
    let head = &bytes[..length];
    let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let headers = &mut room[..limits.headers.min(MOST_HEADERS)];
    let mut parsed = httparse::Request::new(headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        Ok(_) => return Err(MessageError::Syntax("a line's end")),
        Err(error) => return Err(syntax(error, limits)),
    }
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(MessageError::Syntax("the first line"));
    };
    let said = said(parsed.headers)?;
    if version == 1 && said.hosts != 1 || said.hosts > 1 {
        return Err(MessageError::Host);
    }
    if version == 0 && said.chunked {
        return Err(MessageError::ChunkedInOld);
    }
    let framing = match (said.chunked, said.length) {
        (true, _) => Framing::Chunked,
        (false, Some(0)) | (false, None) => Framing::None,
        (false, Some(length)) => Framing::Length(length),
    };
    let lines = parsed
        .headers
        .iter()
        .map(|h| (range(head, h.name.as_bytes()), range(head, h.value)));
    Ok(Some(Request {
        method: range(head, method.as_bytes()),
        target: range(head, target.as_bytes()),
        headers: lines.collect(),
        framing,
        keep_alive: if version == 1 {
            !said.close
        } else {
            said.keep_alive && !said.close
        },
        expects_continue: said.expects_continue && version == 1 && framing != Framing::None,
        is_head: method == "HEAD",
        length,
    }))
}

/// Reads a response's head; `to_head`: the request's method was HEAD.
pub fn response(
    bytes: &[u8],
    to_head: bool,
    limits: Limits,
) -> Result<Option<Response>, MessageError> {
    let Some(length) = end(bytes, limits)? else {
        return Ok(None);
    };
    let head = &bytes[..length];
    let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let headers = &mut room[..limits.headers.min(MOST_HEADERS)];
    let mut parsed = httparse::Response::new(headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        Ok(_) => return Err(MessageError::Syntax("a line's end")),
        Err(error) => return Err(syntax(error, limits)),
    }
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(MessageError::Syntax("the first line"));
    };
    let said = said(parsed.headers)?;
    let bodiless = to_head || status / 100 == 1 || status == 204 || status == 304;
    let framing = match (bodiless, said.chunked, said.length) {
        (true, ..) => Framing::None,
        (_, true, _) => Framing::Chunked,
        (_, _, Some(0)) => Framing::None,
        (_, _, Some(length)) => Framing::Length(length),
        (_, _, None) => Framing::UntilClose,
    };
    let lines = parsed
        .headers
        .iter()
        .map(|h| (range(head, h.name.as_bytes()), range(head, h.value)));
    let keep_alive = if version == 1 {
        !said.close
    } else {
        said.keep_alive && !said.close
    };
    Ok(Some(Response {
        status,
        headers: lines.collect(),
        framing,
        keep_alive: keep_alive && framing != Framing::UntilClose,
        length,
    }))
}

#[cfg(test)]
mod tests;
