//! Translation of settings to internal names, and the errors for invalid settings.

use serde_json::{json, Value};
use test_case::test_case;
use wheelspread_settings::{check, metric_name, parse, Names};

#[test]
fn settings_get_internal_names_and_lists_are_flattened_by_index() {
    let text = r#"{"az": 1, "zones": ["a", "b"], "classes": [{"name": "read", "aim": 1.5,
        "idempotency": "idempotency_key"}], "feedback": {"fields": ["busy", "q"]}, "new": {"key": 7}}"#;
    let settings = parse(text).expect("JSON");
    assert_eq!(settings.number("operation.0.latency_objective"), Ok(1.5));
    assert_eq!(settings.text("operation.0.repeat"), Ok("fingerprinted"));
    assert_eq!(
        (
            settings.number("zone.count"),
            settings.number("conductor.zone")
        ),
        (Ok(2.0), Ok(1.0))
    );
    assert_eq!(settings.text("report.field.0"), Ok("utilization"));
    assert!(
        !settings.0.keys().any(|name| name.contains("new")),
        "unknown settings are skipped"
    );
    assert!(parse("{").is_err());
    let names = Names::from_wire(&serde_json::from_str(text).expect("JSON"));
    assert_eq!(
        (names.zones, names.operations),
        (vec!["a".into(), "b".into()], vec!["read".into()])
    );
    assert_eq!(names.metrics, ["utilization", "queue"]);
    assert_eq!(
        (
            metric_name("util"),
            metric_name("queue"),
            metric_name("inflight")
        ),
        ("utilization", "queue", "in-flight")
    );
}

fn valid_settings() -> Value {
    json!({"peers_total": 2, "zones": ["a", "b"], "kinds": ["k"],
        "classes": [{"name": "lookup", "aim": 1.5, "deadline": 5.0, "idempotency": "read_like"},
            {"name": "order", "aim": 1.5, "deadline": 5.0, "idempotency": "never heard of"}],
        "rules": {"overload_factor": 4.0, "start_capacity": 0.22, "warm_after": 16.0},
        "extra": {"backlog": 24000.0, "head": 4.0, "period": 1.0, "proxy_count": 8, "push_delay_max": 0.5}})
}

#[test]
fn required_settings_suffice_and_unknown_settings_are_skipped() {
    assert_eq!(check(&valid_settings()), Ok(()));
    let mut settings = valid_settings();
    settings["goal"] = json!({"new": [1, 2]});
    settings["extra"]["stays_local"] = json!([true, false]);
    assert_eq!(check(&settings), Ok(()), "unknown settings are skipped");
}

#[test_case("/zones", Value::Null, "`zones` is missing"; "a list is missing")]
#[test_case("/zones", json!([]), "`zones` should be a list of 1 to 250 items, found []"; "no zone")]
#[test_case("/zones/1", json!("a"), "`zones.1` is \"a\", the same name as `zones.0`"; "the same zone twice")]
#[test_case("/classes/1/name", json!("lookup"), "`classes.1.name` is \"lookup\""; "the same class twice")]
#[test_case("/classes/1/deadline", json!("5 s"), "`classes.1.deadline` should be a number above 0, found \"5 s\"";
    "a text instead of a number")]
#[test_case("/classes/0/idempotency", Value::Null, "`classes.0.idempotency` is missing"; "a required text is missing")]
#[test_case("/rules/warm_after", json!(-1), "`rules.warm_after` should be a number of at least 0"; "a negative number")]
#[test_case("/extra/period", json!(0), "`extra.period` should be a number above 0, found 0"; "a zero period")]
#[test_case("/extra/proxy_count", json!(70000), "`extra.proxy_count` should be a number above 0 and at most 65535";
    "more proxies than ids")]
#[test_case("/extra/backlog", Value::Null, "`extra.backlog` is missing"; "a required number is missing")]
#[test_case("/kinds/0", json!(7), "`kinds.0` should be a non-empty text, found 7"; "a number instead of a name")]
fn the_error_for_an_invalid_setting_names_its_path_and_value(
    pointer: &str,
    value: Value,
    expected: &str,
) {
    let mut settings = valid_settings();
    *settings.pointer_mut(pointer).expect("a setting") = value;
    let error = check(&settings)
        .expect_err("the setting is invalid")
        .to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn more_classes_than_ids_are_rejected() {
    let mut settings = valid_settings();
    let class = |index: usize| json!({"name": format!("c{index}"), "aim": 1, "deadline": 2, "idempotency": "read_like"});
    settings["classes"] = (0..17).map(class).collect();
    let error = check(&settings).expect_err("too many classes");
    assert_eq!(error.field, "classes");
}
