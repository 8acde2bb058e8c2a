//! The configuration in force and all its changes. One change is in progress at a time. A second change that was made
//! against the same version is refused once the first has been applied, and the error names both changes.

mod conflict;
mod deadlines;
mod versions;

pub use deadlines::Deadlines;

use crate::change::{Change, ChangeId, ChangeRecord, CheckReport, Configuration, ValueChange};
use crate::error::ChangeError;
use crate::state::{ChangeEffect, ChangeEvent, ChangeState};
use std::collections::BTreeMap;
use wheelspread::time::Moment;

/// An action that the caller carries out for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerAction {
    /// The change.
    pub id: ChangeId,
    /// The action; never `ChangeEffect::Nothing`.
    pub effect: ChangeEffect,
}

/// The configuration in force and the records of all changes.
#[derive(Clone, Debug)]
pub struct Ledger {
    configuration: Configuration,
    records: BTreeMap<ChangeId, ChangeRecord>,
    /// Versions in ascending order, each with the change whose application or undoing created the version.
    version_history: Vec<(u64, ChangeId)>,
    /// The time at which each change that is not in a final state entered its state.
    entered_state_at: BTreeMap<ChangeId, Moment>,
    deadlines: Deadlines,
}

impl Ledger {
    /// Creates a ledger without changes.
    pub fn new(configuration: Configuration, deadlines: Deadlines) -> Ledger {
        Ledger {
            configuration,
            records: BTreeMap::new(),
            version_history: Vec::new(),
            entered_state_at: BTreeMap::new(),
            deadlines,
        }
    }

