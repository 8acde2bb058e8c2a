//! Swaps in single files, so that no reader sees half of one.

use crate::root::DRAFT_PREFIX;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Replaces a file and waits until the new one is on the disk, as an operator does with a list.
pub fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let draft = draft_path(path)?;
    write(&draft, text)?;
    sync(&draft)?;
    fs::rename(&draft, path)
}

/// Replaces a file without waiting for the disk, where the file need not outlive the machine, as a proxy's status.
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
            "a file in a directory is expected",
        )),
    }
}
