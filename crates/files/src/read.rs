//! Reading, as a proxy does it.

use crate::{version_of, CURRENT, EDS, RDS};
use sha2::{Digest, Sha256};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use wheelspread_controller_core::publication::Version;
use wheelspread_xds::tables::{self, Documents, ProxyTables};
use wheelspread_xds::DecodeError;

/// Longer documents are no tables of ours.
pub const LONGEST: u64 = 256 << 20;
/// How often the link is followed anew when what it led to is gone meanwhile.
const TRIES: usize = 4;

/// Tables read whole, and what they can be known again by.
#[derive(Clone, Debug)]
pub struct Held {
    pub orders: ProxyTables,
    /// Of both documents, SHA-256 in hexadecimal.
    pub hash: String,
}

#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("{path}: {source}", path = .path.display())]
    Io { path: PathBuf, source: io::Error },
    #[error("{path}: {text}", path = .path.display())]
    Link { path: PathBuf, text: String },
    #[error("version {}: {source}", .version.0)]
    Content {
        version: Version,
        source: DecodeError,
    },
}

impl ReadError {
    /// Which version could not be read, where that is known.
    pub fn version(&self) -> Option<Version> {
        match self {
            ReadError::Content { version, .. } => Some(*version),
            _ => None,
        }
    }
}

/// A file's text, no longer than `LONGEST`.
pub fn text(path: &Path) -> Result<String, ReadError> {
    let named = |source| ReadError::Io {
        path: path.to_path_buf(),
        source,
    };
    let file = std::fs::File::open(path).map_err(named)?;
    let mut text = String::new();
    let read = file
        .take(LONGEST + 1)
        .read_to_string(&mut text)
        .map_err(named)?;
    if read as u64 > LONGEST {
        let long = io::Error::new(
            io::ErrorKind::InvalidData,
            format!("longer than {LONGEST} bytes"),
        );
        return Err(named(long));
    }
    Ok(text)
}

/// What a proxy's directory holds now; `None` while nothing was swapped in.
pub fn read_tables(gateway: &Path) -> Result<Option<Held>, ReadError> {
    let link = gateway.join(CURRENT);
    let mut last = None;
    for _ in 0..TRIES {
        let target = match std::fs::read_link(&link) {
            Ok(target) => target,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(source) => return Err(ReadError::Io { path: link, source }),
        };
        // The link is followed once, and both documents are read from where it led.
        let directory = gateway.join(&target);
        let name = target
            .file_name()
            .map(|name| name.to_string_lossy().into_owned())
            .unwrap_or_default();
        let version = version_of(&name);
        match (text(&directory.join(EDS)), text(&directory.join(RDS))) {
            (Ok(eds), Ok(rds)) => return whole(Documents { eds, rds }, version).map(Some),
            (Err(ReadError::Io { source, path }), _) | (_, Err(ReadError::Io { source, path }))
                if source.kind() == io::ErrorKind::NotFound =>
            {
                last = Some(ReadError::Io { path, source });
            }
            (Err(error), _) | (_, Err(error)) => return Err(error),
        }
    }
    Err(last.unwrap_or(ReadError::Link {
        path: link,
        text: "it leads nowhere".to_string(),
    }))
}

fn whole(documents: Documents, version: Option<Version>) -> Result<Held, ReadError> {
    let orders = tables::read(&documents);
    let orders = orders.map_err(|source| ReadError::Content {
        version: version.unwrap_or_default(),
        source,
    })?;
    let mut hash = Sha256::new();
    hash.update(&documents.eds);
    hash.update(&documents.rds);
    let hash = hash
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    Ok(Held { orders, hash })
}
