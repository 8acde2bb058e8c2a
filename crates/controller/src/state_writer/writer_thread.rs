//! The thread that writes the state file. Requests that queue up while a write is in progress are merged into one
//! commit.

use super::{StateWriteError, StateWriteResult};
use std::collections::BTreeSet;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::time::Duration;
use tracing::warn;
use wheelspread_config_transaction::Commit;
use wheelspread_faults::failpoint;
use wheelspread_reactor::Waker;
use wheelspread_store::Store;

/// Time until a failed write of facts is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// A file longer than this is compacted, if it also exceeds [`COMPACTION_GROWTH_FACTOR`].
const COMPACTION_THRESHOLD_BYTES: u64 = 1 << 20;
/// A file is compacted once it is longer than its compacted length times this factor, because compacting a file that
/// would stay nearly as long gains little.
const COMPACTION_GROWTH_FACTOR: u64 = 2;

/// A commit that the thread is to write.
pub(super) struct WriteRequest {
    /// Identifies the result; `None` if nobody waits for it. The facts of a failed write are retried in both cases.
    pub number: Option<u64>,
    pub commit: Commit,
}

/// What the thread writes next.
enum NextWrite {
    Commit {
        numbers: BTreeSet<u64>,
        commit: Commit,
    },
    /// The [`super::StateWriter`] was dropped; unwritten facts are tried once more before the thread ends.
    Last(Commit),
}

pub(super) struct WriterThread {
    pub store: Store,
    pub requests: Receiver<WriteRequest>,
    pub results: Sender<StateWriteResult>,
    pub waker: Waker,
}

impl WriterThread {
    /// Writes commits until the [`super::StateWriter`] is dropped.
    pub(super) fn run(mut self) {
        // Facts of a failed commit are merged into the next one.
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

    /// Waits for a request and merges all queued requests into the unwritten facts.
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

    /// Writes a commit and sends its results; returns the facts to retry if the write failed.
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
            // The receiver is gone only if the process is exiting.
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
            warn!(%error, "state not written at shutdown");
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
