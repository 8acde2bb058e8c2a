//! The thread that writes tables.
//!
//! A disk may take seconds to say that something is on it. The loop that decides does not wait for it, and proxies wait
//! for it only so long: a table in time counts for more than one that outlives a loss of power, after which it would be
//! written again. Jobs go one way, their results the other.

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

/// What the thread is to do.
#[derive(Debug)]
pub enum WriteJob {
    /// Writes a version if it is not there, and points a proxy at it.
    Publish {
        /// The proxy.
        proxy: String,
        /// The version with its tables.
        set: Arc<TableSet>,
    },
    /// Removes a version that no proxy is pointed at.
    Remove {
        /// The version.
        version: Version,
    },
    /// Versions of later jobs are encoded for this deployment.
    Reconfigure(Box<Deployment>),
}

/// What came of a job.
#[derive(Debug)]
pub enum WriteResult {
    /// A proxy is pointed at a version, or not.
    Published {
        /// The proxy.
        proxy: String,
        /// The version.
        version: Version,
        /// Why not.
        result: Result<(), PublishError>,
    },
    /// A version could not be removed.
    RemovalFailed {
        /// The version.
        version: Version,
        /// What the system says.
        error: io::Error,
    },
    /// A version was published before the disk said that it has it.
    PublishedUnsynced {
        /// The version.
        version: Version,
    },
}

/// Why a version was not published.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// Its tables could not be encoded.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// It could not be written, or the proxy not be pointed at it.
    #[error(transparent)]
    Swap(#[from] SwapError),
}

/// The thread that writes tables.
pub struct TableWriter {
    /// `None` once the thread is to end.
    jobs: Option<Sender<WriteJob>>,
    results: Receiver<WriteResult>,
    thread: Option<JoinHandle<()>>,
}

/// The disk is waited for so long, as a part of the longest delay of a message.
const SYNC_TIMEOUT_RATIO: f64 = 0.5;

impl TableWriter {
    /// Starts the thread. `waker` wakes the loop that reads the results.
    pub fn start(root: TableRoot, deployment: Deployment, waker: Waker) -> io::Result<TableWriter> {
        let (jobs, submitted) = channel::<WriteJob>();
        let (finished, results) = channel();
        let sync_timeout = deployment.update_queue.max_delay.seconds() * SYNC_TIMEOUT_RATIO;
        let sync = SyncThread::start(sync_timeout, File::sync_all)?;
        let work = move || {
            let mut publisher = Publisher::new(root, deployment, sync);
            for job in submitted {
                for result in publisher.execute(job) {
                    // The other side is gone only when the program ends.
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

    /// Gives the thread a job. Jobs are carried out in order.
    pub fn submit(&self, job: WriteJob) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
    }

    /// Results that came since the last call.
    pub fn results(&self) -> impl Iterator<Item = WriteResult> + '_ {
        self.results.try_iter()
    }

    /// Lets the thread finish its jobs, and returns the remaining results.
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
