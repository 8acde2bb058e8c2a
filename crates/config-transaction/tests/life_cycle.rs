//! Tests the life cycle of changes under a scripted clock, with two operators, crashes at any step and late evidence.

use proptest::prelude::*;
use std::collections::BTreeMap;
use test_case::test_case;
use wheelspread::time::{Moment, Span};
use wheelspread_config_transaction::{
    Change, ChangeEffect, ChangeError, ChangeEvent, ChangeId, ChangeState, CheckReport,
    Configuration, Finding, Ledger,
};
use wheelspread_config_transaction::{ChangeRecord, Deadlines};

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

fn deadlines() -> Deadlines {
    let span = Span::from_seconds;
    Deadlines {
        checks: span(5.0),
        write: span(2.0),
        staged: span(600.0),
        apply: span(20.0),
        watch: span(30.0),
    }
}

fn configuration() -> Configuration {
    let values = [("pool.a", "4"), ("pool.b", "6"), ("price", "2")];
    let values = values
        .iter()
        .map(|(path, value)| (path.to_string(), value.to_string()))
        .collect();
    Configuration { version: 7, values }
}

fn change(id: &str, by: &str, base: u64, sets: &[(&str, Option<&str>)]) -> Change {
    let sets = sets
        .iter()
        .map(|(path, to)| (path.to_string(), to.map(str::to_string)))
        .collect();
    Change {
        id: ChangeId(id.into()),
        by: by.into(),
        base,
        sets,
    }
}

fn id(text: &str) -> ChangeId {
    ChangeId(text.into())
}

/// Proposes a change and takes it to the state `Staged`.
fn stage(ledger: &mut Ledger, change: Change) -> ChangeId {
    let id = change.id.clone();
    ledger
        .propose(at(0.0), change)
        .expect("the proposal is accepted");
    let actions = ledger
        .record_checks(at(1.0), &id, CheckReport::default())
        .expect("known");
    assert_eq!(actions[0].effect, ChangeEffect::Write);
    ledger
        .handle_event(at(1.5), &id, ChangeEvent::Written, None)
        .expect("known");
    assert_eq!(
        ledger.record(&id).map(|record| record.state),
        Some(ChangeState::Staged)
    );
    id
}

fn pool_change() -> Change {
    change(
        "c1",
        "ada",
        7,
        &[
            ("pool.a", Some("5")),
            ("pool.b", Some("5")),
            ("limit", Some("9")),
        ],
    )
}

#[test]
fn a_change_is_applied_as_one_version_and_then_kept_or_undone() {
    for is_kept in [true, false] {
        let mut ledger = Ledger::new(configuration(), deadlines());
        assert_eq!(ledger.plan(&pool_change()).len(), 3);
        let id = stage(&mut ledger, pool_change());
        assert_eq!(
            ledger.configuration(),
            &configuration(),
            "staging does not apply a change"
        );
        let actions = ledger.apply(at(2.0), &id).expect("there is no conflict");
        assert_eq!(actions[0].effect, ChangeEffect::ApplyValues);
        assert_eq!(ledger.configuration().version, 8);
        assert_eq!(
            ledger.apply(at(2.1), &id),
            Ok(vec![]),
            "a repeated command has no effect"
        );
        assert_eq!(ledger.configuration().version, 8);
        ledger
            .handle_event(at(3.0), &id, ChangeEvent::InForce, None)
            .expect("known");
        if is_kept {
            assert_eq!(ledger.advance(at(32.9), at(32.9)), []);
            assert_eq!(
                ledger.advance(at(33.0), at(33.0))[0].effect,
                ChangeEffect::Keep
            );
        } else {
            let actions = ledger
                .undo(at(10.0), &id, "errors rose to 4%")
                .expect("there is no later change");
            assert_eq!(actions[0].effect, ChangeEffect::RestoreValues);
            ledger
                .handle_event(at(11.0), &id, ChangeEvent::InForce, None)
                .expect("known");
            assert_eq!(ledger.configuration().values, configuration().values);
            assert_eq!(ledger.configuration().version, 9, "versions never decrease");
            let record = ledger.record(&id).expect("known");
            assert_eq!(
                (record.state, record.reason.as_deref()),
                (ChangeState::Undone, Some("errors rose to 4%"))
            );
        }
    }
}

