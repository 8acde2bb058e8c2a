//! `wheelspread tables`: shows the table version that each proxy of a running controller holds, and starts and ends
//! rollbacks.

use crate::exit::{CONTROLLER_UNREACHABLE, REFUSED};
use crate::operator::{array_elements, call, display_value, CallError};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::path::PathBuf;

/// Arguments of `wheelspread tables`.
#[derive(Args)]
pub struct TablesArguments {
    /// The controller's tables root, in which its socket lies.
    #[arg(long, value_name = "ROOT", default_value = "tables")]
    at: PathBuf,
    /// Prints the controller's answer as JSON, unchanged.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    operation: Option<Operation>,
}

#[derive(Subcommand)]
enum Operation {
    /// Rolls a table back to an older version, without the nodes that are now draining, removed or warming.
    Back { table: u32, version: u64 },
    /// Ends a rollback: weights are computed from the endpoint list again.
    Free,
}

/// Why tables could not be shown or rolled back.
#[derive(Debug, thiserror::Error)]
pub enum TablesError {
    /// The controller did not answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The controller refused the operation.
    #[error("{0}")]
    Refused(String),
}

impl TablesError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            TablesError::Call(_) => CONTROLLER_UNREACHABLE,
            TablesError::Refused(_) => REFUSED,
        }
    }
}

/// Shows a controller's tables, or starts or ends a rollback there.
pub fn tables(arguments: &TablesArguments) -> Result<(), TablesError> {
    let answer = match &arguments.operation {
        None => call(&arguments.at, "GET", "/v1/tables", None),
        Some(Operation::Back { table, version }) => {
            let body = json!({ "table": table, "version": version });
            call(&arguments.at, "POST", "/v1/tables/back", Some(body))
        }
        Some(Operation::Free) => call(&arguments.at, "POST", "/v1/tables/free", None),
    }?;
    if !answer.is_ok() {
        return Err(TablesError::Refused(answer.refusal().to_string()));
    }
    match (&arguments.operation, arguments.json) {
        (_, true) => print_line!("{}", answer.body),
        (None, _) => print_tables(&answer.body),
        (Some(_), _) => print_rollback(&answer.body),
    }
    Ok(())
}

fn print_tables(answer: &Value) {
    print_line!(
        "{:<20}{:<8}{:<8}{:>6}{:>9}{:>9}{:>10}{:>9}",
        "gateway",
        "joined",
        "front",
        "table",
        "newest",
        "holds",
        "since",
        "refused"
    );
    for gateway in array_elements(&answer["gateways"]) {
        print_line!(
            "{:<20}{:<8}{:<8}{:>6}{:>9}{:>9}{:>10}{:>9}",
            display_value(&gateway["gateway"]),
            display_value(&gateway["joined"]),
            display_value(&gateway["front"]),
            display_value(&gateway["table"]),
            display_value(&gateway["newest"]),
            display_value(&gateway["holds"]),
            display_value(&gateway["held_for_s"]),
            display_value(&gateway["refused"])
        );
    }
    for retained in array_elements(&answer["tables"]) {
        let versions = array_elements(&retained["versions"]);
        let versions = versions.map(display_value).collect::<Vec<_>>().join(" ");
        print_line!(
            "table {}: versions available for rollback: {versions}",
            retained["table"]
        );
    }
    if !answer["stepped_back_to"].is_null() {
        print_line!("rolled back to version {}", answer["stepped_back_to"]);
    }
}

fn print_rollback(answer: &Value) {
    print_line!("version {}: {} lines", answer["version"], answer["lines"]);
    for omitted in array_elements(&answer["left_out"]) {
        let text = |field: &str| omitted[field].as_str().unwrap_or("").to_string();
        print_line!("  left out: {} ({})", text("node"), text("why"));
    }
}
