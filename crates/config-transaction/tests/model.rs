//! Searches every order of events breadth-first with the real ledger: two operators whose commands and answers may be
//! lost and repeated, a disk that may lose an unfinished write, crashes at any time and during recovery, and proxies
//! that apply new values early or late. The search must also find the fault of each variant that is broken on purpose,
//! within a bounded number of steps.

use pathfinding::directed::bfs::bfs;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use test_case::test_case;
use wheelspread::time::{Moment, Span};
use wheelspread_config_transaction::{
    Change, ChangeEffect, ChangeError, ChangeEvent, ChangeId, ChangeState, CheckReport,
    Configuration, Ledger,
};
use wheelspread_config_transaction::{ChangeRecord, Deadlines, LedgerAction};

fn deadlines() -> Deadlines {
    let span = Span::from_seconds(10.0);
    Deadlines {
        checks: span,
        write: span,
        staged: span,
        apply: span,
        watch: span,
    }
}

/// Changes `a` and `b` of two operators; both set `price` and were made against the same version.
fn change(name: &str) -> Change {
    let (by, value) = if name == "a" {
        ("ada", "5")
    } else {
        ("bob", "7")
    };
    let sets = [
        ("price".to_string(), Some(value.to_string())),
        (name.to_string(), Some("1".to_string())),
    ];
    Change {
        id: ChangeId(name.into()),
        by: by.into(),
        base: 1,
        sets: sets.into(),
    }
}

/// A ledger that is compared and hashed by its configuration and its records.
#[derive(Clone)]
struct ComparableLedger(Ledger);

impl ComparableLedger {
    fn comparison_key(&self) -> (&Configuration, Vec<&ChangeRecord>) {
        (self.0.configuration(), self.0.records().collect())
    }
}

impl PartialEq for ComparableLedger {
    fn eq(&self, other: &ComparableLedger) -> bool {
        self.comparison_key() == other.comparison_key()
    }
}

impl Eq for ComparableLedger {}

impl Hash for ComparableLedger {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.comparison_key().hash(to);
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Write {
    configuration: Configuration,
    record: ChangeRecord,
    after: Option<AfterWrite>,
}

/// The action that follows when a write completes.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum AfterWrite {
    Stage,
    Send,
}

/// A controller with its disk and its proxies.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Controller {
    /// `None` while the process is down.
    memory: Option<ComparableLedger>,
    pending_writes: VecDeque<Write>,
    disk: (Configuration, BTreeMap<String, ChangeRecord>),
    /// The configurations sent to the proxies, by version.
    sent: BTreeMap<u64, Configuration>,
    /// The version that the proxies have.
    proxy_version: u64,
    /// The first sign of a fault: a version with two different contents, or a version that decreased.
    violation: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Correct,
    /// Sends values to the proxies before they are on disk.
    SendsBeforeWrite,
    /// Loses changes in progress at a crash.
    LosesWork,
}

impl Controller {
    fn new() -> Controller {
        let first = Configuration {
            version: 1,
            values: BTreeMap::new(),
        };
        Controller {
            memory: Some(ComparableLedger(Ledger::new(first.clone(), deadlines()))),
            pending_writes: VecDeque::new(),
            disk: (first.clone(), BTreeMap::new()),
            sent: BTreeMap::from([(1, first)]),
            proxy_version: 1,
            violation: None,
        }
    }

    fn send_to_proxies(&mut self, configuration: &Configuration) {
        let known = self
            .sent
            .entry(configuration.version)
            .or_insert_with(|| configuration.clone());
        if known != configuration {
            self.violation = Some(format!(
                "version {} was sent with two different contents",
                configuration.version
            ));
        }
        if configuration.version < self.proxy_version {
            self.violation = Some(format!(
                "proxies went from version {} back to version {}",
                self.proxy_version, configuration.version
            ));
        }
        self.proxy_version = configuration.version;
    }

