use super::*;
use test_case::test_case;

#[test_case("250ms", 0.25, "250ms")]
#[test_case("1.2s", 1.2, "1200ms")]
#[test_case("2m", 120.0, "120s")]
#[test_case("1 h", 3600.0, "3600s"; "space before the unit")]
#[test_case("15us", 15e-6, "15us")]
fn a_span_is_parsed_and_formatted(text: &str, seconds: f64, written: &str) {
    let span = read(text).expect("the span is valid");
    assert_eq!(span, Span::from_seconds(seconds));
    assert_eq!(write(span), written);
    assert_eq!(read(written), Ok(span));
}

#[test_case("12", "is not a time span"; "no unit")]
#[test_case("5 days", "is not a time span"; "unknown unit")]
#[test_case("fast", "is not a time span"; "no number")]
#[test_case("-1s", "should lie between 0 and 30 days"; "negative")]
#[test_case("721h", "should lie between 0 and 30 days"; "too long")]
fn an_error_quotes_the_invalid_span(text: &str, reason: &str) {
    let error = read(text).expect_err("the span is invalid").to_string();
    assert!(error.starts_with(&format!("`{text}` {reason}")), "{error}");
}