#[test]
fn a_watched_change_without_complete_evidence_is_undone_after_twice_the_watch_duration() {
    let mut ledger = Ledger::new(configuration(), deadlines());
    let id = stage(&mut ledger, pool_change());
    ledger.apply(at(2.0), &id).expect("applied");
    ledger
        .handle_event(at(3.0), &id, ChangeEvent::InForce, None)
        .expect("known");
    assert_eq!(
        ledger.advance(at(40.0), at(20.0)),
        [],
        "the evidence ends at 20 s"
    );
    assert_eq!(
        ledger.advance(at(63.0), at(20.0))[0].effect,
        ChangeEffect::RestoreValues
    );
}

#[test]
fn a_conflict_error_names_both_changes_and_the_paths_that_both_set() {
    let mut ledger = Ledger::new(configuration(), deadlines());
    let first = stage(&mut ledger, pool_change());
    let second = stage(
        &mut ledger,
        change(
            "c2",
            "bob",
            7,
            &[("pool.a", Some("1")), ("price", Some("3"))],
        ),
    );
    ledger
        .apply(at(2.0), &first)
        .expect("the first change has no conflict");
    let in_progress_error = ChangeError::OtherChangeInProgress {
        id: "c2".into(),
        in_progress: "c1".into(),
    };
    assert_eq!(ledger.apply(at(2.5), &second), Err(in_progress_error));
    ledger
        .handle_event(at(3.0), &first, ChangeEvent::InForce, None)
        .expect("known");
    ledger.advance(at(40.0), at(40.0));
    let error = ledger
        .apply(at(41.0), &second)
        .expect_err("the base version is outdated")
        .to_string();
    assert!(
        error.contains("c2 by bob") && error.contains("c1 by ada"),
        "{error}"
    );
    assert!(
        error.contains("pool.a") && !error.contains("price"),
        "{error}"
    );
    assert_eq!(
        ledger.record(&second).map(|record| record.state),
        Some(ChangeState::Refused)
    );
}

#[test]
fn a_change_cannot_be_undone_while_a_later_change_in_force_sets_the_same_value() {
    let mut ledger = Ledger::new(configuration(), deadlines());
    for (name, base, sets) in [
        ("c1", 7, [("pool.a", Some("5"))]),
        ("c2", 8, [("pool.a", Some("6"))]),
        ("c3", 9, [("price", Some("9"))]),
    ] {
        let id = stage(&mut ledger, change(name, "ada", base, &sets));
        ledger.apply(at(2.0), &id).expect("applied");
        ledger
            .handle_event(at(3.0), &id, ChangeEvent::InForce, None)
            .expect("known");
        ledger.advance(at(40.0), at(40.0));
    }
    let later_change_error = ChangeError::SetByLaterChange {
        id: "c1".into(),
        later: "c2".into(),
        paths: "pool.a".into(),
    };
    assert_eq!(
        ledger.undo(at(50.0), &id("c1"), "not liked"),
        Err(later_change_error)
    );
    ledger
        .undo(at(51.0), &id("c2"), "not liked")
        .expect("c3 sets other values");
    ledger
        .handle_event(at(52.0), &id("c2"), ChangeEvent::InForce, None)
        .expect("known");
    ledger
        .undo(at(53.0), &id("c1"), "not liked")
        .expect("c2, the only later change of the value, is undone");
    assert_eq!(ledger.configuration().values["pool.a"], "4");
    assert_eq!(ledger.configuration().values["price"], "9");
}

#[test_case(change("c1", "ada", 9, &[("price", Some("1"))]), "version 9 was never in force"; "a base version above the version in force")]
#[test_case(change("c1", "ada", 7, &[("price", Some("2"))]), "sets no value that differs from the configuration in force"; "a value that is already in force")]
fn an_invalid_proposal_is_rejected_with_the_reason(change: Change, expected: &str) {
    let mut ledger = Ledger::new(configuration(), deadlines());
    let error = ledger
        .propose(at(0.0), change)
        .expect_err("the proposal is invalid")
        .to_string();
    assert!(error.contains(expected), "{error}");
}

