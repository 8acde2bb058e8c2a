//! Averages of reported values. Old samples decay by the length of time that later samples cover, not by their count.

use crate::time::{Moment, Span};

/// An exponentially decaying average; empty until the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingAverage(Option<f64>);

impl DecayingAverage {
    /// An average with an initial value.
    pub fn with_value(value: f64) -> DecayingAverage {
        DecayingAverage(Some(value))
    }

    /// Adds a sample that covers the length of time `covered`. `time_constant` is the time constant of the decay.
    pub fn add(&mut self, sample: f64, covered: Span, time_constant: Span) {
        let old_weight = (-covered.seconds().max(0.0) / time_constant.seconds().max(1e-6)).exp();
        self.0 = Some(
            self.0
                .map_or(sample, |old| old * old_weight + sample * (1.0 - old_weight)),
        );
    }

    /// The average; `None` before the first sample.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}

/// An average rate from reports that are sent only when there is something to report. Time without a report counts
/// as rate 0, but only up to the time of the latest earlier report of any kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedRate {
    rate: DecayingAverage,
    /// Time of the latest report for this rate.
    covered_until: Option<Moment>,
}

impl ReportedRate {
    /// A rate with an assumed value before the first report.
    pub fn assumed(rate: f64) -> ReportedRate {
        ReportedRate {
            rate: DecayingAverage::with_value(rate),
            covered_until: None,
        }
    }

    /// Adds a report of `count` events within the `window` that ends at `now`. `previous_report_at` is the time of the
    /// latest report of any kind before `now`.
    pub fn add(
        &mut self,
        count: f64,
        window: Span,
        time_constant: Span,
        now: Moment,
        previous_report_at: Moment,
    ) {
        if let Some(until) = self.covered_until {
            let unreported = (now - until - window).min(previous_report_at - until);
            self.rate.add(0.0, unreported, time_constant);
        }
        self.rate
            .add(count / window.seconds(), window, time_constant);
        self.covered_until = Some(now);
    }

    /// Leaves out the time up to `now`, which a report covered that is not believed: it does not count as rate 0.
    pub fn skip_until(&mut self, now: Moment) {
        self.covered_until = self.covered_until.map(|_| now);
    }

    /// Time of the latest report for this rate.
    pub fn covered_until(&self) -> Option<Moment> {
        self.covered_until
    }

    /// The mean rate per second; `None` before the first report.
    pub fn get(&self) -> Option<f64> {
        self.rate.get()
    }
}
