//! How long a change takes to be held by all clients of discovery streams, what goes over the sockets for it,
//! and what a stream costs the conductor.

use super::bench::{io, memory_of, Bench};
use super::conductor::file;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::Introduction;
use wheelspread_discovery::{Ask, Kind, Mode};
use wheelspread_drill::{cpu_of, proxy_name, DrillError};
use wheelspread_grpc::{ClientConnection, ClientEvent, Limits};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};
use wheelspread_xds::discovery;

#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    pub nodes: usize,
    pub streams: usize,
    /// From a list that was swapped in to a client that has all of the version, in milliseconds.
    pub list_to_held_ms_p50: f64,
    pub list_to_held_ms_p99: f64,
    /// To the last whose tables it changed, at the slowest change.
    pub list_to_all_ms: f64,
    /// From the first connection to the last client's first tables, in milliseconds.
    pub all_joined_ms: f64,
    /// The same after all streams broke at once.
    pub all_again_ms: f64,
    /// For one client: bytes of its first tables, and of one change, with the lines in each.
    pub whole_bytes: f64,
    pub change_bytes: f64,
    pub whole_lines: f64,
    pub change_lines: f64,
    /// Of the conductor, for each stream, in KiB; and seconds of CPU a second while a list changes each second.
    pub memory_kib: f64,
    pub cpu: f64,
}

struct Peer {
    connection: ClientConnection,
    who: Introduction,
    bytes: u64,
    lines: u64,
    /// Versions of which all has come.
    complete: u64,
}

const ASKED: [(Kind, &str); 3] = [
    (Kind::Endpoints, discovery::LINES_APART),
    (Kind::Lines, discovery::LINE),
    (Kind::Routes, discovery::OPERATIONS),
];
const NAMES: [&str; 2] = ["quote", "plan"];

fn hello(kind: Kind, prefix: &str) -> Ask {
    let names = match kind {
        Kind::Endpoints => NAMES.iter().map(|name| format!("{prefix}{name}")).collect(),
        Kind::Lines => NAMES
            .iter()
            .map(|name| format!("{prefix}{name}/*"))
            .collect(),
        _ => vec![prefix.to_string()],
    };
    let mode = Mode::Delta {
        subscribe: names,
        unsubscribe: Vec::new(),
        holds: BTreeMap::new(),
    };
    Ask {
        kind,
        nonce: String::new(),
        error: None,
        mode,
    }
}

impl Peer {
    /// `true`: it has all of another version.
    fn turn(&mut self, now: Moment) -> Result<bool, DrillError> {
        let mut complete = false;
        loop {
            let (events, over) = self.connection.turn(now);
            if events.is_empty() {
                let ended = |reason| Err(DrillError::NotReady(format!("a stream ended: {reason}")));
                return over.map_or(Ok(complete), ended);
            }
            for event in events {
                complete |= self.event(event)?;
            }
        }
    }

    fn event(&mut self, event: ClientEvent) -> Result<bool, DrillError> {
        match event {
            ClientEvent::Opened => {
                for (at, (kind, prefix)) in ASKED.iter().enumerate() {
                    let who = (at == 0).then_some(&self.who);
                    self.connection
                        .send(&discovery::ask(who, None, &hello(*kind, prefix)));
                }
                Ok(false)
            }
            ClientEvent::Message { bytes } => {
                let told = discovery::read_told(&bytes);
                let told = told.map_err(|error| DrillError::NotReady(error.to_string()))?;
                self.bytes += bytes.len() as u64;
                if told.kind == Kind::Lines {
                    self.lines += (told.delta.changed.len() + told.delta.removed.len()) as u64;
                }
                let complete = told.kind == Kind::Routes;
                self.complete += u64::from(complete);
                let mode = Mode::Delta {
                    subscribe: vec![],
                    unsubscribe: vec![],
                    holds: BTreeMap::new(),
                };
                let ask = Ask {
                    kind: told.kind,
                    nonce: told.nonce,
                    error: None,
                    mode,
                };
                self.connection.send(&discovery::ask(None, None, &ask));
                Ok(complete)
            }
        }
    }
}

/// Lets streams go on until `until`, or until `done` says so of one that has another version.
fn turn(
    poll: &mut Poll,
    peers: &mut [Peer],
    until: Moment,
    mut done: impl FnMut(usize, Moment) -> bool,
) -> Result<(), DrillError> {
    let mut ready = Vec::new();
    loop {
        let now = reactor::now();
        if now >= until || poll.wait(until - now, &mut ready).is_err() {
            return Ok(());
        }
        for ready in ready.drain(..) {
            let number = ready.token.0 as usize;
            let now = reactor::now();
            if peers[number].turn(now)? && done(number, now) {
                return Ok(());
            }
        }
    }
}

