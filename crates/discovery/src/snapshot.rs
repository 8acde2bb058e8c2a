//! A snapshot: all resources of one version of a table set, by type and name.

use crate::resource::{Checksum, Resource, ResourceName, ResourceType};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread_controller_core::publication::{BundleId, Version};

/// All resources of one version of a table set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// The table set.
    pub bundle: BundleId,
    /// The version of the table set.
    pub version: Version,
    resources: BTreeMap<ResourceType, BTreeMap<ResourceName, Resource>>,
}

static NO_RESOURCES: BTreeMap<ResourceName, Resource> = BTreeMap::new();

impl Snapshot {
    /// Creates a snapshot without resources.
    pub fn new(bundle: BundleId, version: Version) -> Snapshot {
        Snapshot {
            bundle,
            version,
            resources: BTreeMap::new(),
        }
    }

    /// Adds a resource, or replaces the one with the same name.
    pub fn insert(&mut self, resource_type: ResourceType, name: &str, bytes: impl Into<Bytes>) {
        self.resources
            .entry(resource_type)
            .or_default()
            .insert(Arc::from(name), Resource::new(bytes));
    }

    /// The resources of a type, by name.
    pub fn resources(&self, resource_type: ResourceType) -> &BTreeMap<ResourceName, Resource> {
        self.resources.get(&resource_type).unwrap_or(&NO_RESOURCES)
    }

    /// The checksum of the resources of a type whose names `includes` accepts.
    pub fn checksum(
        &self,
        resource_type: ResourceType,
        includes: impl Fn(&str) -> bool,
    ) -> Checksum {
        let included = self
            .resources(resource_type)
            .iter()
            .filter(|(name, _)| includes(name));
        Checksum::of_set(included.map(|(name, resource)| (&**name, resource.checksum)))
    }
}