#[test]
fn a_forbidding_finding_refuses_the_change_and_a_repeated_proposal_counts_once() {
    let mut ledger = Ledger::new(configuration(), deadlines());
    assert_eq!(
        ledger.propose(at(0.0), pool_change()),
        Ok(ChangeState::Proposed)
    );
    assert_eq!(
        ledger.propose(at(0.1), pool_change()),
        Ok(ChangeState::Proposed)
    );
    let other = change("c1", "bob", 7, &[("price", Some("8"))]);
    assert_eq!(
        ledger.propose(at(0.2), other),
        Err(ChangeError::IdTaken("c1".into()))
    );
    let text = "pool a would have 0 hosts for quote in north".to_string();
    let finding = Finding {
        check: "pools".into(),
        text: text.clone(),
        forbids: true,
    };
    ledger
        .record_checks(at(1.0), &id("c1"), CheckReport(vec![finding]))
        .expect("known");
    let record = ledger.record(&id("c1")).expect("known");
    assert_eq!(
        (record.state, record.reason.clone()),
        (ChangeState::Refused, Some(text))
    );
    assert!(matches!(
        ledger.apply(at(2.0), &id("c1")),
        Err(ChangeError::WrongState { .. })
    ));
}

#[derive(Clone, Debug)]
enum Step {
    /// Takes a change from its proposal to `Kept`, unless a command is rejected.
    Keep(u8, u8),
    /// Proposes a change; `true`: against the version before the one in force.
    Propose(u8, u8, bool),
    PassChecks(u8),
    FailChecks(u8),
    Written(u8),
    Apply(u8),
    InForce(u8),
    Undo(u8),
    Wait(u16),
    Crash,
}

fn step() -> impl Strategy<Value = Step> {
    let change_number = 0u8..5;
    prop_oneof![
        4 => (change_number.clone(), 0u8..4).prop_map(|(n, key)| Step::Keep(n, key)),
        1 => (change_number.clone(), 0u8..4, any::<bool>())
            .prop_map(|(n, key, is_outdated)| Step::Propose(n, key, is_outdated)),
        1 => change_number.clone().prop_map(Step::PassChecks),
        1 => change_number.clone().prop_map(Step::FailChecks),
        1 => change_number.clone().prop_map(Step::Written),
        1 => change_number.clone().prop_map(Step::Apply),
        2 => change_number.clone().prop_map(Step::InForce),
        2 => change_number.prop_map(Step::Undo),
        1 => (0u16..700).prop_map(Step::Wait),
        1 => Just(Step::Crash),
    ]
}

/// A ledger and its clock, to which random steps are applied.
struct Simulation {
    ledger: Ledger,
    now: Moment,
}

impl Simulation {
    /// Creates change `c{n}`, which sets one of four paths, so that changes often conflict.
    fn numbered_change(n: u8, key: u8, by: &str, base: u64) -> Change {
        let path = format!("key.{key}");
        change(
            &format!("c{n}"),
            by,
            base,
            &[(&path, Some(&format!("{n}")))],
        )
    }

    fn event(&mut self, n: u8, event: ChangeEvent) {
        let id = id(&format!("c{n}"));
        drop(self.ledger.handle_event(self.now, &id, event, None));
    }

    fn wait(&mut self, seconds: f64) {
        self.now = self.now + Span::from_seconds(seconds);
        self.ledger.advance(self.now, self.now);
    }

    /// Takes a change from its proposal to `Kept`, unless a command is rejected.
    fn keep(&mut self, n: u8, key: u8) {
        let base = self.ledger.configuration().version;
        let change = Simulation::numbered_change(n, key, "ada", base);
        let id = change.id.clone();
        if self.ledger.propose(self.now, change).is_ok() {
            let _ = self
                .ledger
                .record_checks(self.now, &id, CheckReport::default());
            self.event(n, ChangeEvent::Written);
            let _ = self.ledger.apply(self.now, &id);
            self.event(n, ChangeEvent::InForce);
            self.wait(31.0);
        }
    }

