//! `wheelspread change`: changes of configuration as transactions, at one controller or several.

use crate::error_chain::error_chain;
use crate::exit::{BAD_INPUT, CONTROLLER_UNREACHABLE, NOT_CARRIED_OUT, SUCCESS};
use crate::operator::{call, call_all, entries, shown, Answer, CallError};
use clap::{Args, Subcommand};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Arguments of `wheelspread change`.
#[derive(Args)]
pub struct ChangeArguments {
    /// A controller's root of tables, in which its socket lies; several times for several controllers.
    #[arg(long, value_name = "ROOT", default_value = "tables", global = true)]
    at: Vec<PathBuf>,
    /// Prints the answers as they came, one line a controller.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    operation: Operation,
}

#[derive(Subcommand)]
enum Operation {
    /// Prints what a change would do, line by line, and the findings against it; changes nothing.
    Plan {
        /// YAML: id, by, base (left out: the version in force now), sets (path: value)
        file: PathBuf,
    },
    /// Checks a change and keeps it ready.
    Stage { file: PathBuf },
    /// Puts a staged change in force.
    Apply {
        id: String,
        /// Waits until it is kept or undone.
        #[arg(long)]
        wait: bool,
    },
    /// Undoes a change, or discards one that is only staged.
    Undo {
        id: String,
        /// Recorded with the change.
        #[arg(long, default_value = "by order")]
        why: String,
        /// Waits until it is undone.
        #[arg(long)]
        wait: bool,
    },
    /// All changes that a controller knows, and the configuration in force.
    List,
    /// One change with everything that is known of it.
    Show { id: String },
}

/// A change as an operator writes it.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ChangeFile {
    id: String,
    by: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    base: Option<u64>,
    sets: BTreeMap<String, Value>,
}

/// Why a change could not be sent.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The file of the change could not be read.
    #[error("{}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        source: io::Error,
    },
    /// The file is no change.
    #[error("{}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        source: serde_yaml_ng::Error,
    },
}

