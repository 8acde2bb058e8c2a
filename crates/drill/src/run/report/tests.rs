//! The report as JSON, which `drill --json` prints.

use super::{FaultReport, Report};
use crate::audit::Verdict;
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
    let written = serde_json::to_value(report).expect("it is JSON");
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
