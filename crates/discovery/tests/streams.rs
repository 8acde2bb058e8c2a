//! Streams with clients that miss, refuse, lie and come back, under a scripted clock.

use proptest::prelude::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::{BundleId, Version};
use wheelspread_discovery::resource_store::DeltaUpdate;
use wheelspread_discovery::{
    DiscoveryLimits, DiscoveryStreams, RejectionResponse, RejectionTracker, Request, RequestBody,
    ResourceStore, ResourceType, Response, Snapshot, StreamEvent, UpdateResult,
};

fn plan() -> DiscoveryLimits {
    let ten = Span::from_seconds(10.0);
    DiscoveryLimits {
        versions: 8,
        changes_at_most: 20,
        window: ten,
        unanswered: ten,
        hold: Span::from_seconds(1.0),
    }
}

fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

/// Two clusters, each with lines; `lines` says which nodes carry what weight.
fn content(version: u64, lines: &[(u16, u32)]) -> Arc<Snapshot> {
    let mut content = Snapshot::new(BundleId(0), Version(version));
    content.put(ResourceType::Clusters, "quote", "a cluster");
    content.put(ResourceType::Endpoints, "quote", format!("{lines:?}"));
    for (node, weight) in lines {
        content.put(
            ResourceType::Entries,
            &format!("quote/{node}"),
            format!("{weight}"),
        );
    }
    content.put(ResourceType::Listeners, "all", "a listener");
    content.put(ResourceType::Routes, "operations", "routes");
    Arc::new(content)
}

fn whole(kind: ResourceType, names: &[&str], nonce: &str, version: &str) -> Request {
    let names = names.iter().map(|name| name.to_string()).collect();
    Request {
        kind,
        nonce: nonce.into(),
        error: None,
        mode: RequestBody::StateOfTheWorld {
            names,
            version: version.into(),
        },
    }
}

fn delta(
    kind: ResourceType,
    subscribe: &[&str],
    nonce: &str,
    holds: BTreeMap<String, String>,
) -> Request {
    let subscribe = subscribe.iter().map(|name| name.to_string()).collect();
    let mode = RequestBody::Delta {
        subscribe,
        unsubscribe: Vec::new(),
        holds,
    };
    Request {
        kind,
        nonce: nonce.into(),
        error: None,
        mode,
    }
}

fn refusing(mut ask: Request, why: &str) -> Request {
    ask.error = Some(why.to_string());
    ask
}

struct Stage {
    front: DiscoveryStreams,
    now: Moment,
    id: StreamId,
}

impl Stage {
    fn new() -> Stage {
        let mut front = DiscoveryStreams::new(plan());
        front.open(StreamId(1), ProxyId(1));
        Stage {
            front,
            now: at(0.0),
            id: StreamId(1),
        }
    }

    fn next(&mut self) -> Option<Response> {
        self.front.next(self.now, self.id, &mut Vec::new())
    }

    fn ask(&mut self, ask: Request) -> Vec<StreamEvent> {
        self.front.ask(self.now, self.id, &ask)
    }

    fn all(&mut self) -> Vec<Response> {
        std::iter::from_fn(|| self.next()).collect()
    }
}

#[test]
fn what_is_referred_to_comes_first_and_each_kind_is_acknowledged_by_its_nonce() {
    let mut stage = Stage::new();
    stage.front.offer(StreamId(1), &content(41, &[(1, 5)]));
    for kind in [ResourceType::Routes, ResourceType::Listeners] {
        stage.ask(whole(
            kind,
            if kind == ResourceType::Routes {
                &["operations"]
            } else {
                &[]
            },
            "",
            "",
        ));
    }
    stage.ask(whole(ResourceType::Endpoints, &["quote"], "", ""));
    stage.ask(whole(ResourceType::Clusters, &[], "", ""));
    let answers = stage.all();
    let kinds: Vec<ResourceType> = answers.iter().map(|answer| answer.kind).collect();
    assert_eq!(
        kinds,
        [
            ResourceType::Clusters,
            ResourceType::Endpoints,
            ResourceType::Listeners,
            ResourceType::Routes
        ]
    );
    for (place, answer) in answers.iter().enumerate() {
        let names: &[&str] = match answer.kind {
            ResourceType::Endpoints => &["quote"],
            ResourceType::Routes => &["operations"],
            _ => &[],
        };
        let news = stage.ask(whole(answer.kind, names, &answer.nonce.to_string(), "41"));
        let held = StreamEvent::VersionAcknowledged {
            proxy: ProxyId(1),
            version: Version(41),
        };
        assert_eq!(news, if place == 3 { vec![held] } else { vec![] });
    }
    assert!(stage.next().is_none(), "nothing changed");
}

