//! The errors with which the ledger rejects a proposal or a command.

use crate::state::ChangeState;

/// The reason why a proposal, or a command to apply or undo a change, is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The id belongs to a change with different content.
    #[error("`{0}` names another change already")]
    IdTaken(String),
    /// Every value that the change sets is already in force.
    #[error("the change sets no value that differs from the configuration in force")]
    NoEffect,
    /// Another change was applied or undone after the base version. The text is also stored as the reason of the
    /// refusal.
    #[error("it was made against version {base}, {version} is in force: `{change}` and `{other_change}` both change {paths}")]
    Conflict {
        /// The version that the change was made against.
        base: u64,
        /// The version that applying or undoing the other change created.
        version: u64,
        /// The id of the rejected change and its author.
        change: String,
        /// The id of the other change and its author.
        other_change: String,
        /// The paths that both changes set.
        paths: String,
    },
    /// The base version is higher than the version in force.
    #[error("version {0} was never in force")]
    UnknownBase(u64),
    /// The ledger has no change with this id.
    #[error("`{0}` is no change that is known")]
    UnknownChange(String),
    /// Another change is being applied, watched or undone.
    #[error(
        "change `{id}` cannot be applied or undone while change `{in_progress}` is in progress"
    )]
    OtherChangeInProgress {
        /// The change that was to be applied or undone.
        id: String,
        /// The change that is in progress.
        in_progress: String,
    },
    /// A later change in force sets some of the same values.
    #[error("change `{id}` cannot be undone: the later change `{later}` also sets {paths}")]
    SetByLaterChange {
        /// The change that was to be undone.
        id: String,
        /// The later change.
        later: String,
        /// The paths that both changes set.
        paths: String,
    },
    /// The change is in a state in which the command is not allowed.
    #[error("command not allowed: change `{id}` is in state {state:?}")]
    WrongState {
        /// The change.
        id: String,
        /// The state of the change.
        state: ChangeState,
    },
}
