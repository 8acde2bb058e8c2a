//! Every order in which things can happen, by breadth-first search over the real ledger: two operators whose
//! orders and answers may be lost and come again, a disk that may refuse or lose what it was given, crashes
//! at any time and during recovery, proxies that take what they are told early or late. A variant that is
//! broken on purpose has to be caught, with the shortest way there.

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

/// Two operators, two changes that both touch `price`, made against the same version.
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

/// The ledger, compared by what it holds.
#[derive(Clone)]
struct Memory(Ledger);

impl Memory {
    fn key(&self) -> (&Configuration, Vec<&ChangeRecord>) {
        (self.0.configuration(), self.0.records().collect())
    }
}

impl PartialEq for Memory {
    fn eq(&self, other: &Memory) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Memory {}

impl Hash for Memory {
    fn hash<H: Hasher>(&self, to: &mut H) {
        self.key().hash(to);
    }
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Write {
    configuration: Configuration,
    record: ChangeRecord,
    effect: Option<Force>,
}

/// What the proxies are told when the disk has it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Force {
    Staged,
    Values,
}

/// One controller with its disk and its proxies.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Controller {
    memory: Option<Memory>,
    waits: VecDeque<Write>,
    disk: (Configuration, BTreeMap<String, ChangeRecord>),
    /// What proxies were sent, by version, and the version that they have.
    sent: BTreeMap<u64, Configuration>,
    holds: u64,
    /// A version with two contents, or one that went down.
    wrong: Option<String>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Variant {
    Right,
    /// Gateways are told before the disk has it.
    Hasty,
    /// What was under way is forgotten at a crash.
    Forgetful,
}

impl Controller {
    fn new() -> Controller {
        let first = Configuration {
            version: 1,
            values: BTreeMap::new(),
        };
        Controller {
            memory: Some(Memory(Ledger::new(first.clone(), deadlines()))),
            waits: VecDeque::new(),
            disk: (first.clone(), BTreeMap::new()),
            sent: BTreeMap::from([(1, first)]),
            holds: 1,
            wrong: None,
        }
    }

    fn send_to_proxies(&mut self, configuration: &Configuration) {
        let known = self
            .sent
            .entry(configuration.version)
            .or_insert_with(|| configuration.clone());
        if known != configuration {
            self.wrong = Some(format!(
                "version {} was sent with two contents",
                configuration.version
            ));
        }
        if configuration.version < self.holds {
            self.wrong = Some(format!(
                "from version {} back to {}",
                self.holds, configuration.version
            ));
        }
        self.holds = configuration.version;
    }

    fn follow(&mut self, orders: Vec<LedgerAction>, variant: Variant) {
        let Some(Memory(ledger)) = self.memory.clone() else {
            return;
        };
        for LedgerAction { id, effect } in orders {
            let effect = match effect {
                ChangeEffect::Write => Some(Force::Staged),
                ChangeEffect::ApplyValues | ChangeEffect::RestoreValues => Some(Force::Values),
                _ => None,
            };
            let record = ledger.record(&id).expect("known").clone();
            if variant == Variant::Hasty && effect == Some(Force::Values) {
                self.send_to_proxies(ledger.configuration());
            }
            let write = Write {
                configuration: ledger.configuration().clone(),
                record,
                effect,
            };
            if !self.waits.contains(&write) {
                self.waits.push_back(write);
            }
        }
    }

    /// Lets the ledger do something; a refusal changes nothing.
    fn act(
        &self,
        variant: Variant,
        what: impl FnOnce(&mut Ledger) -> Result<Vec<LedgerAction>, ChangeError>,
    ) -> Option<Controller> {
        let mut next = self.clone();
        let Memory(ledger) = next.memory.as_mut()?;
        let orders = what(ledger).ok()?;
        next.follow(orders, variant);
        Some(next)
    }

