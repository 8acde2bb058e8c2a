//! Reads the controller's configuration file again on SIGHUP.

use super::Controller;
use crate::file::ControllerFile;
use tracing::{info, warn};
use wheelspread::time::Moment;
use wheelspread_controller_core::Observation;

/// The path by which a configuration change sets the pacing of updates.
const PACING_VALUE: &str = "channel.lines_per_second";

impl Controller {
    /// Reads the file again. Only the pacing of updates takes effect; any other difference needs a restart.
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
        // A value set by a configuration change takes precedence over the file's.
        let configuration = self.rollout.ledger().configuration();
        if configuration.values.contains_key(PACING_VALUE) {
            return warn!(
                "configuration file reloaded: a change has set {PACING_VALUE}, its value stays in force"
            );
        }
        let mut expected = self.file.deployment.clone();
        expected.update_queue.entries_per_second = lines_per_second;
        if expected == new.deployment {
            info!(lines_per_second, "configuration file reloaded");
        } else {
            warn!("configuration file reloaded: only {PACING_VALUE} changes without a restart");
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
