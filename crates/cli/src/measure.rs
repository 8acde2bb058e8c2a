//! `wheelspread measure`: figures of this machine, as ratios within one run.

use clap::{Args, Subcommand};
use std::process::ExitCode;

#[derive(Args)]
pub struct MeasureArguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// From a swapped list to renamed links, and the conductor's CPU, at a small and a large fleet.
    Conductor {
        /// Seconds at each size.
        #[arg(long, default_value_t = 15)]
        rounds: u32,
        #[arg(long)]
        json: bool,
    },
    /// The proxy beside the same client sending straight to the node: throughput, delay, CPU, memory; then
    /// side-effecting invocations with faults, whose effects are counted at the nodes.
    Proxy {
        /// Seconds at each number of connections.
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        #[arg(long, default_value_t = 1_000_000)]
        effects: u64,
    },
}

/// Nodes and proxies: as the first proof has it, and as the largest deployment is to grow.
const SIZES: [(usize, usize); 3] = [(20, 12), (100, 220), (400, 890)];

pub fn measure(arguments: MeasureArguments) -> ExitCode {
    match arguments.what {
        What::Conductor { rounds, json } => conductor(rounds, json),
        What::Proxy { seconds, effects } => match proxy(seconds, effects) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        },
    }
}

fn conductor(rounds: u32, json: bool) -> ExitCode {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("this program can't be found: {error}");
            return ExitCode::FAILURE;
        }
    };
    let mut all = Vec::new();
    for (nodes, proxies) in SIZES {
        match wheelspread_drill::measure(&program, nodes, proxies, rounds) {
            Ok(measured) => all.push(measured),
            Err(error) => {
                eprintln!("{nodes} nodes, {proxies} proxies: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    if json {
        match serde_json::to_string(&all) {
            Ok(text) => println!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::FAILURE;
            }
        }
        return ExitCode::SUCCESS;
    }
    println!(
        "{:>6}{:>9}{:>14}{:>14}{:>8}{:>12}{:>16}",
        "nodes", "proxies", "p50 ms", "p99 ms", "swaps", "CPU s/s", "all joined ms"
    );
    for one in &all {
        println!(
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
        println!("nodes x proxies grow {size:.0}-fold, CPU {cost:.1}-fold");
    }
    ExitCode::SUCCESS
}

fn proxy(seconds: f64, effects: u64) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    println!(
        "{:>12}{:>9}{:>12}{:>10}{:>10}{:>10}{:>14}",
        "connections", "way", "per second", "p50 ms", "p99 ms", "p99.9 ms", "CPU us each"
    );
    for connections in [1, 10, 100, 1000] {
        let ways =
            wheelspread_drill::measure_proxy(&program, connections, seconds).map_err(|e| e.to_string())?;
        for way in &ways {
            println!(
                "{connections:>12}{:>9}{:>12.0}{:>10.3}{:>10.3}{:>10.3}{:>14}",
                way.way,
                way.loaded.per_second(),
                way.loaded.ms(0.5),
                way.loaded.ms(0.99),
                way.loaded.ms(0.999),
                way.cpu_us.map_or("-".to_string(), |us| format!("{us:.1}"))
            );
        }
        if let [direct, proxied] = &ways[..] {
            let part = proxied.loaded.per_second() / direct.loaded.per_second().max(1.0);
            let added = (proxied.loaded.ms(0.5) - direct.loaded.ms(0.5)) * 1e3;
            println!("{:>12}  {part:.2} of the direct throughput, {added:.0} us added at the median", "");
        }
    }
    let (count, bytes) =
        wheelspread_drill::measure_idle(&program, 10_000).map_err(|error| error.to_string())?;
    println!("{count} idle connections: {:.1} kB each", bytes as f64 / 1e3 / count as f64);
    let (asked, executed, twice) =
        wheelspread_drill::measure_effects(&program, effects).map_err(|error| error.to_string())?;
    println!("{asked} side-effecting invocations with faults: {executed} took effect, {twice} twice");
    if twice == 0 {
        Ok(())
    } else {
        Err("an effect happened twice".to_string())
    }
}
