//! The deadline of each state of a change.

use super::{Ledger, LedgerAction};
use crate::change::ChangeId;
use crate::state::{ChangeEvent, ChangeState};
use wheelspread::time::{Moment, Span};

/// The deadline of the `Watched` state, as a multiple of the duration of the watch: evidence may be late by the same
/// time again.
const WATCH_DEADLINE_FACTOR: f64 = 2.0;

/// The maximum duration of each state.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// The time for the checks of a proposal; after it, the change is refused.
    pub checks: Span,
    /// The time for the write of a checked change; after it, the write is requested again.
    pub write: Span,
    /// The time within which an operator has to apply a staged change; after it, the change is refused.
    pub staged: Span,
    /// The time for all proxies to apply the values of a change, or to restore the previous ones. After it, a change is
    /// undone, and the restoring is requested again.
    pub apply: Span,
    /// How long the service is compared with the baseline. Evidence may be late by the same time again.
    pub watch: Span,
}

impl Deadlines {
    /// Returns the maximum duration of a state; `None`: unlimited.
    fn limit(&self, state: ChangeState) -> Option<Span> {
        match state {
            ChangeState::Proposed => Some(self.checks),
            ChangeState::Checked => Some(self.write),
            ChangeState::Staged => Some(self.staged),
            ChangeState::Applying | ChangeState::Undoing => Some(self.apply),
            ChangeState::Watched => Some(self.watch * WATCH_DEADLINE_FACTOR),
            ChangeState::Kept | ChangeState::Undone | ChangeState::Refused => None,
        }
    }
}

impl Ledger {
    /// Ends watches whose evidence is complete, and handles deadlines that have passed. `evidence_until` is the time up
    /// to which the measurements are complete.
    pub fn advance(&mut self, now: Moment, evidence_until: Moment) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        for id in self.entered_state_at.keys().cloned().collect::<Vec<_>>() {
            let Some((event, reason)) = self.due_event(&id, now, evidence_until) else {
                continue;
            };
            // The id comes from the ledger itself, so the call cannot fail.
            let result = self.handle_event(now, &id, event, reason);
            actions.extend(result.into_iter().flatten());
        }
        actions
    }

    fn due_event(
        &self,
        id: &ChangeId,
        now: Moment,
        evidence_until: Moment,
    ) -> Option<(ChangeEvent, Option<String>)> {
        let state = self.records.get(id)?.state;
        let since = *self.entered_state_at.get(id)?;
        if state == ChangeState::Watched && evidence_until - since >= self.deadlines.watch {
            return Some((ChangeEvent::WatchCompleted, None));
        }
        let is_late = now - since >= self.deadlines.limit(state)?;
        let reason = format!("{state:?} lasted too long");
        is_late.then_some((ChangeEvent::DeadlineExceeded, Some(reason)))
    }

    /// Returns the earliest time at which `advance` may have an event to handle.
    pub fn wake_at(&self) -> Option<Moment> {
        let due_at = |(id, since): (&ChangeId, &Moment)| {
            let state = self.records.get(id)?.state;
            let span = match state {
                ChangeState::Watched => self.deadlines.watch,
                _ => self.deadlines.limit(state)?,
            };
            Some(*since + span)
        };
        self.entered_state_at.iter().filter_map(due_at).min()
    }
}
