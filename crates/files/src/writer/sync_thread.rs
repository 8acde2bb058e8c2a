//! A separate thread for syncs, so that the writer can continue when the disk is slow.

use std::fs::File;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::Duration;

/// A thread that syncs files to the disk.
pub(super) struct SyncThread {
    requests: Sender<Vec<File>>,
    results: Receiver<io::Result<()>>,
    timeout: Duration,
    /// The count of requests whose result was not received yet.
    pending: usize,
    /// Whether [`SyncThread::sync`] returned before its sync had completed, or such a sync failed later.
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

    /// Syncs files and waits for the result up to the time-out, after which `Ok` is returned. While earlier requests are
    /// pending it does not wait, because every version would otherwise be delayed by another time-out on a slow disk.
    pub(super) fn sync(&mut self, files: Vec<File>) -> io::Result<()> {
        self.collect_late_results();
        if self.requests.send(files).is_err() {
            return Err(io::Error::other("the sync thread has ended"));
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

    /// Returns and clears [`SyncThread::unsynced`].
    pub(super) fn take_unsynced(&mut self) -> bool {
        std::mem::take(&mut self.unsynced)
    }
}
