//! Parsing a controller's configuration file: valid files, and errors that name the line.

use super::*;
use test_case::test_case;

const TEXT: &str = "\
conductor:
  name: c0
  listen: 127.0.0.1:0
  tables: tables
  list: nodes.json
deployment:
  zones: [north]
  operations:
    - name: quote
      latency_objective: 1.2s
      integration_timeout: 4s
      billed_value: 2
      repeat: idempotent
  rules: {without_node_at_most: 2s, drain_grace: 2s, cold_start_share: 0.2, warm_after: 10s,
          cold_overload_factor: 4, cold_overload_span: 2s}
  channel: {lines_waiting_at_most: 1000, lines_per_second: 1000, delay_at_most: 500ms}
";

#[test]
fn a_valid_file_is_parsed() {
    let file = ControllerFile::parse(TEXT, Path::new("c.yaml")).expect("a valid file");
    assert_eq!(
        file.deployment.operations[0].latency_objective.seconds(),
        1.2
    );
    assert_eq!(file.deployment.load_reports.period.seconds(), 1.0);
}

#[test_case("billed_value: 2", "billed_value: -2", "c.yaml: line 12, deployment.operations.0.billed_value"; "invalid value")]
#[test_case("billed_value: 2", "billed_valu: 2", "unknown field `billed_valu`"; "misspelt field")]
#[test_case("latency_objective: 1.2s", "latency_objective: 1.2", "a number and one of us, ms, s"; "duration without a unit")]
#[test_case("name: c0", "name: c0\n  number: 1", "line 3, conductor.number: 1 of 1"; "number beyond the count of controllers")]
#[test_case("listen: 127.0.0.1:0", "listen: here", "conductor.listen"; "invalid address")]
#[test_case("name: c0", "name: [c0", "at line"; "invalid YAML")]
fn the_error_for_an_invalid_value_names_its_place(valid: &str, invalid: &str, expected: &str) {
    let error = ControllerFile::parse(&TEXT.replace(valid, invalid), Path::new("c.yaml"));
    let error = error.expect_err("an invalid file").to_string();
    assert!(error.contains(expected), "{error}");
}