    fn queue_writes(&mut self, actions: Vec<LedgerAction>, variant: Variant) {
        let Some(ComparableLedger(ledger)) = self.memory.clone() else {
            return;
        };
        for LedgerAction { id, effect } in actions {
            let after = match effect {
                ChangeEffect::Write => Some(AfterWrite::Stage),
                ChangeEffect::ApplyValues | ChangeEffect::RestoreValues => Some(AfterWrite::Send),
                _ => None,
            };
            let record = ledger.record(&id).expect("known").clone();
            if variant == Variant::SendsBeforeWrite && after == Some(AfterWrite::Send) {
                self.send_to_proxies(ledger.configuration());
            }
            let write = Write {
                configuration: ledger.configuration().clone(),
                record,
                after,
            };
            if !self.pending_writes.contains(&write) {
                self.pending_writes.push_back(write);
            }
        }
    }

    /// Runs a command on the ledger; `None` if the ledger rejects it or the process is down.
    fn run_command(
        &self,
        variant: Variant,
        command: impl FnOnce(&mut Ledger) -> Result<Vec<LedgerAction>, ChangeError>,
    ) -> Option<Controller> {
        let mut next = self.clone();
        let ComparableLedger(ledger) = next.memory.as_mut()?;
        let actions = command(ledger).ok()?;
        next.queue_writes(actions, variant);
        Some(next)
    }

    fn complete_write(&self, variant: Variant) -> Option<Controller> {
        let mut next = self.clone();
        next.memory.as_ref()?;
        let write = next.pending_writes.pop_front()?;
        next.disk.0 = write.configuration.clone();
        next.disk
            .1
            .insert(write.record.change.id.0.clone(), write.record.clone());
        let ComparableLedger(ledger) = next.memory.as_mut()?;
        match write.after {
            Some(AfterWrite::Stage) => {
                let _ = ledger.handle_event(
                    Moment::default(),
                    &write.record.change.id,
                    ChangeEvent::Written,
                    None,
                );
            }
            // The change was undone before this write completed; the previous values are sent after their own write.
            Some(AfterWrite::Send)
                if ledger.configuration().version != write.configuration.version => {}
            Some(AfterWrite::Send) if variant != Variant::SendsBeforeWrite => {
                next.send_to_proxies(&write.configuration);
            }
            _ => {}
        }
        Some(next)
    }

    /// Stops the process; the first pending write may be on disk or not.
    fn crash(&self) -> Vec<Controller> {
        let stopped = |mut controller: Controller| {
            (controller.memory, controller.pending_writes) = (None, VecDeque::new());
            controller
        };
        let mut outcomes = vec![stopped(self.clone())];
        if let Some(write) = self.pending_writes.front() {
            let mut controller = self.clone();
            controller.disk.0 = write.configuration.clone();
            controller
                .disk
                .1
                .insert(write.record.change.id.0.clone(), write.record.clone());
            outcomes.push(stopped(controller));
        }
        outcomes
    }

    fn start(&self, variant: Variant) -> Controller {
        let mut next = self.clone();
        let (configuration, records) = next.disk.clone();
        let is_recovered =
            |record: &ChangeRecord| variant != Variant::LosesWork || !record.state.is_in_progress();
        let records = records.into_values().filter(is_recovered).collect();
        let (ledger, _) = Ledger::recover(
            Moment::default(),
            configuration.clone(),
            records,
            deadlines(),
        );
        next.memory = Some(ComparableLedger(ledger));
        next.send_to_proxies(&configuration);
        next
    }

