//! The state that a controller starts from: files and stored state of an earlier run, and the tables of proxies
//! that have not reconnected since.

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

/// Time that proxies have to reconnect after a restart before their old files are pruned, in drain graces.
pub(super) const PRUNE_AFTER_DRAIN_GRACES: f64 = 0.25;

/// The contents of files and stored state when the controller started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// The tables in the files of each proxy, by the proxy's name.
    pub tables: BTreeMap<String, TableSet>,
    /// Every version found on the disk.
    pub versions: BTreeSet<Version>,
    /// New versions are above this one.
    pub version_floor: Version,
    /// The version of the configuration in force.
    pub configuration: u64,
    /// That configuration's values of single nodes.
    pub node_values: BTreeMap<NodeId, NodeValues>,
    /// Nodes that are drained by request.
    pub drained: BTreeSet<NodeId>,
    /// Nodes that were migrating from one pool to another.
    pub migrating: Vec<NodeId>,
    /// The last endpoint list that was accepted; it is applied if the first list cannot be read.
    pub endpoint_list: Option<EndpointSnapshot>,
    /// The balancer's stored capacity estimates of nodes.
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

    /// The node overrides that result from the configuration, requested drains and migrations.
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
    #[error("invalid settings: {}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    InvalidSettings(Vec<ConfigError>),
    /// The balancer rejected the settings.
    #[error("the balancer rejected the settings: {0}")]
    Balancer(wheelspread::ConfigError),
}

/// Stored state that is restored with the first endpoint list.
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

/// Tables found at the start in the files of proxies that have not reconnected since.
pub(super) struct RecoveredTables {
    tables: BTreeMap<String, TableSet>,
    /// Proxies for which pruned tables are being written.
    writing: BTreeSet<String>,
    prune_at: Option<Moment>,
}

/// Pruned tables of a proxy that has not reconnected.
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

    /// Removes and returns the tables of a proxy that reconnected.
    pub(super) fn take(&mut self, proxy: &str) -> Option<TableSet> {
        self.tables.remove(proxy)
    }

    /// The write of the proxy's pruned tables succeeded or failed.
    pub(super) fn on_write_finished(&mut self, proxy: &str) {
        self.writing.remove(proxy);
    }

    pub(super) fn proxy_count(&self) -> usize {
        self.tables.len()
    }

    /// The versions in the files of these proxies.
    pub(super) fn versions(&self) -> impl Iterator<Item = Version> + '_ {
        self.tables.values().map(|set| set.version)
    }

    /// Schedules the pruning unless it is scheduled already.
    pub(super) fn schedule_pruning(&mut self, at: Moment) {
        self.prune_at = self.prune_at.or(Some(at));
    }

    pub(super) fn prune_at(&self) -> Option<Moment> {
        self.prune_at
    }

    /// Whether pruning is due; if so, its schedule is cleared.
    fn take_due_pruning(&mut self, now: Moment) -> bool {
        self.prune_at.take_if(|at| now >= *at).is_some()
    }

    /// Removes nodes that are not ready from the tables. A table that would become empty is left unchanged.
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
            // An id that no bundle of the publication has, because no other proxy reads these tables.
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

/// Removes nodes that are not ready from a table set, and returns them.
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
    /// Removes nodes that are no longer ready from the files of proxies that have not reconnected. Such a proxy
    /// still reads the files of the earlier run; nothing else in them is changed.
    pub(super) fn prune_recovered_tables(&mut self, now: Moment) {
        if !self.recovered_tables.take_due_pruning(now) {
            return;
        }
        if self.endpoints.version().is_empty() {
            return; // The first accepted list schedules the pruning again.
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
