//! The timing of reports: when they arrive and how much time they cover.

use crate::rates::DecayingAverage;
use crate::time::{Moment, Span};

/// How long reported values influence estimates, in report cycles.
pub(crate) struct ReportValidity {
    /// The common time constant of averages.
    pub time_constant_cycles: f64,
    /// How long the rate of a path is valid after its last load report.
    pub rate_validity_cycles: f64,
}

pub(crate) const REPORT_VALIDITY: ReportValidity = ReportValidity {
    time_constant_cycles: 4.0,
    rate_validity_cycles: 3.0,
};

/// Length of time that each report counts as in the average of report windows, in seconds.
const WINDOW_SAMPLE_SECONDS: f64 = 1.0;
/// Time constant of the average of report windows, in seconds.
const WINDOW_TIME_CONSTANT_SECONDS: f64 = 300.0;

/// Arrival times of reports, and the time that a report covers.
#[derive(Clone, Debug)]
pub(crate) struct ReportTiming {
    period: Span,
    /// Time of the latest report.
    last_at: Moment,
    /// Time of the latest report before `last_at`.
    previous_at: Moment,
    /// The mean time that a report covers, in seconds.
    window: DecayingAverage,
    /// Time of a node's first load report since the start of the balancer.
    first_load_report_at: Option<Moment>,
}

impl ReportTiming {
    /// The state before the first report.
    pub fn new(now: Moment, period: Span) -> ReportTiming {
        ReportTiming {
            period,
            last_at: now,
            previous_at: now,
            window: DecayingAverage::default(),
            first_load_report_at: None,
        }
    }

    /// Changes the report period.
    pub fn set_period(&mut self, period: Span) {
        self.period = period;
    }

    /// Records a report that arrived at `now` and covers `window`.
    pub fn on_report(&mut self, now: Moment, window: Span) {
        if now > self.last_at {
            (self.previous_at, self.last_at) = (self.last_at, now);
        }
        self.window.add(
            window.seconds(),
            Span::from_seconds(WINDOW_SAMPLE_SECONDS),
            Span::from_seconds(WINDOW_TIME_CONSTANT_SECONDS),
        );
    }

    /// Records a node's load report that arrived at `now`.
    pub fn on_load_report(&mut self, now: Moment) {
        self.first_load_report_at.get_or_insert(now);
    }

    /// The report period: time between two reports.
    pub fn period(&self) -> Span {
        self.period
    }

    /// The report cycle: the time in which a whole set of reports arrives. It is the report period, or longer where
    /// the channel limits the entries of a report.
    pub fn cycle(&self) -> Span {
        self.period
            .max(Span::from_seconds(self.window.get().unwrap_or(0.0)))
    }

    /// The length of `cycles` report cycles, in buckets of a report period each.
    pub fn bucket_count(&self, cycles: f64) -> usize {
        (self.cycle().seconds() / self.period.seconds() * cycles).round() as usize
    }

    /// The common time constant of averages.
    pub fn time_constant(&self) -> Span {
        self.cycle() * REPORT_VALIDITY.time_constant_cycles
    }

    /// Time of the latest report that arrived before the most recent reports, which may share one time.
    pub fn previous_at(&self) -> Moment {
        self.previous_at
    }

    /// The earliest time of a path's last load report at which the rate of the path is still valid.
    pub fn rates_valid_since(&self) -> Moment {
        self.last_at - self.cycle() * REPORT_VALIDITY.rate_validity_cycles
    }

    /// Whether no node's load report arrived between the start of the balancer and `since`.
    pub fn lacks_load_reports_before(&self, since: Moment) -> bool {
        self.first_load_report_at.is_none_or(|first| first > since)
    }
}
