//! How long a change may stay in each state.

use super::{Ledger, LedgerAction};
use crate::change::ChangeId;
use crate::state::{ChangeEvent, ChangeState};
use wheelspread::time::{Moment, Span};

/// A watched change waits for evidence for this many times the length of its watch.
const WATCH_DEADLINE_FACTOR: f64 = 2.0;

/// How long each state may last.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// For the checks of a proposal.
    pub checks: Span,
    /// For the write of a checked change; then it is written again.
    pub write: Span,
    /// For an operator to apply a staged change.
    pub staged: Span,
    /// For every proxy to take a change, or its undoing.
    pub apply: Span,
    /// How long the service is compared with the baseline. Evidence may be late by the same time again.
    pub watch: Span,
}

impl Deadlines {
    /// How long a state may last; `None`: without limit.
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
    /// Ends watches whose evidence is complete, and states whose deadline has passed. `evidence_until`: until when the
    /// measurements are complete.
    pub fn advance(&mut self, now: Moment, evidence_until: Moment) -> Vec<LedgerAction> {
        let mut actions = Vec::new();
        for id in self.entered_state_at.keys().cloned().collect::<Vec<_>>() {
            let Some((event, reason)) = self.due_event(&id, now, evidence_until) else {
                continue;
            };
            // The id is one of the ledger's own, so the call can't fail.
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

    /// When `advance` may have something to do next.
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
