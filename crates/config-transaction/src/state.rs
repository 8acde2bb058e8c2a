//! The life cycle of a change: its states, the events that cause transitions, and the effect of each transition.
//!
//! ```text
//! proposed → checked → staged → applying → watched → kept
//!                                    ↘ undoing → undone      refused: ended before the change was applied
//! ```

use serde::{Deserialize, Serialize};

/// The state of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// The proposal was received; its checks have not finished.
    Proposed,
    /// No check forbids the change; the write to disk has not finished.
    Checked,
    /// The change is on disk and ready to be applied.
    Staged,
    /// The values of the change are being sent to the proxies.
    Applying,
    /// The change is in force, and the service is compared with the baseline.
    Watched,
    /// The watch ended with no broken condition; the change stays in force until an operator undoes it.
    Kept,
    /// The previous values are being sent to the proxies.
    Undoing,
    /// The previous values are in force again.
    Undone,
    /// The change was rejected or withdrawn before it was applied.
    Refused,
}

/// An event that may cause a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeEvent {
    /// No check forbids the change.
    ChecksPassed,
    /// A check forbids the change.
    ChecksFailed,
    /// The change was written to disk.
    Written,
    /// Another change was applied or undone after the version that this one was made against.
    BaseOutdated,
    /// An operator applies the change.
    ApplyRequested,
    /// Every proxy has the values, except those that are not waited for by design.
    InForce,
    /// An operator undoes the change, or a condition of its watch is broken.
    UndoRequested,
    /// The evidence covers the whole watch, and no condition was broken.
    WatchCompleted,
    /// The change has been in its state for at least the deadline of that state.
    DeadlineExceeded,
}

/// The action that a transition requires of the caller, which owns disk and sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeEffect {
    /// No action, and nothing new to persist.
    Nothing,
    /// Write the change to disk and report `ChangeEvent::Written`.
    Write,
    /// Put the new values in force through the balancer's ordered update steps and report `ChangeEvent::InForce`.
    ApplyValues,
    /// Put the previous values in force in the same way and report `ChangeEvent::InForce`.
    RestoreValues,
    /// Start comparing the service with the baseline.
    Watch,
    /// Persist that the change is kept.
    Keep,
    /// Persist that the change ended and is not in force.
    Close,
}

/// The next state and the action that the transition requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The state after the transition.
    pub next: ChangeState,
    /// The action that the caller carries out.
    pub effect: ChangeEffect,
}

impl ChangeState {
    /// Returns the spelling in the operators' API, the state file and the log.
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

    /// Returns the transition for an event, or `None` if the event has no effect in this state.
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
                // A slow disk only delays the change: the write is repeated, and the change is not refused.
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
                // Without complete evidence by the deadline, the change is undone.
                Event::UndoRequested | Event::DeadlineExceeded => undo,
                _ => return None,
            },
            // A kept change can be undone; the ledger rejects the command if a later change sets the same values.
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

    /// Whether the change has ended: it leaves this state on an operator's command to undo it, or never.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            ChangeState::Kept | ChangeState::Undone | ChangeState::Refused
        )
    }

    /// Whether the change has been applied, so that proxies may have its values, and has not ended.
    pub fn is_in_progress(self) -> bool {
        matches!(
            self,
            ChangeState::Applying | ChangeState::Watched | ChangeState::Undoing
        )
    }
}
