//! SIGHUP: the controller's file is read again.

use super::Controller;
use crate::file::ControllerFile;
use tracing::{info, warn};
use wheelspread::time::Moment;
use wheelspread_controller_core::Observation;

/// The value of a configuration change that sets the pace of updates.
const PACE_VALUE: &str = "channel.lines_per_second";

impl Controller {
    /// Reads the file again. The pace of updates may change; anything else needs a restart.
    pub(super) fn reload(&mut self, now: Moment) {
        let Some(path) = &self.path else {
            return;
        };
        match ControllerFile::read(path) {
            Ok(new) => self.apply_reloaded_file(now, &new),
            Err(error) => {
                let reason = error.to_string();
                warn!(
                    reason,
                    "configuration file not reloaded, the old one stays in force"
                );
            }
        }
    }

    fn apply_reloaded_file(&mut self, now: Moment, new: &ControllerFile) {
        let lines_per_second = new.deployment.update_queue.entries_per_second;
        self.rollout.set_entries_per_second(lines_per_second);
        // The value of a change goes before the file's.
        let configuration = self.rollout.ledger().configuration();
        if configuration.values.contains_key(PACE_VALUE) {
            return warn!(
                "configuration file reloaded: a change has set {PACE_VALUE}, its value stays in force"
            );
        }
        let mut expected = self.file.deployment.clone();
        expected.update_queue.entries_per_second = lines_per_second;
        if expected == new.deployment {
            info!(lines_per_second, "configuration file reloaded");
        } else {
            warn!("configuration file reloaded: only {PACE_VALUE} changes without a restart");
        }
        self.file.deployment.update_queue.entries_per_second = lines_per_second;
        self.core.observe(
            now,
            Observation::PacingChanged {
                entries_per_second: lines_per_second,
            },
        );
    }
}
