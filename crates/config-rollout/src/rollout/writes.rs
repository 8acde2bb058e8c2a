//! Writes to disk, in order and one at a time, and the action that follows each write.

use super::{Rollout, BASELINE_FACT};
use crate::messages::{RolloutAction, RolloutEvent, WriteError};
use wheelspread::time::Moment;
use wheelspread_config_transaction::{ChangeEffect, ChangeEvent, ChangeId, Commit};

/// The time until a failed write is retried, as a ratio of the deadline of a write.
const WRITE_RETRY_RATIO: f64 = 0.25;

/// The action that follows a completed write.
#[derive(Clone, Debug, PartialEq)]
enum AfterWrite {
    Nothing,
    /// Report to the ledger that the change was written, which stages it.
    Stage(ChangeId),
    /// Pass the configuration of this change to the controller core.
    PutInForce(ChangeId),
}

impl AfterWrite {
    fn for_effect(id: &ChangeId, effect: ChangeEffect) -> AfterWrite {
        match effect {
            ChangeEffect::Write => AfterWrite::Stage(id.clone()),
            ChangeEffect::ApplyValues | ChangeEffect::RestoreValues => {
                AfterWrite::PutInForce(id.clone())
            }
            ChangeEffect::Nothing
            | ChangeEffect::Watch
            | ChangeEffect::Keep
            | ChangeEffect::Close => AfterWrite::Nothing,
        }
    }
}

/// A write that has not completed.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    number: u64,
    commit: Commit,
    after: AfterWrite,
    /// Commands that are answered when the write completes.
    pub(super) requests: Vec<u64>,
}

impl Rollout {
    /// Queues the current record of a change and the configuration as one commit.
    pub(super) fn write(&mut self, id: &ChangeId, effect: ChangeEffect, request: Option<u64>) {
        let after = AfterWrite::for_effect(id, effect);
        let mut commit = Commit::default();
        commit.changes.extend(self.ledger.record(id).cloned());
        commit.configuration = Some(self.ledger.configuration().clone());
        if matches!(after, AfterWrite::PutInForce(_)) {
            let baseline = serde_json::to_string(&self.baseline).ok();
            commit.facts.insert(BASELINE_FACT.to_string(), baseline);
        }
        let is_transition = after != AfterWrite::Nothing;
        // When a state exceeds its deadline because the disk is slow, the ledger requests its write again; the first
        // request is still queued.
        let is_queued = self
            .pending_writes
            .iter()
            .any(|write| write.after == after && write.commit == commit);
        if is_transition && is_queued {
            return;
        }
        self.next_write_number += 1;
        self.pending_writes.push_back(PendingWrite {
            number: self.next_write_number,
            commit,
            after,
            requests: request.filter(|_| is_transition).into_iter().collect(),
        });
    }

    /// Starts the next write, unless one is in progress or a retry is not due yet.
    pub(super) fn start_next_write(&mut self, now: Moment) {
        let waits_for_retry = self.retry_write_at.is_some_and(|at| now < at);
        if self.write_in_progress || waits_for_retry {
            return;
        }
        self.retry_write_at = None;
        if let Some(write) = self.pending_writes.front() {
            self.write_in_progress = true;
            self.actions.push(RolloutAction::Write {
                number: write.number,
                commit: write.commit.clone(),
            });
        }
    }

    /// Returns when `start_next_write` is due; `None` if there is no write to start.
    pub(super) fn next_write_at(&self, now: Moment) -> Option<Moment> {
        let is_ready = !self.write_in_progress && !self.pending_writes.is_empty();
        is_ready.then(|| self.retry_write_at.unwrap_or(now))
    }

    /// Handles the completion or failure of a write. A failed write is retried.
    pub fn on_write_completed(&mut self, now: Moment, number: u64, result: Result<(), WriteError>) {
        if self
            .pending_writes
            .front()
            .is_none_or(|write| write.number != number)
        {
            return;
        }
        self.write_in_progress = false;
        if let Err(error) = result {
            let retry_in = self.settings.deadlines.write * WRITE_RETRY_RATIO;
            self.retry_write_at = Some(now + retry_in);
            let reason = error.to_string();
            let event = RolloutEvent::WriteFailed { reason, retry_in };
            self.actions.push(RolloutAction::Log(event));
            return;
        }
        if let Some(write) = self.pending_writes.pop_front() {
            self.on_written(now, write);
        }
    }

    /// Carries out the action that follows a write, then answers the commands that waited for it.
    fn on_written(&mut self, now: Moment, write: PendingWrite) {
        let id = match &write.after {
            AfterWrite::Nothing => return,
            AfterWrite::Stage(id) => {
                // Only a change that the ledger has is written, so the call cannot fail. If the change was withdrawn
                // in the meantime, the event has no effect.
                let _ = self
                    .ledger
                    .handle_event(now, id, ChangeEvent::Written, None);
                self.log_state(id);
                id
            }
            AfterWrite::PutInForce(id) => {
                let written = write.commit.configuration.as_ref();
                self.put_in_force(now, id, written.map(|written| written.version));
                id
            }
        };
        let result = self.answer(id);
        for request in write.requests {
            let result = result.clone();
            self.actions.push(RolloutAction::Answer { request, result });
        }
    }
}