#[test]
fn a_burst_leaves_one_answer_on_its_way_and_then_the_newest_alone() {
    let mut stage = Stage::new();
    stage.ask(delta(
        ResourceType::Entries,
        &["quote/*"],
        "",
        BTreeMap::new(),
    ));
    let mut sent = Vec::new();
    for version in 1..=1000u64 {
        stage.front.offer(
            StreamId(1),
            &content(version, &[(1, version as u32), (2, 7)]),
        );
        sent.extend(stage.all());
    }
    assert_eq!(sent.len(), 1);
    stage.ask(delta(
        ResourceType::Entries,
        &[],
        &sent[0].nonce.to_string(),
        BTreeMap::new(),
    ));
    let next = stage.all();
    assert_eq!(
        (next.len(), next[0].version, next[0].changed.len()),
        (1, Version(1000), 1)
    );
}

#[test]
fn a_refusal_keeps_what_was_held_and_the_next_version_starts_from_there() {
    let mut stage = Stage::new();
    stage.ask(delta(
        ResourceType::Entries,
        &["quote/*"],
        "",
        BTreeMap::new(),
    ));
    let acknowledge = |answer: &Response| {
        delta(
            ResourceType::Entries,
            &[],
            &answer.nonce.to_string(),
            BTreeMap::new(),
        )
    };
    stage
        .front
        .offer(StreamId(1), &content(1, &[(1, 1), (2, 1)]));
    let first = stage.next().expect("the whole");
    stage.ask(acknowledge(&first));
    stage
        .front
        .offer(StreamId(1), &content(2, &[(1, 2), (2, 1)]));
    let second = stage.next().expect("a delta");
    let news = stage.ask(refusing(acknowledge(&second), "a weight of 2"));
    let told = StreamEvent::VersionRejected {
        proxy: ProxyId(1),
        version: Version(2),
        reason: "a weight of 2".into(),
        verdict: RejectionResponse::Continue,
    };
    assert_eq!(news, [told]);
    assert!(stage.next().is_none(), "the same is not sent again");
    assert_eq!(
        stage.front.holds(StreamId(1)).map(|held| held.0),
        Some(Version(1))
    );
    stage
        .front
        .offer(StreamId(1), &content(3, &[(1, 2), (2, 3)]));
    let third = stage.next().expect("a delta");
    assert_eq!(
        third.changed.len(),
        2,
        "also what it refused with the version before"
    );
}

#[test_case("7"; "a nonce that was never given")]
#[test_case("yes"; "no nonce at all")]
fn who_speaks_of_what_was_not_sent_is_not_believed_and_in_the_end_not_heard(nonce: &str) {
    let mut stage = Stage::new();
    stage.front.offer(StreamId(1), &content(1, &[(1, 1)]));
    stage.ask(whole(ResourceType::Clusters, &[], "", ""));
    let answer = stage.next().expect("clusters");
    for time in 0..12 {
        let news = stage.ask(whole(ResourceType::Clusters, &[], nonce, "1"));
        assert!(matches!(news[0], StreamEvent::UnknownNonce { .. }));
        assert_eq!(
            news.iter()
                .any(|news| matches!(news, StreamEvent::CloseRequired { .. })),
            time >= 10
        );
    }
    assert_eq!(stage.front.holds(StreamId(1)), None);
    // The right nonce with a version that was never published is no acknowledgement either.
    let news = stage.ask(whole(
        ResourceType::Clusters,
        &[],
        &answer.nonce.to_string(),
        "99",
    ));
    assert!(news
        .iter()
        .any(|news| matches!(news, StreamEvent::VersionRejected { .. })));
    assert_eq!(stage.front.holds(StreamId(1)), None);
}

