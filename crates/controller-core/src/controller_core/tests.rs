//! Simulated runs of a controller with files and streams kept in memory.

use super::*;
use crate::deployment::tests::test_deployment;
use crate::endpoint_list::{EndpointRecord, EndpointSnapshot};
use crate::load_report::{LoadReport, NodeReport, OperationReport};
use crate::membership::{ProxyIdentity, StreamId};
use crate::publication::BundleId;
use crate::rollback::{RollbackError, RollbackResult};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::time::Span;

struct Harness {
    core: ControllerCore,
    now: Moment,
    list_version: u64,
    /// The tables that each proxy's files were last switched to.
    files: BTreeMap<String, Arc<TableSet>>,
    writes_fail: bool,
    log: Vec<LogEvent>,
    closed: Vec<(StreamId, String)>,
    retired: Vec<Version>,
    sends: Vec<(StreamId, Arc<TableSet>)>,
    rollbacks: Vec<Result<RollbackResult, RollbackError>>,
}

fn node(port: u16) -> NodeId {
    NodeId {
        address: [127, 0, 0, 1],
        port,
    }
}

fn record(port: u16, draining: bool, age: f64) -> EndpointRecord {
    let zone = if port.is_multiple_of(2) {
        "north"
    } else {
        "south"
    };
    EndpointRecord {
        node: node(port),
        zone: zone.to_string(),
        kind: String::new(),
        cell: String::new(),
        draining,
        weight: 1.0,
        started: Some((format!("{port}-{age}"), Span::from_seconds(age))),
    }
}

impl Harness {
    fn new(recovered: RecoveredState) -> Harness {
        Harness::with_deployment(test_deployment(), recovered)
    }

    fn with_deployment(plan: Deployment, recovered: RecoveredState) -> Harness {
        let now = Moment::from_seconds(1000.0);
        Harness {
            core: ControllerCore::start(now, 7, plan, 0, recovered)
                .expect("the deployment is valid"),
            now,
            list_version: 0,
            files: BTreeMap::new(),
            writes_fail: false,
            log: Vec::new(),
            closed: Vec::new(),
            retired: Vec::new(),
            sends: Vec::new(),
            rollbacks: Vec::new(),
        }
    }

    fn apply_list(&mut self, records: Vec<EndpointRecord>) {
        self.list_version += 1;
        let list = EndpointSnapshot {
            version: self.list_version.to_string(),
            records,
        };
        self.core
            .observe(self.now, Observation::EndpointList(Ok(list)));
        self.settle();
    }

    fn join(&mut self, stream: u64, name: &str, zone: &str) {
        let proxy_identity = ProxyIdentity {
            name: name.into(),
            zone: zone.into(),
            usual_rate: None,
        };
        self.core.observe(
            self.now,
            Observation::StreamOpened {
                stream: StreamId(stream),
                proxy_identity,
            },
        );
        self.settle();
    }

    fn subscribe(&mut self, stream: u64, name: &str, zone: &str, initial_version: Option<u64>) {
        let proxy_identity = ProxyIdentity {
            name: name.into(),
            zone: zone.into(),
            usual_rate: None,
        };
        let initial_version = initial_version.map(Version);
        self.core.observe(
            self.now,
            Observation::Subscribed {
                stream: StreamId(stream),
                proxy_identity,
                initial_version,
            },
        );
        self.settle();
    }

    fn roll_back(&mut self, request: u64, bundle: BundleId, version: Version) {
        let rollback = Observation::RollBack {
            request,
            bundle,
            version,
        };
        self.core.observe(self.now, rollback);
    }

    fn last_sent(&self, stream: u64) -> Option<&Arc<TableSet>> {
        self.sends
            .iter()
            .rev()
            .find(|(sent_to, _)| *sent_to == StreamId(stream))
            .map(|(_, set)| set)
    }

