//! Waits for the disk in a thread of its own, so that the writer can go on without it.

use std::fs::File;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// A thread that syncs files to the disk.
pub(super) struct SyncThread {
    requests: Sender<Vec<File>>,
    results: Receiver<io::Result<()>>,
    timeout: Duration,
    /// Requests without a result yet.
    pending: usize,
    /// Whether a sync was not waited for, or failed after it was not waited for.
    unsynced: bool,
}

impl SyncThread {
    pub(super) fn start(
        timeout_seconds: f64,
        sync: impl Fn(&File) -> io::Result<()> + Send + 'static,
    ) -> io::Result<SyncThread> {
        let (requests, requested) = channel::<Vec<File>>();
        let (finished, results) = channel();
        let work = move || {
            for files in requested {
                if finished.send(files.iter().try_for_each(&sync)).is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .name("disk".to_string())
            .spawn(work)?;
        Ok(SyncThread {
            requests,
            results,
            timeout: Duration::from_secs_f64(timeout_seconds),
            pending: 0,
            unsynced: false,
        })
    }

    /// Waits until the files are on the disk, or until the timeout. While earlier requests are pending it does not wait
    /// at all: the disk is slow, and each version would be late by as much again.
    pub(super) fn sync(&mut self, files: Vec<File>) -> io::Result<()> {
        self.collect_late_results();
        if self.requests.send(files).is_err() {
            return Err(io::Error::other("the thread that asks the disk is gone"));
        }
        self.pending += 1;
        if self.pending > 1 {
            self.unsynced = true;
            return Ok(());
        }
        match self.results.recv_timeout(self.timeout) {
            Ok(result) => {
                self.pending -= 1;
                result
            }
            Err(_) => {
                self.unsynced = true;
                Ok(())
            }
        }
    }

    fn collect_late_results(&mut self) {
        for result in self.results.try_iter() {
            self.pending = self.pending.saturating_sub(1);
            self.unsynced |= result.is_err();
        }
    }

    /// Whether a sync was not waited for since the last call.
    pub(super) fn take_unsynced(&mut self) -> bool {
        std::mem::take(&mut self.unsynced)
    }
}
