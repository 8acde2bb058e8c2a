//! The conductor's core. `observe` takes in what happened, `settle` lets the module decide and writes
//! down what is to be done. One loop drives it: observe what came, settle, carry out the effects, sleep
//! until `wake_at`. It holds no socket and reads no clock.

use crate::acknowledgement::Acknowledgements;
use crate::deployment::{ConfigError, Deployment};
use crate::drain_evidence::{DrainEvidence, EvidenceSummary};
use crate::endpoint_list::{show, EndpointList, EndpointSnapshot};
use crate::load_report::{LoadAggregator, LoadReport};
use crate::membership::{Introduction, Membership, StreamId};
use crate::node_overrides::{NodeOverrides, NodeValues};
use crate::publication::{lines_apart, removes_lines, BundleId, Publication, TableSet, Version};
use crate::rollback::{RollbackResult, RollbackWeights};
use crate::service_history::ServiceHistory;
use crate::transport::{Transport, Transports};
use crate::update_queue::{UpdateQueue, Urgency};
use crate::weight_solver::{SolverOutcome, WeightSolver};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread::ids::{NodeId, OperationId, ProxyId, TimerId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::Balancer;
use wheelspread::CapacitySnapshot;
use wheelspread::{Action, EndpointEntry, EndpointListKind, EndpointStatus, Event};

/// What a proxy's directory held when the conductor started.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveredState {
    /// By proxy, what it was pointed at.
    pub held: BTreeMap<String, TableSet>,
    /// Every version that lies there.
    pub versions: BTreeSet<Version>,
    /// Numbers go on above it.
    pub floor: Version,
    /// The version of the configuration in force, and what it says of nodes.
    pub configuration: u64,
    pub values: BTreeMap<NodeId, NodeValues>,
    /// Nodes that are drained by order.
    pub drained: BTreeSet<NodeId>,
    /// Nodes that were on their way from one pool to another.
    pub moving: Vec<NodeId>,
    /// The last list that was taken: it stands where none can be read.
    pub list: Option<EndpointSnapshot>,
    /// What the module knew of nodes.
    pub learnt: Vec<CapacitySnapshot>,
}

/// A configuration that is to be in force from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    pub version: u64,
    pub plan: Deployment,
    pub values: BTreeMap<NodeId, NodeValues>,
}

/// How far a configuration has come.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutProgress {
    pub configuration: u64,
    /// Joined proxies that hold tables of an older one still.
    pub lacking: Vec<String>,
    /// Proxies that were there and are not now: they take the newest when they come back.
    pub away: usize,
    /// Nodes on their way between two pools.
    pub between: usize,
}

#[derive(Clone, Debug)]
pub enum Observation {
    /// The list of nodes was swapped in, or could not be read.
    List(Result<EndpointSnapshot, String>),
    StreamOpened {
        stream: StreamId,
        who: Introduction,
    },
    StreamClosed {
        stream: StreamId,
    },
    LoadReport {
        stream: StreamId,
        report: LoadReport,
    },
    /// A proxy published that it holds a version, or why it refused one.
    Status {
        proxy: String,
        version: Version,
        refused: Option<String>,
    },
    /// A proxy was pointed at a version, or that failed.
    Pointed {
        proxy: String,
        version: Version,
        result: Result<(), String>,
    },
    /// The operators gave the channel another pace.
    Pace {
        lines_per_second: f64,
    },
    /// A proxy opened a stream to read its tables from; `brings`: the version that it says it holds.
    Subscribed {
        stream: StreamId,
        who: Introduction,
        brings: Option<Version>,
    },
    Unsubscribed {
        stream: StreamId,
    },
    /// Most refuse what a table became: its ordinary changes wait.
    HeldBack {
        bundle: BundleId,
        until: Moment,
    },
    /// Back to an older version of a table, by order of an operator or because most refuse the newer.
    Back {
        order: u64,
        bundle: BundleId,
        version: Version,
    },
    /// No version is stepped back to any more.
    Free {
        order: u64,
    },
    /// Nodes that are drained by order, whatever the list says of them; all others are not any more.
    Drained(BTreeSet<NodeId>),
    /// A change of configuration comes into force.
    ConfigUpdated(Box<ConfigUpdate>),
}

#[derive(Clone, Debug)]
pub enum Effect {
    /// The stream may report, as often as this.
    Accept {
        stream: StreamId,
        period: Span,
    },
    Close {
        stream: StreamId,
        reason: String,
    },
    /// Write the version if it is not there yet, then point the proxy at it.
    Point {
        proxy: String,
        set: Arc<TableSet>,
    },
    /// The proxy reads streams: it is to be offered this, in the place of what it was not sent yet.
    Send {
        stream: StreamId,
        set: Arc<TableSet>,
    },
    /// What came of an order.
    Answered {
        order: u64,
        result: Result<RollbackResult, String>,
    },
    /// No proxy has been pointed at the version for a while: it can go.
    Retire {
        version: Version,
    },
    Log(LogEvent),
}

