//! Whole stretches of a conductor's life, played against a directory that is only remembered.

use super::*;
use crate::deployment::tests::plan;
use crate::endpoint_list::EndpointRecord;
use crate::load_report::{NodeReport, OperationReport};

struct Stage {
    session: ControllerCore,
    now: Moment,
    list_version: u64,
    /// What each proxy is pointed at, by the effects carried out.
    files: BTreeMap<String, Arc<TableSet>>,
    failing: bool,
    notices: Vec<LogEvent>,
    closed: Vec<(StreamId, String)>,
    retired: Vec<Version>,
    sends: Vec<(StreamId, Arc<TableSet>)>,
    answers: Vec<Result<RollbackResult, String>>,
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

impl Stage {
    fn new(found: RecoveredState) -> Stage {
        Stage::with(plan(), found)
    }

    fn with(plan: Deployment, found: RecoveredState) -> Stage {
        let now = Moment::from_seconds(1000.0);
        Stage {
            session: ControllerCore::start(now, 7, plan, 0, found).expect("the plan is fine"),
            now,
            list_version: 0,
            files: BTreeMap::new(),
            failing: false,
            notices: Vec::new(),
            closed: Vec::new(),
            retired: Vec::new(),
            sends: Vec::new(),
            answers: Vec::new(),
        }
    }

    fn list(&mut self, records: Vec<EndpointRecord>) {
        self.list_version += 1;
        let list = EndpointSnapshot {
            version: self.list_version.to_string(),
            records,
        };
        self.session.observe(self.now, Observation::List(Ok(list)));
        self.turn();
    }

    fn join(&mut self, stream: u64, name: &str, zone: &str) {
        let who = Introduction {
            name: name.into(),
            zone: zone.into(),
            usual_rate: None,
        };
        self.session.observe(
            self.now,
            Observation::StreamOpened {
                stream: StreamId(stream),
                who,
            },
        );
        self.turn();
    }

    fn subscribe(&mut self, stream: u64, name: &str, zone: &str, brings: Option<u64>) {
        let who = Introduction {
            name: name.into(),
            zone: zone.into(),
            usual_rate: None,
        };
        let brings = brings.map(Version);
        self.session.observe(
            self.now,
            Observation::Subscribed {
                stream: StreamId(stream),
                who,
                brings,
            },
        );
        self.turn();
    }

    fn last_sent(&self, stream: u64) -> Option<&Arc<TableSet>> {
        self.sends
            .iter()
            .rev()
            .find(|(to, _)| *to == StreamId(stream))
            .map(|(_, set)| set)
    }

    fn turn(&mut self) {
        let mut effects = Vec::new();
        self.session.settle(self.now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Point { proxy, set } => {
                    let version = set.version;
                    let result = if self.failing {
                        Err("the disk is full".to_string())
                    } else {
                        Ok(())
                    };
                    if result.is_ok() {
                        let before = self.files.insert(proxy.clone(), set);
                        assert!(
                            before.is_none_or(|before| before.version <= version),
                            "versions never fall"
                        );
                    }
                    self.session.observe(
                        self.now,
                        Observation::Pointed {
                            proxy,
                            version,
                            result,
                        },
                    );
                }
                Effect::Close { stream, reason } => {
                    self.closed.push((stream, reason));
                    self.session
                        .observe(self.now, Observation::StreamClosed { stream });
                }
                Effect::Log(notice) => self.notices.push(notice),
                Effect::Retire { version } => self.retired.push(version),
                Effect::Accept { .. } => {}
                Effect::Send { stream, set } => self.sends.push((stream, set)),
                Effect::Answered { result, .. } => self.answers.push(result),
            }
        }
    }

    /// Lets time pass as the loop would, with a report of each joined proxy once a second.
    fn pass(&mut self, seconds: f64, streams: &[u64]) {
        let end = self.now + Span::from_seconds(seconds);
        let mut next_report = self.now + Span::from_seconds(1.0);
        while self.now < end {
            let wake = self
                .session
                .wake_at(self.now)
                .max(self.now + Span::from_seconds(0.001));
            self.now = wake.min(next_report).min(end);
            if self.now >= next_report {
                next_report = next_report + Span::from_seconds(1.0);
                streams.iter().for_each(|stream| self.report(*stream));
            }
            self.turn();
        }
    }

