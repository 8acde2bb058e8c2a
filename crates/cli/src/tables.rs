//! `wheelspread tables`: what each proxy of a running controller holds, and rollbacks.

use crate::exit::{CONTROLLER_UNREACHABLE, NOT_CARRIED_OUT};
use crate::operator::{call, entries, shown, CallError};
use clap::{Args, Subcommand};
use serde_json::{json, Value};
use std::path::PathBuf;

/// Arguments of `wheelspread tables`.
#[derive(Args)]
pub struct TablesArguments {
    /// The controller's root of tables, in which its socket lies.
    #[arg(long, value_name = "ROOT", default_value = "tables")]
    at: PathBuf,
    /// Prints the controller's answer as it came.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    order: Option<Order>,
}

#[derive(Subcommand)]
enum Order {
    /// Rolls back to an older version of a table, without nodes that now drain, are gone or warming up.
    Back { table: u32, version: u64 },
    /// Ends a rollback: weights follow the endpoint list again.
    Free,
}

/// Why tables could not be shown or rolled back.
#[derive(Debug, thiserror::Error)]
pub enum TablesError {
    /// The controller did not answer.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The controller refused the order.
    #[error("{0}")]
    Refused(String),
}

impl TablesError {
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        match self {
            TablesError::Call(_) => CONTROLLER_UNREACHABLE,
            TablesError::Refused(_) => NOT_CARRIED_OUT,
        }
    }
}

/// Shows the tables of a controller, or gives it an order about them.
pub fn tables(arguments: &TablesArguments) -> Result<(), TablesError> {
    let answer = match &arguments.order {
        None => call(&arguments.at, "GET", "/v1/tables", None),
        Some(Order::Back { table, version }) => {
            let body = json!({ "table": table, "version": version });
            call(&arguments.at, "POST", "/v1/tables/back", Some(body))
        }
        Some(Order::Free) => call(&arguments.at, "POST", "/v1/tables/free", None),
    }?;
    if !answer.is_ok() {
        return Err(TablesError::Refused(answer.refusal().to_string()));
    }
    match (&arguments.order, arguments.json) {
        (_, true) => say!("{}", answer.body),
        (None, _) => print_tables(&answer.body),
        (Some(_), _) => print_rollback(&answer.body),
    }
    Ok(())
}

fn print_tables(answer: &Value) {
    say!(
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
    for gateway in entries(&answer["gateways"]) {
        say!(
            "{:<20}{:<8}{:<8}{:>6}{:>9}{:>9}{:>10}{:>9}",
            shown(&gateway["gateway"]),
            shown(&gateway["joined"]),
            shown(&gateway["front"]),
            shown(&gateway["table"]),
            shown(&gateway["newest"]),
            shown(&gateway["holds"]),
            shown(&gateway["held_for_s"]),
            shown(&gateway["refused"])
        );
    }
    for retained in entries(&answer["tables"]) {
        let versions = entries(&retained["versions"]);
        let versions = versions.map(shown).collect::<Vec<_>>().join(" ");
        say!("table {}: can go back to {versions}", retained["table"]);
    }
    if !answer["stepped_back_to"].is_null() {
        say!("stepped back to version {}", answer["stepped_back_to"]);
    }
}

fn print_rollback(answer: &Value) {
    say!("version {}: {} lines", answer["version"], answer["lines"]);
    for out in entries(&answer["left_out"]) {
        let text = |field: &str| out[field].as_str().unwrap_or("").to_string();
        say!("  left out: {} ({})", text("node"), text("why"));
    }
}
