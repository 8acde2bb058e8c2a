//! What a controller starts from: the files and stored state of an earlier run, and the proxies in them that have
//! not come back yet.

use super::{zone_of, ControllerCore};
use crate::deployment::{ConfigError, Deployment};
use crate::endpoint_list::{format_node, EndpointList, EndpointSnapshot};
use crate::node_overrides::{NodeOverrides, NodeValues};
use crate::publication::{BundleId, TableSet, Version};
use crate::{Effect, LogEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread::{CapacitySnapshot, EndpointStatus};

/// How long proxies have to come back after a restart before their old files are pruned, as a fraction of the
/// drain grace.
pub(super) const PRUNE_AFTER_DRAIN_GRACES: f64 = 0.25;

/// What files and stored state held when the controller started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// By proxy, the tables that its files hold.
    pub tables: BTreeMap<String, TableSet>,
    /// Every version on the disk.
    pub versions: BTreeSet<Version>,
    /// New versions are above this one.
    pub version_floor: Version,
    /// The version of the configuration in force.
    pub configuration: u64,
    /// What that configuration says of single nodes.
    pub node_values: BTreeMap<NodeId, NodeValues>,
    /// Nodes that are drained by request.
    pub drained: BTreeSet<NodeId>,
    /// Nodes that were migrating from one pool to another.
    pub migrating: Vec<NodeId>,
    /// The last endpoint list that was accepted: it is in force where none can be read.
    pub endpoint_list: Option<EndpointSnapshot>,
    /// What the balancer knew of nodes' capacities.
    pub capacities: Vec<CapacitySnapshot>,
}

impl RecoveredState {
    /// The highest version that is known to have been published.
    pub(super) fn last_version(&self) -> Version {
        let held = self.tables.values().map(|set| set.version);
        held.chain(self.versions.iter().copied())
            .chain([self.version_floor])
            .max()
            .unwrap_or_default()
    }

    /// What configuration, drains and migrations make of single nodes.
    pub(super) fn node_overrides(
        &self,
        now: Moment,
        deployment: &Deployment,
        endpoints: &mut EndpointList,
    ) -> NodeOverrides {
        let mut overrides = NodeOverrides::default();
        overrides.set(
            self.node_values.clone(),
            |zone| zone_of(deployment, zone),
            |cell| endpoints.cell_id(cell),
        );
        overrides.set_drained(self.drained.clone());
        overrides.restore_migrations(now, &self.migrating);
        overrides
    }
}

/// Why a controller can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Settings that are out of range or contradict each other.
    #[error("settings that can't be: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    InvalidSettings(Vec<ConfigError>),
    /// The balancer refuses the settings.
    #[error("the decisions can't start: {0}")]
    Balancer(wheelspread::ConfigError),
}

/// Stored state that waits for the first endpoint list.
pub(super) struct PendingRestore {
    endpoint_list: Option<EndpointSnapshot>,
    capacities: Vec<CapacitySnapshot>,
}

impl PendingRestore {
    pub(super) fn new(
        endpoint_list: Option<EndpointSnapshot>,
        capacities: Vec<CapacitySnapshot>,
    ) -> PendingRestore {
        PendingRestore {
            endpoint_list,
            capacities,
        }
    }

    pub(super) fn take_endpoint_list(&mut self) -> Option<EndpointSnapshot> {
        self.endpoint_list.take()
    }

    pub(super) fn take_capacities(&mut self) -> Vec<CapacitySnapshot> {
        std::mem::take(&mut self.capacities)
    }
}

/// Proxies whose files were found at the start and that have not come back since.
pub(super) struct RecoveredTables {
    tables: BTreeMap<String, TableSet>,
    /// Pruned tables are being written for these.
    writing: BTreeSet<String>,
    prune_at: Option<Moment>,
}

/// New tables of an unclaimed proxy.
struct PrunedTables {
    proxy: String,
    set: TableSet,
    removed: BTreeSet<NodeId>,
}