    /// What a proxy would have met with the files it reads: ten quotes a second, all well.
    fn report(&mut self, stream: u64) {
        let Some((name, _)) = self.session.members.by_stream(StreamId(stream)) else {
            return;
        };
        let lines = self.nodes_of(name);
        let each = |port: &u16| NodeReport {
            node: Some(node(*port)),
            succeeded: 10 / lines.len().max(1) as u64 + 1,
            in_progress: 1,
            ..NodeReport::default()
        };
        let nodes = lines.iter().map(each).collect();
        let quote = OperationReport {
            operation: "quote".into(),
            nodes,
            ..OperationReport::default()
        };
        let report = LoadReport {
            over: Span::from_seconds(1.0),
            operations: vec![quote],
        };
        self.session.observe(
            self.now,
            Observation::LoadReport {
                stream: StreamId(stream),
                report,
            },
        );
    }

    fn nodes_of(&self, proxy: &str) -> Vec<u16> {
        let set = self.files.get(proxy);
        let lines = set.into_iter().flat_map(|set| &set.operations[0].lines);
        lines.map(|line| line.node.port).collect()
    }
}

fn started() -> Stage {
    let mut stage = Stage::new(RecoveredState::default());
    stage.list((1..=8).map(|port| record(port, false, 500.0)).collect());
    stage.join(1, "n1", "north");
    stage.join(2, "s1", "south");
    stage.pass(3.0, &[1, 2]);
    stage
}

#[test]
fn joined_proxies_are_pointed_at_tables_of_ready_nodes_at_once() {
    let mut stage = Stage::new(RecoveredState::default());
    stage.list((1..=8).map(|port| record(port, false, 500.0)).collect());
    stage.join(1, "n1", "north");
    stage.pass(0.2, &[]);
    assert!(!stage.nodes_of("n1").is_empty());
    assert!(stage.files["n1"]
        .operations
        .iter()
        .all(|operation| operation.lines.iter().all(|l| !l.zone.is_empty())));
}

#[test]
fn a_drained_node_leaves_all_files_well_within_the_grace() {
    let mut stage = started();
    assert!(stage.nodes_of("n1").contains(&2));
    stage.list((1..=8).map(|port| record(port, port == 2, 500.0)).collect());
    stage.pass(0.5, &[1, 2]);
    for proxy in ["n1", "s1"] {
        assert!(
            !stage.nodes_of(proxy).contains(&2) && !stage.nodes_of(proxy).is_empty(),
            "{proxy}"
        );
    }
}

#[test]
fn a_swap_lands_though_the_stream_of_sums_breaks_with_it() {
    let mut stage = started();
    stage.session.observe(
        stage.now,
        Observation::StreamClosed {
            stream: StreamId(1),
        },
    );
    stage.list((1..=8).map(|port| record(port, port == 2, 500.0)).collect());
    stage.pass(1.0, &[2]);
    assert!(
        !stage.nodes_of("n1").contains(&2),
        "files reach a proxy whose stream is down"
    );
    stage.join(3, "n1", "north");
    stage.pass(1.0, &[2, 3]);
    assert!(!stage.nodes_of("n1").contains(&2) && !stage.nodes_of("n1").is_empty());
}

#[test]
fn a_disk_that_is_full_delays_and_loses_nothing() {
    let mut stage = started();
    stage.failing = true;
    stage.list((1..=8).map(|port| record(port, port == 2, 500.0)).collect());
    stage.pass(0.8, &[1, 2]);
    let failed = |notice: &&LogEvent| matches!(notice, LogEvent::WriteFailed { reason, .. } if reason.contains("full"));
    assert!(
        stage.notices.iter().filter(failed).count() >= 2,
        "named, and tried again: {:?}",
        stage.notices
    );
    assert!(stage.nodes_of("n1").contains(&2));
    stage.failing = false;
    stage.pass(5.0, &[1, 2]);
    assert!(!stage.nodes_of("n1").contains(&2) && !stage.nodes_of("s1").contains(&2));
}