    fn propose(&mut self, n: u8, key: u8, is_outdated: bool) {
        let base = self.ledger.configuration().version - u64::from(is_outdated);
        let by = if n.is_multiple_of(2) { "ada" } else { "bob" };
        let _ = self
            .ledger
            .propose(self.now, Simulation::numbered_change(n, key, by, base));
    }

    fn record_checks(&mut self, n: u8, findings: Vec<Finding>) {
        let id = id(&format!("c{n}"));
        let report = CheckReport(findings);
        drop(self.ledger.record_checks(self.now, &id, report));
    }

    /// Recovers the ledger from its records, and checks that every change in progress is resumed.
    fn crash(&mut self) -> Result<(), TestCaseError> {
        let records: Vec<ChangeRecord> = self.ledger.records().cloned().collect();
        let configuration = self.ledger.configuration().clone();
        let (recovered, actions) = Ledger::recover(self.now, configuration, records, deadlines());
        let resumed = actions
            .iter()
            .filter(|action| action.effect != ChangeEffect::Write)
            .count();
        prop_assert_eq!(
            in_progress_count(&recovered),
            resumed,
            "every change in progress is resumed"
        );
        self.ledger = recovered;
        Ok(())
    }

    fn apply_step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let change_id = |n: u8| id(&format!("c{n}"));
        match step {
            Step::Keep(n, key) => self.keep(n, key),
            Step::Propose(n, key, is_outdated) => self.propose(n, key, is_outdated),
            Step::PassChecks(n) => self.record_checks(n, vec![]),
            Step::FailChecks(n) => {
                let finding = Finding {
                    check: "c".into(),
                    text: "no".into(),
                    forbids: true,
                };
                self.record_checks(n, vec![finding]);
            }
            Step::Written(n) => self.event(n, ChangeEvent::Written),
            Step::Apply(n) => drop(self.ledger.apply(self.now, &change_id(n))),
            Step::InForce(n) => self.event(n, ChangeEvent::InForce),
            Step::Undo(n) => drop(self.ledger.undo(self.now, &change_id(n), "not liked")),
            Step::Wait(tenths) => self.wait(f64::from(tenths) / 10.0),
            Step::Crash => self.crash()?,
        }
        Ok(())
    }
}

fn in_progress_count(ledger: &Ledger) -> usize {
    ledger
        .records()
        .filter(|record| record.state.is_in_progress())
        .count()
}

/// The values of the initial configuration after the changes in force, in the order in which they were applied.
fn expected_values(ledger: &Ledger) -> BTreeMap<String, String> {
    let is_in_force = |state| {
        matches!(
            state,
            ChangeState::Applying | ChangeState::Watched | ChangeState::Kept
        )
    };
    let mut in_force: Vec<&ChangeRecord> = ledger
        .records()
        .filter(|record| is_in_force(record.state))
        .collect();
    in_force.sort_by_key(|record| record.applied_version);
    let mut values = configuration().values;
    for record in in_force {
        for (path, to) in &record.change.sets {
            match to {
                Some(value) => values.insert(path.clone(), value.clone()),
                None => values.remove(path),
            };
        }
    }
    values
}

proptest! {
    // For any sequence of commands, disk results, proxy results and crashes: at most one change is in progress,
    // versions never decrease, and the configuration is the initial one with the changes in force applied in order.
    #[test]
    fn the_configuration_is_the_result_of_the_changes_in_force_in_order(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut simulation = Simulation {
            ledger: Ledger::new(configuration(), deadlines()),
            now: at(0.0),
        };
        let mut version = 7;
        for step in steps {
            simulation.apply_step(step)?;
            prop_assert!(in_progress_count(&simulation.ledger) <= 1);
            let in_force = simulation.ledger.configuration();
            prop_assert!(in_force.version >= version);
            version = in_force.version;
            prop_assert_eq!(&in_force.values, &expected_values(&simulation.ledger));
        }
    }
}
