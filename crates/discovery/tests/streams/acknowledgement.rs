//! The order of responses, and the handling of ACKs and NACKs.

use super::support::*;
use test_case::test_case;
use wheelspread::ids::ProxyId;
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::Version;
use wheelspread_discovery::{RejectionResponse, ResourceType, StreamEvent};

#[test]
fn types_are_sent_in_order_and_each_is_acknowledged_by_its_nonce() {
    let mut server = TestServer::new();
    server.streams.offer(StreamId(1), &snapshot(41, &[(1, 5)]));
    server.subscribe_to_world(ResourceType::Routes, &["operations"]);
    server.subscribe_to_world(ResourceType::Listeners, &[]);
    server.subscribe_to_world(ResourceType::Endpoints, &["quote"]);
    server.subscribe_to_world(ResourceType::Clusters, &[]);
    let responses = server.all_responses();
    let types: Vec<ResourceType> = responses
        .iter()
        .map(|response| response.resource_type)
        .collect();
    assert_eq!(
        types,
        [
            ResourceType::Clusters,
            ResourceType::Endpoints,
            ResourceType::Listeners,
            ResourceType::Routes
        ]
    );
    for (index, response) in responses.iter().enumerate() {
        let names: &[&str] = match response.resource_type {
            ResourceType::Endpoints => &["quote"],
            ResourceType::Routes => &["operations"],
            _ => &[],
        };
        let events = server.handle_request(state_of_the_world_request(
            response.resource_type,
            names,
            &response.nonce.to_string(),
            "41",
        ));
        let held = StreamEvent::VersionAcknowledged {
            proxy: ProxyId(1),
            version: Version(41),
        };
        assert_eq!(events, if index == 3 { vec![held] } else { vec![] });
    }
    assert!(server.next_response().is_none(), "nothing changed");
}

#[test]
fn a_burst_of_versions_leaves_one_response_in_flight_and_then_only_the_newest_is_sent() {
    let mut server = TestServer::new();
    server.subscribe(ResourceType::Entries, &["quote/*"]);
    let mut sent = Vec::new();
    for version in 1..=1000u64 {
        server.streams.offer(
            StreamId(1),
            &snapshot(version, &[(1, version as u32), (2, 7)]),
        );
        sent.extend(server.all_responses());
    }
    assert_eq!(sent.len(), 1);
    server.acknowledge(&sent[0]);
    let next = server.all_responses();
    assert_eq!(
        (next.len(), next[0].version, next[0].changed.len()),
        (1, Version(1000), 1)
    );
}

#[test]
fn after_a_nack_the_next_delta_starts_from_the_version_acknowledged_before() {
    let mut server = TestServer::new();
    server.subscribe(ResourceType::Entries, &["quote/*"]);
    server
        .streams
        .offer(StreamId(1), &snapshot(1, &[(1, 1), (2, 1)]));
    let first = server.next_response().expect("all entries");
    server.acknowledge(&first);
    server
        .streams
        .offer(StreamId(1), &snapshot(2, &[(1, 2), (2, 1)]));
    let second = server.next_response().expect("a delta");
    let events = server.handle_request(with_error(ack(&second), "a weight of 2"));
    let rejected = StreamEvent::VersionRejected {
        proxy: ProxyId(1),
        version: Version(2),
        reason: "a weight of 2".into(),
        response: RejectionResponse::Continue,
    };
    assert_eq!(events, [rejected]);
    assert!(
        server.next_response().is_none(),
        "a rejected version is not sent again"
    );
    assert_eq!(
        server
            .streams
            .acknowledged_version(StreamId(1))
            .map(|held| held.version),
        Some(Version(1))
    );
    server
        .streams
        .offer(StreamId(1), &snapshot(3, &[(1, 2), (2, 3)]));
    let third = server.next_response().expect("a delta");
    assert_eq!(
        third.changed.len(),
        2,
        "the delta includes the changes of the rejected version"
    );
}

#[test_case("7"; "a nonce that was never sent")]
#[test_case("yes"; "not a number")]
fn unknown_nonces_acknowledge_nothing_and_more_than_ten_close_the_stream(nonce: &str) {
    let mut server = TestServer::new();
    server.streams.offer(StreamId(1), &snapshot(1, &[(1, 1)]));
    server.subscribe_to_world(ResourceType::Clusters, &[]);
    let response = server.next_response().expect("clusters");
    for attempt in 0..12 {
        let events = server.handle_request(state_of_the_world_request(
            ResourceType::Clusters,
            &[],
            nonce,
            "1",
        ));
        assert!(matches!(events[0], StreamEvent::UnknownNonce { .. }));
        assert_eq!(
            events
                .iter()
                .any(|event| matches!(event, StreamEvent::CloseRequired { .. })),
            attempt >= 10
        );
    }
    assert_eq!(server.streams.acknowledged_version(StreamId(1)), None);
    // The right nonce with a version that was never published is not an acknowledgement either.
    let events = server.handle_request(state_of_the_world_request(
        ResourceType::Clusters,
        &[],
        &response.nonce.to_string(),
        "99",
    ));
    assert!(events
        .iter()
        .any(|event| matches!(event, StreamEvent::VersionRejected { .. })));
    assert_eq!(server.streams.acknowledged_version(StreamId(1)), None);
}

#[test]
fn a_stale_nonce_is_ignored_in_the_state_of_the_world_variant() {
    let mut server = TestServer::new();
    server.streams.offer(StreamId(1), &snapshot(1, &[(1, 1)]));
    server.subscribe_to_world(ResourceType::Endpoints, &["quote"]);
    let first = server.next_response().expect("endpoints");
    server.handle_request(state_of_the_world_request(
        ResourceType::Endpoints,
        &["quote"],
        &first.nonce.to_string(),
        "1",
    ));
    server.streams.offer(StreamId(1), &snapshot(2, &[(1, 2)]));
    let second = server.next_response().expect("endpoints");
    server.handle_request(state_of_the_world_request(
        ResourceType::Endpoints,
        &[],
        &first.nonce.to_string(),
        "1",
    ));
    assert_eq!(server.streams.stale_requests(), 1);
    let events = server.handle_request(state_of_the_world_request(
        ResourceType::Endpoints,
        &["quote"],
        &second.nonce.to_string(),
        "2",
    ));
    assert_eq!(
        events,
        [StreamEvent::VersionAcknowledged {
            proxy: ProxyId(1),
            version: Version(2)
        }]
    );
}

#[test]
fn a_client_that_does_not_acknowledge_in_time_is_unresponsive() {
    let mut server = TestServer::new();
    server.streams.offer(StreamId(1), &snapshot(1, &[(1, 1)]));
    server.subscribe_to_world(ResourceType::Clusters, &[]);
    server.next_response().expect("clusters");
    assert!(server.streams.unresponsive_streams(at(9.9)).is_empty());
    assert_eq!(server.streams.unresponsive_streams(at(10.1)), [StreamId(1)]);
}
