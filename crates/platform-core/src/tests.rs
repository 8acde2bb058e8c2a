//! Scripts in `scenarios/`, a line each, `#` begins a comment:
//!
//!     TIME list VERSION NAME:ZONE[:STATUS][:AGE] ..    the full list; `change` for changes of it
//!     TIME source N                                     lists come from that asking, the first if not said
//!     TIME connection KEY WORDS ..                            a message on that connection
//!     TIME answer KEY                                   it answers the newest mark it was sent
//!     TIME end KEY                                      the connection ends
//!     TIME settle                                       nothing happens
//!     expect reply nothing|known|pong|close             to the last message
//!     expect told KEY WORDS ..                          in what it was sent since it was last looked at
//!     expect untold KEY [WORDS ..]                      nothing was, or nothing with these words in it
//!     expect closed KEY                                 its connection is to be ended
//!     expect proxies N
//!
//! After each line with a time the moment is settled. `FROM..TO/EVERY` repeats a line; between two
//! expectations lines are played in the order of their times.

use crate::membership::Membership;
use crate::message::{parse, MessageError, MessageLimits};
use crate::publication::{ActionTarget, Publication};
use crate::{
    ConnectionId, ControllerCore, EndpointList, MessageOutcome, Output, SourceId, WatchPosition,
    CONFIGURED_SOURCE,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use test_case::test_case;
use wheelspread::ids::*;
use wheelspread::time::{Moment, Span};
use wheelspread::{Action, EndpointListKind, EndpointStatus, RetryPolicy};
use wheelspread_resp::{Decoder, Limits};
use wheelspread_settings::{from_wire, Names};

const EPOCH: f64 = 1000.0;

fn settings_of() -> Value {
    json!({"az": 0, "me": 0, "peers_total": 2, "discovery": "push", "tick": 0.005,
        "zones": ["a", "b"], "kinds": ["k"],
        "classes": [
            {"name": "lookup", "aim": 1.5, "deadline": 5.0, "worth": 3.0, "idempotency": "read_like"},
            {"name": "order", "aim": 1.5, "deadline": 5.0, "worth": 2.0, "idempotency": "non_idempotent"}],
        "feedback": {"fields": ["busy", "q"], "via": "piggyback"},
        "limits": {"probes": true, "peer_messages": false, "conn_idle": 15.0},
        "rules": {"overload_factor": 4.0, "start_capacity": 0.22, "warm_after": 16.0,
            "stop_sending_within": 3.0},
        "extra": {"admit": "ratio", "backlog": 24000.0, "bare": 2.0, "head": 4.0, "period": 1.0,
            "proxy_count": 8, "push_delay_max": 0.5, "push_rate": 12000.0, "pushes_allowed": 20,
            "update_window": 10.0, "fails_to_eject": 8}})
}

fn core() -> ControllerCore {
    let value = settings_of();
    ControllerCore::start(
        Moment::from_seconds(EPOCH),
        7,
        from_wire(&value),
        Names::from_wire(&value),
    )
    .expect("fine")
}

/// What was written, as words.
fn texts(bytes: &[u8]) -> Vec<String> {
    let mut decoder = Decoder::new(Limits {
        message_bytes: 1 << 20,
        strings: 64,
    });
    decoder.feed(bytes);
    let mut texts = Vec::new();
    while let Some(strings) = decoder.next_message().expect("messages") {
        let words: Vec<_> = strings
            .iter()
            .map(|string| String::from_utf8_lossy(string))
            .collect();
        texts.push(words.join(" "));
    }
    texts
}

/// Whether the words stand there one after the other; `*` is any word; of a list
/// the parts that are named are looked for.
fn says(text: &str, words: &[&str]) -> bool {
    let said: Vec<&str> = text.split(' ').collect();
    // `NAME:*` is a line of that node, whatever its weight.
    let part = |said: &str, word: &str| match word.strip_suffix('*') {
        Some(head) if head.ends_with(':') => said.starts_with(head),
        _ => said == word,
    };
    let same = |(said, word): (&&str, &&str)| {
        *word == "*"
            || word
                .split(',')
                .all(|word| said.split(',').any(|said| part(said, word)))
    };
    said.windows(words.len())
        .any(|some| some.iter().zip(words).all(same))
}

struct Stage {
    core: ControllerCore,
    now: f64,
    reply: MessageOutcome,
    told: BTreeMap<u64, Vec<String>>,
    marks: BTreeMap<u64, String>,
    closed: Vec<u64>,
    source: u64,
}

fn key(word: &str) -> u64 {
    word.parse()
        .unwrap_or_else(|_| panic!("{word} is no connection"))
}

impl Stage {
    fn list(&mut self, whole: bool, words: &[&str]) {
        let now = self.now;
        let entry = |word: &&str| {
            let parts: Vec<&str> = word.split(':').collect();
            let status = parts
                .get(2)
                .filter(|status| !status.is_empty())
                .unwrap_or(&"Ready");
            let since = parts
                .get(3)
                .map_or(0.0, |age| (now - age.parse::<f64>().expect("an age")) * 1e3);
            json!({"name": parts[0], "address": "127.0.0.9:80", "zone": parts[1], "type": "k", "group": 1,
                "status": status, "weight": 1.0, "since_ms": since})
        };
        let version: u64 = words[0].parse().expect("a version");
        let entries: Vec<Value> = words[1..].iter().map(entry).collect();
        let value = json!({"index": version, "snapshot": whole, "endpoints": entries});
        let list = EndpointList::parse(&value, self.core.names()).expect("a list");
        self.core
            .handle_endpoint_list(Moment::from_seconds(now), &list, SourceId(self.source));
    }

    fn play(&mut self, time: f64, words: &[&str]) {
        self.now = EPOCH + time;
        let now = Moment::from_seconds(self.now);
        match words[0] {
            "list" => self.list(true, &words[1..]),
            "change" => self.list(false, &words[1..]),
            "source" => self.source = key(words[1]),
            "connection" => {
                let strings: Vec<&[u8]> = words[2..].iter().map(|word| word.as_bytes()).collect();
                self.reply = self
                    .core
                    .handle_message(now, ConnectionId(key(words[1])), &strings);
            }
            "answer" => {
                let connection = key(words[1]);
                let mark = self.marks.get(&connection).cloned().expect("a mark");
                let proxy = (connection % 10).to_string();
                let strings = [
                    "applied", "sidecar", &proxy, "version", &mark, "lag_ms", "300.5",
                ];
                let strings: Vec<&[u8]> = strings.iter().map(|word| word.as_bytes()).collect();
                self.reply = self
                    .core
                    .handle_message(now, ConnectionId(connection), &strings);
            }
            "end" => self
                .core
                .handle_connection_closed(now, ConnectionId(key(words[1]))),
            "settle" => {}
            other => panic!("no such line: {other}"),
        }
        for out in self.core.decide(now) {
            match out {
                Output::Write { connection, bytes } => {
                    for text in texts(&bytes) {
                        if let Some((_, mark)) = text.split_once("stamp ") {
                            self.marks.insert(
                                connection.0,
                                mark.split(' ').next().unwrap_or("").to_string(),
                            );
                        }
                        self.told.entry(connection.0).or_default().push(text);
                    }
                }
                Output::Close { connection, .. } => self.closed.push(connection.0),
                _ => {}
            }
        }
    }

    fn expect(&mut self, line: &str, words: &[&str]) {
        let mut told = |connection: &str| self.told.remove(&key(connection)).unwrap_or_default();
        match words[0] {
            "reply" => {
                let reply = match &self.reply {
                    MessageOutcome::Consumed => "nothing",
                    MessageOutcome::Identified => "known",
                    MessageOutcome::Pong => "pong",
                    MessageOutcome::Close(_) => "close",
                };
                assert_eq!(reply, words[1], "{line}");
            }
            "told" => {
                let told = told(words[1]);
                assert!(
                    told.iter().any(|text| says(text, &words[2..])),
                    "{line}\nbut {told:#?}"
                );
            }
            "untold" => {
                let told = told(words[1]);
                let any = told
                    .iter()
                    .any(|text| words.len() == 2 || says(text, &words[2..]));
                assert!(!any, "{line}\nbut {told:#?}");
            }
            "closed" => assert!(
                self.closed.contains(&key(words[1])),
                "{line}\nbut {:?}",
                self.closed
            ),
            "open" => assert!(
                !self.closed.contains(&key(words[1])),
                "{line}\nbut {:?}",
                self.closed
            ),
            "proxies" => assert_eq!(self.core.proxy_count().to_string(), words[1], "{line}"),
            "end" => {}
            other => panic!("no such expectation: {other}"),
        }
    }
}

#[test_case(include_str!("../scenarios/join.txt"); "joins and changes")]
#[test_case(include_str!("../scenarios/handshake.txt"); "who may say what")]
#[test_case(include_str!("../scenarios/spoilt.txt"); "spoilt reports and answers")]
#[test_case(include_str!("../scenarios/streams.txt"); "streams that break and come back")]
#[test_case(include_str!("../scenarios/silent.txt"); "streams that fall silent")]
#[test_case(include_str!("../scenarios/crossing.txt"); "two streams of one proxy cross")]
#[test_case(include_str!("../scenarios/sources.txt"); "discovery that moves or counts anew")]
#[test_case(include_str!("../scenarios/lists.txt"); "lists that come late or twice")]
fn plays(script: &str) {
    let (told, marks, closed) = Default::default();
    let mut stage = Stage {
        core: core(),
        now: EPOCH,
        reply: MessageOutcome::Consumed,
        told,
        marks,
        closed,
        source: 1,
    };
    let mut lines: Vec<(f64, Vec<&str>)> = Vec::new();
    for line in script.lines().chain(["expect end"]) {
        let line = line.split('#').next().unwrap_or("").trim();
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.split_first() {
            None => {}
            Some((&"expect", rest)) => {
                lines.sort_by(|a, b| a.0.total_cmp(&b.0));
                lines
                    .drain(..)
                    .for_each(|(time, words)| stage.play(time, &words));
                stage.expect(line, rest);
            }
            Some((time, rest)) => {
                let number = |text: &str| text.parse::<f64>().expect("a number");
                let (from, to) = time.split_once("..").unwrap_or((time, time));
                let (to, every) = to.split_once('/').unwrap_or((to, "1"));
                let (from, to, every) = (number(from), number(to), number(every));
                let count = ((to - from) / every).round() as usize;
                lines.extend((0..=count).map(|at| (from + every * at as f64, rest.to_vec())));
            }
        }
    }
}

fn names() -> Names {
    Names::from_wire(&settings_of())
}

const LIMITS: MessageLimits = MessageLimits {
    proxy_count: 8,
    attempt_duration: Span::ZERO,
};

#[test_case("joined sidecar 8 az a share 1 standing 1", "sidecar"; "a proxy that there is not")]
#[test_case("joined sidecar 1 az c share 1 standing 1", "names nothing"; "a zone that there is not")]
#[test_case("joined sidecar 1 az a share nan standing 1", "share"; "no number")]
#[test_case("joined sidecar 1 az a share 1 standing 2", "standing"; "neither yes nor no")]
#[test_case("joined sidecar 1 az a share 1", "standing"; "a field is missing")]
#[test_case("heard az a host x n 5 bad 6 avg 1 window 1000", "bad"; "more failed than were tried")]
#[test_case("heard az a host x n 5.5 bad 0 avg 1 window 1000", "`n`"; "half a try")]
#[test_case("heard az a host x n 5 bad 0 avg -1 window 1000", "avg"; "time that runs back")]
#[test_case("heard az a host x n 5 bad 0 window 1000", "avg"; "no mean of those that succeeded")]
#[test_case("heard az a host x n 5 bad 5 avg 0 window 0", "window"; "over no time")]
#[test_case("heard az a host x n 5 bad 5 window 1000 report busy:7", "report"; "busier than can be")]
#[test_case("heard az a host x n 5 bad 5 window 1000 report heat:1", "names nothing"; "an unknown figure")]
#[test_case("usage sidecar 1 kind fetch n 1 bad 0 window 1000", "names nothing"; "an unknown operation")]
#[test_case("usage sidecar 1 kind lookup n 99999999999 bad 0 window 1000", "`n`"; "more than can be")]
#[test_case("applied sidecar 1 version 70000 lag_ms 1", "version"; "a mark that can't be")]
#[test_case("applied sidecar 1 version 7 lag_ms inf", "lag_ms"; "for ever")]
#[test_case("applied sidecar 1 version 7 version 8 lag_ms 1", "twice"; "two answers in one")]
#[test_case("update drop x", "`update` is no message"; "an order")]
#[test_case("ping now", "without a value"; "a name without a value")]
fn what_can_t_be_is_refused_and_named(text: &str, why: &str) {
    let strings: Vec<&[u8]> = text.split(' ').map(str::as_bytes).collect();
    let refused: MessageError = parse(&strings, &names(), &LIMITS).expect_err("it can't be");
    assert!(refused.to_string().contains(why), "{refused}");
}

/// A publication with two listed nodes, and what a stream is told of some orders.
fn publication() -> (Publication, Membership, [NodeId; 2]) {
    let mut membership = Membership::default();
    let entries: Vec<Value> = ["x", "y"]
        .iter()
        .map(|name| {
            json!({"name": name, "address": "127.0.0.9:80", "zone": "a", "type": "k", "group": 1,
            "status": "Ready", "weight": 1.0, "since_ms": 0})
        })
        .collect();
    let list = EndpointList::parse(
        &json!({"index": 1, "snapshot": true, "endpoints": entries}),
        &names(),
    );
    membership.apply(&list.expect("a list"), CONFIGURED_SOURCE, Moment::default());
    let ids = ["x", "y"].map(|name| membership.id(name).expect("listed"));
    let mut publication = Publication::new(&names().operations);
    publication.add_stream(ProxyId(0));
    (publication, membership, ids)
}

fn told(publication: &mut Publication, membership: &Membership, actions: &[Action]) -> Vec<String> {
    assert!(actions
        .iter()
        .all(|action| publication.record(action) == ActionTarget::Proxies));
    let messages = publication.take_messages(Moment::default(), membership);
    messages
        .iter()
        .flat_map(|(_, bytes)| texts(bytes))
        .collect()
}

fn bind(table: u16, operations: &[u8]) -> Action {
    let operations = operations.iter().map(|at| OperationId(*at)).collect();
    Action::BindTable {
        proxy: ProxyId(0),
        table: TableId(table),
        operations,
    }
}

fn line(table: u16, node: NodeId, weight: f64) -> Action {
    Action::SetWeight {
        table: TableId(table),
        node,
        weight,
    }
}

fn level(table: Option<u16>, operations: &[u8], quota: f64, retry: RetryPolicy) -> Action {
    let operations = operations.iter().map(|at| OperationId(*at)).collect();
    Action::SetAdmission {
        table: table.map(TableId),
        operations,
        limit: quota,
        retry,
    }
}

#[test]
fn a_table_is_told_whole_once_and_then_by_its_changes() {
    let (mut publication, membership, [x, y]) = publication();
    let mark = |mark| Action::SendMarker {
        marker: MarkerId(mark),
        to_all: false,
    };
    let first = [line(3, x, 1.5), line(3, y, 0.1), bind(3, &[]), mark(9)];
    let said = told(&mut publication, &membership, &first);
    assert!(
        says(
            &said[0],
            &[
                "update",
                "replace",
                "1",
                "rows",
                "x:1.5,y:0.1",
                "stamp",
                "9"
            ]
        ),
        "{said:?}"
    );
    assert_eq!(
        told(&mut publication, &membership, &[line(3, x, 0.0), mark(10)]),
        ["update rows x:0 stamp 10"]
    );
    assert_eq!(
        told(&mut publication, &membership, &[line(4, x, 2.0), mark(11)]).len(),
        0,
        "another table"
    );
    assert_eq!(
        publication.acknowledge(ProxyId(0), MarkerId(10)),
        [MarkerId(9), MarkerId(10)],
        "an answer covers all before"
    );
    assert_eq!(
        publication.acknowledge(ProxyId(0), MarkerId(11)),
        [],
        "that was never sent"
    );
    let all = Action::SendMarker {
        marker: MarkerId(12),
        to_all: true,
    };
    assert_eq!(
        told(&mut publication, &membership, &[all]),
        ["update stamp 12"]
    );
    let cleared = told(
        &mut publication,
        &membership,
        &[Action::ClearTable { table: TableId(3) }],
    );
    assert_eq!(cleared, ["update replace 1"]);
}

#[test]
fn levels_go_with_the_lines_where_one_holds_for_all_and_apart_where_not() {
    let (mut publication, membership, [x, _]) = publication();
    let usual = RetryPolicy::IfUnprocessed;
    let same = [
        line(0, x, 1.0),
        level(Some(0), &[0, 1], 0.9, usual),
        bind(0, &[0, 1]),
    ];
    assert_eq!(
        told(&mut publication, &membership, &same),
        ["update replace 1 rows x:1 gate 0.9 again 1"]
    );
    let one = told(
        &mut publication,
        &membership,
        &[level(Some(0), &[1], 0.5, RetryPolicy::Never)],
    );
    assert_eq!(one, ["update for order gate 0.5 again 0"]);
    // For all: the lower level, and the table's own way of trying again.
    let all = told(
        &mut publication,
        &membership,
        &[level(None, &[], 0.7, RetryPolicy::TwiceOnAnyFailure)],
    );
    assert_eq!(
        all,
        [
            "update for lookup gate 0.7 again 1 part 1",
            "update for order gate 0.5 again 0"
        ]
    );
    let again = told(&mut publication, &membership, &[bind(0, &[0, 1])]);
    let parts = [
        "update replace 1 rows x:1 part 1",
        "update for lookup gate 0.7 again 1 part 1",
    ];
    assert_eq!(
        again[..2],
        parts,
        "what holds for all is in every whole table"
    );
}

#[test]
fn withdrawals_reach_who_holds_the_node_and_are_taken_back() {
    let (mut publication, membership, [x, y]) = publication();
    told(
        &mut publication,
        &membership,
        &[line(0, x, 1.0), bind(0, &[])],
    );
    let withdraw = |node, out| Action::EjectNode { node, ejected: out };
    assert_eq!(
        told(&mut publication, &membership, &[withdraw(y, true)]).len(),
        0,
        "it does not hold it"
    );
    assert_eq!(
        told(&mut publication, &membership, &[line(0, y, 1.0)]),
        ["update rows y:1 drop y"]
    );
    assert_eq!(
        told(&mut publication, &membership, &[withdraw(y, false)]),
        ["update undrop y"]
    );
    // A proxy keeps withdrawals over a change of streams.
    publication.remove_stream(ProxyId(0));
    publication.add_stream(ProxyId(0));
    let said = told(&mut publication, &membership, &[bind(0, &[])]);
    assert!(says(&said[0], &["undrop", "y"]), "{said:?}");
}

#[test]
fn a_list_that_is_late_changes_nothing_and_a_bad_entry_spoils_no_other() {
    let entry = |name: &str, zone: &str, status: &str| {
        json!({"name": name, "address": "127.0.0.9:80", "zone": zone, "type": "k", "group": 1,
            "status": status, "weight": 1.0, "since_ms": 5000})
    };
    let list = |version: u64, whole: bool, entries: Vec<Value>| {
        let value = json!({"index": version, "snapshot": whole, "endpoints": entries});
        EndpointList::parse(&value, &names()).expect("a list")
    };
    let mut membership = Membership::default();
    let now = Moment::default();
    let changes = list(4, false, vec![entry("x", "a", "Ready")]);
    assert_eq!(
        membership.apply(&changes, SourceId(1), now),
        None,
        "changes of nothing"
    );
    let first = list(
        4,
        true,
        vec![
            entry("x", "a", "Ready"),
            entry("y", "c", "Ready"),
            entry("z", "b", "Lost"),
        ],
    );
    assert_eq!((first.entries.len(), first.rejected.len()), (1, 2));
    assert_eq!(first.entries[0].started, Some(Moment::from_seconds(5.0)));
    assert!(membership.apply(&first, SourceId(1), now).is_some());
    assert_eq!(
        membership.apply(&list(3, true, vec![]), SourceId(1), now),
        None,
        "a list from before"
    );
    assert_eq!(
        membership.apply(&changes, SourceId(1), now),
        None,
        "changes that were in the full list"
    );
    let gone = membership.apply(
        &list(5, false, vec![entry("x", "a", "Gone")]),
        SourceId(1),
        now,
    );
    let Some(wheelspread::Event::EndpointList {
        kind: EndpointListKind::Changes,
        entries,
    }) = gone
    else {
        panic!("changes, not {gone:?}")
    };
    assert_eq!(entries[0].status, EndpointStatus::Gone);
    let later = now + Span::from_seconds(100.0);
    membership.forget_unlisted(later, Span::from_seconds(160.0), |_| false);
    assert!(membership.id("x").is_some(), "late sums may still name it");
    membership.forget_unlisted(later, Span::from_seconds(60.0), |_| true);
    assert!(membership.id("x").is_some(), "a table names it");
    membership.forget_unlisted(later, Span::from_seconds(60.0), |_| false);
    assert_eq!(membership.id("x"), None);
}

#[test]
fn a_watch_that_counts_lower_than_before_owes_the_full_list() {
    let list = |version: u64, full: bool| {
        let value = json!({"index": version, "snapshot": full, "endpoints": []});
        EndpointList::parse(&value, &names()).expect("a list")
    };
    let mut place = WatchPosition::starting_at(Some(40));
    assert!(place.advance(&list(40, false)), "nothing new");
    assert!(place.advance(&list(41, false)) && !place.advance(&list(6, false)));
    let mut place = WatchPosition::starting_at(Some(40));
    assert!(
        !place.advance(&list(6, false)),
        "what changed after 40 can't be 6"
    );
    let mut place = WatchPosition::starting_at(Some(40));
    assert!(
        place.advance(&list(6, true)),
        "the full list, of a new count"
    );
    assert!(
        place.advance(&list(7, false)) && !place.advance(&list(5, true)),
        "a full list from before"
    );
    assert!(WatchPosition::starting_at(None).advance(&list(2, false)));
}

#[test]
fn a_collector_is_spared_once_a_newer_one_has_come_for_its_zone() {
    let mut core = core();
    let now = Moment::from_seconds(EPOCH);
    let mut collect = |at: u64, zone: &str| {
        let strings = ["collector", "az", zone].map(str::as_bytes);
        assert_eq!(
            core.handle_message(now, ConnectionId(at), &strings),
            MessageOutcome::Identified
        );
        core.redundant_collector()
    };
    assert_eq!((collect(5, "a"), collect(6, "b")), (None, None));
    assert_eq!(collect(7, "a"), Some(ConnectionId(5)));
    core.handle_connection_closed(now, ConnectionId(5));
    assert_eq!(core.redundant_collector(), None);
}
