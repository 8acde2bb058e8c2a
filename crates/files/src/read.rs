//! Reads the tables of a proxy.

use crate::root::{parse_version_name, CURRENT, EDS, RDS};
use sha2::{Digest, Sha256};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;
use wheelspread_xds::tables::{self, Documents, ProxyTables};
use wheelspread_xds::DecodeError;

/// The maximum length of a file; a longer one is an error.
pub const MAX_FILE_BYTES: u64 = 256 << 20;
/// The maximum count of reads of the link, which is read again if its target was removed in the meantime.
const MAX_LINK_READS: usize = 4;

/// The complete tables of one version.
#[derive(Clone, Debug)]
pub struct LoadedTables {
    /// The tables.
    pub tables: ProxyTables,
    /// Identifies the content: the SHA-256 of both documents in hexadecimal, or the checksums of a stream.
    pub hash: String,
}

/// The error of reading tables or a file.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A file could not be read.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The link did not lead to a version.
    #[error("{path}: the link does not lead to a version", path = .path.display())]
    DanglingLink {
        /// The link.
        path: PathBuf,
    },
    /// The documents could not be decoded as tables.
    #[error("version {}: {source}", .version.0)]
    Content {
        /// The version that the link names; 0 if its target has no version name.
        version: Version,
        /// The error of the decoder.
        source: DecodeError,
    },
}

impl ReadError {
    /// The version that could not be read, if known.
    pub fn version(&self) -> Option<Version> {
        match self {
            ReadError::Content { version, .. } => Some(*version),
            ReadError::Io { .. } | ReadError::DanglingLink { .. } => None,
        }
    }

    fn is_not_found(&self) -> bool {
        matches!(self, ReadError::Io { source, .. } if source.kind() == io::ErrorKind::NotFound)
    }
}

/// Reads a text file of at most [`MAX_FILE_BYTES`]; a longer one is an error.
pub fn read_text(path: &Path) -> Result<String, ReadError> {
    let read = || {
        let file = std::fs::File::open(path)?;
        let mut text = String::new();
        let bytes = file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?;
        if bytes as u64 > MAX_FILE_BYTES {
            let reason = format!("file is longer than {MAX_FILE_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(text)
    };
    read().map_err(|source| ReadError::Io {
        path: path.to_path_buf(),
        source,
    })
}

/// Reads the tables to which the link in a proxy's directory points; `None` if there is no link yet.
pub fn read_tables(proxy_directory: &Path) -> Result<Option<LoadedTables>, ReadError> {
    let link = proxy_directory.join(CURRENT);
    let mut last_error = ReadError::DanglingLink { path: link.clone() };
    for _ in 0..MAX_LINK_READS {
        let target = match std::fs::read_link(&link) {
            Ok(target) => target,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(ReadError::Io { path: link, source }),
        };
        // The link is resolved once, so that both documents are read from the same version.
        match read_documents(&proxy_directory.join(&target)) {
            Ok(documents) => return decode(&documents, link_version(&target)).map(Some),
            // The version was removed after the link was read, so the link now points to a newer version.
            Err(error) if error.is_not_found() => last_error = error,
            Err(error) => return Err(error),
        }
    }
    Err(last_error)
}

fn read_documents(directory: &Path) -> Result<Documents, ReadError> {
    let (eds, rds) = (
        read_text(&directory.join(EDS)),
        read_text(&directory.join(RDS)),
    );
    match (eds, rds) {
        (Ok(eds), Ok(rds)) => Ok(Documents { eds, rds }),
        // A missing document takes precedence over an unreadable one, because the version may be in the course of
        // removal, and then the link is read again.
        (Err(error), Ok(_)) | (Ok(_), Err(error)) => Err(error),
        (Err(eds), Err(rds)) if rds.is_not_found() && !eds.is_not_found() => Err(rds),
        (Err(eds), Err(_)) => Err(eds),
    }
}

fn link_version(target: &Path) -> Option<Version> {
    parse_version_name(&target.file_name()?.to_string_lossy())
}

fn decode(documents: &Documents, version: Option<Version>) -> Result<LoadedTables, ReadError> {
    let tables = tables::read(documents).map_err(|source| ReadError::Content {
        version: version.unwrap_or_default(),
        source,
    })?;
    let mut hash = Sha256::new();
    hash.update(&documents.eds);
    hash.update(&documents.rds);
    let digest = hash.finalize();
    Ok(LoadedTables {
        tables,
        hash: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
    })
}
