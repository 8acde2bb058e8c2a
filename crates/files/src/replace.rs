//! Replaces single files by rename, so that no reader sees a partial file.

use crate::root::DRAFT_PREFIX;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Replaces a file after syncing the new content to the disk, as for an operator's endpoint list.
pub fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let draft = draft_path(path)?;
    write(&draft, text)?;
    sync(&draft)?;
    fs::rename(&draft, path)
}

/// Replaces a file without a sync, for files that need not survive a loss of power, such as a proxy's status.
pub fn replace_file_unsynced(path: &Path, text: &str) -> io::Result<()> {
    let draft = draft_path(path)?;
    fs::write(&draft, text)?;
    fs::rename(&draft, path)
}

pub(crate) fn write(path: &Path, text: &str) -> io::Result<()> {
    File::create(path)?.write_all(text.as_bytes())
}

fn sync(path: &Path) -> io::Result<()> {
    File::open(path)?.sync_all()
}

fn draft_path(path: &Path) -> io::Result<PathBuf> {
    match (path.parent(), path.file_name()) {
        (Some(directory), Some(file)) => {
            Ok(directory.join(format!("{DRAFT_PREFIX}{}", file.to_string_lossy())))
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidInput,
            "path has no parent directory or no file name",
        )),
    }
}
