//! What gateways tell of nodes that should get nothing any more: who has reported since a moment, and how often
//! they tried such a node in spans that began after it.

use crate::load_report::LoadReport;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, ProxyId};
use wheelspread::time::Moment;

#[derive(Clone, Debug, Default)]
struct Watched {
    since: Moment,
    tries: u64,
    heard: BTreeSet<ProxyId>,
}

#[derive(Clone, Debug, Default)]
pub struct DrainEvidence {
    nodes: BTreeMap<NodeId, Watched>,
}

/// What is known of a node that should get nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceSummary {
    /// Joined gateways that hold a table which names it, or of which it is not known what they hold.
    pub named_by: usize,
    pub gateways: usize,
    pub tries: u64,
    pub heard: usize,
}

impl DrainEvidence {
    /// From now on tries at the node count.
    pub fn watch(&mut self, now: Moment, node: NodeId) {
        self.nodes.insert(
            node,
            Watched {
                since: now,
                ..Watched::default()
            },
        );
    }

    pub fn leave(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    pub fn hear(&mut self, now: Moment, proxy: ProxyId, report: &LoadReport) {
        let began = now - report.over;
        for (node, watched) in self
            .nodes
            .iter_mut()
            .filter(|(_, watched)| began >= watched.since)
        {
            watched.heard.insert(proxy);
            let met = report
                .operations
                .iter()
                .flat_map(|operation| &operation.nodes);
            let met = met.filter(|met| met.node == Some(*node));
            watched.tries += met
                .map(|met| met.succeeded.saturating_add(met.errored))
                .sum::<u64>();
        }
    }

    /// Tries there since, and how many gateways were heard.
    pub fn of(&self, node: NodeId) -> (u64, usize) {
        self.nodes
            .get(&node)
            .map_or((0, 0), |watched| (watched.tries, watched.heard.len()))
    }
}

#[cfg(test)]
mod tests;
