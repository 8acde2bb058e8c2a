//! TableFiles from the directory of the conductor that the proxy is joined to. On coming to a conductor the
//! proxy keeps what it holds until that one swaps something in: what lies there may be of long ago.

use std::io;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use wheelspread_controller_core::publication::Version;
use wheelspread_files::{read_tables, swap, Held, Root, CURRENT};
use wheelspread_reactor::{Moved, Poll, Token, Watcher};
use wheelspread_xds::status::{self, Status};

/// File systems date by a clock that may lie behind by a tick.
const COARSE: Duration = Duration::from_millis(20);

pub struct TableFiles {
    name: String,
    roots: Vec<Root>,
    watcher: Watcher,
    watched: Option<usize>,
    version: Version,
    publishes: bool,
}

/// What looking at the files led to.
pub enum TableUpdate {
    Unchanged,
    New(Box<Held>),
    Rejected(String),
}

impl TableFiles {
    pub fn new(
        poll: &Poll,
        token: Token,
        name: &str,
        roots: Vec<PathBuf>,
        publishes: bool,
    ) -> io::Result<TableFiles> {
        let watcher = Watcher::new(poll, token)?;
        let roots = roots.into_iter().map(Root::new).collect();
        Ok(TableFiles {
            name: name.to_string(),
            roots,
            watcher,
            watched: None,
            version: Version(0),
            publishes,
        })
    }

    fn gateway(&self, conductor: usize) -> PathBuf {
        self.roots[conductor].gateway(&self.name)
    }

    /// At its start a proxy goes by the first tables that lie there, if any do.
    pub fn start(&mut self) -> TableUpdate {
        for conductor in 0..self.roots.len() {
            if let looked @ TableUpdate::New(_) = self.look(conductor) {
                return looked;
            }
        }
        TableUpdate::Unchanged
    }

    /// The proxy is joined to this conductor from now on, which it began to dial at `dialled`. What was swapped
    /// in since is for it, though the watch came too late to tell of it.
    pub fn follow(
        &mut self,
        poll: &Poll,
        token: Token,
        conductor: usize,
        dialled: SystemTime,
    ) -> io::Result<TableUpdate> {
        if self.watched != Some(conductor) {
            let directory = self.gateway(conductor);
            std::fs::create_dir_all(&directory)?;
            let mut watcher = Watcher::new(poll, token)?;
            watcher.add(&directory)?;
            (self.watcher, self.watched) = (watcher, Some(conductor));
            let swapped =
                std::fs::symlink_metadata(directory.join(CURRENT)).and_then(|link| link.modified());
            if swapped.is_ok_and(|at| at + COARSE >= dialled) {
                return Ok(self.look(conductor));
            }
        }
        Ok(TableUpdate::Unchanged)
    }

    /// The watch told something.
    pub fn moved(&mut self) -> io::Result<TableUpdate> {
        let mine = |moved: &Moved| match moved {
            Moved::Into { name, .. } => name == CURRENT,
            Moved::Overflow | Moved::Gone { .. } => true,
        };
        let moved = self.watcher.moved()?;
        if moved
            .iter()
            .any(|moved| matches!(moved, Moved::Gone { .. }))
        {
            self.watched = None;
        }
        match self.watched {
            Some(conductor) if moved.iter().any(mine) => Ok(self.look(conductor)),
            _ => Ok(TableUpdate::Unchanged),
        }
    }

    fn look(&mut self, conductor: usize) -> TableUpdate {
        match read_tables(&self.gateway(conductor)) {
            Ok(None) => TableUpdate::Unchanged,
            Ok(Some(held)) => {
                self.version = held.orders.version;
                self.publish(conductor, None);
                TableUpdate::New(Box::new(held))
            }
            Err(error) => {
                let refused = (error.version().unwrap_or_default(), error.to_string());
                self.publish(conductor, Some(refused));
                TableUpdate::Rejected(error.to_string())
            }
        }
    }

    /// Says what is held, or why something was not taken. A conductor that does not hear it goes by time.
    fn publish(&self, conductor: usize, refused: Option<(Version, String)>) {
        if !self.publishes {
            return;
        }
        let told = Status {
            proxy: self.name.clone(),
            version: self.version,
            refused,
        };
        let path = self.roots[conductor].status(&self.name);
        let written = status::write(&told).map_err(|error| error.to_string());
        let written =
            written.and_then(|text| swap::place(&path, &text).map_err(|error| error.to_string()));
        if let Err(reason) = written {
            tracing::debug!(proxy = self.name, reason, "status not published");
        }
    }
}

#[cfg(test)]
mod tests;
