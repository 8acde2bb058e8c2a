//! Runs the scripts in `scenarios/`. A script has one step per line; `#` begins a comment:
//!
//!     TIME list VERSION NAME:ZONE[:STATUS][:AGE] ..    a complete endpoint list; `change` for changes of it
//!     TIME source N                                    the source of the lists that follow, initially 1
//!     TIME connection KEY WORDS ..                     a message received on this connection
//!     TIME acknowledge KEY [MS]                        acknowledges the newest marker sent on the connection
//!     TIME end KEY                                     the connection ends
//!     TIME idle                                        no input; the core only decides
//!     expect outcome consumed|identified|pong|close    the outcome of the last message
//!     expect received KEY WORDS ..                     a message with these words was sent on the connection
//!     expect not-received KEY [WORDS ..]               no message, or none with these words, was sent on it
//!     expect closed KEY                                the core has closed the connection; `open` for not closed
//!     expect proxies N                                 N proxies have joined
//!
//! `received` and `not-received` cover the messages since the previous such expectation on the connection. The core
//! decides after each step. `FROM..TO/INTERVAL` as TIME repeats a step, every second without an INTERVAL. The
//! steps between two expectations run in the order of their times.

use super::{contains_words, core, decode_messages, endpoint, START_SECONDS};
use crate::{ConnectionId, ControllerCore, EndpointList, MessageOutcome, Output, SourceId};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use test_case::test_case;
use wheelspread::time::Moment;

const FIRST_SOURCE: SourceId = SourceId(1);
const USUAL_LATENCY_MILLIS: &str = "300.5";

struct ScenarioRunner {
    core: ControllerCore,
    /// The current time in seconds.
    now: f64,
    last_outcome: MessageOutcome,
    /// The messages sent on each connection since the last expectation on them.
    received: BTreeMap<ConnectionId, Vec<String>>,
    newest_markers: BTreeMap<ConnectionId, String>,
    closed: Vec<ConnectionId>,
    source: SourceId,
}

/// A step of a script.
struct Step<'a> {
    time: f64,
    words: Vec<&'a str>,
}

fn parse<T: std::str::FromStr>(word: &str) -> T {
    word.parse()
        .unwrap_or_else(|_| panic!("{word} can't be parsed"))
}

fn connection(word: &str) -> ConnectionId {
    ConnectionId(parse(word))
}

impl ScenarioRunner {
    fn new() -> ScenarioRunner {
        ScenarioRunner {
            core: core(),
            now: START_SECONDS,
            last_outcome: MessageOutcome::Consumed,
            received: BTreeMap::new(),
            newest_markers: BTreeMap::new(),
            closed: Vec::new(),
            source: FIRST_SOURCE,
        }
    }

    fn run_step(&mut self, step: &Step) {
        self.now = START_SECONDS + step.time;
        let now = Moment::from_seconds(self.now);
        match &step.words[..] {
            ["list", version, entries @ ..] => self.send_list(version, true, entries),
            ["change", version, entries @ ..] => self.send_list(version, false, entries),
            ["source", number] => self.source = SourceId(parse(number)),
            ["connection", key, words @ ..] => self.send(connection(key), words),
            ["acknowledge", key] => self.acknowledge(connection(key), USUAL_LATENCY_MILLIS),
            ["acknowledge", key, latency] => self.acknowledge(connection(key), latency),
            ["end", key] => self.core.handle_connection_closed(now, connection(key)),
            ["idle"] => {}
            other => panic!("unknown step: {other:?}"),
        }
        for output in self.core.decide(now) {
            self.record(output);
        }
    }

    fn send_list(&mut self, version: &str, complete: bool, entries: &[&str]) {
        let entries: Vec<Value> = entries.iter().map(|entry| self.entry(entry)).collect();
        let version: u64 = parse(version);
        let value = json!({"index": version, "snapshot": complete, "endpoints": entries});
        let list = EndpointList::parse(&value, self.core.names()).expect("the list is valid");
        let now = Moment::from_seconds(self.now);
        self.core.handle_endpoint_list(now, &list, self.source);
    }

    fn entry(&self, text: &str) -> Value {
        let parts: Vec<&str> = text.split(':').collect();
        let status = parts
            .get(2)
            .filter(|status| !status.is_empty())
            .unwrap_or(&"Ready");
        let since_millis = parts
            .get(3)
            .map_or(0.0, |age| (self.now - parse::<f64>(age)) * 1e3);
        endpoint(parts[0], parts[1], status, since_millis)
    }

    fn send(&mut self, connection: ConnectionId, words: &[&str]) {
        let strings: Vec<&[u8]> = words.iter().map(|word| word.as_bytes()).collect();
        let now = Moment::from_seconds(self.now);
        self.last_outcome = self.core.handle_message(now, connection, &strings);
    }

