//! Time limits and periodic tasks. They are checked in every iteration of the event loop.

use super::Service;
use crate::clock::span;
use crate::close_reason::CloseReason;
use std::time::Duration;
use wheelspread::time::Moment;

/// Time limit for a peer to identify itself after its connection was accepted.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(1600);
/// The ratio of the memory limit that the buffers of all connections may use.
const BUFFER_MEMORY_RATIO: f64 = 0.25;

impl Service {
    pub(super) fn run_maintenance(&mut self, now: Moment) {
        self.close_unidentified(now);
        self.read_silent(now);
        self.limit_buffers(now);
        self.resume_listener(now);
        self.expire_exchanges(now);
        self.reload_if_due(now);
        self.maintain_watch(now);
        self.report_if_due(now);
    }

    fn close_unidentified(&mut self, now: Moment) {
        let accepted_before = now - span(IDENTIFICATION_TIMEOUT);
        for id in self.connections.unidentified_before(accepted_before) {
            let reason = CloseReason::IdentificationTimeout;
            self.close(now, id, reason, &"the peer did not identify itself in time");
        }
    }

    /// Reads the silent streams that the core is about to close, since an acknowledgement may have arrived without
    /// being read yet.
    fn read_silent(&mut self, now: Moment) {
        for id in self.core.silent_connections(now) {
            self.read(now, id);
        }
    }

    /// Closes the connections with the largest buffers while all buffers together exceed their limit, so that peers that
    /// read slowly, or send half of large messages, can't use up the memory. To be called after each read: hundreds of
    /// connections may be read in one iteration.
    pub(super) fn limit_buffers(&mut self, now: Moment) {
        let max = self.config.memory_limit as f64 * BUFFER_MEMORY_RATIO;
        while self.connections.buffer_bytes() as f64 > max {
            let Some(id) = self.connections.with_largest_buffers() else {
                return;
            };
            self.close(
                now,
                id,
                CloseReason::BuffersFull,
                &"the buffers of all connections exceed their limit",
            );
        }
    }
}
