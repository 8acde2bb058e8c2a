//! Finding the lines of fields in block and flow style.

use super::*;
use test_case::test_case;

const TEXT: &str = "conductor:\n  number: 0\n\ndeployment:\n  # where they stand\n  zones: [a, b]\n  \
    operations:\n    - name: quote\n      billed_value: -1\n    - name: book\n      billed_value: 0\n  \
    rules:\n    warm_after: 1s\n";

#[test_case("conductor.number", 2; "a key of the first block")]
#[test_case("deployment.zones.1", 6; "within a list in one line")]
#[test_case("deployment.operations.0.name", 8; "the first key of an item")]
#[test_case("deployment.operations.1.billed_value", 11; "a later key of a later item")]
#[test_case("deployment.rules.warm_after (seconds)", 13; "with its unit")]
#[test_case("deployment.rules.missing", 12; "not written: the line of what it belongs to")]
fn the_line_of_a_field_is_found(field: &str, line: usize) {
    assert_eq!(line_of(TEXT, field), Some(line));
}
