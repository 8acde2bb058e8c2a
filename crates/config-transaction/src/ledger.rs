//! The configuration in force and all changes of it. One change is in progress at a time. A second change that was
//! made against the same version is refused once the first is in force, and the error names both.

mod conflict;
mod deadlines;
mod versions;

pub use deadlines::Deadlines;

use crate::change::{Change, ChangeId, ChangeRecord, CheckReport, Configuration, ValueChange};
use crate::error::ChangeError;
use crate::state::{ChangeEffect, ChangeEvent, ChangeState};
use std::collections::BTreeMap;
use wheelspread::time::Moment;

/// What is to be done for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerAction {
    /// The change.
    pub id: ChangeId,
    /// What to do; never `ChangeEffect::Nothing`.
    pub effect: ChangeEffect,
}

/// The configuration in force and every change that is remembered.
#[derive(Clone, Debug)]
pub struct Ledger {
    configuration: Configuration,
    records: BTreeMap<ChangeId, ChangeRecord>,
    /// Versions with the change that made each, or that was undone by it, in ascending order.
    version_history: Vec<(u64, ChangeId)>,
    /// Changes that are not final, and when each entered its state.
    entered_state_at: BTreeMap<ChangeId, Moment>,
    deadlines: Deadlines,
}

impl Ledger {
    /// A ledger that knows no change.
    pub fn new(configuration: Configuration, deadlines: Deadlines) -> Ledger {
        Ledger {
            configuration,
            records: BTreeMap::new(),
            version_history: Vec::new(),
            entered_state_at: BTreeMap::new(),
            deadlines,
        }
    }

    /// Rebuilds the ledger of a controller that restarts. A change that was in progress goes on in its state: the
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
            // A record that was read from the disk has been written.
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

    /// All changes that are remembered, by id.
    pub fn records(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.records.values()
    }

    /// Changes whose state is not final.
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

    /// The values that a change would set to something else than what is in force.
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

    /// Takes a proposal in; its checks follow. A repeated proposal returns the state that the change has by now.
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

    /// Stores what the checks of a proposal found, and refuses it if a finding forbids it.
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

    /// An operator applies a staged change. Repeated, it does nothing.
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

    /// An operator undoes a change, or a condition of its watch is broken. Repeated, it does nothing.
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

    /// The outcome of an action, or a deadline that passed. An event that does not fit the state changes nothing.
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
