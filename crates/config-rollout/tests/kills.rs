//! Runs a controller with its disk and its proxies under a scripted clock, and kills it before and after every action
//! that a proxy or the disk could see, once and a second time during recovery, while a change is applied, kept, undone
//! by an operator or undone by its watch. Guards against changes that are lost, applied twice or applied in part.

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

/// The port of the node that the change migrates from `north` to `south`.
const MIGRATED: u16 = 1;

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
    serde_json::from_value(deployment).expect("a valid deployment")
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
            max_value_loss_ratio: 0.5,
            max_warming_work_share: 0.9,
            max_propagation_time: span(4.0),
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
            format!("nodes.127.0.0.1:{MIGRATED}.zone"),
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
enum Outcome {
    Kept,
    /// An operator undoes the change while it is watched.
    UndoneByOperator,
    /// Every attempt fails once the change is in force.
    UndoneByWatch,
}

struct RunningController {
    core: ControllerCore,
    rollout: Rollout,
    /// Writes in progress, each with the time at which it completes.
    disk_writes: Vec<(Moment, u64, Commit)>,
}

struct Simulation {
    now: Moment,
    outcome: Outcome,
    controller: Option<RunningController>,
    starts_at: Moment,
    // State that survives a kill of the controller.
    persisted: PersistedState,
    /// The tables of each proxy.
    proxy_tables: BTreeMap<String, Arc<TableSet>>,
    /// Every table version ever published, to check that no version has two contents.
    published: BTreeMap<Version, Arc<TableSet>>,
    published_configurations: BTreeSet<u64>,
    // State of the operator.
    staged: bool,
    applied: bool,
    undone: bool,
    command_count: u64,
    pending_joins: Vec<(Moment, String)>,
    stream_count: u64,
    write_duration: Span,
    disk_full_until: Moment,
    // Kills: `kill_at` lists the actions, by number, at which the controller is killed.
    action_count: u64,
    kill_at: Vec<u64>,
    kill_count: u64,
}

fn proxies() -> Vec<(String, &'static str)> {
    ["north", "south"]
        .into_iter()
        .flat_map(|zone| (0..2).map(move |n| (format!("{zone}-{n}"), zone)))
        .collect()
}

impl Simulation {
    fn new(outcome: Outcome, kill_at: Vec<u64>) -> Simulation {
        Simulation {
            now: Moment::from_seconds(1000.0),
            outcome,
            controller: None,
            starts_at: Moment::from_seconds(1000.0),
            persisted: PersistedState::default(),
            proxy_tables: BTreeMap::new(),
            published: BTreeMap::new(),
            published_configurations: BTreeSet::new(),
            staged: false,
            applied: false,
            undone: false,
            command_count: 0,
            pending_joins: Vec::new(),
            stream_count: 0,
            write_duration: span(0.004),
            disk_full_until: Moment::default(),
            action_count: 0,
            kill_at,
            kill_count: 0,
        }
    }

    /// Counts an action; `true` if the controller is killed at it.
    fn is_killed_here(&mut self) -> bool {
        self.action_count += 1;
        if !self.kill_at.contains(&self.action_count) {
            return false;
        }
        self.kill_count += 1;
        self.starts_at = self.now + span(0.15);
        true
    }

