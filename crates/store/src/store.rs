//! The open file, to which commits are appended.

use crate::error::StoreError;
use crate::format::encode_frame;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use wheelspread_config_transaction::{Commit, PersistedState};
use wheelspread_faults::failpoint;

/// An open state file. Its lock is held as long as the store exists.
#[derive(Debug)]
pub struct Store {
    pub(crate) path: PathBuf,
    pub(crate) file: File,
    pub(crate) state: PersistedState,
    /// The length of the file, without bytes of a failed commit.
    pub(crate) bytes: u64,
    pub(crate) compacted_bytes: u64,
}

impl Store {
    pub(crate) fn new(path: &Path, file: File, state: PersistedState, bytes: u64) -> Store {
        Store {
            path: path.to_path_buf(),
            file,
            state,
            bytes,
            compacted_bytes: 0,
        }
    }

    /// The state after all commits.
    pub fn state(&self) -> &PersistedState {
        &self.state
    }

    /// The length of the file in bytes after its last compaction; 0 if it was not compacted since it was opened.
    pub fn compacted_bytes(&self) -> u64 {
        self.compacted_bytes
    }

    /// The length of the file in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends a commit. When this returns `Ok`, the commit is synced to the disk; after an error it is not part of the
    /// state.
    pub fn commit(&mut self, commit: Commit) -> Result<(), StoreError> {
        let frame = encode_frame(&commit).map_err(StoreError::io(&self.path))?;
        if let Err(error) = self.append(&frame) {
            // Without truncation a partial frame would precede the next commit. If the truncation fails too, the
            // partial frame is treated as a torn commit when the file is opened again.
            let _ = self.file.set_len(self.bytes);
            return Err(StoreError::io(&self.path)(error));
        }
        self.bytes += frame.len() as u64;
        self.state.apply(commit);
        Ok(())
    }

    fn append(&mut self, frame: &[u8]) -> io::Result<()> {
        failpoint("store.begin")?;
        let (first, rest) = frame.split_at(frame.len() / 2);
        self.file.write_all(first)?;
        failpoint("store.half")?;
        self.file.write_all(rest)?;
        failpoint("store.written")?;
        self.file.sync_data()?;
        failpoint("store.synced")
    }
}

/// Syncs the parent directory, so that a new or renamed file survives a crash.
pub(crate) fn sync_parent(path: &Path) -> io::Result<()> {
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(parent)?.sync_all()
}
