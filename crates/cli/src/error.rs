//! Errors of the program as a whole: one variant for each subcommand that can fail, with its exit code.

use crate::change::ChangeError;
use crate::exit::FAILURE;
use crate::fleet::FleetCommandError;
use crate::import::ImportError;
use crate::manual::ManualError;
use crate::measure::MeasureError;
use crate::serve::ServeError;
use crate::solve::SolveError;
use crate::state::StateError;
use crate::tables::TablesError;
use std::error::Error;
use std::process::ExitCode;

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub enum CliError {
    /// `run`, `check` and `proxy`.
    Serve(#[from] ServeError),
    /// `change`.
    Change(#[from] ChangeError),
    /// `fleet`.
    Fleet(#[from] FleetCommandError),
    /// `import`.
    Import(#[from] ImportError),
    /// `man`.
    Manual(#[from] ManualError),
    /// `measure`.
    Measure(#[from] MeasureError),
    /// `solve`.
    Solve(#[from] SolveError),
    /// `state`.
    State(#[from] StateError),
    /// `tables`.
    Tables(#[from] TablesError),
}

impl CliError {
    /// What the process exits with.
    pub fn exit_code(&self) -> ExitCode {
        let code = match self {
            CliError::Serve(error) => error.exit_code(),
            CliError::Change(error) => error.exit_code(),
            CliError::Fleet(error) => error.exit_code(),
            CliError::Import(error) => error.exit_code(),
            CliError::Solve(error) => error.exit_code(),
            CliError::State(error) => error.exit_code(),
            CliError::Tables(error) => error.exit_code(),
            CliError::Manual(_) | CliError::Measure(_) => FAILURE,
        };
        ExitCode::from(code)
    }
}

/// An error and its causes in one line. Some errors repeat their cause in their own text; it is then not added again.
pub fn error_chain(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let next = error.to_string();
        if !text.contains(&next) {
            text = format!("{text}: {next}");
        }
        cause = error.source();
    }
    text
}
