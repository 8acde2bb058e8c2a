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
}

/// Nodes and proxies: as the first proof has it, and as the largest deployment is to grow.
const SIZES: [(usize, usize); 3] = [(20, 12), (100, 220), (400, 890)];

pub fn measure(arguments: MeasureArguments) -> ExitCode {
    match arguments.what {
        What::Conductor { rounds, json } => conductor(rounds, json),
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
