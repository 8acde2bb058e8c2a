//! Directory watches by inotify for files that are replaced by an atomic rename, or written in place.

use crate::{Interest, Poll, Token};
use rustix::fd::OwnedFd;
use rustix::fs::inotify;
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::path::{Path, PathBuf};

/// An event in a watched directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FsEvent {
    /// A file or symbolic link was moved into the directory, or a file in it was written and closed.
    File {
        /// The path with which the directory was added.
        directory: PathBuf,
        /// The file name within the directory.
        name: String,
    },
    /// The event queue of the kernel overflowed and events were lost, so the owner must read all watched files again.
    Overflow,
    /// The directory itself was deleted or renamed.
    Removed {
        /// The path with which the directory was added.
        directory: PathBuf,
    },
}

/// An inotify instance and its watched directories.
#[derive(Debug)]
pub struct Watcher {
    fd: OwnedFd,
    /// The watched directories by watch descriptor.
    directories: BTreeMap<i32, PathBuf>,
}

impl Watcher {
    /// Creates and registers a watcher; [`Poll::wait`] reports its events with `token`.
    pub fn new(poll: &Poll, token: Token) -> io::Result<Watcher> {
        let fd = inotify::init(inotify::CreateFlags::CLOEXEC | inotify::CreateFlags::NONBLOCK)?;
        poll.add(&fd, token, Interest::Readable)?;
        Ok(Watcher {
            fd,
            directories: BTreeMap::new(),
        })
    }

    /// Watches a directory. Files written in place are also reported, when their writer closes them, because not all
    /// writers replace files by rename.
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
