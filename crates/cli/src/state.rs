//! `wheelspread state`: inspects, checks and compacts the file that persists changes and facts over crashes.

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
    /// Prints all that is persisted, as JSON; repairs nothing.
    Inspect { file: PathBuf },
    /// Checks whether every byte is sound; exit 1 if not. Repairs nothing.
    Verify { file: PathBuf },
    /// Rewrites it as one commit, after repairing what can be; a damaged file is kept aside.
    Compact { file: PathBuf },
}

/// Why a state file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// There is nothing to compact.
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
    /// What the process exits with.
    pub fn exit_code(&self) -> u8 {
        BAD_INPUT
    }
}

/// The exit code of `verify` for a file with damaged bytes.
const NOT_SOUND: u8 = 1;

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
    say!("{text}");
    Ok(ExitCode::SUCCESS)
}

fn verify(file: &Path) -> Result<ExitCode, StateError> {
    let inspection = Store::inspect(file)?;
    let commits = inspection.state.commits;
    let (sound, all) = (inspection.valid_bytes, inspection.total_bytes);
    let name = file.display();
    if inspection.is_valid() {
        say!("{name}: {commits} commits in {all} bytes, all sound");
        return Ok(ExitCode::SUCCESS);
    }
    say!("{name}: {commits} commits, sound up to byte {sound} of {all}");
    Ok(ExitCode::from(NOT_SOUND))
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
        OpenOutcome::TornTail { bytes } => say!("a torn commit of {bytes} bytes was cut off"),
        OpenOutcome::Damaged { aside, at, bytes } => say!(
            "damaged at byte {at}: {bytes} bytes not gone on with, the whole is kept as {}",
            aside.display()
        ),
    }
    say!("{}: {before} bytes, now {}", file.display(), store.bytes());
    Ok(ExitCode::SUCCESS)
}
