//! The exact JSON of the baseline in the state file, whatever the Rust names are.

use wheelspread_config_rollout::watch::{Baseline, OperationService};

#[test]
fn a_baseline_keeps_its_stored_form() {
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