#[test]
fn a_restart_goes_on_after_the_versions_it_finds_and_names_no_former_node() {
    let mut before = started();
    before.join(3, "n2", "north");
    before.pass(1.0, &[1, 2, 3]);
    assert!(before.nodes_of("n2").contains(&2) && before.nodes_of("n2").contains(&4));
    let held = BTreeMap::from_iter(
        before
            .files
            .iter()
            .map(|(name, set)| (name.clone(), set.as_ref().clone())),
    );
    let last = held
        .values()
        .map(|set| set.version)
        .max()
        .expect("published");
    let versions = held.values().map(|set| set.version).collect();
    let mut stage = Stage::new(RecoveredState {
        held,
        versions,
        ..RecoveredState::default()
    });
    stage.files = before.files;
    // While it was down node 2 drained, node 4 left and node 6 started anew.
    let records = [1, 2, 3, 5, 6, 7, 8]
        .map(|port| record(port, port == 2, if port == 6 { 0.5 } else { 500.0 }));
    stage.list(records.to_vec());
    stage.join(1, "n1", "north");
    // n2 stays away: its old files are pruned of nodes 2 and 4 before the grace of 2 s is over.
    stage.pass(1.0, &[1]);
    for proxy in ["n1", "n2"] {
        let nodes = stage.nodes_of(proxy);
        assert!(
            !nodes.is_empty() && !nodes.contains(&2) && !nodes.contains(&4),
            "{proxy} holds {nodes:?}"
        );
        assert!(stage.files[proxy].version > last);
    }
    let weight = |port: u16| {
        let lines = &stage.files["n1"].operations[0].lines;
        lines
            .iter()
            .find(|line| line.node.port == port)
            .map_or(0.0, |line| line.weight)
    };
    assert!(
        weight(6) < weight(8) * 0.5,
        "a node that just started: {} beside {}",
        weight(6),
        weight(8)
    );
}

#[test]
fn a_proxy_that_sends_what_cannot_be_is_closed_with_a_reason() {
    let mut stage = started();
    let report = LoadReport {
        over: Span::from_seconds(-1.0),
        operations: Vec::new(),
    };
    stage.session.observe(
        stage.now,
        Observation::LoadReport {
            stream: StreamId(1),
            report,
        },
    );
    stage.turn();
    assert!(stage
        .closed
        .iter()
        .any(|(stream, reason)| *stream == StreamId(1) && reason.contains("-1 s")));
    assert!(stage
        .session
        .members
        .member("n1")
        .is_some_and(|member| !member.is_joined()));
}

#[test]
fn versions_that_nobody_reads_are_let_go_and_those_in_use_are_not() {
    let mut stage = started();
    for drained in [2, 3, 4] {
        stage.list(
            (1..=8)
                .map(|port| record(port, port == drained, 500.0))
                .collect(),
        );
        stage.pass(3.0, &[1, 2]);
    }
    stage.pass(60.0, &[1, 2]);
    assert!(!stage.retired.is_empty());
    assert!(stage
        .files
        .values()
        .all(|set| !stage.retired.contains(&set.version)));
}

#[test]
fn a_loop_that_stands_still_goes_on_without_making_up_for_it() {
    let mut stage = started();
    stage.now = stage.now + Span::from_seconds(30.0);
    let mut turns = 0;
    let until = stage.now + Span::from_seconds(1.0);
    while stage.now < until {
        stage.turn();
        stage.now = stage
            .session
            .wake_at(stage.now)
            .max(stage.now + Span::from_seconds(0.0001));
        turns += 1;
    }
    assert!(turns < 200, "{turns} turns in a second");
}

#[test]
fn the_same_observations_give_the_same_files() {
    let files = || {
        started()
            .files
            .into_iter()
            .map(|(name, set)| (name, set.as_ref().clone()))
            .collect::<Vec<_>>()
    };
    assert_eq!(files(), files());
}

