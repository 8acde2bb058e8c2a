//! Points in time and durations as separate types. Both count whole microseconds in an `i64`; arithmetic saturates.

use std::ops::{Add, Mul, Sub};

/// A point in time, relative to an epoch that the host chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(i64);

/// A duration; it may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(i64);

const fn micros(seconds: f64) -> i64 {
    // The cast saturates and turns NaN into 0.
    (seconds * 1e6).round() as i64
}

impl Moment {
    /// The point in time `seconds` after the epoch.
    pub fn from_seconds(seconds: f64) -> Moment {
        Moment(micros(seconds))
    }

    /// Seconds since the epoch.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Microseconds since the epoch.
    pub fn micros(self) -> i64 {
        self.0
    }
}

impl Span {
    /// The duration of length 0.
    pub const ZERO: Span = Span(0);

    /// A duration in seconds.
    pub const fn from_seconds(seconds: f64) -> Span {
        Span(micros(seconds))
    }

    /// The duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// The duration in microseconds.
    pub fn micros(self) -> i64 {
        self.0
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

impl Sub<Moment> for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, more: Span) -> Span {
        Span(self.0.saturating_add(more.0))
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, less: Span) -> Span {
        Span(self.0.saturating_sub(less.0))
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as i64)
    }
}
