//! Reading heads.

use crate::{BadMessage, Limits};
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
fn end(bytes: &[u8], limits: Limits) -> Result<Option<usize>, BadMessage> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate().take(limits.head) {
        if *byte != b'\n' {
            continue;
        }
        if at == 0 || bytes[at - 1] != b'\r' {
            return Err(BadMessage::BareLineFeed);
        }
        // An empty line ends it; one before the request line is not taken for it.
        if at - 1 == line && line > 0 {
            return Ok(Some(at + 1));
        }
        line = at + 1;
    }
    if bytes.len() >= limits.head {
        Err(BadMessage::HeadTooLong(limits.head))
    } else {
        Ok(None)
    }
}

fn syntax(error: httparse::Error, limits: Limits) -> BadMessage {
    match error {
        httparse::Error::TooManyHeaders => BadMessage::TooManyHeaders(limits.headers),
        httparse::Error::HeaderName => BadMessage::Syntax("a header's name"),
        httparse::Error::HeaderValue => BadMessage::Syntax("a header's value"),
        httparse::Error::Token => BadMessage::Syntax("the first line"),
        httparse::Error::Version => BadMessage::Syntax("the version"),
        httparse::Error::Status => BadMessage::Syntax("the status"),
        httparse::Error::NewLine => BadMessage::Syntax("a line's end"),
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

fn said(headers: &[httparse::Header]) -> Result<Said, BadMessage> {
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
                return Err(BadMessage::TwoLengths);
            }
            let digits =
                !value.is_empty() && value.len() <= 18 && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).map_err(|_| BadMessage::BadLength)?;
            said.length = Some(
                text.parse()
                    .ok()
                    .filter(|_| digits)
                    .ok_or(BadMessage::BadLength)?,
            );
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if said.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(BadMessage::Coding);
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
        return Err(BadMessage::LengthAndChunked);
    }
    Ok(said)
}

/// Reads a request's head; `None` while it is not whole.
pub fn request(bytes: &[u8], limits: Limits) -> Result<Option<Request>, BadMessage> {
    let Some(length) = end(bytes, limits)? else {
        return Ok(None);
    };
    let head = &bytes[..length];
    let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let headers = &mut room[..limits.headers.min(MOST_HEADERS)];
    let mut parsed = httparse::Request::new(headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        Ok(_) => return Err(BadMessage::Syntax("a line's end")),
        Err(error) => return Err(syntax(error, limits)),
    }
    let (Some(method), Some(target), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(BadMessage::Syntax("the first line"));
    };
    let said = said(parsed.headers)?;
    if version == 1 && said.hosts != 1 || said.hosts > 1 {
        return Err(BadMessage::Host);
    }
    if version == 0 && said.chunked {
        return Err(BadMessage::ChunkedInOld);
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
) -> Result<Option<Response>, BadMessage> {
    let Some(length) = end(bytes, limits)? else {
        return Ok(None);
    };
    let head = &bytes[..length];
    let mut room = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let headers = &mut room[..limits.headers.min(MOST_HEADERS)];
    let mut parsed = httparse::Response::new(headers);
    match parsed.parse(head) {
        Ok(httparse::Status::Complete(read)) if read == length => {}
        Ok(_) => return Err(BadMessage::Syntax("a line's end")),
        Err(error) => return Err(syntax(error, limits)),
    }
    let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
        return Err(BadMessage::Syntax("the first line"));
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
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    fn read(text: &str) -> Result<Option<Request>, BadMessage> {
        request(text.as_bytes(), Limits::default())
    }

    #[test]
    fn a_plain_request_is_read() {
        let text = "POST /quote/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
        let request = read(text).expect("fine").expect("whole");
        assert_eq!(
            (&text[request.method.clone()], &text[request.target.clone()]),
            ("POST", "/quote/7")
        );
        assert_eq!(
            (request.framing, request.keep_alive),
            (Framing::Length(5), false)
        );
        assert_eq!(&text[request.length..], "hello");
        let (name, value) = request.headers[0].clone();
        assert_eq!((&text[name], &text[value]), ("Host", "a"));
        assert_eq!(read(&text[..40]), Ok(None), "not whole yet");
    }

    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        BadMessage::LengthAndChunked; "both framings")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
        BadMessage::TwoLengths; "two lengths, though equal")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\n", BadMessage::BadLength; "a list of lengths")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n", BadMessage::BadLength; "a signed length")]
    #[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", BadMessage::Coding; "another coding")]
    #[test_case("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", BadMessage::ChunkedInOld; "chunked in 1.0")]
    #[test_case("GET / HTTP/1.1\nHost: a\n\n", BadMessage::BareLineFeed; "bare line feeds")]
    #[test_case("GET / HTTP/1.1\r\nHost: a\r\nX: 1\n\r\n", BadMessage::BareLineFeed; "one bare line feed")]
    #[test_case("GET / HTTP/1.1\r\nHost : a\r\n\r\n", BadMessage::Syntax("a header's name"); "a space before the colon")]
    #[test_case("GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", BadMessage::Syntax("a header's name"); "a folded line")]
    #[test_case("GET / HTTP/1.1\r\n\r\n", BadMessage::Host; "no host")]
    #[test_case("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", BadMessage::Host; "two hosts")]
    #[test_case("GET / HTTP/2.0\r\nHost: a\r\n\r\n", BadMessage::Syntax("the version"); "another version")]
    fn what_could_be_read_in_two_ways_is_refused(text: &str, why: BadMessage) {
        assert_eq!(read(text), Err(why));
    }

    #[test]
    fn a_head_that_never_ends_is_refused_at_its_limit() {
        let limits = Limits {
            head: 100,
            headers: 2,
        };
        assert_eq!(request(&[b'a'; 99], limits), Ok(None));
        assert_eq!(
            request(&[b'a'; 100], limits),
            Err(BadMessage::HeadTooLong(100))
        );
        let many = b"GET / HTTP/1.1\r\nHost: a\r\nB: 1\r\nC: 2\r\n\r\n";
        assert_eq!(request(many, limits), Err(BadMessage::TooManyHeaders(2)));
    }

    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", false, Framing::Length(3), true; "a length")]
    #[test_case("HTTP/1.1 200 OK\r\n\r\n", false, Framing::UntilClose, false; "until the end")]
    #[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true, Framing::None, true; "to a HEAD")]
    #[test_case("HTTP/1.1 204 No Content\r\n\r\n", false, Framing::None, true; "no content")]
    #[test_case("HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n", false, Framing::Length(3), false; "of 1.0")]
    #[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, Framing::Chunked, true; "chunked")]
    fn a_responses_end_is_known(text: &str, to_head: bool, framing: Framing, keep_alive: bool) {
        let read = response(text.as_bytes(), to_head, Limits::default())
            .expect("fine")
            .expect("whole");
        assert_eq!((read.framing, read.keep_alive), (framing, keep_alive));
    }

    proptest! {
        #[test]
        fn no_bytes_panic_and_more_bytes_change_no_verdict(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
            let _ = response(&bytes, false, Limits::default());
            if let Ok(Some(read)) = request(&bytes, Limits::default()) {
                prop_assert!(read.length <= bytes.len());
            }
        }

        #[test]
        fn a_head_is_read_alike_however_it_comes(cut in 1usize..120, length in 0u64..1_000_000, close: bool) {
            let close = if close { "Connection: close\r\n" } else { "" };
            let text = format!("PUT /book HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n{close}X-Y: z\r\n\r\nrest");
            let whole = read(&text).expect("fine");
            let part = read(&text[..cut.min(text.len())]).expect("fine");
            prop_assert!(part.is_none() || part == whole);
        }
    }
}
