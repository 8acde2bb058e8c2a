//! Outlier detection: ejects a node from a zone's tables while most attempts from that zone to the node fail.

use crate::ids::{NodeId, ZoneId};
use crate::lifecycle::Nodes;
use crate::node_load::{AttemptStats, LoadReport};
use crate::pcg::Pcg;
use crate::rates::ReportedRate;
use crate::report_check::PathRates;
use crate::report_timing::ReportTiming;
use crate::rolling_window::RollingWindow;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The health of a node as observed from one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// The node gets its normal share of traffic.
    Healthy,
    /// The node has no entries in the zone's tables.
    Ejected,
    /// The node gets a small share of traffic, to find out whether it has recovered.
    Probation,
}

/// An input of the health state, from recent attempts or the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthInput {
    /// Most recent attempts failed.
    Failing,
    /// Enough recent attempts succeeded.
    Working,
    /// The ejection time has passed.
    EjectionOver,
}

/// Thresholds of outlier detection.
struct DetectionThresholds {
    /// Report cycles over which attempts are counted.
    cycles: f64,
    /// Ratio of failures to attempts above which a node is an outlier.
    min_failure_ratio: f64,
    /// Ratio of failures to attempts from the zone to other nodes, from which the single node does not count as the
    /// cause of its failures.
    max_others_failure_ratio: f64,
    /// Minimum failures for an ejection (on probation one less), and minimum successes to end probation.
    min_attempts: f64,
    /// Mean latency, as a ratio of the shortest latency objective, above which a node's failures count as caused by its
    /// load.
    overload_latency_ratio: f64,
    /// Ratio of the nodes that take new requests. An ejection that would reach it is not made: when so many fail, the
    /// cause is not a single node.
    max_ejected_ratio: f64,
}

const DETECTION_THRESHOLDS: DetectionThresholds = DetectionThresholds {
    cycles: 5.0,
    min_failure_ratio: 0.8,
    max_others_failure_ratio: 0.4,
    min_attempts: 3.0,
    overload_latency_ratio: 0.7,
    max_ejected_ratio: 0.34,
};

/// How long a node stays ejected.
struct EjectionTimeRule {
    /// Duration of the first ejection, as a multiple of a report cycle plus the maximum queue delay; randomized by
    /// up to 10 %.
    first_ratio: f64,
    /// Factor of the duration after each failed probation.
    growth: f64,
    /// Maximum duration, as a multiple of a first ejection without its randomization.
    max_ratio: f64,
}

const EJECTION_TIME: EjectionTimeRule = EjectionTimeRule {
    first_ratio: 4.0,
    growth: 1.5,
    max_ratio: 4.0,
};

/// Ratio of a node's capacity that is used during probation.
const PROBATION_RATIO: f64 = 0.2;
/// Minimum ratio of a node's capacity that is used while the node counts as healthy.
const MIN_HEALTHY_RATIO: f64 = 0.05;
/// Number of buckets in a path's window of attempts; each covers a report period.
const WINDOW_BUCKETS: usize = 24;

/// A path: what the proxies of one zone observe at one node.
#[derive(Clone, Debug)]
pub(crate) struct Path {
    state: HealthState,
    /// Start of the current state.
    since: Moment,
    /// Duration of the current or latest ejection.
    ejection_time: Span,
    attempts: ReportedRate,
    successes: ReportedRate,
    last_report_at: Moment,
    window: RollingWindow<AttemptStats>,
}

impl Path {
    fn new(now: Moment, period: Span) -> Path {
        Path {
            state: HealthState::Healthy,
            since: now,
            ejection_time: Span::ZERO,
            attempts: ReportedRate::default(),
            successes: ReportedRate::default(),
            last_report_at: now,
            window: RollingWindow::new(period, WINDOW_BUCKETS),
        }
    }

    /// Attempts per second; `None` before the first report.
    pub fn attempt_rate(&self) -> Option<f64> {
        self.attempts.get()
    }

    /// Time of the latest load report for this path.
    pub fn last_report_at(&self) -> Moment {
        self.last_report_at
    }

    /// Attempts and failures in the last `bucket_count` report periods.
    pub fn recent(&self, now: Moment, bucket_count: usize) -> AttemptStats {
        self.window.sum_last(now, bucket_count)
    }
}

/// Recent observations of a zone's proxies, summed over all nodes, and the number of nodes ejected for the zone.
#[derive(Clone, Copy, Default)]
struct ZoneHealth {
    recent: AttemptStats,
    ejected: usize,
}

/// Input of outlier detection, in addition to the paths.
pub(crate) struct DetectionInput<'a> {
    pub nodes: &'a Nodes,
    pub timing: &'a ReportTiming,
    /// Maximum time until an update reaches a proxy.
    pub max_queue_delay: Span,
    /// The shortest latency objective, in seconds.
    pub objective: f64,
    pub now: Moment,
}

