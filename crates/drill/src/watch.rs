//! Watches the table directories as a reader would, and records each swap with the tables it published.

use crate::proxies::entries_by_operation;
use crate::records::{Record, Recorder};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use wheelspread::time::Span;
use wheelspread_files::{read_tables, CURRENT};
use wheelspread_reactor::{self as reactor, FsEvent, Poll, Token, Watcher};

pub struct TableDirectoryWatch {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl TableDirectoryWatch {
    /// Starts the watch; `directories` maps each path to the numbers of its controller and proxy.
    pub fn start(
        directories: BTreeMap<PathBuf, (usize, usize)>,
        recorder: Recorder,
    ) -> std::io::Result<TableDirectoryWatch> {
        let mut poll = Poll::new()?;
        let mut watcher = Watcher::new(&poll, Token(0))?;
        for directory in directories.keys() {
            watcher.add(directory)?;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        let run = move || {
            let mut ready = Vec::new();
            while !stop_requested.load(Ordering::Relaxed) {
                if poll.wait(Span::from_seconds(0.1), &mut ready).is_err() {
                    return;
                }
                let now = reactor::now();
                for event in watcher.events().unwrap_or_default() {
                    let FsEvent::File { directory, name } = event else {
                        continue;
                    };
                    let Some((controller, proxy)) = directories
                        .get(&directory)
                        .copied()
                        .filter(|_| name == CURRENT)
                    else {
                        continue;
                    };
                    let record = match read_tables(&directory) {
                        Ok(Some(loaded)) => {
                            let (version, hash) = (loaded.tables.version.0, loaded.hash.clone());
                            Record::TablesSwapped {
                                controller,
                                proxy,
                                version,
                                hash,
                                entries: entries_by_operation(&loaded),
                            }
                        }
                        Ok(None) => Record::SwapUnreadable {
                            controller,
                            proxy,
                            reason: "nothing there".to_string(),
                        },
                        Err(error) => Record::SwapUnreadable {
                            controller,
                            proxy,
                            reason: error.to_string(),
                        },
                    };
                    recorder.record(now, record);
                }
            }
        };
        let thread = std::thread::Builder::new()
            .name("watch".to_string())
            .spawn(run)?;
        Ok(TableDirectoryWatch {
            stop,
            thread: Some(thread),
        })
    }
}

impl Drop for TableDirectoryWatch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