/// The same fleet with capacities by kind: nodes 1 to 4 are said to do four times what 5 to 8 do.
fn solving() -> Stage {
    let mut plan = plan();
    plan.kinds = vec!["large".to_string(), "small".to_string()];
    plan.solver = Some(crate::deployment::SolverPlan {
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
    let mut stage = Stage::with(plan, RecoveredState::default());
    stage.list(kinds(false));
    stage.join(1, "n1", "north");
    stage.join(2, "s1", "south");
    stage
}

fn kinds(drains: bool) -> Vec<EndpointRecord> {
    let kind = |port: u16| if port <= 4 { "large" } else { "small" };
    let of = |port: u16| EndpointRecord {
        kind: kind(port).to_string(),
        ..record(port, drains && port == 2, 500.0)
    };
    (1..=8).map(of).collect()
}

#[test]
fn solved_weights_follow_the_capacities_that_were_told_and_mended() {
    let mut stage = solving();
    stage.pass(12.0, &[1, 2]);
    let weights = |stage: &Stage| {
        let of = |port: u16| stage.session.weigher.weight(node(port)).unwrap_or(1.0);
        (of(2), of(6))
    };
    // One quote every period or so at each of them: little is known, so what was told stands.
    let (large, small) = weights(&stage);
    assert!(
        (2.0..6.0).contains(&(large / small)),
        "{large} beside {small}"
    );
    assert!(stage
        .notices
        .iter()
        .any(|notice| matches!(notice, LogEvent::WeightsSolved { .. })));
    assert!(!stage.nodes_of("n1").is_empty());
}

#[test]
fn a_solve_that_fails_leaves_the_last_weights_and_is_told() {
    let mut stage = solving();
    stage.pass(6.0, &[1, 2]);
    let before = stage.session.weigher.weight(node(6));
    // A demand for what no host is left to do can't be solved: every node drains.
    let records = kinds(false)
        .into_iter()
        .map(|record| EndpointRecord {
            draining: true,
            ..record
        })
        .collect();
    stage.list(records);
    stage.pass(4.0, &[1, 2]);
    let failed = |notice: &LogEvent| matches!(notice, LogEvent::NotSolved { reason } if reason.contains("no capacity"));
    assert!(stage.notices.iter().any(failed));
    assert_eq!(stage.session.weigher.weight(node(6)), before);
}

#[test]
fn with_solved_weights_a_drained_node_leaves_as_soon_as_without() {
    let mut stage = solving();
    stage.pass(6.0, &[1, 2]);
    stage.list(kinds(true));
    stage.pass(0.5, &[1, 2]);
    assert!(!stage.nodes_of("n1").contains(&2) && !stage.nodes_of("n1").is_empty());
}

// ---- streams ----

fn ports(set: &TableSet) -> Vec<u16> {
    set.operations[0]
        .lines
        .iter()
        .map(|line| line.node.port)
        .collect()
}

#[test]
fn a_proxy_that_reads_a_stream_gets_no_files_and_after_a_break_the_newest_alone() {
    let mut stage = started();
    stage.subscribe(9, "x1", "north", None);
    stage.pass(2.0, &[1, 2]);
    assert!(!stage.files.contains_key("x1"));
    assert!(stage.last_sent(9).is_some_and(|set| !ports(set).is_empty()));
    let sent = stage.sends.len();
    stage.session.observe(
        stage.now,
        Observation::Unsubscribed {
            stream: StreamId(9),
        },
    );
    for drains in 1..=3 {
        stage.list(
            (1..=8)
                .map(|port| record(port, port <= drains, 500.0))
                .collect(),
        );
        stage.pass(1.0, &[1, 2]);
    }
    assert_eq!(stage.sends.len(), sent, "nothing is sent to nobody");
    stage.subscribe(10, "x1", "north", Some(1));
    // Shorter than the least time between two steps: an ordinary step may follow the newest version.
    stage.pass(0.1, &[1, 2]);
    let (to, set) = stage.sends.last().expect("it came back");
    assert_eq!(*to, StreamId(10));
    assert!(ports(set).iter().all(|port| *port > 3), "{:?}", ports(set));
    let versions: BTreeSet<Version> = stage.sends[sent..]
        .iter()
        .map(|(_, set)| set.version)
        .collect();
    assert_eq!(versions.len(), 1);
}

#[test]
fn versions_go_on_above_what_a_gateway_says_it_holds_unless_that_cannot_be() {
    let mut stage = started();
    stage.subscribe(9, "x1", "north", Some(70_000));
    stage.subscribe(10, "x2", "south", Some(u64::MAX));
    stage.list((1..=7).map(|port| record(port, false, 500.0)).collect());
    stage.pass(1.0, &[1, 2]);
    let version = stage.last_sent(9).expect("sent").version;
    assert!(
        version > Version(70_000) && version < Version(71_000),
        "{version:?}"
    );
}

#[test]
fn a_proxy_with_a_stream_of_sums_keeps_it_beside_its_stream_of_tables() {
    let mut stage = started();
    stage.subscribe(9, "n1", "north", None);
    stage.subscribe(10, "x1", "south", None);
    stage.join(11, "x1", "south");
    stage.pass(1.0, &[1, 2, 11]);
    assert_eq!(stage.closed, [], "neither is in the other's way");
    stage.subscribe(12, "x1", "south", None);
    assert_eq!(
        stage.closed[0].0,
        StreamId(10),
        "a second stream of tables takes the place of the first"
    );
    assert!(stage
        .session
        .members()
        .member("x1")
        .is_some_and(|member| member.is_joined()));
}

#[test]
fn held_back_changes_wait_and_what_takes_a_node_away_does_not() {
    let mut stage = started();
    stage.subscribe(9, "x1", "north", None);
    stage.pass(1.0, &[1, 2]);
    let bundle = stage.last_sent(9).expect("sent").bundle;
    let until = stage.now + Span::from_seconds(5.0);
    stage
        .session
        .observe(stage.now, Observation::HeldBack { bundle, until });
    let sent = stage.sends.len();
    let mut records: Vec<EndpointRecord> = (1..=8).map(|port| record(port, false, 500.0)).collect();
    records.push(record(9, false, 500.0));
    stage.list(records.clone());
    stage.pass(2.0, &[1, 2]);
    assert_eq!(stage.sends.len(), sent, "a node that comes can wait");
    records[1].draining = true;
    stage.list(records);
    stage.pass(1.0, &[1, 2]);
    assert!(
        !ports(stage.last_sent(9).expect("sent")).contains(&2),
        "a drain can't"
    );
    stage.pass(4.0, &[1, 2]);
    assert!(ports(stage.last_sent(9).expect("sent")).contains(&9));
}

#[test]
fn a_step_back_goes_to_the_old_weights_without_what_drains_or_is_cold() {
    let mut stage = started();
    stage.subscribe(9, "x1", "north", None);
    stage.pass(1.0, &[1, 2]);
    let old = stage.last_sent(9).expect("sent").clone();
    let weight = |set: &TableSet, port: u16| {
        let lines = &set.operations[0].lines;
        let all: f64 = lines.iter().map(|line| line.weight).sum();
        lines
            .iter()
            .find(|line| line.node.port == port)
            .map_or(0.0, |line| line.weight / all)
    };
    // An operator's list gives two nodes other weights; one drains, one starts anew and is cold.
    let mut records: Vec<EndpointRecord> = (1..=8).map(|port| record(port, false, 500.0)).collect();
    (records[1].weight, records[3].weight) = (5.0, 0.2);
    records[5].draining = true;
    records[7] = record(8, false, 0.0);
    stage.list(records);
    stage.pass(3.0, &[1, 2]);
    let newer = stage.last_sent(9).expect("sent").clone();
    assert!(weight(&newer, 2) > 3.0 * weight(&newer, 4));
    let order = Observation::Back {
        order: 1,
        bundle: old.bundle,
        version: old.version,
    };
    stage.session.observe(stage.now, order);
    stage.pass(20.0, &[1, 2]);
    let stepped = stage.answers[0].clone().expect("the version is kept");
    let out: Vec<(u16, &str)> = stepped
        .left_out
        .iter()
        .map(|(node, why)| (node.port, why.word()))
        .collect();
    assert_eq!(out, [(6, "drains"), (8, "cold")]);
    let now = stage.last_sent(9).expect("sent");
    assert!(now.version > newer.version, "versions never fall");
    let ratio = weight(now, 2) / weight(now, 4);
    assert!(
        (ratio / (weight(&old, 2) / weight(&old, 4)) - 1.0).abs() < 0.3,
        "{ratio}"
    );
    assert!(!ports(now).contains(&6));
    stage.session.observe(
        stage.now,
        Observation::Back {
            order: 2,
            bundle: old.bundle,
            version: Version(1 << 40),
        },
    );
    stage
        .session
        .observe(stage.now, Observation::Free { order: 3 });
    stage.pass(4.0, &[1, 2]);
    assert!(stage.answers[1]
        .as_ref()
        .is_err_and(|error| error.contains("is not kept")));
    let freed = stage.last_sent(9).expect("sent");
    assert!(
        weight(freed, 2) > 3.0 * weight(freed, 4),
        "the list's weights are back"
    );
}
