//! Whole stretches of a conductor's life, played against a directory that is only remembered.

use super::*;
use crate::deployment::tests::plan;
use crate::nodes::NodeRecord;
use crate::sums::{NodeReport, OperationReport};

struct Stage {
    session: Session,
    now: Moment,
    list_version: u64,
    /// What each proxy is pointed at, by the effects carried out.
    files: BTreeMap<String, Arc<TableSet>>,
    failing: bool,
    notices: Vec<Notice>,
    closed: Vec<(StreamId, String)>,
    retired: Vec<Version>,
}

fn node(port: u16) -> NodeId {
    NodeId { address: [127, 0, 0, 1], port }
}

fn record(port: u16, draining: bool, age: f64) -> NodeRecord {
    let zone = if port.is_multiple_of(2) { "north" } else { "south" };
    NodeRecord {
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
    fn new(found: Found) -> Stage {
        Stage::with(plan(), found)
    }

    fn with(plan: Deployment, found: Found) -> Stage {
        let now = Moment::from_seconds(1000.0);
        Stage {
            session: Session::start(now, 7, plan, 0, found).expect("the plan is fine"),
            now,
            list_version: 0,
            files: BTreeMap::new(),
            failing: false,
            notices: Vec::new(),
            closed: Vec::new(),
            retired: Vec::new(),
        }
    }

    fn list(&mut self, records: Vec<NodeRecord>) {
        self.list_version += 1;
        let list = NodeList { version: self.list_version.to_string(), records };
        self.session.observe(self.now, Observation::List(Ok(list)));
        self.turn();
    }

    fn join(&mut self, stream: u64, name: &str, zone: &str) {
        let who = Introduction { name: name.into(), zone: zone.into(), usual_rate: None };
        self.session.observe(self.now, Observation::StreamOpened { stream: StreamId(stream), who });
        self.turn();
    }

    fn turn(&mut self) {
        let mut effects = Vec::new();
        self.session.settle(self.now, &mut effects);
        for effect in effects {
            match effect {
                Effect::Point { proxy, set } => {
                    let version = set.version;
                    let result = if self.failing { Err("the disk is full".to_string()) } else { Ok(()) };
                    if result.is_ok() {
                        let before = self.files.insert(proxy.clone(), set);
                        assert!(before.is_none_or(|before| before.version <= version), "versions never fall");
                    }
                    self.session.observe(self.now, Observation::Pointed { proxy, version, result });
                }
                Effect::Close { stream, reason } => {
                    self.closed.push((stream, reason));
                    self.session.observe(self.now, Observation::StreamClosed { stream });
                }
                Effect::Log(notice) => self.notices.push(notice),
                Effect::Retire { version } => self.retired.push(version),
                Effect::Accept { .. } => {}
            }
        }
    }

    /// Lets time pass as the loop would, with a report of each joined proxy once a second.
    fn pass(&mut self, seconds: f64, streams: &[u64]) {
        let end = self.now + Span::from_seconds(seconds);
        let mut next_report = self.now + Span::from_seconds(1.0);
        while self.now < end {
            let wake = self.session.wake_at(self.now).max(self.now + Span::from_seconds(0.001));
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
        let Some((name, _)) = self.session.members.of_stream(StreamId(stream)) else { return };
        let lines = self.nodes_of(name);
        let each = |port: &u16| NodeReport {
            node: Some(node(*port)),
            succeeded: 10 / lines.len().max(1) as u64 + 1,
            in_progress: 1,
            ..NodeReport::default()
        };
        let nodes = lines.iter().map(each).collect();
        let quote = OperationReport { operation: "quote".into(), nodes, ..OperationReport::default() };
        let report = Report { over: Span::from_seconds(1.0), operations: vec![quote] };
        self.session.observe(self.now, Observation::Report { stream: StreamId(stream), report });
    }

    fn nodes_of(&self, proxy: &str) -> Vec<u16> {
        let set = self.files.get(proxy);
        let lines = set.into_iter().flat_map(|set| &set.operations[0].lines);
        lines.map(|line| line.node.port).collect()
    }
}

fn started() -> Stage {
    let mut stage = Stage::new(Found::default());
    stage.list((1..=8).map(|port| record(port, false, 500.0)).collect());
    stage.join(1, "n1", "north");
    stage.join(2, "s1", "south");
    stage.pass(3.0, &[1, 2]);
    stage
}

#[test]
fn joined_proxies_are_pointed_at_tables_of_ready_nodes_at_once() {
    let mut stage = Stage::new(Found::default());
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
        assert!(!stage.nodes_of(proxy).contains(&2) && !stage.nodes_of(proxy).is_empty(), "{proxy}");
    }
}

#[test]
fn a_swap_lands_though_the_stream_of_sums_breaks_with_it() {
    let mut stage = started();
    stage.session.observe(stage.now, Observation::StreamClosed { stream: StreamId(1) });
    stage.list((1..=8).map(|port| record(port, port == 2, 500.0)).collect());
    stage.pass(1.0, &[2]);
    assert!(!stage.nodes_of("n1").contains(&2), "files reach a proxy whose stream is down");
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
    let failed =
        |notice: &&Notice| matches!(notice, Notice::WriteFailed { reason, .. } if reason.contains("full"));
    assert!(stage.notices.iter().filter(failed).count() >= 2, "named, and tried again: {:?}", stage.notices);
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
    let held =
        BTreeMap::from_iter(before.files.iter().map(|(name, set)| (name.clone(), set.as_ref().clone())));
    let last = held.values().map(|set| set.version).max().expect("published");
    let versions = held.values().map(|set| set.version).collect();
    let mut stage = Stage::new(Found { held, versions });
    stage.files = before.files;
    // While it was down node 2 drained, node 4 left and node 6 started anew.
    let records =
        [1, 2, 3, 5, 6, 7, 8].map(|port| record(port, port == 2, if port == 6 { 0.5 } else { 500.0 }));
    stage.list(records.to_vec());
    stage.join(1, "n1", "north");
    // n2 stays away: its old files are pruned of nodes 2 and 4 before the grace of 2 s is over.
    stage.pass(1.0, &[1]);
    for proxy in ["n1", "n2"] {
        let nodes = stage.nodes_of(proxy);
        assert!(!nodes.is_empty() && !nodes.contains(&2) && !nodes.contains(&4), "{proxy} holds {nodes:?}");
        assert!(stage.files[proxy].version > last);
    }
    let weight = |port: u16| {
        let lines = &stage.files["n1"].operations[0].lines;
        lines.iter().find(|line| line.node.port == port).map_or(0.0, |line| line.weight)
    };
    assert!(weight(6) < weight(8) * 0.5, "a node that just started: {} beside {}", weight(6), weight(8));
}

#[test]
fn a_proxy_that_sends_what_cannot_be_is_closed_with_a_reason() {
    let mut stage = started();
    let report = Report { over: Span::from_seconds(-1.0), operations: Vec::new() };
    stage.session.observe(stage.now, Observation::Report { stream: StreamId(1), report });
    stage.turn();
    assert!(stage.closed.iter().any(|(stream, reason)| *stream == StreamId(1) && reason.contains("-1 s")));
    assert!(stage.session.members.member("n1").is_some_and(|member| !member.joined()));
}

#[test]
fn versions_that_nobody_reads_are_let_go_and_those_in_use_are_not() {
    let mut stage = started();
    for drained in [2, 3, 4] {
        stage.list((1..=8).map(|port| record(port, port == drained, 500.0)).collect());
        stage.pass(3.0, &[1, 2]);
    }
    stage.pass(60.0, &[1, 2]);
    assert!(!stage.retired.is_empty());
    assert!(stage.files.values().all(|set| !stage.retired.contains(&set.version)));
}

#[test]
fn a_loop_that_stands_still_goes_on_without_making_up_for_it() {
    let mut stage = started();
    stage.now = stage.now + Span::from_seconds(30.0);
    let mut turns = 0;
    let until = stage.now + Span::from_seconds(1.0);
    while stage.now < until {
        stage.turn();
        stage.now = stage.session.wake_at(stage.now).max(stage.now + Span::from_seconds(0.0001));
        turns += 1;
    }
    assert!(turns < 200, "{turns} turns in a second");
}

#[test]
fn the_same_observations_give_the_same_files() {
    let files =
        || started().files.into_iter().map(|(name, set)| (name, set.as_ref().clone())).collect::<Vec<_>>();
    assert_eq!(files(), files());
}

/// The same fleet with capacities by kind: nodes 1 to 4 are said to do four times what 5 to 8 do.
fn solving() -> Stage {
    let mut plan = plan();
    plan.kinds = vec!["large".to_string(), "small".to_string()];
    plan.solver = Some(crate::deployment::SolverPlan {
        capacities: BTreeMap::from([("large".to_string(), 4.0), ("small".to_string(), 1.0)]),
        work: ["quote", "book"]
            .map(|name| (name.to_string(), crate::deployment::Work(Span::from_seconds(0.1))))
            .into(),
        every: Span::from_seconds(1.0),
        least_share: 0.05,
        fill_at_most: 0.85,
    });
    let mut stage = Stage::with(plan, Found::default());
    stage.list(kinds(false));
    stage.join(1, "n1", "north");
    stage.join(2, "s1", "south");
    stage
}

fn kinds(drains: bool) -> Vec<NodeRecord> {
    let kind = |port: u16| if port <= 4 { "large" } else { "small" };
    let of =
        |port: u16| NodeRecord { kind: kind(port).to_string(), ..record(port, drains && port == 2, 500.0) };
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
    assert!((2.0..6.0).contains(&(large / small)), "{large} beside {small}");
    assert!(stage.notices.iter().any(|notice| matches!(notice, Notice::Weighed { .. })));
    assert!(!stage.nodes_of("n1").is_empty());
}

#[test]
fn a_solve_that_fails_leaves_the_last_weights_and_is_told() {
    let mut stage = solving();
    stage.pass(6.0, &[1, 2]);
    let before = stage.session.weigher.weight(node(6));
    // A demand for what no host is left to do can't be solved: every node drains.
    let records = kinds(false).into_iter().map(|record| NodeRecord { draining: true, ..record }).collect();
    stage.list(records);
    stage.pass(4.0, &[1, 2]);
    let failed =
        |notice: &Notice| matches!(notice, Notice::NotSolved { reason } if reason.contains("no capacity"));
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