#[test]
fn a_stale_nonce_changes_nothing_in_the_whole_form() {
    let mut stage = Stage::new();
    stage.front.offer(StreamId(1), &content(1, &[(1, 1)]));
    stage.ask(whole(ResourceType::Endpoints, &["quote"], "", ""));
    let first = stage.next().expect("endpoints");
    stage.ask(whole(
        ResourceType::Endpoints,
        &["quote"],
        &first.nonce.to_string(),
        "1",
    ));
    stage.front.offer(StreamId(1), &content(2, &[(1, 2)]));
    let second = stage.next().expect("endpoints");
    stage.ask(whole(
        ResourceType::Endpoints,
        &[],
        &first.nonce.to_string(),
        "1",
    ));
    assert_eq!(stage.front.stale, 1);
    let news = stage.ask(whole(
        ResourceType::Endpoints,
        &["quote"],
        &second.nonce.to_string(),
        "2",
    ));
    assert_eq!(
        news,
        [StreamEvent::VersionAcknowledged {
            proxy: ProxyId(1),
            version: Version(2)
        }]
    );
}

#[test]
fn a_name_subscribed_to_later_is_sent_alone_and_one_that_is_nothing_is_told_as_gone() {
    let mut stage = Stage::new();
    stage
        .front
        .offer(StreamId(1), &content(1, &[(1, 1), (2, 1)]));
    stage.ask(delta(
        ResourceType::Entries,
        &["quote/1"],
        "",
        BTreeMap::new(),
    ));
    let first = stage.next().expect("a line");
    stage.ask(delta(
        ResourceType::Entries,
        &["quote/2", "quote/9"],
        &first.nonce.to_string(),
        BTreeMap::new(),
    ));
    let second = stage.next().expect("another");
    let names: Vec<&str> = second.changed.iter().map(|(name, _)| &**name).collect();
    assert_eq!((names, &*second.removed[0]), (vec!["quote/2"], "quote/9"));
}

#[test_case("quote/*", 2; "all below a name")]
#[test_case("*", 2; "everything")]
fn what_is_asked_for_by_a_pattern_later_is_sent_once(pattern: &str, lines: usize) {
    let mut stage = Stage::new();
    stage
        .front
        .offer(StreamId(1), &content(1, &[(1, 1), (2, 1)]));
    stage.ask(delta(
        ResourceType::Entries,
        &["other/1"],
        "",
        BTreeMap::new(),
    ));
    let first = stage.next().expect("that there is none");
    stage.ask(delta(
        ResourceType::Entries,
        &[pattern],
        &first.nonce.to_string(),
        BTreeMap::new(),
    ));
    let second = stage.next().expect("the lines");
    assert_eq!((second.changed.len(), second.removed.len()), (lines, 0));
    stage.ask(delta(
        ResourceType::Entries,
        &[],
        &second.nonce.to_string(),
        BTreeMap::new(),
    ));
    assert!(stage.next().is_none());
}

