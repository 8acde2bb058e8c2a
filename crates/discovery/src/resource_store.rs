//! The other end: a client that holds a checked version or nothing that it could not name. A delta is taken
//! as a whole or not at all; one that does not fit to what is held, or does not come to what it says, is
//! refused, and the whole is asked for.

use crate::snapshot::{checksum, Checksum, Resource};
use std::collections::BTreeMap;

/// What a delta says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DeltaUpdate {
    pub changed: Vec<(String, Checksum, bytes::Bytes)>,
    pub removed: Vec<String>,
    /// Of all that is held afterwards.
    pub comes_to: Option<Checksum>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    Yes,
    /// Nothing of it was taken: what was held before is still held.
    Refused(String),
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceStore {
    held: BTreeMap<String, Resource>,
}

impl ResourceStore {
    pub fn held(&self) -> &BTreeMap<String, Resource> {
        &self.held
    }

    /// To be told on a new stream, so that only what differs comes.
    pub fn versions(&self) -> BTreeMap<String, String> {
        self.held
            .iter()
            .map(|(name, held)| (name.clone(), held.checksum.to_string()))
            .collect()
    }

    pub fn checksum(&self) -> Checksum {
        checksum(
            self.held
                .iter()
                .map(|(name, held)| (name.as_str(), held.checksum)),
        )
    }

    pub fn take(&mut self, delta: &DeltaUpdate) -> UpdateResult {
        let mut next = self.held.clone();
        for (name, said, bytes) in &delta.changed {
            let resource = Resource::new(bytes.clone());
            if resource.checksum != *said {
                return UpdateResult::Refused(format!("`{name}` is not what its version says"));
            }
            next.insert(name.clone(), resource);
        }
        for name in &delta.removed {
            next.remove(name);
        }
        let taken = ResourceStore { held: next };
        match delta.comes_to {
            Some(said) if said != taken.checksum() => {
                UpdateResult::Refused(format!("it comes to {}, {said} was said", taken.checksum()))
            }
            _ => {
                *self = taken;
                UpdateResult::Yes
            }
        }
    }

    /// Forgets everything: the next delta must bring the whole.
    pub fn clear(&mut self) {
        self.held.clear();
    }
}
