//! Accepting connections of proxies.

use super::{Controller, LISTENER};
use std::net::TcpStream;
use tracing::{error, warn};
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest};

/// Pause after an accept that failed, mostly for want of descriptors.
const ACCEPT_RETRY_DELAY: Span = Span::from_seconds(0.2);

impl Controller {
    pub(super) fn accept(&mut self, now: Moment) {
        let (accepted, failed) = reactor::accept(&self.listener);
        for socket in accepted {
            self.add_connection(now, socket);
        }
        if let Some(error) = failed {
            warn!(%error, "accept failed, retrying shortly");
            if self.poll.remove(&self.listener).is_ok() {
                self.accept_paused_until = Some(now + ACCEPT_RETRY_DELAY);
            }
        }
    }

    fn add_connection(&mut self, now: Moment, socket: TcpStream) {
        if self.streams.is_full() {
            let limit = self.file.conductor.connections_at_most;
            warn!(limit, "connection rejected, limit reached");
            return;
        }
        let token = self.streams.next_token();
        match self.poll.add(&socket, token, Interest::Edges) {
            Ok(()) => self.streams.add(now, token, socket),
            Err(error) => warn!(%error, "connection rejected"),
        }
    }

    /// Listens again once the pause after a failed accept is over.
    pub(super) fn resume_accepting(&mut self, now: Moment) {
        if self.accept_paused_until.is_none_or(|until| now < until) {
            return;
        }
        self.accept_paused_until = None;
        if let Err(error) = self.poll.add(&self.listener, LISTENER, Interest::Readable) {
            error!(%error, "listener cannot be polled again");
        }
    }
}
