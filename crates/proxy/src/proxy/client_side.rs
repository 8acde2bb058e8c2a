//! The client side: accepts connections, reads complete requests and passes them to the core.

use super::Proxy;
use crate::client::{Client, PendingRequest, Stage, MAX_UNSENT_RESPONSE_BYTES};
use crate::connection::ConnectionState;
use crate::http::{self, LocalResponse, LocalStatus};
use crate::observer::{RequestObserver, RequestOutcome};
use crate::token::Source;
use crate::upstream::UpstreamConnection;
use std::rc::Rc;
use wheelspread::time::Moment;
use wheelspread_http1::{parse_request, Body, Framing, MessageError, Request};
use wheelspread_proxy_core::RequestHandle;
use wheelspread_reactor::{self as reactor, Interest, Poll};

/// Maximum number of steps for one client in one turn: parts of requests that are handled.
const MAX_STEPS_PER_TURN: usize = 64;
/// Number of bytes read from one client after which its turn ends.
const MAX_BYTES_PER_TURN: usize = 32 << 10;

impl<W: RequestObserver> Proxy<W> {
    pub(super) fn accept_clients(&mut self, poll: &Poll, now: Moment) {
        let (accepted, _) = reactor::accept(&self.listener);
        for socket in accepted {
            if self.clients.len() >= self.config.max_client_connections {
                continue; // dropping the socket closes it, so the client learns immediately that it is not served
            }
            let entry = self.clients.vacant_entry();
            let slot = entry.key();
            let token = self.tokens.token(Source::Client(slot));
            if poll.add(&socket, token, Interest::Edges).is_ok() {
                entry.insert(Client::new(now, socket));
                self.serve_client(poll, now, slot, true);
            }
        }
    }

    /// Reads, handles and writes for one client without blocking, up to the limits of one turn. The rest is done in the
    /// next iteration of the event loop, so that a client that sends without pause delays no other.
    pub(super) fn serve_client(&mut self, poll: &Poll, now: Moment, slot: usize, readable: bool) {
        if self.read_requests(poll, now, slot, readable) == ConnectionState::Closed {
            return self.disconnect_client(poll, now, slot);
        }
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        if client.write(now) == ConnectionState::Closed || client.is_finished() {
            return self.disconnect_client(poll, now, slot);
        }
        self.resume_upstream(poll, now, slot);
        self.limit_buffers(poll, now, slot);
    }

    fn read_requests(
        &mut self,
        poll: &Poll,
        now: Moment,
        slot: usize,
        readable: bool,
    ) -> ConnectionState {
        let mut bytes_read = 0;
        for _ in 0..MAX_STEPS_PER_TURN {
            let Some(client) = self.clients.get_mut(slot) else {
                return ConnectionState::Open;
            };
            let limit = client.read_limit(self.config.max_head_bytes);
            let length_before = client.input.len();
            if client.read(now, limit, readable, &mut self.read_buffer) == ConnectionState::Closed {
                return ConnectionState::Closed;
            }
            bytes_read += client.input.len() - length_before;
            if client.write(now) == ConnectionState::Closed {
                return ConnectionState::Closed;
            }
            let has_advanced = self.advance_request(poll, now, slot);
            if !has_advanced && !self.can_read_more(slot) {
                return ConnectionState::Open;
            }
            if bytes_read >= MAX_BYTES_PER_TURN {
                break;
            }
        }
        self.defer_client(slot);
        ConnectionState::Open
    }

    /// Whether the last read of a client ended at a limit that has risen since, as the body of its request goes on.
    fn can_read_more(&self, slot: usize) -> bool {
        let client = self.clients.get(slot);
        client.is_some_and(|client| client.can_read_more(self.config.max_head_bytes))
    }

