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
    /// The exit code of the process.
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
