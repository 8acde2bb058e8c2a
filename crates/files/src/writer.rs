//! The thread that writes tables.
//!
//! A sync may take seconds. The controller's event loop therefore sends jobs to this thread and receives their results
//! asynchronously. A publication waits for a sync only up to a time-out: a table that is on time is more important than
//! one that survives a loss of power, after which it would be written again.

mod publisher;
mod sync_thread;

use crate::root::TableRoot;
use crate::swap::SwapError;
use publisher::Publisher;
use std::fs::File;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use sync_thread::SyncThread;
use wheelspread_controller_core::publication::{TableSet, Version};
use wheelspread_controller_core::Deployment;
use wheelspread_reactor::Waker;
use wheelspread_xds::EncodeError;

/// A job for the writer thread.
#[derive(Debug)]
pub enum WriteJob {
    /// Writes a version if it does not exist, and points a proxy at it.
    Publish {
        /// The proxy.
        proxy: String,
        /// The table set with its version.
        set: Arc<TableSet>,
    },
    /// Removes a version. No proxy may be pointed at it.
    Remove {
        /// The version.
        version: Version,
    },
    /// Replaces the deployment for which the versions of later jobs are encoded.
    Reconfigure(Box<Deployment>),
}

/// The result of a job.
#[derive(Debug)]
pub enum WriteResult {
    /// A `Publish` job ended: the proxy is pointed at the version, or the job failed.
    Published {
        /// The proxy.
        proxy: String,
        /// The version.
        version: Version,
        /// The error of a failed job.
        result: Result<(), PublishError>,
    },
    /// A version could not be removed.
    RemovalFailed {
        /// The version.
        version: Version,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A version was published although a sync had not completed by the time-out, or an earlier late sync failed.
    PublishedUnsynced {
        /// The version.
        version: Version,
    },
}

/// The reason for which a version was not published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// The tables could not be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The version could not be written, or the link not be swapped.
    #[error(transparent)]
    Swap(#[from] SwapError),
}

/// The handle of the thread that writes tables.
pub struct TableWriter {
    /// `None` after [`TableWriter::finish`] closed the channel, which ends the thread.
    jobs: Option<Sender<WriteJob>>,
    results: Receiver<WriteResult>,
    thread: Option<JoinHandle<()>>,
}

/// The time-out of a sync, as a ratio of the maximum delay of the update queue.
const SYNC_TIMEOUT_RATIO: f64 = 0.5;

impl TableWriter {
    /// Starts the thread. `waker` wakes the event loop that reads the results.
    pub fn start(root: TableRoot, deployment: Deployment, waker: Waker) -> io::Result<TableWriter> {
        let (jobs, submitted) = channel::<WriteJob>();
        let (finished, results) = channel();
        let sync_timeout = deployment.update_queue.max_delay.seconds() * SYNC_TIMEOUT_RATIO;
        let sync = SyncThread::start(sync_timeout, File::sync_all)?;
        let work = move || {
            let mut publisher = Publisher::new(root, deployment, sync);
            for job in submitted {
                for result in publisher.execute(job) {
                    // The receiver is dropped only when the process ends.
                    let _ = finished.send(result);
                }
                waker.wake();
            }
        };
        let thread = std::thread::Builder::new()
            .name("writer".to_string())
            .spawn(work)?;
        Ok(TableWriter {
            jobs: Some(jobs),
            results,
            thread: Some(thread),
        })
    }

    /// Submits a job. Jobs are carried out in the order of submission.
    pub fn submit(&self, job: WriteJob) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
    }

    /// The results since the last call.
    pub fn results(&self) -> impl Iterator<Item = WriteResult> + '_ {
        self.results.try_iter()
    }

    /// Waits until the thread has finished all submitted jobs, and returns the remaining results.
    pub fn finish(mut self) -> Vec<WriteResult> {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.results.try_iter().collect()
    }
}

#[cfg(test)]
mod tests;
