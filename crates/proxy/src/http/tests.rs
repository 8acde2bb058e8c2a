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
        LocalResponse::RateLimited,
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
