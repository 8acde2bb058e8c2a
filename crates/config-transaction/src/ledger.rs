//! The configuration in force and all changes of it. One change is under way at a time; another that was made
//! against the same version is refused when the first comes into force, and both are named.

use crate::state::{Effect, Input, State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::time::{Moment, Span};

/// Given by who proposes it, so that a proposal that is told twice is one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub String);

/// Values by their path, as `operations.quote.billed_value`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Configuration {
    pub version: u64,
    pub values: BTreeMap<String, String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    pub id: ChangeId,
    pub by: String,
    /// The version that it was made against.
    pub base: u64,
    /// `None` takes a value away.
    pub sets: BTreeMap<String, Option<String>>,
}

/// What a check found, with its figures.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finding {
    pub check: String,
    pub text: String,
    /// It speaks against the change.
    pub forbids: bool,
}

/// What came of the checks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict(pub Vec<Finding>);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    #[error("`{0}` names another change already")]
    OtherContent(String),
    #[error("it changes nothing")]
    Empty,
    #[error("it was made against version {base}, {version} is in force: `{mine}` and `{theirs}` both change {keys}")]
    Conflict {
        base: u64,
        version: u64,
        mine: String,
        theirs: String,
        keys: String,
    },
    #[error("version {0} was never in force")]
    UnknownBase(u64),
    #[error("`{0}` is no change that is known")]
    Unknown(String),
    #[error("`{waits}` waits: `{runs}` is under way")]
    Busy { waits: String, runs: String },
    #[error("`{id}` can't be undone: `{later}` rests on it ({keys})")]
    RestsOn {
        id: String,
        later: String,
        keys: String,
    },
    #[error("`{id}` is {state:?}, which that does not fit to")]
    Unfit { id: String, state: State },
}

/// How long each state may last.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    pub checks: Span,
    pub write: Span,
    pub staged: Span,
    pub apply: Span,
    /// What is measured is looked at for so long; evidence may come as late again.
    pub watch: Span,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub change: Change,
    pub state: State,
    /// The values that it took the place of, once it was in force.
    pub before: BTreeMap<String, Option<String>>,
    pub findings: Vec<Finding>,
    /// Why it is refused or undone.
    pub why: Option<String>,
    /// The version that it made.
    pub made: Option<u64>,
    /// The version that took it back.
    #[serde(default)]
    pub unmade: Option<u64>,
}

/// What is to be done for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub id: ChangeId,
    pub effect: Effect,
}

#[derive(Clone, Debug)]
pub struct Ledger {
    configuration: Configuration,
    records: BTreeMap<ChangeId, Record>,
    /// In the order in which they came into force.
    made: Vec<(u64, ChangeId)>,
    /// Of changes of which something is still to come, and since when they are what they are.
    since: BTreeMap<ChangeId, Moment>,
    deadlines: Deadlines,
}

fn keys(of: impl Iterator<Item = String>) -> String {
    of.collect::<Vec<_>>().join(", ")
}

impl Ledger {
    pub fn new(configuration: Configuration, deadlines: Deadlines) -> Ledger {
        Ledger {
            configuration,
            records: BTreeMap::new(),
            made: Vec::new(),
            since: BTreeMap::new(),
            deadlines,
        }
    }

    /// What a conductor that starts anew makes of what it finds written. A change that was under way is taken
    /// up where it was: what it orders is told again.
    pub fn recover(
        now: Moment,
        configuration: Configuration,
        records: Vec<Record>,
        deadlines: Deadlines,
    ) -> (Ledger, Vec<Order>) {
        let mut ledger = Ledger::new(configuration, deadlines);
        let mut orders = Vec::new();
        for mut record in records {
            let id = record.change.id.clone();
            // What was found written is written.
            if record.state == State::Checked {
                record.state = State::Staged;
            }
            let effect = match record.state {
                State::Applying => Some(Effect::PutInForce),
                State::Undoing => Some(Effect::PutBack),
                State::Watched => Some(Effect::Watch),
                _ => None,
            };
            orders.extend(effect.map(|effect| Order {
                id: id.clone(),
                effect,
            }));
            let versions = record.made.into_iter().chain(record.unmade);
            ledger
                .made
                .extend(versions.map(|version| (version, id.clone())));
            if !record.state.over() {
                ledger.since.insert(id.clone(), now);
            }
            ledger.records.insert(id, record);
        }
        ledger.made.sort();
        (ledger, orders)
    }

    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Those of which something is still to come, however many are remembered.
    pub fn open(&self) -> impl Iterator<Item = &Record> {
        self.since.keys().filter_map(|id| self.records.get(id))
    }