    fn successors(&self, variant: Variant) -> Vec<Controller> {
        let now = Moment::default();
        if self.memory.is_none() {
            return vec![self.start(variant)];
        }
        let mut next = self.crash();
        next.extend(self.complete_write(variant));
        for name in ["a", "b"] {
            let id = ChangeId(name.to_string());
            let ledger =
                |command: &dyn Fn(&mut Ledger) -> Result<Vec<LedgerAction>, ChangeError>| {
                    self.run_command(variant, command)
                };
            next.extend(ledger(&|l| {
                l.propose(now, change(name))?;
                l.record_checks(now, &id, CheckReport::default())
            }));
            next.extend(ledger(&|l| l.apply(now, &id)));
            next.extend(ledger(&|l| l.undo(now, &id, "not liked")));
            next.extend(ledger(&|l| {
                l.handle_event(now, &id, ChangeEvent::DeadlineExceeded, None)
            }));
            next.extend(ledger(&|l| {
                l.handle_event(now, &id, ChangeEvent::WatchCompleted, None)
            }));
            // Proxies can report a version only after it was sent to them.
            let version = self
                .memory
                .as_ref()
                .map(|memory| memory.0.configuration().version);
            if version == Some(self.proxy_version)
                && self
                    .pending_writes
                    .iter()
                    .all(|write| write.after.is_none())
            {
                next.extend(ledger(&|l| {
                    l.handle_event(now, &id, ChangeEvent::InForce, None)
                }));
            }
        }
        next.retain(|next| next != self);
        next
    }

    /// Returns a description of the first invariant that does not hold, if any.
    fn violation(&self) -> Option<String> {
        if let Some(violation) = &self.violation {
            return Some(violation.clone());
        }
        let Some(ComparableLedger(ledger)) = &self.memory else {
            return None;
        };
        let in_progress_count = ledger
            .records()
            .filter(|record| record.state.is_in_progress())
            .count();
        if in_progress_count > 1 {
            return Some("two changes are in progress".to_string());
        }
        // No version was created by two changes, so each change was applied at most once and undone at most once.
        let versions: Vec<u64> = ledger
            .records()
            .flat_map(|record| {
                record
                    .applied_version
                    .into_iter()
                    .chain(record.undone_version)
            })
            .collect();
        if versions.iter().collect::<BTreeSet<_>>().len() != versions.len() {
            return Some("one version was created by two changes".to_string());
        }
        if in_progress_count == 0 && self.pending_writes.is_empty() {
            return self.differing_proxies(ledger);
        }
        None
    }

    /// With no change in progress and no pending write, the proxies must have the values of the kept changes.
    fn differing_proxies(&self, ledger: &Ledger) -> Option<String> {
        let kept = ledger
            .records()
            .filter(|record| record.state == ChangeState::Kept);
        let mut expected = BTreeMap::new();
        for record in kept {
            let sets = record.change.sets.iter();
            expected.extend(sets.filter_map(|(path, to)| Some((path.clone(), to.clone()?))));
        }
        let proxy_values = &self.sent.get(&self.proxy_version)?.values;
        (*proxy_values != expected)
            .then(|| format!("proxies have {proxy_values:?}, expected {expected:?}"))
    }
}

/// Returns the number of states expanded, and the length of the shortest path to a state with a violation.
fn search<S: Clone + Eq + Hash>(
    start: S,
    successors: impl Fn(&S) -> Vec<S>,
    is_violation: impl Fn(&S) -> bool,
) -> (usize, Option<usize>) {
    let states = Cell::new(0);
    let next = |state: &S| {
        states.set(states.get() + 1);
        successors(state)
    };
    let path = bfs(&start, next, is_violation);
    (states.get(), path.map(|path| path.len()))
}

#[test]
fn one_controller_stays_consistent_in_every_order_of_events() {
    let (states, path) = search(
        Controller::new(),
        |state| state.successors(Variant::Correct),
        |state| state.violation().is_some(),
    );
    println!("one controller: {states} states");
    assert_eq!(path, None);
    assert!(states > 500, "{states}");
}

#[test_case(Variant::SendsBeforeWrite; "values are sent to proxies before they are on disk")]
#[test_case(Variant::LosesWork; "a change in progress is lost at a crash")]
fn the_search_finds_the_fault_of_a_variant_that_is_broken_on_purpose(variant: Variant) {
    let (_, path) = search(
        Controller::new(),
        |state| state.successors(variant),
        |state| state.violation().is_some(),
    );
    let steps = path.expect("a violation is found");
    assert!(steps < 12, "{steps} steps");
}

