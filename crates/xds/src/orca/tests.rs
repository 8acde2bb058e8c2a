//! Load metrics headers in both formats.

use super::*;
use test_case::test_case;

#[test_case("TEXT cpu_utilization=0.5,named_metrics.queue=3", &[0.5, 3.0]; "text")]
#[test_case("TEXT cpu_utilization: 0.5, named_metrics.queue: 3", &[0.5, 3.0]; "text with colons")]
#[test_case(r#"JSON {"cpuUtilization": 0.5, "namedMetrics": {"queue": 3}}"#, &[0.5, 3.0]; "json")]
#[test_case(r#"JSON {"cpu_utilization": 0.5, "named_metrics": {"queue": -3}}"#, &[0.5]; "a negative value is skipped")]
#[test_case("TEXT cpu_utilization=NaN,named_metrics.queue=", &[]; "values that are not numbers")]
#[test_case("BIN AAAA", &[]; "an unsupported format")]
#[test_case("JSON {", &[]; "truncated JSON")]
fn valid_metrics_are_read_and_others_are_skipped(header: &str, wanted: &[f64]) {
    let metrics = read(header);
    let found: Vec<f64> = ["cpu_utilization", "named_metrics.queue"]
        .iter()
        .filter_map(|name| metrics.get(*name).copied())
        .collect();
    assert_eq!(found, wanted, "{metrics:?}");
}

#[test]
fn a_written_header_is_read_again() {
    let header = write(&[("cpu_utilization", 0.25), ("named_metrics.queue", 7.0)]);
    assert_eq!(read(&header).into_values().collect::<Vec<_>>(), [0.25, 7.0]);
}
