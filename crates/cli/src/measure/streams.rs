//! How long a change takes to be held by all clients of discovery streams, what goes over the sockets for it,
//! and what a stream costs the controller.

use super::controller;
use super::controller_process::ControllerProcess;
use super::error::{io, not_ready, MeasureError};
use super::fleet_config::{controller_file, draining_in_round, introduction};
use super::sampling::{resident_kib, CpuMeter, FirstTables, Latencies};
use super::{program, SIZES};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_discovery::{Request, ResourceType};
use wheelspread_grpc::{ClientConnection, ClientEvent, Limits};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};
use wheelspread_xds::discovery;

/// Messages to one client, on average over all.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Bytes of the messages.
    pub bytes: f64,
    /// Entries of tables in them, changed or removed.
    pub entries: f64,
}

/// Figures of one size.
#[derive(Clone, Debug)]
pub struct Measured {
    /// From a swapped endpoint list to a client that has all of the version, in milliseconds: the median.
    pub list_to_held_ms_p50: f64,
    /// The same at the 99th percentile.
    pub list_to_held_ms_p99: f64,
    /// To the last whose tables it changed, at the slowest change.
    pub list_to_all_ms: f64,
    /// From the first connection to the last client's first tables, in milliseconds.
    pub all_joined_ms: f64,
    /// The same after all streams broke at once.
    pub all_again_ms: f64,
    /// Traffic to one client for its first tables.
    pub first_tables: Traffic,
    /// Traffic to one client for one change.
    pub change: Traffic,
    /// Memory of the controller for each stream.
    pub memory_kib: f64,
    /// Seconds of the controller's CPU a second while the endpoint list changes each second.
    pub cpu: f64,
}

/// A client of a discovery stream.
struct StreamClient {
    connection: ClientConnection,
    introduction: ProxyIdentity,
    bytes: u64,
    entries: u64,
}

/// How long all clients together may take until they have tables.
const JOIN_TIMEOUT: Span = Span::from_seconds(60.0);
/// After the join, before the endpoint list changes.
const SETTLE_TIME: Span = Span::from_seconds(3.0);
/// Between two changes of the endpoint list.
const ROUND_TIME: Span = Span::from_seconds(1.0);
/// More proxies than this are not measured with files.
const FILE_PROXIES_AT_MOST: usize = 890;
/// What each client subscribes to: a resource type and the prefix of its names.
const SUBSCRIPTIONS: [(ResourceType, &str); 3] = [
    (ResourceType::Endpoints, discovery::LEDS_ASSIGNMENT_PREFIX),
    (ResourceType::Entries, discovery::ENTRY_PREFIX),
    (ResourceType::Routes, discovery::ALL_OPERATIONS),
];
/// The operations of the measured controller.
const OPERATIONS: [&str; 2] = ["quote", "plan"];

/// The first request for a resource type.
fn subscribe(resource_type: ResourceType, prefix: &str) -> Request {
    let subscribed = match resource_type {
        ResourceType::Endpoints => OPERATIONS
            .iter()
            .map(|name| format!("{prefix}{name}"))
            .collect(),
        ResourceType::Entries => OPERATIONS
            .iter()
            .map(|name| format!("{prefix}{name}/*"))
            .collect(),
        _ => vec![prefix.to_string()],
    };
    Request::delta_subscribe(resource_type, subscribed, BTreeMap::new())
}

impl StreamClient {
    /// Reads and answers what has come; `true` if it now has all of another version.
    fn turn(&mut self, now: Moment) -> Result<bool, MeasureError> {
        let mut complete = false;
        loop {
            let (events, close_reason) = self.connection.turn(now);
            if events.is_empty() {
                let ended = |reason| Err(not_ready(format!("a stream ended: {reason}")));
                return close_reason.map_or(Ok(complete), ended);
            }
            for event in events {
                complete |= self.event(event)?;
            }
        }
    }