    fn defer_client(&mut self, slot: usize) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        if !client.is_deferred {
            client.is_deferred = true;
            self.deferred_clients.push(slot);
        }
    }

    /// Continues with the clients whose last turn ended at its limits.
    pub(super) fn serve_deferred_clients(&mut self, poll: &Poll, now: Moment) {
        for slot in std::mem::take(&mut self.deferred_clients) {
            if let Some(client) = self.clients.get_mut(slot) {
                client.is_deferred = false;
                self.serve_client(poll, now, slot, false);
            }
        }
    }

    /// Resumes reading the node's response if it was paused because the client did not read.
    fn resume_upstream(&mut self, poll: &Poll, now: Moment, slot: usize) {
        let Some(client) = self.clients.get(slot) else {
            return;
        };
        if client.unsent_bytes() >= MAX_UNSENT_RESPONSE_BYTES {
            return;
        }
        let Some(upstream) = client.pending.as_ref().and_then(|pending| pending.upstream) else {
            return;
        };
        let connection = self.upstreams.get(upstream);
        if connection.is_some_and(UpstreamConnection::has_unforwarded_response) {
            self.serve_upstream(poll, now, upstream, false);
        }
    }

    /// Handles the next part of a client's input. Returns `false` if more input is needed or none is expected.
    fn advance_request(&mut self, poll: &Poll, now: Moment, slot: usize) -> bool {
        let Some(client) = self.clients.get_mut(slot) else {
            return false;
        };
        if matches!(client.stage, Stage::Head) && client.has_abandoned_requests() {
            client.stage = Stage::Closing;
        }
        match client.stage {
            // A client that does not read its responses has to do so before its next request is handled.
            Stage::Head if client.unsent_bytes() >= MAX_UNSENT_RESPONSE_BYTES => false,
            Stage::Head => self.read_head(now, slot),
            Stage::Body { .. } => self.read_body(poll, now, slot),
            Stage::Waiting | Stage::Closing => false,
        }
    }

    fn read_head(&mut self, now: Moment, slot: usize) -> bool {
        let input = &self.clients[slot].input;
        if input.is_empty() {
            return false;
        }
        match parse_request(input, self.limits) {
            Ok(None) => false,
            Ok(Some(head)) => self.start_body(now, slot, head),
            Err(MessageError::HeadTooLong(_) | MessageError::TooManyHeaders(_)) => {
                self.reject_request(now, slot, LocalStatus::HeadTooLarge, "the head is too long")
            }
            Err(error) => {
                self.reject_request(now, slot, LocalStatus::BadRequest, &error.to_string())
            }
        }
    }

    fn read_body(&mut self, poll: &Poll, now: Moment, slot: usize) -> bool {
        let client = &mut self.clients[slot];
        let Stage::Body {
            head,
            body,
            received,
        } = &mut client.stage
        else {
            return false;
        };
        let start = (head.length + *received).min(client.input.len());
        match body.take(&client.input[start..]) {
            Err(error) => {
                self.reject_request(now, slot, LocalStatus::BadRequest, &error.to_string())
            }
            Ok(count) => {
                *received += count;
                if *received > self.config.max_body_bytes {
                    return self.reject_request(
                        now,
                        slot,
                        LocalStatus::BodyTooLarge,
                        "the body is too long",
                    );
                }
                if !body.is_complete() {
                    return false;
                }
                let (head, body_length) = (head.clone(), *received);
                self.limit_buffers(poll, now, slot);
                if self.is_reading_body(slot) {
                    self.start_request(poll, now, slot, &head, body_length);
                }
                true
            }
        }
    }

    /// Whether a client's request was not rejected.
    fn is_reading_body(&self, slot: usize) -> bool {
        let client = self.clients.get(slot);
        client.is_some_and(|client| matches!(client.stage, Stage::Body { .. }))
    }

    /// Sends an error response and stops reading, because the end of the request is not known.
    pub(super) fn reject_request(
        &mut self,
        now: Moment,
        slot: usize,
        status: LocalStatus,
        message: &str,
    ) -> bool {
        if let Some(client) = self.clients.get_mut(slot) {
            let response = LocalResponse {
                status,
                message,
                retry_after: None,
            };
            client.queue(&response.encode(false, true));
            client.stage = Stage::Closing;
            client.last_activity_at = now;
        }
        true
    }

    fn start_body(&mut self, now: Moment, slot: usize, head: Request) -> bool {
        let max_body = self.config.max_body_bytes as u64;
        let Some(client) = self.clients.get_mut(slot) else {
            return false;
        };
        let target = std::str::from_utf8(&client.input[head.target.clone()]).unwrap_or("");
        if self.core.operation_id(http::operation(target)).is_none() {
            let message = "no operation of that name";
            return self.reject_request(now, slot, LocalStatus::UnknownOperation, message);
        }
        if matches!(head.framing, Framing::Length(length) if length > max_body) {
            let message = "the body is too long";
            return self.reject_request(now, slot, LocalStatus::BodyTooLarge, message);
        }
        if head.expects_continue {
            client.queue(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let body = Body::new(head.framing);
        client.stage = Stage::Body {
            head,
            body,
            received: 0,
        };
        true
    }

    /// Passes a completely received request to the core.
    fn start_request(
        &mut self,
        poll: &Poll,
        now: Moment,
        slot: usize,
        head: &Request,
        body_length: usize,
    ) {
        let Some(client) = self.clients.get_mut(slot) else {
            return;
        };
        let target = std::str::from_utf8(&client.input[head.target.clone()]).unwrap_or("");
        let name = http::operation(target).to_string();
        let Some(operation) = self.core.operation_id(&name) else {
            return;
        };
        let id = http::header(&client.input, &head.headers, "x-request-id")
            .unwrap_or("")
            .to_string();
        let end = head.length + body_length;
        let body = &client.input[head.length..end];
        let bytes = Rc::new(http::forward_request(&client.input, head, body));
        client.consume(end);
        client.stage = Stage::Waiting;
        self.observer.request_received(now, &id, &name);
        let decision = self.core.start_request(now, operation);
        client.pending = Some(PendingRequest {
            handle: decision.request,
            id,
            operation: name,
            bytes,
            upstream: None,
            is_head: head.is_head,
            keep_alive: head.keep_alive,
            response_started: false,
        });
        self.set_request_owner(decision.request, slot);
        self.apply_decision(poll, now, decision);
    }

    fn set_request_owner(&mut self, request: RequestHandle, slot: usize) {
        let index = request.slot as usize;
        if self.request_owners.len() <= index {
            self.request_owners.resize(index + 1, None);
        }
        self.request_owners[index] = Some(slot);
    }

    /// The slot of the client that waits for a request.
    pub(super) fn request_owner(&self, request: RequestHandle) -> Option<usize> {
        let slot = (*self.request_owners.get(request.slot as usize)?)?;
        let pending = self.clients.get(slot)?.pending.as_ref()?;
        (pending.handle == request).then_some(slot)
    }

    /// Closes a client connection and cancels its pending request.
    pub(super) fn disconnect_client(&mut self, poll: &Poll, now: Moment, slot: usize) {
        let Some(client) = self.clients.try_remove(slot) else {
            return;
        };
        let _ = poll.remove(&client.socket);
        self.buffers.remove(&client);
        if let Some(pending) = client.pending {
            self.observer
                .request_finished(now, &pending.id, RequestOutcome::ClientGone);
            self.core.cancel_request(now, pending.handle);
            if let Some(upstream) = pending.upstream {
                self.upstreams.close(upstream);
            }
        }
    }
}
