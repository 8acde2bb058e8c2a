//! `wheelspread completions` and `wheelspread man`: shell completions and manual pages generated
//! from the definition of the program's arguments.

use clap_complete::Shell;
use std::io;
use std::path::{Path, PathBuf};

/// Manual pages could not be written.
#[derive(Debug, thiserror::Error)]
#[error("{}", directory.display())]
pub struct ManualError {
    /// The directory that the pages are written into.
    directory: PathBuf,
    source: io::Error,
}

/// Prints the completions for a shell.
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