    fn start(&mut self) {
        let (rollout, initial_update, migrating_nodes) =
            Rollout::start(self.now, deployment(), settings(), &self.persisted);
        let versions = self.proxy_tables.values().map(|set| set.version).collect();
        let held_tables = self
            .proxy_tables
            .iter()
            .map(|(proxy, set)| (proxy.clone(), TableSet::clone(set)))
            .collect();
        let min_version = Version(self.published.keys().last().map_or(0, |last| last.0) + 100);
        let recovered_state = RecoveredState {
            tables: held_tables,
            versions,
            version_floor: min_version,
            configuration: initial_update.version,
            node_values: initial_update.node_values,
            migrating: migrating_nodes,
            ..RecoveredState::default()
        };
        let core =
            ControllerCore::start(self.now, 7, initial_update.deployment, 0, recovered_state)
                .expect("the controller core starts");
        let mut running = RunningController {
            core,
            rollout,
            disk_writes: Vec::new(),
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
            .core
            .observe(self.now, Observation::EndpointList(Ok(list)));
        self.controller = Some(running);
        let after = |n: usize| self.now + span(0.05 + 0.04 * n as f64);
        self.pending_joins = proxies()
            .into_iter()
            .enumerate()
            .map(|(n, (name, _))| (after(n), name))
            .collect();
    }

    fn join_proxies(&mut self) {
        let Some(running) = &mut self.controller else {
            return;
        };
        let (due, later) = std::mem::take(&mut self.pending_joins)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.pending_joins = later;
        let due: Vec<(Moment, String)> = due;
        for (_, name) in due {
            self.stream_count += 1;
            let zone = name.split('-').next().unwrap_or_default().to_string();
            let identity = ProxyIdentity {
                name: name.clone(),
                zone,
                usual_rate: None,
            };
            let opened = Observation::StreamOpened {
                stream: StreamId(self.stream_count),
                proxy_identity: identity,
            };
            running.core.observe(self.now, opened);
            if let Some(set) = self.proxy_tables.get(&name) {
                let (proxy, version) = (name, set.version);
                running.core.observe(
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

    /// Sends a load report of every joined proxy for the last report period.
    fn send_load_reports(&mut self) {
        let Some(running) = &mut self.controller else {
            return;
        };
        let joined = running
            .core
            .members()
            .members()
            .filter(|(_, member)| member.is_joined());
        let joined: Vec<(String, StreamId)> = joined
            .filter_map(|(name, member)| Some((name.to_string(), member.stream()?)))
            .collect();
        for (name, stream) in joined {
            let Some(set) = self.proxy_tables.get(&name) else {
                continue;
            };
            let fails = self.outcome == Outcome::UndoneByWatch && set.configuration == 2;
            let operations = set.operations.iter().map(|table| {
                let count = 6 / table.entries.len().max(1) as u64;
                let node_report = |entry: &wheelspread_controller_core::TableEntry| NodeReport {
                    node: Some(entry.node),
                    succeeded: if fails { 0 } else { count },
                    errored: if fails { count } else { 0 },
                    ..NodeReport::default()
                };
                OperationReport {
                    operation: ["quote", "tour-plan"][usize::from(table.operation.0)].to_string(),
                    nodes: table.entries.iter().map(node_report).collect(),
                    ..OperationReport::default()
                }
            });
            let report = LoadReport {
                window: span(0.2),
                operations: operations.collect(),
            };
            running
                .core
                .observe(self.now, Observation::LoadReport { stream, report });
        }
    }

    /// Replaces the tables of a proxy and checks the invariants that proxies rely on.
    fn publish(&mut self, proxy: &str, set: &Arc<TableSet>) {
        let first_published = self
            .published
            .entry(set.version)
            .or_insert_with(|| set.clone());
        assert_eq!(first_published, set, "one version has two contents");
        if let Some(before) = self.proxy_tables.insert(proxy.to_string(), set.clone()) {
            assert!(
                before.version <= set.version,
                "{proxy}: versions never decrease"
            );
            let (previous, current) = (before.configuration, set.configuration);
            assert!(
                previous <= current,
                "{proxy} went from configuration {previous} back to {current}"
            );
        }
        self.published_configurations.insert(set.configuration);
        for table in &set.operations {
            assert!(
                !table.entries.is_empty(),
                "{proxy} has no entry for {:?}",
                table.operation
            );
        }
        // The migrated node is in the tables of at most one pool at any time, over all proxies.
        let lists_migrated_node = |set: &TableSet| {
            set.operations
                .iter()
                .any(|t| t.entries.iter().any(|entry| entry.node == node(MIGRATED)))
        };
        let pools: BTreeSet<&str> = self
            .proxy_tables
            .iter()
            .filter(|(_, set)| lists_migrated_node(set))
            .filter_map(|(name, _)| name.split('-').next())
            .collect();
        assert!(
            pools.len() <= 1,
            "the migrated node is in both pools at {:?}",
            self.now
        );
    }

    /// Carries out the controller's actions one by one; `None` if it was killed.
    fn run_controller(&mut self) -> Option<()> {
        let mut running = self.controller.take()?;
        self.write_tables(&mut running)?;
        self.carry_out_rollout(&mut running)?;
        self.finish_writes(&mut running)?;
        self.controller = Some(running);
        Some(())
    }

    /// Counts an action; `None` if the controller is killed at it.
    fn check_kill(&mut self) -> Option<()> {
        match self.is_killed_here() {
            true => None,
            false => Some(()),
        }
    }

    /// Replaces the tables of proxies and reports the versions that the proxies have.
    fn write_tables(&mut self, running: &mut RunningController) -> Option<()> {
        let mut effects = Vec::new();
        running.core.settle(self.now, &mut effects);
        for effect in effects {
            let Effect::WriteTables { proxy, set } = effect else {
                continue;
            };
            self.check_kill()?;
            self.publish(&proxy, &set);
            self.check_kill()?;
            let version = set.version;
            let written = Observation::TablesWritten {
                proxy: proxy.clone(),
                version,
                result: Ok(()),
            };
            running.core.observe(self.now, written);
            let reported = Observation::StatusReported {
                proxy,
                version,
                rejection: None,
            };
            running.core.observe(self.now, reported);
        }
        Some(())
    }

    fn carry_out_rollout(&mut self, running: &mut RunningController) -> Option<()> {
        let mut actions = Vec::new();
        running
            .rollout
            .settle(self.now, &running.core, &mut actions);
        for action in actions {
            match action {
                RolloutAction::Write { number, commit } => {
                    self.check_kill()?;
                    let done_at = self.now + self.write_duration;
                    running.disk_writes.push((done_at, number, commit));
                }
                RolloutAction::Configure(update) => {
                    self.check_kill()?;
                    assert_eq!(
                        self.persisted.configuration.version, update.version,
                        "a configuration was put in force before it was on disk"
                    );
                    let updated = Observation::ConfigUpdated(update);
                    running.core.observe(self.now, updated);
                    self.check_kill()?;
                }
                RolloutAction::Answer { request, result } => self.handle_answer(request, result),
                RolloutAction::Log(_) => {}
            }
        }
        Some(())
    }

    /// Completes the writes that are due, or fails them while the disk is full.
    fn finish_writes(&mut self, running: &mut RunningController) -> Option<()> {
        for (at, number, commit) in std::mem::take(&mut running.disk_writes) {
            if at > self.now {
                running.disk_writes.push((at, number, commit));
                continue;
            }
            if self.now < self.disk_full_until {
                let error = WriteError("the disk is full".into());
                running
                    .rollout
                    .on_write_completed(self.now, number, Err(error));
                continue;
            }
            self.persisted.apply(commit);
            // A kill here comes after the write and before its report.
            self.check_kill()?;
            running.rollout.on_write_completed(self.now, number, Ok(()));
        }
        Some(())
    }

    /// Sends the operator's next command; a command is repeated until its answer shows that it was carried out.
    fn send_command(&mut self) {
        let state = self.record().map(|record| record.state);
        let command = match (self.staged, self.applied, self.undone) {
            (false, ..) => RolloutCommand::Stage(change()),
            (true, false, _) => RolloutCommand::Apply(change().id),
            (true, true, false)
                if self.outcome == Outcome::UndoneByOperator
                    && state == Some(ChangeState::Watched) =>
            {
                RolloutCommand::Undo(change().id, "not liked".into())
            }
            _ => return,
        };
        let Some(running) = &mut self.controller else {
            return;
        };
        self.command_count += 1;
        running
            .rollout
            .handle_command(self.now, self.command_count, command, &running.core);
    }

    fn handle_answer(&mut self, _: u64, result: Result<Answer, ChangeError>) {
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

    fn is_finished(&self) -> bool {
        let expected_state = if self.outcome == Outcome::Kept {
            ChangeState::Kept
        } else {
            ChangeState::Undone
        };
        let is_in_state = self
            .record()
            .is_some_and(|record| record.state == expected_state);
        let is_written = self
            .controller
            .as_ref()
            .is_some_and(|running| running.rollout.pending_write_count() == 0);
        is_in_state && is_written && self.pending_joins.is_empty()
    }

    fn run(&mut self) {
        let (mut ticks, mut finished_ticks) = (0u64, 0);
        while finished_ticks < 100 {
            self.now = self.now + span(0.01);
            ticks += 1;
            assert!(
                ticks < 6000,
                "the change does not finish: {:?}",
                self.record()
            );
            if self.controller.is_none() && self.now >= self.starts_at {
                self.start();
            }
            self.join_proxies();
            if ticks.is_multiple_of(20) {
                self.send_load_reports();
            }
            if ticks > 150 && ticks.is_multiple_of(30) {
                self.send_command();
            }
            if self.run_controller().is_none() {
                self.controller = None;
            }
            finished_ticks = if self.is_finished() {
                finished_ticks + 1
            } else {
                0
            };
        }
        self.assert_final_state();
    }

    /// Checks that all proxies have the expected configuration, and that the change was applied exactly once.
    fn assert_final_state(&self) {
        let record = self.record().expect("known");
        let version = if self.outcome == Outcome::Kept { 2 } else { 3 };
        assert_eq!(
            (record.applied_version, self.persisted.configuration.version),
            (Some(2), version),
            "the change was applied exactly once"
        );
        assert_eq!(
            self.persisted.changes[&change().id.0].state,
            record.state,
            "the final state is on disk"
        );
        assert!(
            self.published_configurations
                .iter()
                .all(|published| *published <= version),
            "{:?}",
            self.published_configurations
        );
        for (name, set) in &self.proxy_tables {
            assert_eq!(set.configuration, version, "{name}");
            let is_listed = set
                .operations
                .iter()
                .all(|t| t.entries.iter().any(|entry| entry.node == node(MIGRATED)));
            let pool = if self.outcome == Outcome::Kept {
                "south"
            } else {
                "north"
            };
            assert_eq!(is_listed, name.starts_with(pool), "{name} {set:?}");
        }
    }
}

#[test_case(Outcome::Kept; "kept")]
#[test_case(Outcome::UndoneByOperator; "undone by an operator")]
#[test_case(Outcome::UndoneByWatch; "undone by its watch")]
fn a_controller_killed_at_any_action_reaches_the_same_final_state(outcome: Outcome) {
    let mut undisturbed = Simulation::new(outcome, vec![]);
    undisturbed.run();
    let actions = undisturbed.action_count;
    assert!(actions > 30, "{actions}");
    let mut runs = 0;
    for first in 1..=actions {
        let mut simulation = Simulation::new(outcome, vec![first]);
        simulation.run();
        assert_eq!(simulation.kill_count, 1, "action {first}");
        runs += 1;
        // The second kill happens during recovery: 1, 2, 4 or 9 actions after the first.
        for second in [1, 2, 4, 9].map(|after| first + after) {
            Simulation::new(outcome, vec![first, second]).run();
            runs += 1;
        }
    }
    println!("{outcome:?}: {actions} actions, {runs} runs with kills");
}

#[test]
fn a_slow_or_full_disk_only_delays_a_change_or_leaves_it_undone() {
    let mut slow = Simulation::new(Outcome::Kept, vec![]);
    slow.write_duration = span(2.0);
    slow.run();
    let mut full = Simulation::new(Outcome::Kept, vec![]);
    full.disk_full_until = full.now + span(3.0);
    full.run();
    // The disk stays full longer than the deadline for applying a change: the change is undone, and no proxy got it.
    let mut stuck = Simulation::new(Outcome::UndoneByOperator, vec![]);
    stuck.run_with_disk_full_after_staging(9.0);
    assert_eq!(
        stuck.record().map(|record| record.state),
        Some(ChangeState::Undone)
    );
    assert!(
        stuck
            .proxy_tables
            .values()
            .all(|set| set.configuration != 2),
        "no proxy got the change"
    );
}

impl Simulation {
    /// Runs for 25 s; the disk is full for `seconds` from the time at which the change is staged.
    fn run_with_disk_full_after_staging(&mut self, seconds: f64) {
        for tick in 0..2500u64 {
            self.now = self.now + span(0.01);
            if self.controller.is_none() {
                self.start();
            }
            self.join_proxies();
            if tick.is_multiple_of(20) {
                self.send_load_reports();
            }
            if tick > 150 && tick.is_multiple_of(30) && !self.applied {
                self.send_command();
            }
            if self.staged && !self.applied && self.disk_full_until == Moment::default() {
                self.disk_full_until = self.now + span(seconds);
            }
            self.run_controller();
        }
    }
}
