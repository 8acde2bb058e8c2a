//! `wheelspread fleet`: sends queries and orders to the controllers of a fleet.

mod order;
mod top;
mod view;

use crate::exit::{BAD_INPUT, CONTROLLER_UNREACHABLE, SUCCESS};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use view::Snapshot;
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;
use wheelspread_drain::DrainAction;
use wheelspread_fleet::{Fleet, FleetError, FleetFile, Request, RequestError};

/// Arguments of `wheelspread fleet`.
///
/// Exit codes: 0 if all controllers answered or carried the order out; 1 if at least one refused, or controllers
/// disagree; 2 for an invalid fleet file or argument; 3 if some controllers did not answer, or only a part of them
/// carried the order out.
#[derive(Args)]
#[command(
    after_help = "Exit codes: 0 if all controllers answered or carried the order out; 1 if at least one refused, \
                        or controllers disagree; 2 for an invalid fleet file or argument; 3 if some controllers did not answer."
)]
pub struct FleetArguments {
    /// YAML: conductors (name, root or address), roots, tls, within; see docs/fleet.md
    fleet: PathBuf,
    /// The time limit for the answers of all controllers; default: the fleet file's.
    #[arg(long, value_parser = span_format::read, global = true)]
    within: Option<Span>,
    /// Prints one JSON object instead of tables; with `watch`, one per line.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    operation: Operation,
}

#[derive(Subcommand)]
enum Operation {
    /// Shows one line per controller (endpoint list, nodes, proxies, load reports, update queue, configuration), and
    /// where controllers disagree.
    Status,
    /// Shows the table versions that the proxies of each controller hold.
    Tables,
    /// Shows how full each controller's update queue is.
    Channels,
    /// Shows when each controller last received load reports, and their contents.
    Sums,
    /// Drains a node at all controllers.
    Drain(order::DrainArguments),
    /// Withdraws a drain order, so that the node's state follows the endpoint list again.
    Undrain(order::DrainArguments),
    /// Sends each controller the drain orders that it missed while it was unreachable, as the others hold them.
    Sync,
    /// Shows a node's state at each controller, and the proxies whose tables contain it.
    Where { node: String },
    /// Prints the status at an interval.
    Watch {
        #[arg(long, value_parser = span_format::read, default_value = "2s")]
        every: Span,
        /// The number of times to print the status; default: no limit.
        #[arg(long)]
        times: Option<u64>,
    },
    /// Shows the fleet in the terminal, updated at an interval; q quits.
    Top {
        #[arg(long, value_parser = span_format::read, default_value = "1s")]
        every: Span,
    },
}

/// Why the command could not run.
#[derive(Debug, thiserror::Error)]
pub enum FleetCommandError {
    /// The fleet file could not be read or is invalid.
    #[error(transparent)]
    File(#[from] FleetError),
    /// The terminal could not be used.
    #[error("cannot use the terminal")]
    Terminal(#[from] io::Error),
}

impl FleetCommandError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

/// Runs a query or an order at the controllers of a fleet.
pub fn fleet(arguments: &FleetArguments) -> Result<ExitCode, FleetCommandError> {
    let mut fleet = FleetFile::read(&arguments.fleet)?.open()?;
    if let Some(within) = arguments.within {
        fleet.answer_timeout = Duration::from_secs_f64(within.seconds().max(MIN_ANSWER_SECONDS));
    }
    let json_output = arguments.json;
    let code = match &arguments.operation {
        Operation::Status => status(&fleet, json_output),
        Operation::Tables => query(&fleet, json_output, "/v1/tables", view::tables),
        Operation::Channels => query(&fleet, json_output, "/v1/channel", view::channels),
        Operation::Sums => query(&fleet, json_output, "/v1/sums", view::load_reports),
        Operation::Where { node } => query(
            &fleet,
            json_output,
            &format!("/v1/where/{node}"),
            view::node_state,
        ),
        Operation::Sync => order::sync(&fleet, json_output),
        Operation::Drain(drain) => order::drain(&fleet, json_output, drain, DrainAction::Drain),
        Operation::Undrain(drain) => order::drain(&fleet, json_output, drain, DrainAction::Undrain),
        Operation::Watch { every, times } => watch(&fleet, json_output, *every, *times),
        Operation::Top { every } => {
            top::run(&fleet, interval(*every))?;
            SUCCESS
        }
    };
    Ok(ExitCode::from(code))
}

/// The minimum time limit for an answer.
const MIN_ANSWER_SECONDS: f64 = 0.05;
/// The minimum interval between two rounds of queries.
const MIN_INTERVAL_SECONDS: f64 = 0.1;

fn interval(every: Span) -> Duration {
    Duration::from_secs_f64(every.seconds().max(MIN_INTERVAL_SECONDS))
}

type Answers = BTreeMap<String, Result<Value, RequestError>>;

/// The reason of failure of each controller that did not answer, by the controller's name.
fn missing(answers: &Answers) -> BTreeMap<&str, String> {
    let failed = answers
        .iter()
        .filter_map(|(name, answer)| Some((name.as_str(), answer.as_ref().err()?)));
    failed
        .map(|(name, failed)| (name, failed.to_string()))
        .collect()
}

fn as_json(answers: &Answers) -> Value {
    let each = answers.iter().map(|(name, answer)| match answer {
        Ok(body) => (name.clone(), body.clone()),
        Err(failed) => (name.clone(), json!({ "failed": failed.to_string() })),
    });
    Value::Object(each.collect())
}

/// Sends the same query to all controllers and prints their answers.
fn query(
    fleet: &Fleet,
    json_output: bool,
    target: &str,
    table: impl Fn(&str, &Value) -> Vec<String>,
) -> u8 {
    let begin = Instant::now();
    let answers = fleet.call_all(&Request::get(target), fleet.answer_timeout);
    if json_output {
        let seconds = begin.elapsed().as_secs_f64();
        print_line!(
            "{}",
            json!({ "conductors": as_json(&answers), "seconds": seconds })
        );
    } else {
        for (name, answer) in &answers {
            if let Ok(body) = answer {
                table(name, body)
                    .iter()
                    .for_each(|line| print_line!("{line}"));
            }
        }
        for (name, why) in missing(&answers) {
            print_line!("{name}: {why}");
        }
    }
    exit_code(&answers)
}

/// The exit code that shows whether all controllers answered.
fn exit_code(answers: &Answers) -> u8 {
    if missing(answers).is_empty() {
        SUCCESS
    } else {
        CONTROLLER_UNREACHABLE
    }
}

fn status(fleet: &Fleet, json_output: bool) -> u8 {
    let snapshot = Snapshot::take(fleet);
    if json_output {
        print_line!("{}", snapshot.json());
    } else {
        snapshot
            .lines()
            .iter()
            .for_each(|line| print_line!("{line}"));
    }
    snapshot.exit_code()
}

fn watch(fleet: &Fleet, json_output: bool, every: Span, times: Option<u64>) -> u8 {
    let every = interval(every);
    let mut code = SUCCESS;
    for round in 0.. {
        if times.is_some_and(|times| round >= times) {
            break;
        }
        let begin = Instant::now();
        if round > 0 && !json_output {
            print_line!();
        }
        code = status(fleet, json_output);
        if times != Some(round + 1) {
            std::thread::sleep(every.saturating_sub(begin.elapsed()));
        }
    }
    code
}
