//! When load reports come and how much time they cover.

use crate::rates::DecayingAverage;
use crate::time::{Moment, Span};

/// How long reported figures count, in report cycles.
pub(crate) struct ReportRetention {
    /// Time constant of averages.
    pub time_constant_cycles: f64,
    /// How long the rate of a path stands that no report speaks of.
    pub rate_validity_cycles: f64,
}

pub(crate) const REPORT_RETENTION: ReportRetention = ReportRetention {
    time_constant_cycles: 4.0,
    rate_validity_cycles: 3.0,
};

const WINDOW_SAMPLE_SECONDS: f64 = 1.0;
const WINDOW_TIME_CONSTANT_SECONDS: f64 = 300.0;

/// When reports came.
#[derive(Clone, Debug)]
pub(crate) struct ReportTiming {
    period: Span,
    last_at: Moment,
    /// When reports came before those of `last_at`.
    previous_at: Moment,
    /// The usual time that a report covers.
    window: DecayingAverage,
    /// When the first load report of a node came since the start.
    first_load_report_at: Option<Moment>,
}

impl ReportTiming {
    /// Nothing has come yet.
    pub fn new(now: Moment, period: Span) -> ReportTiming {
        ReportTiming {
            period,
            last_at: now,
            previous_at: now,
            window: DecayingAverage::default(),
            first_load_report_at: None,
        }
    }

    /// Another report period holds from now on.
    pub fn set_period(&mut self, period: Span) {
        self.period = period;
    }

    /// A report over such a window came now.
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

    /// A node's load report came now.
    pub fn on_load_report(&mut self, now: Moment) {
        self.first_load_report_at.get_or_insert(now);
    }

    /// Time between two reports.
    pub fn period(&self) -> Span {
        self.period
    }

    /// How long a whole set of reports takes to come: a period, or more where the channel limits entries.
    pub fn cycle(&self) -> Span {
        self.period
            .max(Span::from_seconds(self.window.get().unwrap_or(0.0)))
    }

    /// The same, several times, in buckets of a period each.
    pub fn bucket_count(&self, cycles: f64) -> usize {
        (self.cycle().seconds() / self.period.seconds() * cycles).round() as usize
    }

    /// The time constant of averages.
    pub fn time_constant(&self) -> Span {
        self.cycle() * REPORT_RETENTION.time_constant_cycles
    }

    /// When any report came before those of this moment.
    pub fn previous_at(&self) -> Moment {
        self.previous_at
    }

    /// Rates of paths without a report since then no longer stand.
    pub fn rates_valid_since(&self) -> Moment {
        self.last_at - self.cycle() * REPORT_RETENTION.rate_validity_cycles
    }

    /// Whether no load report, or only reports younger than `since`, came since the start.
    pub fn lacks_load_reports_before(&self, since: Moment) -> bool {
        self.first_load_report_at.is_none_or(|first| first > since)
    }
}
