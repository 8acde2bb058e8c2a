//! The newest snapshot of each table set, and cached deltas between snapshots.
//!
//! Clients that hold the same and subscribed to the same share one delta, so that it is computed once however many
//! follow. A stream keeps a reference to the snapshot that its client holds, so a delta that is no longer cached can
//! be computed again.

use crate::resource::{Checksum, ResourceType};
use crate::resource_delta::ResourceDelta;
use crate::resource_filter::ResourceFilter;
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread_controller_core::publication::{BundleId, Version};

/// Names a delta that many clients may get. Those that lead to the oldest versions come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeltaKey {
    /// The version that it leads to.
    pub to: Version,
    /// The version that it starts from; 0: from nothing.
    pub from: Version,
    /// The type of the resources.
    pub resource_type: ResourceType,
    /// The fingerprint of the names subscribed to.
    pub filter: Checksum,
}

/// The newest snapshots, and deltas that lead to them.
#[derive(Debug)]
pub struct SnapshotCache {
    newest: BTreeMap<BundleId, Arc<Snapshot>>,
    deltas: BTreeMap<DeltaKey, Arc<ResourceDelta>>,
    max_deltas: usize,
}

/// Cached deltas for each version.
const DELTAS_PER_VERSION: usize = 64;

impl SnapshotCache {
    /// A cache that has room for the deltas of so many versions.
    pub fn new(versions: usize) -> SnapshotCache {
        SnapshotCache {
            newest: BTreeMap::new(),
            deltas: BTreeMap::new(),
            max_deltas: versions.max(1).saturating_mul(DELTAS_PER_VERSION),
        }
    }

    /// Keeps a snapshot if none of its table set is newer.
    pub fn insert(&mut self, snapshot: Arc<Snapshot>) {
        let newest = self
            .newest
            .entry(snapshot.bundle)
            .or_insert_with(|| snapshot.clone());
        if newest.version < snapshot.version {
            *newest = snapshot;
        }
    }

    /// The newest snapshot of a table set.
    pub fn newest(&self, bundle: BundleId) -> Option<&Arc<Snapshot>> {
        self.newest.get(&bundle)
    }

    /// The delta between two snapshots, and the key by which others find it. `fingerprint` is that of `filter`.
    pub(crate) fn delta(
        &mut self,
        resource_type: ResourceType,
        from: Option<&Snapshot>,
        to: &Snapshot,
        filter: &ResourceFilter,
        fingerprint: Checksum,
    ) -> (Arc<ResourceDelta>, DeltaKey) {
        let key = DeltaKey {
            to: to.version,
            from: from.map_or(Version(0), |from| from.version),
            resource_type,
            filter: fingerprint,
        };
        if let Some(cached) = self.deltas.get(&key) {
            return (cached.clone(), key);
        }
        while self.deltas.len() >= self.max_deltas {
            self.deltas.pop_first();
        }
        let delta = Arc::new(ResourceDelta::between(resource_type, from, to, filter));
        self.deltas.insert(key, delta.clone());
        (delta, key)
    }
}
