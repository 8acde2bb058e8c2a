//! Persistence across restarts, and restoring a state file that was written when types and fields had other names.

use super::*;
use crate::drains::DrainOrders;
use persisted_facts::{restore_capacity_facts, restore_endpoint_records};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::endpoint_list::EndpointSnapshot;
use wheelspread_controller_core::Deployment;
use wheelspread_reactor::{Poll, Token};

fn deployment() -> Deployment {
    let text =
        "{zones: [north], operations: [{name: quote, latency_objective: 1s, integration_timeout: 3s,
      billed_value: 1, repeat: idempotent}], rules: {without_node_at_most: 2s, drain_grace: 2s,
      cold_start_share: 0.2, warm_after: 5s, cold_overload_factor: 4, cold_overload_span: 2s},
      channel: {lines_waiting_at_most: 1000, lines_per_second: 5000, delay_at_most: 300ms}}";
    serde_yaml_ng::from_str(text).expect("a valid deployment")
}

fn endpoint_list(version: &str, ports: std::ops::Range<u16>) -> EndpointList {
    let record = |port| EndpointRecord {
        node: NodeId {
            address: [127, 0, 0, 1],
            port,
        },
        zone: "north".into(),
        kind: String::new(),
        cell: String::new(),
        draining: false,
        weight: 1.0,
        started: Some((format!("run-{port}"), Span::from_seconds(60.0))),
    };
    let list = EndpointSnapshot {
        version: version.into(),
        records: ports.map(record).collect(),
    };
    let mut nodes = EndpointList::default();
    assert_eq!(
        nodes
            .apply_snapshot(Moment::from_seconds(1.0), Ok(list), &deployment(), true)
            .rejection,
        None
    );
    nodes
}

/// One run of a state writer for these nodes; returns the state that the file holds at its end.
fn run(path: &Path, nodes: &EndpointList) -> PersistedState {
    let poll = Poll::new().expect("epoll");
    let waker = Waker::new(&poll, Token(1)).expect("eventfd");
    let (mut writer, _) = StateWriter::start(path, 1000.0, waker).expect("opened");
    let capacities = nodes.listed().map(|(record, _)| CapacitySnapshot {
        node: record.node,
        log_capacity: 3.0,
        evidence: 5.0,
        kind_base_latency: 0.1,
    });
    // Nothing is deleted before a list was read.
    writer.persist_changes(
        1000.0,
        Version(7),
        &EndpointList::default(),
        std::iter::empty(),
    );
    writer.persist_changes(1000.0, Version(7), nodes, capacities);
    drop(writer);
    Store::inspect(path).expect("there").state
}

#[test]
fn facts_of_removed_nodes_are_deleted_and_unchanged_facts_are_not_written_again() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    let first = run(&path, &endpoint_list("1", 0..4));
    assert_eq!(
        (
            restore_endpoint_records(&first, 1000.0).count(),
            restore_capacity_facts(&first).count()
        ),
        (4, 4)
    );
    let again = run(&path, &endpoint_list("1", 0..4));
    assert_eq!(again.facts, first.facts);
    let third = run(&path, &endpoint_list("2", 0..3));
    assert_eq!(
        (
            restore_endpoint_records(&third, 1000.0).count(),
            restore_capacity_facts(&third).count()
        ),
        (3, 3)
    );
    let mut found = RecoveredState::default();
    restore_core_state(&third, 1000.0, &mut found);
    assert_eq!(
        found
            .endpoint_list
            .map(|list| (list.version, list.records.len())),
        Some(("2".into(), 3))
    );
}

/// The state written on 2026-12-02 by the program of commit 6ac25c1, before types and fields were renamed, by a
/// controller with four ready nodes and one draining node, two proxies under load, the change `spring-1` applied and
/// kept, and one node drained by order; the controller was then stopped by SIGTERM.
fn state_written_before_the_renaming() -> PersistedState {
    let original = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/state-before-renaming");
    // A copy is opened, because the store locks the file that it opens and may repair it.
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("state");
    std::fs::copy(original, &path).expect("copied");
    let (store, found) = Store::open(&path).expect("it opens");
    assert_eq!(found, OpenOutcome::Valid);
    assert_eq!(store.bytes(), 10_940);
    store.state().clone()
}

