//! The report as JSON, as printed by `drill --json`, and as a table.

use super::{FaultReport, Report};
use crate::audit::{CheckedValue, RuleResult, Verdict};
use serde_json::json;

#[test]
fn faults_are_reported_as_troubles_and_controllers_as_conductors() {
    let report = Report {
        drill: "short".to_string(),
        seed: 3,
        baseline: None,
        verdict: Verdict {
            rules: Vec::new(),
            invocations: Default::default(),
            service: 1.0,
            service_by_operation: Default::default(),
            effects_twice: 0,
            half_read_tables: 0,
            repeats: 0.0,
        },
        faults: vec![FaultReport {
            kind: "vanish".to_string(),
            at_s: 4.0,
            for_s: 2.0,
            injected: true,
        }],
        table_swaps: 9,
        controller_cpu_s: 0.5,
        drain_orders_s: vec![0.25],
        changes_told: (2, 1),
    };
    let written = serde_json::to_value(report).expect("the report is serializable");
    let expected = json!({
        "drill": "short",
        "seed": 3,
        "baseline": null,
        "rules": [],
        "invocations": {"offered": 0, "succeeded": 0, "rate_limited": 0, "errored": 0, "late": 0},
        "service": 1.0,
        "service_by_operation": {},
        "effects_twice": 0,
        "half_read_tables": 0,
        "repeats": 0.0,
        "troubles": [{"kind": "vanish", "at_s": 4.0, "for_s": 2.0, "injected": true}],
        "table_swaps": 9,
        "conductor_cpu_s": 0.5,
        "drain_orders_s": [0.25],
        "changes_told": [2, 1],
    });
    assert_eq!(written, expected);
}

#[test]
fn the_table_lists_rules_service_faults_drains_changes_and_the_verdict() {
    let rule = |rule, broken| RuleResult {
        rule,
        checked: 100,
        broken,
        worst: CheckedValue {
            value: 0.5,
            allowed: 3.0,
            at_s: 1.25,
            who: "gateway 1".to_string(),
        },
    };
    let report = Report {
        drill: "short".to_string(),
        seed: 3,
        baseline: Some("even".to_string()),
        verdict: Verdict {
            rules: vec![rule(1, 0), rule(2, 0), rule(3, 1), rule(4, 0), rule(5, 0)],
            invocations: Default::default(),
            service: 0.98765,
            service_by_operation: [("Get".to_string(), 1.0), ("Put".to_string(), 0.5)].into(),
            effects_twice: 4,
            half_read_tables: 5,
            repeats: 0.0125,
        },
        faults: vec![
            FaultReport {
                kind: "vanish".to_string(),
                at_s: 4.0,
                for_s: 2.0,
                injected: true,
            },
            FaultReport {
                kind: "meteor".to_string(),
                at_s: 0.0,
                for_s: 0.0,
                injected: false,
            },
        ],
        table_swaps: 9,
        controller_cpu_s: 0.5,
        drain_orders_s: vec![0.25, 0.5, 0.75],
        changes_told: (2, 1),
    };
    let expected = "\
drill short (seed 3), even weights
rule                                           checked    broken     worst     allowed  at
1 no gateway without a node (s)                    100         0      0.50        3.00  1.2 s gateway 1
2 no effect twice (effects of one invocation)       100         0      0.50        3.00  1.2 s gateway 1
3 nothing sent to a node that leaves (s)           100         1      0.50        3.00  1.2 s gateway 1
4 no cold node pushed over (x its capacity)        100         0      0.50        3.00  1.2 s gateway 1
5 short channel (lines, messages)                  100         0      0.50        3.00  1.2 s gateway 1
invocations: 0 offered, 0 succeeded, 0 late, 0 rate-limited, 0 errored
service: 0.988 (Get 1.000, Put 0.500)
effects twice: 4; tables half read: 5; repeats: 1.2% of first tries; tables swapped: 9
troubles: vanish 4 s, meteor 0 s (not injected)
drains by order: 3 by conductor and node, last try after 0.50 s in the middle, 0.75 s at most
changes and undoes told: 2, taken: 1
CPU of conductors: 500ms
A RULE WAS BROKEN
";
    assert_eq!(report.table(), expected);
}