    fn settle(&mut self) {
        let mut effects = Vec::new();
        self.core.settle(self.now, &mut effects);
        for effect in effects {
            match effect {
                Effect::WriteTables { proxy, set } => {
                    let version = set.version;
                    let result = if self.writes_fail {
                        Err(TableWriteError::new("the disk is full"))
                    } else {
                        Ok(())
                    };
                    if result.is_ok() {
                        let before = self.files.insert(proxy.clone(), set);
                        assert!(
                            before.is_none_or(|before| before.version <= version),
                            "versions never decrease"
                        );
                    }
                    self.core.observe(
                        self.now,
                        Observation::TablesWritten {
                            proxy,
                            version,
                            result,
                        },
                    );
                }
                Effect::CloseStream { stream, reason } => {
                    self.closed.push((stream, reason));
                    self.core
                        .observe(self.now, Observation::StreamClosed { stream });
                }
                Effect::Log(event) => self.log.push(event),
                Effect::RetireVersion { version } => self.retired.push(version),
                Effect::AcceptStream { .. } => {}
                Effect::SendTables { stream, set } => self.sends.push((stream, set)),
                Effect::RollbackFinished { result, .. } => self.rollbacks.push(result),
            }
        }
    }

    /// Advances time as the controller's loop does, with one load report per second on each of the streams.
    fn advance(&mut self, seconds: f64, streams: &[u64]) {
        let end = self.now + Span::from_seconds(seconds);
        let mut next_report = self.now + Span::from_seconds(1.0);
        while self.now < end {
            let wake = self
                .core
                .wake_at(self.now)
                .max(self.now + Span::from_seconds(0.001));
            self.now = wake.min(next_report).min(end);
            if self.now >= next_report {
                next_report = next_report + Span::from_seconds(1.0);
                streams.iter().for_each(|stream| self.report(*stream));
            }
            self.settle();
        }
    }

    /// Sends the load report of a proxy that reads files: about ten successful `quote` requests per second.
    fn report(&mut self, stream: u64) {
        let Some((name, _)) = self.core.members.by_stream(StreamId(stream)) else {
            return;
        };
        let ports = self.nodes_of(name);
        let each = |port: &u16| NodeReport {
            node: Some(node(*port)),
            succeeded: 10 / ports.len().max(1) as u64 + 1,
            in_progress: 1,
            ..NodeReport::default()
        };
        let nodes = ports.iter().map(each).collect();
        let quote = OperationReport {
            operation: "quote".into(),
            nodes,
            ..OperationReport::default()
        };
        let report = LoadReport {
            window: Span::from_seconds(1.0),
            operations: vec![quote],
        };
        self.core.observe(
            self.now,
            Observation::LoadReport {
                stream: StreamId(stream),
                report,
            },
        );
    }

    fn nodes_of(&self, proxy: &str) -> Vec<u16> {
        let set = self.files.get(proxy);
        let entries = set.into_iter().flat_map(|set| &set.operations[0].entries);
        entries.map(|entry| entry.node.port).collect()
    }
}

fn started() -> Harness {
    let mut harness = Harness::new(RecoveredState::default());
    harness.apply_list((1..=8).map(|port| record(port, false, 500.0)).collect());
    harness.join(1, "n1", "north");
    harness.join(2, "s1", "south");
    harness.advance(3.0, &[1, 2]);
    harness
}

#[test]
fn a_proxy_that_joins_gets_tables_of_ready_nodes_at_once() {
    let mut harness = Harness::new(RecoveredState::default());
    harness.apply_list((1..=8).map(|port| record(port, false, 500.0)).collect());
    harness.join(1, "n1", "north");
    harness.advance(0.2, &[]);
    assert!(!harness.nodes_of("n1").is_empty());
    assert!(harness.files["n1"]
        .operations
        .iter()
        .all(|operation| operation.entries.iter().all(|entry| !entry.zone.is_empty())));
}

#[test]
fn a_drained_node_is_removed_from_all_files_within_half_a_second() {
    let mut harness = started();
    assert!(harness.nodes_of("n1").contains(&2));
    harness.apply_list((1..=8).map(|port| record(port, port == 2, 500.0)).collect());
    harness.advance(0.5, &[1, 2]);
    for proxy in ["n1", "s1"] {
        assert!(
            !harness.nodes_of(proxy).contains(&2) && !harness.nodes_of(proxy).is_empty(),
            "{proxy}"
        );
    }
}