pub fn measure(
    program: &Path,
    nodes: usize,
    streams: usize,
    rounds: u32,
) -> Result<Measured, DrillError> {
    let mut bench = Bench::new(nodes)?;
    bench.start(program, |listen| {
        file(listen, streams)
            .replace(
                "list: nodes.json",
                "list: nodes.json, connections_at_most: 20000",
            )
            .replace(
                "delay_at_most: 500ms",
                "delay_at_most: 500ms, messages_at_most: 60",
            )
            .replace(
                "deployment:",
                "deployment:\n  fronts: {files: false, streams: true}",
            )
    })?;
    go(&bench, nodes, streams, rounds)
}

/// Connects all at once; how long until each has tables, in milliseconds.
fn join(
    poll: &mut Poll,
    listen: ([u8; 4], u16),
    streams: usize,
) -> Result<(Vec<Peer>, f64), DrillError> {
    let mut peers = Vec::new();
    let begin = reactor::now();
    for number in 0..streams {
        let socket = reactor::connect(listen.0, listen.1).map_err(io("a stream"))?;
        poll.add(&socket, Token(number as u64), Interest::Edges)
            .map_err(io("a stream"))?;
        let connection = ClientConnection::new(begin, socket, discovery::DELTA, Limits::default());
        let zone = ["a", "b", "c"][number % 3].to_string();
        let who = Introduction {
            name: proxy_name(number),
            zone,
            usual_rate: None,
        };
        peers.push(Peer {
            connection,
            who,
            bytes: 0,
            lines: 0,
            complete: 0,
        });
    }
    let mut first = BTreeSet::new();
    let mut last = begin;
    turn(
        poll,
        &mut peers,
        begin + Span::from_seconds(60.0),
        |number, at| {
            if first.insert(number) {
                last = at;
            }
            first.len() == streams
        },
    )?;
    if first.len() < streams {
        return Err(DrillError::NotReady(format!(
            "{} of {streams} clients got tables",
            first.len()
        )));
    }
    Ok((peers, (last - begin).seconds() * 1e3))
}

fn go(bench: &Bench, nodes: usize, streams: usize, rounds: u32) -> Result<Measured, DrillError> {
    let seconds = Span::from_seconds;
    let (pid, listen) = (bench.pid(), bench.listen());
    let empty = memory_of(pid);
    let mut poll = Poll::new().map_err(io("epoll"))?;
    let (mut peers, all_joined_ms) = join(&mut poll, listen, streams)?;
    let count = |peers: &[Peer]| {
        let sum = |of: fn(&Peer) -> u64| peers.iter().map(of).sum::<u64>() as f64 / streams as f64;
        (sum(|peer| peer.bytes), sum(|peer| peer.lines))
    };
    let whole = count(&peers);
    turn(
        &mut poll,
        &mut peers,
        reactor::now() + seconds(3.0),
        |_, _| false,
    )?;
    let settled = count(&peers);
    let mut times =
        Histogram::<u64>::new(3).map_err(|error| DrillError::NotReady(error.to_string()))?;
    let (mut slowest, cpu_before, since) = (0.0f64, cpu_of(pid), reactor::now());
    for round in 0..rounds {
        // One node drains and the one before it comes back: lines of every table change.
        let at = reactor::now();
        bench.swap_list(
            u64::from(round) + 2,
            &BTreeSet::from([(round as usize * 7) % nodes]),
        )?;
        let mut seen = BTreeSet::new();
        turn(&mut poll, &mut peers, at + seconds(1.0), |number, now| {
            if seen.insert(number) {
                let _ = times.record((now - at).micros().max(1) as u64);
                slowest = slowest.max((now - at).seconds());
            }
            false
        })?;
    }
    let spent = (reactor::now() - since).seconds();
    let changed = count(&peers);
    let memory_kib = (memory_of(pid) - empty) / streams as f64;
    // All lose their streams at once and come again, saying nothing of what they hold.
    drop(peers);
    let (_, all_again_ms) = join(&mut poll, listen, streams)?;
    let each = |from: f64, to: f64| (to - from) / f64::from(rounds.max(1));
    Ok(Measured {
        nodes,
        streams,
        list_to_held_ms_p50: times.value_at_quantile(0.5) as f64 / 1e3,
        list_to_held_ms_p99: times.value_at_quantile(0.99) as f64 / 1e3,
        list_to_all_ms: slowest * 1e3,
        all_joined_ms,
        all_again_ms,
        whole_bytes: whole.0,
        change_bytes: each(settled.0, changed.0),
        whole_lines: whole.1,
        change_lines: each(settled.1, changed.1),
        memory_kib,
        cpu: (cpu_of(pid) - cpu_before) / spent,
    })
}
