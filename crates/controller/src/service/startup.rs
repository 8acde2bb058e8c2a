//! Start-up: takes the lock on the root of tables, restores the state of the previous run, then starts threads and
//! opens sockets.

use super::{
    Controller, ADMIN_CONNECTIONS, ADMIN_LISTENERS, CONNECTIONS, LISTENER, SIGNALS, WAKER, WATCHER,
};
use crate::admin::{AdminServer, Identity};
use crate::discovery_server::DiscoveryServer;
use crate::drains::DrainOrders;
use crate::file::ControllerFile;
use crate::service::file_watch::{list_directory, ListFile};
use crate::service::maintenance::MAINTENANCE_INTERVAL;
use crate::service::tls_keys::{administration_tls, FileContents};
use crate::state_writer::{self, StateWriter};
use crate::streams::Streams;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use tracing::{info, warn};
use wheelspread::time::Moment;
use wheelspread_config_rollout::Rollout;
use wheelspread_config_transaction::PersistedState;
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::{ControllerCore, Deployment};
use wheelspread_files::{scan, TableRoot, TableWriter};
use wheelspread_grpc::tls::KeyError;
use wheelspread_reactor::{self as reactor, Interest, Poll, Signals, Waker, Watcher};

/// Why a controller could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The operating system returned an error for a file, a directory, a socket or a thread.
    #[error("{resource}: {source}")]
    Io {
        /// The resource that could not be opened or used.
        resource: String,
        /// The system's error.
        source: io::Error,
    },
    /// Another process holds the lock on this root of tables.
    #[error("{0} is in use by another controller")]
    InUse(String),
    /// The state file can't be used.
    #[error(transparent)]
    State(#[from] wheelspread_store::StoreError),
    /// Certificates or keys can't be used.
    #[error("tls: {0}")]
    Keys(KeyError),
    /// The core rejected the deployment.
    #[error(transparent)]
    Core(#[from] wheelspread_controller_core::StartError),
}

fn io_error(resource: impl Into<String>) -> impl FnOnce(io::Error) -> StartError {
    let resource = resource.into();
    move |source| StartError::Io { resource, source }
}

/// The loop's event sources besides connections and listeners.
struct EventSources {
    poll: Poll,
    waker: Waker,
    signals: Signals,
    watcher: Watcher,
    unwatched_directories: BTreeSet<PathBuf>,
}

impl EventSources {
    fn open(file: &ControllerFile, root: &TableRoot) -> Result<EventSources, StartError> {
        let poll = Poll::new().map_err(io_error("epoll"))?;
        let waker = Waker::new(&poll, WAKER).map_err(io_error("eventfd"))?;
        let handled = [reactor::TERMINATE, reactor::INTERRUPT, reactor::RELOAD];
        let signals = Signals::new(&poll, SIGNALS, &handled).map_err(io_error("signals"))?;
        let mut watcher = Watcher::new(&poll, WATCHER).map_err(io_error("inotify"))?;
        let mut unwatched_directories = BTreeSet::new();
        for directory in [list_directory(file), root.statuses()] {
            if let Err(error) = watcher.add(&directory) {
                warn!(directory = %directory.display(), %error, "directory cannot be watched yet");
                unwatched_directories.insert(directory);
            }
        }
        Ok(EventSources {
            poll,
            waker,
            signals,
            watcher,
            unwatched_directories,
        })
    }
}

/// The state of the previous run, restored from the published tables and from the state file.
struct RestoredRun {
    drains: DrainOrders,
    rollout: Rollout,
    deployment: Deployment,
    recovered: RecoveredState,
}

impl RestoredRun {
    fn restore(
        now: Moment,
        file: &ControllerFile,
        root: &TableRoot,
        persisted: &PersistedState,
    ) -> Result<RestoredRun, StartError> {
        let drains = DrainOrders::restore(now, persisted, file.changes.value_lost_at_most);
        let (rollout, configured, migrating) = Rollout::start(
            now,
            file.deployment.clone(),
            file.changes.rollout_settings(),
            persisted,
        );
        let deployment = configured.deployment;
        let mut scan = scan(root, &deployment).map_err(io_error("scan of the root of tables"))?;
        for tables in &scan.unreadable {
            let text = tables.to_string();
            warn!(text, "unreadable file found under the root of tables");
        }
        state_writer::restore_core_state(persisted, reactor::unix_seconds(), &mut scan.recovered);
        (scan.recovered.configuration, scan.recovered.node_values) =
            (configured.version, configured.node_values);
        scan.recovered.migrating = migrating;
        scan.recovered.drained = drains.drained_nodes();
        info!(
            name = file.conductor.name,
            configuration = configured.version,
            held = scan.recovered.tables.len(),
            versions = scan.recovered.versions.len(),
            leftovers = scan.removed_draft_count,
            "controller starting"
        );
        Ok(RestoredRun {
            drains,
            rollout,
            deployment,
            recovered: scan.recovered,
        })
    }
}

impl Controller {
    /// Takes the lock on the root of tables, restores the state of the previous run and opens the sockets.
    /// `path` is the path of `file`, which is read again on SIGHUP.
    pub fn start(file: ControllerFile, path: Option<&Path>) -> Result<Controller, StartError> {
        let root = prepare_root(&file)?;
        let root_lock = lock_root(&root)?;
        let sources = EventSources::open(&file, &root)?;
        let (state_writer, persisted) = StateWriter::start(
            &file.conductor.tables.join("state"),
            reactor::unix_seconds(),
            sources.waker.clone(),
        )?;
        let now = reactor::now();
        let restored = RestoredRun::restore(now, &file, &root, &persisted)?;
        let core = start_core(now, &file, &restored.deployment, restored.recovered)?;
        let table_writer = start_table_writer(&root, &restored.deployment, &sources.waker)?;
        let listener = listen(&file, &sources.poll)?;
        let admin = start_admin(&file, &sources.poll)?;
        let mut controller = Controller {
            path: path.map(Path::to_path_buf),
            poll: sources.poll,
            listener,
            accept_paused_until: None,
            waker: sources.waker,
            signals: sources.signals,
            watcher: sources.watcher,
            unwatched_directories: sources.unwatched_directories,
            maintenance_at: now + MAINTENANCE_INTERVAL,
            streams: new_streams(&file),
            discovery: DiscoveryServer::new(&file, restored.deployment),
            state_writer,
            rollout: restored.rollout,
            rollout_at: Some(now),
            drains: restored.drains,
            identity: Identity::new(&file, now),
            admin,
            table_writer: Some(table_writer),
            root,
            core,
            last_list_file: ListFile::default(),
            last_tls_files: FileContents::default(),
            last_administration_files: FileContents::default(),
            _root_lock: root_lock,
            file,
        };
        controller.renew_tls_keys().map_err(StartError::Keys)?;
        controller.read_endpoint_list(now);
        Ok(controller)
    }
}

fn prepare_root(file: &ControllerFile) -> Result<TableRoot, StartError> {
    let tables = &file.conductor.tables;
    let root = TableRoot::new(tables);
    root.prepare()
        .map_err(io_error(format!("root of tables {}", tables.display())))?;
    Ok(root)
}

/// Takes an exclusive lock, because two controllers under one root would overwrite and remove each other's tables.
fn lock_root(root: &TableRoot) -> Result<File, StartError> {
    let path = root.path().join("lock");
    let file = File::create(&path).map_err(io_error(path.display().to_string()))?;
    match rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(file),
        Err(rustix::io::Errno::WOULDBLOCK) => {
            Err(StartError::InUse(root.path().display().to_string()))
        }
        Err(error) => Err(io_error(path.display().to_string())(error.into())),
    }
}

