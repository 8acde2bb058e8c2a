//! Measures discovery streams: the time until all clients hold a change, the traffic for a change, and the controller's
//! memory and CPU time per stream.

use super::controller;
use super::controller_process::ControllerProcess;
use super::error::{io, not_ready, MeasureError};
use super::fleet_config::{controller_file, draining_in_round, proxy_identity};
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

/// The traffic to one client, averaged over all clients.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// The size of the messages, in bytes.
    pub bytes: f64,
    /// The number of changed and removed table entries in the messages.
    pub entries: f64,
}

/// The figures of one fleet size.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The median time from a replaced endpoint list until a client has the complete version, in milliseconds.
    pub list_to_held_ms_p50: f64,
    /// The 99th percentile of the same time, in milliseconds.
    pub list_to_held_ms_p99: f64,
    /// The time until the last client whose tables changed has the version, at the slowest change, in milliseconds.
    pub list_to_all_ms: f64,
    /// The time from the first connection to the last client's first tables, in milliseconds.
    pub all_joined_ms: f64,
    /// The same time after all streams were closed at once, in milliseconds.
    pub all_rejoined_ms: f64,
    /// The traffic to one client for its first tables.
    pub first_tables: Traffic,
    /// The traffic to one client for one change.
    pub change: Traffic,
    /// The controller's resident memory per stream, in KiB.
    pub memory_kib: f64,
    /// The controller's CPU seconds per second while the endpoint list changes once per second.
    pub cpu: f64,
}

/// A client of a discovery stream.
struct StreamClient {
    connection: ClientConnection,
    proxy_identity: ProxyIdentity,
    bytes: u64,
    entries: u64,
}

/// The time limit for all clients to receive their first tables.
const JOIN_TIMEOUT: Span = Span::from_seconds(60.0);
/// The time between the join and the first change of the endpoint list.
const SETTLE_TIME: Span = Span::from_seconds(3.0);
/// The time between two changes of the endpoint list.
const ROUND_TIME: Span = Span::from_seconds(1.0);
/// The maximum number of proxies for which the measurement is repeated with files.
const MAX_FILE_PROXIES: usize = 890;
/// The resource types that each client subscribes to, each with the prefix of its resource names.
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
    /// Reads and acknowledges the received messages; returns `true` if they complete a version.
    fn turn(&mut self, now: Moment) -> Result<bool, MeasureError> {
        let mut complete = false;
        loop {
            let (events, close_reason) = self.connection.turn(now);
            if events.is_empty() {
                let ended = |reason| Err(not_ready(format!("a stream ended: {reason}")));
                return close_reason.map_or(Ok(complete), ended);
            }
            for event in events {
                complete |= self.handle_event(event)?;
            }
        }
    }

    fn handle_event(&mut self, event: ClientEvent) -> Result<bool, MeasureError> {
        match event {
            ClientEvent::Opened => {
                for (index, (resource_type, prefix)) in SUBSCRIPTIONS.iter().enumerate() {
                    let proxy_identity = (index == 0).then_some(&self.proxy_identity);
                    self.connection.send(&discovery::encode_delta_request(
                        proxy_identity,
                        None,
                        &subscribe(*resource_type, prefix),
                    ));
                }
                Ok(false)
            }
            ClientEvent::Message { bytes } => self.handle_message(&bytes),
        }
    }

    /// Counts and acknowledges a response; returns `true` if it is the last one of its version.
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

/// Handles events until `until`. Calls `done` with each client that completes a version and the time, and returns early
/// if it returns `true`.
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
            let client = ready.token.0 as usize;
            let now = reactor::now();
            if clients[client].turn(now)? && done(client, now) {
                return Ok(());
            }
        }
    }
}

/// Starts a controller for a fleet of this size and changes its endpoint list once per second.
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

/// The text of the configuration of a controller that publishes tables over streams only.
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

