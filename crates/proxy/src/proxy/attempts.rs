//! Carries out the core's decisions: sends and abandons attempts, finishes requests.

use super::Proxy;
use crate::client::{PendingRequest, Stage};
use crate::connection::ConnectionState;
use crate::http::{LocalResponse, LocalStatus};
use crate::observer::{RequestObserver, RequestOutcome};
use crate::upstream::Attempt;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread_proxy_core::{
    Action, AttemptOutcome, AttemptSpec, ClientResponse, Decision, Failure, RequestHandle,
};
use wheelspread_reactor::Poll;

/// A handle that identifies no request. The core and the proxy ignore it.
const NO_REQUEST: RequestHandle = RequestHandle {
    slot: u32::MAX,
    generation: 0,
};

impl<W: RequestObserver> Proxy<W> {
    /// Expires the core's timers and carries out the resulting decisions.
    pub(super) fn expire_attempts(&mut self, poll: &Poll, now: Moment) {
        for decision in self.core.expire_timers(now) {
            self.apply_decision(poll, now, decision);
        }
    }

    /// Carries out a decision, and the further decisions if a sent attempt fails immediately.
    pub(super) fn apply_decision(&mut self, poll: &Poll, now: Moment, decision: Decision) {
        let mut next = Some(decision);
        while let Some(decision) = next.take() {
            let Some(slot) = self.request_owner(decision.request) else {
                return;
            };
            next = match decision.action {
                Action::Continue => None,
                Action::Send(spec) => self.send_attempt(poll, now, slot, spec),
                Action::AbandonAndSend(spec) => {
                    self.abandon_attempt(now, slot, Some(Failure::TimedOut));
                    self.send_attempt(poll, now, slot, spec)
                }
                Action::Respond(response) => {
                    self.finish_request(now, slot, response);
                    None
                }
                Action::AbandonAndRespond(response) => {
                    let failure = match response {
                        ClientResponse::Failed(failure) => Some(failure),
                        _ => None,
                    };
                    self.abandon_attempt(now, slot, failure);
                    self.finish_request(now, slot, response);
                    None
                }
            };
            if next.is_none() {
                self.changed_clients.push(slot);
            }
        }
    }

    fn pending_request(&mut self, slot: usize) -> Option<&mut PendingRequest> {
        self.clients.get_mut(slot)?.pending.as_mut()
    }

    /// Sends an attempt. If it fails immediately, returns the core's next decision.
    fn send_attempt(
        &mut self,
        poll: &Poll,
        now: Moment,
        slot: usize,
        spec: AttemptSpec,
    ) -> Option<Decision> {
        let AttemptSpec { node, number, .. } = spec;
        let pending = self.clients.get(slot)?.pending.as_ref()?;
        let (handle, bytes) = (pending.handle, pending.bytes.clone());
        self.observer
            .attempt_sent(now, &pending.id, &pending.operation, node, number);
        let checked_out = self
            .upstreams
            .check_out(poll, now, node, &mut self.read_buffer);
        let Some(upstream) = checked_out else {
            return Some(self.fail_attempt(now, slot, node, number, Failure::Connect));
        };
        if let Some(pending) = self.pending_request(slot) {
            pending.upstream = Some(upstream);
        }
        let attempt = Attempt {
            client: slot,
            handle,
            number,
        };
        let connection = self.upstreams.get_mut(upstream)?;
        connection.start_attempt(now, attempt, bytes);
        if connection.write() == ConnectionState::Open {
            return None;
        }
        let failure = connection.failure_on_close();
        self.upstreams.close(upstream);
        Some(self.fail_attempt(now, slot, node, number, failure))
    }

    /// Reports a failed attempt to the core and returns its decision.
    pub(super) fn fail_attempt(
        &mut self,
        now: Moment,
        slot: usize,
        node: NodeId,
        number: u32,
        failure: Failure,
    ) -> Decision {
        let client = self.clients.get_mut(slot);
        let Some(pending) = client.and_then(|client| client.pending.as_mut()) else {
            return Decision {
                request: NO_REQUEST,
                action: Action::Continue,
            };
        };
        pending.upstream = None;
        self.observer
            .attempt_ended(now, &pending.id, node, number, Some(failure));
        let outcome = if pending.response_started {
            AttemptOutcome::FailedMidResponse(failure)
        } else {
            AttemptOutcome::Failed(failure)
        };
        self.core
            .finish_attempt(now, pending.handle, number, outcome)
    }

    /// Abandons the attempt in flight by closing its connection. `failure` is reported to the observer; `None` reports
    /// nothing.
    fn abandon_attempt(&mut self, now: Moment, slot: usize, failure: Option<Failure>) {
        let client = self.clients.get_mut(slot);
        let Some(pending) = client.and_then(|client| client.pending.as_mut()) else {
            return;
        };
        let Some(upstream) = pending.upstream.take() else {
            return;
        };
        let connection = self.upstreams.get(upstream);
        let attempt = connection.and_then(|connection| {
            let attempt = connection.attempt.as_ref()?;
            Some((connection.node, attempt.number))
        });
        if let (Some(failure), Some((node, number))) = (failure, attempt) {
            self.observer
                .attempt_ended(now, &pending.id, node, number, Some(failure));
        }
        self.upstreams.close(upstream);
    }

    /// Responds to the client. The core has already finished the request.
    fn finish_request(&mut self, now: Moment, slot: usize, response: ClientResponse) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        let Some(pending) = client.pending.take() else {
            return;
        };
        let close = !pending.keep_alive || client.peer_closed();
        self.observer
            .request_finished(now, &pending.id, request_outcome(response));
        client.stage = match local_response(response) {
            // Part of a response was already sent. Closing the connection tells the client that it is incomplete.
            Some(_) if pending.response_started => Stage::Closing,
            Some(local) => {
                client.queue(&local.encode(pending.is_head, close));
                if close {
                    Stage::Closing
                } else {
                    Stage::Head
                }
            }
            None => Stage::Closing,
        };
        client.last_activity_at = now;
        client.on_answered();
    }
}

/// The response that the proxy generates itself; `None` if it sends none.
fn local_response(response: ClientResponse) -> Option<LocalResponse<'static>> {
    let (status, message, retry_after) = match response {
        ClientResponse::Upstream | ClientResponse::ClientGone => return None,
        ClientResponse::RateLimited { retry_after } => {
            (LocalStatus::RateLimited, "turned away", Some(retry_after))
        }
        ClientResponse::NoNode => (LocalStatus::NoNode, "no node to send to", None),
        ClientResponse::Failed(Failure::TimedOut) => {
            (LocalStatus::UpstreamTimeout, "no answer in time", None)
        }
        ClientResponse::Failed(_) => (LocalStatus::UpstreamFailed, "the node failed", None),
    };
    Some(LocalResponse {
        status,
        message,
        retry_after,
    })
}

fn request_outcome(response: ClientResponse) -> RequestOutcome {
    match response {
        ClientResponse::RateLimited { .. } => RequestOutcome::RateLimited,
        ClientResponse::NoNode => RequestOutcome::NoNode,
        ClientResponse::Failed(failure) => RequestOutcome::Failed(failure),
        ClientResponse::Upstream | ClientResponse::ClientGone => RequestOutcome::ClientGone,
    }
}