#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    ListTaken {
        version: String,
        ready: usize,
        changes: usize,
    },
    ListRefused {
        reason: String,
    },
    Joined {
        proxy: String,
        zone: String,
    },
    Left {
        proxy: String,
    },
    Subscribed {
        proxy: String,
        stream: StreamId,
    },
    Unsubscribed {
        proxy: String,
    },
    HeldBack {
        bundle: BundleId,
        wait: Span,
    },
    SteppedBack {
        version: Version,
        lines: usize,
        left_out: Vec<(NodeId, &'static str)>,
    },
    Freed {
        nodes: usize,
    },
    ConfigApplied {
        configuration: u64,
        nodes: usize,
    },
    /// It says what can't be while this runs.
    NotConfigured {
        configuration: u64,
        reason: String,
    },
    /// The list can't be read, and the last one that was taken stands.
    ListRemembered {
        version: String,
        nodes: usize,
    },
    TurnedAway {
        stream: StreamId,
        reason: String,
    },
    Forgotten {
        proxy: String,
    },
    Published {
        bundle: BundleId,
        version: Version,
        configuration: u64,
        proxies: usize,
        lines: usize,
    },
    Pointed {
        proxy: String,
        version: Version,
    },
    WriteFailed {
        proxy: String,
        version: Version,
        reason: String,
        again_in: Span,
    },
    Refused {
        proxy: String,
        version: Version,
        reason: String,
    },
    ReportRefused {
        proxy: String,
        reason: String,
    },
    UnknownNodes {
        count: u64,
    },
    ChannelFull {
        lines: f64,
    },
    Pruned {
        proxy: String,
        nodes: Vec<String>,
    },
    /// Solved weights of so many nodes are listed anew.
    WeightsSolved {
        nodes: usize,
    },
    /// The last good weights stand.
    NotSolved {
        reason: String,
    },
    Remark {
        text: String,
    },
    /// The module could not use an event.
    NotUsed {
        reason: String,
    },
}

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("settings that can't be: {}", .0.iter().map(|f| format!("{}: {}", f.field, f.text)).collect::<Vec<_>>().join("; "))]
    Flaws(Vec<ConfigError>),
    #[error("the decisions can't start: {0}")]
    Module(String),
}

/// Of the period of sums.
const ECHO: f64 = 0.06;
/// Of the grace for drains: how long proxies have to come back after a restart before their old files are
/// looked through.
const PRUNE_AFTER: f64 = 0.25;
/// Times the longest delay of a message, at least so many seconds: a reader may still be at a version
/// that it was pointed away from.
const RETIRE_AFTER: (f64, f64) = (10.0, 20.0);
/// Versions of each table that can be stepped back to.
const RECENT: usize = 16;

/// What a proxy reads.
pub struct ProxyTableStatus<'a> {
    pub newest: Option<&'a Arc<TableSet>>,
    pub front: Transport,
    /// The version that it holds, and since when.
    pub holds: Option<(Version, Moment)>,
    /// The last that it refused.
    pub refused: Option<Version>,
}

pub struct ControllerCore {
    plan: Deployment,
    number: u32,
    balancer: Balancer,
    nodes: EndpointList,
    members: Membership,
    book: Publication,
    channel: UpdateQueue,
    marks: Acknowledgements,
    sums: LoadAggregator,
    weigher: WeightSolver,
    fronts: Transports,
    pins: RollbackWeights,
    overlay: NodeOverrides,
    measured: ServiceHistory,
    quiet: DrainEvidence,
    configuration: u64,
    /// Versions above it were made under this configuration.
    configured_at: Version,
    /// Of the time before a restart.
    remembered: Option<EndpointSnapshot>,
    learnt: Vec<CapacitySnapshot>,
    /// Versions that can be stepped back to.
    recent: BTreeMap<Version, Arc<TableSet>>,
    timers: BTreeSet<(Moment, TimerId)>,
    next_period: Moment,
    next_settle: Moment,
    /// What each proxy was last pointed at.
    pointed: BTreeMap<ProxyId, Arc<TableSet>>,
    /// What is on its way to the disk.
    sent: BTreeMap<ProxyId, Arc<TableSet>>,
    /// Versions on the disk, and when one was last in use.
    lying: BTreeMap<Version, Moment>,
    /// Found at the start and not joined since; pruned of nodes that have left.
    strangers: BTreeMap<String, TableSet>,
    stranger_writes: BTreeSet<String>,
    prune_at: Option<Moment>,
    started: bool,
    since: Moment,
    stirred: bool,
    echo_at: Option<Moment>,
    full: bool,
    effects: Vec<Effect>,
}

impl ControllerCore {
    pub fn start(
        now: Moment,
        seed: u64,
        plan: Deployment,
        number: u32,
        found: RecoveredState,
    ) -> Result<ControllerCore, StartError> {
        let flaws = plan.flaws();
        if !flaws.is_empty() {
            return Err(StartError::Flaws(flaws));
        }
        let balancer = Balancer::start(now, seed, plan.facts(number, None))
            .map_err(|error| StartError::Module(error.to_string()))?;
        let held = found.held.values().map(|set| set.version);
        let last = held
            .chain(found.versions.iter().copied())
            .chain([found.floor])
            .max()
            .unwrap_or_default();
        let (mut nodes, mut overlay) = (EndpointList::default(), NodeOverrides::default());
        overlay.set(
            found.values,
            |zone| zone_of(&plan, zone),
            |cell| nodes.cell(cell),
        );
        overlay.drain(found.drained);
        overlay.leave(now, &found.moving);
        let mut book = Publication::new(plan.operations.len(), last);
        book.configure(found.configuration);
        Ok(ControllerCore {
            balancer,
            number,
            nodes,
            members: Membership::default(),
            book,
            channel: UpdateQueue::new(now, &plan.channel),
            marks: Acknowledgements::default(),
            sums: LoadAggregator::default(),
            weigher: WeightSolver::default(),
            fronts: Transports::new(plan.fronts.files),
            pins: RollbackWeights::default(),
            overlay,
            measured: ServiceHistory::new(plan.sums.period),
            quiet: DrainEvidence::default(),
            configuration: found.configuration,
            configured_at: last,
            remembered: found.list,
            learnt: found.learnt,
            recent: BTreeMap::new(),
            timers: BTreeSet::new(),
            next_period: now + plan.sums.period,
            next_settle: now,
            pointed: BTreeMap::new(),
            sent: BTreeMap::new(),
            lying: found
                .versions
                .into_iter()
                .map(|version| (version, now))
                .collect(),
            strangers: found.held,
            stranger_writes: BTreeSet::new(),
            prune_at: Some(now + plan.rules.drain_grace * PRUNE_AFTER),
            started: false,
            since: now,
            stirred: true,
            echo_at: None,
            full: false,
            effects: Vec::new(),
            plan,
        })
    }

