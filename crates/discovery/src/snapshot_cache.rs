//! The newest version of each table, and what lies between two versions. Clients that hold the same and ask for
//! the same share one difference, so that it is worked out once however many follow. A stream keeps the version
//! that its client holds by itself, so a difference from any of them can be worked out anew.

use crate::snapshot::{Checksum, Resource, ResourceFilter, ResourceName, ResourceType, Snapshot};
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread_controller_core::publication::{BundleId, Version};

/// What turns one version into another, for who asked for certain names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceDelta {
    pub changed: Vec<(ResourceName, Resource)>,
    pub removed: Vec<ResourceName>,
    /// Of all that is then held.
    pub comes_to: Checksum,
}

impl ResourceDelta {
    pub fn nothing(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }

    /// `from`: left out where nothing is held yet.
    fn between(
        kind: ResourceType,
        from: Option<&Snapshot>,
        to: &Snapshot,
        wanted: &ResourceFilter,
    ) -> ResourceDelta {
        let held = |name: &ResourceName| from.and_then(|from| from.of(kind).get(name));
        let wants = |name: &ResourceName| wanted.wants(name);
        let news = to.of(kind).iter().filter(|(name, resource)| {
            wants(name) && held(name).is_none_or(|held| held.checksum != resource.checksum)
        });
        let before = from.into_iter().flat_map(|from| from.of(kind).keys());
        let gone = before.filter(|name| wants(name) && !to.of(kind).contains_key(*name));
        ResourceDelta {
            changed: news
                .map(|(name, resource)| (name.clone(), resource.clone()))
                .collect(),
            removed: gone.cloned().collect(),
            comes_to: to.checksum(kind, |name| wanted.wants(name)),
        }
    }
}

/// Where the same difference goes to all. Those that lead to the oldest versions come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeltaKey {
    pub to: Version,
    /// 0: from nothing.
    pub from: Version,
    pub kind: ResourceType,
    /// Of the names asked for.
    pub wanted: Checksum,
}

#[derive(Debug)]
pub struct SnapshotCache {
    newest: BTreeMap<BundleId, Arc<Snapshot>>,
    between: BTreeMap<DeltaKey, Arc<ResourceDelta>>,
    most: usize,
}

/// Differences that are kept, for each version that is to be.
const DIFFERENCES: usize = 64;

impl SnapshotCache {
    /// `versions`: of so many the differences are kept.
    pub fn new(versions: usize) -> SnapshotCache {
        let most = versions.max(1).saturating_mul(DIFFERENCES);
        SnapshotCache {
            newest: BTreeMap::new(),
            between: BTreeMap::new(),
            most,
        }
    }

    pub fn add(&mut self, content: Arc<Snapshot>) {
        let newest = self
            .newest
            .entry(content.bundle)
            .or_insert_with(|| content.clone());
        if newest.version < content.version {
            *newest = content;
        }
    }

    pub fn newest(&self, bundle: BundleId) -> Option<&Arc<Snapshot>> {
        self.newest.get(&bundle)
    }

    pub fn difference(
        &mut self,
        kind: ResourceType,
        from: Option<&Snapshot>,
        to: &Snapshot,
        wanted: &ResourceFilter,
        name: Checksum,
    ) -> (Arc<ResourceDelta>, DeltaKey) {
        let from_version = from.map_or(Version(0), |from| from.version);
        let key = DeltaKey {
            to: to.version,
            from: from_version,
            kind,
            wanted: name,
        };
        if let Some(known) = self.between.get(&key) {
            return (known.clone(), key);
        }
        while self.between.len() >= self.most {
            self.between.pop_first();
        }
        let made = Arc::new(ResourceDelta::between(kind, from, to, wanted));
        self.between.insert(key, made.clone());
        (made, key)
    }
}
