//! What turns the resources of one snapshot into those of another.

use crate::resource::{Checksum, Resource, ResourceName, ResourceType};
use crate::resource_filter::ResourceFilter;
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;

/// The difference between what is held and a snapshot, of one type and for one set of subscribed names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResourceDelta {
    /// New resources, and those with other bytes.
    pub changed: Vec<(ResourceName, Resource)>,
    /// Resources that are gone.
    pub removed: Vec<ResourceName>,
    /// Of everything that is held once the delta is applied.
    pub resulting_checksum: Checksum,
}

impl ResourceDelta {
    /// Whether it changes nothing.
    pub fn is_empty(&self) -> bool {
        self.changed.is_empty() && self.removed.is_empty()
    }

    /// A delta without changes, for a client that already holds what `snapshot` has.
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

    /// From one snapshot to another; `from` is `None` where nothing is held yet.
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

    /// From what a client says it holds (names and versions, `initial_resource_versions`) to a snapshot.
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
        // Also names that the client no longer subscribes to: what it says it holds and is gone, it has to drop.
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

/// Copies of resources with their names; bytes are shared.
pub(crate) fn cloned<'a>(
    resources: impl Iterator<Item = (&'a ResourceName, &'a Resource)>,
) -> Vec<(ResourceName, Resource)> {
    resources
        .map(|(name, resource)| (name.clone(), resource.clone()))
        .collect()
}
