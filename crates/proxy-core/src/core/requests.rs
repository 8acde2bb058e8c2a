//! The active requests, in slots that are used again.

use super::AttemptTimer;
use crate::message::RequestHandle;
use crate::retry::Processing;
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::time::Moment;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Nothing was decided yet.
    Arrived,
    /// An attempt is in flight.
    InFlight,
    /// It is over; the slot is free.
    Finished,
}

/// A request and what is known of its attempts.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    generation: u32,
    pub(super) state: RequestState,
    pub(super) operation: OperationId,
    /// Until when the client waits.
    pub(super) deadline: Moment,
    /// Attempts made so far.
    pub(super) attempts: u32,
    /// The nodes whose attempts failed.
    pub(super) tried: Vec<NodeId>,
    /// The node of the attempt in flight.
    pub(super) node: Option<NodeId>,
    /// When that attempt was sent.
    pub(super) sent_at: Moment,
    /// When that attempt is given up.
    pub(super) attempt_deadline: Moment,
    /// Whether any of the failed attempts may have been processed.
    pub(super) processing: Processing,
    pub(super) first_maybe_processed_at: Option<Moment>,
    /// A response has begun to go to the client.
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

/// All requests that are not over.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveRequests {
    slots: Vec<ActiveRequest>,
    /// Slots of requests that are over.
    free: Vec<u32>,
}

impl ActiveRequests {
    pub(super) fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Puts a request in a free slot, or a new one.
    pub(super) fn insert(&mut self, request: ActiveRequest) -> u32 {
        let Some(slot) = self.free.pop() else {
            self.slots.push(request);
            return self.slots.len() as u32 - 1;
        };
        let before = &mut self.slots[slot as usize];
        let generation = before.generation.wrapping_add(1);
        *before = ActiveRequest {
            generation,
            ..request
        };
        slot
    }

    /// Ends a request; its slot may be used again.
    pub(super) fn finish(&mut self, slot: u32) {
        self.get_mut(slot).state = RequestState::Finished;
        self.free.push(slot);
    }

    /// The request in a slot that `insert` returned, until the slot is used again.
    pub(super) fn get(&self, slot: u32) -> &ActiveRequest {
        &self.slots[slot as usize]
    }

    /// The same, to change.
    pub(super) fn get_mut(&mut self, slot: u32) -> &mut ActiveRequest {
        &mut self.slots[slot as usize]
    }

    pub(super) fn handle(&self, slot: u32) -> RequestHandle {
        let generation = self.get(slot).generation;
        RequestHandle { slot, generation }
    }

    /// The request that a handle names, with its slot, if an attempt is in flight.
    pub(super) fn in_flight(&mut self, handle: RequestHandle) -> Option<(u32, &mut ActiveRequest)> {
        let request = self.slots.get_mut(handle.slot as usize)?;
        let is_same = request.generation == handle.generation;
        (is_same && request.state == RequestState::InFlight).then_some((handle.slot, request))
    }

    /// The slots of requests for which something is true.
    pub(super) fn slots_where(&self, predicate: impl Fn(&ActiveRequest) -> bool) -> Vec<u32> {
        (0..self.slots.len() as u32)
            .filter(|slot| predicate(self.get(*slot)))
            .collect()
    }
}
