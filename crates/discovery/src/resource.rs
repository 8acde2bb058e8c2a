//! Resources as a client holds them: name, serialized bytes, and a checksum of the bytes as the version.
//!
//! The version of a resource is a checksum and not a counter, so that a controller recognizes resources that a client
//! got from another controller or before a restart.

use bytes::Bytes;
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_128, Xxh3};

/// The name of a resource, shared by all snapshots and deltas that contain the resource.
pub type ResourceName = Arc<str>;

/// The resource types that a controller serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    /// `Cluster`: one for each operation.
    Clusters,
    /// `ClusterLoadAssignment`: the table of an operation.
    Endpoints,
    /// `LbEndpoint`: single entries of a table, for clients that subscribe to them.
    Entries,
    /// `Listener`: one for each operation.
    Listeners,
    /// `RouteConfiguration`: the routes of operations.
    Routes,
}

/// The order in which types are sent: a resource is sent before the resources that refer to it.
pub const SEND_ORDER: [ResourceType; 5] = [
    ResourceType::Clusters,
    ResourceType::Endpoints,
    ResourceType::Entries,
    ResourceType::Listeners,
    ResourceType::Routes,
];

impl ResourceType {
    /// Whether a state-of-the-world response lists every resource of the type, so that a missing one counts as removed.
    pub fn is_complete_set(self) -> bool {
        matches!(self, ResourceType::Clusters | ResourceType::Listeners)
    }
}

/// An XXH3-128 checksum, formatted as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Checksum(pub u128);

/// The number of hexadecimal digits of a formatted checksum.
const CHECKSUM_DIGITS: usize = 32;

impl Checksum {
    /// The checksum of a set of resources, given by name and checksum in the order of their names.
    ///
    /// The hashed input is, for each resource, the length of its name (8 bytes, little-endian), the name, and its
    /// checksum (16 bytes, little-endian). The result is on the wire (`system_version_info`), so this form must not
    /// change.
    pub fn of_set<'a>(resources: impl Iterator<Item = (&'a str, Checksum)>) -> Checksum {
        let mut hash = Xxh3::new();
        for (name, checksum) in resources {
            hash.update(&(name.len() as u64).to_le_bytes());
            hash.update(name.as_bytes());
            hash.update(&checksum.0.to_le_bytes());
        }
        Checksum(hash.digest128())
    }
}

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The error for a text that is not a checksum.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a checksum of 32 hexadecimal digits")]
pub struct ChecksumError(pub String);

impl std::str::FromStr for Checksum {
    type Err = ChecksumError;

    fn from_str(text: &str) -> Result<Checksum, ChecksumError> {
        let error = || ChecksumError(text.to_string());
        // `from_str_radix` alone would also accept a sign.
        if text.len() != CHECKSUM_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(error());
        }
        u128::from_str_radix(text, 16)
            .map(Checksum)
            .map_err(|_| error())
    }
}

/// A serialized resource with its checksum.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    /// The checksum of `bytes`: the resource's version.
    pub checksum: Checksum,
    /// The serialized message.
    pub bytes: Bytes,
}

impl Resource {
    /// Creates a resource from its serialized message and computes the checksum.
    pub fn new(bytes: impl Into<Bytes>) -> Resource {
        let bytes = bytes.into();
        Resource {
            checksum: Checksum(xxh3_128(&bytes)),
            bytes,
        }
    }
}