fn start_core(
    now: Moment,
    file: &ControllerFile,
    deployment: &Deployment,
    recovered: RecoveredState,
) -> Result<ControllerCore, StartError> {
    let settings = &file.conductor;
    Ok(ControllerCore::start(
        now,
        settings.seed,
        deployment.clone(),
        settings.number,
        recovered,
    )?)
}

fn start_table_writer(
    root: &TableRoot,
    deployment: &Deployment,
    waker: &Waker,
) -> Result<TableWriter, StartError> {
    TableWriter::start(root.clone(), deployment.clone(), waker.clone())
        .map_err(io_error("table writer thread"))
}

fn listen(file: &ControllerFile, poll: &Poll) -> Result<std::net::TcpListener, StartError> {
    let address = file.conductor.listen;
    let listener = reactor::listen(address).map_err(io_error(address.to_string()))?;
    poll.add(&listener, LISTENER, Interest::Readable)
        .map_err(io_error("epoll"))?;
    Ok(listener)
}

fn start_admin(file: &ControllerFile, poll: &Poll) -> Result<AdminServer, StartError> {
    let port = match &file.administration {
        None => None,
        Some(settings) => {
            let tls = administration_tls(settings).map_err(StartError::Keys)?;
            Some((settings, tls))
        }
    };
    AdminServer::start(
        &file.conductor.tables,
        port,
        poll,
        ADMIN_LISTENERS,
        ADMIN_CONNECTIONS,
    )
    .map_err(io_error("operators' listeners"))
}

fn new_streams(file: &ControllerFile) -> Streams {
    Streams::new(
        CONNECTIONS,
        file.conductor.connections_at_most,
        file.conductor.buffers_at_most,
        file.deployment.load_reports.period,
    )
}
