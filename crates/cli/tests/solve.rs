//! `wheelspread solve` as a process: its output and exit codes.

use std::process::{Command, Output};

fn solve(arguments: &[&str]) -> Output {
    let fleet = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");
    Command::new(env!("CARGO_BIN_EXE_wheelspread"))
        .arg("solve")
        .arg(fleet)
        .args(arguments)
        .output()
        .expect("the process runs")
}

#[test]
fn a_fleet_is_solved_with_json_and_text_output() {
    let output = solve(&["--json"]);
    assert!(output.status.success());
    let result: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("one JSON object");
    assert_eq!(result["status"], "optimal");
    assert!(result["value_per_s"].as_f64() >= result["objective"].as_f64());
    let loads: f64 = result["hosts"]
        .as_array()
        .expect("hosts")
        .iter()
        .filter_map(|host| host["load"].as_f64())
        .sum();
    assert!(
        (loads - 43.0 * 0.22).abs() < 1e-6,
        "the load of all 43 invocations per second: {loads}"
    );
    assert!(
        result["solve_ms"].as_f64().is_some_and(|ms| ms < 1000.0) && result["flows"].is_array()
    );
    let text = String::from_utf8_lossy(&solve(&["--explain", "s2"]).stdout).into_owned();
    assert!(text.contains("it drains"), "{text}");
    let text = String::from_utf8_lossy(&solve(&["--wrong-by", "0.5"]).stderr).into_owned();
    assert!(text.contains("at worst"), "{text}");
    let text = String::from_utf8_lossy(&solve(&["--what-if", "large=0.5"]).stdout).into_owned();
    assert!(
        text.contains("n1 is given 1.99 times what it can do"),
        "{text}"
    );
    let text = String::from_utf8_lossy(&solve(&["--what-if", "huge=0.5"]).stderr).into_owned();
    assert!(text.contains("no host is of kind `huge`"), "{text}");
}

#[test]
fn an_unsolvable_fleet_is_refused_with_a_reason_and_exit_code_2() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("fleet.yaml");
    for (text, reason) in [
        (
            "hosts: []\ngateways: []\noperations: [{name: q, billed_value: 1, work: 1}]",
            "no host",
        ),
        (
            "hosts: [{id: a, zone: z, capacity: 1, colour: red}]\ngateways: []\noperations: []",
            "unknown field `colour`",
        ),
    ] {
        std::fs::write(&path, text).expect("written");
        let output = Command::new(env!("CARGO_BIN_EXE_wheelspread"))
            .arg("solve")
            .arg(&path)
            .arg("--json")
            .output();
        let output = output.expect("the process runs");
        assert_eq!(output.status.code(), Some(2));
        let result: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
        assert!(
            result["status"] == "refused"
                && result["reason"]
                    .as_str()
                    .is_some_and(|text| text.contains(reason))
        );
    }
}
