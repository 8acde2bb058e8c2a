//! `wheelspread change`: changes of configuration as transactions, at one conductor or several.

use crate::operator::{call, call_all, entries, shown, NOT_CARRIED_OUT, NO_CONDUCTOR};
use crate::BAD_INPUT;
use clap::{Args, Subcommand};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

#[derive(Args)]
pub struct ChangeArguments {
    /// A conductor's root of tables, in which its socket lies; several times for several conductors.
    #[arg(long, value_name = "ROOT", default_value = "tables", global = true)]
    at: Vec<PathBuf>,
    /// Prints the answers as they came, one line a conductor.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Prints what a change would do, line by line, and what speaks against it; changes nothing.
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
    /// Takes a change back, or lets go of one that is only staged.
    Undo {
        id: String,
        /// Kept with the change.
        #[arg(long, default_value = "by order")]
        why: String,
        /// Waits until it is undone.
        #[arg(long)]
        wait: bool,
    },
    /// All changes that a conductor knows, and the configuration in force.
    List,
    /// One change with everything that is known of it.
    Show { id: String },
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ChangeFile {
    id: String,
    by: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    base: Option<u64>,
    sets: BTreeMap<String, Value>,
}

fn read(path: &Path) -> Result<Value, String> {
    let said = |text: String| format!("{}: {text}", path.display());
    let text = std::fs::read_to_string(path).map_err(|error| said(error.to_string()))?;
    let file: ChangeFile =
        serde_yaml_ng::from_str(&text).map_err(|error| said(error.to_string()))?;
    Ok(json!(file))
}

/// Between two looks at a change that is waited for.
const LOOK: Duration = Duration::from_millis(100);
/// A conductor that is away for so long while it is waited for is named and not waited for any more.
const GONE: Duration = Duration::from_secs(10);

pub fn change(arguments: ChangeArguments) -> ExitCode {
    let (method, target, body, wait) = match &arguments.what {
        What::Plan { file } | What::Stage { file } => {
            let body = match read(file) {
                Ok(body) => body,
                Err(reason) => {
                    eprintln!("{reason}");
                    return ExitCode::from(BAD_INPUT);
                }
            };
            let plan = matches!(arguments.what, What::Plan { .. });
            let target = if plan {
                "/v1/changes/plan"
            } else {
                "/v1/changes/stage"
            };
            ("POST", target.to_string(), Some(body), None)
        }
        What::Apply { id, wait } => (
            "POST",
            "/v1/changes/apply".to_string(),
            Some(json!({ "id": id })),
            wait.then_some(id),
        ),
        What::Undo { id, why, wait } => {
            let body = json!({ "id": id, "why": why });
            (
                "POST",
                "/v1/changes/undo".to_string(),
                Some(body),
                wait.then_some(id),
            )
        }
        What::List => ("GET", "/v1/changes".to_string(), None, None),
        What::Show { id } => ("GET", format!("/v1/changes/{id}"), None, None),
    };
    let mut answers = call_all(&arguments.at, method, &target, body.as_ref());
    if let Some(id) = wait {
        for (root, answer) in arguments.at.iter().zip(&mut answers) {
            if matches!(answer, Ok((200, _))) {
                *answer = until_over(root, id);
            }
        }
    }
    let mut worst = 0;
    for (root, answer) in arguments.at.iter().zip(answers) {
        worst = worst.max(tell(&arguments, root, answer));
    }
    ExitCode::from(worst)
}

/// Looks at a change until nothing more comes of it by itself.
fn until_over(root: &Path, id: &str) -> Result<(u16, Value), String> {
    let mut seen = Instant::now();
    loop {
        match call(root, "GET", &format!("/v1/changes/{id}"), None) {
            Ok((200, told))
                if matches!(told["state"].as_str(), Some("kept" | "undone" | "refused")) =>
            {
                return Ok((200, json!({ "change": told })));
            }
            Ok((200, _)) => seen = Instant::now(),
            Err(_) if seen.elapsed() < GONE => {}
            other => return other,
        }
        std::thread::sleep(LOOK);
    }
}

/// Prints an answer; returns the exit code that it asks for.
fn tell(arguments: &ChangeArguments, root: &Path, answer: Result<(u16, Value), String>) -> u8 {
    let several = arguments.at.len() > 1;
    let head = || {
        if several {
            format!("{}: ", root.display())
        } else {
            String::new()
        }
    };
    let (status, told) = match answer {
        Ok(answer) => answer,
        Err(reason) => {
            eprintln!("{reason}");
            return NO_CONDUCTOR;
        }
    };
    if arguments.json {
        let told = if several {
            json!({ "at": root.display().to_string(), "answer": told })
        } else {
            told
        };
        say!("{told}");
        return if status == 200 { 0 } else { NOT_CARRIED_OUT };
    }
    if status != 200 {
        eprintln!(
            "{}{}",
            head(),
            told["error"].as_str().unwrap_or("not carried out")
        );
        return NOT_CARRIED_OUT;
    }
    match &arguments.what {
        What::Plan { .. } => plan(&head(), &told["planned"]),
        What::List => {
            if let Ok((200, now)) = call(root, "GET", "/v1/configuration", None) {
                configuration(&head(), &now);
            }
            list(&told);
            0
        }
        What::Show { .. } => one(&head(), &told),
        _ => one(&head(), &told["change"]),
    }
}

fn findings(told: &Value) -> bool {
    let mut forbidden = false;
    for finding in entries(told) {
        let against = finding["forbids"].as_bool().unwrap_or(false);
        forbidden |= against;
        let mark = if against { "no" } else { "ok" };
        say!(
            "  {mark}  {}: {}",
            shown(&finding["check"]),
            shown(&finding["text"])
        );
    }
    forbidden
}

fn plan(head: &str, told: &Value) -> u8 {
    say!("{head}against version {}", told["version"]);
    for line in entries(&told["lines"]) {
        let word = |value: &Value| {
            value
                .as_str()
                .map_or("(as listed)".to_string(), str::to_string)
        };
        say!("- {}: {}", shown(&line["path"]), word(&line["from"]));
        say!("+ {}: {}", shown(&line["path"]), word(&line["to"]));
    }
    if findings(&told["findings"]) {
        NOT_CARRIED_OUT
    } else {
        0
    }
}

/// A change; an undone or refused one is told by the exit code too.
fn one(head: &str, told: &Value) -> u8 {
    let made = told["made"]
        .as_u64()
        .map_or(String::new(), |version| format!(", version {version}"));
    let back = told["unmade"].as_u64().map_or(String::new(), |version| {
        format!(", taken back as {version}")
    });
    let (id, by, state) = (
        shown(&told["change"]["id"]),
        shown(&told["change"]["by"]),
        shown(&told["state"]),
    );
    say!("{head}{id} by {by}: {state}{made}{back}");
    if let Some(why) = told["why"].as_str() {
        say!("  {why}");
    }
    for (path, to) in told["change"]["sets"].as_object().into_iter().flatten() {
        say!("  {path}: {}", to.as_str().unwrap_or("(as in the file)"));
    }
    findings(&told["findings"]);
    if matches!(state.as_str(), "refused" | "undone" | "undoing") {
        NOT_CARRIED_OUT
    } else {
        0
    }
}

fn configuration(head: &str, told: &Value) {
    let lacking = entries(&told["lacking"])
        .map(shown)
        .collect::<Vec<_>>()
        .join(" ");
    say!("{head}version {} in force", told["version"]);
    if !lacking.is_empty() {
        say!("  not yet at {lacking}");
    }
    for (path, value) in told["values"].as_object().into_iter().flatten() {
        say!("  {path}: {}", shown(value));
    }
}

fn list(told: &Value) {
    say!(
        "{:<24}{:<16}{:<10}{:>6}{:>8}  why",
        "change",
        "by",
        "state",
        "base",
        "version"
    );
    for told in entries(told) {
        let change = &told["change"];
        say!(
            "{:<24}{:<16}{:<10}{:>6}{:>8}  {}",
            shown(&change["id"]),
            shown(&change["by"]),
            shown(&told["state"]),
            shown(&change["base"]),
            shown(&told["made"]),
            told["why"].as_str().unwrap_or("")
        );
    }
}
