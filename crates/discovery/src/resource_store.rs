//! The resources of one type that a client holds.
//!
//! A client holds either nothing or a version whose checksum it has verified. A delta is applied as a whole or not at
//! all. A delta that does not lead to the checksum it states is rejected, and the client requests all resources of the
//! type again.

use crate::resource::{Checksum, Resource};
use std::collections::BTreeMap;

/// A resource as received in a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedResource {
    /// The name of the resource.
    pub name: String,
    /// The stated version: the checksum that `bytes` must have.
    pub checksum: Checksum,
    /// The serialized message.
    pub bytes: bytes::Bytes,
}

/// The changes in a response of the incremental variant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeltaUpdate {
    /// New and changed resources.
    pub changed: Vec<ReceivedResource>,
    /// Names of removed resources.
    pub removed: Vec<String>,
    /// The checksum of all resources of the type that are held afterwards; `None` if the response states none.
    pub resulting_checksum: Option<Checksum>,
}

/// The reason why a delta was not applied. The server receives the text as the reason of the NACK.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The checksum of a resource differs from its stated version.
    #[error("the checksum of resource `{name}` differs from its stated version")]
    ResourceChecksum {
        /// The name of the resource.
        name: String,
    },
    /// The checksum of the resources after the delta differs from the stated one.
    #[error("the delta results in checksum {actual}, but the response states {stated}")]
    ResultingChecksum {
        /// The checksum of the resources after the delta.
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

    /// Versions by name. A client declares them on a new stream, so that the server sends only the differences.
    pub fn versions(&self) -> BTreeMap<String, String> {
        self.resources
            .iter()
            .map(|(name, resource)| (name.clone(), resource.checksum.to_string()))
            .collect()
    }

    /// The checksum of all held resources.
    pub fn checksum(&self) -> Checksum {
        let resources = self.resources.iter();
        Checksum::of_set(resources.map(|(name, resource)| (name.as_str(), resource.checksum)))
    }

    /// Applies a delta. On an error the store remains unchanged.
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
