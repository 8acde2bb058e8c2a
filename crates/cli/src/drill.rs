//! `wheelspread drill`: a day with faults on loopback, and its audit.

use clap::{Args, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use wheelspread_controller_core::deployment::TableDeliveryConfig;
use wheelspread_drill::{run, DayScript, Options, RuleViolation, Script, ScriptError, BUILT_IN};

/// Arguments of `wheelspread drill`.
#[derive(Args)]
pub struct DrillArguments {
    /// A script; without one, the bad day that the program carries with it.
    script: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Plays the faults of a day of the operators' bench.
    #[arg(long, value_name = "DAY.json")]
    day: Option<PathBuf>,
    /// Plays it with a plain policy instead of controllers.
    #[arg(long, value_enum)]
    baseline: Option<Baseline>,
    /// Proxies read their tables from discovery streams instead of files.
    #[arg(long, conflicts_with_all = ["baseline", "sabotage"])]
    streams: bool,
    /// Controllers that are killed lose their state, to see what it is worth.
    #[arg(long)]
    forget: bool,
    /// Keeps all that was published and a log of each proxy, node and directory.
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Prints one JSON object instead of a table.
    #[arg(long)]
    json: bool,
    /// Breaks a rule on purpose, to see that the audit finds it; with even weights.
    #[arg(long, value_enum, hide = true)]
    sabotage: Option<Broken>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Baseline {
    /// Even weights over all listed nodes, written at once.
    Even,
}

#[derive(Clone, Copy, ValueEnum)]
enum Broken {
    EmptyTable,
    Repeat,
    KeepDrained,
    FloodCold,
    Overfill,
}

const RULE_BROKEN: u8 = 1;
const BAD_SCRIPT: u8 = 2;
/// The drill could not be played, which says nothing of the rules.
const NOT_PLAYED: u8 = 3;

fn script(arguments: &DrillArguments) -> Result<DayScript, ScriptError> {
    let script = match &arguments.script {
        Some(path) => Script::read(path)?,
        None => Script::parse(BUILT_IN)?,
    };
    match &arguments.day {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|source| ScriptError::Unreadable {
                path: path.clone(),
                source,
            })?;
            script.with_day(&text).map_err(|error| error.in_file(path))
        }
        None => Ok(DayScript {
            script,
            not_injected: Vec::new(),
        }),
    }
}

/// Runs a drill and prints its report; the exit code shows whether all rules were kept.
pub fn drill(arguments: DrillArguments) -> ExitCode {
    let DayScript {
        mut script,
        not_injected,
    } = match script(&arguments) {
        Ok(script) => script,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_SCRIPT);
        }
    };
    if arguments.streams {
        script.deployment.table_delivery = TableDeliveryConfig {
            files: false,
            streams: true,
        };
    }
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => {
            eprintln!("this program can't be found: {error}");
            return ExitCode::from(NOT_PLAYED);
        }
    };
    for kind in &not_injected {
        eprintln!("not injected, as it can't be here: {kind}");
    }
    let sabotage = arguments.sabotage.map(|broken| match broken {
        Broken::EmptyTable => RuleViolation::EmptyTable,
        Broken::Repeat => RuleViolation::RetryUnsafe,
        Broken::KeepDrained => RuleViolation::KeepDrained,
        Broken::FloodCold => RuleViolation::OverloadWarming,
        Broken::Overfill => RuleViolation::ExceedMessageCap,
    });
    let mut progress = |text: &str| eprintln!("{text}");
    let options = Options {
        program,
        seed: arguments.seed,
        even_weights: arguments.baseline.is_some() || sabotage.is_some(),
        violation: sabotage,
        discard_state: arguments.forget,
        keep_directory: arguments.keep.clone(),
        not_injected,
        progress: &mut progress,
    };
    let report = match run(&script, options) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(NOT_PLAYED);
        }
    };
    if arguments.json {
        match serde_json::to_string(&report) {
            Ok(text) => say!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(NOT_PLAYED);
            }
        }
    } else {
        say!("{}", report.table().trim_end());
    }
    if report.verdict.all_rules_hold() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(RULE_BROKEN)
    }
}
