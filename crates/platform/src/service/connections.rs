//! Reading, writing and closing connections.

use super::Service;
use crate::close_reason::{CloseReason, FinalRead};
use crate::connection::{
    Connection, ConnectionError, FINAL_READ_BYTES_MAX, READ_BYTES_PER_ITERATION_MAX,
};
use std::fmt::Display;
use tracing::debug;
use wheelspread::time::Moment;
use wheelspread_platform_core::{ConnectionId, ControllerCore, MessageOutcome};
use wheelspread_reactor::{self as reactor, Readiness};

/// An encoded `pong` message.
const PONG: &[u8] = b"*1\r\n$4\r\npong\r\n";

/// Bytes that are read from all identified peers together in an iteration of the event loop. The limit is checked between
/// connections.
const ITERATION_READ_BYTES_MAX: usize = 128 << 10;

/// Effects of the messages in one read that the service handles itself.
#[derive(Default)]
struct ReadEffects {
    identified: bool,
    rejected: u64,
}

impl Service {
    pub(super) fn handle_connection_ready(
        &mut self,
        now: Moment,
        id: ConnectionId,
        ready: &Readiness,
    ) {
        // Messages that the peer sent before closing must be processed, so they are read before a write can fail.
        if ready.readable || ready.closed {
            self.read_in_turn(now, id);
        }
        if ready.writable {
            self.flush(now, id);
        }
    }

    /// Continues reads that ended at the limit per iteration, or had to wait, the oldest first.
    pub(super) fn continue_reads(&mut self, now: Moment) {
        self.iteration_bytes = 0;
        for id in self.connections.take_more_to_read() {
            self.read_in_turn(now, id);
        }
    }

    /// Reads a connection, or lets it wait for the next iteration if the others were read for long enough in this one.
    /// A peer that has not identified itself yet does not wait: it may be a new proxy, or ask whether the controller is
    /// alive, and its time is limited.
    fn read_in_turn(&mut self, now: Moment, id: ConnectionId) {
        let must_wait = self.iteration_bytes >= ITERATION_READ_BYTES_MAX;
        if must_wait && !self.connections.is_unidentified(id) {
            return self.connections.set_more_to_read(id);
        }
        self.read(now, id);
        self.limit_buffers(now);
    }

    /// Reads and processes messages up to the limit per iteration, and closes the connection on an error.
    pub(super) fn read(&mut self, now: Moment, id: ConnectionId) {
        self.read_up_to(READ_BYTES_PER_ITERATION_MAX, now, id);
    }

    fn read_up_to(&mut self, max_bytes: usize, now: Moment, id: ConnectionId) {
        let (core, scratch) = (&mut self.core, &mut self.scratch);
        let mut effects = ReadEffects::default();
        let result = self.connections.update(id, |connection| {
            connection.read(max_bytes, scratch, |connection| {
                process_messages(now, id, connection, core, &mut effects)
            })
        });
        if effects.identified {
            self.connections.mark_identified(id);
        }
        self.report.counters.diagnostics += effects.rejected;
        match result {
            None => {}
            Some(Ok(progress)) => {
                self.iteration_bytes += progress.bytes;
                if progress.has_more {
                    self.connections.set_more_to_read(id);
                }
            }
            Some(Err(error)) => {
                self.close(now, id, error.read_close_reason(), &error);
            }
        }
    }

    /// Appends bytes to the connection's output and flushes it.
    pub(super) fn write(&mut self, now: Moment, id: ConnectionId, bytes: &[u8]) {
        let result = self
            .connections
            .update(id, |connection| connection.write(bytes));
        self.close_failed_write(now, id, result);
    }

    fn flush(&mut self, now: Moment, id: ConnectionId) {
        let result = self.connections.update(id, Connection::flush);
        self.close_failed_write(now, id, result);
    }

    fn close_failed_write(
        &mut self,
        now: Moment,
        id: ConnectionId,
        result: Option<Result<(), ConnectionError>>,
    ) {
        if let Some(Err(error)) = result {
            self.close(now, id, error.write_close_reason(), &error);
        }
    }

    /// Closes a connection that was replaced by a newer one, or whose stream is silent.
    pub(super) fn close_replaced(
        &mut self,
        now: Moment,
        id: ConnectionId,
        cause: &dyn Display,
    ) -> bool {
        self.close(now, id, CloseReason::Replaced, cause)
    }

    /// Fulfils the close obligations of the reason and closes the connection. Returns whether it is closed.
    pub(super) fn close(
        &mut self,
        now: Moment,
        id: ConnectionId,
        reason: CloseReason,
        cause: &dyn Display,
    ) -> bool {
        let obligations = reason.obligations();
        if obligations.final_read != FinalRead::Skip {
            self.read_up_to(FINAL_READ_BYTES_MAX, now, id);
        }
        if obligations.final_read == FinalRead::KeepIfIdentified
            && !self.connections.is_unidentified(id)
        {
            return !self.connections.contains(id);
        }
        self.core.handle_connection_closed(now, id);
        // The final read may have closed the connection.
        let Some(removed) = self.connections.remove(id) else {
            return true;
        };
        self.report.counters.count_closed(removed.was_identified);
        debug!(
            connection = id.0,
            identified = removed.was_identified,
            ?reason,
            %cause,
            "connection closed"
        );
        if obligations.reset {
            reactor::reset(removed.connection.stream);
        }
        true
    }
}

/// Passes the complete messages of a connection to the core, and sends the answers to its pings together: a write for
/// each ping would take longer than all the rest.
fn process_messages(
    now: Moment,
    id: ConnectionId,
    connection: &mut Connection,
    core: &mut ControllerCore,
    effects: &mut ReadEffects,
) -> Result<(), ConnectionError> {
    let result = take_messages(now, id, connection, core, effects);
    let flushed = flush_answers(connection);
    result.and(flushed)
}

fn take_messages(
    now: Moment,
    id: ConnectionId,
    connection: &mut Connection,
    core: &mut ControllerCore,
    effects: &mut ReadEffects,
) -> Result<(), ConnectionError> {
    while let Some(strings) = connection.decoder.next_message()? {
        match core.handle_message(now, id, &strings) {
            MessageOutcome::Consumed => {}
            MessageOutcome::Identified => {
                connection.mark_identified();
                effects.identified = true;
            }
            MessageOutcome::Pong => connection.queue(PONG),
            MessageOutcome::Close(reason) => {
                effects.rejected += 1;
                return Err(ConnectionError::Rejected(reason));
            }
        }
    }
    Ok(())
}

/// Only a peer that does not read its answers is an error here. Other write errors are ignored: messages that the peer
/// sent before closing must still be processed, and the read then detects the end of the connection.
fn flush_answers(connection: &mut Connection) -> Result<(), ConnectionError> {
    match connection.flush_within_limit() {
        Err(ConnectionError::UnreadOutput) => Err(ConnectionError::UnreadOutput),
        _ => Ok(()),
    }
}
