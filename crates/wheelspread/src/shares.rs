//! Node weights and the shares computed from them. Pure functions.

use crate::ids::{NodeId, TableId};
use crate::pcg::Pcg;
use std::collections::BTreeMap;

/// Weights, shares or rates by node.
pub(crate) type NodeWeights = BTreeMap<NodeId, f64>;
/// Weights, shares or rates by table and node.
pub(crate) type TableWeights = BTreeMap<TableId, NodeWeights>;

/// The weights divided by their sum; all 0 if the sum is 0.
pub(crate) fn shares(weights: &NodeWeights) -> NodeWeights {
    let sum: f64 = weights.values().sum();
    weights
        .iter()
        .map(|(id, weight)| (*id, weight / sum.max(1e-9)))
        .collect()
}

/// The weight of a node in a table; 0 without an entry.
pub(crate) fn weight_of(weights: &TableWeights, table: TableId, node: NodeId) -> f64 {
    weights
        .get(&table)
        .and_then(|entries| entries.get(&node))
        .copied()
        .unwrap_or(0.0)
}

/// A pseudorandom number that is always the same for a node; it determines the order of the nodes of a zone.
pub(crate) fn node_order_key(id: NodeId) -> u32 {
    Pcg::new(u64::from(u32::from_le_bytes(id.address)) << 16 | u64::from(id.port)).draw()
}
