//! Why the ledger does not accept a proposal or an order.

use crate::state::ChangeState;

/// Why a proposal, or an order to apply or undo a change, is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The id is taken by a change with other content.
    #[error("`{0}` names another change already")]
    IdTaken(String),
    /// Every value is in force already.
    #[error("it changes nothing")]
    NoEffect,
    /// Another change came into force, or was undone, after the base version.
    #[error("it was made against version {base}, {version} is in force: `{change}` and `{other_change}` both change {paths}")]
    Conflict {
        /// The version that the change was made against.
        base: u64,
        /// The version that the other change made.
        version: u64,
        /// The change and its author.
        change: String,
        /// The other change and its author.
        other_change: String,
        /// The paths that both change.
        paths: String,
    },
    /// The base version is above the version in force.
    #[error("version {0} was never in force")]
    UnknownBase(u64),
    /// No change has this id.
    #[error("`{0}` is no change that is known")]
    UnknownChange(String),
    /// Another change is in progress.
    #[error("`{id}` waits: `{in_progress}` is under way")]
    OtherChangeInProgress {
        /// The change that was to be applied or undone.
        id: String,
        /// The change that is in progress.
        in_progress: String,
    },
    /// A later change in force sets the same values.
    #[error("`{id}` can't be undone: `{later}` rests on it ({paths})")]
    SetByLaterChange {
        /// The change that was to be undone.
        id: String,
        /// The later change.
        later: String,
        /// The paths that both change.
        paths: String,
    },
    /// The order does not fit to the state of the change.
    #[error("`{id}` is {state:?}, which that does not fit to")]
    WrongState {
        /// The change.
        id: String,
        /// Its state.
        state: ChangeState,
    },
}
