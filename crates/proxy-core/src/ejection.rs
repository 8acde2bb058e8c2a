//! Passive health checking. A node is ejected after consecutive failures of the proxy's own attempts. When the
//! ejection ends the node is on probation: it gets one attempt at a time, until one succeeds or fails.

use wheelspread::time::{Moment, Span};

/// When a node is ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct EjectionPolicy {
    /// Number of consecutive failures that eject a node; 0 disables ejection.
    pub consecutive_failures: u32,
    /// Duration of the first ejection. Each failed probation doubles it, up to 4 times this duration.
    pub ejection_time: Span,
}

/// Whether a node gets attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// The node gets attempts.
    Available,
    /// The node gets no attempts.
    Ejected,
    /// The ejection has ended. The next attempt readmits the node or ejects it again.
    Probation,
}

/// Maximum duration of an ejection after repeated failed probations, as a multiple of the first ejection.
const MAX_EJECTION_TIME_FACTOR: i32 = 4;

/// Health of a node as observed from the proxy's own attempts.
#[derive(Clone, Debug)]
pub struct PassiveHealth {
    state: EjectionState,
    consecutive_failures: u32,
    ejected_until: Moment,
    ejection_time_factor: i32,
    is_probation_attempt_in_flight: bool,
}

impl Default for PassiveHealth {
    fn default() -> Self {
        PassiveHealth {
            state: EjectionState::Available,
            consecutive_failures: 0,
            ejected_until: Moment::from_seconds(0.0),
            ejection_time_factor: 0,
            is_probation_attempt_in_flight: false,
        }
    }
}

impl PassiveHealth {
    /// The ejection state of the node.
    pub fn state(&self) -> EjectionState {
        self.state
    }

    /// Whether the node may get an attempt now, provided that a table lists it.
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

    /// Records that an attempt is sent to the node.
    pub fn on_attempt_started(&mut self) {
        self.is_probation_attempt_in_flight |= self.state == EjectionState::Probation;
    }

    /// Records that an attempt ended without evidence about the node, for example because the client disconnected.
    pub fn on_attempt_cancelled(&mut self) {
        self.is_probation_attempt_in_flight = false;
    }

    /// Records a successful attempt.
    pub fn on_success(&mut self) {
        self.is_probation_attempt_in_flight = false;
        match self.state {
            EjectionState::Available => self.consecutive_failures = 0,
            // A late response to an attempt sent before the ejection shows that the node works again.
            EjectionState::Ejected => self.state = EjectionState::Probation,
            EjectionState::Probation => {
                self.state = EjectionState::Available;
                self.consecutive_failures = 0;
                self.ejection_time_factor = 0;
            }
        }
    }

    /// Records a failed attempt.
    pub fn on_failure(&mut self, now: Moment, policy: EjectionPolicy) {
        self.is_probation_attempt_in_flight = false;
        match self.state {
            EjectionState::Available => {
                self.consecutive_failures += 1;
                let limit = policy.consecutive_failures;
                if limit > 0 && self.consecutive_failures >= limit {
                    self.consecutive_failures = 0;
                    self.eject(now, policy, 1);
                }
            }
            // A late failure of an attempt sent before the ejection does not prolong the ejection.
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

    /// Starts probation if the ejection ends by `now`. Returns `true` if it did.
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