    pub fn plan(&self) -> &Deployment {
        &self.plan
    }

    /// The last version that was made.
    pub fn version(&self) -> Version {
        self.book.last()
    }

    pub fn lines_waiting(&self) -> f64 {
        self.channel.lines_waiting()
    }

    pub fn nodes(&self) -> &EndpointList {
        &self.nodes
    }

    pub fn members(&self) -> &Membership {
        &self.members
    }

    // ---- what happened ----

    pub fn observe(&mut self, now: Moment, observation: Observation) {
        self.stirred = true;
        match observation {
            Observation::List(list) => self.list(now, list),
            Observation::StreamOpened { stream, who } => self.opened(now, stream, &who),
            Observation::StreamClosed { stream } => self.closed(now, stream),
            Observation::LoadReport { stream, report } => self.report(now, stream, &report),
            Observation::Status {
                proxy,
                version,
                refused,
            } => self.status(now, proxy, version, refused),
            Observation::Pointed {
                proxy,
                version,
                result,
            } => self.was_pointed(now, proxy, version, result),
            Observation::Pace { lines_per_second } => self.channel.set_pace(lines_per_second),
            Observation::Subscribed {
                stream,
                who,
                brings,
            } => self.subscribed(now, stream, &who, brings),
            Observation::Unsubscribed { stream } => self.unsubscribed(now, stream),
            Observation::HeldBack { bundle, until } => {
                self.fronts.hold(bundle, until);
                self.log(LogEvent::HeldBack {
                    bundle,
                    wait: until - now,
                });
            }
            Observation::Back {
                order,
                bundle,
                version,
            } => {
                let result = self.back(now, bundle, version);
                self.effects.push(Effect::Answered { order, result });
            }
            Observation::Drained(nodes) => {
                let changed: BTreeSet<NodeId> = self.overlay.drain(nodes).into_iter().collect();
                self.relist(now, |entry| changed.contains(&entry.node));
            }
            Observation::ConfigUpdated(configured) => self.configure(now, *configured),
            Observation::Free { order } => {
                let result = self.free(now);
                self.effects.push(Effect::Answered { order, result });
            }
        }
    }

    fn log(&mut self, notice: LogEvent) {
        self.effects.push(Effect::Log(notice));
    }

    fn hear(&mut self, now: Moment, event: &Event) {
        if let Err(error) = self.balancer.handle_event(now, event) {
            self.log(LogEvent::NotUsed {
                reason: error.to_string(),
            });
        }
    }

    fn list(&mut self, now: Moment, list: Result<EndpointSnapshot, String>) {
        let first = !std::mem::replace(&mut self.started, true);
        // Where none can be read, the last that was taken before a restart stands.
        let remembered = self.remembered.take().filter(|_| first && list.is_err());
        if let Some(remembered) = remembered {
            let (version, nodes) = (remembered.version.clone(), remembered.records.len());
            self.log(LogEvent::ListRemembered { version, nodes });
            let outcome = self.nodes.take(now, Ok(remembered), &self.plan, true);
            self.nodes.remember();
            if let Some(event) = outcome.event {
                self.listed(now, &event);
            }
        }
        let outcome = self.nodes.take(now, list, &self.plan, first);
        if let Some(refusal) = outcome.refusal {
            self.log(LogEvent::ListRefused {
                reason: refusal.to_string(),
            });
        }
        if let Some(event) = outcome.event {
            self.listed(now, &event);
        }
    }

    fn listed(&mut self, now: Moment, event: &Event) {
        let Event::EndpointList { entries, .. } = event else {
            return;
        };
        self.tell_list(now, event.clone());
        if !self.learnt.is_empty() {
            self.balancer
                .restore_capacities(&std::mem::take(&mut self.learnt));
        }
        let ready = self
            .nodes
            .listed()
            .filter(|(record, _)| !record.draining)
            .count();
        let version = self.nodes.version().to_string();
        self.log(LogEvent::ListTaken {
            version,
            ready,
            changes: entries.len(),
        });
        self.prune_at = self
            .prune_at
            .or(Some(now + self.plan.rules.drain_grace * PRUNE_AFTER));
    }

    fn opened(&mut self, now: Moment, stream: StreamId, who: &Introduction) {
        match self.members.open(now, stream, who, &self.plan) {
            Ok(opened) => {
                // A stream of tables goes on beside one of sums.
                if let Some(old) = opened.superseded.filter(|old| !self.fronts.reads(*old)) {
                    let reason = format!("`{}` opened another stream", who.name);
                    self.effects.push(Effect::Close {
                        stream: old,
                        reason,
                    });
                }
                self.effects.push(Effect::Accept {
                    stream,
                    period: self.plan.sums.period,
                });
                opened.events.iter().for_each(|event| self.hear(now, event));
                self.log(LogEvent::Joined {
                    proxy: who.name.clone(),
                    zone: who.zone.clone(),
                });
                if let (Some(set), Some(member)) = (
                    self.strangers.remove(&who.name),
                    self.members.member(&who.name),
                ) {
                    self.pointed.insert(member.id, Arc::new(set));
                }
            }
            Err(turned) => {
                let reason = turned.to_string();
                self.log(LogEvent::TurnedAway {
                    stream,
                    reason: reason.clone(),
                });
                self.effects.push(Effect::Close { stream, reason });
            }
        }
    }

    fn closed(&mut self, now: Moment, stream: StreamId) {
        let who = self
            .members
            .of_stream(stream)
            .map(|(name, member)| (name.to_string(), member.id));
        let (Some((proxy, id)), Some(event)) = (who, self.members.close(now, stream)) else {
            return;
        };
        self.marks.forget(id);
        self.hear(now, &event);
        self.log(LogEvent::Left { proxy });
    }