impl RecoveredTables {
    pub(super) fn new(tables: BTreeMap<String, TableSet>, prune_at: Moment) -> RecoveredTables {
        RecoveredTables {
            tables,
            writing: BTreeSet::new(),
            prune_at: Some(prune_at),
        }
    }

    /// The proxy came back; returns what its files hold.
    pub(super) fn take(&mut self, proxy: &str) -> Option<TableSet> {
        self.tables.remove(proxy)
    }

    /// Pruned tables of the proxy were written, or could not be.
    pub(super) fn on_write_finished(&mut self, proxy: &str) {
        self.writing.remove(proxy);
    }

    pub(super) fn proxy_count(&self) -> usize {
        self.tables.len()
    }

    /// The versions that their files hold.
    pub(super) fn versions(&self) -> impl Iterator<Item = Version> + '_ {
        self.tables.values().map(|set| set.version)
    }

    /// Prunes then, unless that is set already.
    pub(super) fn schedule_pruning(&mut self, at: Moment) {
        self.prune_at = self.prune_at.or(Some(at));
    }

    pub(super) fn prune_at(&self) -> Option<Moment> {
        self.prune_at
    }

    /// Whether it is time to prune; if so, no other time is set.
    fn take_due_pruning(&mut self, now: Moment) -> bool {
        self.prune_at.take_if(|at| now >= *at).is_some()
    }

    /// Takes nodes that are not ready out of the tables. A table that would be left empty stays as it is.
    fn prune(
        &mut self,
        ready: &BTreeSet<NodeId>,
        mut allocate_version: impl FnMut() -> Version,
    ) -> Vec<PrunedTables> {
        let mut pruned = Vec::new();
        for (proxy, set) in &mut self.tables {
            if self.writing.contains(proxy) {
                continue;
            }
            let removed = remove_stale_entries(set, ready);
            if removed.is_empty() {
                continue;
            }
            set.version = allocate_version();
            // A bundle of its own: no other proxy reads it.
            set.bundle = BundleId(u32::MAX);
            self.writing.insert(proxy.clone());
            pruned.push(PrunedTables {
                proxy: proxy.clone(),
                set: set.clone(),
                removed,
            });
        }
        pruned
    }
}

/// Returns the nodes that were removed.
fn remove_stale_entries(set: &mut TableSet, ready: &BTreeSet<NodeId>) -> BTreeSet<NodeId> {
    let mut removed = BTreeSet::new();
    for operation in &mut set.operations {
        let entries = &mut operation.entries;
        if entries.iter().any(|entry| ready.contains(&entry.node)) {
            let stale = entries.iter().map(|entry| entry.node);
            removed.extend(stale.filter(|node| !ready.contains(node)));
            entries.retain(|entry| ready.contains(&entry.node));
        }
    }
    removed
}

impl ControllerCore {
    /// After a restart proxies that have not come back yet still read the files of the earlier run. Nodes that
    /// these name and the endpoint list no longer holds ready are taken out; nothing else is changed for them.
    pub(super) fn prune_recovered_tables(&mut self, now: Moment) {
        if !self.recovered_tables.take_due_pruning(now) {
            return;
        }
        if self.endpoints.version().is_empty() {
            return; // the first list sets the time anew
        }
        let ready: BTreeSet<NodeId> = self
            .effective_entries()
            .filter(|entry| {
                entry.status == EndpointStatus::Ready && !self.overrides.is_migrating(entry.node)
            })
            .map(|entry| entry.node)
            .collect();
        let publication = &mut self.publication;
        let pruned = self
            .recovered_tables
            .prune(&ready, || publication.allocate_version());
        for PrunedTables {
            proxy,
            set,
            removed,
        } in pruned
        {
            self.stored_versions.mark_used(now, set.version);
            self.log(LogEvent::StaleEntriesPruned {
                proxy: proxy.clone(),
                nodes: removed.into_iter().map(format_node).collect(),
            });
            let set = Arc::new(set);
            self.effects.push(Effect::WriteTables { proxy, set });
        }
    }
}
