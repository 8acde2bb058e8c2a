//! Sums up the load reports of one report period by zone and node and by proxy and operation, and turns the
//! sums into events for the balancer. Reports arrive at any time and cover windows of different lengths, so
//! each event states the window that its reports covered.

use super::{check_report, LoadReport, LoadReportError, NodeReport, OperationReport};
use super::{LATENCY_METRIC, QUEUE_METRIC, UTILIZATION_METRIC};
use crate::deployment::Deployment;
use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread::Event;

const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Value of a load metric that was not reported; the balancer ignores values below 0.
const METRIC_NOT_REPORTED: f64 = -1.0;
/// Name in the settings of the load metric that proxies report as [`UTILIZATION_METRIC`].
const UTILIZATION_SETTING: &str = "utilization";

/// Observations of the proxies of one zone at one node.
#[derive(Clone, Debug, Default)]
struct PathLoad {
    attempts: f64,
    failures: f64,
    latency: LatencySum,
    /// The newest value in the period of each of the deployment's load metrics, in their order.
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

/// Requests of one operation that one proxy received.
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

/// Attempts of one operation in a report, over all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptTotals {
    attempts: f64,
    failures: f64,
}

/// Sums of the load reports of the current period.
#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    path_loads: BTreeMap<(ZoneId, NodeId), PathLoad>,
    /// Sum of the windows of all reports from a zone's proxies.
    window_sums: BTreeMap<ZoneId, Span>,
    reporting_proxies: BTreeMap<ZoneId, BTreeSet<ProxyId>>,
    offered: BTreeMap<(ProxyId, OperationId), OfferedLoad>,
    /// Number of node reports since the start that concern nodes which are not listed.
    pub unknown_nodes: u64,
    /// Number of operation reports since the start that concern operations which the deployment does not have.
    pub unknown_operations: u64,
}

impl LoadAggregator {
    /// Adds a proxy's report, or rejects it without adding any of its counts. `is_known` tells whether a node
    /// is listed.
    pub fn add_report(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadReport,
        deployment: &Deployment,
        is_known: impl Fn(NodeId) -> bool,
    ) -> Result<(), LoadReportError> {
        check_report(report)?;
        let window_sum = self.window_sums.entry(zone).or_insert(Span::ZERO);
        *window_sum = *window_sum + report.window;
        self.reporting_proxies
            .entry(zone)
            .or_default()
            .insert(proxy);
        let mut unreported: BTreeSet<OperationId> = (0..deployment.operations.len() as u8)
            .map(OperationId)
            .collect();
        for operation_report in &report.operations {
            let Some(operation) = operation_id(deployment, &operation_report.operation) else {
                self.unknown_operations += 1;
                continue;
            };
            unreported.remove(&operation);
            let totals =
                self.add_nodes(zone, operation_report, report.window, deployment, &is_known);
            let requests = (totals.attempts - operation_report.retries as f64).max(0.0)
                + operation_report.rate_limited as f64;
            let failures = totals.failures.min(requests);
            self.add_offered_load(proxy, operation, requests, failures, report.window);
        }
        // An operation that the report leaves out received no request.
        for operation in unreported {
            self.add_offered_load(proxy, operation, 0.0, 0.0, report.window);
        }
        Ok(())
    }

    fn add_nodes(
        &mut self,
        zone: ZoneId,
        report: &OperationReport,
        window: Span,
        deployment: &Deployment,
        is_known: &impl Fn(NodeId) -> bool,
    ) -> AttemptTotals {
        let mut totals = AttemptTotals::default();
        for node_report in &report.nodes {
            totals.attempts += node_report.attempts();
            totals.failures += node_report.errored as f64;
            match node_report.node.filter(|node| is_known(*node)) {
                Some(node) => {
                    let path = self.path_loads.entry((zone, node)).or_default();
                    path.add(node_report, window, deployment);
                }
                None => self.unknown_nodes += 1,
            }
        }
        totals
    }

    fn add_offered_load(
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

    /// Returns the events of the current period and starts the next one with empty sums.
    pub fn take_events(&mut self, members: &Membership) -> Vec<Event> {
        let window_sums = std::mem::take(&mut self.window_sums);
        let reporting_proxies = std::mem::take(&mut self.reporting_proxies);
        let mut events = Vec::new();
        for ((zone, node), path) in std::mem::take(&mut self.path_loads) {
            // The event's window is the mean window per proxy. Joined proxies without a report in this period
            // count as proxies with a window of 0; their requests count in the period of their next report.
            let reported = reporting_proxies.get(&zone).map_or(0, BTreeSet::len);
            let proxies = members.joined_in(zone).max(reported).max(1);
            let total = window_sums.get(&zone).copied().unwrap_or(Span::ZERO);
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

    /// Drops the demand that a proxy reported, because the proxy was forgotten.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.offered.retain(|key, _| key.0 != proxy);
    }
}

impl PathLoad {
    fn add(&mut self, report: &NodeReport, window: Span, deployment: &Deployment) {
        let attempts = report.attempts();
        self.attempts += attempts;
        self.failures += report.errored as f64;
        let measured = report
            .metrics
            .get(LATENCY_METRIC)
            .and_then(|metric| Some((metric.count as f64, metric.mean()?)));
        match measured {
            Some((count, mean_ms)) => self.latency.add(count, mean_ms),
            // Proxies that measure no latency still report the attempts in flight, which by Little's law equal
            // the rate times the latency.
            None if attempts > 0.0 => {
                let in_progress = report.in_progress as f64;
                let mean_ms = in_progress * window.seconds() / attempts * MILLISECONDS_PER_SECOND;
                self.latency.add(attempts, mean_ms);
            }
            None => {}
        }
        self.update_metrics(report, &deployment.load_reports.loads);
    }

    fn update_metrics(&mut self, report: &NodeReport, names: &[String]) {
        self.metrics.resize(names.len(), None);
        for (value, name) in self.metrics.iter_mut().zip(names) {
            let metric_name = if name == UTILIZATION_SETTING {
                UTILIZATION_METRIC
            } else {
                QUEUE_METRIC
            };
            let reported = report.metrics.get(metric_name);
            *value = reported.and_then(|metric| metric.mean()).or(*value);
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

fn operation_id(deployment: &Deployment, name: &str) -> Option<OperationId> {
    let mut operations = deployment.operations.iter();
    let index = operations.position(|operation| operation.name == name)?;
    Some(OperationId(index as u8))
}
