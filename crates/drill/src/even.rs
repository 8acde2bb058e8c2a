//! The baseline: even weights over the listed nodes, written at once whenever the list changes. It also
//! breaks a rule on purpose, so that the audit can be seen to find it.

use crate::error::PublishError;
use crate::proxies::proxy_name;
use crate::script::Script;
use std::net::SocketAddrV4;
use wheelspread::ids::{NodeId, OperationId, TableId};
use wheelspread::RetryPolicy;
use wheelspread_controller_core::publication::{
    BundleId, OperationTable, TableEntry, TableSet, Version,
};
use wheelspread_files::{Swap, TableRoot};
use wheelspread_xds::tables;

/// Which rule is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// One proxy is given a table without lines.
    EmptyTable,
    /// What has effects is repeated after any failure.
    Repeat,
    /// Drained nodes stay in the tables.
    KeepDrained,
    /// A node that just started gets everything.
    FloodCold,
    /// Tables are swapped again and again.
    Overfill,
}

/// What the list says of a node.
#[derive(Clone, Debug)]
pub struct ListedNode {
    pub address: SocketAddrV4,
    pub zone: usize,
    pub draining: bool,
    pub cold: bool,
}

pub struct EvenPublisher {
    root: TableRoot,
    version: u64,
    pub sabotage: Option<Sabotage>,
    /// Nodes that were listed once, for who keeps them.
    kept: Vec<ListedNode>,
}

impl EvenPublisher {
    pub fn new(root: TableRoot, sabotage: Option<Sabotage>) -> EvenPublisher {
        EvenPublisher {
            root,
            version: 0,
            sabotage,
            kept: Vec::new(),
        }
    }

    pub fn publish(
        &mut self,
        script: &Script,
        listed: &[ListedNode],
        zones: &[usize],
    ) -> Result<(), PublishError> {
        let keep = self.sabotage == Some(Sabotage::KeepDrained);
        if keep {
            let new = listed
                .iter()
                .filter(|node| self.kept.iter().all(|kept| kept.address != node.address));
            self.kept.extend(new.cloned().collect::<Vec<_>>());
        }
        let nodes: Vec<&ListedNode> = match keep {
            true => self.kept.iter().collect(),
            false => listed.iter().filter(|node| !node.draining).collect(),
        };
        let flood =
            self.sabotage == Some(Sabotage::FloodCold) && nodes.iter().any(|node| node.cold);
        for (proxy, zone) in zones.iter().enumerate() {
            // One proxy is enough to be written to too often.
            if self.sabotage == Some(Sabotage::Overfill)
                && proxy > 0
                && self.version >= zones.len() as u64
            {
                break;
            }
            self.version += 1;
            let empty = self.sabotage == Some(Sabotage::EmptyTable)
                && proxy == 0
                && self.version > zones.len() as u64;
            let table = |(at, operation): (
                usize,
                &wheelspread_controller_core::deployment::OperationPlan,
            )| {
                let open = nodes
                    .iter()
                    .filter(|node| !operation.stays_in_zone || node.zone == *zone);
                let open =
                    open.filter(|node| (!flood || node.cold || operation.stays_in_zone) && !empty);
                let line = |node: &&ListedNode| TableEntry {
                    node: NodeId {
                        address: node.address.ip().octets(),
                        port: node.address.port(),
                    },
                    zone: script.deployment.zones[node.zone].clone(),
                    weight: 1.0,
                };
                let repeats = self.sabotage == Some(Sabotage::Repeat);
                OperationTable {
                    operation: OperationId(at as u8),
                    table: TableId(at as u16),
                    entries: open.map(line).collect(),
                    admission_limit: None,
                    retry: if repeats {
                        RetryPolicy::OnceOnAnyFailure
                    } else {
                        RetryPolicy::IfUnprocessed
                    },
                }
            };
            let operations = script
                .deployment
                .operations
                .iter()
                .enumerate()
                .map(table)
                .collect();
            let set = TableSet {
                bundle: BundleId(proxy as u32),
                version: Version(self.version),
                configuration: 0,
                operations,
            };
            let documents = tables::write(&set, &script.deployment)?;
            Swap::new(&self.root, set.version, &documents, &proxy_name(proxy)).run()?;
        }
        Ok(())
    }
}
