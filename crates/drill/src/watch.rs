//! Looks at the directories as any reader would, and writes down each swap and what then lay there.

use crate::proxies::lines;
use crate::records::{Record, Recorder};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use wheelspread::time::Span;
use wheelspread_files::{read_tables, CURRENT};
use wheelspread_reactor::{self as reactor, FsEvent, Poll, Token, Watcher};

pub struct Watch {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// `directories`: by path, whose they are: controller and proxy.
    pub fn start(
        directories: BTreeMap<PathBuf, (usize, usize)>,
        recorder: Recorder,
    ) -> std::io::Result<Watch> {
        let mut poll = Poll::new()?;
        let mut watcher = Watcher::new(&poll, Token(0))?;
        for directory in directories.keys() {
            watcher.add(directory)?;
        }
        let stop = Arc::new(AtomicBool::new(false));
        let told = stop.clone();
        let run = move || {
            let mut ready = Vec::new();
            while !told.load(Ordering::Relaxed) {
                if poll.wait(Span::from_seconds(0.1), &mut ready).is_err() {
                    return;
                }
                let now = reactor::now();
                for moved in watcher.events().unwrap_or_default() {
                    let FsEvent::File { directory, name } = moved else {
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
                        Ok(Some(held)) => {
                            let (version, hash) = (held.tables.version.0, held.hash.clone());
                            Record::Swapped {
                                controller,
                                proxy,
                                version,
                                hash,
                                lines: lines(&held),
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
                    recorder.note(now, record);
                }
            }
        };
        let thread = std::thread::Builder::new()
            .name("watch".to_string())
            .spawn(run)?;
        Ok(Watch {
            stop,
            thread: Some(thread),
        })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
