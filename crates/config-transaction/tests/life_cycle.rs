//! The life cycle of changes under a scripted clock: two operators, crashes at any step, evidence that is late.

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

/// Takes a change up to being staged.
fn staged(ledger: &mut Ledger, change: Change) -> ChangeId {
    let id = change.id.clone();
    ledger.propose(at(0.0), change).expect("taken");
    let orders = ledger
        .record_checks(at(1.0), &id, CheckReport::default())
        .expect("known");
    assert_eq!(orders[0].effect, ChangeEffect::Write);
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
fn a_change_is_applied_as_one_version_and_its_watch_confirms_or_undoes_it() {
    for good in [true, false] {
        let mut ledger = Ledger::new(configuration(), deadlines());
        assert_eq!(ledger.plan(&pool_change()).len(), 3);
        let id = staged(&mut ledger, pool_change());
        assert_eq!(
            ledger.configuration(),
            &configuration(),
            "staged is not applied"
        );
        let orders = ledger.apply(at(2.0), &id).expect("nothing is in its way");
        assert_eq!(orders[0].effect, ChangeEffect::ApplyValues);
        assert_eq!(ledger.configuration().version, 8);
        assert_eq!(
            ledger.apply(at(2.1), &id),
            Ok(vec![]),
            "an order that is told twice is one"
        );
        assert_eq!(ledger.configuration().version, 8);
        ledger
            .handle_event(at(3.0), &id, ChangeEvent::InForce, None)
            .expect("known");
        if good {
            assert_eq!(ledger.advance(at(32.9), at(32.9)), []);
            assert_eq!(
                ledger.advance(at(33.0), at(33.0))[0].effect,
                ChangeEffect::Keep
            );
        } else {
            let orders = ledger
                .undo(at(10.0), &id, "errors rose to 4%")
                .expect("it is the last");
            assert_eq!(orders[0].effect, ChangeEffect::RestoreValues);
            ledger
                .handle_event(at(11.0), &id, ChangeEvent::InForce, None)
                .expect("known");
            assert_eq!(ledger.configuration().values, configuration().values);
            assert_eq!(ledger.configuration().version, 9, "numbers never fall");
            let record = ledger.record(&id).expect("known");
            assert_eq!(
                (record.state, record.reason.as_deref()),
                (ChangeState::Undone, Some("errors rose to 4%"))
            );
        }
    }
}

#[test]
fn a_watch_without_complete_evidence_is_undone_after_twice_its_length() {
    let mut ledger = Ledger::new(configuration(), deadlines());
    let id = staged(&mut ledger, pool_change());
    ledger.apply(at(2.0), &id).expect("applied");
    ledger
        .handle_event(at(3.0), &id, ChangeEvent::InForce, None)
        .expect("known");
    assert_eq!(
        ledger.advance(at(40.0), at(20.0)),
        [],
        "what is known of ends at 20 s"
    );
    assert_eq!(
        ledger.advance(at(63.0), at(20.0))[0].effect,
        ChangeEffect::RestoreValues
    );
}

#[test]
fn a_conflict_names_both_changes_and_the_paths_that_both_set() {
    let mut ledger = Ledger::new(configuration(), deadlines());
    let first = staged(&mut ledger, pool_change());
    let second = staged(
        &mut ledger,
        change(
            "c2",
            "bob",
            7,
            &[("pool.a", Some("1")), ("price", Some("3"))],
        ),
    );
    ledger.apply(at(2.0), &first).expect("the first");
    let busy = ChangeError::OtherChangeInProgress {
        id: "c2".into(),
        in_progress: "c1".into(),
    };
    assert_eq!(ledger.apply(at(2.5), &second), Err(busy));
    ledger
        .handle_event(at(3.0), &first, ChangeEvent::InForce, None)
        .expect("known");
    ledger.advance(at(40.0), at(40.0));
    let refused = ledger
        .apply(at(41.0), &second)
        .expect_err("its base has moved")
        .to_string();
    assert!(
        refused.contains("c2 by bob") && refused.contains("c1 by ada"),
        "{refused}"
    );
    assert!(
        refused.contains("pool.a") && !refused.contains("price"),
        "{refused}"
    );
    assert_eq!(
        ledger.record(&second).map(|record| record.state),
        Some(ChangeState::Refused)
    );
}

#[test]
fn a_change_is_not_undone_while_a_later_one_sets_the_same_values() {
    let mut ledger = Ledger::new(configuration(), deadlines());
    for (name, base, sets) in [
        ("c1", 7, [("pool.a", Some("5"))]),
        ("c2", 8, [("pool.a", Some("6"))]),
        ("c3", 9, [("price", Some("9"))]),
    ] {
        let id = staged(&mut ledger, change(name, "ada", base, &sets));
        ledger.apply(at(2.0), &id).expect("applied");
        ledger
            .handle_event(at(3.0), &id, ChangeEvent::InForce, None)
            .expect("known");
        ledger.advance(at(40.0), at(40.0));
    }
    let rests = ChangeError::SetByLaterChange {
        id: "c1".into(),
        later: "c2".into(),
        paths: "pool.a".into(),
    };
    assert_eq!(ledger.undo(at(50.0), &id("c1"), "not liked"), Err(rests));
    ledger
        .undo(at(51.0), &id("c2"), "not liked")
        .expect("c3 has nothing to do with it");
    ledger
        .handle_event(at(52.0), &id("c2"), ChangeEvent::InForce, None)
        .expect("known");
    ledger
        .undo(at(53.0), &id("c1"), "not liked")
        .expect("nothing rests on it any more");
    assert_eq!(ledger.configuration().values["pool.a"], "4");
    assert_eq!(ledger.configuration().values["price"], "9");
}

#[test_case(change("c1", "ada", 9, &[("price", Some("1"))]), "version 9 was never in force"; "a version to come")]
#[test_case(change("c1", "ada", 7, &[("price", Some("2"))]), "changes nothing"; "what is so already")]
fn an_impossible_proposal_is_refused_with_its_reason(change: Change, expected: &str) {
    let mut ledger = Ledger::new(configuration(), deadlines());
    let refused = ledger
        .propose(at(0.0), change)
        .expect_err("it can't be")
        .to_string();
    assert!(refused.contains(expected), "{refused}");
}

#[test]
fn a_forbidding_finding_refuses_a_change_and_a_repeated_proposal_is_one_change() {
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
    /// From the proposal to being kept, if nothing is in the way.
    Keep(u8, u8),
    Propose(u8, u8, bool),
    Pass(u8),
    Fail(u8),
    Written(u8),
    Apply(u8),
    InForce(u8),
    Undo(u8),
    Wait(u16),
    Crash,
}

fn step() -> impl Strategy<Value = Step> {
    let which = 0u8..5;
    prop_oneof![
        4 => (which.clone(), 0u8..4).prop_map(|(n, key)| Step::Keep(n, key)),
        1 => (which.clone(), 0u8..4, any::<bool>()).prop_map(|(n, key, old)| Step::Propose(n, key, old)),
        1 => which.clone().prop_map(Step::Pass),
        1 => which.clone().prop_map(Step::Fail),
        1 => which.clone().prop_map(Step::Written),
        1 => which.clone().prop_map(Step::Apply),
        2 => which.clone().prop_map(Step::InForce),
        2 => which.prop_map(Step::Undo),
        1 => (0u16..700).prop_map(Step::Wait),
        1 => Just(Step::Crash),
    ]
}

/// A ledger under steps in any order.
struct Play {
    ledger: Ledger,
    now: Moment,
}

impl Play {
    /// A change that sets one of few paths.
    fn made(n: u8, key: u8, by: &str, base: u64) -> Change {
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

    /// Takes a change from its proposal to being kept, if nothing is in the way.
    fn keep(&mut self, n: u8, key: u8) {
        let base = self.ledger.configuration().version;
        let made = Play::made(n, key, "ada", base);
        let id = made.id.clone();
        if self.ledger.propose(self.now, made).is_ok() {
            let _ = self
                .ledger
                .record_checks(self.now, &id, CheckReport::default());
            self.event(n, ChangeEvent::Written);
            let _ = self.ledger.apply(self.now, &id);
            self.event(n, ChangeEvent::InForce);
            self.wait(31.0);
        }
    }

    fn propose(&mut self, n: u8, key: u8, old: bool) {
        let base = self.ledger.configuration().version - u64::from(old);
        let by = if n.is_multiple_of(2) { "ada" } else { "bob" };
        let _ = self.ledger.propose(self.now, Play::made(n, key, by, base));
    }

    fn record_checks(&mut self, n: u8, findings: Vec<Finding>) {
        let id = id(&format!("c{n}"));
        let report = CheckReport(findings);
        drop(self.ledger.record_checks(self.now, &id, report));
    }

    /// Every change that was in progress has to go on.
    fn crash(&mut self) -> Result<(), TestCaseError> {
        let records: Vec<ChangeRecord> = self.ledger.records().cloned().collect();
        let configuration = self.ledger.configuration().clone();
        let (next, actions) = Ledger::recover(self.now, configuration, records, deadlines());
        let resumed = actions
            .iter()
            .filter(|action| action.effect != ChangeEffect::Write)
            .count();
        prop_assert_eq!(in_progress(&next), resumed, "what was in progress goes on");
        self.ledger = next;
        Ok(())
    }

    fn take(&mut self, step: Step) -> Result<(), TestCaseError> {
        let name = |n: u8| id(&format!("c{n}"));
        match step {
            Step::Keep(n, key) => self.keep(n, key),
            Step::Propose(n, key, old) => self.propose(n, key, old),
            Step::Pass(n) => self.record_checks(n, vec![]),
            Step::Fail(n) => {
                let finding = Finding {
                    check: "c".into(),
                    text: "no".into(),
                    forbids: true,
                };
                self.record_checks(n, vec![finding]);
            }
            Step::Written(n) => self.event(n, ChangeEvent::Written),
            Step::Apply(n) => drop(self.ledger.apply(self.now, &name(n))),
            Step::InForce(n) => self.event(n, ChangeEvent::InForce),
            Step::Undo(n) => drop(self.ledger.undo(self.now, &name(n), "not liked")),
            Step::Wait(tenths) => self.wait(f64::from(tenths) / 10.0),
            Step::Crash => self.crash()?,
        }
        Ok(())
    }
}

fn in_progress(ledger: &Ledger) -> usize {
    ledger
        .records()
        .filter(|record| record.state.is_in_progress())
        .count()
}

/// What the changes in force make of the first configuration, in the order in which they came into force.
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
    // Whatever two operators, the disk, the proxies and crashes do: one change is in progress at most, versions
    // never fall, and what is in force is what the changes in force make of the first configuration, in order.
    #[test]
    fn the_configuration_is_the_result_of_the_changes_in_force_in_order(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut play = Play {
            ledger: Ledger::new(configuration(), deadlines()),
            now: at(0.0),
        };
        let mut version = 7;
        for step in steps {
            play.take(step)?;
            prop_assert!(in_progress(&play.ledger) <= 1);
            let in_force = play.ledger.configuration();
            prop_assert!(in_force.version >= version);
            version = in_force.version;
            prop_assert_eq!(&in_force.values, &expected_values(&play.ledger));
        }
    }
}
