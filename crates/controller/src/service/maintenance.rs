//! Periodic maintenance, once a second.

use super::Controller;
use tracing::warn;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor as reactor;

/// Time between two runs of the periodic maintenance.
pub(super) const MAINTENANCE_INTERVAL: Span = Span::from_seconds(1.0);

impl Controller {
    /// Does the work that no event triggers, once per interval.
    pub(super) fn run_maintenance(&mut self, now: Moment) {
        if now < self.maintenance_at {
            return;
        }
        self.maintenance_at = now + MAINTENANCE_INTERVAL;
        self.watch_returned_directories(now);
        if let Err(error) = self.renew_tls_keys() {
            warn!(%error, "TLS keys not renewed, the old ones stay in use");
        }
        // inotify reports no event for a list that existed before the watch was added.
        if !self.last_list_file.is_readable() {
            self.read_endpoint_list(now);
        }
        self.persist_facts();
        self.admin.close_slow_connections(now);
    }

    /// Persists the last published version, endpoints and capacity snapshots, where they have changed.
    pub(super) fn persist_facts(&mut self) {
        self.state_writer.persist_changes(
            reactor::unix_seconds(),
            self.core.last_version(),
            self.core.endpoint_list(),
            self.core.capacity_snapshots(),
        );
    }
}