    fn event(&mut self, event: ClientEvent) -> Result<bool, MeasureError> {
        match event {
            ClientEvent::Opened => {
                for (at, (resource_type, prefix)) in SUBSCRIPTIONS.iter().enumerate() {
                    let introduction = (at == 0).then_some(&self.introduction);
                    self.connection.send(&discovery::encode_delta_request(
                        introduction,
                        None,
                        &subscribe(*resource_type, prefix),
                    ));
                }
                Ok(false)
            }
            ClientEvent::Message { bytes } => self.handle_message(&bytes),
        }
    }

    /// Counts and acknowledges a response; `true` if it is the last of its version.
    fn handle_message(&mut self, bytes: &[u8]) -> Result<bool, MeasureError> {
        let response = discovery::decode_delta_response(bytes).map_err(not_ready)?;
        self.bytes += bytes.len() as u64;
        if response.resource_type == ResourceType::Entries {
            let delta = &response.update;
            self.entries += (delta.changed.len() + delta.removed.len()) as u64;
        }
        let acknowledgement = Request::delta_ack(response.resource_type, response.nonce);
        self.connection.send(&discovery::encode_delta_request(
            None,
            None,
            &acknowledgement,
        ));
        Ok(response.resource_type == ResourceType::Routes)
    }
}

/// Lets streams go on until `until`, or until `done` says so of one that has another version.
fn turn(
    poll: &mut Poll,
    clients: &mut [StreamClient],
    until: Moment,
    mut done: impl FnMut(usize, Moment) -> bool,
) -> Result<(), MeasureError> {
    let mut ready = Vec::new();
    loop {
        let now = reactor::now();
        if now >= until || poll.wait(until - now, &mut ready).is_err() {
            return Ok(());
        }
        for ready in ready.drain(..) {
            let number = ready.token.0 as usize;
            let now = reactor::now();
            if clients[number].turn(now)? && done(number, now) {
                return Ok(());
            }
        }
    }
}

/// Starts a controller of that size and changes its endpoint list once a second.
pub fn measure(
    program: &Path,
    nodes: usize,
    streams: usize,
    rounds: u32,
) -> Result<Measured, MeasureError> {
    let mut controller = ControllerProcess::new(nodes)?;
    controller.start(program, |listen| streams_file(listen, streams))?;
    measure_running(&controller, nodes, streams, rounds)
}

/// The configuration of a controller that publishes by streams only.
fn streams_file(listen: &str, streams: usize) -> String {
    controller_file(listen, streams)
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
}

/// Connects all at once; how long until each has tables, in milliseconds.
fn join(
    poll: &mut Poll,
    listen: ([u8; 4], u16),
    streams: usize,
) -> Result<(Vec<StreamClient>, f64), MeasureError> {
    let mut clients = Vec::new();
    let begin = reactor::now();
    for number in 0..streams {
        let socket = reactor::connect(listen.0, listen.1).map_err(io("a stream"))?;
        poll.add(&socket, Token(number as u64), Interest::Edges)
            .map_err(io("a stream"))?;
        clients.push(StreamClient {
            connection: ClientConnection::new(
                begin,
                socket,
                discovery::DELTA_METHOD,
                Limits::default(),
            ),
            introduction: introduction(number),
            bytes: 0,
            entries: 0,
        });
    }
    let mut first = FirstTables::since(begin);
    turn(poll, &mut clients, begin + JOIN_TIMEOUT, |number, at| {
        first.record(number, at) == streams
    })?;
    Ok((clients, first.all_joined_ms(streams, "clients")?))
}

/// What the clients received so far, each on average.
fn mean_traffic(clients: &[StreamClient]) -> Traffic {
    let mean = |of: fn(&StreamClient) -> u64| {
        clients.iter().map(of).sum::<u64>() as f64 / clients.len() as f64
    };
    Traffic {
        bytes: mean(|client| client.bytes),
        entries: mean(|client| client.entries),
    }
}

/// How long the clients take to hold a change.
struct ChangeLatencies {
    all: Latencies,
    slowest_seconds: f64,
}

