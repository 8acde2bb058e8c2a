//! `wheelspread fleet`: many conductors from one desk.

mod top;
mod view;

use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use view::Snapshot;
use wheelspread::time::Span;
use wheelspread_controller_core::span_format;
use wheelspread_drain::consistency::{missing_orders, MissingOrder};
use wheelspread_drain::{Drain, DrainAction, Outcome, Reply};
use wheelspread_fleet::{drain_order, Failed, Fleet, FleetFile, Request};

use crate::operator::{NOT_CARRIED_OUT, NO_CONDUCTOR};
use crate::BAD_INPUT;

/// Exit codes: 0 all answered, or the order holds everywhere; 1 refused by one at least, or conductors are of
/// two minds; 2 a fleet file or a call that can't be; 3 some did not answer, or the order holds at a part.
#[derive(Args)]
#[command(
    after_help = "Exit codes: 0 all answered, or the order holds everywhere; 1 refused by one at least, or \
                        conductors disagree; 2 a call or a fleet file that can't be; 3 some did not answer."
)]
pub struct FleetArguments {
    /// YAML: conductors (name, root or address), roots, tls, within; see docs/fleet.md
    fleet: PathBuf,
    /// How long a complete answer may take; left out: as the fleet file says.
    #[arg(long, value_parser = span_format::read, global = true)]
    within: Option<Span>,
    /// One JSON object instead of tables; lines of them with `watch`.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Each conductor in a line: list, nodes, gateways, sums, channel, configuration; and where they disagree.
    Status,
    /// Which versions the gateways of each conductor hold.
    Tables,
    /// How full each conductor's channel is.
    Channels,
    /// When each conductor last heard sums, and what they said.
    Sums,
    /// Drains a node at all conductors.
    Drain(Ordering),
    /// Takes a drain back: the list has its word again.
    Undrain(Ordering),
    /// Tells conductors the orders that they missed while they were away, by what the others hold.
    Sync,
    /// Which conductors hold a node how, and which gateways' tables name it.
    Where { node: String },
    /// Prints the status again and again.
    Watch {
        #[arg(long, value_parser = span_format::read, default_value = "2s")]
        every: Span,
        /// Ends after so many.
        #[arg(long)]
        times: Option<u64>,
    },
    /// The fleet in a terminal, kept up to date; q ends it.
    Top {
        #[arg(long, value_parser = span_format::read, default_value = "1s")]
        every: Span,
    },
}

#[derive(Args)]
struct Ordering {
    /// As 127.0.0.1:9000
    node: String,
    /// Who orders, for the record.
    #[arg(long, default_value_t = user())]
    by: String,
    /// Names a check that is to be overridden, as `pool`, `cold` or `capacity`; it is logged.
    #[arg(long, value_name = "CHECK")]
    force: Vec<String>,
    /// Waits until no gateway sends there any more, and says by which evidence.
    #[arg(long)]
    wait: bool,
    /// How long the order is told again where it failed, and waited for; left out: as the fleet file says.
    #[arg(long, value_parser = span_format::read)]
    order_within: Option<Span>,
}

fn user() -> String {
    std::env::var("USER")
        .ok()
        .filter(|user| !user.is_empty())
        .unwrap_or_else(|| "operator".to_string())
}

pub fn fleet(arguments: FleetArguments) -> ExitCode {
    let opened = FleetFile::read(&arguments.fleet).and_then(|file| file.open());
    let mut fleet = match opened {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    if let Some(within) = arguments.within {
        fleet.within = Duration::from_secs_f64(within.seconds().max(0.05));
    }
    let code = match &arguments.what {
        What::Status => status(&fleet, arguments.json),
        What::Tables => plain(&fleet, arguments.json, "/v1/tables", view::tables),
        What::Channels => plain(&fleet, arguments.json, "/v1/channel", view::channels),
        What::Sums => plain(&fleet, arguments.json, "/v1/sums", view::sums),
        What::Where { node } => plain(
            &fleet,
            arguments.json,
            &format!("/v1/where/{node}"),
            view::whereabouts,
        ),
        What::Sync => sync(&fleet, arguments.json),
        What::Drain(order) => ordered(&fleet, arguments.json, order, DrainAction::Drain),
        What::Undrain(order) => ordered(&fleet, arguments.json, order, DrainAction::Undrain),
        What::Watch { every, times } => watch(&fleet, arguments.json, *every, *times),
        What::Top { every } => {
            match top::run(&fleet, Duration::from_secs_f64(every.seconds().max(0.1))) {
                Ok(()) => 0,
                Err(error) => {
                    eprintln!("the terminal: {error}");
                    BAD_INPUT
                }
            }
        }
    };
    ExitCode::from(code)
}

type Answers = BTreeMap<String, Result<Value, Failed>>;

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
        Ok(told) => (name.clone(), told.clone()),
        Err(failed) => (name.clone(), json!({ "failed": failed.to_string() })),
    });
    Value::Object(each.collect())
}

