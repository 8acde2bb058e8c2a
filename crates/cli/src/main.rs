//! The `wheelspread` program: one sub-command for each thing that it does.

/// Prints a line; who stopped reading is no reason to fail.
macro_rules! say {
    ($($text:tt)*) => {{
        use std::io::Write;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}

mod change;
mod drill;
mod fleet;
mod import;
mod measure;
mod operator;
mod solve;
mod state;
mod tables;

use clap::{CommandFactory, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wheelspread_controller::{log, Controller, ControllerFile, LogSettings};
use wheelspread_proxy::{serve, NoObserver, ProxyConfig};

/// Directs the traffic of a fleet of plain proxies.
#[derive(Parser)]
#[command(name = "wheelspread", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a conductor until it is told to stop (SIGTERM or SIGINT).
    Run {
        /// What it is told: see docs/operating.md
        #[arg(required_unless_present = "platform")]
        file: Option<PathBuf>,
        /// Runs as a conductor of a platform, by the configuration it hands out: see docs/platform.md
        #[arg(long, value_name = "CONFIG", conflicts_with = "file")]
        platform: Option<PathBuf>,
    },
    /// Says what is wrong with a conductor's file, or that nothing is.
    Check { file: PathBuf },
    /// Runs a proxy that obeys published tables, until it is told to stop.
    Proxy {
        /// What it is told: see docs/proxy.md
        file: PathBuf,
    },
    /// Plays a bad day on loopback and judges the five rules by what went over the sockets.
    Drill(drill::DrillArguments),
    /// Solves weights under capacity and cost for a fleet.
    Solve(solve::SolveArguments),
    /// Says which version each gateway of a running conductor holds, and steps back to older ones.
    Tables(tables::TablesArguments),
    /// Plans, stages, applies and undoes changes of configuration at running conductors.
    Change(change::ChangeArguments),
    /// Makes conductors' files of another program's configuration.
    Import(import::ImportArguments),
    /// Asks and steers many conductors from one desk.
    Fleet(fleet::FleetArguments),
    /// Looks at, checks and shortens the file that keeps changes and facts over crashes.
    State(state::StateArguments),
    /// Prints completions for a shell.
    Completions { shell: clap_complete::Shell },
    /// Writes manual pages into a directory.
    Man { directory: PathBuf },
    /// Measures on this machine what a part of the program costs.
    Measure(measure::MeasureArguments),
}

/// A file or a call that can't be carried out.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run {
            platform: Some(config),
            ..
        } => platform(&config),
        Command::Run { file, .. } => run(&file.unwrap_or_default()),
        Command::Check { file } => check(&file),
        Command::Proxy { file } => proxy(&file),
        Command::Drill(arguments) => drill::drill(arguments),
        Command::Solve(arguments) => solve::solve(arguments),
        Command::Change(arguments) => change::change(arguments),
        Command::Import(arguments) => import::import(arguments),
        Command::Fleet(arguments) => fleet::fleet(arguments),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Cli::command(),
                "wheelspread",
                &mut std::io::stdout(),
            );
            ExitCode::SUCCESS
        }
        Command::Man { directory } => match clap_mangen::generate_to(Cli::command(), &directory) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{}: {error}", directory.display());
                ExitCode::FAILURE
            }
        },
        Command::State(arguments) => state::state(arguments),
        Command::Tables(arguments) => tables::tables(arguments),
        Command::Measure(arguments) => measure::measure(arguments),
    }
}

fn read(path: &Path) -> Result<ControllerFile, ExitCode> {
    ControllerFile::read(path).map_err(|error| {
        eprintln!("{error}");
        ExitCode::from(BAD_INPUT)
    })
}

fn check(path: &Path) -> ExitCode {
    match read(path) {
        Ok(file) => {
            let plan = &file.deployment;
            say!(
                "{}: conductor {} of {}, {} zones, {} operations: nothing is wrong",
                path.display(),
                file.conductor.name,
                plan.controllers.count,
                plan.zones.len(),
                plan.operations.len()
            );
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn run(path: &Path) -> ExitCode {
    let file = match read(path) {
        Ok(file) => file,
        Err(code) => return code,
    };
    log::start(&file.log);
    if wheelspread_faults::enable_from_environment() {
        tracing::warn!("FAILPOINTS is set: this conductor is made to go wrong");
    }
    let conductor = match Controller::start(file, Some(path)) {
        Ok(conductor) => conductor,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    };
    match conductor.run() {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn platform(path: &Path) -> ExitCode {
    log::start(&LogSettings::default());
    let service = match wheelspread_platform::Service::start(path) {
        Ok(service) => service,
        Err(wheelspread_platform::StartError::Stopped) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    match service.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}

fn proxy(path: &Path) -> ExitCode {
    let plan = match ProxyConfig::read(path) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    log::start(&LogSettings::default());
    match serve(plan, NoObserver) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", path.display());
            ExitCode::FAILURE
        }
    }
}
