//! `wheelspread state`: looks at, checks and shortens the file that keeps changes and facts over crashes.

use clap::{Args, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use wheelspread_store::{OpenOutcome, Store};

#[derive(Args)]
pub struct StateArguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Prints all that is kept, as JSON; mends nothing.
    Inspect { file: PathBuf },
    /// Says whether every byte is sound; exit 1 if not. Mends nothing.
    Verify { file: PathBuf },
    /// Writes it anew as one commit, after mending what can be; what was damaged is kept aside.
    Compact { file: PathBuf },
}

const NOT_SOUND: u8 = 1;
const UNREADABLE: u8 = 2;

pub fn state(arguments: StateArguments) -> ExitCode {
    let result = match arguments.what {
        What::Inspect { file } => Store::inspect(&file).map(|inspection| {
            say!("{}", serde_json::to_string_pretty(&inspection.state).unwrap_or_default());
            ExitCode::SUCCESS
        }),
        What::Verify { file } => Store::inspect(&file).map(|inspection| {
            let commits = inspection.state.commits;
            let (sound, all) = (inspection.sound_bytes, inspection.total_bytes);
            if inspection.is_sound() {
                say!("{}: {commits} commits in {all} bytes, all sound", file.display());
                return ExitCode::SUCCESS;
            }
            say!("{}: {commits} commits, sound up to byte {sound} of {all}", file.display());
            ExitCode::from(NOT_SOUND)
        }),
        What::Compact { file } if !file.exists() => {
            eprintln!("{}: no such file", file.display());
            return ExitCode::from(UNREADABLE);
        }
        What::Compact { file } => Store::open(&file).and_then(|(mut store, found)| {
            let before = store.bytes();
            store.compact()?;
            match &found {
                OpenOutcome::Fresh | OpenOutcome::Sound => {}
                OpenOutcome::TornTail { bytes } => say!("a torn commit of {bytes} bytes was cut off"),
                OpenOutcome::Damaged { aside, at, bytes } => {
                    say!(
                        "damaged at byte {at}: {bytes} bytes not gone on with, the whole is kept as {}",
                        aside.display()
                    );
                }
            }
            say!("{}: {before} bytes, now {}", file.display(), store.bytes());
            Ok(ExitCode::SUCCESS)
        }),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(UNREADABLE)
    })
}
