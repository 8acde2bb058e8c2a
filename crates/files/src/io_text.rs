//! Texts of file errors that tell an operator what to fix.

use rustix::io::Errno;
use std::io;

/// Describes an error; the text of the operating system for errors without one of their own.
pub(crate) fn describe(error: &io::Error) -> String {
    let text = match error.raw_os_error().map(Errno::from_raw_os_error) {
        Some(Errno::NOSPC) => "the disk is full",
        Some(Errno::DQUOT) => "the disk quota is exceeded",
        Some(Errno::ROFS) => "the file system is read-only",
        Some(Errno::ACCESS | Errno::PERM) => "permission denied for the user of this process",
        Some(Errno::NOENT) => "the file or directory does not exist",
        _ => return error.to_string(),
    };
    text.to_string()
}
