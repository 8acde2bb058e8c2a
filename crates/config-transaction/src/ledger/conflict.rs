//! Detection of changes that conflict with each other.

use super::Ledger;
use crate::change::{Change, ChangeId, ChangeRecord};
use crate::error::ChangeError;
use crate::state::ChangeState;

/// Returns the paths that both changes set, separated by commas, or an empty text if there are none.
fn shared_paths(one: &Change, other: &Change) -> String {
    let shared = one
        .sets
        .keys()
        .filter(|path| other.sets.contains_key(*path));
    shared.cloned().collect::<Vec<_>>().join(", ")
}

fn with_author(change: &Change) -> String {
    format!("{} by {}", change.id.0, change.by)
}

impl Ledger {
    /// Returns the conflict with the latest change that was applied or undone after the version that this one was made
    /// against.
    pub(super) fn conflict(&self, change: &Change) -> Option<ChangeError> {
        let (version, other_id) = self
            .version_history
            .iter()
            .rev()
            .find(|(version, _)| *version > change.base)?;
        let other = &self.records.get(other_id)?.change;
        let mut paths = shared_paths(change, other);
        if paths.is_empty() {
            paths = "the configuration".to_string();
        }
        Some(ChangeError::Conflict {
            base: change.base,
            version: *version,
            change: with_author(change),
            other_change: with_author(other),
            paths,
        })
    }

    /// Fails if a later change that has not been undone sets one of the same paths.
    pub(super) fn ensure_no_later_change_sets_same_paths(
        &self,
        record: &ChangeRecord,
    ) -> Result<(), ChangeError> {
        let Some(applied) = record.applied_version else {
            return Ok(());
        };
        let later = self
            .version_history
            .iter()
            .filter(|(version, _)| *version > applied)
            .filter_map(|(_, id)| self.records.get(id));
        for other in later {
            let in_force = !matches!(other.state, ChangeState::Undone | ChangeState::Refused);
            let paths = shared_paths(&other.change, &record.change);
            if in_force && !paths.is_empty() {
                return Err(ChangeError::SetByLaterChange {
                    id: record.change.id.0.clone(),
                    later: other.change.id.0.clone(),
                    paths,
                });
            }
        }
        Ok(())
    }

    /// Fails if another change is being applied, watched or undone.
    pub(super) fn ensure_no_other_change_in_progress(
        &self,
        id: &ChangeId,
    ) -> Result<(), ChangeError> {
        let other = self
            .unfinished()
            .find(|other| other.change.id != *id && other.state.is_in_progress());
        match other {
            None => Ok(()),
            Some(other) => Err(ChangeError::OtherChangeInProgress {
                id: id.0.clone(),
                in_progress: other.change.id.0.clone(),
            }),
        }
    }
}
