//! Whom a fault strikes: samples by the drill's seed. The order of draws is part of what a seed stands for.

use super::super::Drill;
use crate::stand_in_server::NodeKey;
use std::collections::BTreeSet;

/// How many of `total` a part is, one at least.
pub(super) fn sample_size(total: usize, ratio: f64) -> usize {
    ((total as f64 * ratio).round() as usize).max(1)
}

impl Drill<'_> {
    /// A random sample of this size, in the order of the candidates' numbers.
    fn sample(&mut self, count: usize, candidates: Vec<usize>) -> Vec<usize> {
        let mut left = candidates;
        let mut chosen = BTreeSet::new();
        while chosen.len() < count && !left.is_empty() {
            let at = (self.rng.unit() * left.len() as f64) as usize;
            chosen.insert(left.swap_remove(at.min(left.len() - 1)));
        }
        chosen.into_iter().collect()
    }

    /// Some of the nodes that neither drain nor are gone.
    pub(super) fn sample_nodes(&mut self, ratio: f64) -> Vec<usize> {
        let open: Vec<usize> = (0..self.fleet.len())
            .filter(|at| !self.fleet[*at].gone && !self.fleet[*at].draining)
            .collect();
        self.sample(sample_size(open.len(), ratio), open)
    }

    /// The same, by their keys at the stand-in servers.
    pub(super) fn sample_node_keys(&mut self, ratio: f64) -> Vec<NodeKey> {
        let nodes = self.sample_nodes(ratio);
        nodes.iter().map(|node| self.fleet[*node].key).collect()
    }

    /// Some of the proxies.
    pub(super) fn sample_proxies(&mut self, ratio: f64) -> Vec<usize> {
        let total = self.script.proxies;
        self.sample(sample_size(total, ratio), (0..total).collect())
    }

    /// Some of the controllers.
    pub(super) fn sample_controllers(&mut self, ratio: f64) -> Vec<usize> {
        let total = self.controllers.len();
        self.sample(sample_size(total, ratio), (0..total).collect())
    }
}
