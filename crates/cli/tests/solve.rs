//! `wheelspread solve` as it is called.

use std::process::{Command, Output};

fn solve(arguments: &[&str]) -> Output {
    let fleet = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/fleet.yaml");
    Command::new(env!("CARGO_BIN_EXE_wheelspread"))
        .arg("solve")
        .arg(fleet)
        .args(arguments)
        .output()
        .expect("it runs")
}

#[test]
fn a_fleet_is_solved_with_json_and_text_output() {
    let output = solve(&["--json"]);
    assert!(output.status.success());
    let told: serde_json::Value = serde_json::from_slice(&output.stdout).expect("one JSON object");
    assert_eq!(told["status"], "optimal");
    assert!(told["value_per_s"].as_f64() >= told["objective"].as_f64());
    let loads: f64 = told["hosts"]
        .as_array()
        .expect("hosts")
        .iter()
        .filter_map(|host| host["load"].as_f64())
        .sum();
    assert!(
        (loads - 43.0 * 0.22).abs() < 1e-6,
        "all 43 invocations a second: {loads}"
    );
    assert!(told["solve_ms"].as_f64().is_some_and(|ms| ms < 1000.0) && told["flows"].is_array());
    let said = String::from_utf8_lossy(&solve(&["--explain", "s2"]).stdout).into_owned();
    assert!(said.contains("it drains"), "{said}");
    let said = String::from_utf8_lossy(&solve(&["--wrong-by", "0.5"]).stderr).into_owned();
    assert!(said.contains("at worst"), "{said}");
    let said = String::from_utf8_lossy(&solve(&["--what-if", "large=0.5"]).stdout).into_owned();
    assert!(
        said.contains("n1 is given 1.99 times what it can do"),
        "{said}"
    );
    let said = String::from_utf8_lossy(&solve(&["--what-if", "huge=0.5"]).stderr).into_owned();
    assert!(said.contains("no host is of kind `huge`"), "{said}");
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
        let output = output.expect("it runs");
        assert_eq!(output.status.code(), Some(2));
        let told: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
        assert!(
            told["status"] == "refused"
                && told["reason"]
                    .as_str()
                    .is_some_and(|said| said.contains(reason))
        );
    }
}
