//! Sums of what the proxy met, until they are told. They cover the time since they were last told, over a
//! broken stream too, so nothing is lost or counted twice; each try counts when it ends.

use std::collections::BTreeMap;
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::load_report::{
    LoadReport, Metric, NodeReport, OperationReport, LATENCY,
};

#[derive(Clone, Debug, Default)]
struct Met {
    succeeded: u64,
    errored: u64,
    latency: Metric,
    loads: BTreeMap<String, Metric>,
}

#[derive(Clone, Debug, Default)]
struct Operation {
    rate_limited: u64,
    repeats: u64,
    nodes: BTreeMap<NodeId, Met>,
}

#[derive(Clone, Debug)]
pub struct LoadAccounting {
    names: Vec<String>,
    operations: Vec<Operation>,
    since: Moment,
}

/// What is older tells nothing of the present and would be refused.
const OLDEST: f64 = 300.0;

impl LoadAccounting {
    pub fn new(now: Moment, names: Vec<String>) -> LoadAccounting {
        let operations = vec![Operation::default(); names.len()];
        LoadAccounting {
            names,
            operations,
            since: now,
        }
    }

    fn of(&mut self, operation: OperationId) -> Option<&mut Operation> {
        self.operations.get_mut(usize::from(operation.0))
    }

    pub fn rate_limited(&mut self, operation: OperationId) {
        self.of(operation)
            .into_iter()
            .for_each(|of| of.rate_limited += 1);
    }

    pub fn repeated(&mut self, operation: OperationId) {
        self.of(operation)
            .into_iter()
            .for_each(|of| of.repeats += 1);
    }

    pub fn succeeded(
        &mut self,
        operation: OperationId,
        node: NodeId,
        latency: Span,
        loads: &[(String, f64)],
    ) {
        let Some(of) = self.of(operation) else { return };
        let met = of.nodes.entry(node).or_default();
        met.succeeded += 1;
        met.latency.count += 1;
        met.latency.total += latency.seconds() * 1e3;
        for (name, value) in loads {
            match met.loads.get_mut(name) {
                Some(metric) => {
                    (metric.count, metric.total) = (metric.count + 1, metric.total + value)
                }
                None => drop(met.loads.insert(
                    name.clone(),
                    Metric {
                        count: 1,
                        total: *value,
                    },
                )),
            }
        }
    }

    pub fn errored(&mut self, operation: OperationId, node: NodeId) {
        let Some(of) = self.of(operation) else { return };
        of.nodes.entry(node).or_default().errored += 1;
    }

    /// What was met since the last report; counting begins anew.
    pub fn report(
        &mut self,
        now: Moment,
        in_progress: &BTreeMap<(OperationId, NodeId), u64>,
    ) -> Option<LoadReport> {
        let over = now - self.since;
        if over <= Span::ZERO {
            return None;
        }
        self.since = now;
        let taken = vec![Operation::default(); self.names.len()];
        let mut taken = std::mem::replace(&mut self.operations, taken);
        if over.seconds() > OLDEST {
            return None;
        }
        let mut reports = Vec::new();
        for (place, (name, mut of)) in self.names.iter().zip(taken.drain(..)).enumerate() {
            let operation = OperationId(place as u8);
            let range = in_progress.range(
                (
                    operation,
                    NodeId {
                        address: [0; 4],
                        port: 0,
                    },
                )..,
            );
            for (key, _) in range.take_while(|(key, _)| key.0 == operation) {
                of.nodes.entry(key.1).or_default();
            }
            let node = |(node, met): (NodeId, Met)| {
                let mut metrics = met.loads;
                if met.latency.count > 0 {
                    metrics.insert(LATENCY.to_string(), met.latency);
                }
                NodeReport {
                    node: Some(node),
                    succeeded: met.succeeded,
                    errored: met.errored,
                    in_progress: in_progress.get(&(operation, node)).copied().unwrap_or(0),
                    metrics,
                }
            };
            reports.push(OperationReport {
                operation: name.clone(),
                rate_limited: of.rate_limited,
                repeats: of.repeats,
                nodes: of.nodes.into_iter().map(node).collect(),
            });
        }
        Some(LoadReport {
            over,
            operations: reports,
        })
    }
}

#[cfg(test)]
mod tests;
