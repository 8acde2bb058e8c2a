//! Responses to changed subscriptions, and the order of removals.

use super::support::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::{BundleId, Version};
use wheelspread_discovery::{RequestBody, ResourceType, Snapshot};

#[test]
fn a_name_subscribed_to_later_is_sent_alone_and_a_missing_one_is_listed_as_removed() {
    let mut server = TestServer::new();
    server
        .streams
        .offer(StreamId(1), &snapshot(1, &[(1, 1), (2, 1)]));
    server.subscribe(ResourceType::Entries, &["quote/1"]);
    let first = server.next_response().expect("an entry");
    server.handle_request(delta_request(
        ResourceType::Entries,
        &["quote/2", "quote/9"],
        &first.nonce.to_string(),
        BTreeMap::new(),
    ));
    let second = server.next_response().expect("another entry");
    let names: Vec<&str> = second.changed.iter().map(|(name, _)| &**name).collect();
    assert_eq!((names, &*second.removed[0]), (vec!["quote/2"], "quote/9"));
}

#[test_case("quote/*", 2; "all names with a prefix")]
#[test_case("*", 2; "everything")]
fn resources_of_a_pattern_subscribed_to_later_are_sent_once(pattern: &str, entries: usize) {
    let mut server = TestServer::new();
    server
        .streams
        .offer(StreamId(1), &snapshot(1, &[(1, 1), (2, 1)]));
    server.subscribe(ResourceType::Entries, &["other/1"]);
    let first = server
        .next_response()
        .expect("a response that lists the missing name");
    server.handle_request(delta_request(
        ResourceType::Entries,
        &[pattern],
        &first.nonce.to_string(),
        BTreeMap::new(),
    ));
    let second = server.next_response().expect("the entries");
    assert_eq!((second.changed.len(), second.removed.len()), (entries, 0));
    server.acknowledge(&second);
    assert!(server.next_response().is_none());
}

#[test]
fn a_cluster_is_removed_after_the_routes_that_referred_to_it_are_acknowledged() {
    let mut server = TestServer::new();
    let mut with_old_cluster = (*snapshot(1, &[(1, 1)])).clone();
    with_old_cluster.insert(ResourceType::Clusters, "old", "another cluster");
    server
        .streams
        .offer(StreamId(1), &Arc::new(with_old_cluster));
    let mut nonces = BTreeMap::new();
    for (resource_type, name) in [
        (ResourceType::Clusters, "*"),
        (ResourceType::Routes, "operations"),
    ] {
        server.subscribe(resource_type, &[name]);
    }
    let mut sent = Vec::new();
    for version in 2..4 {
        while let Some(response) = server.next_response() {
            nonces.insert(response.resource_type, response.nonce.to_string());
            sent.push((
                response.resource_type,
                response.changed.len(),
                response.removed.len(),
            ));
            server.acknowledge(&response);
        }
        if version == 2 {
            let mut next = Snapshot::new(BundleId(0), Version(2));
            next.insert(ResourceType::Clusters, "quote", "a cluster");
            next.insert(ResourceType::Clusters, "new", "a new cluster");
            next.insert(ResourceType::Routes, "operations", "other routes");
            server.streams.offer(StreamId(1), &Arc::new(next));
        }
    }
    let order = [
        (ResourceType::Clusters, 2, 0),
        (ResourceType::Routes, 1, 0),
        (ResourceType::Clusters, 1, 0),
        (ResourceType::Routes, 1, 0),
        (ResourceType::Clusters, 0, 1),
    ];
    assert_eq!(sent, order);
}

#[test]
fn responses_to_changing_subscriptions_are_rate_limited() {
    let mut server = TestServer::new();
    server
        .streams
        .offer(StreamId(1), &snapshot(1, &[(1, 1), (2, 1)]));
    server.subscribe(ResourceType::Entries, &["quote/1"]);
    let mut responses = 0;
    for time in 0..2000 {
        server.now = at(f64::from(time) * 0.005);
        let (add, drop) = if time % 2 == 0 {
            ("quote/2", "quote/1")
        } else {
            ("quote/1", "quote/2")
        };
        let mut request = delta_request(ResourceType::Entries, &[add], "", BTreeMap::new());
        if let RequestBody::Delta { unsubscribe, .. } = &mut request.body {
            unsubscribe.push(drop.to_string());
        }
        server.handle_request(request);
        while let Some(response) = server.next_response() {
            responses += 1;
            server.acknowledge(&response);
        }
    }
    assert!(responses <= 22, "{responses} responses in ten seconds");
}
