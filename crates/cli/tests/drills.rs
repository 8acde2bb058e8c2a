//! Short drills with real controller processes, and sabotaged ones, each of which must be found to break
//! its rule and no other.

use std::path::PathBuf;
use test_case::test_case;
use wheelspread_drill::{run, Options, Report, RuleViolation, Script};

const SHORT: &str = include_str!("../../drill/days/short.yaml");

fn play(text: &str, sabotage: Option<RuleViolation>) -> Report {
    let script = Script::parse(text).expect("the script is fine");
    let options = Options {
        program: PathBuf::from(env!("CARGO_BIN_EXE_wheelspread")),
        seed: 1,
        even_weights: sabotage.is_some(),
        violation: sabotage,
        keep_directory: None,
        discard_state: false,
        not_injected: Vec::new(),
        progress: &mut |_| {},
    };
    run(&script, options).expect("it can be played")
}

/// All rules were put to the test and kept, and most requests were served.
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
    let report = play(SHORT, None);
    assert_all_rules_checked_and_kept(&report);
    assert_eq!(report.faults.len(), 4);
}

#[test]
fn a_short_drill_over_streams_keeps_all_rules() {
    let text = SHORT.replace(
        "\ndeployment:\n",
        "\ndeployment:\n  fronts: {files: false, streams: true}\n",
    );
    let report = play(&text, None);
    assert_all_rules_checked_and_kept(&report);
    assert!(
        report.table_swaps > 50,
        "they came over streams: {}",
        report.table()
    );
}

#[test]
fn two_proxies_restarted_under_load_during_a_rolling_update_keep_all_rules() {
    let troubles = "troubles:
  - {kind: deploy, at: 1s, for: 4s, part: 0.6, size: 0.2, extra: 1}
  - {kind: balancer_crash, at: 2s, for: 700ms, part: 0.34, whom: gateway}
  - {kind: answer_lost, at: 3s, for: 3s, part: 0.2, size: 0.5}
";
    let report = play(
        &format!(
            "{}{troubles}",
            script_without_faults().replace("length: 7s", "length: 9s")
        ),
        None,
    );
    assert!(report.verdict.all_rules_hold(), "{}", report.table());
    // Whom a dead gateway had taken in is lost; the others go on.
    assert!(report.verdict.service > 0.8, "{}", report.table());
}

/// The short day without its faults.
fn script_without_faults() -> String {
    SHORT
        .split("troubles:")
        .next()
        .unwrap_or("")
        .replace("length: 10s", "length: 7s")
}

#[test_case(RuleViolation::EmptyTable, 1, 90; "an empty table")]
#[test_case(RuleViolation::RetryUnsafe, 2, 90; "a repeat of what has effects")]
#[test_case(RuleViolation::KeepDrained, 3, 90; "a drained node that is kept")]
#[test_case(RuleViolation::OverloadWarming, 4, 400; "a cold node that is flooded")]
#[test_case(RuleViolation::ExceedMessageCap, 5, 90; "a channel that is overfilled")]
fn each_sabotage_breaks_its_rule_and_no_other(sabotage: RuleViolation, rule: u8, rate: u32) {
    let report = play(
        &script_without_faults().replace("rate: 90", &format!("rate: {rate}")),
        Some(sabotage),
    );
    let broken: Vec<u8> = report
        .verdict
        .rules
        .iter()
        .filter(|judged| judged.broken > 0)
        .map(|judged| judged.rule)
        .collect();
    assert_eq!(broken, [rule], "{}", report.table());
    assert!(!report.verdict.all_rules_hold());
}
