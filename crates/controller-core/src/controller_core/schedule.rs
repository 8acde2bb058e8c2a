//! The schedule of decision rounds: report periods, timers, and rounds requested by observations.

use std::collections::BTreeSet;
use wheelspread::ids::TimerId;
use wheelspread::time::{Moment, Span};

/// Delay of the second round after a requested one, in report periods. Observations often arrive in quick
/// succession; the second round decides on all of them together.
const SECOND_ROUND_DELAY_PERIODS: f64 = 0.06;
/// Delay of the first report period after the loop stalled, in report periods.
const STALLED_PERIOD_DELAY_PERIODS: f64 = 0.5;

/// The times of the balancer's decision rounds.
pub(super) struct RoundSchedule {
    /// Whether the first endpoint list was read, or failed to be read; no round runs before.
    started: bool,
    /// Whether an observation requested a round since the last one.
    requested: bool,
    next_period: Moment,
    /// Earliest time of the next round, which keeps the minimum interval between rounds.
    earliest_round: Moment,
    second_round: Option<Moment>,
    timers: BTreeSet<(Moment, TimerId)>,
}

impl RoundSchedule {
    pub(super) fn new(now: Moment, period: Span) -> RoundSchedule {
        RoundSchedule {
            started: false,
            requested: true,
            next_period: now + period,
            earliest_round: now,
            second_round: None,
            timers: BTreeSet::new(),
        }
    }

    /// Allows rounds to run from now on; returns `true` on the first call.
    pub(super) fn start(&mut self) -> bool {
        !std::mem::replace(&mut self.started, true)
    }

    /// Requests a round because of an observation.
    pub(super) fn request_round(&mut self) {
        self.requested = true;
    }

    pub(super) fn set_timer(&mut self, at: Moment, timer: TimerId) {
        self.timers.insert((at, timer));
    }

    /// Whether a round is due. `acknowledgement_at` is when the next acknowledgement may be assumed.
    pub(super) fn is_round_due(&self, now: Moment, acknowledgement_at: Option<Moment>) -> bool {
        let is_due = |at: Option<Moment>| at.is_some_and(|at| at <= now);
        let has_cause = self.requested
            || now >= self.next_period
            || is_due(self.second_round)
            || is_due(self.next_timer())
            || is_due(acknowledgement_at);
        self.started && now >= self.earliest_round && has_cause
    }

    /// Records the start of a round. The next one starts after `min_interval` at the earliest.
    pub(super) fn start_round(&mut self, now: Moment, period: Span, min_interval: Span) {
        let second_round = self
            .requested
            .then_some(now + period * SECOND_ROUND_DELAY_PERIODS);
        self.second_round = second_round.or(self.second_round.filter(|at| *at > now));
        self.requested = false;
        self.earliest_round = now + min_interval;
    }

    /// Whether a report period ended; if so, the next one starts. Periods that a stalled loop missed are skipped.
    pub(super) fn start_period_if_due(&mut self, now: Moment, period: Span) -> bool {
        let is_due = now >= self.next_period;
        if is_due {
            self.next_period =
                (self.next_period + period).max(now + period * STALLED_PERIOD_DELAY_PERIODS);
        }
        is_due
    }

    /// Removes and returns a timer that has expired.
    pub(super) fn take_expired_timer(&mut self, now: Moment) -> Option<TimerId> {
        let (at, timer) = *self.timers.first()?;
        (at <= now).then(|| {
            self.timers.pop_first();
            timer
        })
    }

    fn next_timer(&self) -> Option<Moment> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// The time at which the next round may be due. `other_causes` are the times of causes outside the schedule.
    pub(super) fn wake_at(
        &self,
        now: Moment,
        period: Span,
        other_causes: impl IntoIterator<Item = Option<Moment>>,
    ) -> Moment {
        let mut at = if self.started {
            self.next_period
        } else {
            now + period
        };
        if self.requested && self.started {
            at = at.min(self.earliest_round);
        }
        let own_causes = [self.next_timer(), self.second_round];
        for cause in own_causes.into_iter().chain(other_causes).flatten() {
            at = at.min(cause.max(self.earliest_round));
        }
        at
    }
}

#[cfg(test)]
mod tests;
