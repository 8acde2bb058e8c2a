use super::*;
use proptest::prelude::*;
use test_case::test_case;

fn read(text: &str) -> Result<Option<Request>, MessageError> {
    parse_request(text.as_bytes(), Limits::default())
}

#[test]
fn a_request_head_is_parsed() {
    let text =
        "POST /quote/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
    let request = read(text).expect("valid").expect("complete");
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
    assert_eq!(read(&text[..40]), Ok(None), "the head is incomplete");
}

#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    MessageError::ContentLengthAndChunked; "both framings")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
    MessageError::DuplicateContentLength; "two lengths, though equal")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\n", MessageError::InvalidContentLength; "a list of lengths")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n", MessageError::InvalidContentLength; "a signed length")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", MessageError::UnsupportedTransferCoding; "another coding")]
#[test_case("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", MessageError::ChunkedInHttp10; "chunked in 1.0")]
#[test_case("GET / HTTP/1.1\nHost: a\n\n", MessageError::BareLineFeed; "bare line feeds")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nX: 1\n\r\n", MessageError::BareLineFeed; "one bare line feed")]
#[test_case("GET / HTTP/1.1\r\nHost : a\r\n\r\n", MessageError::Syntax("header field name"); "a space before the colon")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", MessageError::Syntax("header field name"); "a folded line")]
#[test_case("GET / HTTP/1.1\r\n\r\n", MessageError::InvalidHost; "no host")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", MessageError::InvalidHost; "two hosts")]
#[test_case("GET / HTTP/2.0\r\nHost: a\r\n\r\n", MessageError::Syntax("HTTP version"); "another version")]
fn ambiguous_or_invalid_heads_are_rejected(text: &str, expected: MessageError) {
    assert_eq!(read(text), Err(expected));
}

#[test]
fn a_head_above_the_limits_is_rejected() {
    let limits = Limits {
        max_head_bytes: 100,
        max_headers: 2,
    };
    assert_eq!(parse_request(&[b'a'; 99], limits), Ok(None));
    assert_eq!(
        parse_request(&[b'a'; 100], limits),
        Err(MessageError::HeadTooLong(100))
    );
    let many = b"GET / HTTP/1.1\r\nHost: a\r\nB: 1\r\nC: 2\r\n\r\n";
    assert_eq!(
        parse_request(many, limits),
        Err(MessageError::TooManyHeaders(2))
    );
}

#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", false, Framing::Length(3), true; "a length")]
#[test_case("HTTP/1.1 200 OK\r\n\r\n", false, Framing::UntilClose, false; "until the connection closes")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true, Framing::None, true; "a reply to HEAD")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", false, Framing::None, true; "no content")]
#[test_case("HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n", false, Framing::Length(3), false; "HTTP/1.0")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, Framing::Chunked, true; "chunked")]
fn the_framing_and_keep_alive_of_a_response_are_determined(
    text: &str,
    is_reply_to_head: bool,
    framing: Framing,
    keep_alive: bool,
) {
    let read = parse_response(text.as_bytes(), is_reply_to_head, Limits::default())
        .expect("valid")
        .expect("complete");
    assert_eq!((read.framing, read.keep_alive), (framing, keep_alive));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_response(&bytes, false, Limits::default());
        if let Ok(Some(read)) = parse_request(&bytes, Limits::default()) {
            prop_assert!(read.length <= bytes.len());
        }
    }

    #[test]
    fn a_partial_head_is_incomplete_or_parsed_like_the_whole(cut in 1usize..120, length in 0u64..1_000_000, close: bool) {
        let close = if close { "Connection: close\r\n" } else { "" };
        let text = format!("PUT /book HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n{close}X-Y: z\r\n\r\nrest");
        let from_all = read(&text).expect("valid");
        let part = read(&text[..cut.min(text.len())]).expect("valid");
        prop_assert!(part.is_none() || part == from_all);
    }
}
