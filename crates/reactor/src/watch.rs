//! Directories watched, by inotify, for names that are moved into them, as an atomic swap by rename does.

use crate::{Interest, Poll, Token};
use rustix::fd::OwnedFd;
use rustix::fs::inotify;
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::path::{Path, PathBuf};

/// What happened in a watched directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FsEvent {
    /// A name was moved into the directory, or a file there was written and closed.
    File {
        /// The directory, as it was added.
        directory: PathBuf,
        /// The name within it.
        name: String,
    },
    /// The kernel's queue overflowed and events were lost: the owner has to read everything again.
    Overflow,
    /// The directory itself was removed or renamed.
    Removed {
        /// The directory, as it was added.
        directory: PathBuf,
    },
}

/// An inotify instance with the directories that it watches.
#[derive(Debug)]
pub struct Watcher {
    fd: OwnedFd,
    /// By watch descriptor.
    directories: BTreeMap<i32, PathBuf>,
}

impl Watcher {
    /// Registers a new watcher; [`Poll::wait`] reports it under `token`.
    pub fn new(poll: &Poll, token: Token) -> io::Result<Watcher> {
        let fd = inotify::init(inotify::CreateFlags::CLOEXEC | inotify::CreateFlags::NONBLOCK)?;
        poll.add(&fd, token, Interest::Readable)?;
        Ok(Watcher {
            fd,
            directories: BTreeMap::new(),
        })
    }

    /// Watches a directory. Files written in place are reported too, when their writer closes them, because not
    /// every writer swaps.
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

    /// The events since the last call.
    pub fn events(&mut self) -> io::Result<Vec<FsEvent>> {
        let mut events = Vec::new();
        let mut buffer = [MaybeUninit::<u8>::uninit(); 16384];
        let mut reader = inotify::Reader::new(&self.fd, &mut buffer);
        loop {
            let event = match reader.next() {
                Ok(event) => event,
                Err(Errno::AGAIN) => return Ok(events),
                Err(Errno::INTR) => continue,
                Err(error) => return Err(error.into()),
            };
            if event.events().contains(inotify::ReadFlags::QUEUE_OVERFLOW) {
                events.push(FsEvent::Overflow);
                continue;
            }
            let Some(directory) = self.directories.get(&event.wd()).cloned() else {
                continue;
            };
            let removed = inotify::ReadFlags::DELETE_SELF | inotify::ReadFlags::MOVE_SELF;
            if event.events().intersects(removed) {
                events.push(FsEvent::Removed { directory });
            } else if let Some(name) = event.file_name().and_then(|name| name.to_str().ok()) {
                events.push(FsEvent::File {
                    directory,
                    name: name.to_string(),
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