#[test]
fn a_cluster_is_removed_after_all_that_referred_to_it_has_changed() {
    let mut stage = Stage::new();
    let mut two = (*content(1, &[(1, 1)])).clone();
    two.put(ResourceType::Clusters, "old", "another cluster");
    stage.front.offer(StreamId(1), &Arc::new(two));
    let mut nonces = BTreeMap::new();
    for (kind, name) in [
        (ResourceType::Clusters, "*"),
        (ResourceType::Routes, "operations"),
    ] {
        stage.ask(delta(kind, &[name], "", BTreeMap::new()));
    }
    let mut kinds = Vec::new();
    for version in 2..4 {
        while let Some(answer) = stage.next() {
            nonces.insert(answer.kind, answer.nonce.to_string());
            kinds.push((answer.kind, answer.changed.len(), answer.removed.len()));
            stage.ask(delta(
                answer.kind,
                &[],
                &nonces[&answer.kind],
                BTreeMap::new(),
            ));
        }
        if version == 2 {
            let mut next = Snapshot::new(BundleId(0), Version(2));
            next.put(ResourceType::Clusters, "quote", "a cluster");
            next.put(ResourceType::Clusters, "new", "a new cluster");
            next.put(ResourceType::Routes, "operations", "other routes");
            stage.front.offer(StreamId(1), &Arc::new(next));
        }
    }
    let order = [
        (ResourceType::Clusters, 2, 0),
        (ResourceType::Routes, 1, 0),
        (ResourceType::Clusters, 1, 0),
        (ResourceType::Routes, 1, 0),
        (ResourceType::Clusters, 0, 1),
    ];
    assert_eq!(kinds, order);
}

#[test]
fn subscriptions_that_flutter_are_answered_at_the_pace_that_is_allowed() {
    let mut stage = Stage::new();
    stage
        .front
        .offer(StreamId(1), &content(1, &[(1, 1), (2, 1)]));
    stage.ask(delta(
        ResourceType::Entries,
        &["quote/1"],
        "",
        BTreeMap::new(),
    ));
    let mut answered = 0;
    for time in 0..2000 {
        stage.now = at(f64::from(time) * 0.005);
        let (add, drop) = if time % 2 == 0 {
            ("quote/2", "quote/1")
        } else {
            ("quote/1", "quote/2")
        };
        let mut ask = delta(ResourceType::Entries, &[add], "", BTreeMap::new());
        if let RequestBody::Delta { unsubscribe, .. } = &mut ask.mode {
            unsubscribe.push(drop.to_string());
        }
        stage.ask(ask);
        while let Some(answer) = stage.next() {
            answered += 1;
            stage.ask(delta(
                ResourceType::Entries,
                &[],
                &answer.nonce.to_string(),
                BTreeMap::new(),
            ));
        }
    }
    assert!(answered <= 22, "{answered} answers in ten seconds");
}

#[test]
fn a_client_that_never_answers_is_known() {
    let mut stage = Stage::new();
    stage.front.offer(StreamId(1), &content(1, &[(1, 1)]));
    stage.ask(whole(ResourceType::Clusters, &[], "", ""));
    stage.next().expect("clusters");
    assert!(stage.front.silent(at(9.9)).is_empty());
    assert_eq!(stage.front.silent(at(10.1)), [StreamId(1)]);
}

// ---- what follows refusals ----

#[test]
fn one_that_refuses_alone_is_gone_on_without_and_in_the_end_started_anew() {
    let mut verdicts = RejectionTracker::new(Span::from_seconds(1.0));
    for version in 1..=5 {
        for proxy in 2..10 {
            verdicts.took(at(0.0), BundleId(0), Version(version), ProxyId(proxy));
        }
        let verdict = verdicts.refused(at(0.0), BundleId(0), Version(version), ProxyId(1));
        assert_eq!(
            verdict,
            if version < 5 {
                RejectionResponse::Continue
            } else {
                RejectionResponse::RestartStream(ProxyId(1))
            }
        );
        assert_eq!(verdicts.held_until(BundleId(0)), None);
    }
}

