//! Which resources of a type a client subscribed to.

use crate::resource::Checksum;
use std::collections::BTreeSet;

/// Subscribes to every resource of a type.
pub(crate) const WILDCARD: &str = "*";
/// At the end of a name: subscribes to everything below it.
const GLOB_SUFFIX: &str = "/*";

/// Whether a name stands for more than one resource.
pub(crate) fn is_pattern(name: &str) -> bool {
    name == WILDCARD || name.ends_with(GLOB_SUFFIX)
}

/// The names that a client subscribed to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceFilter {
    /// Everything of the type.
    pub wildcard: bool,
    /// Names; one that ends in `/*` stands for all below it.
    pub names: BTreeSet<String>,
}

impl ResourceFilter {
    /// Whether the resource of this name is subscribed to.
    pub fn matches(&self, name: &str) -> bool {
        if self.wildcard || self.names.contains(name) {
            return true;
        }
        let has_glob_at = |(slash, _): (usize, char)| {
            let mut pattern = name[..=slash].to_string();
            pattern.push('*');
            self.names.contains(&pattern)
        };
        name.char_indices()
            .filter(|(_, character)| *character == '/')
            .any(has_glob_at)
    }

    /// The same for all clients that subscribed to the same.
    pub fn fingerprint(&self) -> Checksum {
        let wildcard = self.wildcard.then_some(WILDCARD);
        let names = self.names.iter().map(String::as_str);
        Checksum::of_set(
            wildcard
                .into_iter()
                .chain(names)
                .map(|name| (name, Checksum(0))),
        )
    }

    /// Whether nothing is subscribed to.
    pub fn is_empty(&self) -> bool {
        !self.wildcard && self.names.is_empty()
    }
}
