//! The thread that writes the state file. What waits while the disk is busy is written as one commit.

use super::{StateWriteError, StateWriteResult};
use std::collections::BTreeSet;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use tracing::warn;
use wheelspread_config_transaction::Commit;
use wheelspread_faults::failpoint;
use wheelspread_reactor::Waker;
use wheelspread_store::Store;

/// Time until facts that could not be written are tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// A longer file is compacted into one commit, unless that commit would be nearly as long.
const COMPACTION_THRESHOLD_BYTES: u64 = 1 << 20;
/// The file grows to so many times its compacted length before it is compacted again.
const COMPACTION_GROWTH_FACTOR: u64 = 2;

/// A commit for the thread.
pub(super) struct WriteRequest {
    /// `None`: nobody waits for the result, and the facts are tried again if they can't be written.
    pub number: Option<u64>,
    pub commit: Commit,
}

/// What the thread writes next.
enum NextWrite {
    Commit {
        numbers: BTreeSet<u64>,
        commit: Commit,
    },
    /// The other side is gone: what is left is tried once more.
    Last(Commit),
}

pub(super) struct WriterThread {
    pub store: Store,
    pub requests: Receiver<WriteRequest>,
    pub results: Sender<StateWriteResult>,
    pub waker: Waker,
}

impl WriterThread {
    /// Writes until the other side is gone.
    pub(super) fn run(mut self) {
        // Facts that could not be written go with the next commit.
        let mut unwritten = Commit::default();
        loop {
            match self.next_write(std::mem::take(&mut unwritten)) {
                NextWrite::Commit { numbers, commit } => {
                    unwritten = self.write(&numbers, commit);
                    self.compact_if_long();
                }
                NextWrite::Last(commit) => return self.write_last(commit),
            }
        }
    }

    /// Waits for requests and joins all that are there to what was left unwritten.
    fn next_write(&self, unwritten: Commit) -> NextWrite {
        let first = if unwritten.facts.is_empty() {
            self.requests
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected)
        } else {
            self.requests.recv_timeout(WRITE_RETRY_DELAY)
        };
        let (mut numbers, mut commit) = (BTreeSet::new(), unwritten);
        match first {
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return NextWrite::Last(commit),
            Ok(first) => {
                for request in std::iter::once(first).chain(self.requests.try_iter()) {
                    numbers.extend(request.number);
                    commit.merge(request.commit);
                }
            }
        }
        NextWrite::Commit { numbers, commit }
    }

    /// Writes a commit and sends the results; returns the facts that are to be tried again.
    fn write(&mut self, numbers: &BTreeSet<u64>, commit: Commit) -> Commit {
        let facts = commit.facts.clone();
        let written = self
            .store
            .commit(commit)
            .map_err(|error| StateWriteError::Disk {
                reason: error.to_string(),
            });
        let mut unwritten = Commit::default();
        if let Err(error) = &written {
            let reason = error.to_string();
            warn!(reason, "state not written, retrying");
            unwritten.facts = facts;
        }
        let _ = failpoint("store.told");
        for number in numbers {
            let result = StateWriteResult {
                number: *number,
                result: written.clone(),
            };
            // The other side is gone only when the program ends.
            let _ = self.results.send(result);
        }
        self.waker.wake();
        unwritten
    }

    fn write_last(&mut self, commit: Commit) {
        if commit.facts.is_empty() {
            return;
        }
        if let Err(error) = self.store.commit(commit) {
            warn!(%error, "state not written at the end");
        }
    }

    fn compact_if_long(&mut self) {
        let grown = self.store.compacted_bytes() * COMPACTION_GROWTH_FACTOR;
        if self.store.bytes() <= COMPACTION_THRESHOLD_BYTES.max(grown) {
            return;
        }
        if let Err(error) = self.store.compact() {
            warn!(%error, "state not compacted, the file goes on growing");
        }
    }
}
