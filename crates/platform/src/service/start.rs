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

/// Time between two attempts to listen at an address that the controller before this one still holds.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
const BIND_RETRIES: u32 = 200;

/// Why the service does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration file can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The core does not accept the settings.
    #[error("the settings can't be used: {0}")]
    Settings(#[from] wheelspread_platform_core::StartError),
    /// The operating system refuses something.
    #[error("{subject}: {error}")]
    Io {
        /// What was wanted.
        subject: String,
        /// Why it failed.
        error: io::Error,
    },
    /// A signal stopped the program while it started, which is no failure.
    #[error("stopped by a signal")]
    Stopped,
}

fn io_error(subject: impl ToString) -> impl FnOnce(io::Error) -> StartError {
    let subject = subject.to_string();
    move |error| StartError::Io { subject, error }
}

impl Service {
    /// Reads the configuration and listens.
    pub fn start(path: &Path) -> Result<Service, StartError> {
        // Signals are registered first: one that came before would end the program without a clean exit.
        let mut poll = Poll::new().map_err(io_error("epoll"))?;
        let handled = [reactor::TERMINATE, reactor::INTERRUPT, reactor::RELOAD];
        let signals = Signals::new(&poll, SIGNALS_TOKEN, &handled).map_err(io_error("signals"))?;
        let config = PlatformConfig::read(path)?;
        let clock = Clock::start();
        let now = clock.now();
        let core = start_core(now, &config)?;
        let BoundListener {
            listener,
            reload_requested,
        } = bind_with_retry(&mut poll, &signals, config.listen)?;
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
            pending_reload: reload_requested.then(|| PendingReload::first(now)),
            report: StatusReport::new(now),
            scratch: vec![0; SCRATCH_BYTES],
        })
    }
}

/// The core with the endpoint list that the configuration brings.
fn start_core(now: Moment, config: &PlatformConfig) -> Result<ControllerCore, StartError> {
    let (settings, names) = (config.settings.clone(), config.names.clone());
    let mut core = ControllerCore::start(now, config.seed, settings, names)?;
    for error in &config.cached_list_errors {
        warn!(%error, "known endpoint list: entry rejected");
    }
    if let Some(known) = &config.cached_list {
        core.handle_endpoint_list(now, known, CONFIGURED_SOURCE);
    }
    Ok(core)
}

struct BoundListener {
    listener: TcpListener,
    /// A reload was asked for meanwhile.
    reload_requested: bool,
}

/// Listens at the address. The controller before this one may still be ending, and holds it until it has.
fn bind_with_retry(
    poll: &mut Poll,
    signals: &Signals,
    address: SocketAddrV4,
) -> Result<BoundListener, StartError> {
    let mut reload_requested = false;
    let mut retries = 0;
    loop {
        let error = match reactor::listen(address) {
            Ok(listener) => {
                return Ok(BoundListener {
                    listener,
                    reload_requested,
                })
            }
            Err(error) => error,
        };
        if error.kind() != io::ErrorKind::AddrInUse || retries >= BIND_RETRIES {
            return Err(io_error(address)(error));
        }
        if retries == 0 {
            warn!(%address, "listen address still held, retrying");
        }
        retries += 1;
        poll.wait(span(BIND_RETRY_INTERVAL), &mut Vec::new())
            .map_err(io_error("epoll"))?;
        let received = signals.received();
        reload_requested |= received.contains(&reactor::RELOAD);
        if received.iter().any(|signal| *signal != reactor::RELOAD) {
            return Err(StartError::Stopped);
        }
    }
}
