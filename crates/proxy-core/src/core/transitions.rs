//! The state machine of a request: maps a state and an input to the next state and an action.

use super::requests::RequestState;
use super::ProxyCore;
use crate::message::{Action, AttemptSpec, ClientResponse, Decision};
use crate::retry::{is_retryable_after_any_failure, Failure};
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};

/// Retry delay sent to the client of an active request that a new table rejects.
const SHED_RETRY_AFTER: Span = Span::from_seconds(1.0);

/// An input to the state machine. If an attempt ended, the caller has already removed it from all counts. The
/// exception is [`RequestInput::Shed`], for which the state machine removes it.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestInput {
    /// The request is admitted and a node is selected.
    Admitted { node: NodeId },
    /// The request is not admitted.
    Rejected { retry_after: Span },
    /// The request is admitted, but no node is available.
    NoNode,
    /// The attempt succeeded.
    Succeeded,
    /// The attempt failed before its deadline, and a retry is allowed.
    Retry { node: NodeId },
    /// The attempt timed out, and a retry is allowed.
    RetryAfterTimeout { node: NodeId },
    /// The attempt failed before its deadline, and no retry is allowed.
    Failed { failure: Failure },
    /// The attempt timed out, and no retry is allowed.
    FailedByTimeout { failure: Failure },
    /// The operation admits no requests any more.
    Shed,
    /// The client has disconnected.
    ClientGone,
}

impl ProxyCore {
    /// Advances a request to its next state. An input that the current state does not expect changes nothing.
    pub(super) fn advance(&mut self, now: Moment, slot: u32, input: RequestInput) -> Decision {
        let request = self.requests.handle(slot);
        let action = match self.requests.get(slot).state {
            RequestState::Arrived => self.advance_arrived(now, slot, input),
            RequestState::InFlight => self.advance_in_flight(now, slot, input),
            RequestState::Finished => Action::Continue,
        };
        Decision { request, action }
    }

    fn advance_arrived(&mut self, now: Moment, slot: u32, input: RequestInput) -> Action {
        match input {
            RequestInput::Admitted { node } => Action::Send(self.send_attempt(now, slot, node)),
            RequestInput::Rejected { retry_after } => {
                self.requests.finish(slot);
                Action::Respond(ClientResponse::RateLimited { retry_after })
            }
            RequestInput::NoNode => {
                self.requests.finish(slot);
                Action::Respond(ClientResponse::NoNode)
            }
            RequestInput::Succeeded
            | RequestInput::Retry { .. }
            | RequestInput::RetryAfterTimeout { .. }
            | RequestInput::Failed { .. }
            | RequestInput::FailedByTimeout { .. }
            | RequestInput::Shed
            | RequestInput::ClientGone => Action::Continue,
        }
    }

    fn advance_in_flight(&mut self, now: Moment, slot: u32, input: RequestInput) -> Action {
        let action = match input {
            RequestInput::Retry { node } => {
                return Action::Send(self.send_attempt(now, slot, node));
            }
            RequestInput::RetryAfterTimeout { node } => {
                return Action::AbandonAndSend(self.send_attempt(now, slot, node));
            }
            RequestInput::Admitted { .. }
            | RequestInput::Rejected { .. }
            | RequestInput::NoNode => return Action::Continue,
            RequestInput::Succeeded => Action::Respond(ClientResponse::Upstream),
            RequestInput::Failed { failure } => Action::Respond(ClientResponse::Failed(failure)),
            RequestInput::FailedByTimeout { failure } => {
                Action::AbandonAndRespond(ClientResponse::Failed(failure))
            }
            RequestInput::Shed => {
                self.cancel_attempt(slot);
                let retry_after = SHED_RETRY_AFTER;
                Action::AbandonAndRespond(ClientResponse::RateLimited { retry_after })
            }
            RequestInput::ClientGone => Action::AbandonAndRespond(ClientResponse::ClientGone),
        };
        self.requests.finish(slot);
        action
    }

    /// Adds an attempt to the counts of attempts in flight and starts its timer.
    fn send_attempt(&mut self, now: Moment, slot: u32, node: NodeId) -> AttemptSpec {
        let request = self.requests.get_mut(slot);
        let operation = &self.operations[usize::from(request.operation.0)];
        request.state = RequestState::InFlight;
        request.attempts += 1;
        request.node = Some(node);
        request.sent_at = now;
        // An attempt that may be retried gets the per-attempt time-out; the last one may use the time that remains
        // until the request's deadline.
        let early_timeout = operation.per_attempt_timeout.filter(|_| {
            let (policy, safety) = (operation.retry_policy, operation.rules.retry_safety);
            is_retryable_after_any_failure(policy, safety, request.attempts)
        });
        request.attempt_deadline = early_timeout.map_or(request.deadline, |timeout| {
            (now + timeout).min(request.deadline)
        });
        let attempt = AttemptSpec {
            node,
            number: request.attempts,
            deadline: request.attempt_deadline,
        };
        self.attempt_timers.insert(request.timer(slot));
        self.in_flight.add(request.operation, node);
        let state = self.nodes.entry(node).or_default();
        state.in_flight += 1;
        state.health.on_attempt_started();
        self.update_availability(node);
        attempt
    }
}
