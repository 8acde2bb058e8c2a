//! The client of the incremental variant, connected to the server side of the protocol.

use super::*;
use crate::resource::Resource;
use crate::snapshot::Snapshot;
use crate::{DiscoveryLimits, DiscoveryStreams, ReceivedResource, RequestBody};
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::BundleId;

const STREAM: StreamId = StreamId(1);

fn snapshot(version: u64, entry: &str) -> Arc<Snapshot> {
    let mut snapshot = Snapshot::new(BundleId(0), Version(version));
    snapshot.insert(ResourceType::Entries, "quote/1", entry.to_string());
    snapshot.insert(ResourceType::Routes, "operations", "routes");
    Arc::new(snapshot)
}

fn client() -> DeltaClient {
    DeltaClient::new(vec![
        TypeSubscription::new(ResourceType::Entries, vec!["quote/*".to_string()]),
        TypeSubscription::new(ResourceType::Routes, vec!["operations".to_string()]),
    ])
}

fn server() -> DiscoveryStreams {
    let ten_seconds = Span::from_seconds(10.0);
    let mut server = DiscoveryStreams::new(DiscoveryLimits {
        cached_versions: 4,
        max_subscription_changes: 20,
        subscription_change_window: ten_seconds,
        ack_timeout: ten_seconds,
        rejection_pause: Span::from_seconds(1.0),
    });
    server.open(STREAM, ProxyId(1));
    server
}

fn acknowledged(server: &DiscoveryStreams) -> Option<Version> {
    server.acknowledged_version(STREAM).map(|held| held.version)
}

/// Passes responses to the client until the server has none; returns the versions that were completed.
fn exchange(server: &mut DiscoveryStreams, client: &mut DeltaClient, valid: bool) -> Vec<Version> {
    let now = Moment::from_seconds(1.0);
    let mut completed = Vec::new();
    while let Some(response) = server.next_response(now, STREAM, &mut Vec::new()) {
        let received = response
            .changed
            .iter()
            .map(|(name, resource)| ReceivedResource {
                name: name.to_string(),
                checksum: resource.checksum,
                bytes: resource.bytes.clone(),
            });
        let response = DeltaResponse {
            resource_type: response.resource_type,
            nonce: response.nonce.to_string(),
            version: Some(response.version),
            update: DeltaUpdate {
                changed: received.collect(),
                removed: response.removed.iter().map(ToString::to_string).collect(),
                resulting_checksum: response.resulting_checksum,
            },
        };
        let validate = |_: &DeltaClient, _| if valid { Ok(()) } else { Err("no table") };
        let outcome = client.handle_response(&response, validate);
        completed.extend(outcome.completed_version);
        server.handle_request(now, STREAM, &outcome.reply);
    }
    completed
}

#[test]
fn a_version_is_completed_by_its_last_type_even_if_only_entries_changed() {
    let (mut server, mut client) = (server(), client());
    for request in client.initial_requests() {
        server.handle_request(Moment::from_seconds(0.0), STREAM, &request);
    }
    for version in 1..4 {
        server.offer(STREAM, &snapshot(version, &version.to_string()));
        assert_eq!(exchange(&mut server, &mut client, true), [Version(version)]);
        assert_eq!(acknowledged(&server), Some(Version(version)));
    }
    server.offer(STREAM, &snapshot(4, "4"));
    assert_eq!(
        exchange(&mut server, &mut client, false),
        [],
        "an invalid version is rejected"
    );
    assert_eq!(
        (client.version(), acknowledged(&server)),
        (Some(Version(3)), Some(Version(3)))
    );
}

#[test]
fn a_delta_with_a_wrong_checksum_restarts_the_stream_without_resources() {
    let mut client = client();
    let corrupt = DeltaResponse {
        resource_type: ResourceType::Entries,
        nonce: "1".to_string(),
        version: Some(Version(1)),
        update: DeltaUpdate {
            changed: vec![ReceivedResource {
                name: "quote/1".into(),
                checksum: Resource::new("a").checksum,
                bytes: "b".into(),
            }],
            ..DeltaUpdate::default()
        },
    };
    let outcome = client.handle_response(&corrupt, |_, _| Ok::<(), String>(()));
    assert!(outcome.restart_reason.is_some() && outcome.reply.error.is_some());
    assert!(client.initial_requests().iter().all(|request| matches!(
        &request.body,
        RequestBody::Delta { initial_versions, .. } if initial_versions.is_empty()
    )));
}

#[test]
fn a_type_without_a_subscription_is_rejected() {
    let response = DeltaResponse {
        resource_type: ResourceType::Clusters,
        nonce: "2".to_string(),
        version: None,
        update: DeltaUpdate::default(),
    };
    let outcome = client().handle_response(&response, |_, _| Ok::<(), String>(()));
    assert!(outcome
        .reply
        .error
        .is_some_and(|error| error.contains("not subscribed to")));
}
