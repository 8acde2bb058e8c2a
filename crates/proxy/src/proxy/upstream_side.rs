//! The upstream side: reads responses of nodes and forwards them to clients as they arrive.

use super::Proxy;
use crate::client::{Client, Stage, MAX_UNSENT_RESPONSE_BYTES};
use crate::connection::ConnectionState;
use crate::http;
use crate::observer::{RequestObserver, RequestOutcome};
use crate::upstream::UpstreamResponse;
use wheelspread::time::Moment;
use wheelspread_http1::{parse_response, Body, Framing, Response};
use wheelspread_proxy_core::{Action, AttemptOutcome, Decision, Failure};
use wheelspread_reactor::Poll;
use wheelspread_xds::orca;

/// Maximum number of response bytes buffered from a node before they are forwarded, in addition to the maximum head
/// length.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;

/// Progress of a response head.
enum HeadProgress {
    /// The head was not received in full.
    Incomplete,
    /// The head was forwarded; the body follows.
    Forwarded,
    /// The node's response is not used. The value is the core's decision, if there is one to carry out.
    Failed(Option<Decision>),
}

impl<W: RequestObserver> Proxy<W> {
    /// Writes and reads as much as possible on a connection to a node without blocking.
    pub(super) fn serve_upstream(&mut self, poll: &Poll, now: Moment, slot: usize, readable: bool) {
        let Some(connection) = self.upstreams.get_mut(slot) else {
            return;
        };
        let client = connection.attempt.as_ref().map(|attempt| attempt.client);
        let write_failed = connection.write() == ConnectionState::Closed;
        let unsent_bytes = client
            .and_then(|client| self.clients.get(client))
            .map_or(0, Client::unsent_bytes);
        let limit = if unsent_bytes >= MAX_UNSENT_RESPONSE_BYTES {
            0
        } else {
            MAX_BUFFERED_RESPONSE_BYTES + self.limits.max_head_bytes
        };
        // A response that arrived before the connection broke is still valid, so it is read even after a failed write.
        let read_failed =
            connection.read(limit, readable, &mut self.read_buffer) == ConnectionState::Closed;
        let is_broken = read_failed || write_failed;
        let Some(client) = client else {
            if is_broken || connection.peer_closed() || !connection.input.is_empty() {
                self.upstreams.close(slot);
            }
            return;
        };
        if let Some(decision) = self.forward_response(now, slot, client, is_broken) {
            self.apply_decision(poll, now, decision);
        }
        self.changed_clients.push(client);
    }

    /// Forwards the part of a node's response that has been received. Returns a decision to carry out, if any.
    fn forward_response(
        &mut self,
        now: Moment,
        slot: usize,
        client: usize,
        is_broken: bool,
    ) -> Option<Decision> {
        if self.upstreams.get(slot)?.response.is_none() {
            match self.forward_head(now, slot, client, is_broken)? {
                HeadProgress::Incomplete => return None,
                HeadProgress::Failed(decision) => return decision,
                HeadProgress::Forwarded => {}
            }
        }
        let connection = self.upstreams.get_mut(slot)?;
        let is_ended = is_broken || connection.peer_closed();
        let response = connection.response.as_mut()?;
        let Ok(length) = response.body.take(&connection.input) else {
            return self.fail_response(now, slot, client, Failure::Garbled);
        };
        let output = self.clients.get_mut(client)?.output();
        output.extend_from_slice(&connection.input[..length]);
        connection.input.drain(..length);
        if connection.input.is_empty() {
            // The client may read slowly, and the buffers of all clients are limited.
            connection.input = Vec::new();
        }
        if response.body.is_complete() || (is_ended && response.body.ends_with_connection()) {
            self.finish_response(now, slot, client);
            return None;
        }
        if is_ended {
            return self.fail_response(now, slot, client, Failure::Reset);
        }
        None
    }

    /// Reads the head of a response, skipping informational responses, and forwards it. Returns `None` if the attempt
    /// no longer exists.
    fn forward_head(
        &mut self,
        now: Moment,
        slot: usize,
        client: usize,
        is_broken: bool,
    ) -> Option<HeadProgress> {
        loop {
            let connection = self.upstreams.get_mut(slot)?;
            let pending = self.clients.get(client)?.pending.as_ref()?;
            let failure = match parse_response(&connection.input, pending.is_head, self.limits) {
                Ok(Some(head)) if is_informational(head.status) => {
                    connection.input.drain(..head.length);
                    continue;
                }
                Ok(Some(head)) if head.status >= 200 => {
                    return self.accept_head(now, slot, client, head);
                }
                Ok(None) if !is_broken && !connection.peer_closed() => {
                    return Some(HeadProgress::Incomplete);
                }
                Ok(None) if connection.input.is_empty() => connection.failure_on_close(),
                Ok(None) => Failure::Reset,
                Ok(Some(_)) | Err(_) => Failure::Garbled,
            };
            let decision = self.fail_response(now, slot, client, failure);
            return Some(HeadProgress::Failed(decision));
        }
    }

