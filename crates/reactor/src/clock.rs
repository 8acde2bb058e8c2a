//! The monotonic clock and the wall clock.

use wheelspread::time::Moment;

/// The monotonic clock of the machine: the same for all processes, and unaffected by changes of the system time.
pub fn now() -> Moment {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    Moment::from_seconds(time.tv_sec as f64 + time.tv_nsec as f64 / 1e9)
}

/// Wall-clock time in seconds since the Unix epoch, for timestamps that are read by people and other programs.
pub fn unix_seconds() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Realtime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}
