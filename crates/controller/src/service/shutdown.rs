//! The end of a run: what was given to be written is written, and the files stay as they then are.

use super::Controller;
use crate::log;
use tracing::info;
use wheelspread::time::Span;
use wheelspread_controller_core::LogEvent;
use wheelspread_files::Done;
use wheelspread_reactor as reactor;

impl Controller {
    pub(super) fn shut_down(&mut self) {
        self.persist_facts();
        self.streams.stop(reactor::now());
        if let Some(writer) = self.table_writer.take() {
            writer.finish().into_iter().for_each(log_failed_write);
        }
        info!("controller stopped, its files stay");
    }
}

fn log_failed_write(done: Done) {
    let Done::Pointed {
        proxy,
        version,
        result: Err(reason),
    } = done
    else {
        return;
    };
    log::core_event(&LogEvent::TableWriteFailed {
        proxy,
        version,
        reason,
        retry_in: Span::ZERO,
    });
}
