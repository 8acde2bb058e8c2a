//! `wheelspread change`: plans, stages, applies and undoes configuration changes at one controller or several.

use crate::error_chain::error_chain;
use crate::exit::{BAD_INPUT, CONTROLLER_UNREACHABLE, REFUSED, SUCCESS};
use crate::operator::{array_elements, call, call_all, display_value, Answer, CallError};
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
    /// A controller's tables root, in which its socket lies; repeat the option for several controllers.
    #[arg(long, value_name = "ROOT", default_value = "tables", global = true)]
    at: Vec<PathBuf>,
    /// Prints the answers as JSON, unchanged, one line per controller.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    operation: Operation,
}

#[derive(Subcommand)]
enum Operation {
    /// Prints the values that a change would set and the findings of the checks; changes nothing.
    Plan {
        /// YAML: id, by, base (default: the version in force now), sets (path: value)
        file: PathBuf,
    },
    /// Checks a change and stores it, ready to be applied.
    Stage { file: PathBuf },
    /// Applies a staged change.
    Apply {
        id: String,
        /// Waits until the change is kept, undone or refused.
        #[arg(long)]
        wait: bool,
    },
    /// Undoes an applied change, or discards a staged one.
    Undo {
        id: String,
        /// The reason that is recorded with the change.
        #[arg(long, default_value = "by order")]
        why: String,
        /// Waits until the change is undone.
        #[arg(long)]
        wait: bool,
    },
    /// Lists the changes that a controller has recorded and the configuration in force.
    List,
    /// Shows one change with its state, values and findings.
    Show { id: String },
}

/// The file in which an operator describes a change.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ChangeFile {
    id: String,
    by: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    base: Option<u64>,
    sets: BTreeMap<String, Value>,
}

/// Why a change file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ChangeError {
    /// The file could not be read.
    #[error("{}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        source: io::Error,
    },
    /// The file is not a valid change.
    #[error("{}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        source: serde_yaml_ng::Error,
    },
}

impl ChangeError {
    /// The exit code of the process.
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

/// The interval between two queries for the state of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// While waiting for a change, a controller that does not answer for this long is reported as unreachable.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request to the operators' API.
struct Call {
    method: &'static str,
    target: String,
    body: Option<Value>,
}

impl Operation {
    /// The request that carries the operation out.
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

    /// The id of the change to wait for, if `--wait` was given.
    fn awaited_change(&self) -> Option<&str> {
        match self {
            Operation::Apply { id, wait: true } | Operation::Undo { id, wait: true, .. } => {
                Some(id)
            }
            _ => None,
        }
    }
}

/// Plans, stages, applies, undoes or shows changes. A controller that does not answer is reported along with the
/// answers of the others; the exit code is the highest one of all controllers.
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
    let mut max_code = SUCCESS;
    for (root, answer) in arguments.at.iter().zip(answers) {
        let code = match answer {
            Ok(answer) => print_answer(arguments, root, &answer),
            Err(error) => {
                eprintln!("{}", error_chain(&error));
                CONTROLLER_UNREACHABLE
            }
        };
        max_code = max_code.max(code);
    }
    Ok(ExitCode::from(max_code))
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

/// Prints an answer and returns the exit code for it.
fn print_answer(arguments: &ChangeArguments, root: &Path, answer: &Answer) -> u8 {
    let has_several_roots = arguments.at.len() > 1;
    let prefix = if has_several_roots {
        format!("{}: ", root.display())
    } else {
        String::new()
    };
    let body = &answer.body;
    if arguments.json {
        if has_several_roots {
            print_line!(
                "{}",
                json!({ "at": root.display().to_string(), "answer": body })
            );
        } else {
            print_line!("{body}");
        }
        return if answer.is_ok() { SUCCESS } else { REFUSED };
    }
    if !answer.is_ok() {
        eprintln!("{prefix}{}", answer.refusal());
        return REFUSED;
    }
    match &arguments.operation {
        Operation::Plan { .. } => print_plan(&prefix, &body["planned"]),
        Operation::List => {
            match call(root, "GET", "/v1/configuration", None) {
                Ok(now) if now.is_ok() => print_configuration(&prefix, &now.body),
                _ => {}
            }
            print_list(body);
            SUCCESS
        }
        Operation::Show { .. } => print_change(&prefix, body),
        _ => print_change(&prefix, &body["change"]),
    }
}

/// Prints the findings of the checks; returns whether one forbids the change.
fn print_findings(findings: &Value) -> bool {
    let mut forbidden = false;
    for finding in array_elements(findings) {
        let forbids = finding["forbids"].as_bool().unwrap_or(false);
        forbidden |= forbids;
        let verdict = if forbids { "no" } else { "ok" };
        print_line!(
            "  {verdict}  {}: {}",
            display_value(&finding["check"]),
            display_value(&finding["text"])
        );
    }
    forbidden
}

fn print_plan(prefix: &str, planned: &Value) -> u8 {
    print_line!("{prefix}against version {}", planned["version"]);
    for line in array_elements(&planned["lines"]) {
        let value = |value: &Value| {
            value
                .as_str()
                .map_or("(as listed)".to_string(), str::to_string)
        };
        print_line!(
            "- {}: {}",
            display_value(&line["path"]),
            value(&line["from"])
        );
        print_line!("+ {}: {}", display_value(&line["path"]), value(&line["to"]));
    }
    if print_findings(&planned["findings"]) {
        REFUSED
    } else {
        SUCCESS
    }
}

/// Prints a change; returns a non-zero exit code if it is refused, undone or being undone.
fn print_change(prefix: &str, change: &Value) -> u8 {
    let applied = change["made"]
        .as_u64()
        .map_or(String::new(), |version| format!(", version {version}"));
    let undone = change["unmade"].as_u64().map_or(String::new(), |version| {
        format!(", undone by version {version}")
    });
    let (id, by, state) = (
        display_value(&change["change"]["id"]),
        display_value(&change["change"]["by"]),
        display_value(&change["state"]),
    );
    print_line!("{prefix}{id} by {by}: {state}{applied}{undone}");
    if let Some(why) = change["why"].as_str() {
        print_line!("  {why}");
    }
    for (path, to) in change["change"]["sets"].as_object().into_iter().flatten() {
        print_line!("  {path}: {}", to.as_str().unwrap_or("(as in the file)"));
    }
    print_findings(&change["findings"]);
    if matches!(state.as_str(), "refused" | "undone" | "undoing") {
        REFUSED
    } else {
        SUCCESS
    }
}

fn print_configuration(prefix: &str, configuration: &Value) {
    let lacking = array_elements(&configuration["lacking"])
        .map(display_value)
        .collect::<Vec<_>>()
        .join(" ");
    print_line!("{prefix}version {} in force", configuration["version"]);
    if !lacking.is_empty() {
        print_line!("  not yet at {lacking}");
    }
    for (path, value) in configuration["values"].as_object().into_iter().flatten() {
        print_line!("  {path}: {}", display_value(value));
    }
}

fn print_list(changes: &Value) {
    print_line!(
        "{:<24}{:<16}{:<10}{:>6}{:>8}  why",
        "change",
        "by",
        "state",
        "base",
        "version"
    );
    for record in array_elements(changes) {
        let change = &record["change"];
        print_line!(
            "{:<24}{:<16}{:<10}{:>6}{:>8}  {}",
            display_value(&change["id"]),
            display_value(&change["by"]),
            display_value(&record["state"]),
            display_value(&change["base"]),
            display_value(&record["made"]),
            record["why"].as_str().unwrap_or("")
        );
    }
}
