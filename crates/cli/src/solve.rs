//! `wheelspread solve`.

use clap::Args;
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use wheelspread_solve::{solve as solve_fleet, Fleet, Solution};

#[derive(Args)]
pub struct SolveArguments {
    /// The fleet: see docs/solver.md
    fleet: PathBuf,
    #[arg(long)]
    json: bool,
    /// Why a host got its weight.
    #[arg(long, value_name = "HOST")]
    explain: Option<String>,
    /// After so many milliseconds the best so far is told.
    #[arg(long, default_value_t = 1000)]
    deadline_ms: u64,
}

const BAD_INPUT: u8 = 2;
const CUT_SHORT: u8 = 4;

#[derive(Serialize)]
struct Told<'a> {
    #[serde(flatten)]
    solution: &'a Solution,
    solve_ms: f64,
}

pub fn solve(arguments: SolveArguments) -> ExitCode {
    let refuse = |text: String| {
        if arguments.json {
            println!("{}", serde_json::json!({ "status": "refused", "reason": text }));
        }
        eprintln!("{}: {text}", arguments.fleet.display());
        ExitCode::from(BAD_INPUT)
    };
    let text = match std::fs::read_to_string(&arguments.fleet) {
        Ok(text) => text,
        Err(error) => return refuse(error.to_string()),
    };
    let fleet: Fleet = match serde_yaml_ng::from_str(&text) {
        Ok(fleet) => fleet,
        Err(error) => return refuse(error.to_string()),
    };
    let begin = Instant::now();
    let deadline = begin + Duration::from_millis(arguments.deadline_ms);
    let solution = match solve_fleet(&fleet, &mut || Instant::now() >= deadline) {
        Ok(solution) => solution,
        Err(refused) => return refuse(refused.to_string()),
    };
    let solve_ms = begin.elapsed().as_secs_f64() * 1e3;
    if let Some(id) = &arguments.explain {
        return explain(&fleet, &solution, id);
    }
    if arguments.json {
        match serde_json::to_string(&Told { solution: &solution, solve_ms }) {
            Ok(text) => println!("{text}"),
            Err(error) => return refuse(error.to_string()),
        }
    } else {
        table(&solution, solve_ms);
    }
    match solution.status {
        wheelspread_solve::Status::Optimal => ExitCode::SUCCESS,
        wheelspread_solve::Status::CutShort => ExitCode::from(CUT_SHORT),
    }
}

fn table(solution: &Solution, solve_ms: f64) {
    println!(
        "{:<20}{:<12}{:>8}{:>10}{:>10}{:>10}  binds",
        "host", "zone", "weight", "load", "capacity", "worth"
    );
    for host in &solution.hosts {
        println!(
            "{:<20}{:<12}{:>8.3}{:>10.3}{:>10.3}{:>10.3}  {}",
            host.id, host.zone, host.weight, host.load, host.capacity, host.shadow_price, host.binds
        );
    }
    for told in solution.gateways.iter().filter(|told| told.admitted < 1.0) {
        println!("{} lets in {:.3} of {}", told.id, told.admitted, told.operation);
    }
    let status = if solution.status == wheelspread_solve::Status::Optimal { "optimal" } else { "cut short" };
    println!(
        "{status}: value {:.3} a second, objective {:.3}, {} steps in {solve_ms:.2} ms",
        solution.value_per_s, solution.objective, solution.paths
    );
}

fn explain(fleet: &Fleet, solution: &Solution, id: &str) -> ExitCode {
    let (Some(host), Some(told)) =
        (fleet.hosts.iter().find(|host| host.id == id), solution.hosts.iter().find(|host| host.id == id))
    else {
        eprintln!("`{id}` is no host of this fleet");
        return ExitCode::from(BAD_INPUT);
    };
    println!(
        "{id} in {}: weight {:.3}, {:.3} of {:.3} seconds of work a second",
        host.zone, told.weight, told.load, host.capacity
    );
    println!(
        "may be given {:.3}: its capacity, its state ({:?}), fill_at_most {}",
        fleet.room(host),
        host.state,
        fleet.fill_at_most
    );
    let alike: Vec<&str> = fleet
        .hosts
        .iter()
        .filter(|other| other.zone == host.zone && other.price == host.price && other.id != host.id)
        .map(|other| other.id.as_str())
        .collect();
    println!("loaded alike with: {}", if alike.is_empty() { "none".to_string() } else { alike.join(", ") });
    for flow in solution.flows.iter().filter(|flow| flow.to == host.zone) {
        println!("its zone gets {:.2} {} a second from {}", flow.invocations, flow.operation, flow.from);
    }
    println!(
        "bound by: {}; one more second of work a second there is worth {:.3}",
        told.binds, told.shadow_price
    );
    ExitCode::SUCCESS
}
