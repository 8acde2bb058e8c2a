//! The loop. It waits until something is ready or due, turns that into observations, lets the session
//! settle, and carries out what it says. The only other thread is the one that writes files.

use crate::admin::Admin;
use crate::drains::{Drains, NUMBERS};
use crate::file::{AdministrationPlan, ControllerFile};
use crate::front::Desk;
use crate::log;
use crate::routes::{self, About};
use crate::state_writer::{self, StateWriter};
use crate::streams::Streams;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::{SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tracing::{error, info, warn};
use wheelspread::time::{Moment, Span};
use wheelspread_config_rollout::{Rollout, RolloutAction, WriteError};
use wheelspread_config_transaction::Commit;
use wheelspread_controller_core::controller_core::{ConfigUpdate, TableWriteError};
use wheelspread_controller_core::rollback::RollbackResult;
use wheelspread_controller_core::{ControllerCore, Effect, LogEvent, Observation};
use wheelspread_faults::failpoint;
use wheelspread_files::{read, scan, Done, Job, Root, Writer};
use wheelspread_grpc::tls::{KeyError, KeyFiles};
use wheelspread_grpc::{ServerConfig, Status};
use wheelspread_reactor::{
    self as reactor, Interest, Moved, Poll, Readiness, Signals, Token, Waker, Watcher,
};
use wheelspread_xds::{loads, nodes, status};

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const SIGNALS: Token = Token(2);
const WATCHER: Token = Token(3);
/// The first of the ways in for operators.
const ADMIN: Token = Token(4);
const CONNECTIONS: Token = Token(100);
/// Callers of the socket of operators, beyond any connection.
const CALLERS: Token = Token(1 << 60);

/// After an accept that failed for want of descriptors.
const PAUSE: f64 = 0.2;
/// Between two attempts to watch a directory that went away, and between looks at a list that may be there.
const LOOK_AGAIN: f64 = 1.0;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{what}: {source}")]
    Io { what: String, source: io::Error },
    #[error("{0} is in use by another conductor")]
    InUse(String),
    #[error(transparent)]
    State(#[from] wheelspread_store::StoreError),
    #[error("tls: {0}")]
    Keys(KeyError),
    #[error(transparent)]
    Core(#[from] wheelspread_controller_core::StartError),
}

/// Why `run` came to an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Told,
}

fn named(what: impl Into<String>) -> impl FnOnce(io::Error) -> StartError {
    let what = what.into();
    move |source| StartError::Io { what, source }
}

pub struct Controller {
    path: Option<PathBuf>,
    file: ControllerFile,
    poll: Poll,
    listener: TcpListener,
    paused_until: Option<Moment>,
    waker: Waker,
    signals: Signals,
    watcher: Watcher,
    lost: BTreeSet<PathBuf>,
    look_at: Moment,
    streams: Streams,
    desk: Desk,
    keeper: StateWriter,
    rollout: Rollout,
    drains: Drains,
    about: About,
    /// When changes are to be looked at again, if nothing is asked meanwhile.
    changes_at: Option<Moment>,
    admin: Admin,
    writer: Option<Writer>,
    root: Root,
    session: ControllerCore,
    last_list: Option<Result<String, String>>,
    /// Of the key files, as last read.
    last_keys: Vec<Option<Vec<u8>>>,
    last_administration: Vec<Option<Vec<u8>>>,
    _lock: File,
}

impl Controller {
    /// `path`: where the file came from, to be read again on a signal.
    pub fn start(file: ControllerFile, path: Option<&Path>) -> Result<Controller, StartError> {
        let place = &file.conductor;
        let root = Root::new(&place.tables);
        root.prepare().map_err(named(format!(
            "the root of tables {}",
            place.tables.display()
        )))?;
        let lock = lock(&root)?;
        let poll = Poll::new().map_err(named("epoll"))?;
        let waker = Waker::new(&poll, WAKER).map_err(named("eventfd"))?;
        let wanted = [reactor::TERMINATE, reactor::INTERRUPT, reactor::RELOAD];
        let signals = Signals::new(&poll, SIGNALS, &wanted).map_err(named("signals"))?;
        let mut watcher = Watcher::new(&poll, WATCHER).map_err(named("inotify"))?;
        let mut lost = BTreeSet::new();
        let watched = watched(&file);
        for directory in [watched, root.statuses()] {
            if let Err(error) = watcher.add(&directory) {
                warn!(directory = %directory.display(), %error, "can't be watched yet");
                lost.insert(directory);
            }
        }
        let (keeper, kept) =
            StateWriter::start(&place.tables.join("state"), reactor::wall(), waker.clone())?;
        let now = reactor::now();
        let drains = Drains::start(now, &kept, file.changes.value_lost_at_most);
        let (rollout, configured, moving) = Rollout::start(
            now,
            file.deployment.clone(),
            file.changes.rollout_settings(),
            &kept,
        );
        let plan = configured.plan;
        let mut scan = scan(&root, &plan).map_err(named("what lies under the root of tables"))?;
        for text in &scan.unreadable {
            warn!(text, "found unreadable");
        }
        state_writer::recall(&kept, reactor::wall(), &mut scan.found);
        (scan.found.configuration, scan.found.values) = (configured.version, configured.values);
        scan.found.migrating = moving;
        scan.found.drained = drains.out();
        let (held, versions, leftovers) = (
            scan.found.tables.len(),
            scan.found.versions.len(),
            scan.leftovers,
        );
        let (name, configuration) = (&place.name, configured.version);
        info!(
            name,
            configuration, held, versions, leftovers, "conductor starts"
        );
        let session =
            ControllerCore::start(now, place.seed, plan.clone(), place.number, scan.found)?;
        let writer =
            Writer::start(root.clone(), plan.clone(), waker.clone()).map_err(named("a thread"))?;
        let listener = reactor::listen(place.listen).map_err(named(place.listen.to_string()))?;
        poll.add(&listener, LISTENER, Interest::Readable)
            .map_err(named("epoll"))?;
        let plan_of_administration = match &file.administration {
            None => None,
            Some(plan) => Some((plan, administration_keys(plan).map_err(StartError::Keys)?)),
        };
        let admin = Admin::start(&place.tables, plan_of_administration, &poll, ADMIN, CALLERS)
            .map_err(named("the ways in for operators"))?;
        let about = About {
            name: place.name.clone(),
            number: place.number,
            started: now,
        };
        let streams = Streams::new(
            CONNECTIONS,
            place.connections_at_most,
            file.deployment.sums.period,
        );
        let mut conductor = Controller {
            path: path.map(Path::to_path_buf),
            poll,
            listener,
            paused_until: None,
            waker,
            signals,
            watcher,
            lost,
            look_at: now + Span::from_seconds(LOOK_AGAIN),
            streams,
            desk: Desk::new(&file, plan),
            keeper,
            rollout,
            drains,
            about,
            changes_at: Some(now),
            admin,
            writer: Some(writer),
            root,
            session,
            last_list: None,
            last_keys: Vec::new(),
            last_administration: Vec::new(),
            _lock: lock,
            file,
        };
        conductor.renew_keys().map_err(StartError::Keys)?;
        conductor.read_list(now);
        Ok(conductor)
    }

    pub fn address(&self) -> io::Result<SocketAddrV4> {
        match self.listener.local_addr()? {
            std::net::SocketAddr::V4(address) => Ok(address),
            other => Err(io::Error::other(format!("{other} is no IPv4 address"))),
        }
    }

    /// Until a signal tells it to stop.
    pub fn run(mut self) -> io::Result<Ended> {
        let mut ready = Vec::new();
        loop {
            let now = reactor::now();
            self.turn(now);
            let wait = if self.streams.stirred() {
                Span::ZERO
            } else {
                self.wake_at(now) - reactor::now()
            };
            self.poll.wait(wait, &mut ready)?;
            let now = reactor::now();
            for ready in ready.drain(..) {
                if self.ready(now, ready)? {
                    self.stop();
                    return Ok(Ended::Told);
                }
            }
        }
    }

    fn wake_at(&self, now: Moment) -> Moment {
        let drains = self.drains.wake_at();
        let others = [
            self.desk.wake_at(),
            self.streams.wake_at(),
            self.paused_until,
            Some(self.look_at),
            self.changes_at,
            drains,
        ];
        others
            .into_iter()
            .flatten()
            .fold(self.session.wake_at(now), Moment::min)
    }

    /// Settles and carries out until there is nothing more to do at once.
    fn turn(&mut self, now: Moment) {
        if self.paused_until.is_some_and(|until| now >= until) {
            self.paused_until = None;
            if let Err(error) = self.poll.add(&self.listener, LISTENER, Interest::Readable) {
                error!(%error, "can't listen again");
            }
        }
        if now >= self.look_at {
            self.look_at = now + Span::from_seconds(LOOK_AGAIN);
            self.look_again(now);
            self.keep();
            self.admin.look(now);
        }
        let mut told = Vec::new();
        self.streams.turn(now, &mut told);
        for observation in told {
            self.desk.observe(now, &mut self.session, observation);
        }
        self.desk.look(now, &mut self.streams);
        self.desk.asked(now, &mut self.session, &mut self.streams);
        let mut effects = Vec::new();
        self.session.settle(now, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
        self.desk.send(now, &mut self.session, &mut self.streams);
        if self.changes_at.is_some_and(|at| now >= at) {
            self.changes(now);
        }
        for (order, result) in self.drains.settle(now, &mut self.session, &mut self.keeper) {
            self.admin.drained(order, &result);
        }
    }

    fn keep(&mut self) {
        let session = &self.session;
        self.keeper.keep(
            reactor::wall(),
            session.version(),
            session.nodes(),
            session.capacity_snapshots(),
        );
    }

    /// Carries changes of configuration on.
    fn changes(&mut self, now: Moment) {
        let mut steps = Vec::new();
        self.rollout.settle(now, &self.session, &mut steps);
        for step in steps {
            match step {
                RolloutAction::Write { number, commit } => self.write(now, number, commit),
                RolloutAction::Configure(configured) => self.configure(now, *configured),
                RolloutAction::Answer { request, result } => {
                    let _ = failpoint("change.answer");
                    self.admin.told(request, &result);
                }
                RolloutAction::Log(note) => log::note(&note),
            }
        }
        let soon = now + self.session.plan().conductors.tick;
        self.changes_at = self
            .rollout
            .wake_at(now, &self.session)
            .map(|at| at.max(soon));
    }

    fn write(&mut self, now: Moment, number: u64, commit: Commit) {
        if !self.keeper.write(number, commit) {
            let reason = "the state can't be written, see the log of the start".to_string();
            self.rollout
                .on_write_completed(now, number, Err(WriteError(reason)));
        }
    }

    /// A configuration comes into force: for the decisions, for what is written and for what is streamed.
    fn configure(&mut self, now: Moment, configured: ConfigUpdate) {
        let _ = failpoint("change.configure");
        self.give(Job::Plan(Box::new(configured.plan.clone())));
        self.desk.configure(configured.plan.clone());
        self.session
            .observe(now, Observation::ConfigUpdated(Box::new(configured)));
        let _ = failpoint("change.configured");
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::AcceptStream { stream, period } => {
                self.streams.send(stream, &loads::response(period))
            }
            Effect::CloseStream { stream, reason } => {
                self.streams.close(stream, Status::InvalidArgument, &reason)
            }
            Effect::WriteTables { proxy, set } => self.give(Job::Point { proxy, set }),
            Effect::SendTables { stream, set } => self.desk.offer(&mut self.streams, stream, &set),
            Effect::RollbackFinished { request, result } => {
                self.answered(request, result.map_err(|error| error.to_string()))
            }
            Effect::RetireVersion { version } => self.give(Job::Retire { version }),
            Effect::Log(notice) => log::notice(&notice),
        }
    }

    fn answered(&mut self, order: u64, result: Result<RollbackResult, String>) {
        self.admin.answered(order, &result);
        if let Err(reason) = result {
            warn!(order, reason, "order not carried out");
        }
    }

    fn give(&self, job: Job) {
        if let Some(writer) = &self.writer {
            writer.give(job);
        }
    }

    /// `true`: told to stop.
    fn ready(&mut self, now: Moment, ready: Readiness) -> io::Result<bool> {
        match ready.token {
            LISTENER => self.accept(now),
            WAKER => self.written(now),
            WATCHER => self.moved(now)?,
            way if self.admin.is_way(way) => self.admin.accept(&self.poll, now, way),
            caller if caller >= CALLERS => {
                let mut desk = routes::Desk {
                    session: &mut self.session,
                    rollout: &mut self.rollout,
                    drains: &mut self.drains,
                    about: &self.about,
                };
                self.admin.turn(now, caller, &mut desk);
                self.changes_at = Some(now);
            }
            SIGNALS => {
                for signal in self.signals.received() {
                    match signal {
                        reactor::RELOAD => self.reload(now),
                        _ => return Ok(true),
                    }
                }
            }
            connection => self.streams.stir(connection),
        }
        Ok(false)
    }

    fn accept(&mut self, now: Moment) {
        let (accepted, failed) = reactor::accept(&self.listener);
        for socket in accepted {
            if self.streams.full() {
                warn!(
                    most = self.file.conductor.connections_at_most,
                    "connection turned away, no more are taken"
                );
                continue;
            }
            let token = self.streams.next_token();
            match self.poll.add(&socket, token, Interest::Edges) {
                Ok(()) => self.streams.add(now, token, socket),
                Err(error) => warn!(%error, "connection turned away"),
            }
        }
        if let Some(error) = failed {
            warn!(%error, "can't accept, trying again shortly");
            if self.poll.remove(&self.listener).is_ok() {
                self.paused_until = Some(now + Span::from_seconds(PAUSE));
            }
        }
    }

    fn written(&mut self, now: Moment) {
        self.waker.rest();
        for (number, result) in self.keeper.done() {
            if number > NUMBERS {
                self.drains.written(now, number, result);
                continue;
            }
            self.rollout
                .on_write_completed(now, number, result.map_err(WriteError));
            self.changes_at = Some(now);
        }
        let done: Vec<Done> = self.writer.iter().flat_map(Writer::done).collect();
        for done in done {
            match done {
                Done::Pointed {
                    proxy,
                    version,
                    result,
                } => {
                    self.session.observe(
                        now,
                        Observation::TablesWritten {
                            proxy,
                            version,
                            result: result.map_err(TableWriteError::new),
                        },
                    );
                }
                Done::Unsynced { version } => {
                    warn!(
                        version = version.0,
                        "pointed at before the disk said that it has it: it is slow"
                    );
                }
                Done::NotRetired { version, reason } => {
                    warn!(
                        version = version.0,
                        reason, "an old version can't be removed"
                    );
                }
            }
        }
    }

    fn moved(&mut self, now: Moment) -> io::Result<()> {
        let watched = watched(&self.file);
        let (mut list, mut statuses) = (false, BTreeSet::new());
        for moved in self.watcher.moved()? {
            match moved {
                // What is not finished yet is nobody's.
                Moved::Into { name, .. } if name.starts_with('.') => {}
                Moved::Into { directory, name } if directory == self.root.statuses() => {
                    statuses.extend(name.strip_suffix(".json").map(str::to_string));
                }
                Moved::Into { directory, .. } => list |= directory == watched,
                Moved::Gone { directory } => drop(self.lost.insert(directory)),
                Moved::Overflow => {
                    list = true;
                    let names = self
                        .session
                        .members()
                        .members()
                        .map(|(name, _)| name.to_string());
                    statuses.extend(names.collect::<Vec<_>>());
                }
            }
        }
        if list {
            self.read_list(now);
        }
        for proxy in statuses {
            self.read_status(now, &proxy);
        }
        Ok(())
    }

    /// What inotify can't tell: directories that come back, a list that was there before the watch.
    fn look_again(&mut self, now: Moment) {
        for directory in std::mem::take(&mut self.lost) {
            match self.watcher.add(&directory) {
                Ok(()) => self.read_list(now),
                Err(_) => drop(self.lost.insert(directory)),
            }
        }
        if let Err(error) = self.renew_keys() {
            warn!(%error, "keys not renewed, the old ones stand");
        }
        if self.last_list.as_ref().is_none_or(Result::is_err) {
            self.read_list(now);
        }
    }

    /// Takes in keys that were swapped. Those that do not fit together are left, and looked at again.
    fn renew_keys(&mut self) -> Result<(), KeyError> {
        if let Some(plan) = &self.file.administration {
            let read = contents(&[
                Some(&plan.certificate),
                Some(&plan.key),
                Some(&plan.clients),
            ]);
            if read != self.last_administration {
                self.last_administration = read;
                self.admin.secure(administration_keys(plan)?);
            }
        }
        let Some(tls) = &self.file.tls else {
            return Ok(());
        };
        let read = contents(&[Some(&tls.certificate), Some(&tls.key), tls.clients.as_ref()]);
        if read == self.last_keys {
            return Ok(());
        }
        let renewed = !self.last_keys.is_empty();
        self.last_keys = read;
        let keys = KeyFiles {
            certificate: tls.certificate.clone(),
            key: tls.key.clone(),
        };
        let made = wheelspread_grpc::tls::server(&keys, tls.clients.as_deref())?;
        self.streams.secure(made, tls.node_id_in_certificate);
        if renewed {
            info!("keys renewed, open streams keep theirs");
        }
        Ok(())
    }

    fn read_list(&mut self, now: Moment) {
        let text = read::text(&self.file.conductor.list).map_err(|error| error.to_string());
        // The same text again, as after a file was touched, is no news.
        if self.last_list.as_ref() == Some(&text) {
            return;
        }
        let list = text.clone().and_then(|text| {
            nodes::read(&text, reactor::wall()).map_err(|error| error.to_string())
        });
        self.last_list = Some(text);
        self.session.observe(now, Observation::EndpointList(list));
    }

    fn read_status(&mut self, now: Moment, proxy: &str) {
        let path = self.root.status(proxy);
        let told = read::text(&path).map_err(|error| error.to_string());
        let told = told.and_then(|text| status::read(&text).map_err(|error| error.to_string()));
        match told {
            Ok(told) if told.proxy == proxy => {
                let name = || proxy.to_string();
                let held = Observation::StatusReported {
                    proxy: name(),
                    version: told.version,
                    rejection: None,
                };
                self.session.observe(now, held);
                if let Some((version, reason)) = told.refused {
                    let refused = Observation::StatusReported {
                        proxy: name(),
                        version,
                        rejection: Some(reason),
                    };
                    self.session.observe(now, refused);
                }
            }
            Ok(told) => warn!(
                proxy,
                names = told.proxy,
                "a status that names another proxy"
            ),
            Err(reason) => warn!(proxy, reason, "a status that can't be read"),
        }
    }

    /// Reads the file again. The channel's pace may change; anything else needs a restart.
    fn reload(&mut self, now: Moment) {
        let Some(path) = self.path.clone() else {
            return;
        };
        match ControllerFile::read(&path) {
            Ok(new) => {
                let lines_per_second = new.deployment.channel.lines_per_second;
                self.rollout.set_entries_per_second(lines_per_second);
                // A change that set the pace says more than the file does.
                let set = "channel.lines_per_second";
                if self
                    .rollout
                    .ledger()
                    .configuration()
                    .values
                    .contains_key(set)
                {
                    return warn!("file read again: {set} stands as a change has set it");
                }
                let mut same = self.file.deployment.clone();
                same.channel.lines_per_second = lines_per_second;
                if same == new.deployment {
                    info!(lines_per_second, "file read again");
                } else {
                    warn!(
                        "file read again: only channel.lines_per_second changes without a restart"
                    );
                }
                self.file.deployment.channel.lines_per_second = lines_per_second;
                self.session.observe(
                    now,
                    Observation::PaceChanged {
                        entries_per_second: lines_per_second,
                    },
                );
            }
            Err(error) => {
                let reason = error.to_string();
                warn!(reason, "file not read again, the old one stands");
            }
        }
    }

    /// What was given to be written is written; the files stay as they then are.
    fn stop(&mut self) {
        self.keep();
        self.streams.stop(reactor::now());
        if let Some(writer) = self.writer.take() {
            for done in writer.finish() {
                if let Done::Pointed {
                    proxy,
                    version,
                    result: Err(reason),
                } = done
                {
                    let again_in = Span::ZERO;
                    log::notice(&LogEvent::TableWriteFailed {
                        proxy,
                        version,
                        reason,
                        retry_in: again_in,
                    });
                }
            }
        }
        info!("conductor stopped, its files stay");
    }
}

fn watched(file: &ControllerFile) -> PathBuf {
    let place = &file.conductor;
    let parent = || {
        place
            .list
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty())
    };
    place
        .watched_directory
        .clone()
        .unwrap_or_else(|| parent().unwrap_or(Path::new(".")).to_path_buf())
}

fn contents(files: &[Option<&PathBuf>]) -> Vec<Option<Vec<u8>>> {
    files
        .iter()
        .map(|path| path.and_then(|path| std::fs::read(path).ok()))
        .collect()
}

fn administration_keys(plan: &AdministrationPlan) -> Result<Arc<ServerConfig>, KeyError> {
    let keys = KeyFiles {
        certificate: plan.certificate.clone(),
        key: plan.key.clone(),
    };
    wheelspread_grpc::tls::plain_server(&keys, &plan.clients)
}

/// Two conductors under one root would each undo what the other does.
fn lock(root: &Root) -> Result<File, StartError> {
    let path = root.path().join("lock");
    let file = File::create(&path).map_err(named(path.display().to_string()))?;
    match rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => Ok(file),
        Err(rustix::io::Errno::WOULDBLOCK) => {
            Err(StartError::InUse(root.path().display().to_string()))
        }
        Err(error) => Err(named(path.display().to_string())(error.into())),
    }
}
