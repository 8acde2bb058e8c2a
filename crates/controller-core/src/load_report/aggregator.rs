//! Load reports of one period, summed up by zone and node and by proxy and operation, and given out as the
//! balancer's events. Reports come at their own times and cover their own windows; the events are dated by
//! the windows that were covered.

use super::{check, LoadReport, LoadReportError, NodeReport, OperationReport};
use super::{LATENCY_METRIC, QUEUE_METRIC, UTILIZATION_METRIC};
use crate::deployment::Deployment;
use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread::Event;

const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// The balancer leaves out a load metric below 0: it was not reported.
const METRIC_NOT_REPORTED: f64 = -1.0;
/// The load metric of the settings that proxies report as [`UTILIZATION_METRIC`].
const UTILIZATION_SETTING: &str = "utilization";

/// What the proxies of one zone observed at one node.
#[derive(Clone, Debug, Default)]
struct PathLoad {
    attempts: f64,
    failures: f64,
    latency: LatencySum,
    /// By the deployment's load metrics; the newest value of the period.
    metrics: Vec<Option<f64>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LatencySum {
    count: f64,
    total_ms: f64,
}

impl LatencySum {
    fn add(&mut self, count: f64, mean_ms: f64) {
        self.count += count;
        self.total_ms += count * mean_ms;
    }

    fn mean(&self) -> Span {
        if self.count > 0.0 {
            Span::from_seconds(self.total_ms / self.count / MILLISECONDS_PER_SECOND)
        } else {
            Span::ZERO
        }
    }
}

/// What came to one proxy for one operation.
#[derive(Clone, Copy, Debug)]
struct OfferedLoad {
    requests: f64,
    failures: f64,
    window: Span,
}

impl OfferedLoad {
    const NONE: OfferedLoad = OfferedLoad {
        requests: 0.0,
        failures: 0.0,
        window: Span::ZERO,
    };
}

/// Attempts of one report's operation, over all of its nodes.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptTotals {
    attempts: f64,
    failures: f64,
}

/// Sums of the current period.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    paths: BTreeMap<(ZoneId, NodeId), PathLoad>,
    /// Windows of all reports of a zone's proxies together.
    covered: BTreeMap<ZoneId, Span>,
    reporting: BTreeMap<ZoneId, BTreeSet<ProxyId>>,
    offered: BTreeMap<(ProxyId, OperationId), OfferedLoad>,
    /// Reports of nodes that were never listed, since the start.
    pub unknown_nodes: u64,
    /// Reports of operations that the deployment does not have, since the start.
    pub unknown_operations: u64,
}

impl LoadAggregator {
    /// Adds a proxy's report, or refuses it before anything is counted. `is_known` says whether a node is
    /// listed.
    pub fn add_report(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadReport,
        plan: &Deployment,
        is_known: impl Fn(NodeId) -> bool,
    ) -> Result<(), LoadReportError> {
        check(report)?;
        let covered = self.covered.entry(zone).or_insert(Span::ZERO);
        *covered = *covered + report.window;
        self.reporting.entry(zone).or_default().insert(proxy);
        let mut unreported: BTreeSet<OperationId> =
            (0..plan.operations.len() as u8).map(OperationId).collect();
        for of_operation in &report.operations {
            let Some(operation) = operation_id(plan, &of_operation.operation) else {
                self.unknown_operations += 1;
                continue;
            };
            unreported.remove(&operation);
            let totals = self.add_nodes(zone, of_operation, report.window, plan, &is_known);
            let requests = (totals.attempts - of_operation.retries as f64).max(0.0)
                + of_operation.rate_limited as f64;
            let failures = totals.failures.min(requests);
            self.add_offered(proxy, operation, requests, failures, report.window);
        }
        // A report that leaves an operation out says that no request for it came.
        for operation in unreported {
            self.add_offered(proxy, operation, 0.0, 0.0, report.window);
        }
        Ok(())
    }

