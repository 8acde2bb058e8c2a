//! The controller's event loop. It waits until a socket is ready or a deadline is due, turns that into
//! observations, lets the core settle and carries out the effects that the core returns. One thread runs the
//! loop, a second one writes tables and a third one writes the state file.
//!
//! `startup` builds a [`Controller`]; `accept`, `table_results` and `file_watch` turn readiness into
//! observations; `effects` carries out what the core, the rollout and the drains decide; `maintenance` runs
//! periodic work once a second; `tls_keys` and `reload` renew keys and settings; `shutdown` ends a run.

mod accept;
mod effects;
mod file_watch;
mod maintenance;
mod reload;
mod shutdown;
mod startup;
mod table_results;
mod tls_keys;

pub use startup::StartError;

use crate::admin::{AdminContext, AdminServer, Identity};
use crate::discovery_server::DiscoveryServer;
use crate::drains::DrainOrders;
use crate::file::ControllerFile;
use crate::state_writer::StateWriter;
use crate::streams::Streams;
use file_watch::ListFile;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use tls_keys::FileContents;
use wheelspread::time::{Moment, Span};
use wheelspread_config_rollout::Rollout;
use wheelspread_controller_core::ControllerCore;
use wheelspread_files::{TableRoot, TableWriter};
use wheelspread_reactor::{self as reactor, Poll, Readiness, Signals, Token, Waker, Watcher};

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const SIGNALS: Token = Token(2);
const WATCHER: Token = Token(3);
/// Token of the first of the operators' listeners.
const ADMIN_LISTENERS: Token = Token(4);
/// Proxies' connections get the tokens above this one.
const CONNECTIONS: Token = Token(100);
/// Token of the first operator connection, above the token of any proxy connection.
const ADMIN_CONNECTIONS: Token = Token(1 << 60);

/// Why [`Controller::run`] returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// SIGTERM or SIGINT was received.
    Signal,
}

/// A controller: the core, its sockets, and the files that it reads and writes.
pub struct Controller {
    /// The path of the configuration file, which is read again on SIGHUP; `None`: SIGHUP has no effect.
    path: Option<PathBuf>,
    file: ControllerFile,
    poll: Poll,
    listener: TcpListener,
    /// Set after a failed accept (mostly because the process has no free file descriptors): the listener is not
    /// polled until then.
    accept_paused_until: Option<Moment>,
    waker: Waker,
    signals: Signals,
    watcher: Watcher,
    /// Directories that could not be watched or were removed; adding the watch is retried once a second.
    unwatched_directories: BTreeSet<PathBuf>,
    maintenance_at: Moment,
    streams: Streams,
    discovery: DiscoveryServer,
    state_writer: StateWriter,
    rollout: Rollout,
    /// When the rollout is to be settled next; an operator's request makes it due at once. `None`: nothing is due.
    rollout_at: Option<Moment>,
    drains: DrainOrders,
    identity: Identity,
    admin: AdminServer,
    /// `None` once the controller shuts down.
    table_writer: Option<TableWriter>,
    root: TableRoot,
    core: ControllerCore,
    last_list_file: ListFile,
    last_tls_files: FileContents,
    last_administration_files: FileContents,
    /// The lock on the root of tables, held for as long as the controller runs.
    _root_lock: File,
}

impl Controller {
    /// The address that the proxies' listener is bound to.
    pub fn address(&self) -> io::Result<SocketAddrV4> {
        match self.listener.local_addr()? {
            SocketAddr::V4(address) => Ok(address),
            other => Err(io::Error::other(format!(
                "the listener is bound to {other}, which is not an IPv4 address"
            ))),
        }
    }

    /// Runs the loop until SIGTERM or SIGINT is received.
    pub fn run(mut self) -> io::Result<ExitReason> {
        let mut ready = Vec::new();
        loop {
            let now = reactor::now();
            self.process_due_work(now);
            self.poll.wait(self.poll_timeout(now), &mut ready)?;
            let now = reactor::now();
            for ready in ready.drain(..) {
                if let Some(reason) = self.handle_readiness(now, ready)? {
                    self.shut_down();
                    return Ok(reason);
                }
            }
        }
    }

    fn poll_timeout(&self, now: Moment) -> Span {
        if self.streams.has_ready_connections() {
            return Span::ZERO;
        }
        self.wake_at(now) - reactor::now()
    }

    fn wake_at(&self, now: Moment) -> Moment {
        let deadlines = [
            self.discovery.wake_at(),
            self.streams.wake_at(),
            self.accept_paused_until,
            Some(self.maintenance_at),
            self.rollout_at,
            self.drains.wake_at(),
        ];
        deadlines
            .into_iter()
            .flatten()
            .fold(self.core.wake_at(now), Moment::min)
    }

    /// Does the work that is due, before the loop waits for readiness again.
    fn process_due_work(&mut self, now: Moment) {
        self.resume_accepting(now);
        self.run_maintenance(now);
        self.process_streams(now);
        self.settle_core(now);
        self.discovery
            .send_responses(now, &mut self.core, &mut self.streams);
        self.settle_rollout(now);
        self.settle_drains(now);
    }

    /// Reads and writes connections that are ready, and passes what was received on their streams to the core and
    /// the discovery server.
    fn process_streams(&mut self, now: Moment) {
        let mut observations = Vec::new();
        self.streams.process_ready(now, &mut observations);
        for observation in observations {
            self.discovery
                .handle_observation(now, &mut self.core, observation);
        }
        self.discovery.run_maintenance(now, &mut self.streams);
        self.discovery
            .handle_requests(now, &mut self.core, &mut self.streams);
    }

    /// Dispatches readiness by its token. Returns a reason if the loop is to end.
    fn handle_readiness(
        &mut self,
        now: Moment,
        ready: Readiness,
    ) -> io::Result<Option<ExitReason>> {
        match ready.token {
            LISTENER => self.accept(now),
            WAKER => self.handle_write_results(now),
            WATCHER => self.handle_file_events(now)?,
            SIGNALS => return Ok(self.handle_signals(now)),
            token if self.admin.is_listener(token) => self.admin.accept(&self.poll, now, token),
            token if token >= ADMIN_CONNECTIONS => self.handle_admin_connection(now, token),
            connection => self.streams.mark_ready(connection),
        }
        Ok(None)
    }

    fn handle_signals(&mut self, now: Moment) -> Option<ExitReason> {
        for signal in self.signals.received() {
            match signal {
                reactor::RELOAD => self.reload(now),
                _ => return Some(ExitReason::Signal),
            }
        }
        None
    }

    fn handle_admin_connection(&mut self, now: Moment, token: Token) {
        let mut context = AdminContext {
            core: &mut self.core,
            rollout: &mut self.rollout,
            drains: &mut self.drains,
            identity: &self.identity,
        };
        self.admin.handle_ready(now, token, &mut context);
        self.rollout_at = Some(now);
    }
}
