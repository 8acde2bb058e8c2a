//! The difference between the resources that a client holds and those of a snapshot.

use crate::resource::{Checksum, Resource, ResourceName, ResourceType};
use crate::resource_filter::ResourceFilter;
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;

/// The difference between the held resources and a snapshot, for one type and one set of subscribed names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceDelta {
    /// New resources, and resources with changed bytes.
    pub changed: Vec<(ResourceName, Resource)>,
    /// Names of removed resources.
    pub removed: Vec<ResourceName>,
    /// The checksum of all resources of the type that are held once the delta is applied.
    pub resulting_checksum: Checksum,
}

impl ResourceDelta {
    /// Whether the delta has no changes.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }

    /// Creates a delta without changes, for a client that already holds the resources of `snapshot`.
    pub(crate) fn unchanged(
        resource_type: ResourceType,
        snapshot: &Snapshot,
        filter: &ResourceFilter,
    ) -> ResourceDelta {
        ResourceDelta {
            changed: Vec::new(),
            removed: Vec::new(),
            resulting_checksum: snapshot.checksum(resource_type, |name| filter.matches(name)),
        }
    }

    /// Computes the delta between two snapshots; `from` is `None` if the client holds nothing yet.
    pub(crate) fn between(
        resource_type: ResourceType,
        from: Option<&Snapshot>,
        to: &Snapshot,
        filter: &ResourceFilter,
    ) -> ResourceDelta {
        let old = from.map(|from| from.resources(resource_type));
        let is_current = |name: &ResourceName, resource: &Resource| {
            old.and_then(|old| old.get(name))
                .is_some_and(|held| held.checksum == resource.checksum)
        };
        let new = to.resources(resource_type);
        let changed = new
            .iter()
            .filter(|(name, resource)| filter.matches(name) && !is_current(name, resource));
        let removed = old
            .into_iter()
            .flat_map(BTreeMap::keys)
            .filter(|name| filter.matches(name) && !new.contains_key(*name));
        ResourceDelta {
            changed: cloned(changed),
            removed: removed.cloned().collect(),
            resulting_checksum: to.checksum(resource_type, |name| filter.matches(name)),
        }
    }

    /// Computes the delta from the resources that a client declares to hold (names and versions,
    /// `initial_resource_versions`) to a snapshot.
    pub(crate) fn from_declared_versions(
        resource_type: ResourceType,
        declared: &BTreeMap<String, String>,
        to: &Snapshot,
        filter: &ResourceFilter,
    ) -> ResourceDelta {
        let is_current = |name: &str, resource: &Resource| {
            declared
                .get(name)
                .is_some_and(|version| *version == resource.checksum.to_string())
        };
        let new = to.resources(resource_type);
        let changed = new
            .iter()
            .filter(|(name, resource)| filter.matches(name) && !is_current(name, resource));
        // Not filtered by subscription: the client has to remove every declared resource that no longer exists.
        let removed = declared
            .keys()
            .filter(|name| !new.contains_key(name.as_str()));
        ResourceDelta {
            changed: cloned(changed),
            removed: removed
                .map(|name| ResourceName::from(name.as_str()))
                .collect(),
            resulting_checksum: to.checksum(resource_type, |name| filter.matches(name)),
        }
    }
}

/// Clones resources with their names; the bytes are shared.
pub(crate) fn cloned<'a>(
    resources: impl Iterator<Item = (&'a ResourceName, &'a Resource)>,
) -> Vec<(ResourceName, Resource)> {
    resources
        .map(|(name, resource)| (name.clone(), resource.clone()))
        .collect()
}
