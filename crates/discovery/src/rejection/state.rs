//! The state of a table set by how many clients reject its versions.

/// How a table set's changes are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionState {
    /// All changes are sent.
    Normal,
    /// Ordinary changes wait.
    Holding,
    /// An older version was rolled back to.
    RolledBack,
}

/// How clients voted on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Tally {
    FewReject,
    MostReject,
    /// For so many versions in a row that a rollback is due.
    MostRejectRepeatedly,
    MostAcknowledge,
}

/// What follows from a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    None,
    Hold,
    RollBack,
    Release,
}

impl RejectionState {
    /// The state after a tally, and what follows from it.
    pub(super) fn on_tally(self, tally: Tally) -> (RejectionState, Effect) {
        use RejectionState::{Holding, Normal, RolledBack};
        match (self, tally) {
            (state, Tally::FewReject) => (state, Effect::None),
            (Normal, Tally::MostAcknowledge) => (Normal, Effect::None),
            (Holding | RolledBack, Tally::MostAcknowledge) => (Normal, Effect::Release),
            (Normal | Holding, Tally::MostReject) => (Holding, Effect::Hold),
            (Normal | Holding, Tally::MostRejectRepeatedly) => (RolledBack, Effect::RollBack),
            // What was rolled back to is rejected as well: there is nothing better.
            (RolledBack, Tally::MostReject | Tally::MostRejectRepeatedly) => {
                (RolledBack, Effect::Hold)
            }
        }
    }
}
