//! Averages over reported figures: they forget by the time that samples cover, not by their number.

use crate::time::{Moment, Span};

/// An exponentially decaying average; empty until the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingAverage(Option<f64>);

impl DecayingAverage {
    /// An average that stands at a value.
    pub fn with_value(value: f64) -> DecayingAverage {
        DecayingAverage(Some(value))
    }

    /// Takes in a sample that covers some time; `memory` is the time constant of the decay.
    pub fn add(&mut self, sample: f64, covered: Span, time_constant: Span) {
        let old_weight = (-covered.seconds().max(0.0) / time_constant.seconds().max(1e-6)).exp();
        self.0 = Some(
            self.0
                .map_or(sample, |old| old * old_weight + sample * (1.0 - old_weight)),
        );
    }

    /// The average, if there was a sample.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}

/// A rate made of reports that come only when there is something to report: time that no report covers
/// was silence, up to when other reports came.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedRate {
    rate: DecayingAverage,
    covered_until: Option<Moment>,
}

impl ReportedRate {
    /// A rate that is assumed before the first report.
    pub fn assumed(rate: f64) -> ReportedRate {
        ReportedRate {
            rate: DecayingAverage::with_value(rate),
            covered_until: None,
        }
    }

    /// Takes in a report of `count` within `window` up to now. `previous_report_at` is when any report
    /// came before those of this moment.
    pub fn add(
        &mut self,
        count: f64,
        window: Span,
        time_constant: Span,
        now: Moment,
        previous_report_at: Moment,
    ) {
        if let Some(until) = self.covered_until {
            let silence = (now - until - window).min(previous_report_at - until);
            self.rate.add(0.0, silence, time_constant);
        }
        self.rate
            .add(count / window.seconds(), window, time_constant);
        self.covered_until = Some(now);
    }

    /// The rate, per second.
    pub fn get(&self) -> Option<f64> {
        self.rate.get()
    }
}
