//! `wheelspread solve`: weights of a fleet under capacity and cost.

use crate::exit::BAD_INPUT;
use clap::Args;
use serde::Serialize;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use wheelspread_solve::robust::{hedge, served, worst_case, CapacityRange};
use wheelspread_solve::{solve as solve_fleet, Fleet, Host, Solution, SolveInputError, Status};

/// Arguments of `wheelspread solve`.
#[derive(Args)]
pub struct SolveArguments {
    /// The fleet: see docs/solver.md
    fleet: PathBuf,
    #[arg(long)]
    json: bool,
    /// Why a host got its weight.
    #[arg(long, value_name = "HOST")]
    explain: Option<String>,
    /// Capacities may be wrong by this part either way: chooses weights that serve more in the worst case.
    #[arg(long, value_name = "PART")]
    wrong_by: Option<f64>,
    /// What is served if hosts of a kind have this part of their stated capacity, as `large=0.5`.
    #[arg(long, value_name = "KIND=PART", value_parser = kind_part)]
    what_if: Vec<(String, f64)>,
    /// After so many milliseconds the best solution so far is printed.
    #[arg(long, default_value_t = 1000)]
    deadline_ms: u64,
}

/// Why a `KIND=PART` argument is invalid.
#[derive(Debug, thiserror::Error)]
enum KindPartError {
    #[error("KIND=PART is expected")]
    NoPart,
    #[error("`{0}` is no number")]
    NotANumber(String),
    #[error("{0}: between 0 and 100 is possible")]
    OutOfRange(f64),
}

fn kind_part(text: &str) -> Result<(String, f64), KindPartError> {
    let (kind, part) = text.split_once('=').ok_or(KindPartError::NoPart)?;
    let part: f64 = part
        .parse()
        .map_err(|_| KindPartError::NotANumber(part.to_string()))?;
    if (0.0..=100.0).contains(&part) {
        Ok((kind.to_string(), part))
    } else {
        Err(KindPartError::OutOfRange(part))
    }
}

/// The solver ran into its deadline; the best solution so far was printed.
const CUT_SHORT: u8 = 4;

/// Why there is no solution to print.
#[derive(Debug, thiserror::Error)]
pub enum SolveError {
    /// The fleet can't be solved.
    #[error("{}", fleet.display())]
    Refused {
        /// The file of the fleet.
        fleet: PathBuf,
        source: Refusal,
    },
    /// `--explain` names no host of the fleet.
    #[error("`{0}` is no host of this fleet")]
    UnknownHost(String),
}

