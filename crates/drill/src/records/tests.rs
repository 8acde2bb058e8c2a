//! The spelling of the records on disk, which `docs/drills.md` describes and tools read.

use super::{ClientOutcome, Listed, Record};
use serde_json::json;
use std::collections::BTreeMap;

fn written(record: Record) -> serde_json::Value {
    serde_json::to_value(record).expect("it is JSON")
}

#[test]
fn proxies_are_written_as_gateways_and_controllers_as_conductors() {
    let joined = Record::Joined {
        proxy: 3,
        controller: 1,
    };
    assert_eq!(
        written(joined),
        json!({"what": "joined", "gateway": 3, "conductor": 1})
    );
    let swapped = Record::Swapped {
        controller: 1,
        proxy: 3,
        version: 7,
        hash: "ab".to_string(),
        lines: BTreeMap::from([("Get".to_string(), vec![("n:1".to_string(), 0.5)])]),
    };
    assert_eq!(
        written(swapped),
        json!({"what": "swapped", "gateway": 3, "conductor": 1, "version": 7, "hash": "ab",
            "lines": {"Get": [["n:1", 0.5]]}})
    );
    let done = Record::Done {
        proxy: 3,
        id: "a.0".to_string(),
        operation: "Get".to_string(),
        attempt: 0,
        latency: 0.25,
        outcome: ClientOutcome::RateLimited,
    };
    assert_eq!(
        written(done),
        json!({"what": "done", "gateway": 3, "id": "a.0", "operation": "Get", "attempt": 0,
            "latency": 0.25, "outcome": "rate-limited"})
    );
}

#[test]
fn faults_are_written_as_troubles() {
    let fault = Record::Fault {
        kind: "vanish".to_string(),
        injected: true,
        span: 2.0,
    };
    assert_eq!(
        written(fault),
        json!({"what": "trouble", "kind": "vanish", "injected": true, "span": 2.0})
    );
}

#[test]
fn what_the_drill_does_to_controllers_is_written_as_before() {
    assert_eq!(
        written(Record::ControllerStarted { controller: 0 }),
        json!({"what": "conductor_started", "conductor": 0})
    );
    assert_eq!(
        written(Record::ControllerKilled { controller: 0 }),
        json!({"what": "conductor_killed", "conductor": 0})
    );
    let node = Listed {
        zone: 2,
        draining: false,
        started: -4.0,
    };
    let listed = Record::Listed {
        controller: 0,
        version: 5,
        nodes: BTreeMap::from([("n:1".to_string(), node)]),
    };
    assert_eq!(
        written(listed),
        json!({"what": "listed", "conductor": 0, "version": 5,
            "nodes": {"n:1": {"zone": 2, "draining": false, "started": -4.0}}})
    );
}