#[test]
fn files_are_written_while_the_stream_of_load_reports_is_closed() {
    let mut harness = started();
    harness.core.observe(
        harness.now,
        Observation::StreamClosed {
            stream: StreamId(1),
        },
    );
    harness.apply_list((1..=8).map(|port| record(port, port == 2, 500.0)).collect());
    harness.advance(1.0, &[2]);
    assert!(
        !harness.nodes_of("n1").contains(&2),
        "files are updated for a proxy without a stream"
    );
    harness.join(3, "n1", "north");
    harness.advance(1.0, &[2, 3]);
    assert!(!harness.nodes_of("n1").contains(&2) && !harness.nodes_of("n1").is_empty());
}

#[test]
fn a_full_disk_delays_updates_without_losing_any() {
    let mut harness = started();
    harness.writes_fail = true;
    harness.apply_list((1..=8).map(|port| record(port, port == 2, 500.0)).collect());
    harness.advance(0.8, &[1, 2]);
    let failed = |event: &&LogEvent| matches!(event, LogEvent::TableWriteFailed { reason, .. } if reason.contains("full"));
    assert!(
        harness.log.iter().filter(failed).count() >= 2,
        "the failure is logged and the write retried: {:?}",
        harness.log
    );
    assert!(harness.nodes_of("n1").contains(&2));
    harness.writes_fail = false;
    harness.advance(5.0, &[1, 2]);
    assert!(!harness.nodes_of("n1").contains(&2) && !harness.nodes_of("s1").contains(&2));
}

/// A controller started from the files of an earlier run.
fn restarted(before: Harness) -> Harness {
    let files = before.files.iter();
    let mut harness = Harness::new(RecoveredState {
        tables: files
            .map(|(name, set)| (name.clone(), set.as_ref().clone()))
            .collect(),
        versions: before.files.values().map(|set| set.version).collect(),
        ..RecoveredState::default()
    });
    harness.files = before.files;
    harness
}

#[test]
fn after_a_restart_versions_continue_and_files_lose_nodes_that_are_no_longer_ready() {
    let mut before = started();
    before.join(3, "n2", "north");
    before.advance(1.0, &[1, 2, 3]);
    assert!(before.nodes_of("n2").contains(&2) && before.nodes_of("n2").contains(&4));
    let versions: BTreeSet<Version> = before.files.values().map(|set| set.version).collect();
    let last = *versions.last().expect("published");
    let mut harness = restarted(before);
    // While the controller was down, node 2 was drained, node 4 was removed and node 6 restarted.
    let records = [1, 2, 3, 5, 6, 7, 8]
        .map(|port| record(port, port == 2, if port == 6 { 0.5 } else { 500.0 }));
    harness.apply_list(records.to_vec());
    harness.join(1, "n1", "north");
    // n2 does not reconnect: nodes 2 and 4 are pruned from its old files before the drain grace of 2 s ends.
    harness.advance(1.0, &[1]);
    for proxy in ["n1", "n2"] {
        let nodes = harness.nodes_of(proxy);
        assert!(
            !nodes.is_empty() && !nodes.contains(&2) && !nodes.contains(&4),
            "{proxy} holds {nodes:?}"
        );
        assert!(harness.files[proxy].version > last);
    }
    let weight = |port: u16| {
        let entries = &harness.files["n1"].operations[0].entries;
        entries
            .iter()
            .find(|entry| entry.node.port == port)
            .map_or(0.0, |entry| entry.weight)
    };
    assert!(
        weight(6) < weight(8) * 0.5,
        "weight of the restarted node: {}, of a warm node: {}",
        weight(6),
        weight(8)
    );
}

#[test]
fn a_stream_with_an_invalid_load_report_is_closed_with_a_reason() {
    let mut harness = started();
    let report = LoadReport {
        window: Span::from_seconds(-1.0),
        operations: Vec::new(),
    };
    harness.core.observe(
        harness.now,
        Observation::LoadReport {
            stream: StreamId(1),
            report,
        },
    );
    harness.settle();
    assert!(harness
        .closed
        .iter()
        .any(|(stream, reason)| *stream == StreamId(1) && reason.contains("-1 s")));
    assert!(harness
        .core
        .members
        .member("n1")
        .is_some_and(|member| !member.is_joined()));
}