    fn report(&mut self, now: Moment, stream: StreamId, report: &LoadReport) {
        let Some((name, member)) = self.members.of_stream(stream) else {
            return;
        };
        let (name, id, zone) = (name.to_string(), member.id, member.zone);
        let before = self.sums.unknown_nodes;
        let nodes = &self.nodes;
        let result = self.sums.report(id, zone, report, &self.plan, |node| {
            nodes.record(node).is_some()
        });
        if let Err(absurd) = result {
            let reason = absurd.to_string();
            self.effects.push(Effect::Close {
                stream,
                reason: reason.clone(),
            });
            self.log(LogEvent::ReportRefused {
                proxy: name,
                reason,
            });
        } else {
            let plan = &self.plan;
            let operation = |name: &str| {
                plan.operations
                    .iter()
                    .position(|operation| operation.name == name)
            };
            let operation = |name: &str| operation(name).map(|at| OperationId(at as u8));
            self.measured.hear(now, id, zone, report, operation);
            self.quiet.hear(now, id, report);
        }
        if self.sums.unknown_nodes > before && before == 0 {
            self.log(LogEvent::UnknownNodes {
                count: self.sums.unknown_nodes,
            });
        }
        if self.nodes.doubted_until(&self.plan).is_some() {
            let met = report
                .operations
                .iter()
                .flat_map(|operation| &operation.nodes);
            for node in met
                .filter(|met| met.succeeded > 0)
                .filter_map(|met| met.node)
            {
                self.nodes.answered(node, now - report.over);
            }
        }
    }

    fn status(&mut self, now: Moment, proxy: String, version: Version, refused: Option<String>) {
        let Some(id) = self.members.member(&proxy).map(|member| member.id) else {
            return;
        };
        if refused.is_none() && version > self.book.last() {
            return; // what was never published can't be held
        }
        match refused {
            None => self.marks.told(now, id, version),
            Some(reason) => {
                self.marks.refused(id, version);
                self.log(LogEvent::Refused {
                    proxy,
                    version,
                    reason,
                });
            }
        }
    }

    fn was_pointed(
        &mut self,
        now: Moment,
        proxy: String,
        version: Version,
        result: Result<(), String>,
    ) {
        let Some(id) = self.members.member(&proxy).map(|member| member.id) else {
            self.stranger_writes.remove(&proxy);
            return;
        };
        let Some(set) = self.sent.remove(&id) else {
            return;
        };
        match result {
            Ok(()) => {
                self.channel.done(id);
                self.marks.pointed(now, id, version);
                self.pointed.insert(id, set);
                self.log(LogEvent::Pointed { proxy, version });
            }
            Err(reason) => {
                let again_in = self.channel.failed(now, id, Urgency::Change);
                self.log(LogEvent::WriteFailed {
                    proxy,
                    version,
                    reason,
                    again_in,
                });
            }
        }
    }

    fn subscribed(
        &mut self,
        now: Moment,
        stream: StreamId,
        who: &Introduction,
        brings: Option<Version>,
    ) {
        if !self.plan.fronts.streams {
            let reason = "tables are not given out by streams here".to_string();
            return self.effects.push(Effect::Close { stream, reason });
        }
        let known = self.members.member(&who.name);
        let by_sums =
            known.is_some_and(|member| member.stream().is_some_and(|s| !self.fronts.reads(s)));
        if !by_sums {
            match self.members.open(now, stream, who, &self.plan) {
                Ok(opened) => opened.events.iter().for_each(|event| self.hear(now, event)),
                Err(turned) => {
                    let reason = turned.to_string();
                    self.log(LogEvent::TurnedAway {
                        stream,
                        reason: reason.clone(),
                    });
                    return self.effects.push(Effect::Close { stream, reason });
                }
            }
            self.log(LogEvent::Joined {
                proxy: who.name.clone(),
                zone: who.zone.clone(),
            });
        }
        let Some(id) = self.members.member(&who.name).map(|member| member.id) else {
            return;
        };
        let brings = brings.filter(|version| self.book.at_least(*version));
        if let Some(old) = self.fronts.open(id, stream, brings) {
            let reason = format!("`{}` opened another stream", who.name);
            self.effects.push(Effect::Close {
                stream: old,
                reason,
            });
        }
        self.strangers.remove(&who.name);
        self.sent.remove(&id);
        self.channel.drop_message(id);
        self.pointed.remove(&id);
        // It speaks for itself: nothing is assumed of it.
        self.marks.streams(id);
        self.log(LogEvent::Subscribed {
            proxy: who.name.clone(),
            stream,
        });
        self.offer(now, id, true);
    }

    fn unsubscribed(&mut self, now: Moment, stream: StreamId) {
        if let Some(id) = self.fronts.close(stream) {
            self.pointed.remove(&id);
            self.channel.drop_message(id);
            let proxy = self.members.name(id).unwrap_or_default().to_string();
            self.log(LogEvent::Unsubscribed { proxy });
        }
        self.closed(now, stream);
    }

    /// Versions that can be stepped back to: so many of each table.
    fn trim_recent(&mut self) {
        let mut counts: BTreeMap<BundleId, usize> = BTreeMap::new();
        let mut kept = BTreeMap::new();
        for (version, set) in std::mem::take(&mut self.recent).into_iter().rev() {
            let count = counts.entry(set.bundle).or_insert(0);
            *count += 1;
            if *count <= RECENT {
                kept.insert(version, set);
            }
        }
        self.recent = kept;
    }

    pub fn recent(&self) -> impl Iterator<Item = &Arc<TableSet>> {
        self.recent.values()
    }

