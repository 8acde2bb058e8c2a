//! Heads as they are passed on, and the responses that come from the proxy itself.

use std::ops::Range;
use wheelspread::time::Span;
use wheelspread_http1::{Request, Response};
use wheelspread_xds::orca;

/// Name and value of a header, as places in the bytes of its message.
type HeaderRange = (Range<usize>, Range<usize>);

/// Headers that speak of one connection and not of the message, so they are not passed on.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "upgrade",
    "expect",
];

fn is_hop_by_hop(name: &[u8]) -> bool {
    HOP_BY_HOP_HEADERS
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
}

/// The request as it goes to a node: one buffer, used for every attempt.
pub fn forward_request(bytes: &[u8], request: &Request, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(request.length + body.len());
    out.extend_from_slice(&bytes[request.method.clone()]);
    out.push(b' ');
    out.extend_from_slice(&bytes[request.target.clone()]);
    out.extend_from_slice(b" HTTP/1.1\r\n");
    copy_headers(bytes, &request.headers, &mut out, is_hop_by_hop);
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// The response's head as it goes to the client. What a node tells of its load is not the client's.
pub fn forward_response(bytes: &[u8], response: &Response, close: bool, out: &mut Vec<u8>) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(response.status.to_string().as_bytes());
    out.extend_from_slice(b" \r\n");
    let is_dropped =
        |name: &[u8]| is_hop_by_hop(name) || name.eq_ignore_ascii_case(orca::HEADER.as_bytes());
    copy_headers(bytes, &response.headers, out, is_dropped);
    out.extend_from_slice(if close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
}

fn copy_headers(
    bytes: &[u8],
    headers: &[HeaderRange],
    out: &mut Vec<u8>,
    is_dropped: impl Fn(&[u8]) -> bool,
) {
    for (name, value) in headers {
        if !is_dropped(&bytes[name.clone()]) {
            out.extend_from_slice(&bytes[name.clone()]);
            out.extend_from_slice(b": ");
            out.extend_from_slice(&bytes[value.clone()]);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// The value of a header, the first if there are several.
pub fn header<'a>(bytes: &'a [u8], headers: &[HeaderRange], wanted: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(name, _)| bytes[name.clone()].eq_ignore_ascii_case(wanted.as_bytes()))?;
    std::str::from_utf8(&bytes[found.1.clone()]).ok()
}

/// The operation that a target names: the first part of its path.
pub fn operation(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or("");
    path.strip_prefix('/')
        .unwrap_or("")
        .split('/')
        .next()
        .unwrap_or("")
}

/// Why the proxy itself responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalStatus {
    /// Two readers could understand the request differently.
    BadRequest,
    /// No operation has the name that the path begins with.
    UnknownOperation,
    /// The rest of the request did not come in time.
    RequestTimeout,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The head is longer than allowed.
    HeadTooLarge,
    /// Rejected by the admission ratio or the rate limit of the table.
    RateLimited,
    /// The last attempt failed.
    UpstreamFailed,
    /// There is no node to send to.
    NoNode,
    /// The last attempt took too long.
    UpstreamTimeout,
}

impl LocalStatus {
    /// Status code and reason phrase, as they stand in the status line.
    fn code_and_reason(self) -> &'static str {
        match self {
            LocalStatus::BadRequest => "400 Bad Request",
            LocalStatus::UnknownOperation => "404 Not Found",
            LocalStatus::RequestTimeout => "408 Request Timeout",
            LocalStatus::BodyTooLarge => "413 Content Too Large",
            LocalStatus::HeadTooLarge => "431 Request Header Fields Too Large",
            LocalStatus::RateLimited => "429 Too Many Requests",
            LocalStatus::UpstreamFailed => "502 Bad Gateway",
            LocalStatus::NoNode => "503 Service Unavailable",
            LocalStatus::UpstreamTimeout => "504 Gateway Timeout",
        }
    }
}

/// A response that comes from the proxy itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalResponse<'a> {
    /// Why the proxy responds.
    pub status: LocalStatus,
    /// The body, without its line end.
    pub message: &'a str,
    /// When the client may come again.
    pub retry_after: Option<Span>,
}

impl LocalResponse<'_> {
    /// The response as bytes; without a body if the request is a `HEAD`.
    pub fn encode(&self, is_head: bool, close: bool) -> Vec<u8> {
        let status = self.status.code_and_reason();
        let length = self.message.len() + 1;
        // Whole seconds, rounded up: the header has no finer form.
        let retry_after = self.retry_after.map_or(String::new(), |span| {
            format!("Retry-After: {}\r\n", span.seconds().ceil().max(1.0))
        });
        let close = if close { "Connection: close\r\n" } else { "" };
        let body = if is_head {
            String::new()
        } else {
            format!("{}\n", self.message)
        };
        format!(
            "HTTP/1.1 {status}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{retry_after}{close}\r\n{body}"
        )
        .into_bytes()
    }
}

#[cfg(test)]
mod tests;
