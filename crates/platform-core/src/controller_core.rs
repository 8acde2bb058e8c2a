//! Passes messages and endpoint lists to the balancer as events, and turns its actions into messages and outputs.
//! A decision round covers all events since the previous round; there is at most one round per tick.

mod messages;
mod silence;

use crate::endpoint_list::{EndpointList, SourceId};
use crate::handshake::Peer;
use crate::membership::Membership;
use crate::message::MessageLimits;
use crate::output::{CloseCause, Diagnostic, Output};
use crate::publication::{ActionTarget, Publication};
use crate::ConnectionId;
use silence::LatencyHistory;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wheelspread::ids::{KindId, NodeId, ProxyId, TimerId, ZoneId};
use wheelspread::settings::Settings;
use wheelspread::time::{Moment, Span};
use wheelspread::{Action, Balancer, ConfigError, EndpointListKind, Event, KindEstimate};
use wheelspread_settings::Names;

/// Interval between two searches for silent streams and unused node names.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// How long the name of an unlisted, unused node is kept, as a multiple of the duration of slow start.
const NAME_RETENTION_FACTOR: f64 = 10.0;
/// The largest mean latency that a load report may have, as a multiple of the longest request deadline. It is above
/// 1 because the mean latency contains noise, and an attempt may continue after its client has given up.
const ATTEMPT_DURATION_FACTOR: f64 = 4.0;
/// The lower bound of the longest request deadline in that limit.
const DEADLINE_MIN_SECONDS: f64 = 1.0;
const OPERATIONS_MAX: usize = 16;
/// Diagnostics that are kept until the next [`ControllerCore::decide`]; further ones are only counted. Hundreds of
/// connections may send thousands of invalid messages each in between.
const DIAGNOSTICS_MAX: usize = 64;

/// Why the core can't start.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum StartError {
    /// The balancer does not accept the settings.
    #[error(transparent)]
    Settings(#[from] ConfigError),
}

/// Why new settings are rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ReconfigureError {
    /// The names of zones, kinds, operations or metrics differ from those in force.
    #[error("zones, kinds, operations and metrics can't be changed while the controller runs")]
    NamesChanged,
    /// The balancer does not accept the settings.
    #[error(transparent)]
    Settings(#[from] ConfigError),
}

/// The result of a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthCheckResult {
    /// The node that was checked.
    pub node: NodeId,
    /// Whether the node answered with success.
    pub succeeded: bool,
    /// The time from the request to its response or failure.
    pub latency: Span,
    /// The node's load metrics in the order of the settings; empty if it reported none.
    pub metrics: Vec<f64>,
}

/// The stream of a proxy that has joined.
struct Stream {
    connection: ConnectionId,
    last_message_at: Moment,
}

/// The values that this crate takes from the settings.
struct CoreSettings {
    message_limits: MessageLimits,
    tick: Span,
    /// The longest delay of a message to a proxy, from the settings.
    max_message_delay: Span,
    warming_duration: Span,
}

impl CoreSettings {
    fn from_settings(settings: &Settings) -> CoreSettings {
        let span = |name| Span::from_seconds(settings.number_or(name, 0.0));
        let longest_deadline = (0..OPERATIONS_MAX)
            .map(|operation| format!("operation.{operation}.integration_timeout"))
            .map(|name| settings.number_or(&name, 0.0))
            .fold(DEADLINE_MIN_SECONDS, f64::max);
        let proxy_count = settings.number_or("proxy.count", 0.0);
        CoreSettings {
            message_limits: MessageLimits {
                proxy_count: proxy_count.clamp(0.0, f64::from(u16::MAX)) as u16,
                max_attempt_duration: Span::from_seconds(
                    longest_deadline * ATTEMPT_DURATION_FACTOR,
                ),
            },
            tick: span("conductor.tick"),
            max_message_delay: span("channel.delay_at_most"),
            warming_duration: span("rules.warm_after"),
        }
    }
}

/// The protocol state of one controller. The caller, which owns the sockets, passes in received messages and lists,
/// and calls [`ControllerCore::decide`] afterwards and at the time of [`ControllerCore::wake_at`].
pub struct ControllerCore {
    balancer: Balancer,
    names: Names,
    settings: CoreSettings,
    membership: Membership,
    publication: Publication,
    peers: BTreeMap<ConnectionId, Peer>,
    streams: BTreeMap<ProxyId, Stream>,
    /// The newest connection on which each proxy has joined.
    newest_connections: BTreeMap<ProxyId, ConnectionId>,
    timers: BTreeSet<(Moment, TimerId)>,
    acknowledgement_latency: LatencyHistory,
    /// Whether events have arrived since the last decision round.
    has_new_events: bool,
    last_round_at: Option<Moment>,
    next_maintenance_at: Moment,
    outputs: Vec<Output>,
    /// Diagnostics since the last [`ControllerCore::decide`].
    diagnostic_count: usize,
}

