//! Why the ledger does not accept a proposal or an order.

use crate::state::ChangeState;

/// Why a proposal, or an order to apply or undo a change, is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChangeError {
    /// The id is taken by a change with other content.
    #[error("`{0}` names another change already")]
    OtherContent(String),
    /// Every value is in force already.
    #[error("it changes nothing")]
    Empty,
    /// Another change came into force, or was undone, after the base version.
    #[error("it was made against version {base}, {version} is in force: `{mine}` and `{theirs}` both change {keys}")]
    Conflict {
        /// The version that the change was made against.
        base: u64,
        /// The version that the other change made.
        version: u64,
        /// The change and its author.
        mine: String,
        /// The other change and its author.
        theirs: String,
        /// The paths that both change.
        keys: String,
    },
    /// The base version is above the version in force.
    #[error("version {0} was never in force")]
    UnknownBase(u64),
    /// No change has this id.
    #[error("`{0}` is no change that is known")]
    Unknown(String),
    /// Another change is in progress.
    #[error("`{waits}` waits: `{runs}` is under way")]
    Busy {
        /// The change that was to be applied or undone.
        waits: String,
        /// The change that is in progress.
        runs: String,
    },
    /// A later change in force sets the same values.
    #[error("`{id}` can't be undone: `{later}` rests on it ({keys})")]
    RestsOn {
        /// The change that was to be undone.
        id: String,
        /// The later change.
        later: String,
        /// The paths that both change.
        keys: String,
    },
    /// The order does not fit to the state of the change.
    #[error("`{id}` is {state:?}, which that does not fit to")]
    Unfit {
        /// The change.
        id: String,
        /// Its state.
        state: ChangeState,
    },
}
