//! `wheelspread state`: inspects, checks and compacts the state file, in which a controller persists changes and facts.

use crate::exit::BAD_INPUT;
use clap::{Args, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use wheelspread_store::{OpenOutcome, Store, StoreError};

/// Arguments of `wheelspread state`.
#[derive(Args)]
pub struct StateArguments {
    #[command(subcommand)]
    operation: Operation,
}

#[derive(Subcommand)]
enum Operation {
    /// Prints the persisted state as JSON; leaves the file unchanged.
    Inspect { file: PathBuf },
    /// Checks whether every byte is valid; exits with 1 if not. Leaves the file unchanged.
    Verify { file: PathBuf },
    /// Rewrites the file as one commit. A torn last commit is cut off; a copy of a damaged file is kept.
    Compact { file: PathBuf },
}

/// Why a state file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// The file to compact does not exist.
    #[error("{}: no such file", file.display())]
    NoSuchFile {
        /// The state file.
        file: PathBuf,
    },
    /// The file could not be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
}

impl StateError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

/// The exit code of `verify` for a file with damaged bytes.
const DAMAGED: u8 = 1;

/// Inspects, checks or compacts a state file.
pub fn state(arguments: StateArguments) -> Result<ExitCode, StateError> {
    match arguments.operation {
        Operation::Inspect { file } => inspect(&file),
        Operation::Verify { file } => verify(&file),
        Operation::Compact { file } => compact(file),
    }
}

fn inspect(file: &Path) -> Result<ExitCode, StateError> {
    let inspection = Store::inspect(file)?;
    let text = serde_json::to_string_pretty(&inspection.state).unwrap_or_default();
    print_line!("{text}");
    Ok(ExitCode::SUCCESS)
}

fn verify(file: &Path) -> Result<ExitCode, StateError> {
    let inspection = Store::inspect(file)?;
    let commits = inspection.state.commits;
    let (valid, total) = (inspection.valid_bytes, inspection.total_bytes);
    let name = file.display();
    if inspection.is_valid() {
        print_line!("{name}: {commits} commits in {total} bytes, all valid");
        return Ok(ExitCode::SUCCESS);
    }
    print_line!("{name}: {commits} commits, valid up to byte {valid} of {total}");
    Ok(ExitCode::from(DAMAGED))
}

fn compact(file: PathBuf) -> Result<ExitCode, StateError> {
    if !file.exists() {
        return Err(StateError::NoSuchFile { file });
    }
    let (mut store, outcome) = Store::open(&file)?;
    let before = store.bytes();
    store.compact()?;
    match &outcome {
        OpenOutcome::Fresh | OpenOutcome::Valid => {}
        OpenOutcome::TornTail { bytes } => print_line!("cut off a torn commit of {bytes} bytes"),
        OpenOutcome::Damaged { aside, at, bytes } => print_line!(
            "damaged at byte {at}: {bytes} bytes discarded, the damaged file is kept as {}",
            aside.display()
        ),
    }
    print_line!("{}: {before} bytes, now {}", file.display(), store.bytes());
    Ok(ExitCode::SUCCESS)
}
