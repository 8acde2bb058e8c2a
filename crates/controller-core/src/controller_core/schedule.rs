//! When the balancer decides next: report periods, timers, and rounds that an observation asks for.

use std::collections::BTreeSet;
use wheelspread::ids::TimerId;
use wheelspread::time::{Moment, Span};

/// Delay of the second round after observations, as a fraction of the report period. The balancer takes
/// observations that come close upon each other together: it decides once more when they are all in.
const SECOND_ROUND_DELAY_PERIODS: f64 = 0.06;
/// After a stall the next period starts this late, as a fraction of the report period.
const STALLED_PERIOD_DELAY_PERIODS: f64 = 0.5;

/// The times at which the balancer decides.
pub(super) struct RoundSchedule {
    /// The first endpoint list came, or could not be read: there is something to decide on.
    started: bool,
    /// Something was observed since the last round.
    requested: bool,
    next_period: Moment,
    /// Rounds don't follow upon each other sooner.
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

    /// Rounds are run from now on; `true` the first time.
    pub(super) fn start(&mut self) -> bool {
        !std::mem::replace(&mut self.started, true)
    }

    /// Something was observed that the balancer should decide on.
    pub(super) fn request_round(&mut self) {
        self.requested = true;
    }

    pub(super) fn set_timer(&mut self, at: Moment, timer: TimerId) {
        self.timers.insert((at, timer));
    }

    /// Whether a round is due, given when an acknowledgement may be assumed.
    pub(super) fn is_round_due(&self, now: Moment, acknowledgement_at: Option<Moment>) -> bool {
        let is_due = |at: Option<Moment>| at.is_some_and(|at| at <= now);
        let has_cause = self.requested
            || now >= self.next_period
            || is_due(self.second_round)
            || is_due(self.next_timer())
            || is_due(acknowledgement_at);
        self.started && now >= self.earliest_round && has_cause
    }

    /// A round starts. `least_interval`: until the next.
    pub(super) fn start_round(&mut self, now: Moment, period: Span, min_interval: Span) {
        let second_round = self
            .requested
            .then_some(now + period * SECOND_ROUND_DELAY_PERIODS);
        self.second_round = second_round.or(self.second_round.filter(|at| *at > now));
        self.requested = false;
        self.earliest_round = now + min_interval;
    }

    /// Whether a report period ended; then the next one starts. A loop that stalled for several periods makes up
    /// for none of them.
    pub(super) fn start_period_if_due(&mut self, now: Moment, period: Span) -> bool {
        let is_due = now >= self.next_period;
        if is_due {
            self.next_period =
                (self.next_period + period).max(now + period * STALLED_PERIOD_DELAY_PERIODS);
        }
        is_due
    }

    /// Removes a timer that has expired.
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

    /// When the next round may be due; `others`: what else may be a cause.
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
