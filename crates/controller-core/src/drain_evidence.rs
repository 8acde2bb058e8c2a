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
mod tests {
    use super::*;
    use crate::load_report::{NodeReport, OperationReport};
    use wheelspread::time::Span;

    #[test]
    fn only_spans_that_began_after_the_moment_count() {
        let (at, node) = (
            Moment::from_seconds,
            NodeId {
                address: [127, 0, 0, 1],
                port: 9,
            },
        );
        let met = NodeReport {
            node: Some(node),
            succeeded: 3,
            errored: 1,
            ..NodeReport::default()
        };
        let operation = OperationReport {
            nodes: vec![met],
            ..OperationReport::default()
        };
        let report = LoadReport {
            over: Span::from_seconds(1.0),
            operations: vec![operation],
        };
        let mut quiet = DrainEvidence::default();
        quiet.watch(at(10.0), node);
        quiet.hear(at(10.5), ProxyId(1), &report);
        assert_eq!(quiet.of(node), (0, 0), "half of it was before");
        quiet.hear(at(11.0), ProxyId(1), &report);
        quiet.hear(
            at(12.0),
            ProxyId(1),
            &LoadReport {
                operations: Vec::new(),
                ..report.clone()
            },
        );
        quiet.hear(at(12.0), ProxyId(2), &report);
        assert_eq!(quiet.of(node), (8, 2));
        quiet.watch(at(13.0), node);
        assert_eq!(quiet.of(node), (0, 0));
    }
}
