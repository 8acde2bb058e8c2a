//! `wheelspread fleet`: queries and orders for many controllers.

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
/// Exit codes: 0 all answered, or the order holds everywhere; 1 refused by one at least, or controllers
/// disagree; 2 an invalid fleet file or call; 3 some did not answer, or the order holds at a part.
#[derive(Args)]
#[command(
    after_help = "Exit codes: 0 all answered, or the order holds everywhere; 1 refused by one at least, or \
                        controllers disagree; 2 a call or a fleet file that can't be; 3 some did not answer."
)]
pub struct FleetArguments {
    /// YAML: conductors (name, root or address), roots, tls, within; see docs/fleet.md
    fleet: PathBuf,
    /// How long a complete answer may take; left out: as in the fleet file.
    #[arg(long, value_parser = span_format::read, global = true)]
    within: Option<Span>,
    /// One JSON object instead of tables; lines of them with `watch`.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    operation: Operation,
}

#[derive(Subcommand)]
enum Operation {
    /// Each controller in a line: endpoint list, nodes, proxies, load reports, update queue, configuration; and where
    /// they disagree.
    Status,
    /// Which versions the proxies of each controller hold.
    Tables,
    /// How full each controller's update queue is.
    Channels,
    /// When each controller last received load reports, and their contents.
    Sums,
    /// Drains a node at all controllers.
    Drain(order::DrainArguments),
    /// Withdraws a drain: the endpoint list decides again.
    Undrain(order::DrainArguments),
    /// Sends controllers the orders that they missed while they were away, as the others hold them.
    Sync,
    /// In which state each controller holds a node, and which proxies' tables name it.
    Where { node: String },
    /// Prints the status at an interval.
    Watch {
        #[arg(long, value_parser = span_format::read, default_value = "2s")]
        every: Span,
        /// Ends after so many.
        #[arg(long)]
        times: Option<u64>,
    },
    /// The fleet in a terminal, updated at an interval; q ends it.
    Top {
        #[arg(long, value_parser = span_format::read, default_value = "1s")]
        every: Span,
    },
}

/// Why no controller was asked at all.
#[derive(Debug, thiserror::Error)]
pub enum FleetCommandError {
    /// The fleet file can't be read or is invalid.
    #[error(transparent)]
    File(#[from] FleetError),
    /// The terminal can't be used.
    #[error("the terminal")]
    Terminal(#[from] io::Error),
}

impl FleetCommandError {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

/// Queries or orders all controllers of a fleet.
pub fn fleet(arguments: &FleetArguments) -> Result<ExitCode, FleetCommandError> {
    let mut fleet = FleetFile::read(&arguments.fleet)?.open()?;
    if let Some(within) = arguments.within {
        fleet.answer_timeout = Duration::from_secs_f64(within.seconds().max(MIN_ANSWER_SECONDS));
    }
    let as_object = arguments.json;
    let code = match &arguments.operation {
        Operation::Status => status(&fleet, as_object),
        Operation::Tables => query(&fleet, as_object, "/v1/tables", view::tables),
        Operation::Channels => query(&fleet, as_object, "/v1/channel", view::channels),
        Operation::Sums => query(&fleet, as_object, "/v1/sums", view::load_reports),
        Operation::Where { node } => query(
            &fleet,
            as_object,
            &format!("/v1/where/{node}"),
            view::whereabouts,
        ),
        Operation::Sync => order::sync(&fleet, as_object),
        Operation::Drain(drain) => order::drain(&fleet, as_object, drain, DrainAction::Drain),
        Operation::Undrain(drain) => order::drain(&fleet, as_object, drain, DrainAction::Undrain),
        Operation::Watch { every, times } => watch(&fleet, as_object, *every, *times),
        Operation::Top { every } => {
            top::run(&fleet, interval(*every))?;
            SUCCESS
        }
    };
    Ok(ExitCode::from(code))
}

/// The shortest time that controllers are given to answer.
const MIN_ANSWER_SECONDS: f64 = 0.05;
/// The shortest interval between two rounds of queries.
const MIN_INTERVAL_SECONDS: f64 = 0.1;

fn interval(every: Span) -> Duration {
    Duration::from_secs_f64(every.seconds().max(MIN_INTERVAL_SECONDS))
}

type Answers = BTreeMap<String, Result<Value, RequestError>>;

/// Who did not answer, by name.
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

/// Asks all controllers the same and prints their answers.
fn query(
    fleet: &Fleet,
    as_object: bool,
    target: &str,
    table: impl Fn(&str, &Value) -> Vec<String>,
) -> u8 {
    let begin = Instant::now();
    let answers = fleet.call_all(&Request::get(target), fleet.answer_timeout);
    if as_object {
        let seconds = begin.elapsed().as_secs_f64();
        say!(
            "{}",
            json!({ "conductors": as_json(&answers), "seconds": seconds })
        );
    } else {
        for (name, answer) in &answers {
            if let Ok(body) = answer {
                table(name, body).iter().for_each(|line| say!("{line}"));
            }
        }
        for (name, why) in missing(&answers) {
            say!("{name}: {why}");
        }
    }
    exit_code(&answers)
}

/// Whether all answered, as an exit code.
fn exit_code(answers: &Answers) -> u8 {
    if missing(answers).is_empty() {
        SUCCESS
    } else {
        CONTROLLER_UNREACHABLE
    }
}

fn status(fleet: &Fleet, as_object: bool) -> u8 {
    let snapshot = Snapshot::take(fleet);
    if as_object {
        say!("{}", snapshot.json());
    } else {
        snapshot.lines().iter().for_each(|line| say!("{line}"));
    }
    snapshot.exit_code()
}

fn watch(fleet: &Fleet, as_object: bool, every: Span, times: Option<u64>) -> u8 {
    let every = interval(every);
    let mut code = SUCCESS;
    for round in 0.. {
        if times.is_some_and(|times| round >= times) {
            break;
        }
        let begin = Instant::now();
        if round > 0 && !as_object {
            say!();
        }
        code = status(fleet, as_object);
        if times != Some(round + 1) {
            std::thread::sleep(every.saturating_sub(begin.elapsed()));
        }
    }
    code
}
