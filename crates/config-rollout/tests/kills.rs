//! A controller with its disk and its proxies, under a scripted clock. It is killed at every action that a
//! proxy or the disk could see, before it and after it, once and again while it recovers, while a change is
//! applied, kept, undone by an operator or undone by its watch.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use test_case::test_case;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_config_rollout::{
    Answer, Conditions, Rollout, RolloutAction, RolloutCommand, RolloutSettings, WriteError,
};
use wheelspread_config_transaction::checks::ChangeLimits;
use wheelspread_config_transaction::{
    Change, ChangeError, ChangeId, ChangeState, Commit, PersistedState,
};
use wheelspread_config_transaction::{ChangeRecord, Deadlines};
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::endpoint_list::{EndpointRecord, EndpointSnapshot};
use wheelspread_controller_core::load_report::{LoadReport, NodeReport, OperationReport};
use wheelspread_controller_core::membership::{ProxyIdentity, StreamId};
use wheelspread_controller_core::{
    ControllerCore, Deployment, Effect, Observation, TableSet, Version,
};

const MOVED: u16 = 1;

fn span(seconds: f64) -> Span {
    Span::from_seconds(seconds)
}

fn node(port: u16) -> NodeId {
    NodeId {
        address: [127, 0, 0, 1],
        port,
    }
}

fn deployment() -> Deployment {
    let operation = |name: &str| {
        serde_json::json!({
            "name": name, "latency_objective": "1s", "integration_timeout": "3s", "billed_value": 1.0,
            "repeat": "idempotent", "stays_in_zone": true
        })
    };
    let deployment = serde_json::json!({
        "zones": ["north", "south"],
        "operations": [operation("quote"), operation("tour-plan")],
        "proxies": { "count": 4, "usual_rate": 20.0 },
        "rules": { "without_node_at_most": "1s", "drain_grace": "800ms", "cold_start_share": 0.2,
                   "warm_after": "5s", "cold_overload_factor": 4.0, "cold_overload_span": "2s" },
        "channel": { "lines_waiting_at_most": 4000.0, "lines_per_second": 5000.0, "delay_at_most": "200ms" },
        "sums": { "period": "200ms", "loads": ["utilization"] }
    });
    serde_json::from_value(deployment).expect("a sound plan")
}

fn settings() -> RolloutSettings {
    RolloutSettings {
        deadlines: Deadlines {
            checks: span(2.0),
            write: span(0.4),
            staged: span(60.0),
            apply: span(4.0),
            watch: span(1.2),
        },
        limits: ChangeLimits {
            value_loss_share_limit: 0.5,
            warming_work_share_limit: 0.9,
            propagation_time_limit: span(4.0),
        },
        conditions: Conditions {
            invocations_at_least: 5.0,
            ..Conditions::default()
        },
    }
}

