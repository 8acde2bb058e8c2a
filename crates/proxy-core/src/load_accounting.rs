//! Counts of what the proxy observed, until they are reported. They cover the time since the last report, over a
//! broken stream too, so nothing is lost or counted twice. Each attempt counts when it ends.

use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::load_report::{
    LoadReport, Metric, NodeReport, OperationReport, LATENCY_METRIC,
};

/// Seconds after which counts say nothing of the present. Controllers would refuse them.
const MAX_REPORT_AGE_SECONDS: f64 = 300.0;
const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// The first of all nodes, in their order.
const FIRST_NODE: NodeId = NodeId {
    address: [0; 4],
    port: 0,
};

/// The attempts of an operation at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    operation: OperationId,
    node: NodeId,
}

/// Attempts in flight, by operation and node.
#[derive(Clone, Debug, Default)]
pub struct InFlightAttempts {
    /// No zeros.
    counts: BTreeMap<AttemptKey, u64>,
}

impl InFlightAttempts {
    /// An attempt was sent.
    pub fn add(&mut self, operation: OperationId, node: NodeId) {
        *self
            .counts
            .entry(AttemptKey { operation, node })
            .or_insert(0) += 1;
    }

    /// An attempt ended.
    pub fn remove(&mut self, operation: OperationId, node: NodeId) {
        let key = AttemptKey { operation, node };
        if let Some(count) = self.counts.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&key);
            }
        }
    }

    /// All attempts in flight.
    pub fn total(&self) -> u64 {
        self.counts.values().sum()
    }

    fn count(&self, operation: OperationId, node: NodeId) -> u64 {
        let key = AttemptKey { operation, node };
        self.counts.get(&key).copied().unwrap_or(0)
    }

    /// The nodes at which an operation has attempts in flight.
    fn nodes(&self, operation: OperationId) -> impl Iterator<Item = NodeId> + '_ {
        let first = AttemptKey {
            operation,
            node: FIRST_NODE,
        };
        self.counts
            .range(first..)
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

/// The counts since the last load report.
#[derive(Clone, Debug)]
pub struct LoadAccounting {
    /// The names of the operations, in the order of their ids.
    names: Vec<String>,
    operations: Vec<OperationCounts>,
    since: Moment,
}

impl LoadAccounting {
    /// Counts from now on, for operations of these names.
    pub fn new(now: Moment, names: Vec<String>) -> LoadAccounting {
        LoadAccounting {
            operations: vec![OperationCounts::default(); names.len()],
            names,
            since: now,
        }
    }

    fn counts(&mut self, operation: OperationId) -> Option<&mut OperationCounts> {
        self.operations.get_mut(usize::from(operation.0))
    }

    /// A request was rejected.
    pub fn record_rejected(&mut self, operation: OperationId) {
        if let Some(counts) = self.counts(operation) {
            counts.rejected += 1;
        }
    }

    /// An attempt follows a failed one.
    pub fn record_retry(&mut self, operation: OperationId) {
        if let Some(counts) = self.counts(operation) {
            counts.retries += 1;
        }
    }

    /// An attempt succeeded; `loads` are the load metrics that the node sent.
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

    /// An attempt failed.
    pub fn record_failure(&mut self, operation: OperationId, node: NodeId) {
        if let Some(counts) = self.counts(operation) {
            counts.nodes.entry(node).or_default().errored += 1;
        }
    }

    /// What was observed since the last report; counting begins anew. `None`: no time has passed, or so much that
    /// the counts are dropped.
    pub fn take_report(&mut self, now: Moment, in_flight: &InFlightAttempts) -> Option<LoadReport> {
        let over = now - self.since;
        if over <= Span::ZERO {
            return None;
        }
        self.since = now;
        let fresh = vec![OperationCounts::default(); self.names.len()];
        let taken = std::mem::replace(&mut self.operations, fresh);
        if over.seconds() > MAX_REPORT_AGE_SECONDS {
            return None;
        }
        let operations = taken.into_iter().enumerate().map(|(at, counts)| {
            let operation = OperationId(at as u8);
            operation_report(operation, &self.names[at], counts, in_flight)
        });
        Some(LoadReport {
            window: over,
            operations: operations.collect(),
        })
    }
}

fn add_value(metric: &mut Metric, value: f64) {
    metric.count += 1;
    metric.total += value;
}

/// A node that only has attempts in flight is reported too.
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