    fn written(&self, variant: Variant) -> Option<Controller> {
        let mut next = self.clone();
        next.memory.as_ref()?;
        let write = next.waits.pop_front()?;
        next.disk.0 = write.configuration.clone();
        next.disk
            .1
            .insert(write.record.change.id.0.clone(), write.record.clone());
        let Memory(ledger) = next.memory.as_mut()?;
        match write.effect {
            Some(Force::Staged) => {
                let _ = ledger.handle_event(
                    Moment::default(),
                    &write.record.change.id,
                    ChangeEvent::Written,
                    None,
                );
            }
            // Overtaken by its own undo: that is sent when the disk has it.
            Some(Force::Values)
                if ledger.configuration().version != write.configuration.version => {}
            Some(Force::Values) if variant != Variant::Hasty => {
                next.send_to_proxies(&write.configuration);
            }
            _ => {}
        }
        Some(next)
    }

    /// Killed; what the disk was given last may be on it or not.
    fn crash(&self) -> Vec<Controller> {
        let down = |mut of: Controller| {
            (of.memory, of.waits) = (None, VecDeque::new());
            of
        };
        let mut ends = vec![down(self.clone())];
        if let Some(write) = self.waits.front() {
            let mut of = self.clone();
            of.disk.0 = write.configuration.clone();
            of.disk
                .1
                .insert(write.record.change.id.0.clone(), write.record.clone());
            ends.push(down(of));
        }
        ends
    }

    fn start(&self, variant: Variant) -> Controller {
        let mut next = self.clone();
        let (configuration, records) = next.disk.clone();
        let kept =
            |record: &ChangeRecord| variant != Variant::Forgetful || !record.state.is_in_progress();
        let records = records.into_values().filter(kept).collect();
        let (ledger, _) = Ledger::recover(
            Moment::default(),
            configuration.clone(),
            records,
            deadlines(),
        );
        next.memory = Some(Memory(ledger));
        next.send_to_proxies(&configuration);
        next
    }

    fn successors(&self, variant: Variant) -> Vec<Controller> {
        let now = Moment::default();
        if self.memory.is_none() {
            return vec![self.start(variant)];
        }
        let mut next = self.crash();
        next.extend(self.written(variant));
        for name in ["a", "b"] {
            let id = ChangeId(name.to_string());
            let ledger = |what: &dyn Fn(&mut Ledger) -> Result<Vec<LedgerAction>, ChangeError>| {
                self.act(variant, what)
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
            // Gateways hold it only after they were sent.
            let version = self
                .memory
                .as_ref()
                .map(|memory| memory.0.configuration().version);
            if version == Some(self.holds) && self.waits.iter().all(|write| write.effect.is_none())
            {
                next.extend(ledger(&|l| {
                    l.handle_event(now, &id, ChangeEvent::InForce, None)
                }));
            }
        }
        next.retain(|next| next != self);
        next
    }

    /// What must hold, whatever happened.
    fn broken(&self) -> Option<String> {
        if let Some(wrong) = &self.wrong {
            return Some(wrong.clone());
        }
        let Some(Memory(ledger)) = &self.memory else {
            return None;
        };
        let under_way = ledger
            .records()
            .filter(|record| record.state.is_in_progress())
            .count();
        if under_way > 1 {
            return Some("two changes are under way".to_string());
        }
        // Each change was put in force once at most, and taken back once at most: versions tell.
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
            return Some("one version was made by two changes".to_string());
        }
        if under_way == 0 && self.waits.is_empty() {
            return self.differing_proxies(ledger);
        }
        None
    }

