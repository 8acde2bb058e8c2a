//! What proxies reported of the service they gave, over the last minutes: by zone and operation, in buckets
//! of the report period that a rolling window reuses. Configuration changes are judged by it.

use crate::load_report::{LoadReport, NodeReport, OperationReport, LATENCY};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use wheelspread::ids::{OperationId, ProxyId, ZoneId};
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

const MILLISECONDS_PER_SECOND: f64 = 1e3;
/// Report periods that are retained.
const RETAINED_PERIODS: usize = 300;

/// Requests, but for `attempts` and `failures`, which count every attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that came.
    pub requests: f64,
    /// Requests that succeeded.
    pub succeeded: f64,
    /// Requests that proxies rejected.
    pub rate_limited: f64,
    /// Attempts.
    pub attempts: f64,
    /// Attempts that failed.
    pub failures: f64,
    /// How many were timed,
    pub timed: f64,
    /// and how long they took together, in seconds.
    pub latency_seconds: f64,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, more: Tally) {
        self.requests += more.requests;
        self.succeeded += more.succeeded;
        self.rate_limited += more.rate_limited;
        self.attempts += more.attempts;
        self.failures += more.failures;
        self.timed += more.timed;
        self.latency_seconds += more.latency_seconds;
    }
}

impl Tally {
    fn add_node(&mut self, report: &NodeReport) {
        self.succeeded += report.succeeded as f64;
        self.failures += report.errored as f64;
        self.attempts += report.attempts();
        let latency = report.metrics.get(LATENCY);
        if let Some((latency, mean)) = latency.and_then(|metric| Some((metric, metric.mean()?))) {
            self.timed += latency.count as f64;
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

/// By zone of the proxy and operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tallies(pub BTreeMap<(ZoneId, OperationId), Tally>);

impl AddAssign for Tallies {
    fn add_assign(&mut self, more: Tallies) {
        for (key, tally) in more.0 {
            *self.0.entry(key).or_default() += tally;
        }
    }
}

impl Tallies {
    /// One operation's, over all zones.
    pub fn of(&self, operation: OperationId) -> Tally {
        let mut total = Tally::default();
        for ((_, of), tally) in &self.0 {
            if *of == operation {
                total += *tally;
            }
        }
        total
    }
}

/// The last periods, and when each proxy last reported.
#[derive(Clone, Debug)]
pub struct ServiceHistory {
    period: Span,
    window: RollingWindow<Tallies>,
    last_report_at: BTreeMap<ProxyId, Moment>,
}

impl ServiceHistory {
    /// An empty history of buckets of this width.
    pub fn new(period: Span) -> ServiceHistory {
        ServiceHistory {
            period,
            window: RollingWindow::new(period, RETAINED_PERIODS),
            last_report_at: BTreeMap::new(),
        }
    }

    /// Adds a report that passed the checks; `operation_id` looks up a name.
    pub fn record(
        &mut self,
        now: Moment,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadReport,
        operation_id: impl Fn(&str) -> Option<OperationId>,
    ) {
        self.last_report_at.insert(proxy, now);
        let mut tallies = Tallies::default();
        for of_operation in &report.operations {
            if let Some(operation) = operation_id(&of_operation.operation) {
                let tally = tallies.0.entry((zone, operation)).or_default();
                tally.add_operation(of_operation);
            }
        }
        self.window.add(now, tallies);
    }

    /// When a proxy last reported.
    pub fn last_report_at(&self, proxy: ProxyId) -> Option<Moment> {
        self.last_report_at.get(&proxy).copied()
    }

    /// When any proxy last reported.
    pub fn latest_report_at(&self) -> Option<Moment> {
        self.last_report_at.values().copied().max()
    }

    /// A proxy was forgotten.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.last_report_at.remove(&proxy);
    }

    /// What was reported from `from` up to `to`, and over how many seconds; what is older than the window is
    /// left out.
    pub fn between(&self, from: Moment, to: Moment) -> (Tallies, f64) {
        let periods = (to - from).micros() / self.period.micros().max(1);
        let count = periods.clamp(0, RETAINED_PERIODS as i64) as usize;
        let seconds = self.period.seconds() * count as f64;
        (self.window.sum_last(to, count), seconds)
    }

    /// Up to when all of these proxies that report have reported. Some never do, as clients that only read
    /// streams of tables; `None` if that is all of them.
    pub fn known_until(&self, proxies: impl Iterator<Item = ProxyId>) -> Option<Moment> {
        proxies.filter_map(|proxy| self.last_report_at(proxy)).min()
    }
}

#[cfg(test)]
mod tests;
