//! Plausibility of reported counts and windows. One wrong count raises the estimates of a whole kind of node, and with
//! them the limits that protect warming nodes, so a report is compared with what the fleet receives.
//!
//! A rate far above its expected value is believed only if the reports before it from the same source are as high.
//! The lowest of these rates is then used.

use crate::config::Config;
use crate::error::EventError;
use crate::fleet::Fleet;
use crate::ids::{NodeId, OperationId, ProxyId, ZoneId};
use crate::lifecycle::Nodes;
use crate::membership::Membership;
use crate::node_load::LoadReport;
use crate::rates::ReportedRate;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// Thresholds of plausible reports.
struct PlausibilityRule {
    /// A count up to this is plausible at any rate: it changes no estimate much.
    small_count: f64,
    /// Multiple of a source's expected rate that is believed at once. Retries and avoided nodes can concentrate the
    /// load of a fleet on a few nodes within one report period.
    expected_ratio: f64,
    /// Multiple of a source's own mean rate that is believed at once. Wrong counts in every second report do not raise
    /// the mean step by step as long as this is below 2.28, by the weight that a report has in the mean.
    own_ratio: f64,
    /// Ratio of the fleet's requests that a single proxy may receive for one operation.
    proxy_demand_ratio: f64,
    /// Maximum attempts at one node, as a multiple of the fleet's requests.
    max_attempt_ratio: f64,
    /// Maximum successes at all nodes, as a multiple of the fleet's requests: a request succeeds once. The margin is for
    /// demand that changes between two reports.
    max_success_ratio: f64,
    /// Earlier reports that must agree with an unexpected rate.
    confirmations: u32,
    /// Multiple of the fleet's requests above which a demand report needs `confirmations_above_fleet` instead.
    fleet_demand_ratio: f64,
    confirmations_above_fleet: u32,
    /// Minimum window of a report, in report periods. A shorter window turns any count into a high rate, and the time
    /// before it would count as time without requests.
    min_window_periods: f64,
    /// Report periods by which a report's window may exceed the time since the previous report of its source.
    late_periods: f64,
}

const PLAUSIBILITY: PlausibilityRule = PlausibilityRule {
    small_count: 10.0,
    expected_ratio: 8.0,
    own_ratio: 2.0,
    proxy_demand_ratio: 0.25,
    max_attempt_ratio: 8.0,
    max_success_ratio: 1.5,
    confirmations: 1,
    fleet_demand_ratio: 8.0,
    confirmations_above_fleet: 4,
    min_window_periods: 0.1,
    late_periods: 20.0,
};

/// Rates per second of the fleet. They are 0 while no demand is known.
#[derive(Clone, Copy, Debug, Default)]
struct FleetRates {
    /// Requests at all proxies.
    requests: f64,
    /// Successes at all nodes.
    successes: f64,
    /// Requests that a node gets if all nodes get the same.
    requests_per_node: f64,
    /// Mean requests of one operation at one proxy.
    requests_per_proxy_operation: f64,
}

/// Conditions under which a reported rate is believed.
#[derive(Clone, Copy, Debug)]
struct RateLimits {
    /// Rates per second up to this are believed at once.
    expected: f64,
    /// Earlier reports that must agree with a higher rate.
    confirmations: u32,
}

/// Successive reports of one source whose rates exceeded the expected rate.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedRate {
    /// The lowest of these rates, per second.
    lowest: f64,
    reports: u32,
}

/// The unexpected rates that are not confirmed yet, by source.
#[derive(Clone, Debug)]
struct UnconfirmedRates<Source>(BTreeMap<Source, UnconfirmedRate>);

impl<Source> Default for UnconfirmedRates<Source> {
    fn default() -> Self {
        UnconfirmedRates(BTreeMap::new())
    }
}

impl<Source: Ord> UnconfirmedRates<Source> {
    /// Returns the ratio of a reported rate that is believed; `None` if the report is not believed.
    fn believed_ratio(&mut self, source: Source, rate: f64, limits: RateLimits) -> Option<f64> {
        if rate <= limits.expected {
            self.0.remove(&source);
            return Some(1.0);
        }
        let unconfirmed = self.0.entry(source).or_insert(UnconfirmedRate {
            lowest: rate,
            reports: 0,
        });
        unconfirmed.lowest = unconfirmed.lowest.min(rate);
        unconfirmed.reports += 1;
        if unconfirmed.reports <= limits.confirmations {
            return None;
        }
        let believed = unconfirmed.lowest;
        // A rate that goes on rising is followed with a delay of one report.
        *unconfirmed = UnconfirmedRate {
            lowest: rate,
            reports: limits.confirmations,
        };
        Some(believed / rate)
    }
}

/// Checks load reports and demand reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportCheck {
    fleet: FleetRates,
    paths: UnconfirmedRates<(NodeId, ZoneId)>,
    demands: UnconfirmedRates<(ProxyId, OperationId)>,
}

