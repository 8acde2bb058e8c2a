//! Reads tables from the directory of the controller that the proxy is joined to. After joining a controller the proxy
//! keeps its tables until that controller replaces the files: the existing files may be long out of date.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use wheelspread_controller_core::publication::Version;
use wheelspread_files::{read_tables, LoadedTables, ReadError, TableRoot, CURRENT};
use wheelspread_reactor::{FsEvent, Poll, Token, Watcher};
use wheelspread_xds::status::{self, Status};

/// File systems may take modification times from a clock that is one tick behind the system clock.
const FILE_TIME_TOLERANCE: Duration = Duration::from_millis(20);

/// The table files of a proxy's controllers.
pub struct TableFiles {
    proxy: String,
    roots: Vec<TableRoot>,
    watcher: Watcher,
    /// Index of the controller whose directory is watched.
    watched: Option<usize>,
    /// The version of the tables loaded last.
    version: Version,
    publishes_status: bool,
}

/// The result of reading tables.
pub enum TableUpdate {
    /// There is nothing new to read.
    Unchanged,
    /// Tables to apply.
    New(Box<LoadedTables>),
    /// The tables are not valid; the value is the reason.
    Rejected(String),
}

/// Tables that were rejected, for the proxy's status file.
struct Rejection {
    version: Version,
    reason: String,
}

impl TableFiles {
    /// Creates a reader of the files under `roots`, one root per controller. No directory is watched yet.
    pub fn new(
        poll: &Poll,
        token: Token,
        proxy: &str,
        roots: Vec<PathBuf>,
        publishes_status: bool,
    ) -> io::Result<TableFiles> {
        Ok(TableFiles {
            proxy: proxy.to_string(),
            roots: roots.into_iter().map(TableRoot::new).collect(),
            watcher: Watcher::new(poll, token)?,
            watched: None,
            version: Version(0),
            publishes_status,
        })
    }

    fn directory(&self, controller: usize) -> PathBuf {
        self.roots[controller].proxy(&self.proxy)
    }

    /// Loads the first tables that exist under any root. A starting proxy uses them until it joins a controller.
    pub fn load_existing(&mut self) -> TableUpdate {
        for controller in 0..self.roots.len() {
            let update = self.load(controller);
            if matches!(update, TableUpdate::New(_)) {
                return update;
            }
        }
        TableUpdate::Unchanged
    }

    /// Watches the directory of this controller, which the proxy has joined and started to dial at `dialed_at`. Tables
    /// that were replaced since then are loaded now: they are meant for this proxy, but the watch started too late to
    /// report them.
    pub fn follow(
        &mut self,
        poll: &Poll,
        token: Token,
        controller: usize,
        dialed_at: SystemTime,
    ) -> io::Result<TableUpdate> {
        if self.watched == Some(controller) {
            return Ok(TableUpdate::Unchanged);
        }
        let directory = self.directory(controller);
        std::fs::create_dir_all(&directory)?;
        let mut watcher = Watcher::new(poll, token)?;
        watcher.add(&directory)?;
        self.watcher = watcher;
        self.watched = Some(controller);
        let swapped_at =
            std::fs::symlink_metadata(directory.join(CURRENT)).and_then(|link| link.modified());
        if swapped_at.is_ok_and(|at| at + FILE_TIME_TOLERANCE >= dialed_at) {
            return Ok(self.load(controller));
        }
        Ok(TableUpdate::Unchanged)
    }

    /// Handles the events of the watch.
    pub fn on_watch_event(&mut self) -> io::Result<TableUpdate> {
        let events = self.watcher.events()?;
        let is_gone = |event: &FsEvent| matches!(event, FsEvent::Removed { .. });
        if events.iter().any(is_gone) {
            self.watched = None;
        }
        match self.watched {
            Some(controller) if events.iter().any(may_change_tables) => Ok(self.load(controller)),
            _ => Ok(TableUpdate::Unchanged),
        }
    }

    fn load(&mut self, controller: usize) -> TableUpdate {
        match read_tables(&self.directory(controller)) {
            Ok(None) => TableUpdate::Unchanged,
            Ok(Some(loaded)) => {
                self.version = loaded.tables.version;
                self.publish_status(controller, None);
                TableUpdate::New(Box::new(loaded))
            }
            Err(error) => {
                self.publish_status(controller, Some(Rejection::new(&error)));
                TableUpdate::Rejected(error.to_string())
            }
        }
    }

    /// Writes the version held, or the reason of a rejection, to the status file. A controller that does
    /// not see the file relies on elapsed time instead.
    fn publish_status(&self, controller: usize, rejection: Option<Rejection>) {
        if !self.publishes_status {
            return;
        }
        let status = Status {
            proxy: self.proxy.clone(),
            version: self.version,
            rejected: rejection.map(|rejection| (rejection.version, rejection.reason)),
        };
        let reason = match status::write(&status) {
            Ok(text) => {
                let path = self.roots[controller].status(&self.proxy);
                let Err(error) = wheelspread_files::replace_file_unsynced(&path, &text) else {
                    return;
                };
                error.to_string()
            }
            Err(error) => error.to_string(),
        };
        tracing::debug!(proxy = self.proxy, reason, "status not published");
    }
}

impl Rejection {
    fn new(error: &ReadError) -> Rejection {
        Rejection {
            version: error.version().unwrap_or_default(),
            reason: error.to_string(),
        }
    }
}

/// Whether a watch event may mean that the tables changed.
fn may_change_tables(event: &FsEvent) -> bool {
    match event {
        FsEvent::File { name, .. } => name == CURRENT,
        FsEvent::Overflow | FsEvent::Removed { .. } => true,
    }
}

#[cfg(test)]
mod tests;
