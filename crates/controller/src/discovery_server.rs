//! The server side of discovery (xDS) streams, between the core, which decides which proxy gets which tables, and
//! the sockets. The resources of a version are built once, and a response body that many proxies get is encoded
//! once.

use crate::file::ControllerFile;
use crate::streams::Streams;
use std::collections::BTreeMap;
use std::sync::Arc;
use tracing::warn;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::{BundleId, TableSet, Version};
use wheelspread_controller_core::transport::Transport;
use wheelspread_controller_core::{ControllerCore, Deployment, Observation};
use wheelspread_discovery::{
    DeltaKey, DiscoveryLimits, DiscoveryStreams, RejectionResponse, Response, Snapshot, StreamEvent,
};
use wheelspread_grpc::Status;
use wheelspread_xds::discovery;

/// Ordinary updates of a table that most proxies rejected pause for `channel.delay_at_most` times this factor.
const REJECTED_TABLE_PAUSE_FACTOR: f64 = 4.0;
/// Time between two checks for clients that do not acknowledge, and for those that were rate limited.
const MAINTENANCE_INTERVAL: Span = Span::from_seconds(0.25);
/// Maximum count of cached response bodies. They are cached because other proxies may get the same ones.
const CACHED_BODIES_LIMIT: usize = 64;
/// The request number of a rollback that no operator requested.
const AUTOMATIC_ROLLBACK_REQUEST: u64 = 0;

/// The key of a cached body: the content, and whether it is encoded as a delta response.
type BodyKey = (DeltaKey, bool);

/// Discovery streams and the responses that are due on them.
pub struct DiscoveryServer {
    protocol: DiscoveryStreams,
    /// The deployment in force, which differs from the file's after a configuration change.
    deployment: Deployment,
    body_cache: BTreeMap<BodyKey, Arc<Vec<u8>>>,
    maintenance_at: Moment,
}

impl DiscoveryServer {
    /// Takes the limits from the file; `deployment` is the one in force.
    pub fn new(file: &ControllerFile, deployment: Deployment) -> DiscoveryServer {
        let streams = &file.streams;
        let update_queue = &file.deployment.update_queue;
        let limits = DiscoveryLimits {
            cached_versions: streams.versions_kept,
            max_subscription_changes: streams.changes_at_most,
            subscription_change_window: update_queue.messages_window,
            ack_timeout: streams.unanswered_at_most,
            rejection_pause: update_queue.max_delay * REJECTED_TABLE_PAUSE_FACTOR,
        };
        DiscoveryServer {
            protocol: DiscoveryStreams::new(limits),
            deployment,
            body_cache: BTreeMap::new(),
            maintenance_at: Moment::default(),
        }
    }

    /// Sets the deployment for which new versions are encoded.
    pub fn reconfigure(&mut self, deployment: Deployment) {
        self.deployment = deployment;
    }

    /// Passes an observation to the core, and opens or closes the discovery stream if the observation is about one.
    pub fn handle_observation(
        &mut self,
        now: Moment,
        core: &mut ControllerCore,
        observation: Observation,
    ) {
        let subscribed = match &observation {
            Observation::Subscribed {
                stream,
                proxy_identity,
                ..
            } => Some((*stream, proxy_identity.name.clone())),
            Observation::Unsubscribed { stream } => {
                self.protocol.close(*stream);
                None
            }
            _ => None,
        };
        core.observe(now, observation);
        if let Some((stream, name)) = subscribed {
            self.open_stream(core, stream, &name);
        }
    }

    /// Opens a stream if the core made it the proxy's transport.
    fn open_stream(&mut self, core: &ControllerCore, stream: StreamId, proxy: &str) {
        let Some(member) = core.members().member(proxy) else {
            return;
        };
        if core.table_status(member.id).transport == Transport::Stream(stream) {
            self.protocol.open(stream, member.id);
        }
    }

    /// Handles the discovery requests received since the last call.
    pub fn handle_requests(
        &mut self,
        now: Moment,
        core: &mut ControllerCore,
        streams: &mut Streams,
    ) {
        for (stream, request) in streams.take_discovery_requests() {
            let events = self.protocol.handle_request(now, stream, &request);
            self.handle_events(now, core, streams, events);
            streams.mark_writable(stream);
        }
    }

    /// Offers the tables of a proxy on its stream; they replace offered tables that were not sent yet.
    pub fn offer_tables(&mut self, streams: &mut Streams, stream: StreamId, set: &TableSet) {
        let known = self
            .protocol
            .cache()
            .newest(set.bundle)
            .filter(|known| known.version == set.version);
        let snapshot: Arc<Snapshot> = match known {
            Some(known) => known.clone(),
            None => Arc::new(discovery::encode_snapshot(set, &self.deployment)),
        };
        self.protocol.offer(stream, &snapshot);
        streams.mark_writable(stream);
    }

