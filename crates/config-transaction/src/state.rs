//! The life cycle of a change: its states, the events that move it on, and what each transition asks for.
//!
//! ```text
//! proposed → checked → staged → applying → watched → kept
//!                                    ↘ undoing → undone      refused: before it ever was in force
//! ```

use serde::{Deserialize, Serialize};

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// Received; its checks have not finished.
    Proposed,
    /// No check forbids it; the write to the disk has not finished.
    Checked,
    /// On the disk and ready to be applied.
    Staged,
    /// On its way to the proxies.
    Applying,
    /// In force; the service is compared with the baseline.
    Watched,
    /// In force for good: the watch ended with no broken condition.
    Kept,
    /// The former values are on their way to the proxies.
    Undoing,
    /// The former values are in force again.
    Undone,
    /// It never was in force and never will be.
    Refused,
}

/// What moves a change from one state to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeEvent {
    /// No check forbids it.
    ChecksPassed,
    /// A check forbids it.
    ChecksFailed,
    /// The disk has it.
    Written,
    /// Another change came into force since the version that it was made against.
    BaseOutdated,
    /// An operator applies it.
    ApplyRequested,
    /// Every proxy has the values, or is excluded from waiting by design.
    InForce,
    /// An operator undoes it, or a condition of its watch is broken.
    UndoRequested,
    /// The evidence covers the whole watch and no condition was broken.
    WatchCompleted,
    /// The state lasted longer than its deadline.
    DeadlineExceeded,
}

/// What the owner of disk and sockets does for a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEffect {
    /// Nothing to carry out, and nothing new to persist.
    Nothing,
    /// Write the change; `ChangeEvent::Written` follows.
    Write,
    /// Put the new values in force through the balancer's ordered steps; `ChangeEvent::InForce` follows.
    ApplyValues,
    /// Put the former values in force in the same way; `ChangeEvent::InForce` follows.
    RestoreValues,
    /// Begin to compare the service with the baseline.
    Watch,
    /// Persist that the change is kept.
    Keep,
    /// Persist that the change is over without being in force.
    Close,
}

/// A state that follows, and what is to be done on the way there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The state afterwards.
    pub next: ChangeState,
    /// What is to be carried out.
    pub effect: ChangeEffect,
}

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

    /// The transition for an event; `None`: the event changes nothing in this state.
    pub fn transition(self, event: ChangeEvent) -> Option<Transition> {
        use ChangeEvent as Event;
        let refuse = (ChangeState::Refused, ChangeEffect::Close);
        let undo = (ChangeState::Undoing, ChangeEffect::RestoreValues);
        let (next, effect) = match self {
            ChangeState::Proposed => match event {
                Event::ChecksPassed => (ChangeState::Checked, ChangeEffect::Write),
                Event::ChecksFailed | Event::BaseOutdated => refuse,
                Event::DeadlineExceeded | Event::UndoRequested => refuse,
                _ => return None,
            },
            ChangeState::Checked => match event {
                Event::Written => (ChangeState::Staged, ChangeEffect::Nothing),
                Event::BaseOutdated | Event::UndoRequested => refuse,
                // A disk that takes seconds delays the change and nothing else.
                Event::DeadlineExceeded => (ChangeState::Checked, ChangeEffect::Write),
                _ => return None,
            },
            ChangeState::Staged => match event {
                Event::ApplyRequested => (ChangeState::Applying, ChangeEffect::ApplyValues),
                Event::BaseOutdated | Event::UndoRequested | Event::DeadlineExceeded => refuse,
                _ => return None,
            },
            ChangeState::Applying => match event {
                Event::InForce => (ChangeState::Watched, ChangeEffect::Watch),
                Event::UndoRequested | Event::DeadlineExceeded => undo,
                _ => return None,
            },
            ChangeState::Watched => match event {
                Event::WatchCompleted => (ChangeState::Kept, ChangeEffect::Keep),
                // Evidence that never comes counts against the change.
                Event::UndoRequested | Event::DeadlineExceeded => undo,
                _ => return None,
            },
            // A change that was kept can be undone as long as no later change rests on it.
            ChangeState::Kept => match event {
                Event::UndoRequested => undo,
                _ => return None,
            },
            ChangeState::Undoing => match event {
                Event::InForce => (ChangeState::Undone, ChangeEffect::Close),
                Event::DeadlineExceeded => undo,
                _ => return None,
            },
            ChangeState::Undone | ChangeState::Refused => return None,
        };
        Some(Transition { next, effect })
    }

    /// Whether nothing more comes of the change by itself.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            ChangeState::Kept | ChangeState::Undone | ChangeState::Refused
        )
    }

    /// Whether its values, or some of them, are at proxies and the change has not ended.
    pub fn is_in_progress(self) -> bool {
        matches!(
            self,
            ChangeState::Applying | ChangeState::Watched | ChangeState::Undoing
        )
    }
}