/// Connects all clients at once; returns them and the time until each has tables, in milliseconds.
fn join(
    poll: &mut Poll,
    listen: ([u8; 4], u16),
    streams: usize,
) -> Result<(Vec<StreamClient>, f64), MeasureError> {
    let mut clients = Vec::new();
    let begin = reactor::now();
    for client in 0..streams {
        let socket = reactor::connect(listen.0, listen.1).map_err(io("a stream"))?;
        poll.add(&socket, Token(client as u64), Interest::Edges)
            .map_err(io("a stream"))?;
        clients.push(StreamClient {
            connection: ClientConnection::new(
                begin,
                socket,
                discovery::DELTA_METHOD,
                Limits::default(),
            ),
            proxy_identity: proxy_identity(client),
            bytes: 0,
            entries: 0,
        });
    }
    let mut first_tables = FirstTables::since(begin);
    turn(poll, &mut clients, begin + JOIN_TIMEOUT, |client, at| {
        first_tables.record(client, at) == streams
    })?;
    Ok((clients, first_tables.all_joined_ms(streams, "clients")?))
}

/// The mean traffic to a client so far.
fn mean_traffic(clients: &[StreamClient]) -> Traffic {
    let mean = |of: fn(&StreamClient) -> u64| {
        clients.iter().map(of).sum::<u64>() as f64 / clients.len() as f64
    };
    Traffic {
        bytes: mean(|client| client.bytes),
        entries: mean(|client| client.entries),
    }
}

/// The times until the clients hold a change.
struct ChangeLatencies {
    all: Latencies,
    slowest_seconds: f64,
}

/// Changes the endpoint list once per second and measures the time until the clients hold each change.
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
        let begin = reactor::now();
        controller.swap_list(u64::from(round) + 2, &draining_in_round(round, nodes))?;
        let mut updated_clients = BTreeSet::new();
        turn(poll, clients, begin + ROUND_TIME, |client, now| {
            if updated_clients.insert(client) {
                latencies.all.record(now - begin);
                latencies.slowest_seconds = latencies.slowest_seconds.max((now - begin).seconds());
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
    // All clients lose their streams at once and join again, without naming versions that they already hold.
    drop(clients);
    let (_, all_rejoined_ms) = join(&mut poll, listen, streams)?;
    let per_change = |from: f64, to: f64| (to - from) / f64::from(rounds.max(1));
    Ok(Measured {
        list_to_held_ms_p50: latencies.all.milliseconds_at(0.5),
        list_to_held_ms_p99: latencies.all.milliseconds_at(0.99),
        list_to_all_ms: latencies.slowest_seconds * 1e3,
        all_joined_ms,
        all_rejoined_ms,
        first_tables,
        change: Traffic {
            bytes: per_change(settled.bytes, changed.bytes),
            entries: per_change(settled.entries, changed.entries),
        },
        memory_kib,
        cpu: cpu.per_second(seconds),
    })
}

/// Measures all sizes and prints the figures; up to [`MAX_FILE_PROXIES`] proxies also with files.
pub fn run(rounds: u32, many: usize, last: bool) -> Result<(), MeasureError> {
    let program = program()?;
    print_line!("nodes x streams: change held by p50, p99, all (ms); joined, rejoined (ms); bytes and entries of the first tables, of a change; KiB per stream; CPU");
    let skipped = if last { SIZES.len() + 1 } else { 0 };
    let sizes = SIZES.into_iter().chain([(20, 1000), (20, many)]);
    for (nodes, count) in sizes.skip(skipped) {
        let measured = measure(&program, nodes, count, rounds)
            .map_err(|error| error.at_size(nodes, count, "streams"))?;
        print_line!(
            "{nodes} x {count}: {:.0}, {:.0}, {:.0}; {:.0}, {:.0}; {:.0} and {:.0}, {:.0} and {:.1}; {:.1}; {:.2}",
            measured.list_to_held_ms_p50,
            measured.list_to_held_ms_p99,
            measured.list_to_all_ms,
            measured.all_joined_ms,
            measured.all_rejoined_ms,
            measured.first_tables.bytes,
            measured.first_tables.entries,
            measured.change.bytes,
            measured.change.entries,
            measured.memory_kib,
            measured.cpu
        );
        if count <= MAX_FILE_PROXIES {
            let files = controller::measure(&program, nodes, count, rounds)
                .map_err(|error| error.at_size(nodes, count, "proxies"))?;
            print_line!(
                "  files: {:.0}, {:.0}; {:.0}; CPU with load reports {:.2}",
                files.list_to_link_ms_p50,
                files.list_to_link_ms_p99,
                files.all_joined_ms,
                files.cpu
            );
        }
    }
    Ok(())
}
