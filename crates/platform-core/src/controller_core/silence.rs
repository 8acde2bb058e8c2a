//! Detection of silent streams.
//!
//! A machine that fails without closing its connections leaves acknowledgements missing. Update steps that wait for
//! them would delay the messages to all other proxies.

use super::{span, ControllerCore, Stream};
use crate::output::CloseCause;
use crate::ConnectionId;
use std::time::Duration;
use wheelspread::ids::ProxyId;
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

/// A stream is silent when its oldest unacknowledged marker and its last message are both older than the sum of
/// these terms. A stream that is only slow must not be closed: its proxy would continue with the tables it holds,
/// and could send requests to draining nodes past the time limits of their drains.
struct SilenceLimit {
    base: Duration,
    /// Factor of the longest delay of a message to a proxy.
    message_delays: f64,
    /// Factor of the slowest recent acknowledgement.
    acknowledgement_latencies: f64,
}

const SILENCE_LIMIT: SilenceLimit = SilenceLimit {
    base: Duration::from_millis(1500),
    message_delays: 3.0,
    acknowledgement_latencies: 2.0,
};

/// Acknowledgements count as recent for this many buckets.
const LATENCY_BUCKET_COUNT: usize = 10;
const LATENCY_BUCKET: Duration = Duration::from_secs(1);

/// The latency of the slowest acknowledgement in a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct SlowestLatency(Span);

impl std::ops::AddAssign for SlowestLatency {
    fn add_assign(&mut self, other: SlowestLatency) {
        self.0 = self.0.max(other.0);
    }
}

/// Latencies of recent acknowledgements.
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
    /// The connections of silent streams; none between two maintenance runs. The caller must read them once more
    /// before calling [`ControllerCore::decide`], since an acknowledgement may have arrived without being read yet.
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
