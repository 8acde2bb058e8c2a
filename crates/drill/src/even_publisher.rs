//! The baseline: even weights over the listed nodes, written at once whenever the list changes. It also
//! breaks a rule on purpose, so that the audit can be seen to find it.

use crate::error::PublishError;
use crate::proxies::proxy_name;
use crate::script::Script;
use std::net::SocketAddrV4;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::RetryPolicy;
use wheelspread_controller_core::deployment::OperationConfig;
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use wheelspread_files::swap::STEPS;
use wheelspread_files::{Swap, SwapError, SwapStep, TableRoot};
use wheelspread_xds::tables;

/// Which rule is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleViolation {
    /// One proxy is given a table without entries.
    EmptyTable,
    /// Requests with side effects are retried after any failure.
    RetryUnsafe,
    /// Drained nodes stay in the tables.
    KeepDrained,
    /// A node that has just started gets everything.
    OverloadWarming,
    /// Tables are swapped again and again.
    ExceedMessageCap,
}

/// What the list says of a node.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// The node's address.
    pub address: SocketAddrV4,
    /// Its zone, by the script's order.
    pub zone: usize,
    /// Whether it drains.
    pub draining: bool,
    /// Whether it has just started.
    pub cold: bool,
}

/// Writes tables with even weights.
pub struct EvenWeightPublisher {
    root: TableRoot,
    version: u64,
    /// The rule that it breaks.
    pub violation: Option<RuleViolation>,
    /// Nodes that were listed once, for a publisher that keeps drained nodes.
    ever_listed: Vec<ListedNode>,
}

impl EvenWeightPublisher {
    /// A publisher that has written nothing.
    pub fn new(root: TableRoot, violation: Option<RuleViolation>) -> EvenWeightPublisher {
        EvenWeightPublisher {
            root,
            version: 0,
            violation,
            ever_listed: Vec::new(),
        }
    }

    /// Writes the tables of all proxies; `zones` are theirs.
    pub fn publish(
        &mut self,
        script: &Script,
        listed: &[ListedNode],
        zones: &[usize],
    ) -> Result<(), PublishError> {
        let nodes = self.nodes_to_publish(listed);
        for (proxy, zone) in zones.iter().enumerate() {
            let is_written_before = self.version >= zones.len() as u64;
            // One proxy is enough to be written to too often.
            if self.violation == Some(RuleViolation::ExceedMessageCap)
                && proxy > 0
                && is_written_before
            {
                break;
            }
            self.version += 1;
            let is_rewritten = self.version > zones.len() as u64;
            let is_emptied =
                self.violation == Some(RuleViolation::EmptyTable) && proxy == 0 && is_rewritten;
            let nodes = if is_emptied { &[][..] } else { &nodes[..] };
            let set = TableSet {
                bundle: BundleId(proxy as u32),
                version: Version(self.version),
                configuration: 0,
                operations: self.operation_tables(script, nodes, *zone),
            };
            let documents = tables::write(&set, &script.deployment)?;
            let name = proxy_name(proxy);
            self.swap(&Swap::new(&self.root, set.version, &documents, &name))?;
        }
        Ok(())
    }

    fn nodes_to_publish(&mut self, listed: &[ListedNode]) -> Vec<ListedNode> {
        if self.violation != Some(RuleViolation::KeepDrained) {
            let is_open = |node: &&ListedNode| !node.draining;
            return listed.iter().filter(is_open).cloned().collect();
        }
        for node in listed {
            let is_known = |known: &ListedNode| known.address == node.address;
            if !self.ever_listed.iter().any(is_known) {
                self.ever_listed.push(node.clone());
            }
        }
        self.ever_listed.clone()
    }

    fn operation_tables(
        &self,
        script: &Script,
        nodes: &[ListedNode],
        zone: usize,
    ) -> Vec<OperationTable> {
        let sends_only_to_warming = self.violation == Some(RuleViolation::OverloadWarming)
            && nodes.iter().any(|node| node.cold);
        let retry = if self.violation == Some(RuleViolation::RetryUnsafe) {
            RetryPolicy::OnceOnAnyFailure
        } else {
            RetryPolicy::IfUnprocessed
        };
        let operation_table = |(at, operation): (usize, &OperationConfig)| {
            let is_reachable = |node: &&ListedNode| {
                (!operation.stays_in_zone || node.zone == zone)
                    && (!sends_only_to_warming || node.cold || operation.stays_in_zone)
            };
            let reachable = nodes.iter().filter(is_reachable);
            OperationTable {
                operation: OperationId(at as u8),
                table: TableId(at as u16),
                entries: reachable.map(|node| entry(node, script)).collect(),
                admission_limit: None,
                retry,
            }
        };
        let operations = script.deployment.operations.iter().enumerate();
        operations.map(operation_table).collect()
    }

    /// How often an overfilled proxy is written to must not depend on the disk, so that sabotage does not wait
    /// for it: on a busy disk it once wrote 55 messages where 61 break the rule.
    fn swap(&self, swap: &Swap) -> Result<(), SwapError> {
        if self.violation != Some(RuleViolation::ExceedMessageCap) {
            return swap.run();
        }
        let is_sync =
            |step: &&SwapStep| matches!(step, SwapStep::SyncDraft | SwapStep::SyncVersions);
        for step in STEPS.iter().filter(|step| !is_sync(step)) {
            swap.step(*step)?;
        }
        Ok(())
    }
}

fn entry(node: &ListedNode, script: &Script) -> TableEntry {
    TableEntry {
        node: NodeId {
            address: node.address.ip().octets(),
            port: node.address.port(),
        },
        zone: script.deployment.zones[node.zone].clone(),
        weight: 1.0,
    }
}
