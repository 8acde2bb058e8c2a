//! `wheelspread drill`: runs a scripted day with faults on loopback and audits the recorded traffic.

use clap::{Args, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;
use wheelspread_controller_core::deployment::TableDeliveryConfig;
use wheelspread_drill::{run, DayScript, Options, RuleViolation, Script, ScriptError, BUILT_IN};

/// Arguments of `wheelspread drill`.
#[derive(Args)]
pub struct DrillArguments {
    /// The script; default: the one built into the program.
    script: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Injects the faults of a recorded day of the operators' bench.
    #[arg(long, value_name = "DAY.json")]
    day: Option<PathBuf>,
    /// Runs the script with a simple policy instead of controllers.
    #[arg(long, value_enum)]
    baseline: Option<Baseline>,
    /// Proxies read their tables from discovery streams instead of files.
    #[arg(long, conflicts_with_all = ["baseline", "sabotage"])]
    streams: bool,
    /// Deletes the state of each controller that is killed, to show what difference the persisted state makes.
    #[arg(long)]
    forget: bool,
    /// Keeps the published tables and a log of each proxy, node and directory.
    #[arg(long, value_name = "DIR")]
    keep: Option<PathBuf>,
    /// Prints one JSON object instead of a table.
    #[arg(long)]
    json: bool,
    /// Breaks a rule on purpose, with even weights, to test that the audit detects it.
    #[arg(long, value_enum, hide = true)]
    sabotage: Option<BrokenRule>,
}

#[derive(Clone, Copy, ValueEnum)]
enum Baseline {
    /// Equal weights over all listed nodes, published without pacing.
    Even,
}

#[derive(Clone, Copy, ValueEnum)]
enum BrokenRule {
    EmptyTable,
    Repeat,
    KeepDrained,
    FloodCold,
    Overfill,
}

const RULE_VIOLATED: u8 = 1;
const INVALID_SCRIPT: u8 = 2;
/// The drill could not run, so no rule was checked.
const NOT_RUN: u8 = 3;

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
            return ExitCode::from(INVALID_SCRIPT);
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
            eprintln!("cannot determine the path of the running executable: {error}");
            return ExitCode::from(NOT_RUN);
        }
    };
    for kind in &not_injected {
        eprintln!("fault kind not supported by the drill, not injected: {kind}");
    }
    let sabotage = arguments.sabotage.map(|broken_rule| match broken_rule {
        BrokenRule::EmptyTable => RuleViolation::EmptyTable,
        BrokenRule::Repeat => RuleViolation::RetryUnsafe,
        BrokenRule::KeepDrained => RuleViolation::KeepDrained,
        BrokenRule::FloodCold => RuleViolation::OverloadWarming,
        BrokenRule::Overfill => RuleViolation::ExceedMessageCap,
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
            return ExitCode::from(NOT_RUN);
        }
    };
    if arguments.json {
        match serde_json::to_string(&report) {
            Ok(text) => print_line!("{text}"),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(NOT_RUN);
            }
        }
    } else {
        print_line!("{}", report.table().trim_end());
    }
    if report.verdict.all_rules_hold() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(RULE_VIOLATED)
    }
}
