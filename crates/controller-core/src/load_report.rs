//! Sums of what proxies observed, from the reports on their streams to the module's events. Reports come at
//! their own times and of their own spans; once a period they are put together by zone and node, dated by
//! the spans they cover. What can't be is refused before anything is counted.

use crate::deployment::Deployment;
use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread::Event;

/// A figure that came with some of the answers: how many, and their total.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metric {
    pub count: u64,
    pub total: f64,
}

impl Metric {
    pub fn mean(self) -> Option<f64> {
        let mean = self.total / self.count as f64;
        (self.count > 0 && mean.is_finite() && mean >= 0.0).then_some(mean)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeReport {
    pub node: Option<NodeId>,
    pub succeeded: u64,
    pub errored: u64,
    /// Tries that had no end yet when the report was made.
    pub in_progress: u64,
    pub metrics: BTreeMap<String, Metric>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperationReport {
    pub operation: String,
    /// Rejected at the proxy.
    pub rate_limited: u64,
    /// Tries of `nodes` that repeated an earlier one, where the proxy says so.
    pub repeats: u64,
    pub nodes: Vec<NodeReport>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    pub over: Span,
    pub operations: Vec<OperationReport>,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadReportError {
    #[error("a report over {0} s")]
    Over(f64),
    #[error("{count} invocations of `{operation}` over {over} s")]
    Count {
        operation: String,
        count: f64,
        over: f64,
    },
    #[error("{0} operations in one report")]
    Operations(usize),
    #[error("{0} nodes in one report")]
    TooManyNodes(usize),
}

/// Names of the figures that a proxy may send beside its counts.
pub const LATENCY: &str = "latency_ms";
pub const UTILIZATION: &str = "cpu_utilization";
pub const QUEUE: &str = "named_metrics.queue";

const MOST_PER_SECOND: f64 = 1e7;
const MOST_OPERATIONS: usize = 1000;
const MOST_NODES: usize = 100_000;
const LONGEST: f64 = 600.0;

#[derive(Clone, Debug, Default)]
struct PathSums {
    tries: f64,
    errored: f64,
    latency: (f64, f64),
    loads: Vec<Option<f64>>,
}

#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    paths: BTreeMap<(ZoneId, NodeId), PathSums>,
    /// Over how long each zone's proxies reported, together.
    covered: BTreeMap<ZoneId, Span>,
    reporting: BTreeMap<ZoneId, BTreeSet<ProxyId>>,
    offered: BTreeMap<(ProxyId, OperationId), (f64, f64, Span)>,
    pub unknown_nodes: u64,
    pub unknown_operations: u64,
}

fn check(report: &LoadReport) -> Result<(), LoadReportError> {
    let over = report.over.seconds();
    if !(over > 0.0 && over <= LONGEST) {
        return Err(LoadReportError::Over(over));
    }
    if report.operations.len() > MOST_OPERATIONS {
        return Err(LoadReportError::Operations(report.operations.len()));
    }
    for named in &report.operations {
        if named.nodes.len() > MOST_NODES {
            return Err(LoadReportError::TooManyNodes(named.nodes.len()));
        }
        let each = |node: &NodeReport| {
            node.succeeded as f64 + node.errored as f64 + node.in_progress as f64
        };
        let count = named.nodes.iter().map(each).sum::<f64>() + named.rate_limited as f64;
        if count > MOST_PER_SECOND * over.max(1.0) || named.repeats as f64 > count {
            let operation = named.operation.chars().take(40).collect();
            return Err(LoadReportError::Count {
                operation,
                count: count.max(named.repeats as f64),
                over,
            });
        }
    }
    Ok(())
}

impl LoadAggregator {
    pub fn add_report(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadReport,
        plan: &Deployment,
        known: impl Fn(NodeId) -> bool,
    ) -> Result<(), LoadReportError> {
        check(report)?;
        *self.covered.entry(zone).or_insert(Span::ZERO) =
            self.covered.get(&zone).copied().unwrap_or(Span::ZERO) + report.over;
        self.reporting.entry(zone).or_default().insert(proxy);
        let mut silent: BTreeSet<OperationId> =
            (0..plan.operations.len() as u8).map(OperationId).collect();
        for named in &report.operations {
            let place = plan
                .operations
                .iter()
                .position(|operation| operation.name == named.operation);
            let Some(place) = place else {
                self.unknown_operations += 1;
                continue;
            };
            let operation = OperationId(place as u8);
            silent.remove(&operation);
            let (mut tries, mut errored) = (0.0, 0.0);
            for met in &named.nodes {
                let met_tries = met.succeeded as f64 + met.errored as f64;
                (tries, errored) = (tries + met_tries, errored + met.errored as f64);
                match met.node.filter(|node| known(*node)) {
                    Some(node) => self.met(zone, node, met, met_tries, report.over, plan),
                    None => self.unknown_nodes += 1,
                }
            }
            let count = (tries - named.repeats as f64).max(0.0) + named.rate_limited as f64;
            let sum = self
                .offered
                .entry((proxy, operation))
                .or_insert((0.0, 0.0, Span::ZERO));
            *sum = (
                sum.0 + count,
                sum.1 + errored.min(count),
                sum.2 + report.over,
            );
        }
        // What a report does not speak of did not come.
        for operation in silent {
            let sum = self
                .offered
                .entry((proxy, operation))
                .or_insert((0.0, 0.0, Span::ZERO));
            sum.2 = sum.2 + report.over;
        }
        Ok(())
    }

    fn met(
        &mut self,
        zone: ZoneId,
        node: NodeId,
        met: &NodeReport,
        tries: f64,
        over: Span,
        plan: &Deployment,
    ) {
        let sums = self.paths.entry((zone, node)).or_default();
        sums.tries += tries;
        sums.errored += met.errored as f64;
        let latency = met
            .metrics
            .get(LATENCY)
            .and_then(|metric| Some((metric.count as f64, metric.mean()?)));
        // Proxies that time nothing still tell how many tries were in progress: by Little's law that is
        // the rate times the latency.
        let by_progress = || {
            (tries > 0.0).then(|| (tries, met.in_progress as f64 * over.seconds() / tries * 1e3))
        };
        if let Some((count, mean)) = latency.or_else(by_progress) {
            sums.latency = (sums.latency.0 + count, sums.latency.1 + count * mean);
        }
        sums.loads.resize(plan.sums.loads.len(), None);
        for (load, name) in sums.loads.iter_mut().zip(&plan.sums.loads) {
            let metric = if name == "utilization" {
                UTILIZATION
            } else {
                QUEUE
            };
            // The newest of what came in this period stands.
            *load = met
                .metrics
                .get(metric)
                .and_then(|metric| metric.mean())
                .or(*load);
        }
    }

    /// The events of a period's end.
    pub fn take_events(&mut self, members: &Membership) -> Vec<Event> {
        let mut events = Vec::new();
        let covered = std::mem::take(&mut self.covered);
        let reporting = std::mem::take(&mut self.reporting);
        for ((zone, node), sums) in std::mem::take(&mut self.paths) {
            // Each proxy of the zone covers its own span; those joined that were not heard count as
            // silent for now, and as heard when their report comes.
            let proxies = members
                .joined_in(zone)
                .max(reporting.get(&zone).map_or(0, BTreeSet::len))
                .max(1);
            let over = covered.get(&zone).copied().unwrap_or(Span::ZERO) * (1.0 / proxies as f64);
            if sums.tries <= 0.0 || over <= Span::ZERO {
                continue;
            }
            let latency = if sums.latency.0 > 0.0 {
                sums.latency.1 / sums.latency.0 / 1e3
            } else {
                0.0
            };
            // A load that was not told is none: the module leaves out what is below 0.
            let load: Vec<f64> = sums.loads.iter().map(|load| load.unwrap_or(-1.0)).collect();
            let (tries, errored) = (sums.tries, sums.errored);
            events.push(Event::NodeLoadReport {
                zone,
                node,
                attempts: tries,
                failures: errored,
                mean_latency: Span::from_seconds(latency),
                window: over,
                metrics: load,
            });
        }
        for ((proxy, operation), (count, errored, over)) in std::mem::take(&mut self.offered) {
            events.push(Event::DemandReport {
                proxy,
                operation,
                requests: count,
                failures: errored,
                window: over,
            });
        }
        events
    }

    /// A proxy that was forgotten.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.offered.retain(|key, _| key.0 != proxy);
    }
}

#[cfg(test)]
mod tests;