    pub fn reads(&self, proxy: ProxyId) -> ProxyTableStatus<'_> {
        let newest = self
            .book
            .bundle_of(proxy)
            .and_then(|bundle| self.book.newest(bundle));
        let refused = self.marks.refused_version(proxy);
        ProxyTableStatus {
            newest,
            front: self.fronts.front(proxy),
            holds: self.marks.holds(proxy),
            refused,
        }
    }

    pub fn stepped_back_to(&self) -> Option<Version> {
        self.pins.version()
    }

    fn back(
        &mut self,
        now: Moment,
        bundle: BundleId,
        version: Version,
    ) -> Result<RollbackResult, String> {
        let known = self
            .recent
            .get(&version)
            .filter(|set| set.bundle == bundle)
            .cloned();
        let old =
            known.ok_or_else(|| format!("version {} of this table is not kept", version.0))?;
        let stepped = self.step(now, &old)?;
        let left_out = stepped
            .left_out
            .iter()
            .map(|(node, why)| (*node, why.word()))
            .collect();
        self.log(LogEvent::SteppedBack {
            version,
            lines: stepped.lines,
            left_out,
        });
        Ok(stepped)
    }

    fn step(&mut self, now: Moment, old: &Arc<TableSet>) -> Result<RollbackResult, String> {
        let newest = self
            .book
            .newest(old.bundle)
            .cloned()
            .ok_or("this table was never published")?;
        let listed = self.serving().map(|entry| (entry.node, entry)).collect();
        let stepped = self.pins.step(now, old, &newest, &listed, &self.plan.rules);
        self.relist(now, |entry| entry.status == EndpointStatus::Ready);
        Ok(stepped)
    }

    fn free(&mut self, now: Moment) -> Result<RollbackResult, String> {
        let version = self.pins.version().ok_or("no version is stepped back to")?;
        let nodes: BTreeSet<NodeId> = self.pins.free().into_iter().collect();
        self.relist(now, |entry| nodes.contains(&entry.node));
        self.log(LogEvent::Freed { nodes: nodes.len() });
        Ok(RollbackResult {
            version,
            lines: nodes.len(),
            left_out: Vec::new(),
        })
    }

    /// Tells the module the weights that go for some nodes now.
    fn relist(&mut self, now: Moment, which: impl Fn(&wheelspread::EndpointEntry) -> bool) {
        let entries = self
            .nodes
            .listed()
            .map(|(_, entry)| entry)
            .filter(|entry| which(entry));
        let entries = entries.cloned().collect();
        self.tell_list(
            now,
            Event::EndpointList {
                kind: EndpointListKind::Changes,
                entries,
            },
        );
    }

    /// What the list says goes to the module as the configuration, the solver and steps back have it.
    fn tell_list(&mut self, now: Moment, event: Event) {
        let event = self.overlay.put(now, event);
        let event = self.pins.put(self.weigher.put(event));
        self.hear(now, &event);
    }

    /// Another configuration is in force from now on: the module hears its figures and where nodes serve, all
    /// at once, and every table that is made says that it was made under it.
    fn configure(&mut self, now: Moment, configured: ConfigUpdate) {
        let ConfigUpdate {
            version,
            plan,
            values,
        } = configured;
        if let Err(error) = self.balancer.reconfigure(plan.facts(self.number, None)) {
            return self.log(LogEvent::NotConfigured {
                configuration: version,
                reason: error.to_string(),
            });
        }
        self.channel.set_plan(&plan.channel);
        self.plan = plan;
        let (plan, nodes) = (&self.plan, &mut self.nodes);
        let spoken = self
            .overlay
            .set(values, |zone| zone_of(plan, zone), |cell| nodes.cell(cell));
        self.configuration = version;
        self.configured_at = self.book.last();
        self.book.configure(version);
        let spoken: BTreeSet<NodeId> = spoken.into_iter().collect();
        self.relist(now, |entry| spoken.contains(&entry.node));
        self.log(LogEvent::ConfigApplied {
            configuration: version,
            nodes: spoken.len(),
        });
    }

    /// Nodes that have left one pool are listed in the other.
    fn arrive(&mut self, now: Moment) {
        if self.overlay.between() == 0 {
            return;
        }
        let joined = self.members.members().filter(|(_, member)| member.joined());
        let readers: Vec<(Option<Version>, &Arc<TableSet>)> = joined
            .filter_map(|(_, member)| {
                let newest = self
                    .book
                    .bundle_of(member.id)
                    .and_then(|bundle| self.book.newest(bundle))?;
                Some((self.marks.holds(member.id).map(|held| held.0), newest))
            })
            .collect();
        let names = |set: &TableSet, node: NodeId| {
            set.operations
                .iter()
                .any(|operation| operation.lines.iter().any(|line| line.node == node))
        };
        // Soon after a start any proxy may still come and hold what an earlier run gave it.
        let unheard = now - self.since < self.plan.rules.drain_grace;
        let named = |node: NodeId| {
            unheard
                || readers
                    .iter()
                    .any(|(holds, newest)| *holds < Some(newest.version) || names(newest, node))
        };
        let arrived: BTreeSet<NodeId> = self
            .overlay
            .arrived(now, self.plan.rules.drain_grace, named)
            .into_iter()
            .collect();
        if !arrived.is_empty() {
            self.relist(now, |entry| arrived.contains(&entry.node));
        }
    }

    /// How far the configuration has come.
    pub fn reach(&self) -> RolloutProgress {
        let lacks = |member: &crate::membership::Member| {
            let bound = self.book.bundle_of(member.id).is_some();
            bound && self.marks.holds(member.id).map(|held| held.0) <= Some(self.configured_at)
        };
        let members = self
            .members
            .members()
            .filter(|(_, member)| member.joined() && lacks(member));
        RolloutProgress {
            configuration: self.configuration,
            lacking: members.map(|(name, _)| name.to_string()).collect(),
            away: self.strangers.len()
                + self
                    .members
                    .members()
                    .filter(|(_, member)| !member.joined())
                    .count(),
            between: self.overlay.between(),
        }
    }

    /// Listed nodes as the configuration has them.
    pub fn serving(&self) -> impl Iterator<Item = EndpointEntry> + '_ {
        self.nodes
            .listed()
            .map(|(_, entry)| self.overlay.over(entry))
    }

    /// Listed nodes as another configuration would have them.
    pub fn serving_with(&self, configured: &ConfigUpdate) -> Vec<EndpointEntry> {
        let (mut overlay, mut nodes) = (NodeOverrides::default(), self.nodes.clone());
        let zone = |name: &str| zone_of(&configured.plan, name);
        overlay.set(configured.values.clone(), zone, |cell| nodes.cell(cell));
        self.nodes
            .listed()
            .map(|(_, entry)| overlay.over(entry))
            .collect()
    }

    pub fn measured(&self) -> &ServiceHistory {
        &self.measured
    }

    /// Up to when all joined proxies that report have told what they met.
    pub fn known_until(&self) -> Option<Moment> {
        let joined = self.members.members().filter(|(_, member)| member.joined());
        self.measured
            .known_until(joined.map(|(_, member)| member.id))
    }

    /// Joined proxies whose newest tables lack a line for some operation.
    pub fn without_line(&self) -> Vec<String> {
        let lacks = |id: ProxyId| {
            let newest = self
                .book
                .bundle_of(id)
                .and_then(|bundle| self.book.newest(bundle));
            newest.is_some_and(|set| {
                set.operations
                    .iter()
                    .any(|operation| operation.lines.is_empty())
            })
        };
        let members = self
            .members
            .members()
            .filter(|(_, member)| member.joined() && lacks(member.id));
        members.map(|(name, _)| name.to_string()).collect()
    }

    /// From now on tries at a node count that should get nothing.
    pub fn watch(&mut self, now: Moment, node: NodeId) {
        self.quiet.watch(now, node);
    }

    /// Joined gateways that hold a table which names a node, or of which it is not known what they hold.
    pub fn named_by(&self, node: NodeId) -> Vec<String> {
        let holds = |id: ProxyId| {
            let newest = self
                .book
                .bundle_of(id)
                .and_then(|bundle| self.book.newest(bundle))?;
            let held = self.marks.holds(id).map(|held| held.0)?;
            let set = if held == newest.version {
                Some(newest)
            } else {
                self.recent.get(&held)
            };
            set.map(|set| {
                set.operations
                    .iter()
                    .any(|o| o.lines.iter().any(|line| line.node == node))
            })
        };
        let named = self.members.members().filter(|(_, member)| member.joined());
        let named = named.filter(|(_, member)| holds(member.id).unwrap_or(true));
        named.map(|(name, _)| name.to_string()).collect()
    }

    pub fn traces(&self, node: NodeId) -> EvidenceSummary {
        let (tries, heard) = self.quiet.of(node);
        let gateways = self
            .members
            .members()
            .filter(|(_, member)| member.joined())
            .count();
        EvidenceSummary {
            named_by: self.named_by(node).len(),
            gateways,
            tries,
            heard,
        }
    }

    pub fn drained(&self) -> &BTreeSet<NodeId> {
        self.overlay.drained()
    }

    /// Messages that were sent to proxies, and those that a newer one overtook.
    pub fn messages(&self) -> (u64, u64) {
        (self.channel.messages, self.channel.overtaken)
    }

    pub fn learnt(&self) -> impl Iterator<Item = CapacitySnapshot> + '_ {
        self.balancer.capacity_snapshots()
    }

    // ---- what follows ----

    /// Lets the module decide if it is time to, and writes what is to be done to `out`.
    pub fn settle(&mut self, now: Moment, out: &mut Vec<Effect>) {
        if let Some(event) = self.nodes.resolve(now, &self.plan) {
            self.listed(now, &event);
            self.stirred = true;
        }
        if self.started && now >= self.next_settle && (self.stirred || self.due(now)) {
            // The module takes in news that come close upon each other in one go: it is asked once more.
            let echo = self.stirred.then_some(now + self.plan.sums.period * ECHO);
            self.echo_at = echo.or(self.echo_at.filter(|at| *at > now));
            self.stirred = false;
            self.next_settle = now + self.plan.conductors.tick;
            self.decide(now);
        }
        self.prune(now);
        for proxy in self.fronts.resumed(now) {
            self.offer(now, proxy, false);
        }
        self.send(now);
        out.append(&mut self.effects);
    }

    fn due(&self, now: Moment) -> bool {
        now >= self.next_period
            || self.echo_at.is_some_and(|at| at <= now)
            || self.timers.first().is_some_and(|(at, _)| *at <= now)
            || self.marks.wake_at().is_some_and(|at| at <= now)
    }

    fn decide(&mut self, now: Moment) {
        while let Some((_, timer)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.pop_first();
            self.hear(now, &Event::TimerFired { timer });
        }
        if now >= self.next_period {
            // A loop that stood still for periods makes up for none of them.
            let period = self.plan.sums.period;
            self.next_period = (self.next_period + period).max(now + period * 0.5);
            let events = self.sums.drain(&self.members);
            events.iter().for_each(|event| self.hear(now, event));
            self.weigh(now, &events);
            if let Some(old) = self.pins.due(now) {
                // A table that is not published any more is not corrected.
                let _ = self.step(now, &old);
            }
            for proxy in self.members.forget(now, &self.plan) {
                self.log(LogEvent::Forgotten { proxy });
            }
            self.let_go();
            self.retire(now);
        }
        for event in self.marks.answered(now) {
            self.hear(now, &event);
        }
        self.arrive(now);
        let mut actions = Vec::new();
        self.balancer.decide(now, &mut actions);
        let mut marks = Vec::new();
        let mut bound = BTreeSet::new();
        for action in actions {
            match action {
                Action::SetWeight {
                    table,
                    node,
                    weight,
                } => self.book.set_line(table, node, weight),
                Action::ClearTable { table } => self.book.clear(table),
                Action::BindTable {
                    proxy,
                    table,
                    operations,
                } => {
                    self.book.bind(proxy, table, &operations);
                    bound.insert(proxy);
                }
                Action::SetAdmission {
                    table,
                    operations,
                    limit: quota,
                    retry,
                } => {
                    self.book.set_level(table, &operations, quota, retry);
                }
                Action::EjectNode { node, ejected: out } => self.book.withdraw(node, out),
                Action::SendMarker {
                    marker: mark,
                    to_all: everyone,
                } => marks.push((mark, everyone)),
                Action::SetTimer { after, timer } => drop(self.timers.insert((now + after, timer))),
                // The list is watched: what is held is what there is.
                Action::RequestEndpointList => {
                    let whole = self.nodes.complete();
                    self.tell_list(now, whole);
                }
                Action::Log { message: text } => self.log(LogEvent::Remark { text }),
                // Not allowed by the facts that this program gives.
                Action::WatchEndpoints { .. }
                | Action::ProbeNode { .. }
                | Action::SendGossip { .. } => {}
            }
        }
        self.publish(now, bound, marks);
    }

    fn publish(
        &mut self,
        now: Moment,
        mut touched: BTreeSet<ProxyId>,
        marks: Vec<(wheelspread::ids::MarkerId, bool)>,
    ) {
        let anew = touched.clone();
        let (nodes, overlay) = (&self.nodes, &self.overlay);
        let listed = |node: NodeId| nodes.record(node).map_or("", |record| record.zone.as_str());
        let zone = |node: NodeId| {
            overlay
                .zone(node)
                .unwrap_or_else(|| listed(node))
                .to_string()
        };
        let published: BTreeSet<BundleId> = self.book.publish(zone).into_iter().collect();
        let bound: Vec<ProxyId> = self.book.bound().collect();
        let users = bound.iter().filter(|proxy| {
            self.book
                .bundle_of(**proxy)
                .is_some_and(|b| published.contains(&b))
        });
        touched.extend(users);
        for bundle in &published {
            let proxies = bound
                .iter()
                .filter(|proxy| self.book.bundle_of(**proxy) == Some(*bundle))
                .count();
            if let Some(set) = self.book.newest(*bundle) {
                let lines = set
                    .operations
                    .iter()
                    .map(|operation| operation.lines.len())
                    .max()
                    .unwrap_or(0);
                let version = set.version;
                self.recent.insert(version, set.clone());
                let configuration = set.configuration;
                self.log(LogEvent::Published {
                    bundle: *bundle,
                    version,
                    configuration,
                    proxies,
                    lines,
                });
                self.lying.insert(version, now);
            }
        }
        if !published.is_empty() {
            self.trim_recent();
        }
        for proxy in &touched {
            // Whoever was bound anew waits for a swap, though it should be of what lies there already.
            self.offer(now, *proxy, anew.contains(proxy));
        }
        let joined = |id: &ProxyId| {
            self.members
                .numbered(*id)
                .is_some_and(|member| member.joined())
        };
        let everyone: Vec<ProxyId> = bound.iter().copied().filter(joined).collect();
        for (mark, all) in marks {
            let asked: Vec<ProxyId> = everyone
                .iter()
                .copied()
                .filter(|proxy| all || touched.contains(proxy))
                .collect();
            for proxy in asked {
                let newest = self
                    .book
                    .bundle_of(proxy)
                    .and_then(|bundle| self.book.newest(bundle));
                let Some(version) = newest.map(|set| set.version) else {
                    continue;
                };
                self.marks.ask(now, proxy, mark, version);
                if self
                    .pointed
                    .get(&proxy)
                    .is_some_and(|set| set.version >= version)
                {
                    self.marks.pointed(now, proxy, version);
                }
            }
        }
        let full = self.channel.full();
        if full && !self.full {
            self.log(LogEvent::ChannelFull {
                lines: self.channel.lines_waiting(),
            });
        }
        self.full = full;
    }

    /// Puts the newest tables of a proxy into its channel, unless it was pointed at them already and does
    /// not start `anew`.
    fn offer(&mut self, now: Moment, proxy: ProxyId, anew: bool) {
        let Some(newest) = self
            .book
            .bundle_of(proxy)
            .and_then(|bundle| self.book.newest(bundle))
        else {
            return;
        };
        let held = self.sent.get(&proxy).or(self.pointed.get(&proxy));
        if !anew && held.is_some_and(|held| held.version == newest.version) {
            return;
        }
        let (newest, held) = (newest.clone(), held.cloned());
        let front = self.fronts.front(proxy);
        if front == Transport::Away {
            return; // it comes back to the newest
        }
        let joined = self
            .members
            .numbered(proxy)
            .is_some_and(|member| member.joined());
        let urgency = match (joined || front != Transport::Files, &held) {
            (false, _) => Urgency::Away,
            (true, Some(held)) if removes_lines(held, &newest) => Urgency::Removal,
            // After a stream broke it is not known what the proxy has taken; what it says of itself counts.
            (true, None) if !self.fronts.brought(proxy) => Urgency::Empty,
            (true, _) => Urgency::Change,
        };
        let lines = lines_apart(held.as_deref(), &newest) as f64;
        if urgency == Urgency::Change && self.fronts.postpone(now, newest.bundle, proxy) {
            return;
        }
        self.channel.offer(now, proxy, lines, urgency);
    }

    fn send(&mut self, now: Moment) {
        while let Some(id) = self.channel.next(now) {
            let newest = self
                .book
                .bundle_of(id)
                .and_then(|bundle| self.book.newest(bundle))
                .cloned();
            let (Some(set), Some(name)) = (newest, self.members.name(id)) else {
                self.channel.done(id);
                continue;
            };
            match self.fronts.front(id) {
                Transport::Files => {
                    let proxy = name.to_string();
                    self.sent.insert(id, set.clone());
                    self.effects.push(Effect::Point { proxy, set });
                }
                // A stream keeps no queue: what it was offered last is what it will send.
                Transport::Stream(stream) => {
                    self.channel.done(id);
                    self.marks.pointed(now, id, set.version);
                    self.pointed.insert(id, set.clone());
                    self.effects.push(Effect::Send { stream, set });
                }
                Transport::Away => self.channel.done(id),
            }
        }
    }

    /// Proxies that were forgotten are written to no more.
    fn let_go(&mut self) {
        let bound: Vec<ProxyId> = self.book.bound().collect();
        for id in bound
            .into_iter()
            .filter(|id| self.members.name(*id).is_none())
        {
            self.book.unbind(id);
            self.channel.drop_proxy(id);
            self.marks.forget(id);
            self.sums.forget(id);
            self.measured.forget(id);
            self.fronts.forget(id);
            self.pointed.remove(&id);
            self.sent.remove(&id);
        }
    }

    /// Where the deployment has weights solved: hears the sums, and now and then lists other weights.
    fn weigh(&mut self, now: Moment, events: &[Event]) {
        let Some(solver) = &self.plan.solver else {
            return;
        };
        self.weigher
            .hear(events, &self.plan, solver, &self.members, &self.nodes);
        match self.weigher.round(now, &self.plan, solver, &self.nodes) {
            Some(SolverOutcome::Changed(entries)) => {
                self.log(LogEvent::WeightsSolved {
                    nodes: entries.len(),
                });
                self.tell_list(
                    now,
                    Event::EndpointList {
                        kind: EndpointListKind::Changes,
                        entries,
                    },
                );
            }
            Some(SolverOutcome::Failed(reason)) => self.log(LogEvent::NotSolved { reason }),
            None => {}
        }
    }

    fn retire(&mut self, now: Moment) {
        let pointed = self
            .pointed
            .values()
            .chain(self.sent.values())
            .map(|set| set.version);
        let strangers = self.strangers.values().map(|set| set.version);
        let newest = self.book.in_force().map(|set| set.version);
        for version in pointed.chain(strangers).chain(newest) {
            self.lying.insert(version, now);
        }
        let long = Span::from_seconds(
            (self.plan.channel.delay_at_most.seconds() * RETIRE_AFTER.0).max(RETIRE_AFTER.1),
        );
        let old: Vec<Version> = self
            .lying
            .iter()
            .filter(|(_, used)| now - **used >= long)
            .map(|(version, _)| *version)
            .collect();
        for version in old {
            self.lying.remove(&version);
            self.effects.push(Effect::Retire { version });
        }
    }

    /// After a restart proxies that have not come back yet still read the files of the time before. What
    /// these name and the list no longer holds ready is taken out; nothing else is changed for them, and a
    /// table that would be left empty stays as it is.
    fn prune(&mut self, now: Moment) {
        if self.prune_at.is_none_or(|at| now < at) {
            return;
        }
        self.prune_at = None;
        if self.nodes.version().is_empty() {
            return; // the first list sets the time anew
        }
        let ready: BTreeSet<NodeId> = self
            .nodes
            .listed()
            .map(|(_, entry)| self.overlay.over(entry))
            .filter(|entry| {
                entry.status == EndpointStatus::Ready && !self.overlay.is_between(entry.node)
            })
            .map(|entry| entry.node)
            .collect();
        let names: Vec<String> = self.strangers.keys().cloned().collect();
        for proxy in names
            .into_iter()
            .filter(|name| !self.stranger_writes.contains(name))
            .collect::<Vec<_>>()
        {
            let mut set = self.strangers[&proxy].clone();
            let mut out = BTreeSet::new();
            for operation in &mut set.operations {
                if operation
                    .lines
                    .iter()
                    .any(|line| ready.contains(&line.node))
                {
                    out.extend(
                        operation
                            .lines
                            .iter()
                            .map(|l| l.node)
                            .filter(|node| !ready.contains(node)),
                    );
                    operation.lines.retain(|line| ready.contains(&line.node));
                }
            }
            if out.is_empty() {
                continue;
            }
            set.version = self.book.number();
            // A bundle of its own: nobody else reads it.
            set.bundle = BundleId(u32::MAX);
            self.lying.insert(set.version, now);
            self.strangers.insert(proxy.clone(), set.clone());
            self.stranger_writes.insert(proxy.clone());
            let nodes = out.into_iter().map(show).collect();
            self.log(LogEvent::Pruned {
                proxy: proxy.clone(),
                nodes,
            });
            self.effects.push(Effect::Point {
                proxy,
                set: Arc::new(set),
            });
        }
    }

    /// When `settle` should be called again though nothing was observed.
    pub fn wake_at(&self, now: Moment) -> Moment {
        let mut at = if self.started {
            self.next_period
        } else {
            now + self.plan.sums.period
        };
        if self.stirred && self.started {
            at = at.min(self.next_settle);
        }
        let doubted = self.nodes.doubted_until(&self.plan);
        let timer = self.timers.first().map(|(at, _)| *at);
        let held = self.fronts.wake_at();
        let times = [
            timer,
            self.marks.wake_at(),
            self.prune_at,
            self.echo_at,
            doubted,
            held,
        ];
        for due in times.into_iter().flatten() {
            at = at.min(due.max(self.next_settle));
        }
        self.channel.wake_at(now).map_or(at, |due| at.min(due))
    }
}

fn zone_of(plan: &Deployment, name: &str) -> Option<ZoneId> {
    plan.zones
        .iter()
        .position(|zone| zone == name)
        .map(|at| ZoneId(at as u16))
}

#[cfg(test)]
#[path = "tests.rs"]
mod tests;
