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
pub enum Own {
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

const OWN: &[(Own, u16, &str)] = &[
    (Own::BadRequest, 400, "Bad Request"),
    (Own::NoOperation, 404, "Not Found"),
    (Own::RequestTimeout, 408, "Request Timeout"),
    (Own::TooLarge, 413, "Content Too Large"),
    (Own::HeadTooLarge, 431, "Request Header Fields Too Large"),
    (Own::RateLimited, 429, "Too Many Requests"),
    (Own::BadNode, 502, "Bad Gateway"),
    (Own::NoNode, 503, "Service Unavailable"),
    (Own::NodeTimeout, 504, "Gateway Timeout"),
];

pub fn own(answer: Own, said: &str, again_in: Option<Span>, is_head: bool, close: bool) -> Vec<u8> {
    let (status, reason) = OWN
        .iter()
        .find(|row| row.0 == answer)
        .map_or((500, "Error"), |row| (row.1, row.2));
    let again = again_in.map_or(String::new(), |span| {
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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case("/quote/7?x=/a", "quote"; "a path")]
    #[test_case("/quote?x", "quote"; "a query")]
    #[test_case("/", ""; "the root")]
    #[test_case("http://a/quote", ""; "an absolute form")]
    #[test_case("*", ""; "a star")]
    fn operations(target: &str, wanted: &str) {
        assert_eq!(operation(target), wanted);
    }

    #[test]
    fn a_request_is_passed_on_without_what_speaks_of_one_connection() {
        let text = b"POST /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nX: y\r\nContent-Length: 2\r\n\r\nhi";
        let request = wheelspread_http1::request(text, Default::default())
            .expect("fine")
            .expect("whole");
        let out = forward_request(text, &request, b"hi");
        let wanted = "POST /quote HTTP/1.1\r\nHost: a\r\nX: y\r\nContent-Length: 2\r\n\r\nhi";
        assert_eq!(String::from_utf8_lossy(&out), wanted);
    }

    #[test]
    fn who_is_turned_away_is_told_when_to_come_again() {
        let text = own(
            Own::RateLimited,
            "turned away",
            Some(Span::from_seconds(0.2)),
            false,
            false,
        );
        let text = String::from_utf8_lossy(&text).into_owned();
        assert!(
            text.starts_with("HTTP/1.1 429 ") && text.contains("Retry-After: 1\r\n"),
            "{text}"
        );
    }
}
