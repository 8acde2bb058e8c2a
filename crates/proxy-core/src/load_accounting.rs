//! Counts of requests and attempts for load reports. The counts cover the time since the last report. They are
//! kept while the report stream is down, so no attempt is lost or counted twice. An attempt is counted when it ends.

use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::load_report::{
    LoadReport, Metric, NodeReport, OperationReport, LATENCY_METRIC,
};

/// Counts over a longer period no longer describe the current load, and controllers reject such a report.
const MAX_REPORT_PERIOD_SECONDS: f64 = 300.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// The smallest node id in sort order.
const MIN_NODE: NodeId = NodeId {
    address: [0; 4],
    port: 0,
};

/// Identifies the attempts of one operation at one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    operation: OperationId,
    node: NodeId,
}

/// Attempts in flight, by operation and node.
#[derive(Clone, Debug, Default)]
pub struct InFlightAttempts {
    /// Only non-zero counts are stored.
    counts: BTreeMap<AttemptKey, u64>,
}

impl InFlightAttempts {
    /// Counts an attempt that was sent.
    pub fn add(&mut self, operation: OperationId, node: NodeId) {
        *self
            .counts
            .entry(AttemptKey { operation, node })
            .or_insert(0) += 1;
    }

    /// Removes an attempt that ended.
    pub fn remove(&mut self, operation: OperationId, node: NodeId) {
        let key = AttemptKey { operation, node };
        if let Some(count) = self.counts.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key);
            }
        }
    }

    /// Number of attempts in flight over all operations and nodes.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    fn count(&self, operation: OperationId, node: NodeId) -> u64 {
        let key = AttemptKey { operation, node };
        self.counts.get(&key).copied().unwrap_or(0)
    }

    /// The nodes at which an operation has attempts in flight.
    fn nodes(&self, operation: OperationId) -> impl Iterator<Item = NodeId> + '_ {
        let min_key = AttemptKey {
            operation,
            node: MIN_NODE,
        };
        self.counts
            .range(min_key..)
            .map(|(key, _)| *key)
            .take_while(move |key| key.operation == operation)
            .map(|key| key.node)
    }
}

#[derive(Clone, Debug, Default)]
struct NodeCounts {
    succeeded: u64,
    errored: u64,
    latency: Metric,
    loads: BTreeMap<String, Metric>,
}

impl NodeCounts {
    fn into_report(self, node: NodeId, in_progress: u64) -> NodeReport {
        let mut metrics = self.loads;
        if self.latency.count > 0 {
            metrics.insert(LATENCY_METRIC.to_string(), self.latency);
        }
        NodeReport {
            node: Some(node),
            succeeded: self.succeeded,
            errored: self.errored,
            in_progress,
            metrics,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct OperationCounts {
    rejected: u64,
    retries: u64,
    nodes: BTreeMap<NodeId, NodeCounts>,
}

/// Counts since the last load report.
#[derive(Clone, Debug)]
pub struct LoadAccounting {
    /// The operation names, ordered by operation id.
    names: Vec<String>,
    operations: Vec<OperationCounts>,
    period_start: Moment,
}

impl LoadAccounting {
    /// Starts counting at `now`; `names` are the operation names, ordered by operation id.
    pub fn new(now: Moment, names: Vec<String>) -> LoadAccounting {
        LoadAccounting {
            operations: vec![OperationCounts::default(); names.len()],
            names,
            period_start: now,
        }
    }

    fn counts(&mut self, operation: OperationId) -> Option<&mut OperationCounts> {
        self.operations.get_mut(usize::from(operation.0))
    }

    /// Counts a rejected request.
    pub fn record_rejected(&mut self, operation: OperationId) {
        if let Some(counts) = self.counts(operation) {
            counts.rejected += 1;
        }
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, operation: OperationId) {
        if let Some(counts) = self.counts(operation) {
            counts.retries += 1;
        }
    }

    /// Counts a successful attempt; `loads` are the load metrics that the node sent with its response.
    pub fn record_success(
        &mut self,
        operation: OperationId,
        node: NodeId,
        latency: Span,
        loads: &[(String, f64)],
    ) {
        let Some(counts) = self.counts(operation) else {
            return;
        };
        let counts = counts.nodes.entry(node).or_default();
        counts.succeeded += 1;
        add_value(
            &mut counts.latency,
            latency.seconds() * MILLISECONDS_PER_SECOND,
        );
        for (name, value) in loads {
            match counts.loads.get_mut(name) {
                Some(metric) => add_value(metric, *value),
                None => {
                    let metric = Metric {
                        count: 1,
                        total: *value,
                    };
                    counts.loads.insert(name.clone(), metric);
                }
            }
        }
    }

    /// Counts a failed attempt.
    pub fn record_failure(&mut self, operation: OperationId, node: NodeId) {
        if let Some(counts) = self.counts(operation) {
            counts.nodes.entry(node).or_default().errored += 1;
        }
    }

    /// Returns the counts since the last report and resets them. Returns `None` if no time has passed. Also returns
    /// `None`, and drops the counts, if the period exceeds `MAX_REPORT_PERIOD_SECONDS`.
    pub fn take_report(&mut self, now: Moment, in_flight: &InFlightAttempts) -> Option<LoadReport> {
        let elapsed = now - self.period_start;
        if elapsed <= Span::ZERO {
            return None;
        }
        self.period_start = now;
        let empty = vec![OperationCounts::default(); self.names.len()];
        let taken = std::mem::replace(&mut self.operations, empty);
        if elapsed.seconds() > MAX_REPORT_PERIOD_SECONDS {
            return None;
        }
        let operations = taken.into_iter().enumerate().map(|(index, counts)| {
            let operation = OperationId(index as u8);
            operation_report(operation, &self.names[index], counts, in_flight)
        });
        Some(LoadReport {
            window: elapsed,
            operations: operations.collect(),
        })
    }
}

fn add_value(metric: &mut Metric, value: f64) {
    metric.count += 1;
    metric.total += value;
}

/// Builds the report of one operation. It includes nodes that have attempts in flight but no counts.
fn operation_report(
    operation: OperationId,
    name: &str,
    mut counts: OperationCounts,
    in_flight: &InFlightAttempts,
) -> OperationReport {
    for node in in_flight.nodes(operation) {
        counts.nodes.entry(node).or_default();
    }
    let report = |(node, counts): (NodeId, NodeCounts)| {
        counts.into_report(node, in_flight.count(operation, node))
    };
    OperationReport {
        operation: name.to_string(),
        rate_limited: counts.rejected,
        retries: counts.retries,
        nodes: counts.nodes.into_iter().map(report).collect(),
    }
}

#[cfg(test)]
mod tests;
