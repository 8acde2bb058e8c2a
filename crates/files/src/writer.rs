//! The one thread that writes. A disk may take seconds to say that something is on it; the loop that
//! decides does not wait for it, and proxies wait for it only so long: a table in time counts for more than
//! one that outlives a loss of power, after which it would be written anew. Jobs go one way, what came of
//! them the other.

use crate::swap::Swap;
use crate::Root;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use wheelspread_controller_core::publication::{TableSet, Version};
use wheelspread_controller_core::Deployment;
use wheelspread_reactor::Waker;
use wheelspread_xds::tables::{self, Documents};

#[derive(Debug)]
pub enum Job {
    Point {
        proxy: String,
        set: Arc<TableSet>,
    },
    Retire {
        version: Version,
    },
    /// Versions that are given after it are written as this has it.
    Plan(Box<Deployment>),
}

#[derive(Debug)]
pub enum Done {
    Pointed {
        proxy: String,
        version: Version,
        result: Result<(), String>,
    },
    NotRetired {
        version: Version,
        reason: String,
    },
    /// A version was pointed at before the disk said that it has it.
    Unsynced {
        version: Version,
    },
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
        let disk = Disk::start(
            plan.channel.delay_at_most.seconds() * PATIENCE,
            File::sync_all,
        )?;
        let work = move || {
            let mut desk = Desk {
                root,
                plan,
                documents: BTreeMap::new(),
                disk,
            };
            for job in to_do {
                for done in desk.carry_out(job) {
                    // The other side is gone only when the program ends.
                    let _ = told.send(done);
                }
                waker.wake();
            }
        };
        let thread = std::thread::Builder::new()
            .name("writer".to_string())
            .spawn(work)?;
        Ok(Writer {
            jobs: Some(jobs),
            done,
            thread: Some(thread),
        })
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

/// Of the longest delay of a message: how long the disk is waited for.
const PATIENCE: f64 = 0.5;

/// The disk, asked by a thread of its own.
struct Disk {
    to: Sender<Vec<File>>,
    from: Receiver<io::Result<()>>,
    patience: Duration,
    /// Answers that have not come yet.
    open: usize,
    /// Whether the last question was left unanswered.
    left: bool,
}

impl Disk {
    fn start(
        patience: f64,
        sync: impl Fn(&File) -> io::Result<()> + Send + 'static,
    ) -> io::Result<Disk> {
        let (to, asked) = channel::<Vec<File>>();
        let (told, from) = channel();
        let work = move || {
            for files in asked {
                if told.send(files.iter().try_for_each(&sync)).is_err() {
                    return;
                }
            }
        };
        std::thread::Builder::new()
            .name("disk".to_string())
            .spawn(work)?;
        Ok(Disk {
            to,
            from,
            patience: Duration::from_secs_f64(patience),
            open: 0,
            left: false,
        })
    }

    /// Waits until the files are on the disk, or long enough. While older answers are still out it does not
    /// wait at all: the disk is slow, and each version would be late by as much again.
    fn sync(&mut self, files: Vec<File>) -> io::Result<()> {
        for late in self.from.try_iter() {
            self.open = self.open.saturating_sub(1);
            self.left |= late.is_err();
        }
        if self.to.send(files).is_err() {
            return Err(io::Error::other("the thread that asks the disk is gone"));
        }
        self.open += 1;
        if self.open > 1 {
            self.left = true;
            return Ok(());
        }
        match self.from.recv_timeout(self.patience) {
            Ok(result) => {
                self.open -= 1;
                result
            }
            Err(_) => {
                self.left = true;
                Ok(())
            }
        }
    }
}

struct Desk {
    root: Root,
    plan: Deployment,
    documents: BTreeMap<Version, Documents>,
    disk: Disk,
}

impl Desk {
    fn carry_out(&mut self, job: Job) -> Vec<Done> {
        match job {
            Job::Point { proxy, set } => {
                let version = set.version;
                let result = self.point(&proxy, &set);
                let unsynced =
                    std::mem::take(&mut self.disk.left).then_some(Done::Unsynced { version });
                unsynced
                    .into_iter()
                    .chain([Done::Pointed {
                        proxy,
                        version,
                        result,
                    }])
                    .collect()
            }
            Job::Plan(plan) => {
                self.plan = *plan;
                Vec::new()
            }
            Job::Retire { version } => {
                let result = std::fs::remove_dir_all(self.root.version(version));
                self.documents.remove(&version);
                match result {
                    Err(error) if error.kind() != io::ErrorKind::NotFound => {
                        vec![Done::NotRetired {
                            version,
                            reason: error.to_string(),
                        }]
                    }
                    _ => Vec::new(),
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
        let swap = Swap::new(&self.root, set.version, documents, proxy);
        swap.run_with(&mut |files| self.disk.sync(files))
            .map_err(|error| error.to_string())
    }
}

#[cfg(test)]
mod tests;
