//! The files front. Under one root:
//!
//! ```text
//! versions/<version>/eds.json, rds.json   written once, never changed
//! gateways/<proxy>/current                a link to one of them, swapped by rename(2)
//! status/<proxy>.json                     what the proxy says that it holds, swapped in by it
//! ```
//!
//! A version appears under its name only when both documents are whole and on the disk, and a proxy
//! comes to it by one rename: whoever follows the link once has all its tables at one version.

pub mod read;
pub mod scan;
pub mod swap;
pub mod writer;

pub use read::{read_tables, Held, ReadError};
pub use scan::{scan, Scan};
pub use writer::{Done, Job, Writer};

use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;

pub const EDS: &str = "eds.json";
pub const RDS: &str = "rds.json";
pub const CURRENT: &str = "current";

/// Names of what is not finished yet start so; nobody reads them.
pub(crate) const DRAFT: &str = ".draft-";

/// Where the parts of a root lie.
#[derive(Clone, Debug)]
pub struct Root(PathBuf);

impl Root {
    pub fn new(path: impl Into<PathBuf>) -> Root {
        Root(path.into())
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn versions(&self) -> PathBuf {
        self.0.join("versions")
    }

    pub fn version(&self, version: Version) -> PathBuf {
        self.versions().join(name(version))
    }

    pub fn gateways(&self) -> PathBuf {
        self.0.join("gateways")
    }

    pub fn gateway(&self, proxy: &str) -> PathBuf {
        self.gateways().join(proxy)
    }

    pub fn statuses(&self) -> PathBuf {
        self.0.join("status")
    }

    pub fn status(&self, proxy: &str) -> PathBuf {
        self.statuses().join(format!("{proxy}.json"))
    }

    /// Makes what is missing.
    pub fn prepare(&self) -> std::io::Result<()> {
        for directory in [self.versions(), self.gateways(), self.statuses()] {
            std::fs::create_dir_all(directory)?;
        }
        Ok(())
    }
}

/// So many digits that names stand in the order of their versions.
pub(crate) fn name(version: Version) -> String {
    format!("{:012}", version.0)
}

pub(crate) fn version_of(name: &str) -> Option<Version> {
    (name.len() == 12)
        .then(|| name.parse().ok().map(Version))
        .flatten()
}
