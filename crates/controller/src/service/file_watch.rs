//! Handles changes in the watched directories: the endpoint list, and the status files of proxies.

use super::Controller;
use crate::file::ControllerFile;
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};
use tracing::warn;
use wheelspread::time::Moment;
use wheelspread_controller_core::endpoint_list::{EndpointSnapshot, SnapshotReadError};
use wheelspread_controller_core::Observation;
use wheelspread_files::read_text;
use wheelspread_reactor::{self as reactor, FsEvent};
use wheelspread_xds::{nodes, status};

/// The endpoint list's file, as last read.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) enum ListFile {
    /// Not read yet.
    #[default]
    Unread,
    /// The file could not be read.
    Unreadable {
        /// The error text.
        reason: String,
    },
    /// The text of the file, which may not be a valid list.
    Text(String),
}

impl ListFile {
    fn read(path: &Path) -> ListFile {
        match read_text(path) {
            Ok(text) => ListFile::Text(text),
            Err(error) => ListFile::Unreadable {
                reason: error.to_string(),
            },
        }
    }

    pub(super) fn is_readable(&self) -> bool {
        matches!(self, ListFile::Text(_))
    }

    /// The list for the core, or the reason why there is none.
    fn parse(&self) -> Result<EndpointSnapshot, SnapshotReadError> {
        match self {
            ListFile::Unread => Err(SnapshotReadError::new(
                "the endpoint list has not been read yet",
            )),
            ListFile::Unreadable { reason } => Err(SnapshotReadError::new(reason)),
            ListFile::Text(text) => {
                nodes::read(text, reactor::unix_seconds()).map_err(SnapshotReadError::new)
            }
        }
    }
}

/// The files to read again after a batch of file events.
#[derive(Default)]
struct ChangedFiles {
    endpoint_list: bool,
    /// Names of the proxies whose status files were replaced.
    statuses: BTreeSet<String>,
}

impl Controller {
    pub(super) fn handle_file_events(&mut self, now: Moment) -> io::Result<()> {
        let list_directory = list_directory(&self.file);
        let mut changed = ChangedFiles::default();
        for event in self.watcher.events()? {
            self.collect_file_event(event, &list_directory, &mut changed);
        }
        if changed.endpoint_list {
            self.read_endpoint_list(now);
        }
        for proxy in changed.statuses {
            self.read_status(now, &proxy);
        }
        Ok(())
    }

    fn collect_file_event(
        &mut self,
        event: FsEvent,
        list_directory: &Path,
        changed: &mut ChangedFiles,
    ) {
        match event {
            // A name that begins with a dot is a temporary file that is still being written.
            FsEvent::File { name, .. } if name.starts_with('.') => {}
            FsEvent::File { directory, name } if directory == self.root.statuses() => {
                let proxy = name.strip_suffix(".json").map(str::to_string);
                changed.statuses.extend(proxy);
            }
            FsEvent::File { directory, .. } => changed.endpoint_list |= directory == list_directory,
            FsEvent::Removed { directory } => drop(self.unwatched_directories.insert(directory)),
            // Events were lost, so everything is read again.
            FsEvent::Overflow => {
                changed.endpoint_list = true;
                let members = self.core.members().members();
                changed
                    .statuses
                    .extend(members.map(|(name, _)| name.to_string()));
            }
        }
    }

    /// Retries to watch the directories that have no watch. Once one is watched, the endpoint list is read, because
    /// it may have changed without an event.
    pub(super) fn watch_returned_directories(&mut self, now: Moment) {
        for directory in std::mem::take(&mut self.unwatched_directories) {
            match self.watcher.add(&directory) {
                Ok(()) => self.read_endpoint_list(now),
                Err(_) => drop(self.unwatched_directories.insert(directory)),
            }
        }
    }

    pub(super) fn read_endpoint_list(&mut self, now: Moment) {
        let list_file = ListFile::read(&self.file.conductor.list);
        // The core is not notified of an unchanged list, as after a `touch`.
        if list_file == self.last_list_file {
            return;
        }
        let list = list_file.parse();
        self.last_list_file = list_file;
        self.core.observe(now, Observation::EndpointList(list));
    }

    fn read_status(&mut self, now: Moment, proxy: &str) {
        let text = read_text(&self.root.status(proxy)).map_err(|error| error.to_string());
        let status = text.and_then(|text| status::read(&text).map_err(|error| error.to_string()));
        let status = match status {
            Ok(status) if status.proxy == proxy => status,
            Ok(status) => {
                let names = status.proxy;
                return warn!(proxy, names, "status file names another proxy");
            }
            Err(reason) => return warn!(proxy, reason, "status file cannot be read"),
        };
        let held = Observation::StatusReported {
            proxy: proxy.to_string(),
            version: status.version,
            rejection: None,
        };
        self.core.observe(now, held);
        if let Some((version, reason)) = status.rejected {
            let rejected = Observation::StatusReported {
                proxy: proxy.to_string(),
                version,
                rejection: Some(reason),
            };
            self.core.observe(now, rejected);
        }
    }
}

/// The directory to watch for replacements of the endpoint list.
pub(super) fn list_directory(file: &ControllerFile) -> PathBuf {
    let settings = &file.conductor;
    if let Some(directory) = &settings.watched_directory {
        return directory.clone();
    }
    let parent = settings
        .list
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty());
    parent.unwrap_or(Path::new(".")).to_path_buf()
}