fn change() -> Change {
    let sets = [
        (
            format!("nodes.127.0.0.1:{MOVED}.zone"),
            Some("south".to_string()),
        ),
        (
            "operations.quote.latency_objective".to_string(),
            Some("800ms".to_string()),
        ),
    ];
    Change {
        id: ChangeId("move".into()),
        by: "dispatch".into(),
        base: 1,
        sets: sets.into(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Kept,
    /// By an operator, while it is watched.
    Undone,
    /// Its nodes err from the change on.
    Broken,
}

struct Running {
    session: ControllerCore,
    rollout: Rollout,
    /// Writes at the disk, and when it is through with them.
    at_disk: Vec<(Moment, u64, Commit)>,
}

struct World {
    now: Moment,
    end: End,
    controller: Option<Running>,
    starts_at: Moment,
    // What outlives a kill.
    kept: PersistedState,
    /// What each proxy's link points at.
    links: BTreeMap<String, Arc<TableSet>>,
    /// Every version that was ever seen, to see that none is made twice.
    seen: BTreeMap<Version, Arc<TableSet>>,
    configurations: BTreeSet<u64>,
    // The operator's side.
    staged: bool,
    applied: bool,
    undone: bool,
    orders: u64,
    joins: Vec<(Moment, String)>,
    streams: u64,
    disk_takes: Span,
    disk_full_until: Moment,
    // Kills.
    actions: u64,
    kill_at: Vec<u64>,
    killed: u64,
}

fn proxies() -> Vec<(String, &'static str)> {
    ["north", "south"]
        .into_iter()
        .flat_map(|z| (0..2).map(move |n| (format!("{z}-{n}"), z)))
        .collect()
}

impl World {
    fn new(end: End, kill_at: Vec<u64>) -> World {
        World {
            now: Moment::from_seconds(1000.0),
            end,
            controller: None,
            starts_at: Moment::from_seconds(1000.0),
            kept: PersistedState::default(),
            links: BTreeMap::new(),
            seen: BTreeMap::new(),
            configurations: BTreeSet::new(),
            staged: false,
            applied: false,
            undone: false,
            orders: 0,
            joins: Vec::new(),
            streams: 0,
            disk_takes: span(0.004),
            disk_full_until: Moment::default(),
            actions: 0,
            kill_at,
            killed: 0,
        }
    }

    /// Comes by an action; `true`: the controller is killed there.
    fn point(&mut self) -> bool {
        self.actions += 1;
        if !self.kill_at.contains(&self.actions) {
            return false;
        }
        self.killed += 1;
        self.starts_at = self.now + span(0.15);
        true
    }

    fn start(&mut self) {
        let (rollout, configured, moving) =
            Rollout::start(self.now, deployment(), settings(), &self.kept);
        let versions = self.links.values().map(|set| set.version).collect();
        let held = self
            .links
            .iter()
            .map(|(proxy, set)| (proxy.clone(), TableSet::clone(set)))
            .collect();
        let floor = Version(self.seen.keys().last().map_or(0, |last| last.0) + 100);
        let found = RecoveredState {
            tables: held,
            versions,
            version_floor: floor,
            configuration: configured.version,
            node_values: configured.node_values,
            migrating: moving,
            ..RecoveredState::default()
        };
        let session =
            ControllerCore::start(self.now, 7, configured.deployment, 0, found).expect("it starts");
        let mut running = Running {
            session,
            rollout,
            at_disk: Vec::new(),
        };
        let record = |port: u16| EndpointRecord {
            node: node(port),
            zone: if port <= 3 { "north" } else { "south" }.to_string(),
            kind: String::new(),
            cell: String::new(),
            draining: false,
            weight: 1.0,
            started: Some((format!("{port}"), span(100.0))),
        };
        let list = EndpointSnapshot {
            version: "1".into(),
            records: (1..=6).map(record).collect(),
        };
        running
            .session
            .observe(self.now, Observation::EndpointList(Ok(list)));
        self.controller = Some(running);
        let after = |n: usize| self.now + span(0.05 + 0.04 * n as f64);
        self.joins = proxies()
            .into_iter()
            .enumerate()
            .map(|(n, (name, _))| (after(n), name))
            .collect();
    }

    fn join(&mut self) {
        let Some(running) = &mut self.controller else {
            return;
        };
        let (due, later) = std::mem::take(&mut self.joins)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.joins = later;
        let due: Vec<(Moment, String)> = due;
        for (_, name) in due {
            self.streams += 1;
            let zone = name.split('-').next().unwrap_or_default().to_string();
            let who = ProxyIdentity {
                name: name.clone(),
                zone,
                usual_rate: None,
            };
            let opened = Observation::StreamOpened {
                stream: StreamId(self.streams),
                proxy_identity: who,
            };
            running.session.observe(self.now, opened);
            if let Some(set) = self.links.get(&name) {
                let (proxy, version) = (name, set.version);
                running.session.observe(
                    self.now,
                    Observation::StatusReported {
                        proxy,
                        version,
                        rejection: None,
                    },
                );
            }
        }
    }

    /// Every joined proxy tells what it met in the last period.
    fn report(&mut self) {
        let Some(running) = &mut self.controller else {
            return;
        };
        let joined = running
            .session
            .members()
            .members()
            .filter(|(_, member)| member.is_joined());
        let joined: Vec<(String, StreamId)> = joined
            .filter_map(|(name, member)| Some((name.to_string(), member.stream()?)))
            .collect();
        for (name, stream) in joined {
            let Some(set) = self.links.get(&name) else {
                continue;
            };
            let errs = self.end == End::Broken && set.configuration == 2;
            let operations = set.operations.iter().map(|table| {
                let count = 6 / table.entries.len().max(1) as u64;
                let met = |line: &wheelspread_controller_core::TableEntry| NodeReport {
                    node: Some(line.node),
                    succeeded: if errs { 0 } else { count },
                    errored: if errs { count } else { 0 },
                    ..NodeReport::default()
                };
                OperationReport {
                    operation: ["quote", "tour-plan"][usize::from(table.operation.0)].to_string(),
                    nodes: table.entries.iter().map(met).collect(),
                    ..OperationReport::default()
                }
            });
            let report = LoadReport {
                window: span(0.2),
                operations: operations.collect(),
            };
            running
                .session
                .observe(self.now, Observation::LoadReport { stream, report });
        }
    }

    /// What a proxy sees from now on.
    fn swap(&mut self, proxy: &str, set: &Arc<TableSet>) {
        let known = self.seen.entry(set.version).or_insert_with(|| set.clone());
        assert_eq!(known, set, "one version, two contents");
        if let Some(before) = self.links.insert(proxy.to_string(), set.clone()) {
            assert!(
                before.version <= set.version,
                "{proxy}: versions never fall"
            );
            let (was, is) = (before.configuration, set.configuration);
            assert!(
                was <= is,
                "{proxy} went from configuration {was} back to {is}"
            );
        }
        self.configurations.insert(set.configuration);
        for table in &set.operations {
            assert!(
                !table.entries.is_empty(),
                "{proxy} has no line for {:?}",
                table.operation
            );
        }
        // The moved node serves in one pool or in none: two proxies never find it in both.
        let names = |set: &TableSet| {
            set.operations
                .iter()
                .any(|t| t.entries.iter().any(|l| l.node == node(MOVED)))
        };
        let pools: BTreeSet<&str> = self
            .links
            .iter()
            .filter(|(_, set)| names(set))
            .filter_map(|(name, _)| name.split('-').next())
            .collect();
        assert!(pools.len() <= 1, "in both pools at {:?}", self.now);
    }

    /// Carries out what the controller says, action by action; `None`: it was killed.
    fn turn(&mut self) -> Option<()> {
        let mut running = self.controller.take()?;
        self.write_tables(&mut running)?;
        self.carry_out_rollout(&mut running)?;
        self.finish_writes(&mut running)?;
        self.controller = Some(running);
        Some(())
    }

    /// Comes by an action; `None`: the controller is killed there.
    fn survive(&mut self) -> Option<()> {
        match self.point() {
            true => None,
            false => Some(()),
        }
    }

    /// Swaps the tables of proxies, and lets them report that they have them.
    fn write_tables(&mut self, running: &mut Running) -> Option<()> {
        let mut effects = Vec::new();
        running.session.settle(self.now, &mut effects);
        for effect in effects {
            let Effect::WriteTables { proxy, set } = effect else {
                continue;
            };
            self.survive()?;
            self.swap(&proxy, &set);
            self.survive()?;
            let version = set.version;
            let written = Observation::TablesWritten {
                proxy: proxy.clone(),
                version,
                result: Ok(()),
            };
            running.session.observe(self.now, written);
            let reported = Observation::StatusReported {
                proxy,
                version,
                rejection: None,
            };
            running.session.observe(self.now, reported);
        }
        Some(())
    }

    fn carry_out_rollout(&mut self, running: &mut Running) -> Option<()> {
        let mut actions = Vec::new();
        running
            .rollout
            .settle(self.now, &running.session, &mut actions);
        for action in actions {
            match action {
                RolloutAction::Write { number, commit } => {
                    self.survive()?;
                    let done_at = self.now + self.disk_takes;
                    running.at_disk.push((done_at, number, commit));
                }
                RolloutAction::Configure(update) => {
                    self.survive()?;
                    assert_eq!(
                        self.kept.configuration.version, update.version,
                        "seen before the disk has it"
                    );
                    let updated = Observation::ConfigUpdated(update);
                    running.session.observe(self.now, updated);
                    self.survive()?;
                }
                RolloutAction::Answer { request, result } => self.answered(request, result),
                RolloutAction::Log(_) => {}
            }
        }
        Some(())
    }

    /// Writes what the disk is through with by now, if it is not full.
    fn finish_writes(&mut self, running: &mut Running) -> Option<()> {
        for (at, number, commit) in std::mem::take(&mut running.at_disk) {
            if at > self.now {
                running.at_disk.push((at, number, commit));
                continue;
            }
            if self.now < self.disk_full_until {
                let error = WriteError("the disk is full".into());
                running
                    .rollout
                    .on_write_completed(self.now, number, Err(error));
                continue;
            }
            self.kept.apply(commit);
            // On the disk, and not reported yet.
            self.survive()?;
            running.rollout.on_write_completed(self.now, number, Ok(()));
        }
        Some(())
    }

    /// The operator repeats commands until they are answered.
    fn operate(&mut self) {
        let state = self.record().map(|record| record.state);
        let ask = match (self.staged, self.applied, self.undone) {
            (false, ..) => RolloutCommand::Stage(change()),
            (true, false, _) => RolloutCommand::Apply(change().id),
            (true, true, false)
                if self.end == End::Undone && state == Some(ChangeState::Watched) =>
            {
                RolloutCommand::Undo(change().id, "not liked".into())
            }
            _ => return,
        };
        let Some(running) = &mut self.controller else {
            return;
        };
        self.orders += 1;
        running
            .rollout
            .handle_command(self.now, self.orders, ask, &running.session);
    }

    fn answered(&mut self, _: u64, result: Result<Answer, ChangeError>) {
        let record = match result {
            Ok(Answer::Change(record)) => record,
            Ok(other) => panic!("{other:?}"),
            Err(refused) => panic!("{refused}"),
        };
        match record.state {
            ChangeState::Proposed | ChangeState::Checked => {}
            ChangeState::Staged => self.staged = true,
            ChangeState::Applying | ChangeState::Watched | ChangeState::Kept => {
                (self.staged, self.applied) = (true, true);
            }
            ChangeState::Undoing | ChangeState::Undone => {
                (self.staged, self.applied, self.undone) = (true, true, true);
            }
            ChangeState::Refused => panic!("{:?}", record.reason),
        }
    }

    fn record(&self) -> Option<&ChangeRecord> {
        self.controller
            .as_ref()?
            .rollout
            .ledger()
            .record(&change().id)
    }

    fn over(&self) -> bool {
        let wanted = if self.end == End::Kept {
            ChangeState::Kept
        } else {
            ChangeState::Undone
        };
        let there = self.record().is_some_and(|record| record.state == wanted);
        let is_written = self
            .controller
            .as_ref()
            .is_some_and(|running| running.rollout.unwritten() == 0);
        there && is_written && self.joins.is_empty()
    }

    fn play(&mut self) {
        let (mut ticks, mut quiet) = (0u64, 0);
        while quiet < 100 {
            self.now = self.now + span(0.01);
            ticks += 1;
            assert!(ticks < 6000, "it hangs: {:?}", self.record());
            if self.controller.is_none() && self.now >= self.starts_at {
                self.start();
            }
            self.join();
            if ticks.is_multiple_of(20) {
                self.report();
            }
            if ticks > 150 && ticks.is_multiple_of(30) {
                self.operate();
            }
            if self.turn().is_none() {
                self.controller = None;
            }
            quiet = if self.over() { quiet + 1 } else { 0 };
        }
        self.check();
    }

    /// All proxies hold one configuration, the right one, and nothing was applied twice.
    fn check(&self) {
        let record = self.record().expect("known");
        let version = if self.end == End::Kept { 2 } else { 3 };
        assert_eq!(
            (record.applied_version, self.kept.configuration.version),
            (Some(2), version),
            "applied once"
        );
        assert_eq!(
            self.kept.changes[&change().id.0].state,
            record.state,
            "the disk knows how it ended"
        );
        assert!(
            self.configurations.iter().all(|seen| *seen <= version),
            "{:?}",
            self.configurations
        );
        for (name, set) in &self.links {
            assert_eq!(set.configuration, version, "{name}");
            let there = set
                .operations
                .iter()
                .all(|t| t.entries.iter().any(|line| line.node == node(MOVED)));
            let pool = if self.end == End::Kept {
                "south"
            } else {
                "north"
            };
            assert_eq!(there, name.starts_with(pool), "{name} {set:?}");
        }
    }
}

#[test_case(End::Kept; "kept")]
#[test_case(End::Undone; "undone by an operator")]
#[test_case(End::Broken; "undone by its watch")]
fn a_controller_killed_at_any_action_ends_as_one_that_was_not(end: End) {
    let mut quiet = World::new(end, vec![]);
    quiet.play();
    let actions = quiet.actions;
    assert!(actions > 30, "{actions}");
    let mut runs = 0;
    for first in 1..=actions {
        let mut world = World::new(end, vec![first]);
        world.play();
        assert_eq!(world.killed, 1, "action {first}");
        runs += 1;
        // Again while it recovers: its first actions after the start, then further apart.
        for second in [1, 2, 4, 9].map(|after| first + after) {
            World::new(end, vec![first, second]).play();
            runs += 1;
        }
    }
    println!("{end:?}: {actions} actions, {runs} runs with kills");
}

#[test]
fn a_slow_or_full_disk_delays_the_change_and_nothing_else() {
    let mut slow = World::new(End::Kept, vec![]);
    slow.disk_takes = span(2.0);
    slow.play();
    let mut full = World::new(End::Kept, vec![]);
    full.disk_full_until = full.now + span(3.0);
    full.play();
    // A disk that stays full longer than a change may take to apply: it never was in force, and says so.
    let mut stuck = World::new(End::Undone, vec![]);
    stuck.staged_then_full(9.0);
    assert_eq!(
        stuck.record().map(|record| record.state),
        Some(ChangeState::Undone)
    );
    assert!(
        stuck.links.values().all(|set| set.configuration != 2),
        "no proxy ever saw it"
    );
}

impl World {
    fn staged_then_full(&mut self, seconds: f64) {
        for tick in 0..2500u64 {
            self.now = self.now + span(0.01);
            if self.controller.is_none() {
                self.start();
            }
            self.join();
            if tick.is_multiple_of(20) {
                self.report();
            }
            if tick > 150 && tick.is_multiple_of(30) && !self.applied {
                self.operate();
            }
            if self.staged && !self.applied && self.disk_full_until == Moment::default() {
                self.disk_full_until = self.now + span(seconds);
            }
            self.turn();
        }
    }
}
