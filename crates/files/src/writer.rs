//! The one thread that writes. A disk may take seconds to say that something is on it; the loop that
//! decides does not wait for it. Jobs go one way, what came of them the other.

use crate::swap::Swap;
use crate::Root;
use std::collections::BTreeMap;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use wheelspread_reactor::Waker;
use wheelspread_session::book::{TableSet, Version};
use wheelspread_session::Deployment;
use wheelspread_xds::tables::{self, Documents};

#[derive(Debug)]
pub enum Job {
    Point { proxy: String, set: Arc<TableSet> },
    Retire { version: Version },
}

#[derive(Debug)]
pub enum Done {
    Pointed { proxy: String, version: Version, result: Result<(), String> },
    NotRetired { version: Version, reason: String },
}

pub struct Writer {
    jobs: Option<Sender<Job>>,
    done: Receiver<Done>,
    thread: Option<JoinHandle<()>>,
}

/// Documents kept, so that a version that many proxies are pointed at is written out once.
const KEPT: usize = 64;

impl Writer {
    pub fn start(root: Root, plan: Deployment, waker: Waker) -> io::Result<Writer> {
        let (jobs, to_do) = channel::<Job>();
        let (told, done) = channel();
        let work = move || {
            let mut desk = Desk { root, plan, documents: BTreeMap::new() };
            for job in to_do {
                if let Some(done) = desk.carry_out(job) {
                    // The other side is gone only when the program ends.
                    let _ = told.send(done);
                    waker.wake();
                }
            }
        };
        let thread = std::thread::Builder::new().name("writer".to_string()).spawn(work)?;
        Ok(Writer { jobs: Some(jobs), done, thread: Some(thread) })
    }

    pub fn give(&self, job: Job) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(job);
        }
    }

    pub fn done(&self) -> impl Iterator<Item = Done> + '_ {
        self.done.try_iter()
    }

    /// Lets what was given be written, then ends.
    pub fn finish(mut self) -> Vec<Done> {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.done.try_iter().collect()
    }
}

struct Desk {
    root: Root,
    plan: Deployment,
    documents: BTreeMap<Version, Documents>,
}

impl Desk {
    fn carry_out(&mut self, job: Job) -> Option<Done> {
        match job {
            Job::Point { proxy, set } => {
                let version = set.version;
                let result = self.point(&proxy, &set);
                Some(Done::Pointed { proxy, version, result })
            }
            Job::Retire { version } => {
                let result = std::fs::remove_dir_all(self.root.version(version));
                self.documents.remove(&version);
                match result {
                    Err(error) if error.kind() != io::ErrorKind::NotFound => {
                        Some(Done::NotRetired { version, reason: error.to_string() })
                    }
                    _ => None,
                }
            }
        }
    }

    fn point(&mut self, proxy: &str, set: &TableSet) -> Result<(), String> {
        if !self.documents.contains_key(&set.version) {
            let documents = tables::write(set, &self.plan).map_err(|error| error.to_string())?;
            if self.documents.len() >= KEPT {
                self.documents.pop_first();
            }
            self.documents.insert(set.version, documents);
        }
        let documents = &self.documents[&set.version];
        Swap::new(&self.root, set.version, documents, proxy).run().map_err(|error| error.to_string())
    }
}

#[cfg(test)]
mod tests;