impl ControllerCore {
    /// Starts with the balancer's settings, and the names of zones, kinds, operations and metrics in messages and
    /// endpoint lists.
    pub fn start(
        now: Moment,
        seed: u64,
        settings: Settings,
        names: Names,
    ) -> Result<ControllerCore, StartError> {
        let core_settings = CoreSettings::from_settings(&settings);
        let balancer = Balancer::start(now, seed, settings)?;
        Ok(ControllerCore {
            balancer,
            settings: core_settings,
            membership: Membership::default(),
            publication: Publication::new(&names.operations),
            names,
            peers: BTreeMap::new(),
            streams: BTreeMap::new(),
            newest_connections: BTreeMap::new(),
            timers: BTreeSet::new(),
            acknowledgement_latency: LatencyHistory::new(),
            has_new_events: true,
            last_round_at: None,
            next_maintenance_at: now,
            outputs: Vec::new(),
            diagnostic_count: 0,
        })
    }

    /// Replaces the settings. The names of zones, kinds, operations and metrics must be the same as before.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        names: &Names,
    ) -> Result<(), ReconfigureError> {
        if *names != self.names {
            return Err(ReconfigureError::NamesChanged);
        }
        let core_settings = CoreSettings::from_settings(&settings);
        self.balancer.reconfigure(settings)?;
        self.settings = core_settings;
        self.has_new_events = true;
        Ok(())
    }

    /// The names of zones, kinds, operations and metrics in messages and endpoint lists.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The number of proxies that have joined.
    pub fn proxy_count(&self) -> usize {
        self.streams.len()
    }

    /// The name and the estimate of each kind of node.
    pub fn kind_estimates(&self) -> impl Iterator<Item = (&str, KindEstimate)> + '_ {
        let named = |(kind, estimate): (KindId, KindEstimate)| {
            let name = self.names.kinds.get(usize::from(kind.0))?;
            Some((name.as_str(), estimate))
        };
        self.balancer.kind_estimates().filter_map(named)
    }

    /// The version of the current endpoint list.
    pub fn endpoint_list_version(&self) -> Option<u64> {
        self.membership.version()
    }

    /// Applies an endpoint list. Returns `false` if it was ignored because it is older than the current list.
    pub fn handle_endpoint_list(
        &mut self,
        now: Moment,
        list: &EndpointList,
        source: SourceId,
    ) -> bool {
        let Some(event) = self.membership.apply(list, source, now) else {
            return false;
        };
        self.handle_event(now, &event);
        true
    }

    /// Handles a failed request for the complete endpoint list.
    pub fn handle_endpoint_list_unavailable(&mut self, now: Moment) {
        let event = Event::EndpointList {
            kind: EndpointListKind::Unavailable,
            entries: Vec::new(),
        };
        self.handle_event(now, &event);
    }

    /// Handles the result of a health check.
    pub fn handle_health_check(&mut self, now: Moment, result: HealthCheckResult) {
        let event = Event::ProbeCompleted {
            node: result.node,
            succeeded: result.succeeded,
            latency: result.latency,
            metrics: result.metrics,
        };
        self.handle_event(now, &event);
    }

    fn handle_event(&mut self, now: Moment, event: &Event) {
        self.has_new_events = true;
        if let Err(error) = self.balancer.handle_event(now, event) {
            self.report(Diagnostic::EventRejected(error));
        }
    }

    fn report(&mut self, diagnostic: Diagnostic) {
        self.diagnostic_count += 1;
        if self.diagnostic_count <= DIAGNOSTICS_MAX {
            self.outputs.push(Output::Diagnostic(diagnostic));
        }
    }

    /// Reports how many diagnostics were not kept.
    fn report_suppressed(&mut self) {
        let count = std::mem::take(&mut self.diagnostic_count).saturating_sub(DIAGNOSTICS_MAX);
        if count > 0 {
            let diagnostic = Diagnostic::Suppressed { count };
            self.outputs.push(Output::Diagnostic(diagnostic));
        }
    }

    /// Closes a connection. Its messages are ignored until the caller has closed the socket.
    fn close(&mut self, now: Moment, connection: ConnectionId, cause: CloseCause) {
        self.outputs.push(Output::Close { connection, cause });
        self.end_stream(now, connection);
        self.peers.insert(connection, Peer::Closing);
    }

    /// Handles the end of a connection that either side has closed.
    pub fn handle_connection_closed(&mut self, now: Moment, connection: ConnectionId) {
        self.end_stream(now, connection);
        self.peers.remove(&connection);
    }

    /// Removes the proxy if this connection is its current stream.
    fn end_stream(&mut self, now: Moment, connection: ConnectionId) {
        let Some(Peer::Proxy(proxy)) = self.peers.get(&connection).copied() else {
            return;
        };
        let is_current = |stream: &Stream| stream.connection == connection;
        if self.streams.get(&proxy).is_some_and(is_current) {
            self.streams.remove(&proxy);
            self.publication.remove_stream(proxy);
            self.handle_event(now, &Event::ProxyLeft { proxy });
        }
    }

    /// A collector's connection whose zone has a newer collector connection, if there is one. The older connection
    /// remains when it broke without being closed, which is detected in no other way.
    pub fn redundant_collector(&self) -> Option<ConnectionId> {
        let has_newer = |connection: &ConnectionId, zone: ZoneId| {
            self.peers
                .range(connection..)
                .skip(1)
                .any(|(_, peer)| *peer == Peer::Collector(zone))
        };
        let redundant = |(connection, peer): (&ConnectionId, &Peer)| match peer {
            Peer::Collector(zone) if has_newer(connection, *zone) => Some(*connection),
            _ => None,
        };
        self.peers.iter().find_map(redundant)
    }

    /// Runs maintenance, timers and a decision round as far as they are due, and returns the outputs to carry out.
    pub fn decide(&mut self, now: Moment) -> Vec<Output> {
        if now >= self.next_maintenance_at {
            self.run_maintenance(now);
        }
        self.fire_timers(now);
        if self.is_round_due(now) {
            self.run_round(now);
        }
        self.report_suppressed();
        std::mem::take(&mut self.outputs)
    }

    fn run_maintenance(&mut self, now: Moment) {
        self.close_silent_streams(now);
        self.next_maintenance_at = now + span(MAINTENANCE_INTERVAL);
        let retention = self.settings.warming_duration * NAME_RETENTION_FACTOR;
        let publication = &self.publication;
        self.membership
            .forget_unlisted(now, retention, |node| publication.uses_node(node));
    }

    fn fire_timers(&mut self, now: Moment) {
        while let Some((_, timer)) = self.timers.first().copied().filter(|first| first.0 <= now) {
            self.timers.pop_first();
            self.handle_event(now, &Event::TimerFired { timer });
        }
    }

    fn is_round_due(&self, now: Moment) -> bool {
        let tick_is_over = |last: Moment| now >= last + self.settings.tick;
        self.has_new_events && self.last_round_at.is_none_or(tick_is_over)
    }

    fn run_round(&mut self, now: Moment) {
        (self.has_new_events, self.last_round_at) = (false, Some(now));
        let mut actions = Vec::new();
        self.balancer.decide(now, &mut actions);
        for action in &actions {
            self.execute(now, action);
        }
        for (proxy, bytes) in self.publication.take_messages(now, &self.membership) {
            if let Some(Stream { connection, .. }) = self.streams.get(&proxy) {
                self.outputs.push(Output::Write {
                    connection: *connection,
                    bytes,
                });
            }
        }
    }

    fn execute(&mut self, now: Moment, action: &Action) {
        if self.publication.record(action) == ActionTarget::Proxies {
            return;
        }
        match action {
            Action::SetTimer { after, timer } => {
                self.timers.insert((now + *after, *timer));
            }
            Action::RequestEndpointList => self.outputs.push(Output::RequestEndpointList),
            Action::ProbeNode { node } => {
                if let Some(address) = self.membership.address(*node) {
                    self.outputs.push(Output::HealthCheck {
                        node: *node,
                        address,
                    });
                }
            }
            Action::Log { message } => self.report(Diagnostic::Balancer(message.clone())),
            // The caller always watches the endpoint list, and on a platform controllers can't send messages to
            // each other.
            Action::WatchEndpoints { .. } | Action::SendGossip { .. } => {}
            _ => {}
        }
    }

    /// When [`ControllerCore::decide`] must be called next if nothing is received before.
    pub fn wake_at(&self) -> Moment {
        let next_timer = self
            .timers
            .first()
            .map_or(self.next_maintenance_at, |first| first.0)
            .min(self.next_maintenance_at);
        match (self.has_new_events, self.last_round_at) {
            (true, Some(last)) => next_timer.min(last + self.settings.tick),
            (true, None) => Moment::default(),
            _ => next_timer,
        }
    }
}

/// Converts a duration to the balancer's type.
fn span(duration: Duration) -> Span {
    Span::from_seconds(duration.as_secs_f64())
}