#[test]
fn a_table_that_most_refuse_is_held_then_stepped_back_and_let_go_when_most_take_one() {
    let mut verdicts = RejectionTracker::new(Span::from_seconds(1.0));
    let mut say = |version: u64, takes: bool, now: f64| {
        let mut last = RejectionResponse::Continue;
        for proxy in 0..6 {
            let verdict = match takes {
                true => verdicts.took(at(now), BundleId(0), Version(version), ProxyId(proxy)),
                false => verdicts.refused(at(now), BundleId(0), Version(version), ProxyId(proxy)),
            };
            last = if matches!(last, RejectionResponse::RollBack(_)) {
                last
            } else {
                verdict
            };
        }
        (last, verdicts.held_until(BundleId(0)))
    };
    assert_eq!(say(1, true, 0.0), (RejectionResponse::Continue, None));
    assert_eq!(
        say(2, false, 1.0),
        (RejectionResponse::HoldChanges, Some(at(2.0)))
    );
    assert_eq!(
        say(3, false, 2.0),
        (RejectionResponse::HoldChanges, Some(at(4.0))),
        "twice as long"
    );
    assert_eq!(
        say(4, false, 4.0).0,
        RejectionResponse::RollBack(Version(1))
    );
    // Forever: each is held back for longer, to a bound, and never is anything decided that was not before.
    for version in 5..40 {
        let (verdict, until) = say(version, false, 100.0);
        assert!(verdict == RejectionResponse::HoldChanges && until <= Some(at(164.0)));
    }
    assert_eq!(say(40, true, 200.0), (RejectionResponse::Continue, None));
}

// ---- the other end ----

fn as_delta(answer: &Response) -> DeltaUpdate {
    DeltaUpdate {
        changed: answer
            .changed
            .iter()
            .map(|(n, r)| (n.to_string(), r.checksum, r.bytes.clone()))
            .collect(),
        removed: answer.removed.iter().map(|name| name.to_string()).collect(),
        comes_to: answer.comes_to,
    }
}

/// Deltas of one client that took each of these versions.
fn deltas(versions: &[Arc<Snapshot>]) -> Vec<DeltaUpdate> {
    let mut stage = Stage::new();
    stage.ask(delta(
        ResourceType::Entries,
        &["quote/*"],
        "",
        BTreeMap::new(),
    ));
    let mut deltas = Vec::new();
    for version in versions {
        stage.front.offer(StreamId(1), version);
        let answer = stage.next().expect("a delta");
        stage.ask(delta(
            ResourceType::Entries,
            &[],
            &answer.nonce.to_string(),
            BTreeMap::new(),
        ));
        deltas.push(as_delta(&answer));
    }
    deltas
}

#[test]
fn who_missed_three_deltas_or_gets_one_after_its_successor_refuses_and_asks_for_the_whole() {
    let versions: Vec<Arc<Snapshot>> = (1..7)
        .map(|v| content(v, &[(v as u16, 5), (10, v as u32), (11, 1)]))
        .collect();
    let sent = deltas(&versions);
    let mut receiver = ResourceStore::default();
    assert_eq!(receiver.take(&sent[0]), UpdateResult::Yes);
    let held = receiver.clone();
    assert!(
        matches!(receiver.take(&sent[4]), UpdateResult::Refused(_)),
        "three were missed"
    );
    assert_eq!(receiver, held, "nothing of it was taken");
    assert_eq!(receiver.take(&sent[1]), UpdateResult::Yes);
    assert_eq!(receiver.take(&sent[2]), UpdateResult::Yes);
    assert!(
        matches!(receiver.take(&sent[1]), UpdateResult::Refused(_)),
        "it came after its successor"
    );
    let mut spoilt = sent[3].clone();
    spoilt.changed[0].2 = bytes::Bytes::from_static(b"x");
    assert!(
        matches!(receiver.take(&spoilt), UpdateResult::Refused(_)),
        "a byte was flipped"
    );
    // On a new stream it tells what it holds, and gets what it lacks.
    let mut stage = Stage::new();
    stage.front.offer(StreamId(1), &versions[5]);
    stage.ask(delta(
        ResourceType::Entries,
        &["quote/*"],
        "",
        receiver.versions(),
    ));
    let rest = stage.next().expect("the rest");
    assert!(
        rest.changed.len() == 2 && rest.removed.len() == 1,
        "{rest:?}"
    );
    assert_eq!(receiver.take(&as_delta(&rest)), UpdateResult::Yes);
    assert_eq!(
        receiver.checksum(),
        versions[5].checksum(ResourceType::Entries, |_| true)
    );
}

