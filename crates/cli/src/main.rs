//! The `wheelspread` program: one module for each subcommand or group of related subcommands.

/// Prints a line to standard output. Write errors are ignored, so that a reader that closes the pipe causes no failure.
macro_rules! print_line {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}

mod change;
mod drill;
mod error;
mod error_chain;
mod exit;
mod fleet;
mod import;
mod manual;
mod measure;
mod operator;
mod serve;
mod solve;
mod state;
mod tables;

use clap::{CommandFactory, Parser, Subcommand};
use error::CliError;
use error_chain::error_chain;
use std::path::PathBuf;
use std::process::ExitCode;

/// Publishes weighted tables that direct the traffic of a fleet of proxies.
#[derive(Parser)]
#[command(name = "wheelspread", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a controller until it is stopped (SIGTERM or SIGINT).
    Run {
        /// The configuration: see docs/operating.md
        #[arg(required_unless_present = "platform")]
        file: Option<PathBuf>,
        /// Runs as a controller of a platform, with the configuration that the platform serves: see docs/platform.md
        #[arg(long, value_name = "CONFIG", conflicts_with = "file")]
        platform: Option<PathBuf>,
    },
    /// Validates a controller's configuration file and reports the errors in it.
    Check { file: PathBuf },
    /// Runs a proxy that follows published tables, until it is stopped.
    Proxy {
        /// The configuration: see docs/proxy.md
        file: PathBuf,
    },
    /// Runs a scripted day with faults on loopback and checks the five rules against the recorded traffic.
    Drill(drill::DrillArguments),
    /// Computes the weights of a fleet from its capacities and costs.
    Solve(solve::SolveArguments),
    /// Shows the table version that each proxy of a running controller holds, and rolls tables back.
    Tables(tables::TablesArguments),
    /// Plans, stages, applies and undoes configuration changes at running controllers.
    Change(change::ChangeArguments),
    /// Converts another program's configuration into controllers' files.
    Import(import::ImportArguments),
    /// Queries and operates many controllers at once.
    Fleet(fleet::FleetArguments),
    /// Inspects, checks and compacts the state file, in which a controller persists changes and facts.
    State(state::StateArguments),
    /// Prints shell completions.
    Completions { shell: clap_complete::Shell },
    /// Writes manual pages into a directory.
    Man { directory: PathBuf },
    /// Measures the latency, CPU time and memory that a part of the program takes on this machine.
    Measure(measure::MeasureArguments),
}

fn main() -> ExitCode {
    run(Cli::parse().command).unwrap_or_else(|error| {
        eprintln!("{}", error_chain(&error));
        error.exit_code()
    })
}

fn run(command: Command) -> Result<ExitCode, CliError> {
    match command {
        Command::Run { file, platform } => match platform {
            Some(config) => serve::run_platform_controller(&config)?,
            None => serve::run_controller(&file.unwrap_or_default())?,
        },
        Command::Check { file } => serve::check(&file)?,
        Command::Proxy { file } => serve::run_proxy(&file)?,
        Command::Drill(arguments) => return Ok(drill::drill(arguments)),
        Command::Solve(arguments) => return Ok(solve::solve(&arguments)?),
        Command::Tables(arguments) => tables::tables(&arguments)?,
        Command::Change(arguments) => return Ok(change::change(&arguments)?),
        Command::Import(arguments) => return Ok(import::import(arguments)?),
        Command::Fleet(arguments) => return Ok(fleet::fleet(&arguments)?),
        Command::State(arguments) => return Ok(state::state(arguments)?),
        Command::Completions { shell } => manual::print_completions(Cli::command(), shell),
        Command::Man { directory } => manual::write_manual(Cli::command(), &directory)?,
        Command::Measure(arguments) => measure::measure(arguments)?,
    }
    Ok(ExitCode::SUCCESS)
}
