//! Why a store can't be opened or written.

use crate::format::FORMAT_VERSION;
use std::io;
use std::path::{Path, PathBuf};

/// Why a store can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk refused an operation.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the disk said.
        source: io::Error,
    },
    /// The file was written by a newer program.
    #[error("{path} is of format {found}, this program reads none above {FORMAT_VERSION}", path = .path.display())]
    NewerFormat {
        /// The file.
        path: PathBuf,
        /// The version of its format.
        found: u32,
    },
    /// Another program has the file open.
    #[error("{path} is in use by another program", path = .path.display())]
    InUse {
        /// The file.
        path: PathBuf,
    },
}

impl StoreError {
    /// Wraps an error of the disk with the path of the file.
    pub(crate) fn io(path: &Path) -> impl Fn(io::Error) -> StoreError + '_ {
        |source| StoreError::Io {
            path: path.to_path_buf(),
            source,
        }
    }
}
