//! Periodic maintenance: polls the streams to the controller and closes connections that timed out.

use super::Proxy;
use crate::client::{Client, Stage};
use crate::http::LocalStatus;
use crate::observer::RequestObserver;
use crate::upstream_pool::TimedOutConnection;
use wheelspread::time::{Moment, Span};
use wheelspread_proxy_core::Failure;
use wheelspread_reactor::Poll;

/// Time between two maintenance runs.
const MAINTENANCE_INTERVAL: Span = Span::from_seconds(0.25);

impl<W: RequestObserver> Proxy<W> {
    /// Polls the load report stream and the table stream, and closes connections that timed out.
    pub(super) fn run_maintenance(&mut self, poll: &Poll, now: Moment) {
        self.next_maintenance = now + MAINTENANCE_INTERVAL;
        self.poll_report_stream(poll, now);
        self.poll_table_stream(poll, now);
        self.close_timed_out_upstreams(poll, now);
        self.close_timed_out_clients(poll, now);
    }

    fn close_timed_out_upstreams(&mut self, poll: &Poll, now: Moment) {
        let timeouts = &self.config.timeouts;
        let timed_out = self
            .upstreams
            .timed_out(now, timeouts.connect, timeouts.node_idle);
        for TimedOutConnection {
            slot,
            carries_attempt,
        } in timed_out
        {
            // A decision for an earlier connection in the list may have ended the attempt on this connection.
            let attempt = self
                .upstreams
                .get(slot)
                .and_then(|connection| connection.attempt.as_ref());
            let client = attempt.map(|attempt| attempt.client);
            let Some(client) = client.filter(|_| carries_attempt) else {
                self.upstreams.close(slot);
                continue;
            };
            if let Some(decision) = self.fail_response(now, slot, client, Failure::Connect) {
                self.apply_decision(poll, now, decision);
            }
        }
    }

    fn close_timed_out_clients(&mut self, poll: &Poll, now: Moment) {
        let timed_out: Vec<usize> = self
            .clients
            .iter()
            .filter(|(_, client)| self.is_client_timed_out(now, client))
            .map(|(slot, _)| slot)
            .collect();
        for slot in timed_out {
            let Some(client) = self.clients.get(slot) else {
                continue;
            };
            if client.has_partial_request() {
                let message = "the rest of the request did not come";
                self.reject_request(now, slot, LocalStatus::RequestTimeout, message);
                self.changed_clients.push(slot);
            } else {
                self.disconnect_client(poll, now, slot);
            }
        }
    }

    fn is_client_timed_out(&self, now: Moment, client: &Client) -> bool {
        let timeouts = &self.config.timeouts;
        let inactive = now - client.last_activity_at;
        match client.stage {
            Stage::Head if client.input.is_empty() && client.unsent_bytes() == 0 => {
                inactive > timeouts.client_idle
            }
            Stage::Head | Stage::Body { .. } | Stage::Closing => inactive > timeouts.request,
            Stage::Waiting => client.unsent_bytes() > 0 && inactive > timeouts.request,
        }
    }
}