    fn add_nodes(
        &mut self,
        zone: ZoneId,
        report: &OperationReport,
        window: Span,
        plan: &Deployment,
        is_known: &impl Fn(NodeId) -> bool,
    ) -> AttemptTotals {
        let mut totals = AttemptTotals::default();
        for of_node in &report.nodes {
            totals.attempts += of_node.attempts();
            totals.failures += of_node.errored as f64;
            match of_node.node.filter(|node| is_known(*node)) {
                Some(node) => {
                    let path = self.paths.entry((zone, node)).or_default();
                    path.add(of_node, window, plan);
                }
                None => self.unknown_nodes += 1,
            }
        }
        totals
    }

    fn add_offered(
        &mut self,
        proxy: ProxyId,
        operation: OperationId,
        requests: f64,
        failures: f64,
        window: Span,
    ) {
        let offered = self
            .offered
            .entry((proxy, operation))
            .or_insert(OfferedLoad::NONE);
        offered.requests += requests;
        offered.failures += failures;
        offered.window = offered.window + window;
    }

    /// The events of a period's end; the next period starts empty.
    pub fn take_events(&mut self, members: &Membership) -> Vec<Event> {
        let covered = std::mem::take(&mut self.covered);
        let reporting = std::mem::take(&mut self.reporting);
        let mut events = Vec::new();
        for ((zone, node), path) in std::mem::take(&mut self.paths) {
            // Each proxy of the zone covers its own window. Those that are joined and did not report count
            // as silent in this period, and their requests in the one in which their report comes.
            let reported = reporting.get(&zone).map_or(0, BTreeSet::len);
            let proxies = members.joined_in(zone).max(reported).max(1);
            let total = covered.get(&zone).copied().unwrap_or(Span::ZERO);
            let window = total * (1.0 / proxies as f64);
            if path.attempts > 0.0 && window > Span::ZERO {
                events.push(path.into_event(zone, node, window));
            }
        }
        for ((proxy, operation), offered) in std::mem::take(&mut self.offered) {
            events.push(Event::DemandReport {
                proxy,
                operation,
                requests: offered.requests,
                failures: offered.failures,
                window: offered.window,
            });
        }
        events
    }

    /// A proxy was forgotten: what it reported of its demand goes with it.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.offered.retain(|key, _| key.0 != proxy);
    }
}

impl PathLoad {
    fn add(&mut self, report: &NodeReport, window: Span, plan: &Deployment) {
        let attempts = report.attempts();
        self.attempts += attempts;
        self.failures += report.errored as f64;
        let timed = report
            .metrics
            .get(LATENCY_METRIC)
            .and_then(|metric| Some((metric.count as f64, metric.mean()?)));
        match timed {
            Some((count, mean_ms)) => self.latency.add(count, mean_ms),
            // Proxies that time nothing still report how many attempts were in progress: by Little's law
            // that is the rate times the latency.
            None if attempts > 0.0 => {
                let in_progress = report.in_progress as f64;
                let mean_ms = in_progress * window.seconds() / attempts * MILLISECONDS_PER_SECOND;
                self.latency.add(attempts, mean_ms);
            }
            None => {}
        }
        self.update_metrics(report, &plan.load_reports.loads);
    }

    fn update_metrics(&mut self, report: &NodeReport, names: &[String]) {
        self.metrics.resize(names.len(), None);
        for (value, name) in self.metrics.iter_mut().zip(names) {
            let reported_as = if name == UTILIZATION_SETTING {
                UTILIZATION_METRIC
            } else {
                QUEUE_METRIC
            };
            let newest = report.metrics.get(reported_as);
            *value = newest.and_then(|metric| metric.mean()).or(*value);
        }
    }

    fn into_event(self, zone: ZoneId, node: NodeId, window: Span) -> Event {
        let metrics = self.metrics.iter();
        Event::NodeLoadReport {
            zone,
            node,
            attempts: self.attempts,
            failures: self.failures,
            mean_latency: self.latency.mean(),
            window,
            metrics: metrics
                .map(|value| value.unwrap_or(METRIC_NOT_REPORTED))
                .collect(),
        }
    }
}

fn operation_id(plan: &Deployment, name: &str) -> Option<OperationId> {
    let mut operations = plan.operations.iter();
    let position = operations.position(|operation| operation.name == name)?;
    Some(OperationId(position as u8))
}
