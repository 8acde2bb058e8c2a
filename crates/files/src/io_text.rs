//! Errors of files as an operator can act on them.

use rustix::io::Errno;
use std::io;

/// What is wrong, in words; the system's own for errors that have none here.
pub(crate) fn describe(error: &io::Error) -> String {
    let text = match error.raw_os_error().map(Errno::from_raw_os_error) {
        Some(Errno::NOSPC) => "the disk is full",
        Some(Errno::DQUOT) => "the quota on this disk is used up",
        Some(Errno::ROFS) => "the file system is read-only",
        Some(Errno::ACCESS | Errno::PERM) => "this user may not write there",
        Some(Errno::NOENT) => "the directory is not there",
        _ => return error.to_string(),
    };
    text.to_string()
}