#[test]
fn versions_that_no_proxy_reads_are_retired_and_those_in_use_are_not() {
    let mut harness = started();
    for drained in [2, 3, 4] {
        harness.apply_list(
            (1..=8)
                .map(|port| record(port, port == drained, 500.0))
                .collect(),
        );
        harness.advance(3.0, &[1, 2]);
    }
    harness.advance(60.0, &[1, 2]);
    assert!(!harness.retired.is_empty());
    assert!(harness
        .files
        .values()
        .all(|set| !harness.retired.contains(&set.version)));
}

#[test]
fn a_stalled_loop_does_not_catch_up_on_missed_rounds() {
    let mut harness = started();
    harness.now = harness.now + Span::from_seconds(30.0);
    let mut iterations = 0;
    let until = harness.now + Span::from_seconds(1.0);
    while harness.now < until {
        harness.settle();
        harness.now = harness
            .core
            .wake_at(harness.now)
            .max(harness.now + Span::from_seconds(0.0001));
        iterations += 1;
    }
    assert!(iterations < 200, "{iterations} iterations in a second");
}

#[test]
fn equal_observations_produce_equal_files() {
    let files = || {
        started()
            .files
            .into_iter()
            .map(|(name, set)| (name, set.as_ref().clone()))
            .collect::<Vec<_>>()
    };
    assert_eq!(files(), files());
}

/// The fleet of `started` with a weight solver and capacities by kind: nodes 1 to 4 have four times the configured
/// capacity of nodes 5 to 8.
fn started_with_solver() -> Harness {
    let mut plan = test_deployment();
    plan.kinds = vec!["large".to_string(), "small".to_string()];
    plan.solver = Some(crate::deployment::SolverConfig {
        capacities: BTreeMap::from([("large".to_string(), 4.0), ("small".to_string(), 1.0)]),
        work: ["quote", "book"]
            .map(|name| {
                (
                    name.to_string(),
                    crate::deployment::Work(Span::from_seconds(0.1)),
                )
            })
            .into(),
        every: Span::from_seconds(1.0),
        least_share: 0.05,
        fill_at_most: 0.85,
    });
    let mut harness = Harness::with_deployment(plan, RecoveredState::default());
    harness.apply_list(records_by_kind(false));
    harness.join(1, "n1", "north");
    harness.join(2, "s1", "south");
    harness
}

fn records_by_kind(is_draining: bool) -> Vec<EndpointRecord> {
    let kind = |port: u16| if port <= 4 { "large" } else { "small" };
    let record_of = |port: u16| EndpointRecord {
        kind: kind(port).to_string(),
        ..record(port, is_draining && port == 2, 500.0)
    };
    (1..=8).map(record_of).collect()
}

#[test]
fn solved_weights_follow_the_configured_capacities_and_load_reports() {
    let mut harness = started_with_solver();
    harness.advance(12.0, &[1, 2]);
    let weights = |harness: &Harness| {
        let weight_of = |port: u16| harness.core.solver.weight(node(port)).unwrap_or(1.0);
        (weight_of(2), weight_of(6))
    };
    // Each node serves only a few requests per period. That is too little to measure its capacity, so the configured
    // capacity applies.
    let (large, small) = weights(&harness);
    assert!(
        (2.0..6.0).contains(&(large / small)),
        "large: {large}, small: {small}"
    );
    assert!(harness
        .log
        .iter()
        .any(|event| matches!(event, LogEvent::WeightsSolved { .. })));
    assert!(!harness.nodes_of("n1").is_empty());
}

