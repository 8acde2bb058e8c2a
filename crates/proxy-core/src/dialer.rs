//! Which controller a proxy's stream goes to, and when it dials: the usual one first, again after a delay with
//! jitter (so that proxies that lost their streams together don't all come back at once), the next one when it
//! does not accept.

use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Dialing,
    Joined,
}

/// Failed attempts, a closed stream included, before the next controller is tried.
const MAX_FAILURES_PER_CONTROLLER: u32 = 2;
/// The shortest delay as a part of the configured one; the longest is one more than that.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// The state of a stream to one of several controllers.
#[derive(Clone, Debug)]
pub struct ControllerDialer {
    state: State,
    controllers: usize,
    current: usize,
    failures: u32,
    delay: Span,
    next_dial_at: Moment,
    random: Pcg,
}

impl ControllerDialer {
    /// Dials the first of `controllers` at once; `delay` is the mean delay between attempts.
    pub fn new(now: Moment, controllers: usize, delay: Span, seed: u64) -> ControllerDialer {
        ControllerDialer {
            state: State::Waiting,
            controllers: controllers.max(1),
            current: 0,
            failures: 0,
            delay,
            next_dial_at: now,
            random: Pcg::new(seed),
        }
    }

    /// The controller that is dialed or joined, by its place among the proxy's.
    pub fn controller(&self) -> usize {
        self.current
    }

    /// Whether a controller has accepted the stream.
    pub fn is_joined(&self) -> bool {
        self.state == State::Joined
    }

    /// When to dial next; `None` while it dials or is joined.
    pub fn next_dial_at(&self) -> Option<Moment> {
        (self.state == State::Waiting).then_some(self.next_dial_at)
    }

    /// The controller to dial now, if a dial is due.
    pub fn start_dial_if_due(&mut self, now: Moment) -> Option<usize> {
        if self.next_dial_at().is_none_or(|at| now < at) {
            return None;
        }
        self.state = State::Dialing;
        Some(self.current)
    }

    /// The controller accepted the stream; `true`: joined by this.
    pub fn on_accepted(&mut self) -> bool {
        if self.state != State::Dialing {
            return false;
        }
        self.state = State::Joined;
        self.failures = 0;
        true
    }

    /// The stream closed, or did not come about; `true`: it was joined until now.
    pub fn on_closed(&mut self, now: Moment) -> bool {
        if self.state == State::Waiting {
            return false;
        }
        let was_joined = self.is_joined();
        self.state = State::Waiting;
        self.failures += 1;
        if self.failures >= MAX_FAILURES_PER_CONTROLLER {
            self.current = (self.current + 1) % self.controllers;
            self.failures = 0;
        }
        self.next_dial_at = now + self.delay * (MIN_JITTER_FACTOR + self.random.unit());
        was_joined
    }
}

#[cfg(test)]
mod tests;
