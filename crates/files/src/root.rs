//! The paths below the root of a controller's tables.

use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;

/// The file name of the endpoint document in a version's directory.
pub const EDS: &str = "eds.json";
/// The file name of the route document in a version's directory.
pub const RDS: &str = "rds.json";
/// The name of the link in a proxy's directory to the version that the proxy should use.
pub const CURRENT: &str = "current";

/// The prefix of the names of drafts: files, links and directories that are not complete. Readers ignore them.
pub(crate) const DRAFT_PREFIX: &str = ".draft-";
/// The count of digits in the name of a version's directory, padded with zeros so that names sort by version.
const VERSION_DIGITS: usize = 12;

/// The root directory of a controller's tables.
#[derive(Clone, Debug)]
pub struct TableRoot(PathBuf);

impl TableRoot {
    /// The root at `path`; nothing is created.
    pub fn new(path: impl Into<PathBuf>) -> TableRoot {
        TableRoot(path.into())
    }

    /// The path of the root.
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

    /// The directory that contains the directories of all proxies.
    pub fn proxies(&self) -> PathBuf {
        self.0.join("gateways")
    }

    /// The directory of one proxy.
    pub fn proxy(&self, proxy: &str) -> PathBuf {
        self.proxies().join(proxy)
    }

    /// The directory of the status files of all proxies.
    pub fn statuses(&self) -> PathBuf {
        self.0.join("status")
    }

    /// The status file of one proxy.
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
