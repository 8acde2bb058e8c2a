//! The configuration in force and all changes of it. One change is under way at a time; another that was made
//! against the same version is refused when the first comes into force, and both are named.

use crate::state::{ChangeEffect, ChangeEvent, ChangeState};
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
pub struct CheckReport(pub Vec<Finding>);

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
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
    Unfit { id: String, state: ChangeState },
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
pub struct ChangeRecord {
    pub change: Change,
    pub state: ChangeState,
    /// The values that it took the place of, once it was in force.
    #[serde(rename = "before")]
    pub previous_values: BTreeMap<String, Option<String>>,
    pub findings: Vec<Finding>,
    /// Why it is refused or undone.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// The version that it made.
    #[serde(rename = "made")]
    pub applied_version: Option<u64>,
    /// The version that took it back.
    #[serde(default, rename = "unmade")]
    pub undone_version: Option<u64>,
}

/// What is to be done for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerAction {
    pub id: ChangeId,
    pub effect: ChangeEffect,
}

#[derive(Clone, Debug)]
pub struct Ledger {
    configuration: Configuration,
    records: BTreeMap<ChangeId, ChangeRecord>,
    /// In the order in which they came into force.
    version_history: Vec<(u64, ChangeId)>,
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
            version_history: Vec::new(),
            since: BTreeMap::new(),
            deadlines,
        }
    }

    /// What a conductor that starts anew makes of what it finds written. A change that was under way is taken
    /// up where it was: what it orders is told again.
    pub fn recover(
        now: Moment,
        configuration: Configuration,
        records: Vec<ChangeRecord>,
        deadlines: Deadlines,
    ) -> (Ledger, Vec<LedgerAction>) {
        let mut ledger = Ledger::new(configuration, deadlines);
        let mut orders = Vec::new();
        for mut record in records {
            let id = record.change.id.clone();
            // What was found written is written.
            if record.state == ChangeState::Checked {
                record.state = ChangeState::Staged;
            }
            let effect = match record.state {
                ChangeState::Applying => Some(ChangeEffect::PutInForce),
                ChangeState::Undoing => Some(ChangeEffect::PutBack),
                ChangeState::Watched => Some(ChangeEffect::Watch),
                _ => None,
            };
            orders.extend(effect.map(|effect| LedgerAction {
                id: id.clone(),
                effect,
            }));
            let versions = record
                .applied_version
                .into_iter()
                .chain(record.undone_version);
            ledger
                .version_history
                .extend(versions.map(|version| (version, id.clone())));
            if !record.state.is_final() {
                ledger.since.insert(id.clone(), now);
            }
            ledger.records.insert(id, record);
        }
        ledger.version_history.sort();
        (ledger, orders)
    }

    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    pub fn records(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.records.values()
    }

    /// Those of which something is still to come, however many are remembered.
    pub fn unfinished(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.since.keys().filter_map(|id| self.records.get(id))
    }

    pub fn record(&self, id: &ChangeId) -> Option<&ChangeRecord> {
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

    pub fn propose(&mut self, now: Moment, change: Change) -> Result<ChangeState, ChangeError> {
        if let Some(known) = self.records.get(&change.id) {
            let same = known.change == change;
            return if same {
                Ok(known.state)
            } else {
                Err(ChangeError::OtherContent(change.id.0))
            };
        }
        if change.base > self.configuration.version {
            return Err(ChangeError::UnknownBase(change.base));
        }
        if let Some(conflict) = self.conflict(&change) {
            return Err(conflict);
        }
        if self.plan(&change).is_empty() {
            return Err(ChangeError::Empty);
        }
        let id = change.id.clone();
        let record = ChangeRecord {
            change,
            state: ChangeState::Proposed,
            previous_values: BTreeMap::new(),
            findings: Vec::new(),
            reason: None,
            applied_version: None,
            undone_version: None,
        };
        self.records.insert(id.clone(), record);
        self.since.insert(id, now);
        Ok(ChangeState::Proposed)
    }

    /// A change that came into force, or was taken back, after the version that this one was made against.
    fn conflict(&self, change: &Change) -> Option<ChangeError> {
        let (version, theirs) = self
            .version_history
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
        Some(ChangeError::Conflict {
            base: change.base,
            version: *version,
            mine,
            theirs,
            keys,
        })
    }

    pub fn record_checks(
        &mut self,
        now: Moment,
        id: &ChangeId,
        verdict: CheckReport,
    ) -> Result<Vec<LedgerAction>, ChangeError> {
        let forbids = verdict
            .0
            .iter()
            .find(|finding| finding.forbids)
            .map(|finding| finding.text.clone());
        let record = self
            .records
            .get_mut(id)
            .ok_or_else(|| ChangeError::Unknown(id.0.clone()))?;
        if record.state == ChangeState::Proposed {
            record.findings = verdict.0;
        }
        match forbids {
            None => self.handle_event(now, id, ChangeEvent::ChecksPassed, None),
            Some(why) => self.handle_event(now, id, ChangeEvent::ChecksFailed, Some(why)),
        }
    }

    /// An operator wants it in force.
    pub fn apply(&mut self, now: Moment, id: &ChangeId) -> Result<Vec<LedgerAction>, ChangeError> {
        let record = self
            .records
            .get(id)
            .ok_or_else(|| ChangeError::Unknown(id.0.clone()))?;
        match record.state {
            ChangeState::Staged => {}
            // Told twice: it is under way, or was.
            ChangeState::Applying | ChangeState::Watched | ChangeState::Kept => {
                return Ok(Vec::new())
            }
            state => {
                return Err(ChangeError::Unfit {
                    id: id.0.clone(),
                    state,
                })
            }
        }
        if let Some(runs) = self.unfinished().find(|other| other.state.is_in_progress()) {
            return Err(ChangeError::Busy {
                waits: id.0.clone(),
                runs: runs.change.id.0.clone(),
            });
        }
        if let Some(conflict) = self.conflict(&record.change.clone()) {
            self.handle_event(now, id, ChangeEvent::BaseMoved, Some(conflict.to_string()))?;
            return Err(conflict);
        }
        self.handle_event(now, id, ChangeEvent::Apply, None)
    }

    /// An operator wants it gone, or a condition is broken.
    pub fn undo(
        &mut self,
        now: Moment,
        id: &ChangeId,
        why: &str,
    ) -> Result<Vec<LedgerAction>, ChangeError> {
        let record = self
            .records
            .get(id)
            .ok_or_else(|| ChangeError::Unknown(id.0.clone()))?;
        if matches!(record.state, ChangeState::Undoing | ChangeState::Undone) {
            return Ok(Vec::new());
        }
        if let Some(made) = record.applied_version {
            let mine = &record.change.sets;
            let later = self
                .version_history
                .iter()
                .filter(|(version, _)| *version > made);
            for other in later.filter_map(|(_, other)| self.records.get(other)) {
                let rests = !matches!(other.state, ChangeState::Undone | ChangeState::Refused);
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
                    return Err(ChangeError::RestsOn {
                        id,
                        later,
                        keys: both,
                    });
                }
            }
        }
        if let Some(runs) = self
            .unfinished()
            .find(|other| other.change.id != *id && other.state.is_in_progress())
        {
            return Err(ChangeError::Busy {
                waits: id.0.clone(),
                runs: runs.change.id.0.clone(),
            });
        }
        self.handle_event(now, id, ChangeEvent::Undo, Some(why.to_string()))
    }

    /// Something came of what was ordered, or time passed.
    pub fn handle_event(
        &mut self,
        now: Moment,
        id: &ChangeId,
        input: ChangeEvent,
        why: Option<String>,
    ) -> Result<Vec<LedgerAction>, ChangeError> {
        let record = self
            .records
            .get_mut(id)
            .ok_or_else(|| ChangeError::Unknown(id.0.clone()))?;
        let Some((next, effect)) = record.state.on_event(input) else {
            return Ok(Vec::new());
        };
        let before = std::mem::replace(&mut record.state, next);
        record.reason = why.or(record.reason.take());
        match next.is_final() {
            true => drop(self.since.remove(id)),
            false => drop(self.since.insert(id.clone(), now)),
        }
        match (before, next) {
            (ChangeState::Staged, ChangeState::Applying) => self.put(id),
            (from, ChangeState::Undoing) if from != ChangeState::Undoing => self.put_back(id),
            _ => {}
        }
        let told = !matches!(effect, ChangeEffect::Nothing);
        Ok(told
            .then(|| LedgerAction {
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
            record.previous_values.insert(path.clone(), before);
        }
        record.applied_version = Some(self.configuration.version);
        self.version_history
            .push((self.configuration.version, id.clone()));
    }

    /// The former values are a version too: numbers never fall.
    fn put_back(&mut self, id: &ChangeId) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        self.configuration.version += 1;
        record.undone_version = Some(self.configuration.version);
        self.version_history
            .push((self.configuration.version, id.clone()));
        for (path, before) in &record.previous_values {
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

    fn lasts(&self, state: ChangeState) -> Option<Span> {
        let deadlines = &self.deadlines;
        match state {
            ChangeState::Proposed => Some(deadlines.checks),
            ChangeState::Checked => Some(deadlines.write),
            ChangeState::Staged => Some(deadlines.staged),
            ChangeState::Applying | ChangeState::Undoing => Some(deadlines.apply),
            ChangeState::Watched => Some(deadlines.watch * 2.0),
            ChangeState::Kept | ChangeState::Undone | ChangeState::Refused => None,
        }
    }

    /// What is due by now. `evidence`: until when what is measured is known.
    pub fn advance(&mut self, now: Moment, evidence: Moment) -> Vec<LedgerAction> {
        let mut orders = Vec::new();
        for id in self.since.keys().cloned().collect::<Vec<_>>() {
            let (Some(record), Some(since)) = (self.records.get(&id), self.since.get(&id).copied())
            else {
                continue;
            };
            let state = record.state;
            let watched = state == ChangeState::Watched && evidence - since >= self.deadlines.watch;
            let late = self.lasts(state).is_some_and(|span| now - since >= span);
            let told = match (watched, late) {
                (true, _) => self.handle_event(now, &id, ChangeEvent::WatchOver, None),
                (_, true) => self.handle_event(
                    now,
                    &id,
                    ChangeEvent::Late,
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
                    + if record.state == ChangeState::Watched {
                        self.deadlines.watch
                    } else {
                        span
                    },
            )
        };
        self.since.iter().filter_map(due).min()
    }
}