#[test]
fn a_failed_solve_keeps_the_last_weights_and_is_logged() {
    let mut harness = started_with_solver();
    harness.advance(6.0, &[1, 2]);
    let before = harness.core.solver.weight(node(6));
    // With every node draining, no capacity is left for the demand, so the solve fails.
    let records = records_by_kind(false)
        .into_iter()
        .map(|record| EndpointRecord {
            draining: true,
            ..record
        })
        .collect();
    harness.apply_list(records);
    harness.advance(4.0, &[1, 2]);
    let failed = |event: &LogEvent| matches!(event, LogEvent::SolverFailed { reason } if reason.contains("no capacity"));
    assert!(harness.log.iter().any(failed));
    assert_eq!(harness.core.solver.weight(node(6)), before);
}

#[test]
fn with_solved_weights_a_drained_node_is_removed_within_half_a_second() {
    let mut harness = started_with_solver();
    harness.advance(6.0, &[1, 2]);
    harness.apply_list(records_by_kind(true));
    harness.advance(0.5, &[1, 2]);
    assert!(!harness.nodes_of("n1").contains(&2) && !harness.nodes_of("n1").is_empty());
}

// ---- Streams ----

fn ports(set: &TableSet) -> Vec<u16> {
    set.operations[0]
        .entries
        .iter()
        .map(|entry| entry.node.port)
        .collect()
}

#[test]
fn a_stream_reader_gets_no_files_and_after_reconnecting_only_the_newest_tables() {
    let mut harness = started();
    harness.subscribe(9, "x1", "north", None);
    harness.advance(2.0, &[1, 2]);
    assert!(!harness.files.contains_key("x1"));
    assert!(harness
        .last_sent(9)
        .is_some_and(|set| !ports(set).is_empty()));
    let sent = harness.sends.len();
    harness.core.observe(
        harness.now,
        Observation::Unsubscribed {
            stream: StreamId(9),
        },
    );
    for drains in 1..=3 {
        harness.apply_list(
            (1..=8)
                .map(|port| record(port, port <= drains, 500.0))
                .collect(),
        );
        harness.advance(1.0, &[1, 2]);
    }
    assert_eq!(
        harness.sends.len(),
        sent,
        "nothing is sent while no stream is open"
    );
    harness.subscribe(10, "x1", "north", Some(1));
    // Shorter than the minimum time between two update steps: a later step would publish another version.
    harness.advance(0.1, &[1, 2]);
    let (stream, set) = harness
        .sends
        .last()
        .expect("tables were sent after the reconnect");
    assert_eq!(*stream, StreamId(10));
    assert!(ports(set).iter().all(|port| *port > 3), "{:?}", ports(set));
    let versions: BTreeSet<Version> = harness.sends[sent..]
        .iter()
        .map(|(_, set)| set.version)
        .collect();
    assert_eq!(versions.len(), 1);
}

#[test]
fn versions_continue_above_the_one_a_proxy_reports_unless_it_is_implausible() {
    let mut harness = started();
    harness.subscribe(9, "x1", "north", Some(70_000));
    harness.subscribe(10, "x2", "south", Some(u64::MAX));
    harness.apply_list((1..=7).map(|port| record(port, false, 500.0)).collect());
    harness.advance(1.0, &[1, 2]);
    let version = harness.last_sent(9).expect("sent").version;
    assert!(
        version > Version(70_000) && version < Version(71_000),
        "{version:?}"
    );
}

#[test]
fn a_proxy_keeps_its_stream_of_load_reports_beside_its_stream_of_tables() {
    let mut harness = started();
    harness.subscribe(9, "n1", "north", None);
    harness.subscribe(10, "x1", "south", None);
    harness.join(11, "x1", "south");
    harness.advance(1.0, &[1, 2, 11]);
    assert_eq!(harness.closed, [], "no stream closes another");
    harness.subscribe(12, "x1", "south", None);
    assert_eq!(
        harness.closed[0].0,
        StreamId(10),
        "a second stream of tables supersedes the first"
    );
    assert!(harness
        .core
        .members()
        .member("x1")
        .is_some_and(Member::is_joined));
}

