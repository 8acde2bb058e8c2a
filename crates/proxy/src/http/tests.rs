use super::*;
use test_case::test_case;

#[test_case("/quote/7?x=/a", "quote"; "path")]
#[test_case("/quote?x", "quote"; "query")]
#[test_case("/", ""; "root")]
#[test_case("http://a/quote", ""; "absolute form")]
#[test_case("*", ""; "asterisk form")]
fn the_operation_is_the_first_path_segment(target: &str, expected: &str) {
    assert_eq!(operation(target), expected);
}

#[test]
fn a_forwarded_request_has_no_hop_by_hop_headers() {
    let text = b"POST /quote HTTP/1.1\r\nHost: a\r\nConnection: close\r\nExpect: 100-continue\r\nX: y\r\nContent-Length: 2\r\n\r\nhi";
    let request = wheelspread_http1::parse_request(text, Default::default())
        .expect("valid request")
        .expect("complete request");
    let out = forward_request(text, &request, b"hi");
    let expected = "POST /quote HTTP/1.1\r\nHost: a\r\nX: y\r\nContent-Length: 2\r\n\r\nhi";
    assert_eq!(String::from_utf8_lossy(&out), expected);
}

#[test]
fn a_rate_limited_response_has_a_retry_after_header() {
    let response = LocalResponse {
        status: LocalStatus::RateLimited,
        message: "turned away",
        retry_after: Some(Span::from_seconds(0.2)),
    };
    let text = String::from_utf8_lossy(&response.encode(false, false)).into_owned();
    assert!(
        text.starts_with("HTTP/1.1 429 ") && text.contains("Retry-After: 1\r\n"),
        "{text}"
    );
}
