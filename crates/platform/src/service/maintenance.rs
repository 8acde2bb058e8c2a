//! What is due by time. It runs in every turn of the loop.

use super::Service;
use crate::clock::span;
use crate::close_reason::CloseReason;
use std::time::Duration;
use wheelspread::time::Moment;

/// Time within which a connection has to identify itself.
const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(1600);
/// The share of the memory limit that buffers of connections may take together.
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
            self.close(now, id, reason, &"not identified in time");
        }
    }

    /// Streams that the core is about to close for their silence are read once more: an acknowledgement that
    /// has come and was not read yet is not late.
    fn read_silent(&mut self, now: Moment) {
        for id in self.core.silent_connections(now) {
            self.read(now, id);
        }
    }

    /// Peers that read slowly may take memory, but not all of it.
    fn limit_buffers(&mut self, now: Moment) {
        let max = self.config.memory_limit as f64 * BUFFER_MEMORY_RATIO;
        if self.connections.buffer_bytes() as f64 <= max {
            return;
        }
        if let Some(id) = self.connections.with_largest_buffers() {
            self.close(now, id, CloseReason::BuffersFull, &"buffers are full");
        }
    }
}