    /// Handles the head of a final response: forwards it, or reports a failure for which the core may retry.
    fn accept_head(
        &mut self,
        now: Moment,
        slot: usize,
        client: usize,
        head: Response,
    ) -> Option<HeadProgress> {
        let connection = self.upstreams.get_mut(slot)?;
        let loads = http::header(&connection.input, &head.headers, orca::HEADER)
            .map(orca::read)
            .unwrap_or_default();
        let failure = failure_of_status(head.status);
        let attempt = connection.attempt.as_ref()?;
        let (node, handle, number) = (connection.node, attempt.handle, attempt.number);
        connection.response = Some(UpstreamResponse {
            body: Body::new(head.framing),
            loads: loads.into_iter().collect(),
            is_reported: failure.is_some(),
            head,
        });
        let Some(failure) = failure else {
            self.core.start_response(handle, number);
            return self.send_head(slot, client);
        };
        let pending = self.clients.get_mut(client)?.pending.as_mut()?;
        self.observer
            .attempt_ended(now, &pending.id, node, number, Some(failure));
        let outcome = AttemptOutcome::Failed(failure);
        let decision = self.core.finish_attempt(now, handle, number, outcome);
        if matches!(decision.action, Action::Send(_) | Action::AbandonAndSend(_)) {
            // The request is retried at another node, so this response and its connection are discarded.
            pending.upstream = None;
            self.upstreams.close(slot);
            return Some(HeadProgress::Failed(Some(decision)));
        }
        // There is no retry, so the client receives the node's error response.
        self.send_head(slot, client)
    }

    fn send_head(&mut self, slot: usize, client: usize) -> Option<HeadProgress> {
        let connection = self.upstreams.get_mut(slot)?;
        let head = &connection.response.as_ref()?.head;
        let client = self.clients.get_mut(client)?;
        let close = !client.pending.as_ref()?.keep_alive
            || client.peer_closed()
            || head.framing == Framing::UntilClose;
        http::forward_response(&connection.input, head, close, client.output());
        connection.input.drain(..head.length);
        let pending = client.pending.as_mut()?;
        pending.response_started = true;
        pending.keep_alive = !close;
        Some(HeadProgress::Forwarded)
    }

    /// Ends an attempt whose response is missing or incomplete. Returns the core's decision, if any.
    pub(super) fn fail_response(
        &mut self,
        now: Moment,
        slot: usize,
        client: usize,
        failure: Failure,
    ) -> Option<Decision> {
        let connection = self.upstreams.get(slot)?;
        let number = connection.attempt.as_ref()?.number;
        let node = connection.node;
        let response = connection.response.as_ref();
        let is_reported = response.is_some_and(|response| response.is_reported);
        self.upstreams.close(slot);
        if !is_reported {
            return Some(self.fail_attempt(now, client, node, number, failure));
        }
        // The core already knows that this attempt failed, and part of the node's error response was sent to the
        // client. Closing the client connection tells the client that it is incomplete.
        let client = self.clients.get_mut(client)?;
        let pending = client.pending.take()?;
        client.stage = Stage::Closing;
        let outcome = RequestOutcome::Failed(failure);
        self.observer.request_finished(now, &pending.id, outcome);
        None
    }

    /// Ends an attempt whose response was forwarded in full. Returns `None` if the attempt no longer exists.
    fn finish_response(&mut self, now: Moment, slot: usize, client: usize) -> Option<()> {
        let finished = self.upstreams.finish_attempt(now, slot)?;
        let (attempt, response) = (finished.attempt, finished.response);
        let client = self.clients.get_mut(client)?;
        let pending = client.pending.take()?;
        if !response.is_reported {
            self.observer
                .attempt_ended(now, &pending.id, finished.node, attempt.number, None);
            let outcome = AttemptOutcome::Succeeded {
                loads: response.loads,
            };
            self.core
                .finish_attempt(now, attempt.handle, attempt.number, outcome);
        }
        let outcome = RequestOutcome::Upstream(response.head.status);
        self.observer.request_finished(now, &pending.id, outcome);
        client.stage = if pending.keep_alive {
            Stage::Head
        } else {
            Stage::Closing
        };
        client.last_activity_at = now;
        client.on_answered();
        Some(())
    }
}

/// Whether a status is that of an interim response, which is not forwarded. 101 is excluded, because it switches the
/// protocol.
fn is_informational(status: u16) -> bool {
    status / 100 == 1 && status != 101
}

fn failure_of_status(status: u16) -> Option<Failure> {
    match status {
        // By these statuses a node states that it is overloaded and did not start on the request.
        429 | 503 => Some(Failure::Refused),
        500.. => Some(Failure::Errored),
        _ => None,
    }
}
