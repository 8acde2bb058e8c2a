//! Drain evidence: whether a drained node still gets requests. For each watched node it counts the attempts that
//! proxies report for intervals that began after the watch, and the proxies that have reported such an interval.

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

/// The watched nodes with the traffic that proxies have reported for them.
#[derive(Clone, Debug, Default)]
pub struct DrainEvidence {
    nodes: BTreeMap<NodeId, WatchedNode>,
}

/// The evidence on whether a node still gets requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvidenceSummary {
    /// Number of joined proxies whose table has an entry for the node, or whose table is unknown.
    pub naming_proxies: usize,
    /// Number of joined proxies.
    pub joined_proxies: usize,
    /// Attempts sent to the node in report intervals that began after the watch.
    pub attempts: u64,
    /// Number of proxies that have reported an interval that began after the watch.
    pub reporting_proxies: usize,
}

/// The traffic of a watched node according to load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedTraffic {
    /// Attempts sent to the node in report intervals that began after the watch.
    pub attempts: u64,
    /// Number of proxies that have reported such an interval.
    pub reporting_proxies: usize,
}

impl DrainEvidence {
    /// Starts to watch a node; the counts of an earlier watch are dropped.
    pub fn watch(&mut self, now: Moment, node: NodeId) {
        let watched = WatchedNode {
            since: now,
            ..WatchedNode::default()
        };
        self.nodes.insert(node, watched);
    }

    /// Adds a proxy's load report. A report is not counted for a node whose watch began after the report
    /// interval did.
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

    /// The traffic reported for a node since its watch began; zero for a node that is not watched.
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