    /// Acknowledges the newest marker. The last digit of the connection id is the proxy id.
    fn acknowledge(&mut self, connection: ConnectionId, latency_millis: &str) {
        let marker = self.newest_markers.get(&connection).cloned();
        let marker = marker.expect("the connection was sent a marker");
        let proxy = (connection.0 % 10).to_string();
        let words = [
            "applied",
            "sidecar",
            &proxy,
            "version",
            &marker,
            "lag_ms",
            latency_millis,
        ];
        self.send(connection, &words);
    }

    fn record(&mut self, output: Output) {
        match output {
            Output::Write { connection, bytes } => {
                for text in decode_messages(&bytes) {
                    if let Some((_, rest)) = text.split_once("stamp ") {
                        let marker = rest.split(' ').next().unwrap_or("");
                        self.newest_markers.insert(connection, marker.to_string());
                    }
                    self.received.entry(connection).or_default().push(text);
                }
            }
            Output::Close { connection, .. } => self.closed.push(connection),
            _ => {}
        }
    }

    fn expect(&mut self, line: &str, words: &[&str]) {
        match words {
            ["outcome", expected] => assert_eq!(self.outcome(), *expected, "{line}"),
            ["received", key, words @ ..] => {
                let received = self.take_received(key);
                let has_arrived = received.iter().any(|text| contains_words(text, words));
                assert!(has_arrived, "{line}\nbut {received:#?}");
            }
            ["not-received", key, words @ ..] => {
                let received = self.take_received(key);
                let is_unexpected = |text: &String| words.is_empty() || contains_words(text, words);
                assert!(
                    !received.iter().any(is_unexpected),
                    "{line}\nbut {received:#?}"
                );
            }
            ["closed", key] => assert!(self.is_closed(key), "{line}\nbut {:?}", self.closed),
            ["open", key] => assert!(!self.is_closed(key), "{line}\nbut {:?}", self.closed),
            ["proxies", count] => assert_eq!(self.core.proxy_count().to_string(), *count, "{line}"),
            other => panic!("unknown expectation: {other:?}"),
        }
    }

    fn outcome(&self) -> &'static str {
        match &self.last_outcome {
            MessageOutcome::Consumed => "consumed",
            MessageOutcome::Identified => "identified",
            MessageOutcome::Pong => "pong",
            MessageOutcome::Close(_) => "close",
        }
    }

    fn take_received(&mut self, key: &str) -> Vec<String> {
        self.received.remove(&connection(key)).unwrap_or_default()
    }

    fn is_closed(&self, key: &str) -> bool {
        self.closed.contains(&connection(key))
    }

    fn run_steps(&mut self, steps: &mut Vec<Step>) {
        steps.sort_by(|a, b| a.time.total_cmp(&b.time));
        for step in steps.drain(..) {
            self.run_step(&step);
        }
    }
}

/// The steps of a line, one for each time in its range.
fn expand<'a>(time: &str, words: &[&'a str]) -> Vec<Step<'a>> {
    let (from, to) = time.split_once("..").unwrap_or((time, time));
    let (to, interval) = to.split_once('/').unwrap_or((to, "1"));
    let (from, to, interval): (f64, f64, f64) = (parse(from), parse(to), parse(interval));
    let count = ((to - from) / interval).round() as usize;
    (0..=count)
        .map(|index| Step {
            time: from + interval * index as f64,
            words: words.to_vec(),
        })
        .collect()
}

#[test_case(include_str!("../../scenarios/join.txt"); "a join is sent the complete table and then changes")]
#[test_case(include_str!("../../scenarios/handshake.txt"); "messages that each kind of peer may send")]
#[test_case(include_str!("../../scenarios/spoilt.txt"); "invalid reports and acknowledgements are ignored")]
#[test_case(include_str!("../../scenarios/streams.txt"); "proxies whose streams end join again")]
#[test_case(include_str!("../../scenarios/silent.txt"); "silent streams are closed")]
#[test_case(include_str!("../../scenarios/crossing.txt"); "a newer stream of a proxy replaces the older one")]
#[test_case(include_str!("../../scenarios/sources.txt"); "discovery that changes its address or restarts its versions")]
#[test_case(include_str!("../../scenarios/lists.txt"); "lists that arrive late or repeatedly")]
#[test_case(include_str!("../../scenarios/wrong_latency.txt"); "a wrong acknowledgement latency does not keep silent streams open")]
fn scenario_meets_its_expectations(script: &str) {
    let mut runner = ScenarioRunner::new();
    let mut steps = Vec::new();
    for line in script.lines() {
        let line = line.split('#').next().unwrap_or("").trim();
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.split_first() {
            None => {}
            Some((&"expect", rest)) => {
                runner.run_steps(&mut steps);
                runner.expect(line, rest);
            }
            Some((time, rest)) => steps.extend(expand(time, rest)),
        }
    }
    runner.run_steps(&mut steps);
}
