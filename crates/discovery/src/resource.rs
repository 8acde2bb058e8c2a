//! Resources as a client holds them: name, serialized bytes, and a checksum of the bytes as the version.
//!
//! Checksums and not counters name a resource's version, so what a client brings from another controller, or from
//! before a restart, is recognized wherever it came from.

use bytes::Bytes;
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_128, Xxh3};

/// The name of a resource; shared, because every snapshot and delta that has the resource refers to it.
pub type ResourceName = Arc<str>;

/// The types of resources that are served.
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
    /// `RouteConfiguration`.
    Routes,
}

/// The order in which types are sent: a resource goes out before those that refer to it.
pub const SEND_ORDER: [ResourceType; 5] = [
    ResourceType::Clusters,
    ResourceType::Endpoints,
    ResourceType::Entries,
    ResourceType::Listeners,
    ResourceType::Routes,
];

impl ResourceType {
    /// Whether a state-of-the-world response names every resource of the type, so that a missing one is gone.
    pub fn is_complete_set(self) -> bool {
        matches!(self, ResourceType::Clusters | ResourceType::Listeners)
    }
}

/// An XXH3-128 checksum, written as 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Checksum(pub u128);

/// Digits of a written checksum.
const CHECKSUM_DIGITS: usize = 32;

impl Checksum {
    /// The checksum of a set of resources, given by name and checksum in the order of their names.
    ///
    /// For each: the name's length (8 bytes, little-endian), the name, its checksum (16 bytes, little-endian). The
    /// form is on the wire (`system_version_info`), so it does not change.
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

/// A text that is not a checksum.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a checksum of 32 hexadecimal digits")]
pub struct ChecksumError(pub String);

impl std::str::FromStr for Checksum {
    type Err = ChecksumError;

    fn from_str(text: &str) -> Result<Checksum, ChecksumError> {
        let error = || ChecksumError(text.to_string());
        // `from_str_radix` alone would also take a sign.
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
    /// A resource of these bytes, with its checksum.
    pub fn new(bytes: impl Into<Bytes>) -> Resource {
        let bytes = bytes.into();
        Resource {
            checksum: Checksum(xxh3_128(&bytes)),
            bytes,
        }
    }
}
