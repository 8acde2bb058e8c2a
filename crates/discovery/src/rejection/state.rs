//! The state of a table set by how many clients reject its versions.

/// How a table set's changes are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionState {
    /// All changes are sent.
    Normal,
    /// Ordinary changes wait.
    Paused,
    /// An older version was rolled back to.
    RolledBack,
}

/// How clients voted on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tally {
    MinorityRejects,
    MajorityRejects,
    /// For so many versions in a row that a rollback is due.
    MajorityRejectsRepeatedly,
    MajorityAcknowledges,
}

/// What follows from a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    None,
    Pause,
    RollBack,
    Resume,
}

impl RejectionState {
    /// The state after a tally, and what follows from it.
    pub(super) fn on_tally(self, tally: Tally) -> (RejectionState, Effect) {
        use RejectionState::{Normal, Paused, RolledBack};
        match (self, tally) {
            (state, Tally::MinorityRejects) => (state, Effect::None),
            (Normal, Tally::MajorityAcknowledges) => (Normal, Effect::None),
            (Paused | RolledBack, Tally::MajorityAcknowledges) => (Normal, Effect::Resume),
            (Normal | Paused, Tally::MajorityRejects) => (Paused, Effect::Pause),
            (Normal | Paused, Tally::MajorityRejectsRepeatedly) => (RolledBack, Effect::RollBack),
            // What was rolled back to is rejected as well: there is nothing better.
            (RolledBack, Tally::MajorityRejects | Tally::MajorityRejectsRepeatedly) => {
                (RolledBack, Effect::Pause)
            }
        }
    }
}
