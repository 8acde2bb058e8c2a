//! Measures, by fleet size, a controller's latency from a changed endpoint list to the proxies' swapped links, and its
//! CPU time.

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

/// The figures of one fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct Measured {
    /// The number of nodes in the endpoint list.
    pub nodes: usize,
    /// The number of joined proxies.
    pub proxies: usize,
    /// The median time from a replaced endpoint list to a proxy's swapped link, in milliseconds.
    pub list_to_link_ms_p50: f64,
    /// The 99th percentile of the same time, in milliseconds.
    pub list_to_link_ms_p99: f64,
    /// The number of link swaps.
    pub swaps: u64,
    /// CPU seconds per second, while every proxy sends a load report once per second.
    pub cpu: f64,
    /// The time from the first stream to the last proxy's first tables, in milliseconds.
    pub all_joined_ms: f64,
}

/// The time between the load reports and the change of the endpoint list.
const SETTLE_TIME: Span = Span::from_seconds(0.6);
/// The time between the change of the endpoint list and the end of the round.
const SWAP_TIME: Span = Span::from_seconds(0.4);

/// Starts a controller for a fleet of this size and changes its endpoint list once per second.
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

/// Makes the same measurement at a controller that is already running.
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
        let begin = reactor::now();
        fleet.report(begin);
        fleet.run_until(begin + SETTLE_TIME, |_, _| false);
        let begin = reactor::now();
        let draining = draining_in_round(round, nodes);
        fleet
            .controller
            .swap_list(u64::from(round) + 2, &draining)?;
        swap_latencies(fleet, begin)
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

/// The time from `begin` to the first link swap, for each proxy whose link is swapped.
fn swap_latencies(fleet: &mut FileProxies, begin: Moment) -> Vec<Span> {
    let mut swapped_proxies = BTreeSet::new();
    let mut latencies = Vec::new();
    fleet.run_until(begin + SWAP_TIME, |proxy, now| {
        if swapped_proxies.insert(proxy) {
            latencies.push(now - begin);
        }
        false
    });
    latencies
}

/// Measures all fleet sizes and prints the figures.
pub fn run(rounds: u32, json: bool) -> Result<(), MeasureError> {
    let program = program()?;
    let mut measurements = Vec::new();
    for (nodes, proxies) in SIZES {
        let measured = measure(&program, nodes, proxies, rounds);
        measurements.push(measured.map_err(|error| error.at_size(nodes, proxies, "proxies"))?);
    }
    if json {
        print_line!("{}", serde_json::to_string(&measurements)?);
    } else {
        print_table(&measurements);
    }
    Ok(())
}

fn print_table(measurements: &[Measured]) {
    print_line!(
        "{:>6}{:>9}{:>14}{:>14}{:>8}{:>12}{:>16}",
        "nodes",
        "proxies",
        "p50 ms",
        "p99 ms",
        "swaps",
        "CPU s/s",
        "all joined ms"
    );
    for figures in measurements {
        print_line!(
            "{:>6}{:>9}{:>14.1}{:>14.1}{:>8}{:>12.3}{:>16.0}",
            figures.nodes,
            figures.proxies,
            figures.list_to_link_ms_p50,
            figures.list_to_link_ms_p99,
            figures.swaps,
            figures.cpu,
            figures.all_joined_ms
        );
    }
    if let (Some(first), Some(last)) = (measurements.first(), measurements.last()) {
        let size_factor = (last.nodes * last.proxies) as f64 / (first.nodes * first.proxies) as f64;
        let cpu_factor = last.cpu / first.cpu.max(1e-6);
        print_line!("nodes x proxies grow by a factor of {size_factor:.0}, CPU by a factor of {cpu_factor:.1}");
    }
}
