//! Tests the exact JSON of the baseline in the state file, which must not change when a Rust name does.

use wheelspread_config_rollout::watch::{Baseline, OperationService};

#[test]
fn the_stored_json_of_a_baseline_does_not_change() {
    let stored = r#"[{"asked":12.0,"succeeded":11.0,"errored_share":0.25,"latency_s":0.5}]"#;
    let baseline = Baseline(vec![OperationService {
        invocations: 12.0,
        succeeded: 11.0,
        errored_share: 0.25,
        latency_s: 0.5,
    }]);
    assert_eq!(
        serde_json::to_string(&baseline).expect("it serializes"),
        stored
    );
    let read: Baseline = serde_json::from_str(stored).expect("it deserializes");
    assert_eq!(read, baseline);
}
