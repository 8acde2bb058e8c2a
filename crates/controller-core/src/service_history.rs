//! Service history: request counts and latencies from the proxies' load reports of the last minutes, by zone
//! and operation, in a rolling window of buckets as wide as the report period. Configuration changes are judged
//! by the service history.

use crate::load_report::{LoadReport, NodeReport, OperationReport, LATENCY_METRIC};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use wheelspread::ids::{OperationId, ProxyId, ZoneId};
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Number of report periods that are retained.
const RETAINED_PERIODS: usize = 300;

/// Totals of requests and of attempts, where each retry is an attempt of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceTotals {
    /// Requests that proxies received.
    pub requests: f64,
    /// Requests that succeeded.
    pub succeeded: f64,
    /// Requests that proxies rejected.
    pub rate_limited: f64,
    /// Attempts that were completed, retries included.
    pub attempts: f64,
    /// Attempts that failed.
    pub failures: f64,
    /// Attempts whose latency was reported.
    pub timed_attempts: f64,
    /// Sum of the latencies of `timed_attempts`, in seconds.
    pub latency_seconds: f64,
}

impl AddAssign for ServiceTotals {
    fn add_assign(&mut self, other: ServiceTotals) {
        self.requests += other.requests;
        self.succeeded += other.succeeded;
        self.rate_limited += other.rate_limited;
        self.attempts += other.attempts;
        self.failures += other.failures;
        self.timed_attempts += other.timed_attempts;
        self.latency_seconds += other.latency_seconds;
    }
}

impl ServiceTotals {
    fn add_node(&mut self, report: &NodeReport) {
        self.succeeded += report.succeeded as f64;
        self.failures += report.errored as f64;
        self.attempts += report.attempts();
        let latency = report.metrics.get(LATENCY_METRIC);
        if let Some((latency, mean)) = latency.and_then(|metric| Some((metric, metric.mean()?))) {
            self.timed_attempts += latency.count as f64;
            self.latency_seconds += latency.count as f64 * mean / MILLISECONDS_PER_SECOND;
        }
    }

    fn add_operation(&mut self, report: &OperationReport) {
        for node in &report.nodes {
            self.add_node(node);
        }
        let rate_limited = report.rate_limited as f64;
        self.rate_limited += rate_limited;
        self.requests += (self.attempts - report.retries as f64).max(0.0) + rate_limited;
    }
}

/// Totals by the proxy's zone and the operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceTotalsByOperation(pub BTreeMap<(ZoneId, OperationId), ServiceTotals>);

impl AddAssign for ServiceTotalsByOperation {
    fn add_assign(&mut self, other: ServiceTotalsByOperation) {
        for (key, totals) in other.0 {
            *self.0.entry(key).or_default() += totals;
        }
    }
}

impl ServiceTotalsByOperation {
    /// Totals of one operation over all zones.
    pub fn for_operation(&self, operation: OperationId) -> ServiceTotals {
        let mut total = ServiceTotals::default();
        for ((_, key_operation), totals) in &self.0 {
            if *key_operation == operation {
                total += *totals;
            }
        }
        total
    }
}

/// Totals of the last report periods, and when each proxy last reported.
#[derive(Clone, Debug)]
pub struct ServiceHistory {
    period: Span,
    window: RollingWindow<ServiceTotalsByOperation>,
    last_report_at: BTreeMap<ProxyId, Moment>,
}

impl ServiceHistory {
    /// Creates an empty history with buckets as wide as `period`.
    pub fn new(period: Span) -> ServiceHistory {
        ServiceHistory {
            period,
            window: RollingWindow::new(period, RETAINED_PERIODS),
            last_report_at: BTreeMap::new(),
        }
    }

    /// Adds a report that has passed validation. `operation_id` looks up an operation by name; unknown
    /// operations are left out.
    pub fn record(
        &mut self,
        now: Moment,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadReport,
        operation_id: impl Fn(&str) -> Option<OperationId>,
    ) {
        self.last_report_at.insert(proxy, now);
        let mut totals = ServiceTotalsByOperation::default();
        for operation_report in &report.operations {
            if let Some(operation) = operation_id(&operation_report.operation) {
                let totals = totals.0.entry((zone, operation)).or_default();
                totals.add_operation(operation_report);
            }
        }
        self.window.add(now, totals);
    }

    /// When a proxy last reported.
    pub fn last_report_at(&self, proxy: ProxyId) -> Option<Moment> {
        self.last_report_at.get(&proxy).copied()
    }

    /// When any proxy last reported.
    pub fn latest_report_at(&self) -> Option<Moment> {
        self.last_report_at.values().copied().max()
    }

    /// Drops the time of a proxy's last report, because the proxy was forgotten.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.last_report_at.remove(&proxy);
    }

    /// Totals of the reports between `from` and `to`, and the seconds that they cover, in whole report periods.
    /// Both are limited to the last `RETAINED_PERIODS` periods before `to`.
    pub fn between(&self, from: Moment, to: Moment) -> (ServiceTotalsByOperation, f64) {
        let periods = (to - from).micros() / self.period.micros().max(1);
        let count = periods.clamp(0, RETAINED_PERIODS as i64) as usize;
        let seconds = self.period.seconds() * count as f64;
        (self.window.sum_last(to, count), seconds)
    }

    /// The time up to which every one of these proxies that reports has reported. Clients that only read table
    /// streams never report; `None` if no proxy has reported.
    pub fn reported_until(&self, proxies: impl Iterator<Item = ProxyId>) -> Option<Moment> {
        proxies.filter_map(|proxy| self.last_report_at(proxy)).min()
    }
}

#[cfg(test)]
mod tests;