    /// Sends the responses that are due on writable streams.
    pub fn send_responses(
        &mut self,
        now: Moment,
        core: &mut ControllerCore,
        streams: &mut Streams,
    ) {
        for stream in streams.take_writable() {
            let mut events = Vec::new();
            while let Some(response) = self.protocol.next_response(now, stream, &mut events) {
                let body = self.encode_body(&response);
                let message = discovery::append_nonce(&body, &response);
                streams.send(stream, &message);
            }
            self.handle_events(now, core, streams, events);
        }
    }

    fn encode_body(&mut self, response: &Response) -> Arc<Vec<u8>> {
        let Some(delta_key) = response.delta_key else {
            return Arc::new(discovery::encode_response_body(response));
        };
        let key = (delta_key, response.is_delta);
        if let Some(body) = self.body_cache.get(&key) {
            return body.clone();
        }
        if self.body_cache.len() >= CACHED_BODIES_LIMIT {
            self.body_cache.pop_first();
        }
        let body = Arc::new(discovery::encode_response_body(response));
        self.body_cache.insert(key, body.clone());
        body
    }

    fn handle_events(
        &mut self,
        now: Moment,
        core: &mut ControllerCore,
        streams: &mut Streams,
        events: Vec<StreamEvent>,
    ) {
        for event in events {
            match event {
                StreamEvent::VersionAcknowledged { proxy, version } => {
                    report_status(now, core, proxy, version, None);
                }
                StreamEvent::VersionRejected {
                    proxy,
                    version,
                    reason,
                    response,
                } => {
                    report_status(now, core, proxy, version, Some(reason));
                    self.apply_rejection_response(now, core, proxy, response);
                }
                StreamEvent::UnknownNonce { proxy, text } => {
                    let proxy = core.members().name(proxy).unwrap_or_default();
                    warn!(proxy, text, "discovery request ignored");
                }
                StreamEvent::CloseRequired { stream, reason } => {
                    streams.close(stream, Status::InvalidArgument, &reason);
                }
            }
        }
    }

    /// Pauses the ordinary updates of a table, or rolls it back, after several proxies rejected it.
    fn apply_rejection_response(
        &self,
        now: Moment,
        core: &mut ControllerCore,
        proxy: ProxyId,
        response: RejectionResponse,
    ) {
        let Some(bundle) = core.table_status(proxy).newest.map(|set| set.bundle) else {
            return;
        };
        match response {
            RejectionResponse::PauseChanges => {
                let until = self.protocol.changes_paused_until(bundle).unwrap_or(now);
                core.observe(now, Observation::UpdatesPaused { bundle, until });
            }
            RejectionResponse::RollBack(version) => roll_back(now, core, bundle, version),
            RejectionResponse::Continue | RejectionResponse::RestartStream(_) => {}
        }
    }

    /// Closes the streams of clients that have not acknowledged in time, and marks rate-limited streams writable
    /// again.
    pub fn run_maintenance(&mut self, now: Moment, streams: &mut Streams) {
        if now < self.maintenance_at {
            return;
        }
        self.maintenance_at = now + MAINTENANCE_INTERVAL;
        for stream in self.protocol.unresponsive_streams(now) {
            streams.close(
                stream,
                Status::DeadlineExceeded,
                "a response was neither acknowledged nor rejected in time",
            );
            self.protocol.close(stream);
        }
        for stream in self.protocol.rate_limited_streams() {
            streams.mark_writable(stream);
        }
    }

    /// When [`DiscoveryServer::run_maintenance`] is due; `None` without streams.
    pub fn wake_at(&self) -> Option<Moment> {
        (!self.protocol.is_empty()).then_some(self.maintenance_at)
    }
}

fn roll_back(now: Moment, core: &mut ControllerCore, bundle: BundleId, version: Version) {
    let observation = Observation::RollBack {
        request: AUTOMATIC_ROLLBACK_REQUEST,
        bundle,
        version,
    };
    core.observe(now, observation);
}

fn report_status(
    now: Moment,
    core: &mut ControllerCore,
    proxy: ProxyId,
    version: Version,
    rejection: Option<String>,
) {
    let Some(proxy) = core.members().name(proxy).map(str::to_string) else {
        return;
    };
    let observation = Observation::StatusReported {
        proxy,
        version,
        rejection,
    };
    core.observe(now, observation);
}