/// Why a fleet can't be solved.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The file is no fleet.
    #[error(transparent)]
    Parse(#[from] serde_yaml_ng::Error),
    /// `--wrong-by` is no part.
    #[error("--wrong-by {0}: between 0 and 1 is possible")]
    WrongBy(f64),
    /// `--what-if` names a kind that no host is of.
    #[error("no host is of kind `{0}`")]
    UnknownKind(String),
    /// The solver refused the fleet.
    #[error(transparent)]
    Solver(#[from] SolveInputError),
    /// The solution can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl SolveError {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

/// The JSON that is printed.
#[derive(Serialize)]
struct Output<'a> {
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

/// Solves a fleet and prints its weights, or why a host got its weight.
pub fn solve(arguments: &SolveArguments) -> Result<ExitCode, SolveError> {
    let refused = |refusal: Refusal| {
        if arguments.json {
            say!(
                "{}",
                json!({ "status": "refused", "reason": refusal.to_string() })
            );
        }
        SolveError::Refused {
            fleet: arguments.fleet.clone(),
            source: refusal,
        }
    };
    let fleet = read_fleet(&arguments.fleet).map_err(refused)?;
    let begin = Instant::now();
    let solution = find_solution(&fleet, arguments, begin).map_err(refused)?;
    let solve_ms = begin.elapsed().as_secs_f64() * 1e3;
    if let Some(id) = &arguments.explain {
        return explain(&fleet, &solution, id);
    }
    let what_if = what_if(&fleet, &solution, &arguments.what_if).map_err(refused)?;
    if arguments.json {
        let output = Output {
            solution: &solution,
            solve_ms,
            what_if,
        };
        let text = serde_json::to_string(&output).map_err(|error| refused(error.into()))?;
        say!("{text}");
    } else {
        print_table(&solution, solve_ms, what_if.as_ref());
    }
    Ok(match solution.status {
        Status::Optimal => ExitCode::SUCCESS,
        Status::CutShort => ExitCode::from(CUT_SHORT),
    })
}

fn read_fleet(path: &Path) -> Result<Fleet, Refusal> {
    let text = std::fs::read_to_string(path)?;
    Ok(serde_yaml_ng::from_str(&text)?)
}

/// Solves the fleet as it is stated, or hedged against wrong capacities.
fn find_solution(
    fleet: &Fleet,
    arguments: &SolveArguments,
    begin: Instant,
) -> Result<Solution, Refusal> {
    let deadline = begin + Duration::from_millis(arguments.deadline_ms);
    let mut is_over = || Instant::now() >= deadline;
    let Some(part) = arguments.wrong_by else {
        return Ok(solve_fleet(fleet, &mut is_over)?);
    };
    if !(0.0..1.0).contains(&part) {
        return Err(Refusal::WrongBy(part));
    }
    let wrong = CapacityRange {
        min_ratio: 1.0 - part,
        max_ratio: 1.0 / (1.0 - part),
    };
    let (solution, held) = hedge(fleet, wrong, &mut is_over)?;
    let worst = worst_case(fleet, &solution, wrong);
    eprintln!(
        "goes by {held:.2} of the capacities; at worst {:.3} a second is served",
        worst.value_per_s
    );
    Ok(solution)
}

/// What is served if hosts of some kinds have a part of their capacity only; nothing if no kind is named.
fn what_if(
    fleet: &Fleet,
    solution: &Solution,
    parts: &[(String, f64)],
) -> Result<Option<WhatIf>, Refusal> {
    let is_unknown = |kind: &str| fleet.hosts.iter().all(|host| host.kind != kind);
    if let Some((kind, _)) = parts.iter().find(|(kind, _)| is_unknown(kind)) {
        return Err(Refusal::UnknownKind(kind.clone()));
    }
    if parts.is_empty() {
        return Ok(None);
    }
    let part_of = |host: &Host| {
        let stated = parts.iter().find(|(kind, _)| host.kind == *kind);
        stated.map_or(1.0, |(_, part)| *part)
    };
    let result = served(fleet, solution, &part_of);
    Ok(Some(WhatIf {
        value_per_s: result.value_per_s,
        overrun: result.overloaded,
    }))
}

/// Prints a line for each host, rejecting proxy and overrun host, and a summary.
fn print_table(solution: &Solution, solve_ms: f64, what_if: Option<&WhatIf>) {
    print_hosts(solution);
    let rejecting = solution.gateways.iter();
    for gateway in rejecting.filter(|gateway| gateway.admitted < 1.0 - 1e-9) {
        say!(
            "{} lets in {:.3} of {}",
            gateway.id,
            gateway.admitted,
            gateway.operation
        );
    }
    if let Some(what_if) = what_if {
        say!("then {:.3} a second is served", what_if.value_per_s);
        for (id, times) in &what_if.overrun {
            say!("  {id} is given {times:.2} times what it can do");
        }
    }
    let status = if solution.status == Status::Optimal {
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

fn print_hosts(solution: &Solution) {
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
}

fn explain(fleet: &Fleet, solution: &Solution, id: &str) -> Result<ExitCode, SolveError> {
    let Some(explanation) = wheelspread_solve::explain::explain(fleet, solution, id) else {
        return Err(SolveError::UnknownHost(id.to_string()));
    };
    say!(
        "{} in {}: weight {:.3}, {:.3} of at most {:.3} seconds of work a second",
        explanation.id,
        explanation.zone,
        explanation.weight,
        explanation.load,
        explanation.load_limit
    );
    explanation
        .reasons
        .iter()
        .for_each(|reason| say!("  {reason}"));
    say!(
        "  loaded alike with: {}",
        if explanation.peers.is_empty() {
            "none".to_string()
        } else {
            explanation.peers.join(", ")
        }
    );
    for (operation, from, invocations) in &explanation.zone_flows {
        say!("  its zone gets {invocations:.2} {operation} a second from {from}");
    }
    Ok(ExitCode::SUCCESS)
}
