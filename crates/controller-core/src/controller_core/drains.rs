//! Drained nodes: whether tables of proxies still contain them, and whether requests still reach them.

use super::ControllerCore;
use crate::drain_evidence::EvidenceSummary;
use crate::membership::Member;
use std::collections::BTreeSet;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;

impl ControllerCore {
    /// Nodes that are drained by request.
    pub fn drained_nodes(&self) -> &BTreeSet<NodeId> {
        self.overrides.drained()
    }

    /// Starts to count the requests that reach a drained node.
    pub fn watch_drained_node(&mut self, now: Moment, node: NodeId) {
        self.evidence.watch(now, node);
    }

    /// The drain evidence of a node.
    pub fn drain_evidence(&self, node: NodeId) -> EvidenceSummary {
        let reported = self.evidence.reported_traffic(node);
        EvidenceSummary {
            naming_proxies: self.proxies_with_entry_for(node).len(),
            joined_proxies: self.joined_members().count(),
            attempts: reported.attempts,
            reporting_proxies: reported.reporting_proxies,
        }
    }

    /// Names of the joined proxies that hold a table with an entry for the node, or whose tables are unknown.
    pub fn proxies_with_entry_for(&self, node: NodeId) -> Vec<String> {
        self.joined_members()
            .filter(|(_, member)| self.holds_entry_for(member, node).unwrap_or(true))
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// Whether the proxy's tables have an entry for the node; `None` if its tables are unknown.
    fn holds_entry_for(&self, member: &Member, node: NodeId) -> Option<bool> {
        let newest = self.publication.newest_for(member.id)?;
        let applied = self.applied_version(member)?;
        let set = if applied == newest.version {
            newest
        } else {
            self.retained_versions.get(applied)?
        };
        Some(set.has_entry_for(node))
    }
}