/// All paths, with the health states that follow from their observations.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outliers {
    paths: BTreeMap<(NodeId, ZoneId), Path>,
}

impl Outliers {
    /// Adds a node's load report to its path.
    pub fn on_load_report(&mut self, report: &LoadReport, timing: &ReportTiming, now: Moment) {
        let (period, time_constant) = (timing.period(), timing.time_constant());
        let previous_at = timing.previous_at();
        let path = self
            .paths
            .entry((report.node, report.zone))
            .or_insert_with(|| Path::new(now, period));
        path.attempts.add(
            report.attempts,
            report.window,
            time_constant,
            now,
            previous_at,
        );
        path.successes.add(
            report.successes(),
            report.window,
            time_constant,
            now,
            previous_at,
        );
        path.last_report_at = now;
        // On probation, a report is not counted if its window, extended by half a report period, began before the
        // probation: it covers earlier attempts.
        let window_start = now - report.window - period * 0.5;
        if path.state != HealthState::Probation || window_start > path.since {
            let recent = AttemptStats {
                attempts: report.attempts,
                failures: report.failures,
                success_seconds: 0.0,
            };
            path.window.add(now, recent);
        }
    }

    /// The rates that the reports of a path gave.
    pub fn path_rates(&self, id: NodeId, zone: ZoneId) -> PathRates {
        let rates = |path: &Path| PathRates {
            attempts: path.attempts.get().unwrap_or(0.0),
            successes: path.successes.get().unwrap_or(0.0),
            covered_until: path.attempts.covered_until(),
        };
        self.paths.get(&(id, zone)).map(rates).unwrap_or_default()
    }

    /// Records that a report of this path arrived and is not believed.
    pub fn skip_load_report(&mut self, report: &LoadReport, now: Moment) {
        if let Some(path) = self.paths.get_mut(&(report.node, report.zone)) {
            path.attempts.skip_until(now);
            path.successes.skip_until(now);
            path.last_report_at = now;
        }
    }

    /// Removes all paths to a node.
    pub fn remove_node(&mut self, id: NodeId) {
        self.paths.retain(|key, _| key.0 != id);
    }

    /// Removes paths to unknown nodes: a late report can leave a path to a node that was removed.
    pub fn remove_unknown(&mut self, nodes: &Nodes) {
        self.paths.retain(|(node, _), _| nodes.contains(node));
    }

    /// All paths, by node and zone.
    pub fn paths(&self) -> impl Iterator<Item = (&(NodeId, ZoneId), &Path)> {
        self.paths.iter()
    }

    /// Successes per second at a node for this controller's proxies, over the paths that were reported since `since`.
    pub fn success_rate(&self, id: NodeId, since: Moment) -> f64 {
        let zone_paths = self.paths.range((id, ZoneId(0))..=(id, ZoneId(u16::MAX)));
        zone_paths
            .filter(|(_, path)| path.last_report_at >= since)
            .filter_map(|(_, path)| path.successes.get())
            .sum()
    }

    /// Successes per second at all nodes, over the paths that were reported since `since`.
    pub fn total_success_rate(&self, since: Moment) -> f64 {
        let reported = self
            .paths
            .values()
            .filter(|path| path.last_report_at >= since);
        reported.filter_map(|path| path.successes.get()).sum()
    }

    /// Attempts and failures in the last `bucket_count` report periods, summed over all paths.
    pub fn recent(&self, now: Moment, bucket_count: usize) -> AttemptStats {
        let mut sum = AttemptStats::default();
        self.paths
            .values()
            .for_each(|path| sum += path.recent(now, bucket_count));
        sum
    }

    /// Ejects a node from a zone's tables when most attempts to it fail and most attempts to other nodes do not,
    /// whatever the cause: no response, fast failures, or a network partition between this zone and the node. When many
    /// nodes fail, none is ejected, as the cause is not a single node. A node that responds slowly is not ejected
    /// either: its failures are caused by its load, and its weight is reduced instead. Each ejection raises the load of
    /// the other nodes; the maximum ratio of ejected nodes limits that.
    ///
    /// Returns whether any state changed.
    pub fn detect_outliers(&mut self, input: &DetectionInput, random: &mut Pcg) -> bool {
        let first = (input.timing.cycle() + input.max_queue_delay) * EJECTION_TIME.first_ratio;
        let bucket_count = input.timing.bucket_count(DETECTION_THRESHOLDS.cycles);
        let open_nodes = input.nodes.open().count() as f64;
        let mut zones = self.zone_health(input.now, bucket_count);
        let mut has_changed = false;
        for key in self.paths.keys().copied().collect::<Vec<_>>() {
            let (path, zone) = (&self.paths[&key], zones[&key.1]);
            let Some(health) = path.health_input(key.0, zone, bucket_count, open_nodes, input)
            else {
                continue;
            };
            let Some(state) = next_state(path.state, health) else {
                continue;
            };
            let ejection_time = match (path.state, state) {
                (HealthState::Healthy, HealthState::Ejected) => first * (0.9 + 0.2 * random.unit()),
                (HealthState::Probation, HealthState::Ejected) => {
                    (path.ejection_time * EJECTION_TIME.growth).min(first * EJECTION_TIME.max_ratio)
                }
                _ => path.ejection_time,
            };
            if let Some(zone) = zones.get_mut(&key.1) {
                zone.ejected += usize::from(state == HealthState::Ejected);
            }
            let new_path = Path::new(input.now, input.timing.period());
            self.paths.insert(
                key,
                Path {
                    state,
                    ejection_time,
                    ..new_path
                },
            );
            has_changed = true;
        }
        has_changed
    }

