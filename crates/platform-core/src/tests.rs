//! Tests of the protocol state, with shared settings and helpers for messages as space-separated words.

mod endpoint_lists;
mod messages;
mod publication;
mod scenarios;

use crate::ControllerCore;
use serde_json::{json, Value};
use wheelspread::time::Moment;
use wheelspread_resp::{Decoder, Limits};
use wheelspread_settings::{from_wire, Names};

const START_SECONDS: f64 = 1000.0;

/// Settings in a platform's format.
fn platform_settings() -> Value {
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
    let value = platform_settings();
    ControllerCore::start(
        Moment::from_seconds(START_SECONDS),
        7,
        from_wire(&value),
        Names::from_wire(&value),
    )
    .expect("the settings are valid")
}

/// Decodes the messages in these bytes, each as space-separated words.
fn decode_messages(bytes: &[u8]) -> Vec<String> {
    let mut decoder = Decoder::new(Limits {
        message_bytes: 1 << 20,
        strings: 64,
    });
    decoder.feed(bytes);
    let mut texts = Vec::new();
    while let Some(strings) = decoder
        .next_message()
        .expect("the bytes are valid messages")
    {
        let words: Vec<_> = strings
            .iter()
            .map(|string| String::from_utf8_lossy(string))
            .collect();
        texts.push(words.join(" "));
    }
    texts
}

/// Whether a message contains these words in sequence. `*` matches any word. A word that is a comma-separated list
/// matches a list with at least these items.
fn contains_words(text: &str, words: &[&str]) -> bool {
    let actual: Vec<&str> = text.split(' ').collect();
    // `NAME:*` matches an entry of that node with any weight.
    let is_item = |actual: &str, word: &str| match word.strip_suffix('*') {
        Some(head) if head.ends_with(':') => actual.starts_with(head),
        _ => actual == word,
    };
    let matches = |(actual, word): (&&str, &&str)| {
        *word == "*"
            || word
                .split(',')
                .all(|word| actual.split(',').any(|item| is_item(item, word)))
    };
    actual
        .windows(words.len())
        .any(|some| some.iter().zip(words).all(matches))
}

fn names() -> Names {
    Names::from_wire(&platform_settings())
}

/// An entry of an endpoint list.
fn endpoint(name: &str, zone: &str, status: &str, since_millis: f64) -> Value {
    json!({"name": name, "address": "127.0.0.9:80", "zone": zone, "type": "k", "group": 1,
        "status": status, "weight": 1.0, "since_ms": since_millis})
}
