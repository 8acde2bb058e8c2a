//! Random samples of the targets of faults, by the seed of the drill. A seed reproduces a drill only if the
//! order of draws stays the same.

use super::super::Drill;
use crate::stand_in_server::NodeKey;
use std::collections::BTreeSet;

/// The rounded product of `total` and `ratio`, at least 1.
pub(super) fn sample_size(total: usize, ratio: f64) -> usize {
    ((total as f64 * ratio).round() as usize).max(1)
}

impl Drill<'_> {
    /// A random sample of `count` candidates, in ascending order.
    fn sample(&mut self, count: usize, candidates: Vec<usize>) -> Vec<usize> {
        let mut left = candidates;
        let mut chosen = BTreeSet::new();
        while chosen.len() < count && !left.is_empty() {
            let at = (self.rng.unit() * left.len() as f64) as usize;
            chosen.insert(left.swap_remove(at.min(left.len() - 1)));
        }
        chosen.into_iter().collect()
    }

    /// A sample of the nodes that are neither draining nor stopped.
    pub(super) fn sample_nodes(&mut self, ratio: f64) -> Vec<usize> {
        let open: Vec<usize> = (0..self.fleet.len())
            .filter(|at| !self.fleet[*at].stopped && !self.fleet[*at].draining)
            .collect();
        self.sample(sample_size(open.len(), ratio), open)
    }

    /// A sample of the same nodes, as keys of the stand-in servers.
    pub(super) fn sample_node_keys(&mut self, ratio: f64) -> Vec<NodeKey> {
        let nodes = self.sample_nodes(ratio);
        nodes.iter().map(|node| self.fleet[*node].key).collect()
    }

    /// A sample of the proxies.
    pub(super) fn sample_proxies(&mut self, ratio: f64) -> Vec<usize> {
        let total = self.script.proxies;
        self.sample(sample_size(total, ratio), (0..total).collect())
    }

    /// A sample of the controllers.
    pub(super) fn sample_controllers(&mut self, ratio: f64) -> Vec<usize> {
        let total = self.controllers.len();
        self.sample(sample_size(total, ratio), (0..total).collect())
    }
}
