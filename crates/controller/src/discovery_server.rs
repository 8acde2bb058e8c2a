//! The server side of discovery (xDS) streams, between the core that decides which proxy gets which tables and
//! the sockets: resources of a version are made once, and response bodies that many proxies get are encoded once.

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

/// Ordinary updates of a table that most proxies reject pause for so many times the longest delay of a message.
const REJECTED_TABLE_PAUSE_DELAYS: f64 = 4.0;
/// Time between two looks for clients that do not acknowledge, and for those that were rate limited.
const MAINTENANCE_INTERVAL: Span = Span::from_seconds(0.25);
/// Encoded response bodies that are cached, because other proxies may get the same.
const CACHED_BODIES_LIMIT: usize = 64;
/// The request number of a rollback that no operator asked for.
const AUTOMATIC_ROLLBACK_REQUEST: u64 = 0;

/// What tells encoded bodies apart: the shared content, and whether it is a delta response.
type BodyKey = (DeltaKey, bool);

/// Discovery streams and the responses that are due on them.
pub struct DiscoveryServer {
    protocol: DiscoveryStreams,
    /// The deployment in force, which may not be the file's.
    deployment: Deployment,
    body_cache: BTreeMap<BodyKey, Arc<Vec<u8>>>,
    maintenance_at: Moment,
}

impl DiscoveryServer {
    /// Limits are the file's; `deployment` is the one in force.
    pub fn new(file: &ControllerFile, deployment: Deployment) -> DiscoveryServer {
        let streams = &file.streams;
        let channel = &file.deployment.update_queue;
        let limits = DiscoveryLimits {
            cached_versions: streams.versions_kept,
            max_subscription_changes: streams.changes_at_most,
            subscription_change_window: channel.messages_window,
            ack_timeout: streams.unanswered_at_most,
            rejection_pause: channel.max_delay * REJECTED_TABLE_PAUSE_DELAYS,
        };
        DiscoveryServer {
            protocol: DiscoveryStreams::new(limits),
            deployment,
            body_cache: BTreeMap::new(),
            maintenance_at: Moment::default(),
        }
    }

    /// Versions that are made from now on are encoded for this deployment.
    pub fn reconfigure(&mut self, deployment: Deployment) {
        self.deployment = deployment;
    }

    /// Passes an observation to the core; discovery streams are opened and closed here too.
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

    /// Opens a stream if the core accepted the proxy on it.
    fn open_stream(&mut self, core: &ControllerCore, stream: StreamId, proxy: &str) {
        let Some(member) = core.members().member(proxy) else {
            return;
        };
        if core.table_status(member.id).transport == Transport::Stream(stream) {
            self.protocol.open(stream, member.id);
        }
    }

    /// Handles the discovery requests that came.
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

    /// Offers a stream the tables of its proxy, in the place of those that were not sent yet.
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

    /// Sends the responses that are due on streams that can take them.
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

    /// What the rejections of a table by several proxies ask for.
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

    /// Closes the streams of clients that do not acknowledge, and lets those send again that were rate limited.
    pub fn run_maintenance(&mut self, now: Moment, streams: &mut Streams) {
        if now < self.maintenance_at {
            return;
        }
        self.maintenance_at = now + MAINTENANCE_INTERVAL;
        for stream in self.protocol.unresponsive_streams(now) {
            streams.close(
                stream,
                Status::DeadlineExceeded,
                "what was sent is not answered",
            );
            self.protocol.close(stream);
        }
        for stream in self.protocol.rate_limited_streams() {
            streams.mark_writable(stream);
        }
    }

    /// When [`DiscoveryServer::run_maintenance`] is due.
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
