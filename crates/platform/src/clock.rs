//! The service's clock. It starts at the wall clock's seconds since 1970 and advances with the monotonic clock, so
//! later changes of the system time do not affect it. Discovery gives the start times of nodes from the same epoch.

use std::time::Duration;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor as reactor;

/// The wall clock time at the start, plus the monotonic time since then.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Moment,
    monotonic_start: Moment,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock {
            started_at: Moment::from_seconds(reactor::unix_seconds()),
            monotonic_start: reactor::now(),
        }
    }

    /// The time on this clock.
    pub fn now(&self) -> Moment {
        self.started_at + (reactor::now() - self.monotonic_start)
    }
}

/// Converts a duration to the type of this clock.
pub fn span(duration: Duration) -> Span {
    Span::from_seconds(duration.as_secs_f64())
}