#[test]
fn paused_updates_wait_and_removals_do_not() {
    let mut harness = started();
    harness.subscribe(9, "x1", "north", None);
    harness.advance(1.0, &[1, 2]);
    let bundle = harness.last_sent(9).expect("sent").bundle;
    let until = harness.now + Span::from_seconds(5.0);
    harness
        .core
        .observe(harness.now, Observation::UpdatesPaused { bundle, until });
    let sent = harness.sends.len();
    let mut records: Vec<EndpointRecord> = (1..=8).map(|port| record(port, false, 500.0)).collect();
    records.push(record(9, false, 500.0));
    harness.apply_list(records.clone());
    harness.advance(2.0, &[1, 2]);
    assert_eq!(
        harness.sends.len(),
        sent,
        "the addition of a node is paused"
    );
    records[1].draining = true;
    harness.apply_list(records);
    harness.advance(1.0, &[1, 2]);
    assert!(
        !ports(harness.last_sent(9).expect("sent")).contains(&2),
        "the removal of a drained node is not paused"
    );
    harness.advance(4.0, &[1, 2]);
    assert!(ports(harness.last_sent(9).expect("sent")).contains(&9));
}

/// A node's share of the total weight of the first operation.
fn weight_share(set: &TableSet, port: u16) -> f64 {
    let entries = &set.operations[0].entries;
    let total: f64 = entries.iter().map(|entry| entry.weight).sum();
    entries
        .iter()
        .find(|entry| entry.node.port == port)
        .map_or(0.0, |entry| entry.weight / total)
}

/// A rollback from `newer` to `old` of the table of the proxy that reads stream 9.
struct Rollback {
    harness: Harness,
    old: Arc<TableSet>,
    newer: Arc<TableSet>,
}

fn rolled_back() -> Rollback {
    let mut harness = started();
    harness.subscribe(9, "x1", "north", None);
    harness.advance(1.0, &[1, 2]);
    let old = harness.last_sent(9).expect("sent").clone();
    // The new endpoint list changes the weights of two nodes, drains a third and restarts a fourth, which warms up.
    let mut records: Vec<EndpointRecord> = (1..=8).map(|port| record(port, false, 500.0)).collect();
    (records[1].weight, records[3].weight) = (5.0, 0.2);
    records[5].draining = true;
    records[7] = record(8, false, 0.0);
    harness.apply_list(records);
    harness.advance(3.0, &[1, 2]);
    let newer = harness.last_sent(9).expect("sent").clone();
    assert!(weight_share(&newer, 2) > 3.0 * weight_share(&newer, 4));
    harness.roll_back(1, old.bundle, old.version);
    harness.advance(20.0, &[1, 2]);
    Rollback {
        harness,
        old,
        newer,
    }
}

#[test]
fn a_rollback_restores_the_old_weights_except_of_draining_and_warming_nodes() {
    let Rollback {
        harness,
        old,
        newer,
    } = rolled_back();
    let result = harness.rollbacks[0]
        .clone()
        .expect("the version is retained");
    let excluded: Vec<(u16, &str)> = result
        .excluded
        .iter()
        .map(|(node, why)| (node.port, why.as_str()))
        .collect();
    assert_eq!(excluded, [(6, "drains"), (8, "cold")]);
    let now = harness.last_sent(9).expect("sent");
    assert!(now.version > newer.version, "versions never decrease");
    let ratio = weight_share(now, 2) / weight_share(now, 4);
    let old_ratio = weight_share(&old, 2) / weight_share(&old, 4);
    assert!((ratio / old_ratio - 1.0).abs() < 0.3, "{ratio}");
    assert!(!ports(now).contains(&6));
}

#[test]
fn a_rollback_to_an_unknown_version_is_rejected_and_ending_one_restores_the_listed_weights() {
    let Rollback {
        mut harness, old, ..
    } = rolled_back();
    harness.roll_back(2, old.bundle, Version(1 << 40));
    harness
        .core
        .observe(harness.now, Observation::EndRollback { request: 3 });
    harness.advance(4.0, &[1, 2]);
    assert!(harness.rollbacks[1]
        .as_ref()
        .is_err_and(|error| error.to_string().contains("is not kept")));
    let ended = harness.last_sent(9).expect("sent");
    assert!(
        weight_share(ended, 2) > 3.0 * weight_share(ended, 4),
        "the listed weights apply again"
    );
}
