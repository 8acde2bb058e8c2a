//! All that a client can hold at one version, resource by resource, each with a checksum of its bytes.
//! Checksums and not counters name a resource's version, so what a client brings from another conductor,
//! or from before a restart, is known again wherever it came from.

use bytes::Bytes;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use wheelspread_controller_core::publication::{BundleId, Version};
use xxhash_rust::xxh3::{xxh3_128, Xxh3};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ResourceType {
    Clusters,
    Endpoints,
    /// Single lines of endpoints, for clients that ask for them.
    Entries,
    Listeners,
    Routes,
}

/// What is referred to is sent before what refers to it.
pub const ORDER: [ResourceType; 5] = [
    ResourceType::Clusters,
    ResourceType::Endpoints,
    ResourceType::Entries,
    ResourceType::Listeners,
    ResourceType::Routes,
];

impl ResourceType {
    /// Whether a whole answer names everything that there is, so that what it lacks is gone.
    pub fn complete(self) -> bool {
        matches!(self, ResourceType::Clusters | ResourceType::Listeners)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Checksum(pub u128);

impl fmt::Display for Checksum {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::str::FromStr for Checksum {
    type Err = ();

    fn from_str(text: &str) -> Result<Checksum, ()> {
        let fine = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        fine.then(|| u128::from_str_radix(text, 16).ok().map(Checksum))
            .flatten()
            .ok_or(())
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    pub checksum: Checksum,
    pub bytes: Bytes,
}

impl Resource {
    pub fn new(bytes: impl Into<Bytes>) -> Resource {
        let bytes = bytes.into();
        Resource {
            checksum: Checksum(xxh3_128(&bytes)),
            bytes,
        }
    }
}

pub type ResourceName = Arc<str>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub bundle: BundleId,
    pub version: Version,
    kinds: BTreeMap<ResourceType, BTreeMap<ResourceName, Resource>>,
}

static NONE: BTreeMap<ResourceName, Resource> = BTreeMap::new();

impl Snapshot {
    pub fn new(bundle: BundleId, version: Version) -> Snapshot {
        Snapshot {
            bundle,
            version,
            kinds: BTreeMap::new(),
        }
    }

    pub fn put(&mut self, kind: ResourceType, name: &str, bytes: impl Into<Bytes>) {
        self.kinds
            .entry(kind)
            .or_default()
            .insert(Arc::from(name), Resource::new(bytes));
    }

    pub fn of(&self, kind: ResourceType) -> &BTreeMap<ResourceName, Resource> {
        self.kinds.get(&kind).unwrap_or(&NONE)
    }

    /// Of one kind, or of those resources of it that are wanted.
    pub fn checksum(&self, kind: ResourceType, wanted: impl Fn(&str) -> bool) -> Checksum {
        checksum(
            self.of(kind)
                .iter()
                .filter(|(name, _)| wanted(name))
                .map(|(name, r)| (&**name, r.checksum)),
        )
    }
}

/// Of names, in their order, with the checksums of what they name.
pub fn checksum<'a>(resources: impl Iterator<Item = (&'a str, Checksum)>) -> Checksum {
    let mut hash = Xxh3::new();
    for (name, of) in resources {
        hash.update(&(name.len() as u64).to_le_bytes());
        hash.update(name.as_bytes());
        hash.update(&of.0.to_le_bytes());
    }
    Checksum(hash.digest128())
}

/// Which resources of a kind a client asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceFilter {
    pub all: bool,
    /// A name that ends in `/*` stands for all below it.
    pub names: std::collections::BTreeSet<String>,
}

impl ResourceFilter {
    pub fn wants(&self, name: &str) -> bool {
        if self.all || self.names.contains(name) {
            return true;
        }
        let below = |(at, _): (usize, char)| {
            let mut pattern = name[..=at].to_string();
            pattern.push('*');
            self.names.contains(&pattern)
        };
        name.char_indices().filter(|(_, c)| *c == '/').any(below)
    }

    /// A name of what is asked for: the same for all who ask for the same.
    pub fn name(&self) -> Checksum {
        let all = self.all.then_some("*");
        checksum(
            all.into_iter()
                .chain(self.names.iter().map(String::as_str))
                .map(|name| (name, Checksum(0))),
        )
    }

    pub fn nothing(&self) -> bool {
        !self.all && self.names.is_empty()
    }
}
