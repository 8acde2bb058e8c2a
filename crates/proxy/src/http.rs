//! Encoding of forwarded requests and response heads, and of responses that the proxy generates itself.

use std::ops::Range;
use wheelspread::time::Span;
use wheelspread_http1::{Request, Response};
use wheelspread_xds::orca;

/// Name and value of a header, as byte ranges of the message.
type HeaderRange = (Range<usize>, Range<usize>);

/// Headers that apply to a single connection and are not forwarded.
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
        .any(|hop_by_hop| name.eq_ignore_ascii_case(hop_by_hop.as_bytes()))
}

/// Encodes the request for a node. The result is reused for every attempt.
pub fn forward_request(bytes: &[u8], request: &Request, body: &[u8]) -> Vec<u8> {
    let mut output = Vec::with_capacity(request.length + body.len());
    output.extend_from_slice(&bytes[request.method.clone()]);
    output.push(b' ');
    output.extend_from_slice(&bytes[request.target.clone()]);
    output.extend_from_slice(b" HTTP/1.1\r\n");
    copy_headers(bytes, &request.headers, &mut output, is_hop_by_hop);
    output.extend_from_slice(b"\r\n");
    output.extend_from_slice(body);
    output
}

/// Encodes the head of a response for the client. The load metrics header is removed, because it is meant for the
/// proxy.
pub fn forward_response(bytes: &[u8], response: &Response, close: bool, output: &mut Vec<u8>) {
    output.extend_from_slice(b"HTTP/1.1 ");
    output.extend_from_slice(response.status.to_string().as_bytes());
    output.extend_from_slice(b" \r\n");
    let is_dropped =
        |name: &[u8]| is_hop_by_hop(name) || name.eq_ignore_ascii_case(orca::HEADER.as_bytes());
    copy_headers(bytes, &response.headers, output, is_dropped);
    output.extend_from_slice(if close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
}

fn copy_headers(
    bytes: &[u8],
    headers: &[HeaderRange],
    output: &mut Vec<u8>,
    is_dropped: impl Fn(&[u8]) -> bool,
) {
    for (name, value) in headers {
        if !is_dropped(&bytes[name.clone()]) {
            output.extend_from_slice(&bytes[name.clone()]);
            output.extend_from_slice(b": ");
            output.extend_from_slice(&bytes[value.clone()]);
            output.extend_from_slice(b"\r\n");
        }
    }
}

/// The value of the first header with this name; `None` if there is none or it is not UTF-8.
pub fn header<'a>(bytes: &'a [u8], headers: &[HeaderRange], header_name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(name, _)| bytes[name.clone()].eq_ignore_ascii_case(header_name.as_bytes()))?;
    std::str::from_utf8(&bytes[found.1.clone()]).ok()
}

/// The operation name in a request target: the first segment of the path. Empty if the target does not start with `/`.
pub fn operation(target: &str) -> &str {
    let path = target.split(['?', '#']).next().unwrap_or("");
    path.strip_prefix('/')
        .unwrap_or("")
        .split('/')
        .next()
        .unwrap_or("")
}

/// The reason for a response that the proxy generates itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalStatus {
    /// The request is malformed or ambiguous, so the proxy and a node could parse it differently.
    BadRequest,
    /// No operation has the name in the request target.
    UnknownOperation,
    /// The rest of the request did not arrive in time.
    RequestTimeout,
    /// The body exceeds the configured maximum.
    BodyTooLarge,
    /// The head exceeds the configured maximum, or has too many headers.
    HeadTooLarge,
    /// The request was rejected by the admission ratio, the rate limit or a table that admits nothing.
    RateLimited,
    /// The last attempt failed, other than by a time-out.
    UpstreamFailed,
    /// No node is available.
    NoNode,
    /// The buffers of all clients exceed their limit.
    BuffersFull,
    /// The last attempt timed out.
    UpstreamTimeout,
}

impl LocalStatus {
    /// Status code and reason phrase for the status line.
    fn code_and_reason(self) -> &'static str {
        match self {
            LocalStatus::BadRequest => "400 Bad Request",
            LocalStatus::UnknownOperation => "404 Not Found",
            LocalStatus::RequestTimeout => "408 Request Timeout",
            LocalStatus::BodyTooLarge => "413 Content Too Large",
            LocalStatus::HeadTooLarge => "431 Request Header Fields Too Large",
            LocalStatus::RateLimited => "429 Too Many Requests",
            LocalStatus::UpstreamFailed => "502 Bad Gateway",
            LocalStatus::NoNode | LocalStatus::BuffersFull => "503 Service Unavailable",
            LocalStatus::UpstreamTimeout => "504 Gateway Timeout",
        }
    }
}

/// A response that the proxy generates itself.
#[derive(Clone, Copy, Debug)]
pub struct LocalResponse<'a> {
    /// The reason for the response.
    pub status: LocalStatus,
    /// The body, without the line feed that ends it.
    pub message: &'a str,
    /// Time after which the client may retry; `None` sends no `Retry-After` header.
    pub retry_after: Option<Span>,
}

impl LocalResponse<'_> {
    /// Encodes the response, without a body if the request method is `HEAD`.
    pub fn encode(&self, is_head: bool, close: bool) -> Vec<u8> {
        let status = self.status.code_and_reason();
        let length = self.message.len() + 1;
        // Rounded up, because the header only allows whole seconds.
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
