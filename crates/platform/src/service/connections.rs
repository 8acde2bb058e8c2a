//! Reading, writing and closing connections.

use super::Service;
use crate::close_reason::{CloseReason, FinalRead};
use crate::connection::{Connection, ConnectionError};
use std::fmt::Display;
use tracing::debug;
use wheelspread::time::Moment;
use wheelspread_platform_core::{ConnectionId, ControllerCore, MessageOutcome};
use wheelspread_reactor::{self as reactor, Readiness};

/// `pong` as a message.
const PONG: &[u8] = b"*1\r\n$4\r\npong\r\n";

/// What one reading of a connection has brought beside its messages.
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
        // What the peer sent before it closed counts, so it is read before a write can fail.
        if ready.readable || ready.closed {
            self.read(now, id);
        }
        if ready.writable {
            self.flush(now, id);
        }
    }

    /// Reads on where a turn ended before everything was read.
    pub(super) fn continue_reads(&mut self, now: Moment) {
        for id in self.connections.take_more_to_read() {
            self.read(now, id);
        }
    }

    /// Reads one turn's worth of messages, and closes the connection where it can't go on.
    pub(super) fn read(&mut self, now: Moment, id: ConnectionId) {
        let (core, scratch) = (&mut self.core, &mut self.scratch);
        let mut effects = ReadEffects::default();
        let result = self.connections.update(id, |connection| {
            connection.read(scratch, |connection| {
                process_messages(now, id, connection, core, &mut effects)
            })
        });
        if effects.identified {
            self.connections.mark_identified(id);
        }
        self.report.counters.diagnostics += effects.rejected;
        match result {
            None | Some(Ok(false)) => {}
            Some(Ok(true)) => self.connections.set_more_to_read(id),
            Some(Err(error)) => {
                self.close(now, id, error.read_close_reason(), &error);
            }
        }
    }

    /// Writes bytes behind what waits.
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

    /// Closes a connection whose place a newer one has taken, or whose stream fell silent.
    pub(super) fn close_replaced(
        &mut self,
        now: Moment,
        id: ConnectionId,
        cause: &dyn Display,
    ) -> bool {
        self.close(now, id, CloseReason::Replaced, cause)
    }

    /// Closes a connection and does what the reason obliges to. Whether it is closed.
    pub(super) fn close(
        &mut self,
        now: Moment,
        id: ConnectionId,
        reason: CloseReason,
        cause: &dyn Display,
    ) -> bool {
        let obligations = reason.obligations();
        if obligations.final_read != FinalRead::Skip {
            self.read(now, id);
        }
        if obligations.final_read == FinalRead::KeepIfIdentified
            && !self.connections.is_unidentified(id)
        {
            return !self.connections.contains(id);
        }
        self.core.handle_connection_closed(now, id);
        // The final read may have closed it.
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

/// Passes the complete messages of a connection to the core.
fn process_messages(
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
            MessageOutcome::Pong => send_pong(connection)?,
            MessageOutcome::Close(reason) => {
                effects.rejected += 1;
                return Err(ConnectionError::Rejected(reason));
            }
        }
    }
    Ok(())
}

/// Where the peer has closed already, the messages it sent still count: reading finds its end, so only a
/// peer that does not read its answers is an error here.
fn send_pong(connection: &mut Connection) -> Result<(), ConnectionError> {
    match connection.write(PONG) {
        Err(ConnectionError::UnreadOutput) => Err(ConnectionError::UnreadOutput),
        _ => Ok(()),
    }
}
