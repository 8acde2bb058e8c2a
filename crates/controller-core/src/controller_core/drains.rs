//! Drained nodes: whether proxies still name them, and whether requests still reach them.

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

    /// From now on requests count that reach a node which should get none.
    pub fn watch_drained_node(&mut self, now: Moment, node: NodeId) {
        self.evidence.watch(now, node);
    }

    /// What is known of a node that should get no requests.
    pub fn drain_evidence(&self, node: NodeId) -> EvidenceSummary {
        let reported = self.evidence.reported_traffic(node);
        EvidenceSummary {
            naming_proxies: self.proxies_with_entry_for(node).len(),
            joined_proxies: self.joined_members().count(),
            attempts: reported.attempts,
            reporting_proxies: reported.reporting_proxies,
        }
    }

    /// Joined proxies that hold a table which names a node, or of which it is not known what they hold.
    pub fn proxies_with_entry_for(&self, node: NodeId) -> Vec<String> {
        self.joined_members()
            .filter(|(_, member)| self.holds_entry_for(member, node).unwrap_or(true))
            .map(|(name, _)| name.to_string())
            .collect()
    }

    /// `None`: it is not known what the proxy holds.
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
