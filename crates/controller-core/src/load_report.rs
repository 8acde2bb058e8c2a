//! Load reports: the requests that a proxy received and the results that it observed at the nodes to which it
//! sent them. An invalid report is rejected as a whole, before any of its counts is added.

mod aggregator;

pub use aggregator::LoadAggregator;

use std::collections::BTreeMap;
use wheelspread::ids::NodeId;
use wheelspread::time::Span;

/// A metric that nodes report with some of their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metric {
    /// Number of answers that carried the metric.
    pub count: u64,
    /// Sum of its values.
    pub total: f64,
}

impl Metric {
    /// The mean value; `None` without any answer, or if the mean is negative or not finite.
    pub fn mean(self) -> Option<f64> {
        let mean = self.total / self.count as f64;
        (self.count > 0 && mean.is_finite() && mean >= 0.0).then_some(mean)
    }
}

/// A proxy's observations at one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeReport {
    /// The node; `None` if its address could not be parsed.
    pub node: Option<NodeId>,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that failed.
    pub errored: u64,
    /// Attempts in flight when the report was made.
    pub in_progress: u64,
    /// Metrics by name: [`LATENCY_METRIC`], [`UTILIZATION_METRIC`], [`QUEUE_METRIC`].
    pub metrics: BTreeMap<String, Metric>,
}

impl NodeReport {
    /// Completed attempts.
    pub(crate) fn attempts(&self) -> f64 {
        self.succeeded as f64 + self.errored as f64
    }
}

/// A proxy's observations of one operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperationReport {
    /// The operation's name.
    pub operation: String,
    /// Requests that the proxy rejected.
    pub rate_limited: u64,
    /// Retries among the attempts of `nodes`; 0 if the proxy does not report them.
    pub retries: u64,
    /// Observations by node.
    pub nodes: Vec<NodeReport>,
}

/// A load report of one proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Length of the interval that the report covers, ending when the report was made.
    pub window: Span,
    /// Observations by operation; an operation that is left out received no request.
    pub operations: Vec<OperationReport>,
}

/// Why a load report was rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadReportError {
    /// The interval covered is not above 0 or too long.
    #[error("load report covers {seconds} s; more than 0 s and at most 600 s are allowed")]
    InvalidWindow {
        /// Seconds that the report covers.
        seconds: f64,
    },
    /// The request count exceeds what a proxy can serve, or the retry count exceeds the request count.
    #[error("load report counts {count} requests or retries of `{operation}` in {window_seconds} s, which is impossible")]
    ImpossibleCount {
        /// The operation's name, truncated.
        operation: String,
        /// The larger of its request count and its retry count.
        count: f64,
        /// Seconds that the report covers.
        window_seconds: f64,
    },
    /// The report names too many operations.
    #[error("load report names {count} operations; at most 1000 are allowed")]
    TooManyOperations {
        /// Number of operations that it names.
        count: usize,
    },
    /// An operation of the report names too many nodes.
    #[error("load report names {count} nodes for one operation; at most 100000 are allowed")]
    TooManyNodes {
        /// Number of nodes that the operation names.
        count: usize,
    },
}

/// Name of the metric for latency, in milliseconds.
pub const LATENCY_METRIC: &str = "latency_ms";
/// Name of the metric for a node's utilization, as a ratio.
pub const UTILIZATION_METRIC: &str = "cpu_utilization";
/// Name of the metric for the number of requests that are queued at a node.
pub const QUEUE_METRIC: &str = "named_metrics.queue";

const MAX_REQUESTS_PER_SECOND: f64 = 1e7;
const MAX_OPERATIONS: usize = 1000;
const MAX_NODES: usize = 100_000;
const MAX_WINDOW: Span = Span::from_seconds(600.0);
/// Characters of an operation's name that an error text quotes.
const MAX_QUOTED_NAME_LENGTH: usize = 40;

fn check_report(report: &LoadReport) -> Result<(), LoadReportError> {
    let seconds = report.window.seconds();
    if report.window <= Span::ZERO || report.window > MAX_WINDOW {
        return Err(LoadReportError::InvalidWindow { seconds });
    }
    if report.operations.len() > MAX_OPERATIONS {
        return Err(LoadReportError::TooManyOperations {
            count: report.operations.len(),
        });
    }
    report
        .operations
        .iter()
        .try_for_each(|operation| check_operation(operation, seconds))
}

fn check_operation(report: &OperationReport, seconds: f64) -> Result<(), LoadReportError> {
    if report.nodes.len() > MAX_NODES {
        return Err(LoadReportError::TooManyNodes {
            count: report.nodes.len(),
        });
    }
    let attempts = report
        .nodes
        .iter()
        .map(|node| node.attempts() + node.in_progress as f64);
    let count = attempts.sum::<f64>() + report.rate_limited as f64;
    let retries = report.retries as f64;
    if count > MAX_REQUESTS_PER_SECOND * seconds.max(1.0) || retries > count {
        let name = report.operation.chars().take(MAX_QUOTED_NAME_LENGTH);
        return Err(LoadReportError::ImpossibleCount {
            operation: name.collect(),
            count: count.max(retries),
            window_seconds: seconds,
        });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
