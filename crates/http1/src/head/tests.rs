use super::*;
use proptest::prelude::*;
use test_case::test_case;

fn read(text: &str) -> Result<Option<Request>, MessageError> {
    parse_request(text.as_bytes(), Limits::default())
}

#[test]
fn a_plain_request_is_read() {
    let text =
        "POST /quote/7 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello";
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
    MessageError::ContentLengthAndChunked; "both framings")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\n",
    MessageError::DuplicateContentLength; "two lengths, though equal")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5, 5\r\n\r\n", MessageError::InvalidContentLength; "a list of lengths")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n", MessageError::InvalidContentLength; "a signed length")]
#[test_case("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", MessageError::UnsupportedTransferCoding; "another coding")]
#[test_case("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", MessageError::ChunkedInHttp10; "chunked in 1.0")]
#[test_case("GET / HTTP/1.1\nHost: a\n\n", MessageError::BareLineFeed; "bare line feeds")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nX: 1\n\r\n", MessageError::BareLineFeed; "one bare line feed")]
#[test_case("GET / HTTP/1.1\r\nHost : a\r\n\r\n", MessageError::Syntax("a header's name"); "a space before the colon")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n", MessageError::Syntax("a header's name"); "a folded line")]
#[test_case("GET / HTTP/1.1\r\n\r\n", MessageError::InvalidHost; "no host")]
#[test_case("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", MessageError::InvalidHost; "two hosts")]
#[test_case("GET / HTTP/2.0\r\nHost: a\r\n\r\n", MessageError::Syntax("the version"); "another version")]
fn what_could_be_read_in_two_ways_is_refused(text: &str, why: MessageError) {
    assert_eq!(read(text), Err(why));
}

#[test]
fn a_head_that_never_ends_is_refused_at_its_limit() {
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
#[test_case("HTTP/1.1 200 OK\r\n\r\n", false, Framing::UntilClose, false; "until the end")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", true, Framing::None, true; "to a HEAD")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", false, Framing::None, true; "no content")]
#[test_case("HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\n", false, Framing::Length(3), false; "of 1.0")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, Framing::Chunked, true; "chunked")]
fn a_responses_end_is_known(
    text: &str,
    is_reply_to_head: bool,
    framing: Framing,
    keep_alive: bool,
) {
    let read = parse_response(text.as_bytes(), is_reply_to_head, Limits::default())
        .expect("fine")
        .expect("whole");
    assert_eq!((read.framing, read.keep_alive), (framing, keep_alive));
}

proptest! {
    #[test]
    fn no_bytes_panic_and_more_bytes_change_no_verdict(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = parse_response(&bytes, false, Limits::default());
        if let Ok(Some(read)) = parse_request(&bytes, Limits::default()) {
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