/// Changes the endpoint list once a second.
fn change_list(
    controller: &ControllerProcess,
    poll: &mut Poll,
    clients: &mut [StreamClient],
    nodes: usize,
    rounds: u32,
) -> Result<ChangeLatencies, MeasureError> {
    let mut latencies = ChangeLatencies {
        all: Latencies::new()?,
        slowest_seconds: 0.0,
    };
    for round in 0..rounds {
        let at = reactor::now();
        controller.swap_list(u64::from(round) + 2, &draining_in_round(round, nodes))?;
        let mut seen = BTreeSet::new();
        turn(poll, clients, at + ROUND_TIME, |number, now| {
            if seen.insert(number) {
                latencies.all.record(now - at);
                latencies.slowest_seconds = latencies.slowest_seconds.max((now - at).seconds());
            }
            false
        })?;
    }
    Ok(latencies)
}

fn measure_running(
    controller: &ControllerProcess,
    nodes: usize,
    streams: usize,
    rounds: u32,
) -> Result<Measured, MeasureError> {
    let (pid, listen) = (controller.pid(), controller.listen());
    let kib_before = resident_kib(pid);
    let mut poll = Poll::new().map_err(io("epoll"))?;
    let (mut clients, all_joined_ms) = join(&mut poll, listen, streams)?;
    let first_tables = mean_traffic(&clients);
    let settled_at = reactor::now() + SETTLE_TIME;
    turn(&mut poll, &mut clients, settled_at, |_, _| false)?;
    let settled = mean_traffic(&clients);
    let cpu = CpuMeter::start(pid);
    let latencies = change_list(controller, &mut poll, &mut clients, nodes, rounds)?;
    let seconds = cpu.elapsed_seconds();
    let changed = mean_traffic(&clients);
    let memory_kib = (resident_kib(pid) - kib_before) / streams as f64;
    // All lose their streams at once and join again, without versions that they hold.
    drop(clients);
    let (_, all_again_ms) = join(&mut poll, listen, streams)?;
    let per_change = |from: f64, to: f64| (to - from) / f64::from(rounds.max(1));
    Ok(Measured {
        list_to_held_ms_p50: latencies.all.milliseconds_at(0.5),
        list_to_held_ms_p99: latencies.all.milliseconds_at(0.99),
        list_to_all_ms: latencies.slowest_seconds * 1e3,
        all_joined_ms,
        all_again_ms,
        first_tables,
        change: Traffic {
            bytes: per_change(settled.bytes, changed.bytes),
            entries: per_change(settled.entries, changed.entries),
        },
        memory_kib,
        cpu: cpu.per_second(seconds),
    })
}

/// Measures all sizes and prints them, the small ones beside proxies that read files.
pub fn run(rounds: u32, many: usize, last: bool) -> Result<(), MeasureError> {
    let program = program()?;
    say!("nodes x streams: change held by p50, p99, all (ms); joined, all again (ms); bytes and lines of a first table, of a change; KiB a stream; CPU");
    let skipped = if last { SIZES.len() + 1 } else { 0 };
    let sizes = SIZES.into_iter().chain([(20, 1000), (20, many)]);
    for (nodes, count) in sizes.skip(skipped) {
        let measured = measure(&program, nodes, count, rounds)
            .map_err(|error| error.at_size(nodes, count, "streams"))?;
        say!(
            "{nodes} x {count}: {:.0}, {:.0}, {:.0}; {:.0}, {:.0}; {:.0} and {:.0}, {:.0} and {:.1}; {:.1}; {:.2}",
            measured.list_to_held_ms_p50,
            measured.list_to_held_ms_p99,
            measured.list_to_all_ms,
            measured.all_joined_ms,
            measured.all_again_ms,
            measured.first_tables.bytes,
            measured.first_tables.entries,
            measured.change.bytes,
            measured.change.entries,
            measured.memory_kib,
            measured.cpu
        );
        if count <= FILE_PROXIES_AT_MOST {
            let files = controller::measure(&program, nodes, count, rounds)
                .map_err(|error| error.at_size(nodes, count, "proxies"))?;
            say!(
                "  files: {:.0}, {:.0}; {:.0}; CPU with sums {:.2}",
                files.list_to_link_ms_p50,
                files.list_to_link_ms_p99,
                files.all_joined_ms,
                files.cpu
            );
        }
    }
    Ok(())
}
