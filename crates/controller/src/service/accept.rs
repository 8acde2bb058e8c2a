//! Accepts connections of proxies.

use super::{Controller, LISTENER};
use std::net::TcpStream;
use tracing::{error, warn};
use wheelspread::time::{Moment, Span};
use wheelspread_reactor::{self as reactor, Interest};

/// Time for which no connections are accepted after an accept failed, mostly because the process has no free file
/// descriptors.
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

    /// Polls the listener again once the pause after a failed accept is over.
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
