//! Passive health checking: a node is ejected after failures in a row of the proxy's own attempts there, and
//! comes back by probation, one attempt at a time until one succeeds.

use wheelspread::time::{Moment, Span};

/// When a node is ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct EjectionPolicy {
    /// Failures in a row that eject a node; 0: no node is ever ejected.
    pub consecutive_failures: u32,
    /// How long the first ejection lasts. Each probation that fails doubles it, up to four times.
    pub ejection_time: Span,
}

/// Whether a node gets attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It does.
    Available,
    /// It gets none for now.
    Ejected,
    /// The ejection is over; the next attempt decides.
    Probation,
}

/// How many times the first ejection one lasts at most, when one probation after the other fails.
const MAX_EJECTION_TIME_FACTOR: i32 = 4;

/// What a proxy knows of a node's health by its own attempts.
#[derive(Clone, Debug)]
pub struct PassiveHealth {
    state: EjectionState,
    failures_in_a_row: u32,
    ejected_until: Moment,
    ejection_time_factor: i32,
    is_probation_attempt_in_flight: bool,
}

impl Default for PassiveHealth {
    fn default() -> Self {
        PassiveHealth {
            state: EjectionState::Available,
            failures_in_a_row: 0,
            ejected_until: Moment::from_seconds(0.0),
            ejection_time_factor: 0,
            is_probation_attempt_in_flight: false,
        }
    }
}

impl PassiveHealth {
    /// Whether the node gets attempts.
    pub fn state(&self) -> EjectionState {
        self.state
    }

    /// Whether an attempt may go there now, if a table names the node.
    pub fn is_available(&self) -> bool {
        match self.state {
            EjectionState::Available => true,
            EjectionState::Ejected => false,
            EjectionState::Probation => !self.is_probation_attempt_in_flight,
        }
    }

    /// When the ejection ends; `None` if the node is not ejected.
    pub fn ejected_until(&self) -> Option<Moment> {
        (self.state == EjectionState::Ejected).then_some(self.ejected_until)
    }

    /// An attempt goes there.
    pub fn on_attempt_started(&mut self) {
        self.is_probation_attempt_in_flight |= self.state == EjectionState::Probation;
    }

    /// An attempt ended without evidence about the node, as when the client disconnected.
    pub fn on_attempt_cancelled(&mut self) {
        self.is_probation_attempt_in_flight = false;
    }

    /// An attempt succeeded.
    pub fn on_success(&mut self) {
        self.is_probation_attempt_in_flight = false;
        match self.state {
            EjectionState::Available => self.failures_in_a_row = 0,
            // A late response of an attempt from before the ejection: the node works again.
            EjectionState::Ejected => self.state = EjectionState::Probation,
            EjectionState::Probation => {
                self.state = EjectionState::Available;
                self.failures_in_a_row = 0;
                self.ejection_time_factor = 0;
            }
        }
    }

    /// An attempt failed.
    pub fn on_failure(&mut self, now: Moment, policy: EjectionPolicy) {
        self.is_probation_attempt_in_flight = false;
        match self.state {
            EjectionState::Available => {
                self.failures_in_a_row += 1;
                let limit = policy.consecutive_failures;
                if limit > 0 && self.failures_in_a_row >= limit {
                    self.failures_in_a_row = 0;
                    self.eject(now, policy, 1);
                }
            }
            // A late failure of an attempt from before the ejection changes nothing.
            EjectionState::Ejected => {}
            EjectionState::Probation => {
                let factor = (self.ejection_time_factor * 2).min(MAX_EJECTION_TIME_FACTOR);
                self.eject(now, policy, factor);
            }
        }
    }

    fn eject(&mut self, now: Moment, policy: EjectionPolicy, factor: i32) {
        self.state = EjectionState::Ejected;
        self.ejection_time_factor = factor;
        self.ejected_until = now + policy.ejection_time * f64::from(factor);
    }

    /// Begins probation if the ejection is over; `true` if that is now.
    pub fn end_ejection_if_due(&mut self, now: Moment) -> bool {
        let is_due = self.state == EjectionState::Ejected && now >= self.ejected_until;
        if is_due {
            self.state = EjectionState::Probation;
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