    /// Sums the recent observations and the ejected nodes of each zone.
    fn zone_health(&self, now: Moment, bucket_count: usize) -> BTreeMap<ZoneId, ZoneHealth> {
        let mut zones = BTreeMap::<ZoneId, ZoneHealth>::new();
        for ((_, zone), path) in &self.paths {
            let sum = zones.entry(*zone).or_default();
            sum.recent += path.recent(now, bucket_count);
            sum.ejected += usize::from(path.state == HealthState::Ejected);
        }
        zones
    }

    /// The ratio of a node's capacity that a zone should use: 0 while the node is ejected, `PROBATION_RATIO` during
    /// probation. For a healthy node that fails some attempts it is the square root of the ratio of successes, which is
    /// higher than that ratio: failed attempts are retried, while avoiding the node would overload the others.
    pub fn usable_ratio(
        &self,
        id: NodeId,
        zone: ZoneId,
        timing: &ReportTiming,
        now: Moment,
    ) -> f64 {
        let Some(path) = self.paths.get(&(id, zone)) else {
            return 1.0;
        };
        match path.state {
            HealthState::Healthy => {
                let recent = path.recent(now, timing.bucket_count(DETECTION_THRESHOLDS.cycles));
                let failure_ratio = (recent.failures - 1.0).max(0.0) / (recent.attempts + 2.0);
                (1.0 - failure_ratio).sqrt().max(MIN_HEALTHY_RATIO)
            }
            HealthState::Probation => PROBATION_RATIO,
            HealthState::Ejected => 0.0,
        }
    }
}

impl Path {
    /// The input that follows from this path's recent attempts and the clock; `None` if the state must not change.
    fn health_input(
        &self,
        node: NodeId,
        zone: ZoneHealth,
        bucket_count: usize,
        open_nodes: f64,
        input: &DetectionInput,
    ) -> Option<HealthInput> {
        let recent = self.recent(input.now, bucket_count);
        let others_failure_ratio = (zone.recent.failures - recent.failures)
            / (zone.recent.attempts - recent.attempts).max(1.0);
        let successes = recent.attempts - recent.failures;
        let latency = input.nodes.get(&node).and_then(|node| node.load.latency());
        let is_overloaded = successes >= DETECTION_THRESHOLDS.min_attempts
            && latency.unwrap_or(0.0)
                > input.objective * DETECTION_THRESHOLDS.overload_latency_ratio;
        let is_failing = others_failure_ratio < DETECTION_THRESHOLDS.max_others_failure_ratio
            && recent.failures > recent.attempts * DETECTION_THRESHOLDS.min_failure_ratio;
        let is_ejection_limit_reached =
            (zone.ejected + 1) as f64 >= open_nodes * DETECTION_THRESHOLDS.max_ejected_ratio;
        match self.state {
            HealthState::Healthy if is_overloaded || is_ejection_limit_reached => None,
            HealthState::Healthy => (is_failing
                && recent.failures >= DETECTION_THRESHOLDS.min_attempts)
                .then_some(HealthInput::Failing),
            HealthState::Ejected => {
                (input.now - self.since > self.ejection_time).then_some(HealthInput::EjectionOver)
            }
            HealthState::Probation
                if is_failing && recent.failures >= DETECTION_THRESHOLDS.min_attempts - 1.0 =>
            {
                Some(HealthInput::Failing)
            }
            HealthState::Probation => {
                (successes >= DETECTION_THRESHOLDS.min_attempts).then_some(HealthInput::Working)
            }
        }
    }
}

/// The next state; `None` if the input does not change the state.
fn next_state(state: HealthState, input: HealthInput) -> Option<HealthState> {
    match (state, input) {
        (HealthState::Healthy, HealthInput::Failing) => Some(HealthState::Ejected),
        (HealthState::Healthy, HealthInput::Working | HealthInput::EjectionOver) => None,
        (HealthState::Ejected, HealthInput::EjectionOver) => Some(HealthState::Probation),
        (HealthState::Ejected, HealthInput::Failing | HealthInput::Working) => None,
        (HealthState::Probation, HealthInput::Failing) => Some(HealthState::Ejected),
        (HealthState::Probation, HealthInput::Working) => Some(HealthState::Healthy),
        (HealthState::Probation, HealthInput::EjectionOver) => None,
    }
}