#[test]
fn the_configuration_and_its_change_in_a_state_file_written_before_the_renaming_are_restored() {
    let persisted = state_written_before_the_renaming();
    let values: BTreeMap<String, String> = [
        ("nodes.127.0.0.1:29002.weight", "0.5"),
        ("operations.quote.billed_value", "3"),
    ]
    .map(|(path, value)| (path.to_string(), value.to_string()))
    .into();
    assert_eq!(persisted.commits, 24);
    assert_eq!(persisted.configuration.version, 2);
    assert_eq!(persisted.configuration.values, values);

    let changes: Vec<&String> = persisted.changes.keys().collect();
    assert_eq!(changes, ["spring-1"]);
    let record = serde_json::to_value(&persisted.changes["spring-1"]).expect("a record");
    assert_eq!(record["state"], "kept");
    assert_eq!(record["change"]["by"], "dispatch");
    assert_eq!(record["change"]["base"], 1);
    assert_eq!(record["made"], 2);
    assert_eq!(record["unmade"], serde_json::Value::Null);
    assert_eq!(record["findings"].as_array().map(Vec::len), Some(4));
}

/// Port, capacity, evidence and shortest mean latency (seconds) of each node in the state file.
const STORED_CAPACITIES: [(u16, f64, f64, f64); 4] = [
    (
        29001,
        3.057230155873882,
        9.91643710445189,
        0.021764226855751648,
    ),
    (
        29002,
        3.163900960756027,
        9.357002880724885,
        0.021764226855751648,
    ),
    (
        29003,
        3.7926316704384218,
        10.100095724330274,
        0.02068131696366463,
    ),
    (
        29004,
        4.420015121935379,
        11.830905366809377,
        0.02068131696366463,
    ),
];

#[test]
fn the_list_and_the_capacity_snapshots_in_a_state_file_written_before_the_renaming_are_restored() {
    let persisted = state_written_before_the_renaming();
    let unix_seconds = 1_796_234_100.0;
    let mut found = RecoveredState::default();
    restore_core_state(&persisted, unix_seconds, &mut found);

    assert_eq!(found.version_floor, Version(57 + 10_000));
    let list = found.endpoint_list.expect("a list");
    assert_eq!(list.version, "1");
    let ports: Vec<u16> = list.records.iter().map(|record| record.node.port).collect();
    assert_eq!(ports, [29001, 29002, 29003, 29004, 29005]);
    let south = &list.records[3];
    assert_eq!(
        (south.zone.as_str(), south.kind.as_str()),
        ("south", "small")
    );
    assert_eq!((south.weight, south.draining), (2.0, false));
    let (run, age) = south.started.clone().expect("a start");
    assert_eq!(run, "1780000000");
    assert!((age.seconds() - 16_234_099.0).abs() < 0.01, "{age:?}");
    assert!(list.records[4].draining && list.records[4].started.is_none());

    // serde_json parses a number with an error of up to one unit in the last place.
    let is_close = |one: f64, other: f64| (one - other).abs() <= other * f64::EPSILON;
    assert_eq!(found.capacities.len(), STORED_CAPACITIES.len());
    for (snapshot, (port, capacity, evidence, quickest)) in
        found.capacities.iter().zip(STORED_CAPACITIES)
    {
        assert_eq!(snapshot.node.port, port);
        assert!(is_close(snapshot.log_capacity, capacity), "{snapshot:?}");
        assert!(is_close(snapshot.evidence, evidence), "{snapshot:?}");
        assert!(
            is_close(snapshot.kind_base_latency, quickest),
            "{snapshot:?}"
        );
    }
}

#[test]
fn the_drain_in_a_state_file_written_before_the_renaming_is_restored() {
    let persisted = state_written_before_the_renaming();
    let drains = DrainOrders::restore(Moment::default(), &persisted, 0.05);
    let drains: Vec<serde_json::Value> = drains
        .drains()
        .map(|drain| serde_json::to_value(drain).expect("a drain"))
        .collect();
    let [drain] = drains.as_slice() else {
        panic!("one drain is expected: {drains:?}");
    };
    assert_eq!(drain["order"]["node"], "127.0.0.1:29003");
    assert_eq!(drain["order"]["word"], "drain");
    assert_eq!(drain["order"]["by"], "operator");
    assert_eq!(drain["order"]["given_ms"], 1_796_234_064_302_u64);
}
