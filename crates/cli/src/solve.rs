//! `wheelspread solve`: computes the weights of a fleet from its capacities and costs.

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
    /// The fleet file: see docs/solver.md
    fleet: PathBuf,
    #[arg(long)]
    json: bool,
    /// Prints why this host got its weight.
    #[arg(long, value_name = "HOST")]
    explain: Option<String>,
    /// Capacities may be wrong by this ratio either way: chooses weights by the mean of the worst case and the stated
    /// capacities.
    #[arg(long, value_name = "PART")]
    wrong_by: Option<f64>,
    /// Prints what is served if hosts of a kind have this ratio of their stated capacity, for example `large=0.5`.
    #[arg(long, value_name = "KIND=PART", value_parser = parse_kind_ratio)]
    what_if: Vec<(String, f64)>,
    /// The time limit in milliseconds; when it has passed, the best solution so far is printed.
    #[arg(long, default_value_t = 1000)]
    deadline_ms: u64,
}

/// Why a `KIND=PART` argument is invalid.
#[derive(Debug, thiserror::Error)]
enum KindRatioError {
    #[error("expected KIND=PART")]
    MissingRatio,
    #[error("`{0}` is not a number")]
    NotANumber(String),
    #[error("{0}: must be between 0 and 100")]
    OutOfRange(f64),
}

fn parse_kind_ratio(text: &str) -> Result<(String, f64), KindRatioError> {
    let (kind, ratio) = text.split_once('=').ok_or(KindRatioError::MissingRatio)?;
    let ratio: f64 = ratio
        .parse()
        .map_err(|_| KindRatioError::NotANumber(ratio.to_string()))?;
    if (0.0..=100.0).contains(&ratio) {
        Ok((kind.to_string(), ratio))
    } else {
        Err(KindRatioError::OutOfRange(ratio))
    }
}

/// The solver reached its deadline; the best solution so far was printed.
const CUT_SHORT: u8 = 4;

/// Why there is no solution to print.
#[derive(Debug, thiserror::Error)]
pub enum SolveError {
    /// No solution could be computed for the fleet.
    #[error("{}", fleet.display())]
    Refused {
        /// The fleet file.
        fleet: PathBuf,
        source: Refusal,
    },
    /// The argument of `--explain` is not a host of the fleet.
    #[error("`{0}` is not among the hosts of this fleet")]
    UnknownHost(String),
}

