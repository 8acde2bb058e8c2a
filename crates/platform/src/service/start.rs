//! Start of the service.

use super::connection_table::ConnectionTable;
use super::discovery::DiscoveryState;
use super::listener::Listener;
use super::reload::PendingReload;
use super::report::StatusReport;
use super::{Service, LAST_RESERVED_TOKEN, LISTENER_TOKEN, SCRATCH_BYTES, SIGNALS_TOKEN};
use crate::clock::{span, Clock};
use crate::config::{ConfigError, PlatformConfig};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::path::Path;
use std::time::Duration;
use tracing::{info, warn};
use wheelspread::time::Moment;
use wheelspread_platform_core::{ControllerCore, CONFIGURED_SOURCE};
use wheelspread_reactor::{self as reactor, Interest, Poll, Signals};

/// Interval between attempts to bind an address that the previous controller process still holds.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const BIND_RETRIES: u32 = 200;

/// Why the service does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration file is missing or invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The core does not accept the settings.
    #[error("invalid settings: {0}")]
    Settings(#[from] wheelspread_platform_core::StartError),
    /// A system call failed.
    #[error("{subject}: {error}")]
    Io {
        /// The resource that the call was for.
        subject: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A signal stopped the program during the start. This is not a failure.
    #[error("stopped by a signal")]
    Stopped,
}

fn io_error(subject: impl ToString) -> impl FnOnce(io::Error) -> StartError {
    let subject = subject.to_string();
    move |error| StartError::Io { subject, error }
}

impl Service {
    /// Reads the configuration and binds the listen address.
    pub fn start(path: &Path) -> Result<Service, StartError> {
        // Signals are registered first: an earlier signal would terminate the process instead of a clean exit.
        let mut poll = Poll::new().map_err(io_error("epoll"))?;
        let handled = [reactor::TERMINATE, reactor::INTERRUPT, reactor::RELOAD];
        let signals = Signals::new(&poll, SIGNALS_TOKEN, &handled).map_err(io_error("signals"))?;
        let config = PlatformConfig::read(path)?;
        let clock = Clock::start();
        let now = clock.now();
        let core = start_core(now, &config)?;
        let BoundListener { listener, reload } =
            bind_with_retry(&mut poll, &signals, config.listen)?;
        poll.add(&listener, LISTENER_TOKEN, Interest::Readable)
            .map_err(io_error("epoll"))?;
        info!(
            name = config.name,
            listen = %config.listen,
            sockets = config.socket_limit,
            memory = config.memory_limit,
            "ready"
        );
        Ok(Service {
            config_path: path.to_path_buf(),
            config,
            clock,
            poll,
            signals,
            listener: Listener::new(listener),
            core,
            connections: ConnectionTable::default(),
            exchanges: BTreeMap::new(),
            last_token: LAST_RESERVED_TOKEN,
            discovery: DiscoveryState::new(now),
            pending_reload: reload.then(|| PendingReload::first(now)),
            report: StatusReport::new(now),
            scratch: vec![0; SCRATCH_BYTES],
            iteration_bytes: 0,
        })
    }
}

/// Starts the core with the cached list from the configuration.
fn start_core(now: Moment, config: &PlatformConfig) -> Result<ControllerCore, StartError> {
    let (settings, names) = (config.settings.clone(), config.names.clone());
    let mut core = ControllerCore::start(now, config.seed, settings, names)?;
    for error in &config.cached_list_errors {
        warn!(%error, "cached endpoint list: list or entry rejected");
    }
    if let Some(cached) = &config.cached_list {
        core.handle_endpoint_list(now, cached, CONFIGURED_SOURCE);
    }
    Ok(core)
}

struct BoundListener {
    listener: TcpListener,
    /// Whether a reload was requested while waiting for the address.
    reload: bool,
}

/// Binds the listen address. The previous controller process may still be shutting down and holds the address until
/// it exits, so binding is retried.
fn bind_with_retry(
    poll: &mut Poll,
    signals: &Signals,
    address: SocketAddrV4,
) -> Result<BoundListener, StartError> {
    let mut reload = false;
    let mut retries = 0;
    loop {
        let error = match reactor::listen(address) {
            Ok(listener) => return Ok(BoundListener { listener, reload }),
            Err(error) => error,
        };
        if error.kind() != io::ErrorKind::AddrInUse || retries >= BIND_RETRIES {
            return Err(io_error(address)(error));
        }
        if retries == 0 {
            warn!(%address, "listen address in use, retrying");
        }
        retries += 1;
        poll.wait(span(BIND_RETRY_INTERVAL), &mut Vec::new())
            .map_err(io_error("epoll"))?;
        let received = signals.received();
        reload |= received.contains(&reactor::RELOAD);
        if received.iter().any(|signal| *signal != reactor::RELOAD) {
            return Err(StartError::Stopped);
        }
    }
}
