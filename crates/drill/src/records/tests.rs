//! The names in the records on disk, which `docs/drills.md` describes and tools read.

use super::{ClientOutcome, ListedNodeState, Record};
use serde_json::json;
use std::collections::BTreeMap;

fn serialize(record: Record) -> serde_json::Value {
    serde_json::to_value(record).expect("records are serializable")
}

#[test]
fn proxies_are_written_as_gateways_and_controllers_as_conductors() {
    let joined = Record::Joined {
        proxy: 3,
        controller: 1,
    };
    assert_eq!(
        serialize(joined),
        json!({"what": "joined", "gateway": 3, "conductor": 1})
    );
    let swapped = Record::TablesSwapped {
        controller: 1,
        proxy: 3,
        version: 7,
        hash: "ab".to_string(),
        entries: BTreeMap::from([("Get".to_string(), vec![("n:1".to_string(), 0.5)])]),
    };
    assert_eq!(
        serialize(swapped),
        json!({"what": "swapped", "gateway": 3, "conductor": 1, "version": 7, "hash": "ab",
            "lines": {"Get": [["n:1", 0.5]]}})
    );
    let done = Record::InvocationEnded {
        proxy: 3,
        id: "a.0".to_string(),
        operation: "Get".to_string(),
        attempt: 0,
        latency: 0.25,
        outcome: ClientOutcome::RateLimited,
    };
    assert_eq!(
        serialize(done),
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
        serialize(fault),
        json!({"what": "trouble", "kind": "vanish", "injected": true, "span": 2.0})
    );
}

#[test]
fn controller_starts_and_kills_and_endpoint_lists_are_written_under_their_outer_names() {
    assert_eq!(
        serialize(Record::ControllerStarted { controller: 0 }),
        json!({"what": "conductor_started", "conductor": 0})
    );
    assert_eq!(
        serialize(Record::ControllerKilled { controller: 0 }),
        json!({"what": "conductor_killed", "conductor": 0})
    );
    let node = ListedNodeState {
        zone: 2,
        draining: false,
        started: -4.0,
    };
    let listed = Record::ListPublished {
        controller: 0,
        version: 5,
        nodes: BTreeMap::from([("n:1".to_string(), node)]),
    };
    assert_eq!(
        serialize(listed),
        json!({"what": "listed", "conductor": 0, "version": 5,
            "nodes": {"n:1": {"zone": 2, "draining": false, "started": -4.0}}})
    );
}
