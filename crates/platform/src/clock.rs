//! The service's clock: seconds since 1970 at the start, and evenly from there whatever is done to the
//! machine's time afterwards. Discovery dates the starts of nodes by the same epoch.

use std::time::Duration;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor as reactor;

/// Counts from the wall clock at its start by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Moment,
    monotonic_start: Moment,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started_at: Moment::from_seconds(reactor::wall()),
            monotonic_start: reactor::now(),
        }
    }

    /// The time on this clock.
    pub fn now(&self) -> Moment {
        self.started_at + (reactor::now() - self.monotonic_start)
    }
}

/// A duration on this clock.
pub fn span(duration: Duration) -> Span {
    Span::from_seconds(duration.as_secs_f64())
}
