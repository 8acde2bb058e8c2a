//! Directories watched for names that are moved into them, as a swap by rename does.

use crate::{Interest, Poll, Token};
use rustix::fd::OwnedFd;
use rustix::fs::inotify;
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::path::{Path, PathBuf};

/// A name that was moved into, or written in, a watched directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Moved {
    Into {
        directory: PathBuf,
        name: String,
    },
    /// So much happened that some of it was lost: look at everything.
    Overflow,
    /// The directory itself went away.
    Gone {
        directory: PathBuf,
    },
}

pub struct Watcher {
    fd: OwnedFd,
    directories: BTreeMap<i32, PathBuf>,
}

impl Watcher {
    pub fn new(poll: &Poll, token: Token) -> io::Result<Watcher> {
        let fd = inotify::init(inotify::CreateFlags::CLOEXEC | inotify::CreateFlags::NONBLOCK)?;
        poll.add(&fd, token, Interest::Readable)?;
        Ok(Watcher {
            fd,
            directories: BTreeMap::new(),
        })
    }

    /// Names written in place are told too, when their writer closes them: not everyone swaps.
    pub fn add(&mut self, directory: &Path) -> io::Result<()> {
        let flags = inotify::WatchFlags::MOVED_TO
            | inotify::WatchFlags::CLOSE_WRITE
            | inotify::WatchFlags::DELETE_SELF
            | inotify::WatchFlags::MOVE_SELF
            | inotify::WatchFlags::ONLYDIR;
        let watch = inotify::add_watch(&self.fd, directory, flags)?;
        self.directories.insert(watch, directory.to_path_buf());
        Ok(())
    }

    /// What happened since the last call.
    pub fn moved(&mut self) -> io::Result<Vec<Moved>> {
        let mut moved = Vec::new();
        let mut buffer = [MaybeUninit::<u8>::uninit(); 16384];
        let mut reader = inotify::Reader::new(&self.fd, &mut buffer);
        loop {
            let event = match reader.next() {
                Ok(event) => event,
                Err(Errno::AGAIN) => return Ok(moved),
                Err(Errno::INTR) => continue,
                Err(error) => return Err(error.into()),
            };
            if event.events().contains(inotify::ReadFlags::QUEUE_OVERFLOW) {
                moved.push(Moved::Overflow);
                continue;
            }
            let Some(directory) = self.directories.get(&event.wd()).cloned() else {
                continue;
            };
            let lost = inotify::ReadFlags::DELETE_SELF | inotify::ReadFlags::MOVE_SELF;
            if event.events().intersects(lost) {
                moved.push(Moved::Gone { directory });
            } else if let Some(name) = event.file_name().and_then(|name| name.to_str().ok()) {
                moved.push(Moved::Into {
                    directory,
                    name: name.to_string(),
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
