//! The open file, to which commits are appended.

use crate::error::StoreError;
use crate::format::encode_frame;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use wheelspread_config_transaction::{Commit, PersistedState};
use wheelspread_faults::failpoint;

/// An open file. It is locked as long as it is open.
#[derive(Debug)]
pub struct Store {
    pub(crate) path: PathBuf,
    pub(crate) file: File,
    pub(crate) state: PersistedState,
    /// The length of the file, all of it sound.
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

    /// The result of all commits.
    pub fn state(&self) -> &PersistedState {
        &self.state
    }

    /// The length of the file after its last compaction; 0: there was none since it was opened.
    pub fn compacted_bytes(&self) -> u64 {
        self.compacted_bytes
    }

    /// The length of the file.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Appends a commit. All of it is on the disk when this returns; after an error none of it counts.
    pub fn commit(&mut self, commit: Commit) -> Result<(), StoreError> {
        let frame = encode_frame(&commit).map_err(StoreError::io(&self.path))?;
        if let Err(error) = self.append(&frame) {
            // A part of the frame would stand before the next one. If this fails too, the part is found as a
            // torn tail when the file is opened.
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

/// Makes a new or renamed file in a folder outlive a crash.
pub(crate) fn sync_parent(path: &Path) -> io::Result<()> {
    let parent = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(parent)?.sync_all()
}