    pub fn record(&self, id: &ChangeId) -> Option<&Record> {
        self.records.get(id)
    }

    /// What a change would do, line by line: path, value in force, value it sets.
    pub fn plan(&self, change: &Change) -> Vec<(String, Option<String>, Option<String>)> {
        let line = |(path, to): (&String, &Option<String>)| {
            let from = self.configuration.values.get(path).cloned();
            (from != *to).then(|| (path.clone(), from, to.clone()))
        };
        change.sets.iter().filter_map(line).collect()
    }

    pub fn propose(&mut self, now: Moment, change: Change) -> Result<State, Refused> {
        if let Some(known) = self.records.get(&change.id) {
            let same = known.change == change;
            return if same {
                Ok(known.state)
            } else {
                Err(Refused::OtherContent(change.id.0))
            };
        }
        if change.base > self.configuration.version {
            return Err(Refused::UnknownBase(change.base));
        }
        if let Some(conflict) = self.conflict(&change) {
            return Err(conflict);
        }
        if self.plan(&change).is_empty() {
            return Err(Refused::Empty);
        }
        let id = change.id.clone();
        let record = Record {
            change,
            state: State::Proposed,
            before: BTreeMap::new(),
            findings: Vec::new(),
            why: None,
            made: None,
            unmade: None,
        };
        self.records.insert(id.clone(), record);
        self.since.insert(id, now);
        Ok(State::Proposed)
    }

    /// A change that came into force, or was taken back, after the version that this one was made against.
    fn conflict(&self, change: &Change) -> Option<Refused> {
        let (version, theirs) = self
            .made
            .iter()
            .rev()
            .find(|(version, _)| *version > change.base)?;
        let other = self.records.get(theirs)?;
        let both = change
            .sets
            .keys()
            .filter(|key| other.change.sets.contains_key(*key))
            .cloned();
        let named = |change: &Change| format!("{} by {}", change.id.0, change.by);
        let both = keys(both);
        let keys = if both.is_empty() {
            "the configuration".to_string()
        } else {
            both
        };
        let (mine, theirs) = (named(change), named(&other.change));
        Some(Refused::Conflict {
            base: change.base,
            version: *version,
            mine,
            theirs,
            keys,
        })
    }

    pub fn checked(
        &mut self,
        now: Moment,
        id: &ChangeId,
        verdict: Verdict,
    ) -> Result<Vec<Order>, Refused> {
        let forbids = verdict
            .0
            .iter()
            .find(|finding| finding.forbids)
            .map(|finding| finding.text.clone());
        let record = self
            .records
            .get_mut(id)
            .ok_or_else(|| Refused::Unknown(id.0.clone()))?;
        if record.state == State::Proposed {
            record.findings = verdict.0;
        }
        match forbids {
            None => self.tell(now, id, Input::ChecksPassed, None),
            Some(why) => self.tell(now, id, Input::ChecksFailed, Some(why)),
        }
    }

    /// An operator wants it in force.
    pub fn apply(&mut self, now: Moment, id: &ChangeId) -> Result<Vec<Order>, Refused> {
        let record = self
            .records
            .get(id)
            .ok_or_else(|| Refused::Unknown(id.0.clone()))?;
        match record.state {
            State::Staged => {}
            // Told twice: it is under way, or was.
            State::Applying | State::Watched | State::Kept => return Ok(Vec::new()),
            state => {
                return Err(Refused::Unfit {
                    id: id.0.clone(),
                    state,
                })
            }
        }
        if let Some(runs) = self.open().find(|other| other.state.under_way()) {
            return Err(Refused::Busy {
                waits: id.0.clone(),
                runs: runs.change.id.0.clone(),
            });
        }
        if let Some(conflict) = self.conflict(&record.change.clone()) {
            self.tell(now, id, Input::BaseMoved, Some(conflict.to_string()))?;
            return Err(conflict);
        }
        self.tell(now, id, Input::Apply, None)
    }

