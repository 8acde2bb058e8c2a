//! The life of a change, as a table.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// Told; its checks are asked for.
    Proposed,
    /// Nothing speaks against it.
    Checked,
    /// It is on the disk and can be applied.
    Staged,
    /// It is on its way to the gateways.
    Applying,
    /// It is in force, and what is measured is looked at.
    Watched,
    Kept,
    Undoing,
    Undone,
    /// It never was in force and never will be.
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeEvent {
    ChecksPassed,
    ChecksFailed,
    /// The disk has it.
    Written,
    /// Another change came into force since the version that it was made against.
    BaseMoved,
    /// By an operator.
    Apply,
    /// Every gateway holds it, or went without it by design.
    InForce,
    /// By an operator, or because what is watched broke a condition.
    Undo,
    WatchOver,
    /// The state lasted longer than it may.
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEffect {
    Nothing,
    Write,
    /// Puts the new values in force, through the module's ordered steps.
    PutInForce,
    /// Puts the former values in force, in the same way.
    PutBack,
    Watch,
    Keep,
    Close,
}

/// What is not in it does not happen: an input that a state has no row for changes nothing.
pub const TABLE: &[(ChangeState, ChangeEvent, ChangeState, ChangeEffect)] = &[
    (
        ChangeState::Proposed,
        ChangeEvent::ChecksPassed,
        ChangeState::Checked,
        ChangeEffect::Write,
    ),
    (
        ChangeState::Proposed,
        ChangeEvent::ChecksFailed,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Proposed,
        ChangeEvent::BaseMoved,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Proposed,
        ChangeEvent::Late,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Proposed,
        ChangeEvent::Undo,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Checked,
        ChangeEvent::Written,
        ChangeState::Staged,
        ChangeEffect::Nothing,
    ),
    (
        ChangeState::Checked,
        ChangeEvent::BaseMoved,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Checked,
        ChangeEvent::Undo,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    // A disk that takes seconds delays the change and nothing else.
    (
        ChangeState::Checked,
        ChangeEvent::Late,
        ChangeState::Checked,
        ChangeEffect::Write,
    ),
    (
        ChangeState::Staged,
        ChangeEvent::Apply,
        ChangeState::Applying,
        ChangeEffect::PutInForce,
    ),
    (
        ChangeState::Staged,
        ChangeEvent::BaseMoved,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Staged,
        ChangeEvent::Undo,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Staged,
        ChangeEvent::Late,
        ChangeState::Refused,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Applying,
        ChangeEvent::InForce,
        ChangeState::Watched,
        ChangeEffect::Watch,
    ),
    (
        ChangeState::Applying,
        ChangeEvent::Undo,
        ChangeState::Undoing,
        ChangeEffect::PutBack,
    ),
    (
        ChangeState::Applying,
        ChangeEvent::Late,
        ChangeState::Undoing,
        ChangeEffect::PutBack,
    ),
    (
        ChangeState::Watched,
        ChangeEvent::WatchOver,
        ChangeState::Kept,
        ChangeEffect::Keep,
    ),
    (
        ChangeState::Watched,
        ChangeEvent::Undo,
        ChangeState::Undoing,
        ChangeEffect::PutBack,
    ),
    // Evidence that never comes is no good news.
    (
        ChangeState::Watched,
        ChangeEvent::Late,
        ChangeState::Undoing,
        ChangeEffect::PutBack,
    ),
    // A change that was kept can be taken back as long as nothing rests on it.
    (
        ChangeState::Kept,
        ChangeEvent::Undo,
        ChangeState::Undoing,
        ChangeEffect::PutBack,
    ),
    (
        ChangeState::Undoing,
        ChangeEvent::InForce,
        ChangeState::Undone,
        ChangeEffect::Close,
    ),
    (
        ChangeState::Undoing,
        ChangeEvent::Late,
        ChangeState::Undoing,
        ChangeEffect::PutBack,
    ),
];

impl ChangeState {
    /// The spelling in the operators' API, the state file and the log.
    pub fn as_str(self) -> &'static str {
        match self {
            ChangeState::Proposed => "proposed",
            ChangeState::Checked => "checked",
            ChangeState::Staged => "staged",
            ChangeState::Applying => "applying",
            ChangeState::Watched => "watched",
            ChangeState::Kept => "kept",
            ChangeState::Undoing => "undoing",
            ChangeState::Undone => "undone",
            ChangeState::Refused => "refused",
        }
    }

    pub fn on_event(self, input: ChangeEvent) -> Option<(ChangeState, ChangeEffect)> {
        let row = TABLE.iter().find(|row| (row.0, row.1) == (self, input));
        row.map(|row| (row.2, row.3))
    }

    /// Nothing more comes of it by itself.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            ChangeState::Kept | ChangeState::Undone | ChangeState::Refused
        )
    }

    /// Its values, or some of them, are at gateways.
    pub fn is_in_progress(self) -> bool {
        matches!(
            self,
            ChangeState::Applying | ChangeState::Watched | ChangeState::Undoing
        )
    }
}
