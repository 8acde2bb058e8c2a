//! How busy the fleet is, as load reports measure it.

use crate::fleet::Fleet;
use crate::lifecycle::Node;
use crate::outlier::Path;

/// Measured load, of 1, and what follows from it.
pub(crate) struct LoadThresholds {
    /// Cuts from there on.
    pub overload: f64,
    /// Calm below, after some report cycles.
    pub low: f64,
    pub low_cycles: f64,
    /// Failures by attempts at busy nodes: with more, the fleet is overrun whatever else is measured.
    overload_failure_ratio: f64,
    /// Report cycles over which those are counted.
    failure_cycles: f64,
}

pub(crate) const LOAD_THRESHOLDS: LoadThresholds = LoadThresholds {
    overload: 0.72,
    low: 0.6,
    low_cycles: 8.0,
    overload_failure_ratio: 0.06,
    failure_cycles: 2.0,
};

/// How busy the fleet is as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetLoad {
    Low,
    Normal,
    Overloaded,
}

/// Mean utilization of all open nodes, by the attempts they get, of 1; full when many attempts fail at nodes that
/// are busy or report nothing. Failures elsewhere are not the load's: to admit less mends none.
pub(crate) fn measured_load(fleet: &Fleet) -> f64 {
    let bucket_count = fleet.timing.bucket_count(LOAD_THRESHOLDS.failure_cycles);
    let (mut attempts, mut overload_failures) = (0.0, 0.0);
    for (node, path) in open_paths(fleet) {
        let recent = path.recent(fleet.now, bucket_count);
        attempts += recent.attempts;
        let utilization = fleet.capacity.utilization(node);
        if utilization.is_none_or(|utilization| utilization >= LOAD_THRESHOLDS.low) {
            overload_failures += recent.failures;
        }
    }
    if overload_failures > attempts * LOAD_THRESHOLDS.overload_failure_ratio {
        1.0
    } else {
        mean_utilization(fleet, |_| true)
    }
}

pub(crate) fn mean_utilization(fleet: &Fleet, is_included: impl Fn(&Node) -> bool) -> f64 {
    let (mut sum, mut rate_sum) = (0.0, 0.0);
    for (node, path) in open_paths(fleet).filter(|(node, _)| is_included(node)) {
        if let Some(utilization) = fleet.capacity.utilization(node) {
            let rate = path.attempt_rate().unwrap_or(0.0);
            (sum, rate_sum) = (sum + rate * utilization, rate_sum + rate);
        }
    }
    sum / rate_sum.max(1e-6)
}

fn open_paths(fleet: &Fleet) -> impl Iterator<Item = (&Node, &Path)> {
    fleet.outliers.paths().filter_map(|((id, _), path)| {
        let node = fleet.nodes.get(id).filter(|node| node.is_open())?;
        Some((node, path))
    })
}