    /// An operator wants it gone, or a condition is broken.
    pub fn undo(&mut self, now: Moment, id: &ChangeId, why: &str) -> Result<Vec<Order>, Refused> {
        let record = self
            .records
            .get(id)
            .ok_or_else(|| Refused::Unknown(id.0.clone()))?;
        if matches!(record.state, State::Undoing | State::Undone) {
            return Ok(Vec::new());
        }
        if let Some(made) = record.made {
            let mine = &record.change.sets;
            let later = self.made.iter().filter(|(version, _)| *version > made);
            for other in later.filter_map(|(_, other)| self.records.get(other)) {
                let rests = !matches!(other.state, State::Undone | State::Refused);
                let both = keys(
                    other
                        .change
                        .sets
                        .keys()
                        .filter(|key| mine.contains_key(*key))
                        .cloned(),
                );
                if rests && !both.is_empty() {
                    let (id, later) = (id.0.clone(), other.change.id.0.clone());
                    return Err(Refused::RestsOn {
                        id,
                        later,
                        keys: both,
                    });
                }
            }
        }
        if let Some(runs) = self
            .open()
            .find(|other| other.change.id != *id && other.state.under_way())
        {
            return Err(Refused::Busy {
                waits: id.0.clone(),
                runs: runs.change.id.0.clone(),
            });
        }
        self.tell(now, id, Input::Undo, Some(why.to_string()))
    }

    /// Something came of what was ordered, or time passed.
    pub fn tell(
        &mut self,
        now: Moment,
        id: &ChangeId,
        input: Input,
        why: Option<String>,
    ) -> Result<Vec<Order>, Refused> {
        let record = self
            .records
            .get_mut(id)
            .ok_or_else(|| Refused::Unknown(id.0.clone()))?;
        let Some((next, effect)) = record.state.turn(input) else {
            return Ok(Vec::new());
        };
        let before = std::mem::replace(&mut record.state, next);
        record.why = why.or(record.why.take());
        match next.over() {
            true => drop(self.since.remove(id)),
            false => drop(self.since.insert(id.clone(), now)),
        }
        match (before, next) {
            (State::Staged, State::Applying) => self.put(id),
            (from, State::Undoing) if from != State::Undoing => self.put_back(id),
            _ => {}
        }
        let told = !matches!(effect, Effect::Nothing);
        Ok(told
            .then(|| Order {
                id: id.clone(),
                effect,
            })
            .into_iter()
            .collect())
    }

    /// The new values are a version of their own, all at once.
    fn put(&mut self, id: &ChangeId) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        self.configuration.version += 1;
        for (path, to) in &record.change.sets {
            let values = &mut self.configuration.values;
            let before = match to {
                Some(value) => values.insert(path.clone(), value.clone()),
                None => values.remove(path),
            };
            record.before.insert(path.clone(), before);
        }
        record.made = Some(self.configuration.version);
        self.made.push((self.configuration.version, id.clone()));
    }

    /// The former values are a version too: numbers never fall.
    fn put_back(&mut self, id: &ChangeId) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        self.configuration.version += 1;
        record.unmade = Some(self.configuration.version);
        self.made.push((self.configuration.version, id.clone()));
        for (path, before) in &record.before {
            match before {
                Some(value) => drop(
                    self.configuration
                        .values
                        .insert(path.clone(), value.clone()),
                ),
                None => drop(self.configuration.values.remove(path)),
            }
        }
    }

    fn lasts(&self, state: State) -> Option<Span> {
        let deadlines = &self.deadlines;
        match state {
            State::Proposed => Some(deadlines.checks),
            State::Checked => Some(deadlines.write),
            State::Staged => Some(deadlines.staged),
            State::Applying | State::Undoing => Some(deadlines.apply),
            State::Watched => Some(deadlines.watch * 2.0),
            State::Kept | State::Undone | State::Refused => None,
        }
    }

    /// What is due by now. `evidence`: until when what is measured is known.
    pub fn due(&mut self, now: Moment, evidence: Moment) -> Vec<Order> {
        let mut orders = Vec::new();
        for id in self.since.keys().cloned().collect::<Vec<_>>() {
            let (Some(record), Some(since)) = (self.records.get(&id), self.since.get(&id).copied())
            else {
                continue;
            };
            let state = record.state;
            let watched = state == State::Watched && evidence - since >= self.deadlines.watch;
            let late = self.lasts(state).is_some_and(|span| now - since >= span);
            let told = match (watched, late) {
                (true, _) => self.tell(now, &id, Input::WatchOver, None),
                (_, true) => self.tell(
                    now,
                    &id,
                    Input::Late,
                    Some(format!("{state:?} lasted too long")),
                ),
                _ => continue,
            };
            orders.extend(told.into_iter().flatten());
        }
        orders
    }

    pub fn wake_at(&self) -> Option<Moment> {
        let due = |(id, since): (&ChangeId, &Moment)| {
            let record = self.records.get(id)?;
            let span = self.lasts(record.state)?;
            Some(
                *since
                    + if record.state == State::Watched {
                        self.deadlines.watch
                    } else {
                        span
                    },
            )
        };
        self.since.iter().filter_map(due).min()
    }
}
