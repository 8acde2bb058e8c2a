//! Storage of the active requests, in reusable slots.

use super::AttemptTimer;
use crate::message::RequestHandle;
use crate::retry::Processing;
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::time::Moment;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    /// The request has arrived; no decision was made yet.
    Arrived,
    /// An attempt is in flight.
    InFlight,
    /// The request has finished and its slot is free.
    Finished,
}

/// A request and the state of its attempts.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    generation: u32,
    pub(super) state: RequestState,
    pub(super) operation: OperationId,
    /// The request deadline.
    pub(super) deadline: Moment,
    /// Number of attempts made so far, including the one in flight.
    pub(super) attempts: u32,
    /// The nodes of the failed attempts.
    pub(super) tried: Vec<NodeId>,
    /// The node of the attempt in flight.
    pub(super) node: Option<NodeId>,
    /// When the latest attempt was sent.
    pub(super) sent_at: Moment,
    /// When the latest attempt times out.
    pub(super) attempt_deadline: Moment,
    /// [`Processing::MaybeProcessed`] if any of the failed attempts may have been processed.
    pub(super) processing: Processing,
    /// When the first of those attempts was sent.
    pub(super) first_maybe_processed_at: Option<Moment>,
    /// Whether part of a response was sent to the client.
    pub(super) response_started: bool,
}

impl ActiveRequest {
    pub(super) fn new(now: Moment, operation: OperationId, deadline: Moment) -> ActiveRequest {
        ActiveRequest {
            generation: 0,
            state: RequestState::Arrived,
            operation,
            deadline,
            attempts: 0,
            tried: Vec::new(),
            node: None,
            sent_at: now,
            attempt_deadline: now,
            processing: Processing::NotProcessed,
            first_maybe_processed_at: None,
            response_started: false,
        }
    }

    /// The timer of the attempt in flight.
    pub(super) fn timer(&self, slot: u32) -> AttemptTimer {
        AttemptTimer {
            deadline: self.attempt_deadline,
            slot,
        }
    }
}

/// All requests that have not finished.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveRequests {
    slots: Vec<ActiveRequest>,
    /// Slots of finished requests.
    free: Vec<u32>,
}

impl ActiveRequests {
    pub(super) fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Stores a request in a free slot or a new one. Returns the slot.
    pub(super) fn insert(&mut self, request: ActiveRequest) -> u32 {
        let Some(slot) = self.free.pop() else {
            self.slots.push(request);
            return self.slots.len() as u32 - 1;
        };
        let reused = &mut self.slots[slot as usize];
        let generation = reused.generation.wrapping_add(1);
        *reused = ActiveRequest {
            generation,
            ..request
        };
        slot
    }

    /// Marks a request as finished and frees its slot.
    pub(super) fn finish(&mut self, slot: u32) {
        self.get_mut(slot).state = RequestState::Finished;
        self.free.push(slot);
    }

    /// The request in a slot that `insert` returned. Valid until the slot is reused.
    pub(super) fn get(&self, slot: u32) -> &ActiveRequest {
        &self.slots[slot as usize]
    }

    /// Mutable access to the request in a slot; see `get`.
    pub(super) fn get_mut(&mut self, slot: u32) -> &mut ActiveRequest {
        &mut self.slots[slot as usize]
    }

    pub(super) fn handle(&self, slot: u32) -> RequestHandle {
        let generation = self.get(slot).generation;
        RequestHandle { slot, generation }
    }

    /// The request of a handle and its slot. `None` if the handle is outdated or no attempt is in flight.
    pub(super) fn in_flight(&mut self, handle: RequestHandle) -> Option<(u32, &mut ActiveRequest)> {
        let request = self.slots.get_mut(handle.slot as usize)?;
        let is_current = request.generation == handle.generation;
        (is_current && request.state == RequestState::InFlight).then_some((handle.slot, request))
    }

    /// The slots of all requests, finished ones included, that match a predicate.
    pub(super) fn slots_where(&self, predicate: impl Fn(&ActiveRequest) -> bool) -> Vec<u32> {
        (0..self.slots.len() as u32)
            .filter(|slot| predicate(self.get(*slot)))
            .collect()
    }
}