    /// Rebuilds the ledger of a controller that restarts. A change that was in progress resumes in its state: the
    /// action for that state is returned again.
    pub fn recover(
        now: Moment,
        configuration: Configuration,
        records: Vec<ChangeRecord>,
        deadlines: Deadlines,
    ) -> (Ledger, Vec<LedgerAction>) {
        let mut ledger = Ledger::new(configuration, deadlines);
        let mut actions = Vec::new();
        for mut record in records {
            let id = record.change.id.clone();
            // The record was read from disk, so the write that `Checked` waits for has completed.
            if record.state == ChangeState::Checked {
                record.state = ChangeState::Staged;
            }
            let effect = match record.state {
                ChangeState::Applying => Some(ChangeEffect::ApplyValues),
                ChangeState::Undoing => Some(ChangeEffect::RestoreValues),
                ChangeState::Watched => Some(ChangeEffect::Watch),
                _ => None,
            };
            actions.extend(effect.map(|effect| LedgerAction {
                id: id.clone(),
                effect,
            }));
            let versions = [record.applied_version, record.undone_version];
            let versions = versions.into_iter().flatten();
            ledger
                .version_history
                .extend(versions.map(|version| (version, id.clone())));
            if !record.state.is_final() {
                ledger.entered_state_at.insert(id.clone(), now);
            }
            ledger.records.insert(id, record);
        }
        ledger.version_history.sort();
        (ledger, actions)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The records of all changes, in the order of their ids.
    pub fn records(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.records.values()
    }

    /// The records of the changes that are not in a final state.
    pub fn unfinished(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.entered_state_at
            .keys()
            .filter_map(|id| self.records.get(id))
    }

    /// The record of a change.
    pub fn record(&self, id: &ChangeId) -> Option<&ChangeRecord> {
        self.records.get(id)
    }

    fn known_record(&self, id: &ChangeId) -> Result<&ChangeRecord, ChangeError> {
        self.records
            .get(id)
            .ok_or_else(|| ChangeError::UnknownChange(id.0.clone()))
    }

    /// Returns the values of a change that differ from the values in force.
    pub fn plan(&self, change: &Change) -> Vec<ValueChange> {
        let value_change = |(path, to): (&String, &Option<String>)| {
            let from = self.configuration.values.get(path).cloned();
            (from != *to).then(|| ValueChange {
                path: path.clone(),
                from,
                to: to.clone(),
            })
        };
        change.sets.iter().filter_map(value_change).collect()
    }

    /// Records a proposal, which is to be checked next. A repeated proposal returns the current state of the change.
    pub fn propose(&mut self, now: Moment, change: Change) -> Result<ChangeState, ChangeError> {
        if let Some(known) = self.records.get(&change.id) {
            return match known.change == change {
                true => Ok(known.state),
                false => Err(ChangeError::IdTaken(change.id.0)),
            };
        }
        if change.base > self.configuration.version {
            return Err(ChangeError::UnknownBase(change.base));
        }
        if let Some(conflict) = self.conflict(&change) {
            return Err(conflict);
        }
        if self.plan(&change).is_empty() {
            return Err(ChangeError::NoEffect);
        }
        let id = change.id.clone();
        self.records
            .insert(id.clone(), ChangeRecord::proposed(change));
        self.entered_state_at.insert(id, now);
        Ok(ChangeState::Proposed)
    }

    /// Stores the findings of the checks of a proposal, and refuses the change if a finding forbids it.
    pub fn record_checks(
        &mut self,
        now: Moment,
        id: &ChangeId,
        report: CheckReport,
    ) -> Result<Vec<LedgerAction>, ChangeError> {
        let forbidden = report
            .first_forbidding()
            .map(|finding| finding.text.clone());
        let record = self
            .records
            .get_mut(id)
            .ok_or_else(|| ChangeError::UnknownChange(id.0.clone()))?;
        if record.state == ChangeState::Proposed {
            record.findings = report.0;
        }
        match forbidden {
            None => self.handle_event(now, id, ChangeEvent::ChecksPassed, None),
            Some(reason) => self.handle_event(now, id, ChangeEvent::ChecksFailed, Some(reason)),
        }
    }

    /// Applies a staged change on an operator's command. A repeated command has no effect.
    pub fn apply(&mut self, now: Moment, id: &ChangeId) -> Result<Vec<LedgerAction>, ChangeError> {
        let record = self.known_record(id)?;
        match record.state {
            ChangeState::Staged => {}
            ChangeState::Applying | ChangeState::Watched | ChangeState::Kept => {
                return Ok(Vec::new())
            }
            state => {
                return Err(ChangeError::WrongState {
                    id: id.0.clone(),
                    state,
                })
            }
        }
        self.ensure_no_other_change_in_progress(id)?;
        if let Some(conflict) = self.conflict(&record.change) {
            let reason = Some(conflict.to_string());
            self.handle_event(now, id, ChangeEvent::BaseOutdated, reason)?;
            return Err(conflict);
        }
        self.handle_event(now, id, ChangeEvent::ApplyRequested, None)
    }

    /// Undoes a change on an operator's command or because a condition of its watch is broken. A repeated command has
    /// no effect.
    pub fn undo(
        &mut self,
        now: Moment,
        id: &ChangeId,
        reason: &str,
    ) -> Result<Vec<LedgerAction>, ChangeError> {
        let record = self.known_record(id)?;
        if matches!(record.state, ChangeState::Undoing | ChangeState::Undone) {
            return Ok(Vec::new());
        }
        self.ensure_no_later_change_sets_same_paths(record)?;
        self.ensure_no_other_change_in_progress(id)?;
        let reason = Some(reason.to_string());
        self.handle_event(now, id, ChangeEvent::UndoRequested, reason)
    }

    /// Handles the outcome of an action or an exceeded deadline. An event without a transition in the current state of
    /// the change has no effect.
    pub fn handle_event(
        &mut self,
        now: Moment,
        id: &ChangeId,
        event: ChangeEvent,
        reason: Option<String>,
    ) -> Result<Vec<LedgerAction>, ChangeError> {
        let record = self
            .records
            .get_mut(id)
            .ok_or_else(|| ChangeError::UnknownChange(id.0.clone()))?;
        let Some(transition) = record.state.transition(event) else {
            return Ok(Vec::new());
        };
        let before = std::mem::replace(&mut record.state, transition.next);
        record.reason = reason.or(record.reason.take());
        match transition.next.is_final() {
            true => drop(self.entered_state_at.remove(id)),
            false => drop(self.entered_state_at.insert(id.clone(), now)),
        }
        match (before, transition.next) {
            (ChangeState::Staged, ChangeState::Applying) => self.apply_values(id),
            (from, ChangeState::Undoing) if from != ChangeState::Undoing => self.restore_values(id),
            _ => {}
        }
        let action = LedgerAction {
            id: id.clone(),
            effect: transition.effect,
        };
        Ok(match transition.effect {
            ChangeEffect::Nothing => Vec::new(),
            _ => vec![action],
        })
    }
}
