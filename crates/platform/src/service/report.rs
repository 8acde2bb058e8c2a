//! The status line in the log.

use super::Service;
use crate::clock::span;
use std::time::Duration;
use tracing::info;
use wheelspread::time::Moment;

/// Interval between two status lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Counters since the last status line.
#[derive(Default)]
pub(super) struct Counters {
    pub(super) unidentified_closed: u64,
    /// Rejected messages, and the diagnostics of the core.
    pub(super) diagnostics: u64,
    pub(super) streams_lost: u64,
}

impl Counters {
    pub(super) fn count_closed(&mut self, was_identified: bool) {
        if was_identified {
            self.streams_lost += 1;
        } else {
            self.unidentified_closed += 1;
        }
    }
}

/// The time of the next status line, and its counters.
pub(super) struct StatusReport {
    pub(super) next_at: Moment,
    pub(super) counters: Counters,
}

impl StatusReport {
    pub(super) fn new(now: Moment) -> StatusReport {
        StatusReport {
            next_at: now + span(REPORT_INTERVAL),
            counters: Counters::default(),
        }
    }
}

impl Service {
    pub(super) fn report_if_due(&mut self, now: Moment) {
        if now < self.report.next_at {
            return;
        }
        let Counters {
            unidentified_closed,
            diagnostics,
            streams_lost,
        } = std::mem::replace(&mut self.report, StatusReport::new(now)).counters;
        info!(
            proxies = self.core.proxy_count(),
            connections = self.connections.len(),
            exchanges = self.exchanges.len(),
            list_version = self.core.endpoint_list_version(),
            unidentified_closed,
            diagnostics,
            streams_lost,
            buffer_bytes = self.connections.buffer_bytes(),
            "status"
        );
        for (kind, estimate) in self.core.kind_estimates() {
            let capacity = estimate.capacity;
            let peak_observed_rate = estimate.peak_observed_rate;
            info!(kind, capacity, peak_observed_rate, "capacity estimate");
        }
    }
}
