//! The load of one node, measured by its load reports.

use crate::config::Config;
use crate::event::Event;
use crate::ids::{NodeId, ZoneId};
use crate::rates::DecayingAverage;
use crate::time::Span;
use std::ops::AddAssign;

/// A load report of one node: observations of one zone's proxies and the node's own metrics.
#[derive(Clone, Copy)]
pub(crate) struct LoadReport<'a> {
    pub zone: ZoneId,
    pub node: NodeId,
    pub attempts: f64,
    pub failures: f64,
    pub mean_latency: Span,
    pub window: Span,
    /// The node's own metrics, in the order of the settings; a value below 0 means unknown.
    pub metrics: &'a [f64],
}

impl<'a> LoadReport<'a> {
    /// The load report in an event; `None` for other events.
    pub fn from_event(event: &'a Event) -> Option<LoadReport<'a>> {
        let Event::NodeLoadReport {
            zone,
            node,
            attempts,
            failures,
            mean_latency,
            window,
            metrics,
        } = event
        else {
            return None;
        };
        Some(LoadReport {
            zone: *zone,
            node: *node,
            attempts: *attempts,
            failures: *failures,
            mean_latency: *mean_latency,
            window: *window,
            metrics,
        })
    }

    /// The report with its counts multiplied by `ratio`.
    pub fn scaled(self, ratio: f64) -> Self {
        LoadReport {
            attempts: self.attempts * ratio,
            failures: self.failures * ratio,
            ..self
        }
    }

    /// Attempts that succeeded.
    pub fn successes(&self) -> f64 {
        self.attempts - self.failures
    }

    fn latency_seconds(&self) -> f64 {
        self.mean_latency.seconds().clamp(0.0, MAX_LATENCY_SECONDS)
    }

    fn metric(&self, index: Option<usize>) -> Option<f64> {
        let value = self.metrics.get(index?).copied()?;
        (value >= 0.0).then_some(value)
    }
}

/// Counts of attempts and failures, and the summed latency of the successful attempts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptStats {
    pub attempts: f64,
    pub failures: f64,
    /// Summed latency of the successful attempts, in seconds.
    pub success_seconds: f64,
}

impl AddAssign for AttemptStats {
    fn add_assign(&mut self, more: AttemptStats) {
        self.attempts += more.attempts;
        self.failures += more.failures;
        self.success_seconds += more.success_seconds;
    }
}

/// Reported latencies above this are lowered to it.
const MAX_LATENCY_SECONDS: f64 = 60.0;
/// Reported queue lengths above this are lowered to it.
const MAX_QUEUE_LENGTH: f64 = 1e3;
/// Number of successes in a report at which the report counts in the mean latency as covering half of its window.
const LATENCY_HALF_WEIGHT_REQUESTS: f64 = 2.0;
/// Time constant of the mean latency, as a ratio of the common time constant.
const LATENCY_TIME_CONSTANT_RATIO: f64 = 0.3;
/// Time constant of the node's own metrics, as a ratio of the common time constant.
const METRIC_TIME_CONSTANT_RATIO: f64 = 0.5;

/// Measurements and the capacity estimate of one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeLoad {
    utilization: DecayingAverage,
    /// Requests waiting at the node, as the node reports.
    queue_length: DecayingAverage,
    /// Mean latency of successful requests, in seconds.
    latency: DecayingAverage,
    /// Natural logarithm of the requests per second that the node can serve.
    capacity: DecayingAverage,
    /// Report periods on which the capacity estimate is based; decays.
    evidence: f64,
    /// The highest rate of successes per second that was served within the latency objective; see
    /// [`NodeLoad::record_rate_within_objective`].
    peak_within_objective: f64,
    /// The highest recent rate of successes per second; decays.
    recent_peak: f64,
    /// Sum of the reports that the capacity estimate has not used yet.
    pending: AttemptStats,
    /// The longest window of those reports.
    max_pending_window: Span,
}

