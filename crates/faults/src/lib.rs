//! Failpoints: named places in the path of a configuration change where a test or a drill injects a failure.
//!
//! They are off unless the environment names some in `FAILPOINTS`, as in `store.half=2*off->1*return(kill)`: the third
//! time the program reaches the place it ends at once, as by SIGKILL. `return(full)` is a disk that is full,
//! `sleep(2000)` one that is slow; the rest is the notation of the crate `fail`.

use std::io;

/// The environment variable that turns failpoints on.
const ENVIRONMENT_VARIABLE: &str = "FAILPOINTS";

/// The name of every failpoint, in the order in which a change reaches them.
pub const NAMES: &[&str] = &[
    "store.begin",
    "store.half",
    "store.written",
    "store.synced",
    "store.told",
    "change.configure",
    "change.configured",
    "change.answer",
    "files.MakeDraft",
    "files.WriteEndpoints",
    "files.WriteRoutes",
    "files.SyncDraft",
    "files.NameVersion",
    "files.SyncVersions",
    "files.MakeLink",
    "files.SwapLink",
    "files.pointed",
    "store.compact",
    "store.compacted",
    "store.renamed",
];

/// Turns on the failpoints that the environment names; returns whether there are any.
pub fn enable_from_environment() -> bool {
    if std::env::var_os(ENVIRONMENT_VARIABLE).is_none_or(|points| points.is_empty()) {
        return false;
    }
    // Dropping the scenario would turn the failpoints off; they stay on as long as the program runs.
    std::mem::forget(fail::FailScenario::setup());
    true
}

/// Marks a place. If a failure is set for it, the program ends, waits, or gets the error of a failed disk.
pub fn failpoint(name: &str) -> io::Result<()> {
    let inject = |failure: Option<String>| match failure.as_deref() {
        Some("kill") => std::process::abort(),
        Some("full") => io::Error::from(io::ErrorKind::StorageFull),
        _ => io::Error::other(format!("made to fail at {name}")),
    };
    fail::eval(name, inject).map_or(Ok(()), Err)
}
