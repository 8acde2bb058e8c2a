//! Load reports: what a proxy observed of the requests that came to it and of the nodes that it sent them
//! to. A report that can't be is refused before anything is counted.

mod aggregator;

pub use aggregator::LoadAggregator;

use std::collections::BTreeMap;
use wheelspread::ids::NodeId;
use wheelspread::time::Span;

/// A metric that came with some of the answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metric {
    /// Answers that had it.
    pub count: u64,
    /// Their values' sum.
    pub total: f64,
}

impl Metric {
    /// The mean, where there is one that can be.
    pub fn mean(self) -> Option<f64> {
        let mean = self.total / self.count as f64;
        (self.count > 0 && mean.is_finite() && mean >= 0.0).then_some(mean)
    }
}

/// What a proxy observed at one node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeReport {
    /// The node, where its address could be read.
    pub node: Option<NodeId>,
    /// Attempts that succeeded.
    pub succeeded: u64,
    /// Attempts that failed.
    pub errored: u64,
    /// Attempts that had no end yet when the report was made.
    pub in_progress: u64,
    /// Metrics by the names that are constants of this module.
    pub metrics: BTreeMap<String, Metric>,
}

impl NodeReport {
    /// Attempts that ended.
    pub(crate) fn attempts(&self) -> f64 {
        self.succeeded as f64 + self.errored as f64
    }
}

/// What a proxy observed of one operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperationReport {
    /// The operation's name.
    pub operation: String,
    /// Requests that the proxy rejected.
    pub rate_limited: u64,
    /// Attempts of `nodes` that retried an earlier one, where the proxy says so.
    pub retries: u64,
    /// By node.
    pub nodes: Vec<NodeReport>,
}

/// One report of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// The time that it covers, up to when it was made.
    pub window: Span,
    /// By operation; one that is left out had no request.
    pub operations: Vec<OperationReport>,
}

/// Why a report was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadReportError {
    /// It covers no time, or too much.
    #[error("a report over {seconds} s")]
    Window {
        /// The time that it covers.
        seconds: f64,
    },
    /// No proxy can have served so many requests, or it counts more retries than attempts.
    #[error("{count} invocations of `{operation}` over {over} s")]
    Count {
        /// The operation's name, cut short.
        operation: String,
        /// The larger of its counts.
        count: f64,
        /// Seconds that the report covers.
        over: f64,
    },
    /// It names too many operations.
    #[error("{count} operations in one report")]
    TooManyOperations {
        /// Operations that it names.
        count: usize,
    },
    /// One of its operations names too many nodes.
    #[error("{count} nodes in one report")]
    TooManyNodes {
        /// Nodes that it names.
        count: usize,
    },
}

/// Metric of the latency in milliseconds.
pub const LATENCY_METRIC: &str = "latency_ms";
/// Metric of a node's utilization, of 1.
pub const UTILIZATION_METRIC: &str = "cpu_utilization";
/// Metric of the requests that are queued at a node.
pub const QUEUE_METRIC: &str = "named_metrics.queue";

const MAX_REQUESTS_PER_SECOND: f64 = 1e7;
const MAX_OPERATIONS: usize = 1000;
const MAX_NODES: usize = 100_000;
const MAX_WINDOW: Span = Span::from_seconds(600.0);
/// Of a name that an error repeats.
const MAX_QUOTED_NAME_LENGTH: usize = 40;

fn check(report: &LoadReport) -> Result<(), LoadReportError> {
    let seconds = report.window.seconds();
    if report.window <= Span::ZERO || report.window > MAX_WINDOW {
        return Err(LoadReportError::Window { seconds });
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
        return Err(LoadReportError::Count {
            operation: name.collect(),
            count: count.max(retries),
            over: seconds,
        });
    }
    Ok(())
}

#[cfg(test)]
mod tests;
