//! The life of a change, as a table.

use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
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
pub enum Input {
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
pub enum Effect {
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
pub const TABLE: &[(State, Input, State, Effect)] = &[
    (
        State::Proposed,
        Input::ChecksPassed,
        State::Checked,
        Effect::Write,
    ),
    (
        State::Proposed,
        Input::ChecksFailed,
        State::Refused,
        Effect::Close,
    ),
    (
        State::Proposed,
        Input::BaseMoved,
        State::Refused,
        Effect::Close,
    ),
    (State::Proposed, Input::Late, State::Refused, Effect::Close),
    (State::Proposed, Input::Undo, State::Refused, Effect::Close),
    (
        State::Checked,
        Input::Written,
        State::Staged,
        Effect::Nothing,
    ),
    (
        State::Checked,
        Input::BaseMoved,
        State::Refused,
        Effect::Close,
    ),
    (State::Checked, Input::Undo, State::Refused, Effect::Close),
    // A disk that takes seconds delays the change and nothing else.
    (State::Checked, Input::Late, State::Checked, Effect::Write),
    (
        State::Staged,
        Input::Apply,
        State::Applying,
        Effect::PutInForce,
    ),
    (
        State::Staged,
        Input::BaseMoved,
        State::Refused,
        Effect::Close,
    ),
    (State::Staged, Input::Undo, State::Refused, Effect::Close),
    (State::Staged, Input::Late, State::Refused, Effect::Close),
    (
        State::Applying,
        Input::InForce,
        State::Watched,
        Effect::Watch,
    ),
    (
        State::Applying,
        Input::Undo,
        State::Undoing,
        Effect::PutBack,
    ),
    (
        State::Applying,
        Input::Late,
        State::Undoing,
        Effect::PutBack,
    ),
    (State::Watched, Input::WatchOver, State::Kept, Effect::Keep),
    (State::Watched, Input::Undo, State::Undoing, Effect::PutBack),
    // Evidence that never comes is no good news.
    (State::Watched, Input::Late, State::Undoing, Effect::PutBack),
    // A change that was kept can be taken back as long as nothing rests on it.
    (State::Kept, Input::Undo, State::Undoing, Effect::PutBack),
    (State::Undoing, Input::InForce, State::Undone, Effect::Close),
    (State::Undoing, Input::Late, State::Undoing, Effect::PutBack),
];

impl State {
    pub fn turn(self, input: Input) -> Option<(State, Effect)> {
        let row = TABLE.iter().find(|row| (row.0, row.1) == (self, input));
        row.map(|row| (row.2, row.3))
    }

    /// Nothing more comes of it by itself.
    pub fn over(self) -> bool {
        matches!(self, State::Kept | State::Undone | State::Refused)
    }

    /// Its values, or some of them, are at gateways.
    pub fn under_way(self) -> bool {
        matches!(self, State::Applying | State::Watched | State::Undoing)
    }
}