impl ReportCheck {
    /// Updates the rates with which reports are compared, and forgets nodes and proxies that are no longer known.
    /// `successes` is the rate of successes at all nodes.
    pub fn update(&mut self, nodes: &Nodes, members: &Membership, config: &Config, successes: f64) {
        let proxy_count = config.proxy_count.max(1.0);
        let known_proxies = members.proxies().len() as f64;
        // Proxies that are not known yet send requests too, as after a restart.
        let unknown_factor = (proxy_count / known_proxies.max(1.0)).max(1.0);
        let requests = members.total_demand() * unknown_factor;
        let operations = config.operations.len().max(1) as f64;
        self.fleet = FleetRates {
            requests,
            successes,
            requests_per_node: requests / nodes.open().count().max(1) as f64,
            requests_per_proxy_operation: requests / proxy_count.max(known_proxies) / operations,
        };
        self.paths.0.retain(|(node, _), _| nodes.contains(node));
        self.demands
            .0
            .retain(|(proxy, _), _| members.proxies().contains_key(proxy));
    }

    /// Returns the part of a load report that is believed. `own` are the rates that earlier reports of the same path
    /// gave.
    pub fn check_load_report<'a>(
        &mut self,
        report: &LoadReport<'a>,
        own: PathRates,
        clock: ReportClock,
    ) -> Result<LoadReport<'a>, EventError> {
        let rate = report.attempts / report.window.seconds();
        let expected = PLAUSIBILITY.expected_ratio * self.fleet.requests_per_node;
        let limits = RateLimits {
            expected: self.expected_limit(expected, own.attempts, report.window),
            confirmations: PLAUSIBILITY.confirmations,
        };
        let is_possible = clock.is_plausible(report.window, own.covered_until)
            && (rate <= limits.expected || self.is_within_demand(report, own));
        let believed_ratio = if is_possible {
            let path = (report.node, report.zone);
            self.paths.believed_ratio(path, rate, limits)
        } else {
            None
        };
        let ratio = believed_ratio.ok_or(EventError::ImplausibleLoadReport {
            node: report.node,
            attempts_per_second: rate,
            expected_per_second: limits.expected,
            window_seconds: report.window.seconds(),
        })?;
        Ok(report.scaled(ratio))
    }

    /// Whether the fleet's requests allow the attempts and successes of a report.
    fn is_within_demand(&self, report: &LoadReport, own: PathRates) -> bool {
        let seconds = report.window.seconds();
        let other_successes = (self.fleet.successes - own.successes).max(0.0);
        report.attempts / seconds <= PLAUSIBILITY.max_attempt_ratio * self.fleet.requests
            && other_successes + report.successes() / seconds
                <= PLAUSIBILITY.max_success_ratio * self.fleet.requests
    }

    /// Returns the part of the reported `requests` that is believed. `own_rate` is the demand that earlier reports
    /// gave.
    pub fn check_demand_report(
        &mut self,
        (proxy, operation): (ProxyId, OperationId),
        requests: f64,
        window: Span,
        own_rate: &ReportedRate,
        clock: ReportClock,
    ) -> Result<f64, EventError> {
        let rate = requests / window.seconds();
        let by_proxy = PLAUSIBILITY.expected_ratio * self.fleet.requests_per_proxy_operation;
        let by_fleet = PLAUSIBILITY.proxy_demand_ratio * self.fleet.requests;
        let own = own_rate.get().unwrap_or(0.0);
        let exceeds_fleet = rate > PLAUSIBILITY.fleet_demand_ratio * self.fleet.requests;
        let limits = RateLimits {
            expected: self.expected_limit(by_proxy.max(by_fleet), own, window),
            confirmations: if exceeds_fleet {
                PLAUSIBILITY.confirmations_above_fleet
            } else {
                PLAUSIBILITY.confirmations
            },
        };
        let believed_ratio = if clock.is_plausible(window, own_rate.covered_until()) {
            let source = (proxy, operation);
            self.demands.believed_ratio(source, rate, limits)
        } else {
            None
        };
        let ratio = believed_ratio.ok_or(EventError::ImplausibleDemandReport {
            proxy,
            requests_per_second: rate,
            expected_per_second: limits.expected,
            window_seconds: window.seconds(),
        })?;
        Ok(requests * ratio)
    }

    /// The rate per second up to which a source is believed at once, if the fleet's demand suggests `expected` and its
    /// earlier reports `own`. Without known demand there is nothing to compare with, so every rate is believed.
    fn expected_limit(&self, expected: f64, own: f64, window: Span) -> f64 {
        if self.fleet.requests <= 0.0 {
            return f64::INFINITY;
        }
        let small_rate = PLAUSIBILITY.small_count / window.seconds();
        expected.max(PLAUSIBILITY.own_ratio * own) + small_rate
    }
}

/// The rates per second that earlier reports of a path gave; 0 before the first one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PathRates {
    pub attempts: f64,
    pub successes: f64,
    /// Time of the latest report.
    pub covered_until: Option<Moment>,
}

/// The times that bound the window of a report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportClock {
    now: Moment,
    started_at: Moment,
    period: Span,
}

impl ReportClock {
    /// The current times of a fleet.
    pub fn new(fleet: &Fleet) -> ReportClock {
        ReportClock {
            now: fleet.now,
            started_at: fleet.members.started_at(),
            period: fleet.timing.period(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Whether a window can be true: reports of one source do not overlap, though they may arrive late.
    /// `covered_until` is the time of the source's previous report.
    fn is_plausible(&self, window: Span, covered_until: Option<Moment>) -> bool {
        let previous_at = covered_until.unwrap_or(self.started_at);
        window >= self.period * PLAUSIBILITY.min_window_periods
            && window <= self.now - previous_at + self.period * PLAUSIBILITY.late_periods
    }
}
