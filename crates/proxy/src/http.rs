//! Heads as they are passed on, and the answers that a proxy gives of its own.

use wheelspread::time::Span;
use wheelspread_http1::{Request, Response};
use wheelspread_xds::orca;

/// Headers that speak of one connection and not of the message.
const ONE_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "upgrade",
    "expect",
];

fn one_hop(name: &[u8]) -> bool {
    ONE_HOP
        .iter()
        .any(|hop| name.eq_ignore_ascii_case(hop.as_bytes()))
}

/// The request as it goes to a node: one buffer, used for every try.
pub fn forward_request(bytes: &[u8], request: &Request, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(request.length + body.len());
    out.extend_from_slice(&bytes[request.method.clone()]);
    out.push(b' ');
    out.extend_from_slice(&bytes[request.target.clone()]);
    out.extend_from_slice(b" HTTP/1.1\r\n");
    copy_headers(bytes, &request.headers, &mut out, one_hop);
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// The response's head as it goes to the client. What nodes tell of their load is not the client's.
pub fn forward_response(bytes: &[u8], response: &Response, close: bool, out: &mut Vec<u8>) {
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(response.status.to_string().as_bytes());
    out.extend_from_slice(b" \r\n");
    let dropped = |name: &[u8]| one_hop(name) || name.eq_ignore_ascii_case(orca::HEADER.as_bytes());
    copy_headers(bytes, &response.headers, out, dropped);
    out.extend_from_slice(if close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
}

fn copy_headers(
    bytes: &[u8],
    headers: &[(std::ops::Range<usize>, std::ops::Range<usize>)],
    out: &mut Vec<u8>,
    dropped: impl Fn(&[u8]) -> bool,
) {
    for (name, value) in headers {
        if !dropped(&bytes[name.clone()]) {
            out.extend_from_slice(&bytes[name.clone()]);
            out.extend_from_slice(b": ");
            out.extend_from_slice(&bytes[value.clone()]);
            out.extend_from_slice(b"\r\n");
        }
    }
}

/// The value of a header, the first if there are several.
pub fn header<'a>(
    bytes: &'a [u8],
    headers: &[(std::ops::Range<usize>, std::ops::Range<usize>)],
    wanted: &str,
) -> Option<&'a str> {
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

/// Answers that come from the proxy itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalResponse {
    BadRequest,
    NoOperation,
    RequestTimeout,
    TooLarge,
    HeadTooLarge,
    RateLimited,
    BadNode,
    NoNode,
    NodeTimeout,
}

const OWN: &[(LocalResponse, u16, &str)] = &[
    (LocalResponse::BadRequest, 400, "Bad Request"),
    (LocalResponse::NoOperation, 404, "Not Found"),
    (LocalResponse::RequestTimeout, 408, "Request Timeout"),
    (LocalResponse::TooLarge, 413, "Content Too Large"),
    (
        LocalResponse::HeadTooLarge,
        431,
        "Request Header Fields Too Large",
    ),
    (LocalResponse::RateLimited, 429, "Too Many Requests"),
    (LocalResponse::BadNode, 502, "Bad Gateway"),
    (LocalResponse::NoNode, 503, "Service Unavailable"),
    (LocalResponse::NodeTimeout, 504, "Gateway Timeout"),
];

pub fn own(
    answer: LocalResponse,
    said: &str,
    retry_after: Option<Span>,
    is_head: bool,
    close: bool,
) -> Vec<u8> {
    let (status, reason) = OWN
        .iter()
        .find(|row| row.0 == answer)
        .map_or((500, "Error"), |row| (row.1, row.2));
    let again = retry_after.map_or(String::new(), |span| {
        format!("Retry-After: {}\r\n", span.seconds().ceil().max(1.0))
    });
    let close = if close { "Connection: close\r\n" } else { "" };
    let body = if is_head {
        String::new()
    } else {
        format!("{said}\n")
    };
    let length = said.len() + 1;
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{again}{close}\r\n{body}"
    )
    .into_bytes()
}

#[cfg(test)]
mod tests;
