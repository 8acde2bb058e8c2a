//! Rejected messages, and the fields and values that their errors name.

use super::names;
use crate::message::{parse, MessageError, MessageLimits};
use test_case::test_case;
use wheelspread::time::Span;

const LIMITS: MessageLimits = MessageLimits {
    proxy_count: 8,
    max_attempt_duration: Span::ZERO,
};

#[test_case("joined sidecar 8 az a share 1 standing 1", "sidecar"; "a proxy id out of range")]
#[test_case("joined sidecar 1 az c share 1 standing 1", "`c` is not a zone"; "an unknown zone")]
#[test_case("joined sidecar 1 az a share nan standing 1", "share"; "not a number")]
#[test_case("joined sidecar 1 az a share 1 standing 2", "standing"; "not a flag")]
#[test_case("joined sidecar 1 az a share 1", "standing"; "a missing field")]
#[test_case("heard az a host x n 5 bad 6 avg 1 window 1000", "bad"; "more failures than attempts")]
#[test_case("heard az a host x n 5.5 bad 0 avg 1 window 1000", "`n`"; "a fractional number of attempts")]
#[test_case("heard az a host x n 5 bad 0 avg -1 window 1000", "avg"; "a negative duration")]
#[test_case("heard az a host x n 5 bad 0 window 1000", "avg"; "no mean latency although attempts succeeded")]
#[test_case("heard az a host x n 5 bad 5 avg 0 window 0", "window"; "a window of 0 ms")]
#[test_case("heard az a host x n 5 bad 5 window 1000 report busy:7", "report"; "a utilization out of range")]
#[test_case("heard az a host x n 5 bad 5 window 1000 report heat:1", "`heat` is not a zone, operation or metric"; "an unknown metric")]
#[test_case("usage sidecar 1 kind fetch n 1 bad 0 window 1000", "`fetch` is not a zone, operation"; "an unknown operation")]
#[test_case("usage sidecar 1 kind lookup n 99999999999 bad 0 window 1000", "`n`"; "a rate out of range")]
#[test_case("applied sidecar 1 version 70000 lag_ms 1", "version"; "a marker out of range")]
#[test_case("applied sidecar 1 version 7 lag_ms inf", "lag_ms"; "an infinite latency")]
#[test_case("applied sidecar 1 version 7 version 8 lag_ms 1", "`version` is given twice"; "a duplicate field")]
#[test_case("update drop x", "unknown message kind `update`"; "a message that only controllers send")]
#[test_case("ping now", "without a value"; "a name without a value")]
fn an_invalid_message_is_rejected_with_an_error_that_names_the_field(text: &str, expected: &str) {
    let strings: Vec<&[u8]> = text.split(' ').map(str::as_bytes).collect();
    let error: MessageError =
        parse(&strings, &names(), &LIMITS).expect_err("the message is invalid");
    assert!(error.to_string().contains(expected), "{error}");
}
