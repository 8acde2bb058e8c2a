//! The newest snapshot of each table set, and cached deltas between snapshots.
//!
//! Clients that hold the same version and have the same subscription share one delta, which is computed once for any
//! number of clients. A stream keeps a reference to the snapshot that its client holds, so that a delta that was
//! evicted from the cache can be computed again.

use crate::resource::{Checksum, ResourceType};
use crate::resource_delta::ResourceDelta;
use crate::resource_filter::ResourceFilter;
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread_controller_core::publication::{BundleId, Version};

/// The key of a delta that several clients may get. Keys are ordered by the version that the delta leads to, so that
/// the deltas to the oldest versions are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeltaKey {
    /// The version that the delta leads to.
    pub to: Version,
    /// The version that the delta starts from; 0 for a client that holds nothing.
    pub from: Version,
    /// The type of the resources.
    pub resource_type: ResourceType,
    /// The fingerprint of the names subscribed to.
    pub filter: Checksum,
}

/// The newest snapshot of each table set, and cached deltas.
#[derive(Debug)]
pub struct SnapshotCache {
    newest: BTreeMap<BundleId, Arc<Snapshot>>,
    deltas: BTreeMap<DeltaKey, Arc<ResourceDelta>>,
    max_deltas: usize,
}

/// The number of cached deltas per version.
const DELTAS_PER_VERSION: usize = 64;

impl SnapshotCache {
    /// Creates a cache with room for the deltas of this number of versions (at least 1).
    pub fn new(versions: usize) -> SnapshotCache {
        SnapshotCache {
            newest: BTreeMap::new(),
            deltas: BTreeMap::new(),
            max_deltas: versions.max(1).saturating_mul(DELTAS_PER_VERSION),
        }
    }

    /// Stores a snapshot unless the cache has a newer one of the same table set.
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

    /// Returns the delta between two snapshots, cached or computed, and its key. `fingerprint` is that of `filter`.
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
