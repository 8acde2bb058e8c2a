//! A server with one client on a stream, under a scripted clock.

use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::{BundleId, Version};
use wheelspread_discovery::{
    DeltaUpdate, DiscoveryLimits, DiscoveryStreams, ReceivedResource, Request, RequestBody,
    ResourceType, Response, Snapshot, StreamEvent,
};

pub fn limits() -> DiscoveryLimits {
    let ten_seconds = Span::from_seconds(10.0);
    DiscoveryLimits {
        cached_versions: 8,
        max_subscription_changes: 20,
        subscription_change_window: ten_seconds,
        ack_timeout: ten_seconds,
        rejection_pause: Span::from_seconds(1.0),
    }
}

pub fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

/// A snapshot of one cluster and its table; `entries` lists nodes with their weights.
pub fn snapshot(version: u64, entries: &[(u16, u32)]) -> Arc<Snapshot> {
    let mut snapshot = Snapshot::new(BundleId(0), Version(version));
    snapshot.insert(ResourceType::Clusters, "quote", "a cluster");
    snapshot.insert(ResourceType::Endpoints, "quote", format!("{entries:?}"));
    for (node, weight) in entries {
        let name = format!("quote/{node}");
        snapshot.insert(ResourceType::Entries, &name, format!("{weight}"));
    }
    snapshot.insert(ResourceType::Listeners, "all", "a listener");
    snapshot.insert(ResourceType::Routes, "operations", "routes");
    Arc::new(snapshot)
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

pub fn state_of_the_world_request(
    resource_type: ResourceType,
    names: &[&str],
    nonce: &str,
    version: &str,
) -> Request {
    Request {
        resource_type,
        nonce: nonce.into(),
        error: None,
        body: RequestBody::StateOfTheWorld {
            names: owned(names),
            version: version.into(),
        },
    }
}

pub fn delta_request(
    resource_type: ResourceType,
    subscribe: &[&str],
    nonce: &str,
    initial_versions: BTreeMap<String, String>,
) -> Request {
    Request {
        resource_type,
        nonce: nonce.into(),
        error: None,
        body: RequestBody::Delta {
            subscribe: owned(subscribe),
            unsubscribe: Vec::new(),
            initial_versions,
        },
    }
}

pub fn with_error(mut request: Request, reason: &str) -> Request {
    request.error = Some(reason.to_string());
    request
}

/// The update that a client reads from a response.
pub fn as_delta(response: &Response) -> DeltaUpdate {
    let received = response
        .changed
        .iter()
        .map(|(name, resource)| ReceivedResource {
            name: name.to_string(),
            checksum: resource.checksum,
            bytes: resource.bytes.clone(),
        });
    DeltaUpdate {
        changed: received.collect(),
        removed: response.removed.iter().map(ToString::to_string).collect(),
        resulting_checksum: response.resulting_checksum,
    }
}

/// A server with one client, proxy 1 on stream 1.
pub struct TestServer {
    pub streams: DiscoveryStreams,
    pub now: Moment,
    pub id: StreamId,
}

impl TestServer {
    pub fn new() -> TestServer {
        let mut streams = DiscoveryStreams::new(limits());
        streams.open(StreamId(1), ProxyId(1));
        TestServer {
            streams,
            now: at(0.0),
            id: StreamId(1),
        }
    }

    pub fn next_response(&mut self) -> Option<Response> {
        self.streams
            .next_response(self.now, self.id, &mut Vec::new())
    }

    pub fn handle_request(&mut self, request: Request) -> Vec<StreamEvent> {
        self.streams.handle_request(self.now, self.id, &request)
    }

    pub fn all_responses(&mut self) -> Vec<Response> {
        std::iter::from_fn(|| self.next_response()).collect()
    }

    /// Subscribes to names of a type in the incremental variant, as the first request of the type.
    pub fn subscribe(&mut self, resource_type: ResourceType, names: &[&str]) {
        self.handle_request(delta_request(resource_type, names, "", BTreeMap::new()));
    }

    /// Acknowledges a response of the incremental variant.
    pub fn acknowledge(&mut self, response: &Response) {
        self.handle_request(ack(response));
    }

    /// Requests names of a type in the state-of-the-world variant, with an empty nonce.
    pub fn subscribe_to_world(&mut self, resource_type: ResourceType, names: &[&str]) {
        self.handle_request(state_of_the_world_request(resource_type, names, "", ""));
    }
}

/// The ACK of a response of the incremental variant.
pub fn ack(response: &Response) -> Request {
    let nonce = response.nonce.to_string();
    delta_request(response.resource_type, &[], &nonce, BTreeMap::new())
}
