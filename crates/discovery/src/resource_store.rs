//! The client's side of one type: the resources that it holds.
//!
//! A client holds a version whose checksum it has verified, or nothing. A delta is applied as a whole or not at all;
//! one that does not fit what is held, or does not lead to the checksum that it states, is rejected, and everything is
//! requested again.

use crate::resource::{Checksum, Resource};
use std::collections::BTreeMap;

/// A resource as a response brings it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedResource {
    /// Its name.
    pub name: String,
    /// Its version as stated: the checksum that its bytes must have.
    pub checksum: Checksum,
    /// The serialized message.
    pub bytes: bytes::Bytes,
}

/// The changes that a response of the incremental variant brings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeltaUpdate {
    /// New and changed resources.
    pub changed: Vec<ReceivedResource>,
    /// Names of resources that are gone.
    pub removed: Vec<String>,
    /// Of everything that is held afterwards.
    pub resulting_checksum: Option<Checksum>,
}

/// Why a delta was not applied. The text goes to the server as the reason of the NACK.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The bytes of a resource do not have the checksum that is its version.
    #[error("`{name}` is not what its version says")]
    ResourceChecksum {
        /// The resource.
        name: String,
    },
    /// What would be held does not have the stated checksum.
    #[error("it comes to {actual}, {stated} was said")]
    ResultingChecksum {
        /// The checksum of what would be held.
        actual: Checksum,
        /// The checksum that the response states.
        stated: Checksum,
    },
}

/// The resources of one type that a client holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceStore {
    resources: BTreeMap<String, Resource>,
}

impl ResourceStore {
    /// The resources by name.
    pub fn resources(&self) -> &BTreeMap<String, Resource> {
        &self.resources
    }

    /// Versions by name, to be declared on a new stream so that it brings only what differs.
    pub fn versions(&self) -> BTreeMap<String, String> {
        self.resources
            .iter()
            .map(|(name, resource)| (name.clone(), resource.checksum.to_string()))
            .collect()
    }

    /// The checksum of everything that is held.
    pub fn checksum(&self) -> Checksum {
        let resources = self.resources.iter();
        Checksum::of_set(resources.map(|(name, resource)| (name.as_str(), resource.checksum)))
    }

    /// Applies a delta. After an error the store is as before.
    pub fn apply(&mut self, delta: &DeltaUpdate) -> Result<(), DeltaError> {
        let mut next = self.clone();
        for received in &delta.changed {
            let resource = Resource::new(received.bytes.clone());
            if resource.checksum != received.checksum {
                let name = received.name.clone();
                return Err(DeltaError::ResourceChecksum { name });
            }
            next.resources.insert(received.name.clone(), resource);
        }
        for name in &delta.removed {
            next.resources.remove(name);
        }
        if let Some(stated) = delta.resulting_checksum {
            let actual = next.checksum();
            if actual != stated {
                return Err(DeltaError::ResultingChecksum { actual, stated });
            }
        }
        *self = next;
        Ok(())
    }
}
