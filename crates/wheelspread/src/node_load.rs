//! What load reports say of one node.

use crate::config::Config;
use crate::event::Event;
use crate::ids::{NodeId, ZoneId};
use crate::rates::DecayingAverage;
use crate::time::Span;
use std::ops::AddAssign;

/// A node's load report, as the proxies of one zone and the node itself gave it.
pub(crate) struct LoadReport<'a> {
    pub zone: ZoneId,
    pub node: NodeId,
    pub attempts: f64,
    pub failures: f64,
    pub mean_latency: Span,
    pub window: Span,
    /// The node's own metrics, in the order of the settings; below 0: not known.
    pub metrics: &'a [f64],
}

impl LoadReport<'_> {
    /// The report in an event, if it is one.
    pub fn from_event(event: &Event) -> Option<LoadReport<'_>> {
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

/// Attempts, how many of them failed, and the seconds that the others took together.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptStats {
    pub attempts: f64,
    pub failures: f64,
    pub seconds: f64,
}

impl AddAssign for AttemptStats {
    fn add_assign(&mut self, more: AttemptStats) {
        self.attempts += more.attempts;
        self.failures += more.failures;
        self.seconds += more.seconds;
    }
}

const MAX_LATENCY_SECONDS: f64 = 60.0;
const MAX_QUEUE_LENGTH: f64 = 1e3;
/// Requests beside which a report's own weigh in the mean latency.
const LATENCY_HALF_WEIGHT_REQUESTS: f64 = 2.0;
/// Of the memory of averages: that of latency, and of the node's own metrics.
const LATENCY_TIME_CONSTANT_RATIO: f64 = 0.3;
const METRIC_TIME_CONSTANT_RATIO: f64 = 0.5;

/// Measurements and the capacity estimate of one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeLoad {
    utilization: DecayingAverage,
    /// Requests that wait there, as the node says.
    queue_length: DecayingAverage,
    /// Seconds that a request takes.
    latency: DecayingAverage,
    /// Logarithm of the requests per second that it can serve.
    capacity: DecayingAverage,
    /// Report periods that the capacity rests on; fades.
    evidence: f64,
    /// The highest rate at which latency stayed well below the objective.
    peak_within_objective: f64,
    /// The highest rate that lately succeeded; fades.
    recent_peak: f64,
    /// The reports that the capacity estimate has not used yet, and the longest time that one covers.
    pending: AttemptStats,
    max_pending_window: Span,
}

impl NodeLoad {
    /// Takes in a report; `memory` is the time constant of averages.
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
            seconds: successes * seconds,
        };
    }

    /// Forgets what was measured: a restarted process is another one.
    pub fn reset(&mut self) {
        *self = NodeLoad {
            pending: self.pending,
            max_pending_window: self.max_pending_window,
            ..NodeLoad::default()
        };
    }

    /// Takes over an estimate from before a restart of the balancer.
    pub fn restore(&mut self, log_capacity: f64, evidence: f64) {
        self.capacity = DecayingAverage::with_value(log_capacity);
        self.evidence = evidence;
    }

    /// Reported utilization, of 1.
    pub fn utilization(&self) -> Option<f64> {
        self.utilization.get()
    }

    /// Reported length of the queue.
    pub fn queue_length(&self) -> Option<f64> {
        self.queue_length.get()
    }

    /// Mean latency in seconds.
    pub fn latency(&self) -> Option<f64> {
        self.latency.get()
    }

    /// Logarithm of the estimated requests per second.
    pub fn log_capacity(&self) -> Option<f64> {
        self.capacity.get()
    }

    /// Report periods that the estimate rests on.
    pub fn evidence(&self) -> f64 {
        self.evidence
    }

    /// The highest rate that lately succeeded.
    pub fn recent_peak(&self) -> f64 {
        self.recent_peak
    }

    /// The highest rate at which latency stayed well below the objective.
    pub fn peak_within_objective(&self) -> f64 {
        self.peak_within_objective
    }

    /// Reports that were not learnt from yet.
    pub fn pending(&self) -> AttemptStats {
        self.pending
    }

    /// The same, taken out, with the longest time that one of them covers.
    pub fn take_pending(&mut self) -> (AttemptStats, Span) {
        (
            std::mem::take(&mut self.pending),
            std::mem::take(&mut self.max_pending_window),
        )
    }

    /// Lets evidence and the recent peak fade; the peak is at least the rate of now.
    pub fn decay(&mut self, evidence_factor: f64, rate: f64) {
        self.evidence *= evidence_factor;
        self.recent_peak = (self.recent_peak * evidence_factor.sqrt()).max(rate);
    }

    /// The estimate rests on more reports.
    pub fn add_evidence(&mut self, periods: f64) {
        self.evidence += periods;
    }

    /// Takes in a measured capacity.
    pub fn add_capacity_sample(&mut self, log_capacity: f64, covered: Span, time_constant: Span) {
        self.capacity.add(log_capacity, covered, time_constant);
    }

    /// Moves the estimate.
    pub fn set_capacity(&mut self, log_capacity: f64) {
        self.capacity = DecayingAverage::with_value(log_capacity);
    }

    /// A rate was served while latency was well below the objective.
    pub fn record_rate_within_objective(&mut self, rate: f64) {
        self.peak_within_objective = self.peak_within_objective.max(rate);
    }
}
