//! Handles the results of the threads that write tables and the state file.

use super::Controller;
use crate::drains::FIRST_WRITE_NUMBER;
use tracing::warn;
use wheelspread::time::Moment;
use wheelspread_config_rollout::WriteError;
use wheelspread_controller_core::controller_core::TableWriteError;
use wheelspread_controller_core::Observation;
use wheelspread_files::{TableWriter, WriteResult};

impl Controller {
    pub(super) fn handle_write_results(&mut self, now: Moment) {
        self.waker.reset();
        self.handle_state_results(now);
        let finished: Vec<WriteResult> = self
            .table_writer
            .iter()
            .flat_map(TableWriter::results)
            .collect();
        for done in finished {
            self.handle_table_result(now, done);
        }
    }

    fn handle_state_results(&mut self, now: Moment) {
        for written in self.state_writer.take_results() {
            if written.number > FIRST_WRITE_NUMBER {
                self.drains
                    .on_write_completed(now, written.number, written.result);
                continue;
            }
            let result = written
                .result
                .map_err(|error| WriteError(error.to_string()));
            self.rollout.on_write_completed(now, written.number, result);
            self.rollout_at = Some(now);
        }
    }

    fn handle_table_result(&mut self, now: Moment, done: WriteResult) {
        match done {
            WriteResult::Published {
                proxy,
                version,
                result,
            } => {
                let observation = Observation::TablesWritten {
                    proxy,
                    version,
                    result: result.map_err(TableWriteError::new),
                };
                self.core.observe(now, observation);
            }
            WriteResult::PublishedUnsynced { version } => {
                warn!(
                    version = version.0,
                    "tables published before fsync ended, the disk is slow"
                );
            }
            WriteResult::RemovalFailed { version, error } => {
                warn!(
                    version = version.0,
                    reason = error.to_string(),
                    "old table version cannot be removed"
                );
            }
        }
    }
}
