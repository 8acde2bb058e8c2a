//! How long a controller takes from a changed endpoint list to swapped links, and what CPU it costs, by the size of
//! the fleet.

use super::controller_process::ControllerProcess;
use super::error::MeasureError;
use super::file_proxies::FileProxies;
use super::fleet_config::{controller_file, draining_in_round};
use super::sampling::{CpuMeter, Latencies};
use super::{program, SIZES};
use serde::Serialize;
use std::collections::BTreeSet;
use std::path::Path;
use wheelspread::time::{Moment, Span};
use wheelspread_reactor as reactor;

/// Figures of one size.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// Nodes in the endpoint list.
    pub nodes: usize,
    /// Proxies that are joined.
    pub proxies: usize,
    /// From a swapped endpoint list to a proxy's swapped link, in milliseconds: the median.
    pub list_to_link_ms_p50: f64,
    /// The same at the 99th percentile.
    pub list_to_link_ms_p99: f64,
    /// Links that were swapped.
    pub swaps: u64,
    /// Seconds of CPU a second, with load reports of every proxy once a second.
    pub cpu: f64,
    /// From the first stream to the last proxy's first tables, in milliseconds.
    pub all_joined_ms: f64,
}

/// After the load reports, before the endpoint list changes.
const SETTLE_TIME: Span = Span::from_seconds(0.6);
/// After the endpoint list changed, until the round is over.
const SWAP_TIME: Span = Span::from_seconds(0.4);

/// Starts a controller of that size and changes its endpoint list once a second.
pub fn measure(
    program: &Path,
    nodes: usize,
    proxies: usize,
    rounds: u32,
) -> Result<Measured, MeasureError> {
    let mut fleet = FileProxies::new(ControllerProcess::new(nodes)?, proxies)?;
    fleet
        .controller
        .start(program, |listen| controller_file(listen, proxies))?;
    measure_running(&mut fleet, nodes, proxies, rounds)
}

/// The same at a controller that runs already.
pub fn measure_running(
    fleet: &mut FileProxies,
    nodes: usize,
    proxies: usize,
    rounds: u32,
) -> Result<Measured, MeasureError> {
    let all_joined_ms = fleet.join(proxies)?;
    let mut latencies = Latencies::new()?;
    let cpu = CpuMeter::start(fleet.controller.pid());
    for round in 0..rounds {
        let at = reactor::now();
        fleet.report(at);
        fleet.turn(at + SETTLE_TIME, |_, _| false);
        let at = reactor::now();
        let draining = draining_in_round(round, nodes);
        fleet
            .controller
            .swap_list(u64::from(round) + 2, &draining)?;
        swap_latencies(fleet, at)
            .into_iter()
            .for_each(|span| latencies.record(span));
    }
    let seconds = cpu.elapsed_seconds();
    Ok(Measured {
        nodes,
        proxies,
        list_to_link_ms_p50: latencies.milliseconds_at(0.5),
        list_to_link_ms_p99: latencies.milliseconds_at(0.99),
        swaps: latencies.count(),
        cpu: cpu.per_second(seconds),
        all_joined_ms,
    })
}

/// For each proxy whose link is swapped, how long after `at`.
fn swap_latencies(fleet: &mut FileProxies, at: Moment) -> Vec<Span> {
    let mut seen = BTreeSet::new();
    let mut latencies = Vec::new();
    fleet.turn(at + SWAP_TIME, |proxy, now| {
        if seen.insert(proxy) {
            latencies.push(now - at);
        }
        false
    });
    latencies
}

/// Measures all sizes and prints them.
pub fn run(rounds: u32, json: bool) -> Result<(), MeasureError> {
    let program = program()?;
    let mut all = Vec::new();
    for (nodes, proxies) in SIZES {
        let measured = measure(&program, nodes, proxies, rounds);
        all.push(measured.map_err(|error| error.at_size(nodes, proxies, "proxies"))?);
    }
    if json {
        say!("{}", serde_json::to_string(&all)?);
    } else {
        print_table(&all);
    }
    Ok(())
}

fn print_table(all: &[Measured]) {
    say!(
        "{:>6}{:>9}{:>14}{:>14}{:>8}{:>12}{:>16}",
        "nodes",
        "proxies",
        "p50 ms",
        "p99 ms",
        "swaps",
        "CPU s/s",
        "all joined ms"
    );
    for one in all {
        say!(
            "{:>6}{:>9}{:>14.1}{:>14.1}{:>8}{:>12.3}{:>16.0}",
            one.nodes,
            one.proxies,
            one.list_to_link_ms_p50,
            one.list_to_link_ms_p99,
            one.swaps,
            one.cpu,
            one.all_joined_ms
        );
    }
    if let (Some(first), Some(last)) = (all.first(), all.last()) {
        let size = (last.nodes * last.proxies) as f64 / (first.nodes * first.proxies) as f64;
        let cost = last.cpu / first.cpu.max(1e-6);
        say!("nodes x proxies grow {size:.0}-fold, CPU {cost:.1}-fold");
    }
}