    /// With nothing in progress and nothing at the disk, proxies hold what the changes in force say.
    fn differing_proxies(&self, ledger: &Ledger) -> Option<String> {
        let kept = ledger
            .records()
            .filter(|record| record.state == ChangeState::Kept);
        let mut wanted = BTreeMap::new();
        for record in kept {
            let sets = record.change.sets.iter();
            wanted.extend(sets.filter_map(|(path, to)| Some((path.clone(), to.clone()?))));
        }
        let held = &self.sent.get(&self.holds)?.values;
        (*held != wanted).then(|| format!("proxies hold {held:?}, {wanted:?} is in force"))
    }
}

/// How many states there are, and the shortest way to one that is wrong.
fn search<S: Clone + Eq + Hash>(
    start: S,
    successors: impl Fn(&S) -> Vec<S>,
    broken: impl Fn(&S) -> bool,
) -> (usize, Option<usize>) {
    let states = Cell::new(0);
    let next = |state: &S| {
        states.set(states.get() + 1);
        successors(state)
    };
    let way = bfs(&start, next, broken);
    (states.get(), way.map(|way| way.len()))
}

#[test]
fn every_order_of_events_leaves_one_controller_consistent() {
    let (states, way) = search(
        Controller::new(),
        |state| state.successors(Variant::Right),
        |state| state.broken().is_some(),
    );
    println!("one controller: {states} states");
    assert_eq!(way, None);
    assert!(states > 500, "{states}");
}

#[test_case(Variant::Hasty; "values are sent to proxies before they are on the disk")]
#[test_case(Variant::Forgetful; "a change in progress is forgotten at a crash")]
fn the_search_finds_a_variant_that_is_broken_on_purpose(variant: Variant) {
    let (_, way) = search(
        Controller::new(),
        |state| state.successors(variant),
        |state| state.broken().is_some(),
    );
    let steps = way.expect("it is caught");
    assert!(steps < 12, "{steps} steps");
}

/// Three controllers in coarse steps: an order reaches one of them and is carried out to its end, or is lost.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Three {
    controllers: [Controller; 3],
    /// What each operator was told, by controller: whether the change stands there, or that it was refused.
    answers: BTreeMap<(String, usize), bool>,
    crashes: u8,
}

impl Three {
    fn successors(&self) -> Vec<Three> {
        let mut next = Vec::new();
        for at in 0..3 {
            let with = |controller: Controller| {
                let mut three = self.clone();
                three.controllers[at] = controller;
                three
            };
            let controller = &self.controllers[at];
            if controller.memory.is_none() {
                next.push(with(controller.start(Variant::Right)));
                continue;
            }
            if self.crashes < 2 {
                for down in controller.crash() {
                    next.push(Three {
                        crashes: self.crashes + 1,
                        ..with(down)
                    });
                }
            }
            for name in ["a", "b"] {
                let (after, stands) = apply(controller, name);
                // The answer reaches the operator, or is lost.
                let mut told = with(after.clone());
                told.answers.insert((name.to_string(), at), stands);
                next.extend([told, with(after)]);
            }
        }
        next
    }

    /// Whoever was told everywhere that a change stands can rely on it; the other was told of the conflict.
    fn broken(&self) -> bool {
        let stands = |name: &str, at: usize| self.answers.get(&(name.to_string(), at)).copied();
        let all = |name: &str| (0..3).all(|at| stands(name, at) == Some(true));
        let wrong = self
            .controllers
            .iter()
            .any(|controller| controller.broken().is_some());
        let both = (0..3).any(|at| stands("a", at) == Some(true) && stands("b", at) == Some(true));
        let apart = all("a")
            && self.controllers.iter().any(|c| {
                c.disk
                    .1
                    .get("a")
                    .is_none_or(|r| r.applied_version.is_none())
            });
        wrong || both || apart
    }
}

/// Stages and applies, through the disk and the proxies, to its end.
fn apply(controller: &Controller, name: &str) -> (Controller, bool) {
    let (now, id, right) = (
        Moment::default(),
        ChangeId(name.to_string()),
        Variant::Right,
    );
    let drain = |mut of: Controller| {
        while let Some(next) = of.written(right) {
            of = next;
        }
        of
    };
    let staged = controller.act(right, |l| {
        l.propose(now, change(name))?;
        l.record_checks(now, &id, CheckReport::default())
    });
    let staged = drain(staged.unwrap_or_else(|| controller.clone()));
    let Some(applied) = staged.act(right, |l| l.apply(now, &id)) else {
        return (staged, false);
    };
    let mut applied = drain(applied);
    for input in [ChangeEvent::InForce, ChangeEvent::WatchCompleted] {
        applied = drain(
            applied
                .act(right, |l| l.handle_event(now, &id, input, None))
                .unwrap_or(applied),
        );
    }
    (applied, true)
}

#[test]
fn conflicting_changes_never_both_stand_at_three_controllers() {
    let controllers = [Controller::new(), Controller::new(), Controller::new()];
    let start = Three {
        controllers,
        answers: BTreeMap::new(),
        crashes: 0,
    };
    let (states, way) = search(start, Three::successors, Three::broken);
    println!("three controllers: {states} states");
    assert_eq!(way, None);
    assert!(states > 500, "{states}");
}
