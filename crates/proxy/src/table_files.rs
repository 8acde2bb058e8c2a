//! Tables from the directory of the controller that the proxy is joined to. On joining a controller the proxy
//! keeps what it holds until that controller swaps something in: what lies there may be long out of date.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use wheelspread_controller_core::publication::Version;
use wheelspread_files::{read_tables, LoadedTables, ReadError, TableRoot, CURRENT};
use wheelspread_reactor::{FsEvent, Poll, Token, Watcher};
use wheelspread_xds::status::{self, Status};

/// File systems date by a clock that may lie behind by a tick.
const FILE_TIME_TOLERANCE: Duration = Duration::from_millis(20);

/// The table files of a proxy's controllers.
pub struct TableFiles {
    proxy: String,
    roots: Vec<TableRoot>,
    watcher: Watcher,
    /// The controller whose directory is watched.
    watched: Option<usize>,
    /// The version held last.
    version: Version,
    publishes_status: bool,
}

/// What came of reading tables.
pub enum TableUpdate {
    /// There is nothing to read.
    Unchanged,
    /// Tables to apply.
    New(Box<LoadedTables>),
    /// What is there can't be used; with the reason.
    Rejected(String),
}

/// Tables that were not taken, for the proxy's status file.
struct Rejection {
    version: Version,
    reason: String,
}

impl TableFiles {
    /// Files under `roots`, one root for each controller; nothing is watched yet.
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

    /// The first tables that lie under any root: a proxy that starts goes by those.
    pub fn load_existing(&mut self) -> TableUpdate {
        for controller in 0..self.roots.len() {
            let update = self.load(controller);
            if matches!(update, TableUpdate::New(_)) {
                return update;
            }
        }
        TableUpdate::Unchanged
    }

    /// The proxy is joined to this controller from now on, which it began to dial at `dialed_at`. What was
    /// swapped in since is for this proxy, though the watch came too late to tell of it.
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

    /// Handles events of the watch.
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
            Ok(Some(held)) => {
                self.version = held.tables.version;
                self.publish_status(controller, None);
                TableUpdate::New(Box::new(held))
            }
            Err(error) => {
                self.publish_status(controller, Some(Rejection::new(&error)));
                TableUpdate::Rejected(error.to_string())
            }
        }
    }

    /// Says what is held, or why something was not taken. A controller that does not see it goes by time.
    fn publish_status(&self, controller: usize, rejection: Option<Rejection>) {
        if !self.publishes_status {
            return;
        }
        let status = Status {
            proxy: self.proxy.clone(),
            version: self.version,
            refused: rejection.map(|rejection| (rejection.version, rejection.reason)),
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

/// Whether an event of the watch may mean other tables.
fn may_change_tables(event: &FsEvent) -> bool {
    match event {
        FsEvent::File { name, .. } => name == CURRENT,
        FsEvent::Overflow | FsEvent::Removed { .. } => true,
    }
}

#[cfg(test)]
mod tests;
