//! `wheelspread completions` and `wheelspread man`: what the program's definition of its arguments generates.

use clap_complete::Shell;
use std::io;
use std::path::{Path, PathBuf};

/// Manual pages could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{}", directory.display())]
pub struct ManualError {
    /// Where they were to be written.
    directory: PathBuf,
    source: io::Error,
}

/// Prints the completions of a shell.
pub fn print_completions(mut command: clap::Command, shell: Shell) {
    clap_complete::generate(shell, &mut command, "wheelspread", &mut io::stdout());
}

/// Writes a manual page for each subcommand.
pub fn write_manual(command: clap::Command, directory: &Path) -> Result<(), ManualError> {
    clap_mangen::generate_to(command, directory).map_err(|source| ManualError {
        directory: directory.to_path_buf(),
        source,
    })
}