/// Asks all the same and prints a table of it.
fn plain(
    fleet: &Fleet,
    as_object: bool,
    target: &str,
    table: impl Fn(&str, &Value) -> Vec<String>,
) -> u8 {
    let begin = Instant::now();
    let answers = fleet.ask(&Request::get(target), fleet.within);
    if as_object {
        let seconds = begin.elapsed().as_secs_f64();
        say!(
            "{}",
            json!({ "conductors": as_json(&answers), "seconds": seconds })
        );
    } else {
        for (name, answer) in &answers {
            if let Ok(told) = answer {
                table(name, told).iter().for_each(|line| say!("{line}"));
            }
        }
        for (name, why) in missing(&answers) {
            say!("{name}: {why}");
        }
    }
    match missing(&answers).len() {
        0 => 0,
        _ => NO_CONDUCTOR,
    }
}

fn status(fleet: &Fleet, as_object: bool) -> u8 {
    let snapshot = Snapshot::take(fleet);
    if as_object {
        say!("{}", snapshot.json());
    } else {
        snapshot.lines().iter().for_each(|line| say!("{line}"));
    }
    snapshot.code()
}

fn watch(fleet: &Fleet, as_object: bool, every: Span, times: Option<u64>) -> u8 {
    let every = Duration::from_secs_f64(every.seconds().max(0.1));
    let mut code = 0;
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

fn ordered(fleet: &Fleet, as_object: bool, order: &Ordering, word: DrainAction) -> u8 {
    let begin = Instant::now();
    let within = order.order_within.unwrap_or(fleet.order_within);
    let body = drain_order(&order.node, word, &order.by, &order.force);
    let request = Request::post("/v1/drains", body.clone());
    let told = fleet.order(&request, within, u64::from(std::process::id()));
    let refused = told
        .conductors
        .values()
        .any(|(_, reply)| matches!(reply, Some(Reply::Refused { .. })));
    let code = match told.outcome {
        Outcome::Everywhere => 0,
        _ if refused => NOT_CARRIED_OUT,
        Outcome::Partly | Outcome::Nowhere => NO_CONDUCTOR,
    };
    let taken: BTreeSet<String> = told
        .conductors
        .iter()
        .filter(|(_, (_, reply))| matches!(reply, Some(Reply::Taken { .. })))
        .map(|(name, _)| name.clone())
        .collect();
    let waited = (order.wait && !taken.is_empty()).then(|| {
        wait(
            fleet,
            &order.node,
            word,
            &taken,
            begin + Duration::from_secs_f64(within.seconds()),
        )
    });
    if as_object {
        say!(
            "{}",
            json!({ "order": body, "told": told, "waited": waited, "seconds": begin.elapsed().as_secs_f64() })
        );
    } else {
        for (name, (tries, reply)) in &told.conductors {
            let what = match reply {
                Some(Reply::Taken { state }) => state.clone(),
                Some(Reply::Refused { reason }) => format!("refused: {reason}"),
                Some(Reply::Failed { reason }) => {
                    format!("not told, after {tries} tries: {reason}")
                }
                None => "no answer".to_string(),
            };
            say!("{name}: {what}");
        }
        let outcome = match told.outcome {
            Outcome::Everywhere => "it holds at all conductors",
            Outcome::Partly => "it holds at a part of the conductors only: tell it again",
            Outcome::Nowhere => "it holds nowhere",
        };
        say!("{outcome}");
        waited
            .iter()
            .flat_map(|waited| &waited.lines)
            .for_each(|line| say!("{line}"));
    }
    match waited {
        Some(waited) if !waited.done => code.max(NO_CONDUCTOR),
        _ => code,
    }
}

fn sync(fleet: &Fleet, as_object: bool) -> u8 {
    let answers = fleet.ask(&Request::get("/v1/drains"), fleet.within);
    let held = answers.iter().filter_map(|(name, answer)| {
        let drains = serde_json::from_value::<Vec<Drain>>(answer.as_ref().ok()?.clone());
        Some((name.clone(), drains.ok()?))
    });
    let missed = missing_orders(&held.collect());
    let (mut told, mut code) = (
        Vec::new(),
        if missing(&answers).is_empty() {
            0
        } else {
            NO_CONDUCTOR
        },
    );
    for MissingOrder {
        controller: name,
        order,
    } in missed
    {
        let one = BTreeSet::from([name.clone()]);
        let request = Request::post("/v1/drains", json!(order));
        let answer = fleet
            .ask_some(&one, &request, Instant::now() + fleet.within)
            .remove(&name);
        let result = match answer {
            Some(Ok(drain)) => drain["state"].as_str().unwrap_or("taken").to_string(),
            Some(Err(failed)) => {
                code = code.max(if failed.passes() {
                    NO_CONDUCTOR
                } else {
                    NOT_CARRIED_OUT
                });
                failed.to_string()
            }
            None => "not asked".to_string(),
        };
        told.push(json!({ "conductor": name, "order": order, "result": result }));
    }
    let missing: BTreeMap<&str, String> = missing(&answers);
    if as_object {
        say!("{}", json!({ "told": told, "missing": missing }));
        return code;
    }
    for one in &told {
        let order = &one["order"];
        let text = |value: &Value| value.as_str().unwrap_or("").to_string();
        say!(
            "{}: {} {} by {}: {}",
            text(&one["conductor"]),
            text(&order["word"]),
            text(&order["node"]),
            text(&order["by"]),
            text(&one["result"])
        );
    }
    missing.iter().for_each(|(name, why)| say!("{name}: {why}"));
    say!("{} orders told that had been missed", told.len());
    code
}

#[derive(serde::Serialize)]
struct Waited {
    done: bool,
    lines: Vec<String>,
}

/// Between two looks at a drain that is waited for.
const LOOK: Duration = Duration::from_millis(100);

/// Until the conductors that took an order say that it is quiet there, or taken back.
fn wait(
    fleet: &Fleet,
    node: &str,
    word: DrainAction,
    taken: &BTreeSet<String>,
    until: Instant,
) -> Waited {
    loop {
        let round = (Instant::now() + fleet.within).min(until + LOOK);
        let answers = fleet.ask_some(taken, &Request::get(format!("/v1/where/{node}")), round);
        let mut lines = Vec::new();
        let mut done = true;
        for (name, answer) in &answers {
            let (there, line) = match answer {
                Ok(told) => evidence(&told["drain"], word),
                Err(failed) => (false, failed.to_string()),
            };
            done &= there;
            lines.push(format!("{name}: {line}"));
        }
        if done || Instant::now() >= until {
            return Waited { done, lines };
        }
        std::thread::sleep(LOOK);
    }
}

fn evidence(drain: &Value, word: DrainAction) -> (bool, String) {
    let (state, told) = (
        drain["state"].as_str().unwrap_or("not known"),
        &drain["evidence"],
    );
    let number = |name: &str| told[name].as_u64().unwrap_or(0);
    if word == DrainAction::Undrain {
        return (state == "withdrawn", state.to_string());
    }
    let (named, gateways) = (number("named_by"), number("gateways"));
    match state {
        "quiet" => {
            let (tries, heard) = (number("tries"), number("heard"));
            let text = format!(
                "quiet: 0 of {gateways} gateways name it, {tries} tries reported by {heard} that were heard since"
            );
            (true, text)
        }
        "in-force" if gateways == 0 => (true, "in force: no gateway is joined".to_string()),
        "in-force" => (
            false,
            format!("in force: {named} of {gateways} gateways name it, nobody heard since yet"),
        ),
        _ => (
            false,
            format!("{state}: {named} of {gateways} gateways name it"),
        ),
    }
}
