//! Detection of streams that have fallen silent.
//!
//! A machine that vanishes sends no end of its connections, and what waits for its acknowledgements would hold
//! up the messages to all other proxies.

use super::{span, ControllerCore, Stream};
use crate::output::CloseCause;
use crate::ConnectionId;
use std::time::Duration;
use wheelspread::ids::ProxyId;
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

/// A stream is silent when a marker is unacknowledged, and nothing else has come, for the sum of these. A
/// stream that is only slow must not be closed: its proxy would go on by the tables it holds, and the time
/// limits of drains with it.
struct SilenceLimit {
    base: Duration,
    /// Multiple of the longest delay of a message.
    message_delays: f64,
    /// Multiple of the slowest recent acknowledgement.
    acknowledgement_latencies: f64,
}

const SILENCE_LIMIT: SilenceLimit = SilenceLimit {
    base: Duration::from_millis(1500),
    message_delays: 3.0,
    acknowledgement_latencies: 2.0,
};

/// Acknowledgements are recent for so many buckets.
const LATENCY_BUCKET_COUNT: usize = 10;
const LATENCY_BUCKET: Duration = Duration::from_secs(1);

/// The slowest acknowledgement of a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct SlowestLatency(Span);

impl std::ops::AddAssign for SlowestLatency {
    fn add_assign(&mut self, other: SlowestLatency) {
        self.0 = self.0.max(other.0);
    }
}

/// How long recent acknowledgements took.
pub(super) struct LatencyHistory(RollingWindow<SlowestLatency>);

impl LatencyHistory {
    pub(super) fn new() -> LatencyHistory {
        LatencyHistory(RollingWindow::new(
            span(LATENCY_BUCKET),
            LATENCY_BUCKET_COUNT,
        ))
    }

    pub(super) fn record(&mut self, now: Moment, latency: Span) {
        self.0.add(now, SlowestLatency(latency));
    }

    fn slowest(&self, now: Moment) -> Span {
        self.0.total(now).0
    }
}

impl ControllerCore {
    /// Streams that have fallen silent. Their owner reads them once more before the next decision round: an
    /// acknowledgement that has come and was not read yet is not late.
    pub fn silent_connections(&self, now: Moment) -> Vec<ConnectionId> {
        if now < self.next_maintenance_at {
            return Vec::new();
        }
        let limit = span(SILENCE_LIMIT.base)
            + self.acknowledgement_latency.slowest(now) * SILENCE_LIMIT.acknowledgement_latencies
            + self.settings.max_message_delay * SILENCE_LIMIT.message_delays;
        let silent = |(proxy, stream): (&ProxyId, &Stream)| {
            let sent_at = self.publication.oldest_unacknowledged(*proxy)?;
            let is_silent = now - sent_at > limit && now - stream.last_message_at > limit;
            is_silent.then_some(stream.connection)
        };
        self.streams.iter().filter_map(silent).collect()
    }

    pub(super) fn close_silent_streams(&mut self, now: Moment) {
        for connection in self.silent_connections(now) {
            self.close(now, connection, CloseCause::Silent);
        }
    }
}