impl NodeLoad {
    /// Adds a load report. `time_constant` is the common time constant of averages.
    pub fn on_report(&mut self, report: &LoadReport, config: &Config, time_constant: Span) {
        let (successes, seconds) = (report.successes(), report.latency_seconds());
        if successes > 0.0 && seconds > 0.0 {
            let covered = report.window * (successes / (successes + LATENCY_HALF_WEIGHT_REQUESTS));
            self.latency.add(
                seconds,
                covered,
                time_constant * LATENCY_TIME_CONSTANT_RATIO,
            );
        }
        let metric_time_constant = time_constant * METRIC_TIME_CONSTANT_RATIO;
        if let Some(utilization) = report.metric(config.utilization_metric) {
            self.utilization
                .add(utilization.min(1.0), report.window, metric_time_constant);
        }
        if let Some(length) = report.metric(config.queue_metric) {
            self.queue_length.add(
                length.min(MAX_QUEUE_LENGTH),
                report.window,
                metric_time_constant,
            );
        }
        self.max_pending_window = self.max_pending_window.max(report.window);
        self.pending += AttemptStats {
            attempts: report.attempts,
            failures: report.failures,
            success_seconds: successes * seconds,
        };
    }

    /// Discards all measurements but the pending reports: measurements of the old process do not apply to a restarted
    /// one.
    pub fn reset(&mut self) {
        *self = NodeLoad {
            pending: self.pending,
            max_pending_window: self.max_pending_window,
            ..NodeLoad::default()
        };
    }

    /// Sets the capacity estimate and its evidence to values from before a restart of the balancer.
    pub fn restore(&mut self, log_capacity: f64, evidence: f64) {
        self.capacity = DecayingAverage::with_value(log_capacity);
        self.evidence = evidence;
    }

    /// Mean reported utilization; 1 is full.
    pub fn utilization(&self) -> Option<f64> {
        self.utilization.get()
    }

    /// Mean reported number of waiting requests.
    pub fn queue_length(&self) -> Option<f64> {
        self.queue_length.get()
    }

    /// Mean latency of successful requests, in seconds.
    pub fn latency(&self) -> Option<f64> {
        self.latency.get()
    }

    /// Natural logarithm of the estimated capacity in requests per second.
    pub fn log_capacity(&self) -> Option<f64> {
        self.capacity.get()
    }

    /// Report periods on which the capacity estimate is based.
    pub fn evidence(&self) -> f64 {
        self.evidence
    }

    /// The highest recent rate of successes per second.
    pub fn recent_peak(&self) -> f64 {
        self.recent_peak
    }

    /// The highest rate of successes per second that was served within the latency objective; 0 if there is none.
    pub fn peak_within_objective(&self) -> f64 {
        self.peak_within_objective
    }

    /// Sum of the reports that the capacity estimate has not used yet.
    pub fn pending(&self) -> AttemptStats {
        self.pending
    }

    /// Takes the pending reports; returns their sum and their longest window.
    pub fn take_pending(&mut self) -> (AttemptStats, Span) {
        (
            std::mem::take(&mut self.pending),
            std::mem::take(&mut self.max_pending_window),
        )
    }

    /// Multiplies the evidence by `evidence_factor` and the recent peak by its square root. The peak stays at least
    /// `rate`, the current rate.
    pub fn decay(&mut self, evidence_factor: f64, rate: f64) {
        self.evidence *= evidence_factor;
        self.recent_peak = (self.recent_peak * evidence_factor.sqrt()).max(rate);
    }

    /// Adds report periods to the evidence.
    pub fn add_evidence(&mut self, periods: f64) {
        self.evidence += periods;
    }

    /// Adds a measured capacity to the average. `covered` is the length of time that the measurement covers.
    pub fn add_capacity_sample(&mut self, log_capacity: f64, covered: Span, time_constant: Span) {
        self.capacity.add(log_capacity, covered, time_constant);
    }

    /// Replaces the capacity estimate.
    pub fn set_capacity(&mut self, log_capacity: f64) {
        self.capacity = DecayingAverage::with_value(log_capacity);
    }

    /// Records a rate that was served within the latency objective: while the mean latency was below a fixed ratio of
    /// the objective.
    pub fn record_rate_within_objective(&mut self, rate: f64) {
        self.peak_within_objective = self.peak_within_objective.max(rate);
    }
}
