//! Shutdown: finishes the queued writes, closes the streams and leaves the published tables in place.

use super::Controller;
use crate::log;
use tracing::info;
use wheelspread::time::Span;
use wheelspread_controller_core::LogEvent;
use wheelspread_files::WriteResult;
use wheelspread_reactor as reactor;

impl Controller {
    pub(super) fn shut_down(&mut self) {
        self.persist_facts();
        self.streams.stop(reactor::now());
        if let Some(writer) = self.table_writer.take() {
            writer.finish().into_iter().for_each(log_failed_write);
        }
        info!("controller stopped, published tables stay in place");
    }
}

fn log_failed_write(done: WriteResult) {
    let WriteResult::Published {
        proxy,
        version,
        result: Err(error),
    } = done
    else {
        return;
    };
    log::core_event(&LogEvent::TableWriteFailed {
        proxy,
        version,
        reason: error.to_string(),
        retry_in: Span::ZERO,
    });
}