impl ChangeError {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

fn read(path: &Path) -> Result<Value, ChangeError> {
    let text = std::fs::read_to_string(path).map_err(|source| ChangeError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    let file: ChangeFile = serde_yaml_ng::from_str(&text).map_err(|source| ChangeError::Parse {
        path: path.to_path_buf(),
        source,
    })?;
    Ok(json!(file))
}

/// Between two queries for a change that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A controller that does not answer for so long while it is waited for is reported and not waited for any more.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A call of the operators' API.
struct Call {
    method: &'static str,
    target: String,
    body: Option<Value>,
}

impl Operation {
    /// The call that carries it out.
    fn call(&self) -> Result<Call, ChangeError> {
        let post = |target: &str, body| Call {
            method: "POST",
            target: format!("/v1/changes/{target}"),
            body: Some(body),
        };
        let get = |target: String| Call {
            method: "GET",
            target,
            body: None,
        };
        Ok(match self {
            Operation::Plan { file } => post("plan", read(file)?),
            Operation::Stage { file } => post("stage", read(file)?),
            Operation::Apply { id, .. } => post("apply", json!({ "id": id })),
            Operation::Undo { id, why, .. } => post("undo", json!({ "id": id, "why": why })),
            Operation::List => get("/v1/changes".to_string()),
            Operation::Show { id } => get(format!("/v1/changes/{id}")),
        })
    }

    /// The change whose end is waited for.
    fn awaited_change(&self) -> Option<&str> {
        match self {
            Operation::Apply { id, wait: true } | Operation::Undo { id, wait: true, .. } => {
                Some(id)
            }
            _ => None,
        }
    }
}

/// Plans, stages, applies, undoes or shows changes. A controller that fails is reported beside the answers of the
/// others; the exit code is that of the worst.
pub fn change(arguments: &ChangeArguments) -> Result<ExitCode, ChangeError> {
    let Call {
        method,
        target,
        body,
    } = arguments.operation.call()?;
    let mut answers = call_all(&arguments.at, method, &target, body.as_ref());
    if let Some(id) = arguments.operation.awaited_change() {
        for (root, answer) in arguments.at.iter().zip(&mut answers) {
            if answer.as_ref().is_ok_and(Answer::is_ok) {
                *answer = wait_until_final(root, id);
            }
        }
    }
    let mut worst = SUCCESS;
    for (root, answer) in arguments.at.iter().zip(answers) {
        let code = match answer {
            Ok(answer) => print_answer(arguments, root, &answer),
            Err(error) => {
                eprintln!("{}", error_chain(&error));
                CONTROLLER_UNREACHABLE
            }
        };
        worst = worst.max(code);
    }
    Ok(ExitCode::from(worst))
}

/// Polls a change until it is kept, undone or refused.
fn wait_until_final(root: &Path, id: &str) -> Result<Answer, CallError> {
    let mut last_answer_at = Instant::now();
    loop {
        match call(root, "GET", &format!("/v1/changes/{id}"), None) {
            Ok(answer) if answer.is_ok() => {
                if is_final(&answer.body) {
                    return Ok(Answer::ok(json!({ "change": answer.body })));
                }
                last_answer_at = Instant::now();
            }
            Err(_) if last_answer_at.elapsed() < UNREACHABLE_TIMEOUT => {}
            other => return other,
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn is_final(change: &Value) -> bool {
    matches!(
        change["state"].as_str(),
        Some("kept" | "undone" | "refused")
    )
}

/// Prints an answer; returns the exit code that follows from it.
fn print_answer(arguments: &ChangeArguments, root: &Path, answer: &Answer) -> u8 {
    let several = arguments.at.len() > 1;
    let head = if several {
        format!("{}: ", root.display())
    } else {
        String::new()
    };
    let body = &answer.body;
    if arguments.json {
        if several {
            say!(
                "{}",
                json!({ "at": root.display().to_string(), "answer": body })
            );
        } else {
            say!("{body}");
        }
        return if answer.is_ok() {
            SUCCESS
        } else {
            NOT_CARRIED_OUT
        };
    }
    if !answer.is_ok() {
        eprintln!("{head}{}", answer.refusal());
        return NOT_CARRIED_OUT;
    }
    match &arguments.operation {
        Operation::Plan { .. } => print_plan(&head, &body["planned"]),
        Operation::List => {
            match call(root, "GET", "/v1/configuration", None) {
                Ok(now) if now.is_ok() => print_configuration(&head, &now.body),
                _ => {}
            }
            print_list(body);
            SUCCESS
        }
        Operation::Show { .. } => print_change(&head, body),
        _ => print_change(&head, &body["change"]),
    }
}

/// Prints the findings of checks; returns whether one forbids the change.
fn print_findings(findings: &Value) -> bool {
    let mut forbidden = false;
    for finding in entries(findings) {
        let forbids = finding["forbids"].as_bool().unwrap_or(false);
        forbidden |= forbids;
        let verdict = if forbids { "no" } else { "ok" };
        say!(
            "  {verdict}  {}: {}",
            shown(&finding["check"]),
            shown(&finding["text"])
        );
    }
    forbidden
}

fn print_plan(head: &str, planned: &Value) -> u8 {
    say!("{head}against version {}", planned["version"]);
    for line in entries(&planned["lines"]) {
        let value = |value: &Value| {
            value
                .as_str()
                .map_or("(as listed)".to_string(), str::to_string)
        };
        say!("- {}: {}", shown(&line["path"]), value(&line["from"]));
        say!("+ {}: {}", shown(&line["path"]), value(&line["to"]));
    }
    if print_findings(&planned["findings"]) {
        NOT_CARRIED_OUT
    } else {
        SUCCESS
    }
}

/// Prints a change; the exit code shows whether it is undone or refused.
fn print_change(head: &str, change: &Value) -> u8 {
    let made = change["made"]
        .as_u64()
        .map_or(String::new(), |version| format!(", version {version}"));
    let undone = change["unmade"].as_u64().map_or(String::new(), |version| {
        format!(", taken back as {version}")
    });
    let (id, by, state) = (
        shown(&change["change"]["id"]),
        shown(&change["change"]["by"]),
        shown(&change["state"]),
    );
    say!("{head}{id} by {by}: {state}{made}{undone}");
    if let Some(why) = change["why"].as_str() {
        say!("  {why}");
    }
    for (path, to) in change["change"]["sets"].as_object().into_iter().flatten() {
        say!("  {path}: {}", to.as_str().unwrap_or("(as in the file)"));
    }
    print_findings(&change["findings"]);
    if matches!(state.as_str(), "refused" | "undone" | "undoing") {
        NOT_CARRIED_OUT
    } else {
        SUCCESS
    }
}

fn print_configuration(head: &str, configuration: &Value) {
    let lacking = entries(&configuration["lacking"])
        .map(shown)
        .collect::<Vec<_>>()
        .join(" ");
    say!("{head}version {} in force", configuration["version"]);
    if !lacking.is_empty() {
        say!("  not yet at {lacking}");
    }
    for (path, value) in configuration["values"].as_object().into_iter().flatten() {
        say!("  {path}: {}", shown(value));
    }
}

fn print_list(changes: &Value) {
    say!(
        "{:<24}{:<16}{:<10}{:>6}{:>8}  why",
        "change",
        "by",
        "state",
        "base",
        "version"
    );
    for record in entries(changes) {
        let change = &record["change"];
        say!(
            "{:<24}{:<16}{:<10}{:>6}{:>8}  {}",
            shown(&change["id"]),
            shown(&change["by"]),
            shown(&record["state"]),
            shown(&change["base"]),
            shown(&record["made"]),
            record["why"].as_str().unwrap_or("")
        );
    }
}
