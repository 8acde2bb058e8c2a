//! Reads tables, as a proxy does.

use crate::root::{parse_version_name, CURRENT, EDS, RDS};
use sha2::{Digest, Sha256};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;
use wheelspread_xds::tables::{self, Documents, ProxyTables};
use wheelspread_xds::DecodeError;

/// Longer files are refused: they are no tables.
pub const MAX_FILE_BYTES: u64 = 256 << 20;
/// How often the link is followed again when the version that it led to is gone meanwhile.
const MAX_LINK_READS: usize = 4;

/// Tables of one version that were read completely.
#[derive(Clone, Debug)]
pub struct LoadedTables {
    /// The tables.
    pub tables: ProxyTables,
    /// Identifies what was read: the SHA-256 of both documents in hexadecimal, or a stream's checksums.
    pub hash: String,
}

/// Why tables or a file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// A file could not be read.
    #[error("{path}: {source}", path = .path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The link led to no version.
    #[error("{path}: it leads nowhere", path = .path.display())]
    DanglingLink {
        /// The link.
        path: PathBuf,
    },
    /// The documents are no tables.
    #[error("version {}: {source}", .version.0)]
    Content {
        /// The version that the link names.
        version: Version,
        /// What is wrong with them.
        source: DecodeError,
    },
}

impl ReadError {
    /// Which version could not be read, where that is known.
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

/// The text of a file that has at most [`MAX_FILE_BYTES`].
pub fn read_text(path: &Path) -> Result<String, ReadError> {
    let read = || {
        let file = std::fs::File::open(path)?;
        let mut text = String::new();
        let bytes = file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text)?;
        if bytes as u64 > MAX_FILE_BYTES {
            let reason = format!("longer than {MAX_FILE_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(text)
    };
    read().map_err(|source| ReadError::Io {
        path: path.to_path_buf(),
        source,
    })
}

/// The tables that a proxy's directory leads to; `None` while no version was swapped in.
pub fn read_tables(proxy_directory: &Path) -> Result<Option<LoadedTables>, ReadError> {
    let link = proxy_directory.join(CURRENT);
    let mut last_error = ReadError::DanglingLink { path: link.clone() };
    for _ in 0..MAX_LINK_READS {
        let target = match std::fs::read_link(&link) {
            Ok(target) => target,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(ReadError::Io { path: link, source }),
        };
        // The link is followed once, and both documents are read from where it led.
        match read_documents(&proxy_directory.join(&target)) {
            Ok(documents) => return decode(&documents, link_version(&target)).map(Some),
            // The version was removed after the link was read: by now the link leads to a newer one.
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
        // A document that is missing counts more than one that can't be read: the version may be on its way out.
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
