//! `wheelspread solve`.

use clap::Args;
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use wheelspread_solve::robust::{guaranteed, hedge, served, Wrong};
use wheelspread_solve::{solve as solve_fleet, Fleet, Host, Solution};

#[derive(Args)]
pub struct SolveArguments {
    /// The fleet: see docs/solver.md
    fleet: PathBuf,
    #[arg(long)]
    json: bool,
    /// Why a host got its weight.
    #[arg(long, value_name = "HOST")]
    explain: Option<String>,
    /// Capacities may be wrong by this part either way: holds back what serves more in the worst case.
    #[arg(long, value_name = "PART")]
    wrong_by: Option<f64>,
    /// What is served if hosts of a kind can do this part of what is told of them, as `large=0.5`.
    #[arg(long, value_name = "KIND=PART", value_parser = kind_part)]
    what_if: Vec<(String, f64)>,
    /// After so many milliseconds the best so far is told.
    #[arg(long, default_value_t = 1000)]
    deadline_ms: u64,
}

fn kind_part(text: &str) -> Result<(String, f64), String> {
    let (kind, part) = text.split_once('=').ok_or("KIND=PART is expected")?;
    let part: f64 = part.parse().map_err(|_| format!("`{part}` is no number"))?;
    if (0.0..=100.0).contains(&part) {
        Ok((kind.to_string(), part))
    } else {
        Err(format!("{part}: between 0 and 100 is possible"))
    }
}

const BAD_INPUT: u8 = 2;
const CUT_SHORT: u8 = 4;

#[derive(Serialize)]
struct Told<'a> {
    #[serde(flatten)]
    solution: &'a Solution,
    solve_ms: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    what_if: Option<WhatIf>,
}

#[derive(Serialize)]
struct WhatIf {
    value_per_s: f64,
    /// Hosts that are given more than they then can do, and how many times as much.
    overrun: Vec<(String, f64)>,
}

pub fn solve(arguments: SolveArguments) -> ExitCode {
    let refuse = |text: String| {
        if arguments.json {
            say!(
                "{}",
                serde_json::json!({ "status": "refused", "reason": text })
            );
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
    let mut over = || Instant::now() >= deadline;
    let solved = match arguments.wrong_by {
        None => solve_fleet(&fleet, &mut over),
        Some(part) if (0.0..1.0).contains(&part) => {
            let wrong = Wrong {
                least: 1.0 - part,
                most: 1.0 / (1.0 - part),
            };
            hedge(&fleet, wrong, &mut over).map(|(solution, held)| {
                let worst = guaranteed(&fleet, &solution, wrong);
                eprintln!(
                    "goes by {held:.2} of the capacities; at worst {:.3} a second is served",
                    worst.value_per_s
                );
                solution
            })
        }
        Some(part) => return refuse(format!("--wrong-by {part}: between 0 and 1 is possible")),
    };
    let solution = match solved {
        Ok(solution) => solution,
        Err(refused) => return refuse(refused.to_string()),
    };
    let solve_ms = begin.elapsed().as_secs_f64() * 1e3;
    if let Some(id) = &arguments.explain {
        return explain(&fleet, &solution, id);
    }
    if let Some((kind, _)) = arguments
        .what_if
        .iter()
        .find(|(kind, _)| fleet.hosts.iter().all(|host| host.kind != *kind))
    {
        return refuse(format!("no host is of kind `{kind}`"));
    }
    let what_if = (!arguments.what_if.is_empty()).then(|| {
        let part = |host: &Host| {
            arguments
                .what_if
                .iter()
                .find(|(kind, _)| host.kind == *kind)
                .map_or(1.0, |(_, part)| *part)
        };
        let told = served(&fleet, &solution, &part);
        WhatIf {
            value_per_s: told.value_per_s,
            overrun: told.overrun,
        }
    });
    if arguments.json {
        match serde_json::to_string(&Told {
            solution: &solution,
            solve_ms,
            what_if,
        }) {
            Ok(text) => say!("{text}"),
            Err(error) => return refuse(error.to_string()),
        }
    } else {
        table(&solution, solve_ms, what_if.as_ref());
    }
    match solution.status {
        wheelspread_solve::Status::Optimal => ExitCode::SUCCESS,
        wheelspread_solve::Status::CutShort => ExitCode::from(CUT_SHORT),
    }
}

fn table(solution: &Solution, solve_ms: f64, what_if: Option<&WhatIf>) {
    say!(
        "{:<20}{:<12}{:>8}{:>10}{:>10}{:>10}  binds",
        "host",
        "zone",
        "weight",
        "load",
        "capacity",
        "worth"
    );
    for host in &solution.hosts {
        say!(
            "{:<20}{:<12}{:>8.3}{:>10.3}{:>10.3}{:>10.3}  {}",
            host.id,
            host.zone,
            host.weight,
            host.load,
            host.capacity,
            host.shadow_price,
            host.binds
        );
    }
    for told in solution
        .gateways
        .iter()
        .filter(|told| told.admitted < 1.0 - 1e-9)
    {
        say!(
            "{} lets in {:.3} of {}",
            told.id,
            told.admitted,
            told.operation
        );
    }
    if let Some(what_if) = what_if {
        say!("then {:.3} a second is served", what_if.value_per_s);
        for (id, times) in &what_if.overrun {
            say!("  {id} is given {times:.2} times what it can do");
        }
    }
    let status = if solution.status == wheelspread_solve::Status::Optimal {
        "optimal"
    } else {
        "cut short"
    };
    say!(
        "{status}: value {:.3} a second, objective {:.3}, {} steps in {solve_ms:.2} ms",
        solution.value_per_s,
        solution.objective,
        solution.paths
    );
}

fn explain(fleet: &Fleet, solution: &Solution, id: &str) -> ExitCode {
    let Some(told) = wheelspread_solve::explain::explain(fleet, solution, id) else {
        eprintln!("`{id}` is no host of this fleet");
        return ExitCode::from(BAD_INPUT);
    };
    say!(
        "{} in {}: weight {:.3}, {:.3} of at most {:.3} seconds of work a second",
        told.id,
        told.zone,
        told.weight,
        told.load,
        told.room
    );
    told.reasons.iter().for_each(|reason| say!("  {reason}"));
    say!(
        "  loaded alike with: {}",
        if told.alike.is_empty() {
            "none".to_string()
        } else {
            told.alike.join(", ")
        }
    );
    for (operation, from, invocations) in &told.gets {
        say!("  its zone gets {invocations:.2} {operation} a second from {from}");
    }
    ExitCode::SUCCESS
}
