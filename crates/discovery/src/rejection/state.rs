//! The state of a table set, which depends on how many clients reject its versions.

/// How changes of a table set are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionState {
    /// All changes are sent.
    Normal,
    /// Ordinary changes are paused.
    Paused,
    /// The table set was rolled back to an older version.
    RolledBack,
}

/// The result of the votes of clients on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tally {
    MinorityRejects,
    MajorityRejects,
    /// The majority rejected as many versions in a row as lead to a rollback.
    MajorityRejectsRepeatedly,
    MajorityAcknowledges,
}

/// The action after a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    None,
    Pause,
    RollBack,
    Resume,
}

impl RejectionState {
    /// Returns the state after a tally, and the action to take.
    pub(super) fn on_tally(self, tally: Tally) -> (RejectionState, Effect) {
        use RejectionState::{Normal, Paused, RolledBack};
        match (self, tally) {
            (state, Tally::MinorityRejects) => (state, Effect::None),
            (Normal, Tally::MajorityAcknowledges) => (Normal, Effect::None),
            (Paused | RolledBack, Tally::MajorityAcknowledges) => (Normal, Effect::Resume),
            (Normal | Paused, Tally::MajorityRejects) => (Paused, Effect::Pause),
            (Normal | Paused, Tally::MajorityRejectsRepeatedly) => (RolledBack, Effect::RollBack),
            // The rollback target is rejected as well, and there is no better version to roll back to.
            (RolledBack, Tally::MajorityRejects | Tally::MajorityRejectsRepeatedly) => {
                (RolledBack, Effect::Pause)
            }
        }
    }
}
