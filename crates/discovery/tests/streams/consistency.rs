//! A client applies deltas as a whole or rejects them, whatever is lost, repeated or corrupted on the way.

use super::support::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::Span;
use wheelspread_controller_core::membership::StreamId;
use wheelspread_discovery::{
    DeltaUpdate, DiscoveryStreams, ResourceStore, ResourceType, Response, Snapshot,
};

/// Deltas to one client that acknowledges each of these versions.
fn deltas(versions: &[Arc<Snapshot>]) -> Vec<DeltaUpdate> {
    let mut server = TestServer::new();
    server.handle_request(delta_request(
        ResourceType::Entries,
        &["quote/*"],
        "",
        BTreeMap::new(),
    ));
    let mut deltas = Vec::new();
    for version in versions {
        server.streams.offer(StreamId(1), version);
        let response = server.next_response().expect("a delta");
        server.handle_request(delta_request(
            ResourceType::Entries,
            &[],
            &response.nonce.to_string(),
            BTreeMap::new(),
        ));
        deltas.push(as_delta(&response));
    }
    deltas
}

#[test]
fn a_missed_repeated_or_corrupt_delta_is_rejected_and_a_new_stream_brings_the_rest() {
    let versions: Vec<Arc<Snapshot>> = (1..7)
        .map(|v| snapshot(v, &[(v as u16, 5), (10, v as u32), (11, 1)]))
        .collect();
    let sent = deltas(&versions);
    let mut store = ResourceStore::default();
    assert_eq!(store.apply(&sent[0]), Ok(()));
    let held = store.clone();
    assert!(store.apply(&sent[4]).is_err(), "three were missed");
    assert_eq!(store, held, "nothing of it was applied");
    assert_eq!(store.apply(&sent[1]), Ok(()));
    assert_eq!(store.apply(&sent[2]), Ok(()));
    assert!(
        store.apply(&sent[1]).is_err(),
        "it came after its successor"
    );
    let mut corrupt = sent[3].clone();
    corrupt.changed[0].bytes = bytes::Bytes::from_static(b"x");
    assert!(store.apply(&corrupt).is_err(), "a byte was flipped");
    // On a new stream it declares what it holds, and gets what it lacks.
    let mut server = TestServer::new();
    server.streams.offer(StreamId(1), &versions[5]);
    server.handle_request(delta_request(
        ResourceType::Entries,
        &["quote/*"],
        "",
        store.versions(),
    ));
    let rest = server.next_response().expect("the rest");
    assert!(
        rest.changed.len() == 2 && rest.removed.len() == 1,
        "{rest:?}"
    );
    assert_eq!(store.apply(&as_delta(&rest)), Ok(()));
    assert_eq!(
        store.checksum(),
        versions[5].checksum(ResourceType::Entries, |_| true)
    );
}

#[derive(Clone, Debug)]
enum Action {
    Publish(Vec<(u16, u32)>),
    Deliver,
    Reject,
    Reconnect,
    Restart,
    SendWrongNonce(u64),
    Wait(u32),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => prop::collection::vec((0u16..6, 0u32..4), 0..6).prop_map(Action::Publish),
        6 => Just(Action::Deliver),
        1 => Just(Action::Reject),
        1 => Just(Action::Reconnect),
        1 => Just(Action::Restart),
        1 => (0u64..50).prop_map(Action::SendWrongNonce),
        2 => (0u32..3000).prop_map(Action::Wait),
    ]
}

proptest! {
    // Whatever happens, a client holds a version that was published and verified, or nothing; and once nothing
    // changes any more, it holds the newest.
    #[test]
    fn a_client_holds_only_published_versions_and_in_the_end_the_newest(actions in prop::collection::vec(action(), 1..80)) {
        let mut server = TestServer::new();
        let mut store = ResourceStore::default();
        let (mut published, mut version) = (BTreeMap::new(), 0u64);
        published.insert(store.checksum(), 0);
        let subscribe = |server: &mut TestServer, store: &ResourceStore| {
            server.handle_request(delta_request(ResourceType::Entries, &["quote/*"], "", store.versions()));
        };
        subscribe(&mut server, &store);
        let mut newest: Option<Arc<Snapshot>> = None;
        let mut in_flight: Option<Response> = None;
        for action in actions.into_iter().chain([Action::Wait(60_000), Action::Publish(vec![(1, 9)])]) {
            match action {
                Action::Publish(entries) => {
                    version += 1;
                    let entries: BTreeMap<u16, u32> = entries.into_iter().collect();
                    let entries: Vec<(u16, u32)> = entries.into_iter().collect();
                    let made = snapshot(version, &entries);
                    published.insert(made.checksum(ResourceType::Entries, |_| true), version);
                    server.streams.offer(server.id, &made);
                    newest = Some(made);
                }
                Action::Deliver | Action::Reject => {
                    let Some(response) = in_flight.take() else { continue };
                    let mut request = delta_request(ResourceType::Entries, &[], &response.nonce.to_string(), BTreeMap::new());
                    if matches!(action, Action::Reject) {
                        request.error = Some("rejected by the test".to_string());
                    } else if let Err(error) = store.apply(&as_delta(&response)) {
                        request.error = Some(error.to_string());
                    }
                    server.handle_request(request);
                }
                Action::Reconnect | Action::Restart => {
                    server.streams.close(server.id);
                    if matches!(action, Action::Restart) {
                        server.streams = DiscoveryStreams::new(limits());
                    }
                    server.id = StreamId(server.id.0 + 1);
                    server.streams.open(server.id, ProxyId(1));
                    in_flight = None;
                    if let Some(newest) = &newest {
                        server.streams.offer(server.id, newest);
                    }
                    subscribe(&mut server, &store);
                }
                Action::SendWrongNonce(nonce) => {
                    let real = in_flight.as_ref().is_some_and(|response| response.nonce == nonce);
                    if !real {
                        server.handle_request(delta_request(ResourceType::Entries, &[], &nonce.to_string(), BTreeMap::new()));
                    }
                }
                Action::Wait(ms) => server.now = server.now + Span::from_seconds(f64::from(ms) / 1e3),
            }
            in_flight = in_flight.or_else(|| server.next_response());
            prop_assert!(published.contains_key(&store.checksum()), "the client holds what was never published");
        }
        while let Some(response) = in_flight.take() {
            prop_assert_eq!(store.apply(&as_delta(&response)), Ok(()));
            server.handle_request(delta_request(ResourceType::Entries, &[], &response.nonce.to_string(), BTreeMap::new()));
            in_flight = server.next_response();
        }
        prop_assert_eq!(Some(store.checksum()), newest.map(|n| n.checksum(ResourceType::Entries, |_| true)));
    }
}
