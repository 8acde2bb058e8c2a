//! A client applies a delta as a whole or rejects it, even if deltas are lost, repeated, reordered or corrupted.

use super::support::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::Span;
use wheelspread_controller_core::membership::StreamId;
use wheelspread_discovery::{
    Checksum, DeltaUpdate, DiscoveryStreams, ResourceStore, ResourceType, Response, Snapshot,
};

/// The deltas sent to one client that acknowledges each of these versions.
fn deltas(versions: &[Arc<Snapshot>]) -> Vec<DeltaUpdate> {
    let mut server = TestServer::new();
    server.subscribe(ResourceType::Entries, &["quote/*"]);
    let mut deltas = Vec::new();
    for version in versions {
        server.streams.offer(StreamId(1), version);
        let response = server.next_response().expect("a delta");
        server.acknowledge(&response);
        deltas.push(as_delta(&response));
    }
    deltas
}

#[test]
fn a_delta_after_a_gap_a_repeated_or_a_corrupt_one_is_rejected_and_a_new_stream_sends_the_rest() {
    let versions: Vec<Arc<Snapshot>> = (1..7)
        .map(|v| snapshot(v, &[(v as u16, 5), (10, v as u32), (11, 1)]))
        .collect();
    let sent = deltas(&versions);
    let mut store = ResourceStore::default();
    assert_eq!(store.apply(&sent[0]), Ok(()));
    let held = store.clone();
    assert!(store.apply(&sent[4]).is_err(), "three deltas were missed");
    assert_eq!(store, held, "a rejected delta changes nothing");
    assert_eq!(store.apply(&sent[1]), Ok(()));
    assert_eq!(store.apply(&sent[2]), Ok(()));
    assert!(
        store.apply(&sent[1]).is_err(),
        "the delta was applied before, and its successor too"
    );
    let mut corrupt = sent[3].clone();
    corrupt.changed[0].bytes = bytes::Bytes::from_static(b"x");
    assert!(store.apply(&corrupt).is_err(), "a byte was flipped");
    // On a new stream the client declares the versions it holds and gets only the differences.
    let mut server = TestServer::new();
    server.streams.offer(StreamId(1), &versions[5]);
    server.handle_request(delta_request(
        ResourceType::Entries,
        &["quote/*"],
        "",
        store.versions(),
    ));
    let rest = server.next_response().expect("the differences");
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

/// A server and a client that applies the responses of the server.
struct Exchange {
    server: TestServer,
    store: ResourceStore,
    published: BTreeSet<Checksum>,
    version: u64,
    newest: Option<Arc<Snapshot>>,
    in_flight: Option<Response>,
}

impl Exchange {
    fn new() -> Exchange {
        let store = ResourceStore::default();
        let mut exchange = Exchange {
            server: TestServer::new(),
            published: [store.checksum()].into(),
            store,
            version: 0,
            newest: None,
            in_flight: None,
        };
        exchange.subscribe();
        exchange
    }

    /// Subscribes, and declares the resources that the client holds from earlier streams.
    fn subscribe(&mut self) {
        let held = self.store.versions();
        let request = delta_request(ResourceType::Entries, &["quote/*"], "", held);
        self.server.handle_request(request);
    }

    fn publish(&mut self, entries: Vec<(u16, u32)>) {
        self.version += 1;
        let by_node: BTreeMap<u16, u32> = entries.into_iter().collect();
        let entries: Vec<(u16, u32)> = by_node.into_iter().collect();
        let published = snapshot(self.version, &entries);
        self.published
            .insert(published.checksum(ResourceType::Entries, |_| true));
        self.server.streams.offer(self.server.id, &published);
        self.newest = Some(published);
    }

    fn deliver(&mut self, response: &Response) {
        let mut request = ack(response);
        if let Err(error) = self.store.apply(&as_delta(response)) {
            request.error = Some(error.to_string());
        }
        self.server.handle_request(request);
    }

    fn reconnect(&mut self) {
        let server = &mut self.server;
        server.streams.close(server.id);
        server.id = StreamId(server.id.0 + 1);
        server.streams.open(server.id, ProxyId(1));
        self.in_flight = None;
        if let Some(newest) = &self.newest {
            server.streams.offer(server.id, newest);
        }
        self.subscribe();
    }

    fn send_wrong_nonce(&mut self, nonce: u64) {
        let in_flight = self.in_flight.as_ref().map(|response| response.nonce);
        if in_flight != Some(nonce) {
            let nonce = nonce.to_string();
            let request = delta_request(ResourceType::Entries, &[], &nonce, BTreeMap::new());
            self.server.handle_request(request);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Publish(entries) => self.publish(entries),
            Action::Deliver => {
                if let Some(response) = self.in_flight.take() {
                    self.deliver(&response);
                }
            }
            Action::Reject => {
                if let Some(response) = self.in_flight.take() {
                    let nack = with_error(ack(&response), "rejected by the test");
                    self.server.handle_request(nack);
                }
            }
            Action::Reconnect => self.reconnect(),
            Action::Restart => {
                self.server.streams = DiscoveryStreams::new(limits());
                self.reconnect();
            }
            Action::SendWrongNonce(nonce) => self.send_wrong_nonce(nonce),
            Action::Wait(ms) => {
                self.server.now = self.server.now + Span::from_seconds(f64::from(ms) / 1e3);
            }
        }
        let next = self.in_flight.take();
        self.in_flight = next.or_else(|| self.server.next_response());
    }
}

proptest! {
    // After any sequence of actions, the client holds a published and verified version, or nothing. Once no further
    // version is published, it holds the newest.
    #[test]
    fn a_client_holds_only_published_versions_and_in_the_end_the_newest(
        actions in prop::collection::vec(action(), 1..80),
    ) {
        let mut exchange = Exchange::new();
        let last = [Action::Wait(60_000), Action::Publish(vec![(1, 9)])];
        for action in actions.into_iter().chain(last) {
            exchange.carry_out(action);
            let held = exchange.store.checksum();
            prop_assert!(exchange.published.contains(&held), "the client holds resources that were never published together");
        }
        while let Some(response) = exchange.in_flight.take() {
            prop_assert_eq!(exchange.store.apply(&as_delta(&response)), Ok(()));
            exchange.server.acknowledge(&response);
            exchange.in_flight = exchange.server.next_response();
        }
        let newest = exchange.newest.map(|newest| newest.checksum(ResourceType::Entries, |_| true));
        prop_assert_eq!(Some(exchange.store.checksum()), newest);
    }
}
