//! Outlier detection: takes a node out of a zone's tables while most attempts from that zone fail there.

use crate::ids::{NodeId, ZoneId};
use crate::lifecycle::Nodes;
use crate::node_load::{AttemptStats, LoadReport};
use crate::pcg::Pcg;
use crate::rates::ReportedRate;
use crate::report_timing::ReportTiming;
use crate::rolling_window::RollingWindow;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// How a zone's proxies find a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthState {
    /// It gets its share.
    Healthy,
    /// It is out of the zone's tables.
    Ejected,
    /// It gets a small share, to see whether it works again.
    Probation,
}

/// What recent attempts and the clock say of an outlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HealthInput {
    Failing,
    Working,
    EjectionOver,
}

/// What counts as failing.
struct DetectionThresholds {
    /// Report cycles that are looked at.
    cycles: f64,
    /// Failures by attempts, from where a node is an outlier.
    min_failure_ratio: f64,
    /// Failures by attempts at the zone's other nodes: with more, the node is not to blame.
    max_others_failure_ratio: f64,
    /// Least number of failures, or of successes on probation.
    min_attempts: f64,
    /// Of the latency objective: failures of a node slower than that are its load's.
    overload_latency_ratio: f64,
    /// Of the open nodes: with so many ejected or failing, no single node is to blame.
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
struct EjectionTime {
    /// To a report cycle and the longest delay of the channel.
    first_ratio: f64,
    /// Growth after each probation that failed.
    growth: f64,
    /// The most, to the first.
    max_ratio: f64,
}

const EJECTION_TIME: EjectionTime = EjectionTime {
    first_ratio: 4.0,
    growth: 1.5,
    max_ratio: 4.0,
};

/// To the capacity that is usable at a healthy node.
const PROBATION_RATIO: f64 = 0.2;
const MIN_HEALTHY_RATIO: f64 = 0.05;
/// Buckets of the window of attempts, a report period each.
const WINDOW_BUCKETS: usize = 24;

/// What the proxies of one zone observe at one node.
#[derive(Clone, Debug)]
pub(crate) struct Path {
    state: HealthState,
    /// When the state began.
    since: Moment,
    ejected_for: Span,
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
            ejected_for: Span::ZERO,
            attempts: ReportedRate::default(),
            successes: ReportedRate::default(),
            last_report_at: now,
            window: RollingWindow::new(period, WINDOW_BUCKETS),
        }
    }

    /// Attempts per second.
    pub fn attempt_rate(&self) -> Option<f64> {
        self.attempts.get()
    }

    /// When it was last reported.
    pub fn last_report_at(&self) -> Moment {
        self.last_report_at
    }

    /// Attempts and failures of the last so many buckets.
    pub fn recent(&self, now: Moment, bucket_count: usize) -> AttemptStats {
        self.window.sum_last(now, bucket_count)
    }
}

/// What a zone's proxies observed lately, over all nodes.
#[derive(Clone, Copy, Default)]
struct ZoneHealth {
    recent: AttemptStats,
    ejected: usize,
}

/// What detection goes by, beside the paths.
pub(crate) struct DetectionInput<'a> {
    pub nodes: &'a Nodes,
    pub timing: &'a ReportTiming,
    /// Longest time on the way to a proxy.
    pub max_queue_delay: Span,
    /// The shortest latency objective, in seconds.
    pub objective: f64,
    pub now: Moment,
}

/// Everything that zones observe at nodes, and the health that follows from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outliers {
    paths: BTreeMap<(NodeId, ZoneId), Path>,
}

impl Outliers {
    /// Takes in a node's load report.
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
        // Evidence is as old as its window: reports from before probation began say nothing of it.
        let window_start = now - report.window - period * 0.5;
        if path.state != HealthState::Probation || window_start > path.since {
            let recent = AttemptStats {
                attempts: report.attempts,
                failures: report.failures,
                seconds: 0.0,
            };
            path.window.add(now, recent);
        }
    }

    /// Forgets what was observed at a node.
    pub fn remove_node(&mut self, id: NodeId) {
        self.paths.retain(|key, _| key.0 != id);
    }

    /// Forgets nodes that are no longer known: reports that come late leave a path at a node that is long gone.
    pub fn remove_unknown(&mut self, nodes: &Nodes) {
        self.paths.retain(|(node, _), _| nodes.contains(node));
    }

    /// All paths, by node and zone.
    pub fn paths(&self) -> impl Iterator<Item = (&(NodeId, ZoneId), &Path)> {
        self.paths.iter()
    }

    /// What a node is seen to serve for own proxies, by reports since `since`.
    pub fn success_rate(&self, id: NodeId, since: Moment) -> f64 {
        let zone_paths = self.paths.range((id, ZoneId(0))..=(id, ZoneId(u16::MAX)));
        zone_paths
            .filter(|(_, path)| path.last_report_at >= since)
            .filter_map(|(_, path)| path.successes.get())
            .sum()
    }

    /// Attempts and failures of the last so many buckets, everywhere.
    pub fn recent(&self, now: Moment, bucket_count: usize) -> AttemptStats {
        let mut sum = AttemptStats::default();
        self.paths
            .values()
            .for_each(|path| sum += path.recent(now, bucket_count));
        sum
    }

    /// Ejects a node from a zone's tables when most attempts fail there and not elsewhere, whatever the cause
    /// (silent, failing fast, cut off from this zone only). When many nodes fail alike none is to blame and
    /// none is ejected; nor is one that answers slowly, as its failures are its load's and its weight falls
    /// instead. Harm: the others carry more, which the bound on ejected nodes keeps small.
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
            let ejected_for = match (path.state, state) {
                (HealthState::Healthy, HealthState::Ejected) => first * (0.9 + 0.2 * random.unit()),
                (HealthState::Probation, HealthState::Ejected) => {
                    (path.ejected_for * EJECTION_TIME.growth).min(first * EJECTION_TIME.max_ratio)
                }
                _ => path.ejected_for,
            };
            if let Some(zone) = zones.get_mut(&key.1) {
                zone.ejected += usize::from(state == HealthState::Ejected);
            }
            let new_path = Path::new(input.now, input.timing.period());
            self.paths.insert(
                key,
                Path {
                    state,
                    ejected_for,
                    ..new_path
                },
            );
            has_changed = true;
        }
        has_changed
    }

    fn zone_health(&self, now: Moment, bucket_count: usize) -> BTreeMap<ZoneId, ZoneHealth> {
        let mut zones = BTreeMap::<ZoneId, ZoneHealth>::new();
        for ((_, zone), path) in &self.paths {
            let sum = zones.entry(*zone).or_default();
            sum.recent += path.recent(now, bucket_count);
            sum.ejected += usize::from(path.state == HealthState::Ejected);
        }
        zones
    }

    /// The part of a node's capacity that a zone should use. A node that fails in part gets less, by the root
    /// of what works: an attempt that fails is retried, but a node that is avoided overloads the others.
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
    /// What this path's recent attempts say; `None`: nothing new.
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
                (input.now - self.since > self.ejected_for).then_some(HealthInput::EjectionOver)
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

/// The next state; `None` where the input changes nothing.
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
