//! Where the parts of a root of tables lie.

use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;

/// The document of endpoints in a version's directory.
pub const EDS: &str = "eds.json";
/// The document of routes in a version's directory.
pub const RDS: &str = "rds.json";
/// The link in a proxy's directory to the version that it should use.
pub const CURRENT: &str = "current";

/// Names of what is not finished yet start so; nobody reads them.
pub(crate) const DRAFT_PREFIX: &str = ".draft-";
/// Digits of a version's name: so many that names sort in the order of their versions.
const VERSION_DIGITS: usize = 12;

/// The root of a controller's tables.
#[derive(Clone, Debug)]
pub struct TableRoot(PathBuf);

impl TableRoot {
    /// The root at a path.
    pub fn new(path: impl Into<PathBuf>) -> TableRoot {
        TableRoot(path.into())
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// The directory of all versions.
    pub fn versions(&self) -> PathBuf {
        self.0.join("versions")
    }

    /// The directory of one version.
    pub fn version(&self, version: Version) -> PathBuf {
        self.versions().join(version_name(version))
    }

    /// The directory of all proxies' directories.
    pub fn proxies(&self) -> PathBuf {
        self.0.join("gateways")
    }

    /// The directory of one proxy.
    pub fn proxy(&self, proxy: &str) -> PathBuf {
        self.proxies().join(proxy)
    }

    /// The directory of all statuses.
    pub fn statuses(&self) -> PathBuf {
        self.0.join("status")
    }

    /// The status of one proxy.
    pub fn status(&self, proxy: &str) -> PathBuf {
        self.statuses().join(format!("{proxy}.json"))
    }

    /// Creates the directories that are missing.
    pub fn prepare(&self) -> std::io::Result<()> {
        for directory in [self.versions(), self.proxies(), self.statuses()] {
            std::fs::create_dir_all(directory)?;
        }
        Ok(())
    }
}

pub(crate) fn version_name(version: Version) -> String {
    format!("{:0width$}", version.0, width = VERSION_DIGITS)
}

pub(crate) fn parse_version_name(name: &str) -> Option<Version> {
    if name.len() != VERSION_DIGITS {
        return None;
    }
    name.parse().ok().map(Version)
}
