//! Samples shared by the measurements: latencies, CPU time, resident memory, and the time of each client's first tables.

use super::error::{not_ready, MeasureError};
use hdrhistogram::Histogram;
use std::collections::BTreeSet;
use wheelspread::time::{Moment, Span};
use wheelspread_drill::cpu_of;
use wheelspread_reactor as reactor;

/// A histogram of durations, recorded in microseconds and reported in milliseconds.
pub struct Latencies(Histogram<u64>);

impl Latencies {
    /// An empty histogram with three significant digits.
    pub fn new() -> Result<Latencies, MeasureError> {
        Histogram::new(3).map(Latencies).map_err(not_ready)
    }

    /// Records a duration; one below a microsecond is recorded as one microsecond.
    pub fn record(&mut self, span: Span) {
        // The histogram resizes itself, so no value is out of range.
        let _ = self.0.record(span.micros().max(1) as u64);
    }

    /// The number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The duration at a quantile between 0 and 1, in milliseconds.
    pub fn milliseconds_at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Measures the CPU time that a process uses after the start of the measurement.
pub struct CpuMeter {
    pid: u32,
    cpu_before: f64,
    since: Moment,
}

impl CpuMeter {
    /// Starts the measurement of a process.
    pub fn start(pid: u32) -> CpuMeter {
        CpuMeter {
            pid,
            cpu_before: cpu_of(pid),
            since: reactor::now(),
        }
    }

    /// Seconds of wall-clock time since the start.
    pub fn elapsed_seconds(&self) -> f64 {
        (reactor::now() - self.since).seconds()
    }

    /// CPU seconds used since the start, divided by `seconds`.
    pub fn per_second(&self, seconds: f64) -> f64 {
        (cpu_of(self.pid) - self.cpu_before) / seconds
    }
}

/// Records which clients have received their first tables, and the time of the last first receipt.
pub struct FirstTables {
    begin: Moment,
    last: Moment,
    clients: BTreeSet<usize>,
}

impl FirstTables {
    /// Starts at `begin`, with no client that has tables.
    pub fn since(begin: Moment) -> FirstTables {
        FirstTables {
            begin,
            last: begin,
            clients: BTreeSet::new(),
        }
    }

    /// Records that a client has tables; returns the number of clients that have them.
    pub fn record(&mut self, client: usize, at: Moment) -> usize {
        if self.clients.insert(client) {
            self.last = at;
        }
        self.clients.len()
    }

    /// The time from the start until the last of `expected` clients had tables, in milliseconds; an error if a client has none.
    pub fn all_joined_ms(&self, expected: usize, clients: &str) -> Result<f64, MeasureError> {
        let joined = self.clients.len();
        if joined < expected {
            return Err(MeasureError::NotReady(format!(
                "{joined} of {expected} {clients} received tables"
            )));
        }
        Ok((self.last - self.begin).seconds() * 1e3)
    }
}

/// The median of `figures`, which are sorted in place; the upper median if their count is even.
pub fn median(figures: &mut [f64]) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures.get(figures.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Resident memory of a process in KiB; 0 if it can't be read.
pub fn resident_kib(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or("");
    line.split_whitespace()
        .nth(1)
        .and_then(|kib| kib.parse().ok())
        .unwrap_or(0.0)
}
