//! Errors of opening and writing a store.

use crate::format::FORMAT_VERSION;
use std::io;
use std::path::{Path, PathBuf};

/// The error of opening or writing a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file has a newer format version than this program reads.
    #[error("{path} has format version {found}; this program reads versions up to {FORMAT_VERSION}", path = .path.display())]
    NewerFormat {
        /// The file.
        path: PathBuf,
        /// The format version in the file's header.
        found: u32,
    },
    /// Another process holds the file's lock.
    #[error("{path} is in use by another process", path = .path.display())]
    InUse {
        /// The file.
        path: PathBuf,
    },
}

impl StoreError {
    /// Adds the path of the file to an I/O error.
    pub(crate) fn io(path: &Path) -> impl Fn(io::Error) -> StoreError + '_ {
        |source| StoreError::Io {
            path: path.to_path_buf(),
            source,
        }
    }
}
