//! Evidence that a drained node gets no requests any more: which proxies have reported since it was watched, and
//! how many requests they sent it in report intervals that began after that.

use crate::load_report::LoadReport;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, ProxyId};
use wheelspread::time::Moment;

#[derive(Clone, Debug, Default)]
struct WatchedNode {
    since: Moment,
    attempts: u64,
    reporting_proxies: BTreeSet<ProxyId>,
}

/// The nodes that are watched, and what proxies reported of them.
#[derive(Clone, Debug, Default)]
pub struct DrainEvidence {
    nodes: BTreeMap<NodeId, WatchedNode>,
}

/// What is known of a node that should get no requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceSummary {
    /// Joined proxies that hold a table which names it, or of which it is not known what they hold.
    pub naming_proxies: usize,
    /// Proxies that are joined.
    pub joined_proxies: usize,
    /// Requests that were sent to it since it is watched.
    pub attempts: u64,
    /// Proxies whose reports cover an interval since it is watched.
    pub reporting_proxies: usize,
}

/// What load reports say of a watched node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedTraffic {
    /// Requests that were sent to it.
    pub attempts: u64,
    /// Proxies that reported.
    pub reporting_proxies: usize,
}

impl DrainEvidence {
    /// Requests to the node count from now on; what was counted before is dropped.
    pub fn watch(&mut self, now: Moment, node: NodeId) {
        let watched = WatchedNode {
            since: now,
            ..WatchedNode::default()
        };
        self.nodes.insert(node, watched);
    }

    /// Takes in a proxy's load report. An interval that began before a node was watched doesn't count for it.
    pub fn record_report(&mut self, now: Moment, proxy: ProxyId, report: &LoadReport) {
        let interval_start = now - report.window;
        for (node, watched) in &mut self.nodes {
            if interval_start < watched.since {
                continue;
            }
            watched.reporting_proxies.insert(proxy);
            watched.attempts += report
                .operations
                .iter()
                .flat_map(|operation| &operation.nodes)
                .filter(|reported| reported.node == Some(*node))
                .map(|reported| reported.succeeded.saturating_add(reported.errored))
                .sum::<u64>();
        }
    }

    /// What was reported of a node since it is watched.
    pub fn reported_traffic(&self, node: NodeId) -> ReportedTraffic {
        self.nodes
            .get(&node)
            .map_or_else(ReportedTraffic::default, |watched| ReportedTraffic {
                attempts: watched.attempts,
                reporting_proxies: watched.reporting_proxies.len(),
            })
    }
}

#[cfg(test)]
mod tests;
