//! Settings by their names on the wire: their names here, and the errors for those that can't be used.

use serde_json::{json, Value};
use test_case::test_case;
use wheelspread_settings::{check, metric_name, parse, Names};

#[test]
fn settings_get_our_names_and_lists_are_flattened_by_position() {
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
        "what is not known is skipped"
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

fn usable() -> Value {
    json!({"peers_total": 2, "zones": ["a", "b"], "kinds": ["k"],
        "classes": [{"name": "lookup", "aim": 1.5, "deadline": 5.0, "idempotency": "read_like"},
            {"name": "order", "aim": 1.5, "deadline": 5.0, "idempotency": "never heard of"}],
        "rules": {"overload_factor": 4.0, "start_capacity": 0.22, "warm_after": 16.0},
        "extra": {"backlog": 24000.0, "head": 4.0, "period": 1.0, "proxy_count": 8, "push_delay_max": 0.5}})
}

#[test]
fn settings_of_a_customer_that_names_only_what_is_needed_can_be_used() {
    assert_eq!(check(&usable()), Ok(()));
    let mut more = usable();
    more["goal"] = json!({"new": [1, 2]});
    more["extra"]["stays_local"] = json!([true, false]);
    assert_eq!(check(&more), Ok(()), "what is not known is skipped");
}

#[test_case("/zones", Value::Null, "`zones` is missing"; "a list is missing")]
#[test_case("/zones", json!([]), "`zones` should be a list of 1 to 250, it is []"; "no zone")]
#[test_case("/zones/1", json!("a"), "`zones.1` is \"a\", as `zones.0` is"; "the same zone twice")]
#[test_case("/classes/1/name", json!("lookup"), "`classes.1.name` is \"lookup\""; "the same class twice")]
#[test_case("/classes/1/deadline", json!("5 s"), "`classes.1.deadline` should be a number above 0, it is \"5 s\"";
    "a text for a number")]
#[test_case("/classes/0/idempotency", Value::Null, "`classes.0.idempotency` is missing"; "nothing on repeats")]
#[test_case("/rules/warm_after", json!(-1), "`rules.warm_after` should be a number of at least 0"; "below nothing")]
#[test_case("/extra/period", json!(0), "`extra.period` should be a number above 0, it is 0"; "no time")]
#[test_case("/extra/proxy_count", json!(70000), "`extra.proxy_count` should be a number above 0, 65535 at most";
    "more proxies than ids")]
#[test_case("/extra/backlog", Value::Null, "`extra.backlog` is missing"; "a figure of a rule is missing")]
#[test_case("/kinds/0", json!(7), "`kinds.0` should be a text, it is 7"; "a number for a name")]
fn what_can_t_be_used_is_named(at: &str, value: Value, why: &str) {
    let mut settings = usable();
    *settings.pointer_mut(at).expect("a setting") = value;
    let wrong = check(&settings).expect_err("it can't be used").to_string();
    assert!(wrong.starts_with(why), "{wrong}");
}

#[test]
fn more_classes_than_ids_are_refused() {
    let mut settings = usable();
    let class = |at: usize| json!({"name": format!("c{at}"), "aim": 1, "deadline": 2, "idempotency": "read_like"});
    settings["classes"] = (0..17).map(class).collect();
    let wrong = check(&settings).expect_err("too many");
    assert_eq!(wrong.field, "classes");
}
