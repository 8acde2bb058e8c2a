//! Chooses the controller that a proxy's stream connects to and the time of each connection attempt. The first
//! controller in the configuration is tried first. After repeated failures the next one is tried. Delays between
//! attempts have jitter, so that proxies that lost their streams at the same time don't reconnect at the same time.

use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Dialing,
    Joined,
}

/// Number of failures at one controller (failed connection attempts and closed streams) before the next controller
/// is tried.
const MAX_FAILURES_PER_CONTROLLER: u32 = 2;
/// Minimum delay as a ratio of the configured delay. The maximum is this ratio plus 1.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Connection state of one stream that may go to any of several controllers.
#[derive(Clone, Debug)]
pub struct ControllerDialer {
    state: State,
    controller_count: usize,
    controller_index: usize,
    failures: u32,
    delay: Span,
    next_dial_at: Moment,
    random: Pcg,
}

impl ControllerDialer {
    /// Creates a dialer whose first dial, to the controller with index 0, is due at `now`. `delay` is the mean delay
    /// between dials.
    pub fn new(now: Moment, controller_count: usize, delay: Span, seed: u64) -> ControllerDialer {
        ControllerDialer {
            state: State::Waiting,
            controller_count: controller_count.max(1),
            controller_index: 0,
            failures: 0,
            delay,
            next_dial_at: now,
            random: Pcg::new(seed),
        }
    }

    /// Index of the controller that is dialed or joined, in the order of the configuration.
    pub fn controller(&self) -> usize {
        self.controller_index
    }

    /// Whether the proxy is joined to a controller, that is, a controller has accepted the stream.
    pub fn is_joined(&self) -> bool {
        self.state == State::Joined
    }

    /// When to dial next; `None` while a dial is in progress or the stream is joined.
    pub fn next_dial_at(&self) -> Option<Moment> {
        (self.state == State::Waiting).then_some(self.next_dial_at)
    }

    /// Starts a dial if one is due at `now`. Returns the index of the controller to dial.
    pub fn start_dial_if_due(&mut self, now: Moment) -> Option<usize> {
        if self.next_dial_at().is_none_or(|at| now < at) {
            return None;
        }
        self.state = State::Dialing;
        Some(self.controller_index)
    }

    /// Records that the controller accepted the stream. Returns `true` if the stream was not joined before.
    pub fn on_accepted(&mut self) -> bool {
        if self.state != State::Dialing {
            return false;
        }
        self.state = State::Joined;
        self.failures = 0;
        true
    }

    /// Records that the stream closed or could not be opened. Returns `true` if it was joined until now.
    pub fn on_closed(&mut self, now: Moment) -> bool {
        if self.state == State::Waiting {
            return false;
        }
        let was_joined = self.is_joined();
        self.state = State::Waiting;
        self.failures += 1;
        if self.failures >= MAX_FAILURES_PER_CONTROLLER {
            self.controller_index = (self.controller_index + 1) % self.controller_count;
            self.failures = 0;
        }
        self.next_dial_at = now + self.delay * (MIN_JITTER_FACTOR + self.random.unit());
        was_joined
    }
}

#[cfg(test)]
mod tests;