/// Three controllers in coarse steps: a command reaches one of them and is carried out to its end, or is lost.
#[derive(Clone, PartialEq, Eq, Hash)]
struct ThreeControllers {
    controllers: [Controller; 3],
    /// The answers that operators received, by change and controller: whether the change was applied or refused there.
    answers: BTreeMap<(String, usize), bool>,
    crashes: u8,
}

impl ThreeControllers {
    fn successors(&self) -> Vec<ThreeControllers> {
        let mut next = Vec::new();
        for at in 0..3 {
            let with = |controller: Controller| {
                let mut three = self.clone();
                three.controllers[at] = controller;
                three
            };
            let controller = &self.controllers[at];
            if controller.memory.is_none() {
                next.push(with(controller.start(Variant::Correct)));
                continue;
            }
            if self.crashes < 2 {
                for stopped in controller.crash() {
                    next.push(ThreeControllers {
                        crashes: self.crashes + 1,
                        ..with(stopped)
                    });
                }
            }
            for name in ["a", "b"] {
                let (after, is_applied) = apply(controller, name);
                // The answer reaches the operator or is lost.
                let mut acknowledged = with(after.clone());
                acknowledged
                    .answers
                    .insert((name.to_string(), at), is_applied);
                next.extend([acknowledged, with(after)]);
            }
        }
        next
    }

    /// Whether a controller violates an invariant, a controller reported both changes as applied, or change `a` is
    /// missing on a disk although all three reported it as applied.
    fn is_inconsistent(&self) -> bool {
        let answer = |name: &str, at: usize| self.answers.get(&(name.to_string(), at)).copied();
        let applied_at_all = |name: &str| (0..3).all(|at| answer(name, at) == Some(true));
        let has_violation = self
            .controllers
            .iter()
            .any(|controller| controller.violation().is_some());
        let both_applied =
            (0..3).any(|at| answer("a", at) == Some(true) && answer("b", at) == Some(true));
        let is_missing = applied_at_all("a")
            && self.controllers.iter().any(|c| {
                c.disk
                    .1
                    .get("a")
                    .is_none_or(|r| r.applied_version.is_none())
            });
        has_violation || both_applied || is_missing
    }
}

/// Stages a change, applies it and completes its watch; `false` if the controller refuses it.
fn apply(controller: &Controller, name: &str) -> (Controller, bool) {
    let (now, id, variant) = (
        Moment::default(),
        ChangeId(name.to_string()),
        Variant::Correct,
    );
    let complete_writes = |mut controller: Controller| {
        while let Some(next) = controller.complete_write(variant) {
            controller = next;
        }
        controller
    };
    let staged = controller.run_command(variant, |l| {
        l.propose(now, change(name))?;
        l.record_checks(now, &id, CheckReport::default())
    });
    let staged = complete_writes(staged.unwrap_or_else(|| controller.clone()));
    let Some(applied) = staged.run_command(variant, |l| l.apply(now, &id)) else {
        return (staged, false);
    };
    let mut applied = complete_writes(applied);
    for input in [ChangeEvent::InForce, ChangeEvent::WatchCompleted] {
        applied = complete_writes(
            applied
                .run_command(variant, |l| l.handle_event(now, &id, input, None))
                .unwrap_or(applied),
        );
    }
    (applied, true)
}

#[test]
fn three_controllers_never_apply_conflicting_changes_in_any_order_of_events() {
    let controllers = [Controller::new(), Controller::new(), Controller::new()];
    let start = ThreeControllers {
        controllers,
        answers: BTreeMap::new(),
        crashes: 0,
    };
    let (states, path) = search(
        start,
        ThreeControllers::successors,
        ThreeControllers::is_inconsistent,
    );
    println!("three controllers: {states} states");
    assert_eq!(path, None);
    assert!(states > 500, "{states}");
}
