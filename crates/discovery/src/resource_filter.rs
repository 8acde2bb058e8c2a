//! The filter for the resources of a type that a client subscribed to.

use crate::resource::Checksum;
use std::collections::BTreeSet;

/// The name that subscribes to every resource of a type.
pub(crate) const WILDCARD: &str = "*";
/// The suffix of a name that subscribes to every resource whose name starts with the part before the `*`.
const GLOB_SUFFIX: &str = "/*";

/// Whether a name may match more than one resource.
pub(crate) fn is_pattern(name: &str) -> bool {
    name == WILDCARD || name.ends_with(GLOB_SUFFIX)
}

/// The names that a client subscribed to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResourceFilter {
    /// Whether every resource of the type is subscribed to.
    pub wildcard: bool,
    /// Names; one that ends in `/*` matches every resource whose name starts with the part before the `*`.
    pub names: BTreeSet<String>,
}

impl ResourceFilter {
    /// Whether the resource with this name is subscribed to.
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

    /// A fingerprint of the filter, equal for all clients with the same subscription.
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