/// Why no solution could be computed or written.
#[derive(Debug, thiserror::Error)]
pub enum Refusal {
    /// The fleet file could not be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// The file is not a valid fleet file.
    #[error(transparent)]
    Parse(#[from] serde_yaml_ng::Error),
    /// The argument of `--wrong-by` is out of range.
    #[error("--wrong-by {0}: must be at least 0 and below 1")]
    WrongBy(f64),
    /// No host has a kind that `--what-if` names.
    #[error("no host is of kind `{0}`")]
    UnknownKind(String),
    /// The solver refused the fleet.
    #[error(transparent)]
    Solver(#[from] SolveInputError),
    /// The solution could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl SolveError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

/// The JSON output.
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
    /// The hosts whose load then exceeds their capacity, each with the ratio of load to capacity.
    overrun: Vec<(String, f64)>,
}

/// Computes the weights of a fleet and prints them, or prints why one host got its weight.
pub fn solve(arguments: &SolveArguments) -> Result<ExitCode, SolveError> {
    let refused = |refusal: Refusal| {
        if arguments.json {
            print_line!(
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
        print_line!("{text}");
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

/// Solves the fleet with the stated capacities or, with `--wrong-by`, hedged against wrong capacities.
fn find_solution(
    fleet: &Fleet,
    arguments: &SolveArguments,
    begin: Instant,
) -> Result<Solution, Refusal> {
    let deadline = begin + Duration::from_millis(arguments.deadline_ms);
    let mut is_past_deadline = || Instant::now() >= deadline;
    let Some(ratio) = arguments.wrong_by else {
        return Ok(solve_fleet(fleet, &mut is_past_deadline)?);
    };
    if !(0.0..1.0).contains(&ratio) {
        return Err(Refusal::WrongBy(ratio));
    }
    let capacity_error = CapacityRange {
        min_ratio: 1.0 - ratio,
        max_ratio: 1.0 / (1.0 - ratio),
    };
    let (solution, planned_ratio) = hedge(fleet, capacity_error, &mut is_past_deadline)?;
    let worst = worst_case(fleet, &solution, capacity_error);
    eprintln!(
        "planned with {planned_ratio:.2} of the stated capacities; at worst, a value of {:.3} per second is served",
        worst.value_per_s
    );
    Ok(solution)
}

/// What is served if hosts of the named kinds have only a ratio of their capacity; `None` if no kind is named.
fn what_if(
    fleet: &Fleet,
    solution: &Solution,
    ratios: &[(String, f64)],
) -> Result<Option<WhatIf>, Refusal> {
    let is_unknown = |kind: &str| fleet.hosts.iter().all(|host| host.kind != kind);
    if let Some((kind, _)) = ratios.iter().find(|(kind, _)| is_unknown(kind)) {
        return Err(Refusal::UnknownKind(kind.clone()));
    }
    if ratios.is_empty() {
        return Ok(None);
    }
    let capacity_ratio = |host: &Host| {
        let stated = ratios.iter().find(|(kind, _)| host.kind == *kind);
        stated.map_or(1.0, |(_, ratio)| *ratio)
    };
    let result = served(fleet, solution, &capacity_ratio);
    Ok(Some(WhatIf {
        value_per_s: result.value_per_s,
        overrun: result.overloaded,
    }))
}

/// Prints a line for each host, each proxy that rejects requests and each overloaded host, and a summary.
fn print_table(solution: &Solution, solve_ms: f64, what_if: Option<&WhatIf>) {
    print_hosts(solution);
    let rejecting = solution.gateways.iter();
    for gateway in rejecting.filter(|gateway| gateway.admitted < 1.0 - 1e-9) {
        print_line!(
            "{} admits a ratio of {:.3} of {}",
            gateway.id,
            gateway.admitted,
            gateway.operation
        );
    }
    if let Some(what_if) = what_if {
        print_line!(
            "a value of {:.3} per second is then served",
            what_if.value_per_s
        );
        for (id, overrun_factor) in &what_if.overrun {
            print_line!("  {id} is given {overrun_factor:.2} times what it can do");
        }
    }
    let status = if solution.status == Status::Optimal {
        "optimal"
    } else {
        "cut short"
    };
    print_line!(
        "{status}: value {:.3} per second, objective {:.3}, {} steps in {solve_ms:.2} ms",
        solution.value_per_s,
        solution.objective,
        solution.paths
    );
}

fn print_hosts(solution: &Solution) {
    print_line!(
        "{:<20}{:<12}{:>8}{:>10}{:>10}{:>10}  binds",
        "host",
        "zone",
        "weight",
        "load",
        "capacity",
        "worth"
    );
    for host in &solution.hosts {
        print_line!(
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
    print_line!(
        "{} in {}: weight {:.3}, {:.3} of at most {:.3} seconds of work per second",
        explanation.id,
        explanation.zone,
        explanation.weight,
        explanation.load,
        explanation.load_limit
    );
    explanation
        .reasons
        .iter()
        .for_each(|reason| print_line!("  {reason}"));
    print_line!(
        "  hosts with the same load: {}",
        if explanation.peers.is_empty() {
            "none".to_string()
        } else {
            explanation.peers.join(", ")
        }
    );
    for (operation, from, invocations) in &explanation.zone_flows {
        print_line!(
            "  its zone receives {invocations:.2} {operation} requests per second from {from}"
        );
    }
    Ok(ExitCode::SUCCESS)
}
