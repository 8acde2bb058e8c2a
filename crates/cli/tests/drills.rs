//! Short drills with real controller processes, and drills that violate a rule on purpose, each of which must be
//! reported to break that rule and no other.

use std::path::PathBuf;
use test_case::test_case;
use wheelspread_drill::{run, Options, Report, RuleViolation, Script};

const SHORT: &str = include_str!("../../drill/days/short.yaml");

fn run_drill(text: &str, violation: Option<RuleViolation>) -> Report {
    let script = Script::parse(text).expect("a valid script");
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_wheelspread")),
        seed: 1,
        even_weights: violation.is_some(),
        violation,
        keep_directory: None,
        discard_state: false,
        not_injected: Vec::new(),
        progress: &mut |_| {},
    };
    run(&script, options).expect("the drill runs")
}

/// Checks that every rule was checked at least once and kept, and that more than 90 % of the billed value was served.
fn assert_all_rules_checked_and_kept(report: &Report) {
    assert!(report.verdict.all_rules_hold(), "{}", report.table());
    assert!(
        report.verdict.rules.iter().all(|rule| rule.checked > 0),
        "{}",
        report.table()
    );
    assert!(report.verdict.service > 0.9, "{}", report.table());
}

#[test]
fn a_short_drill_keeps_all_rules() {
    let report = run_drill(SHORT, None);
    assert_all_rules_checked_and_kept(&report);
    assert_eq!(report.faults.len(), 4);
}

#[test]
fn a_short_drill_over_streams_keeps_all_rules() {
    let text = SHORT.replace(
        "\ndeployment:\n",
        "\ndeployment:\n  fronts: {files: false, streams: true}\n",
    );
    let report = run_drill(&text, None);
    assert_all_rules_checked_and_kept(&report);
    assert!(
        report.table_swaps > 50,
        "too few table updates over streams: {}",
        report.table()
    );
}

#[test]
fn two_proxies_restarted_under_load_during_a_rolling_update_keep_all_rules() {
    let faults = "troubles:
  - {kind: deploy, at: 1s, for: 4s, part: 0.6, size: 0.2, extra: 1}
  - {kind: balancer_crash, at: 2s, for: 700ms, part: 0.34, whom: gateway}
  - {kind: answer_lost, at: 3s, for: 3s, part: 0.2, size: 0.5}
";
    let report = run_drill(
        &format!(
            "{}{faults}",
            script_without_faults().replace("length: 7s", "length: 9s")
        ),
        None,
    );
    assert!(report.verdict.all_rules_hold(), "{}", report.table());
    // Requests that a killed proxy had accepted are lost; all others are served.
    assert!(report.verdict.service > 0.8, "{}", report.table());
}

/// The short script without its faults, 7 s long.
fn script_without_faults() -> String {
    SHORT
        .split("troubles:")
        .next()
        .unwrap_or("")
        .replace("length: 10s", "length: 7s")
}

#[test_case(RuleViolation::EmptyTable, 1, 90; "an empty table")]
#[test_case(RuleViolation::RetryUnsafe, 2, 90; "a retry of a side-effecting request")]
#[test_case(RuleViolation::KeepDrained, 3, 90; "a drained node that stays in tables")]
#[test_case(RuleViolation::OverloadWarming, 4, 400; "a cold node that gets all requests")]
#[test_case(RuleViolation::ExceedMessageCap, 5, 90; "table updates above the rate limit")]
fn each_violation_breaks_its_rule_and_no_other(violation: RuleViolation, rule: u8, rate: u32) {
    let report = run_drill(
        &script_without_faults().replace("rate: 90", &format!("rate: {rate}")),
        Some(violation),
    );
    let broken: Vec<u8> = report
        .verdict
        .rules
        .iter()
        .filter(|result| result.broken > 0)
        .map(|result| result.rule)
        .collect();
    assert_eq!(broken, [rule], "{}", report.table());
    assert!(!report.verdict.all_rules_hold());
}
