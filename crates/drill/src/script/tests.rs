//! Scripts and day files of the operators' bench.

use super::*;

#[test]
fn the_built_in_script_is_valid_and_the_faults_of_a_day_file_are_scaled_to_it() {
    let script = Script::parse(BUILT_IN).expect("the built-in script is valid");
    let day = r#"{"length": 100000000, "servers": [1,2,3,4], "troubles": [
        {"kind": "vanish", "at": 50000000, "len": 10000000, "on": [2], "size": 0},
        {"kind": "meteor", "at": 1, "len": 1}]}"#;
    let length = script.length.seconds();
    let DayScript {
        script,
        not_injected,
    } = script.with_day(day).expect("the day file is valid");
    assert_eq!(
        (not_injected, script.faults.len()),
        (vec!["meteor".to_string()], 1)
    );
    let fault = &script.faults[0];
    assert_eq!((fault.kind, fault.ratio), (FaultKind::Vanish, 0.25));
    assert!((fault.at.seconds() - length / 2.0).abs() < 1e-6);
}

#[test]
fn errors_name_the_invalid_value_of_a_script() {
    let wrong = BUILT_IN
        .replace("gateways: ", "gateways: 9")
        .replace("kind: deploy", "kind: earthquake");
    assert!(Script::parse(&wrong).is_err_and(|error| error.to_string().contains("earthquake")));
    let wrong = BUILT_IN.replace("rate: ", "rate: -");
    assert!(Script::parse(&wrong).is_err_and(|error| error.to_string().contains("traffic: rate")));
}
