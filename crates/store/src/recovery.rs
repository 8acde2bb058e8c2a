//! Opens a state file, validates its frames, and repairs a torn or damaged file.

use crate::error::StoreError;
use crate::format::{decode_frame, header, header_version, Frame, FORMAT_VERSION};
use crate::store::{sync_parent, Store};
use serde::Serialize;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use wheelspread_config_transaction::PersistedState;

/// The condition of a file when it was opened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpenOutcome {
    /// The file was missing, or ended within its header: nothing had been committed.
    Fresh,
    /// The header and all frames are valid.
    #[serde(rename = "sound")]
    Valid,
    /// The write of the last commit was not completed, so the commit was never reported as written. Its bytes were
    /// truncated.
    TornTail {
        /// The number of truncated bytes.
        bytes: u64,
    },
    /// The header or a frame is damaged. The whole file was copied, and the commits before the damage were recovered.
    Damaged {
        /// The path of the copy of the damaged file.
        aside: PathBuf,
        /// The offset of the first byte that was not used.
        at: u64,
        /// The number of bytes from `at` to the end of the file.
        bytes: u64,
    },
}

/// The content of a file, read without repairing it.
#[derive(Clone, Debug, PartialEq)]
pub struct Inspection {
    /// The state after all valid commits.
    pub state: PersistedState,
    /// The length of the valid part at the start of the file; 0 if the header is damaged.
    pub valid_bytes: u64,
    /// The length of the file.
    pub total_bytes: u64,
}

impl Inspection {
    /// Whether the whole file is valid.
    pub fn is_valid(&self) -> bool {
        self.valid_bytes == self.total_bytes
    }
}

/// The result of decoding the bytes of a file.
struct Scan {
    state: PersistedState,
    has_valid_header: bool,
    /// The length of the header and the valid frames at the start of the file.
    valid_bytes: usize,
    /// Whether the valid part is followed by a commit whose write was not completed.
    has_torn_tail: bool,
}

impl Scan {
    fn new(bytes: &[u8]) -> Scan {
        let header = header();
        let mut scan = Scan {
            state: PersistedState::default(),
            has_valid_header: bytes.starts_with(header.as_bytes()),
            // A damaged header does not prevent the commits after it from being recovered.
            valid_bytes: header.len().min(bytes.len()),
            has_torn_tail: false,
        };
        while scan.valid_bytes < bytes.len() {
            match decode_frame(&bytes[scan.valid_bytes..]) {
                Frame::Commit { commit, bytes } => {
                    scan.state.apply(commit);
                    scan.valid_bytes += bytes;
                }
                Frame::Torn => {
                    scan.has_torn_tail = true;
                    break;
                }
                Frame::Damaged => break,
            }
        }
        scan
    }
}

/// Whether a file ends within its header, because the process was killed before the first commit.
fn ends_within_header(bytes: &[u8]) -> bool {
    let header = header();
    bytes.len() < header.len() && header.as_bytes().starts_with(bytes)
}

/// Opens a file or creates it, and takes its lock.
fn open_locked(path: &Path) -> Result<File, StoreError> {
    let file = OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(path)
        .map_err(StoreError::io(path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::InUse {
            path: path.to_path_buf(),
        }),
        Err(TryLockError::Error(error)) => Err(StoreError::io(path)(error)),
    }
}

impl Store {
    /// Opens a file or creates it, repairs it if it is torn or damaged, and reports the condition in which it was found.
    /// Fails if another process holds its lock or its format is newer than [`FORMAT_VERSION`].
    pub fn open(path: &Path) -> Result<(Store, OpenOutcome), StoreError> {
        let is_missing = !path.exists();
        let mut file = open_locked(path)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(StoreError::io(path))?;
        if is_missing || ends_within_header(&bytes) {
            let store = Store::initialize(path, file)?;
            return Ok((store, OpenOutcome::Fresh));
        }
        if let Some(found) = header_version(&bytes).filter(|version| *version > FORMAT_VERSION) {
            return Err(StoreError::NewerFormat {
                path: path.to_path_buf(),
                found,
            });
        }
        let scan = Scan::new(&bytes);
        let is_valid = scan.valid_bytes == bytes.len();
        match scan.has_valid_header && (is_valid || scan.has_torn_tail) {
            true => Store::open_valid(path, file, scan, &bytes),
            false => Store::open_damaged(path, file, scan, &bytes),
        }
    }

    /// Writes the header of a new file.
    fn initialize(path: &Path, mut file: File) -> Result<Store, StoreError> {
        let header = header();
        file.set_len(0)
            .and_then(|()| file.write_all(header.as_bytes()))
            .and_then(|()| file.sync_all())
            .and_then(|()| sync_parent(path))
            .map_err(StoreError::io(path))?;
        let state = PersistedState::default();
        Ok(Store::new(path, file, state, header.len() as u64))
    }

    /// Opens a file whose frames are valid, and truncates a torn commit at its end.
    fn open_valid(
        path: &Path,
        file: File,
        scan: Scan,
        bytes: &[u8],
    ) -> Result<(Store, OpenOutcome), StoreError> {
        let valid_bytes = scan.valid_bytes as u64;
        let outcome = match scan.has_torn_tail {
            true => {
                file.set_len(valid_bytes)
                    .and_then(|()| file.sync_all())
                    .map_err(StoreError::io(path))?;
                OpenOutcome::TornTail {
                    bytes: bytes.len() as u64 - valid_bytes,
                }
            }
            false => OpenOutcome::Valid,
        };
        let store = Store::new(path, file, scan.state, valid_bytes);
        Ok((store, outcome))
    }

    /// Copies a damaged file and replaces it by a compacted one with the valid commits.
    fn open_damaged(
        path: &Path,
        file: File,
        scan: Scan,
        bytes: &[u8],
    ) -> Result<(Store, OpenOutcome), StoreError> {
        let aside = unused_copy_path(path);
        std::fs::write(&aside, bytes).map_err(StoreError::io(path))?;
        let at = scan.valid_bytes as u64;
        let mut store = Store::new(path, file, scan.state, at);
        store.compact()?;
        let outcome = OpenOutcome::Damaged {
            aside,
            at,
            bytes: bytes.len() as u64 - at,
        };
        Ok((store, outcome))
    }

    /// Reads a file without repairing or locking it.
    pub fn inspect(path: &Path) -> Result<Inspection, StoreError> {
        let bytes = std::fs::read(path).map_err(StoreError::io(path))?;
        let scan = Scan::new(&bytes);
        Ok(Inspection {
            state: scan.state,
            valid_bytes: match scan.has_valid_header {
                true => scan.valid_bytes as u64,
                false => 0,
            },
            total_bytes: bytes.len() as u64,
        })
    }
}

/// The first of the paths `PATH.damaged-1`, `PATH.damaged-2` … that does not exist.
fn unused_copy_path(path: &Path) -> PathBuf {
    let numbered = |number: u32| {
        let mut name = path.as_os_str().to_os_string();
        name.push(format!(".damaged-{number}"));
        PathBuf::from(name)
    };
    (1..)
        .map(numbered)
        .find(|path| !path.exists())
        .unwrap_or_else(|| numbered(0))
}
