//! Compaction: rewrites the state file with a single commit that holds the current state.

use crate::error::StoreError;
use crate::format::{encode_frame, header};
use crate::store::{sync_parent, Store};
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use wheelspread_faults::failpoint;

/// The temporary path to which a compacted file is written before it is renamed over the state file.
fn draft_path(path: &Path) -> PathBuf {
    let mut draft = path.as_os_str().to_os_string();
    draft.push(".draft");
    PathBuf::from(draft)
}

impl Store {
    /// Writes the current state as one commit to a temporary file and renames it over the state file, so that a crash
    /// leaves either the old file or the new one.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        let path = self.path.clone();
        self.replace_file().map_err(StoreError::io(&path))
    }

    fn replace_file(&mut self) -> io::Result<()> {
        let draft = draft_path(&self.path);
        let frame = encode_frame(&self.state.to_commit())?;
        let bytes = [header().as_bytes(), &frame].concat();
        failpoint("store.compact")?;
        let mut file = File::create(&draft)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        failpoint("store.compacted")?;
        file.try_lock()
            .map_err(|error| io::Error::other(error.to_string()))?;
        std::fs::rename(&draft, &self.path)?;
        sync_parent(&self.path)?;
        self.file = file;
        self.bytes = bytes.len() as u64;
        self.compacted_bytes = self.bytes;
        failpoint("store.renamed")
    }
}
