//! The monotonic and the wall clock.

use wheelspread::time::Moment;

/// The machine's monotonic clock: the same for all its processes, and unaffected when the time is set.
pub fn now() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Moment::from_seconds(time.tv_sec as f64 + time.tv_nsec as f64 / 1e9)
}

/// Seconds since 1970, for timestamps that people and other programs read.
pub fn unix_seconds() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
