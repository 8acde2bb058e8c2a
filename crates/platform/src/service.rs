//! The event loop. Each iteration reads all ready sockets, calls the core's `decide` once and carries out its outputs.
//!
//! | module | contents |
//! | --- | --- |
//! | `start` | reading the configuration, binding the listen address |
//! | `listener` | accepting and evicting connections |
//! | `connection_table` | the connections, and the total size of their buffers |
//! | `connections` | reading, writing and closing connections |
//! | `exchanges` | HTTP requests and their time limits |
//! | `discovery` | the watch on the endpoint list, and reading the complete list |
//! | `health_checks` | health checks of nodes |
//! | `reload` | reloading the configuration |
//! | `maintenance` | time limits and periodic tasks |
//! | `report` | the status line in the log |

mod connection_table;
mod connections;
mod discovery;
mod exchanges;
mod health_checks;
mod listener;
mod maintenance;
mod reload;
mod report;
mod start;

pub use start::StartError;

use crate::clock::Clock;
use crate::config::PlatformConfig;
use connection_table::ConnectionTable;
use discovery::DiscoveryState;
use exchanges::{ExchangeId, OpenExchange};
use listener::Listener;
use reload::PendingReload;
use report::StatusReport;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use tracing::{debug, info};
use wheelspread::time::{Moment, Span};
use wheelspread_platform_core::{ConnectionId, ControllerCore, Diagnostic, Output};
use wheelspread_reactor::{self as reactor, Poll, Readiness, Signals, Token};

const LISTENER_TOKEN: Token = Token(0);
const SIGNALS_TOKEN: Token = Token(1);
/// Tokens above this belong to connections and exchanges.
const LAST_RESERVED_TOKEN: u64 = 16;
/// Size of the buffer for one read from a socket.
const SCRATCH_BYTES: usize = 64 << 10;

/// A controller on a platform.
pub struct Service {
    config_path: PathBuf,
    config: PlatformConfig,
    clock: Clock,
    poll: Poll,
    signals: Signals,
    listener: Listener,
    core: ControllerCore,
    connections: ConnectionTable,
    exchanges: BTreeMap<ExchangeId, OpenExchange>,
    last_token: u64,
    discovery: DiscoveryState,
    pending_reload: Option<PendingReload>,
    report: StatusReport,
    scratch: Vec<u8>,
    /// Bytes that were read from connections in this iteration of the event loop.
    iteration_bytes: usize,
}

impl Service {
    /// Runs until a signal stops it.
    pub fn run(mut self) -> io::Result<()> {
        let mut ready = Vec::new();
        loop {
            self.poll.wait(self.wait_time(), &mut ready)?;
            let now = self.clock.now();
            if self.handle_signals(now, &ready) {
                self.shut_down();
                return Ok(());
            }
            self.continue_reads(now);
            self.handle_sockets(now, &ready);
            // Accepting may evict connections, so those accepted earlier are read first.
            if ready.iter().any(|ready| ready.token == LISTENER_TOKEN) {
                self.accept(now);
            }
            self.run_maintenance(now);
            for output in self.core.decide(now) {
                self.execute_output(now, output);
            }
        }
    }

    fn wait_time(&self) -> Span {
        if self.connections.has_more_to_read() {
            Span::ZERO
        } else {
            self.wake_at() - self.clock.now()
        }
    }

    fn wake_at(&self) -> Moment {
        let reload_at = self.pending_reload.map(|reload| reload.due_at);
        [reload_at, self.listener.resume_at]
            .into_iter()
            .flatten()
            .fold(self.core.wake_at().min(self.report.next_at), Moment::min)
    }

    /// Handles received signals. Returns whether the service must stop.
    fn handle_signals(&mut self, now: Moment, ready: &[Readiness]) -> bool {
        if !ready.iter().any(|ready| ready.token == SIGNALS_TOKEN) {
            return false;
        }
        let received = self.signals.received();
        if received.contains(&reactor::RELOAD) {
            self.pending_reload = Some(PendingReload::first(now));
        }
        received.iter().any(|signal| *signal != reactor::RELOAD)
    }

    /// Flushes waiting output as far as possible; a truncated message has no effect at its receiver. Connections that
    /// were not accepted yet are refused when the process exits and the listener closes.
    fn shut_down(mut self) {
        info!("shutting down");
        self.connections.flush_all();
    }

    fn handle_sockets(&mut self, now: Moment, ready: &[Readiness]) {
        for ready in ready {
            let token = ready.token.0;
            if token <= LAST_RESERVED_TOKEN {
                continue;
            }
            if self.exchanges.contains_key(&ExchangeId(token)) {
                self.progress_exchange(now, ExchangeId(token));
            } else {
                self.handle_connection_ready(now, ConnectionId(token), ready);
            }
        }
    }

    /// The next token of the sequence that connections and exchanges share.
    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn execute_output(&mut self, now: Moment, output: Output) {
        match output {
            Output::Write { connection, bytes } => self.write(now, connection, &bytes),
            Output::Close { connection, cause } => {
                self.close_replaced(now, connection, &cause);
            }
            Output::RequestEndpointList => {
                self.request_complete_list(now);
            }
            Output::HealthCheck { node, address } => self.start_health_check(now, node, address),
            Output::Diagnostic(diagnostic) => self.log_diagnostic(&diagnostic),
        }
    }

    fn log_diagnostic(&mut self, diagnostic: &Diagnostic) {
        self.report.counters.diagnostics += match diagnostic {
            Diagnostic::Suppressed { count } => *count as u64,
            _ => 1,
        };
        debug!(%diagnostic, "diagnostic");
    }
}
