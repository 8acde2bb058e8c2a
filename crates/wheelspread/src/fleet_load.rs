//! The load of the whole fleet, measured by load reports.

use crate::fleet::Fleet;
use crate::lifecycle::Node;
use crate::outlier::Path;

/// Thresholds of the measured load; a load of 1 is full utilization.
pub(crate) struct LoadThresholds {
    /// Load from which the fleet is overloaded and admission is cut.
    pub overload: f64,
    /// Load below which the fleet's load counts as low if it stayed there for `low_cycles`; also the utilization from
    /// which a node counts as busy.
    pub low: f64,
    /// Report cycles for which the load must stay below `low`.
    pub low_cycles: f64,
    /// Ratio of failures at nodes that are busy or of unknown utilization to all attempts, above which the fleet counts
    /// as fully loaded whatever its utilization.
    overload_failure_ratio: f64,
    /// Report cycles over which failures and attempts are counted.
    failure_cycles: f64,
}

pub(crate) const LOAD_THRESHOLDS: LoadThresholds = LoadThresholds {
    overload: 0.72,
    low: 0.6,
    low_cycles: 8.0,
    overload_failure_ratio: 0.06,
    failure_cycles: 2.0,
};

/// The load level of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetLoad {
    /// Below `LoadThresholds::low` for `LoadThresholds::low_cycles`.
    Low,
    /// Neither low nor overloaded.
    Normal,
    /// At or above `LoadThresholds::overload`.
    Overloaded,
}

/// Mean utilization of the nodes that take new requests, weighted by their attempts per second. The result is 1 when
/// many attempts fail at nodes that are busy or whose utilization is unknown. Failures at other nodes are not caused
/// by load, so admitting fewer requests would not prevent them.
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

/// Mean utilization of the included nodes that take new requests, weighted by their attempts per second; 0 if none is
/// known.
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

/// The paths to nodes that take new requests.
fn open_paths(fleet: &Fleet) -> impl Iterator<Item = (&Node, &Path)> {
    fleet.outliers.paths().filter_map(|((id, _), path)| {
        let node = fleet.nodes.get(id).filter(|node| node.is_open())?;
        Some((node, path))
    })
}