#[derive(Clone, Debug)]
enum Act {
    Publish(Vec<(u16, u32)>),
    Deliver,
    Refuse,
    Reconnect,
    Restart,
    Lie(u64),
    Wait(u32),
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => prop::collection::vec((0u16..6, 0u32..4), 0..6).prop_map(Act::Publish),
        6 => Just(Act::Deliver),
        1 => Just(Act::Refuse),
        1 => Just(Act::Reconnect),
        1 => Just(Act::Restart),
        1 => (0u64..50).prop_map(Act::Lie),
        2 => (0u32..3000).prop_map(Act::Wait),
    ]
}

proptest! {
    // Whatever happens, a client holds a version that was published, checked, or nothing; and when all is
    // quiet again, it holds the newest.
    #[test]
    fn a_client_holds_a_checked_version_and_in_the_end_the_newest(acts in prop::collection::vec(act(), 1..80)) {
        let mut stage = Stage::new();
        let mut receiver = ResourceStore::default();
        let (mut published, mut version) = (BTreeMap::new(), 0u64);
        published.insert(receiver.checksum(), 0);
        let hello = |stage: &mut Stage, receiver: &ResourceStore| {
            stage.ask(delta(ResourceType::Entries, &["quote/*"], "", receiver.versions()));
        };
        hello(&mut stage, &receiver);
        let mut newest: Option<Arc<Snapshot>> = None;
        let mut on_its_way: Option<Response> = None;
        for act in acts.into_iter().chain([Act::Wait(60_000), Act::Publish(vec![(1, 9)])]) {
            match act {
                Act::Publish(lines) => {
                    version += 1;
                    let lines: BTreeMap<u16, u32> = lines.into_iter().collect();
                    let lines: Vec<(u16, u32)> = lines.into_iter().collect();
                    let made = content(version, &lines);
                    published.insert(made.checksum(ResourceType::Entries, |_| true), version);
                    stage.front.offer(stage.id, &made);
                    newest = Some(made);
                }
                Act::Deliver | Act::Refuse => {
                    let Some(answer) = on_its_way.take() else { continue };
                    let mut ask = delta(ResourceType::Entries, &[], &answer.nonce.to_string(), BTreeMap::new());
                    if matches!(act, Act::Refuse) {
                        ask.error = Some("it does not please".to_string());
                    } else if let UpdateResult::Refused(why) = receiver.take(&as_delta(&answer)) {
                        ask.error = Some(why);
                    }
                    stage.ask(ask);
                }
                Act::Reconnect | Act::Restart => {
                    stage.front.close(stage.id);
                    if matches!(act, Act::Restart) {
                        stage.front = DiscoveryStreams::new(plan());
                    }
                    stage.id = StreamId(stage.id.0 + 1);
                    stage.front.open(stage.id, ProxyId(1));
                    on_its_way = None;
                    if let Some(newest) = &newest {
                        stage.front.offer(stage.id, newest);
                    }
                    hello(&mut stage, &receiver);
                }
                Act::Lie(nonce) => {
                    let real = on_its_way.as_ref().is_some_and(|answer| answer.nonce == nonce);
                    if !real {
                        stage.ask(delta(ResourceType::Entries, &[], &nonce.to_string(), BTreeMap::new()));
                    }
                }
                Act::Wait(ms) => stage.now = stage.now + Span::from_seconds(f64::from(ms) / 1e3),
            }
            on_its_way = on_its_way.or_else(|| stage.next());
            prop_assert!(published.contains_key(&receiver.checksum()), "a table that has no name");
        }
        while let Some(answer) = on_its_way.take() {
            prop_assert_eq!(receiver.take(&as_delta(&answer)), UpdateResult::Yes);
            stage.ask(delta(ResourceType::Entries, &[], &answer.nonce.to_string(), BTreeMap::new()));
            on_its_way = stage.next();
        }
        prop_assert_eq!(Some(receiver.checksum()), newest.map(|n| n.checksum(ResourceType::Entries, |_| true)));
    }
}
