//! The baseline: even weights over the listed nodes, published immediately whenever the list changes. It can
//! also violate one rule on purpose, so that tests show that the audit detects the violation.

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

/// The rule that a drill violates on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleViolation {
    /// Rule 1: one proxy gets tables without entries.
    EmptyTable,
    /// Rule 2: side-effecting requests are retried after any failure.
    RetryUnsafe,
    /// Rule 3: drained nodes stay in the tables.
    KeepDrained,
    /// Rule 4: a cold node gets all traffic.
    OverloadWarming,
    /// Rule 5: tables are republished more often than the message cap allows.
    ExceedMessageCap,
}

/// A node of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedNode {
    /// The node's address.
    pub address: SocketAddrV4,
    /// The index of its zone in the deployment.
    pub zone: usize,
    /// Whether the node drains.
    pub draining: bool,
    /// Whether the node is still warming.
    pub cold: bool,
}

/// Publishes tables with even weights.
pub struct EvenWeightPublisher {
    root: TableRoot,
    version: u64,
    /// The rule that is violated on purpose, if any.
    pub violation: Option<RuleViolation>,
    /// All nodes that were ever listed, for [`RuleViolation::KeepDrained`].
    ever_listed: Vec<ListedNode>,
}

impl EvenWeightPublisher {
    /// A publisher that has published nothing yet.
    pub fn new(root: TableRoot, violation: Option<RuleViolation>) -> EvenWeightPublisher {
        EvenWeightPublisher {
            root,
            version: 0,
            violation,
            ever_listed: Vec::new(),
        }
    }

    /// Publishes the tables of all proxies; `zones` holds the zone index of each proxy.
    pub fn publish(
        &mut self,
        script: &Script,
        listed: &[ListedNode],
        zones: &[usize],
    ) -> Result<(), PublishError> {
        let nodes = self.nodes_to_publish(listed);
        for (proxy, zone) in zones.iter().enumerate() {
            let is_written_before = self.version >= zones.len() as u64;
            // Exceeding the message cap of one proxy is enough.
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
            let accepts_requests = |node: &&ListedNode| !node.draining;
            return listed.iter().filter(accepts_requests).cloned().collect();
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

    /// Runs a swap. For [`RuleViolation::ExceedMessageCap`] the sync steps are skipped, so that the message rate
    /// does not depend on the disk: on a busy disk, 55 messages were written where 61 violate the rule.
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
