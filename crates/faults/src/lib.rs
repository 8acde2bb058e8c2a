//! Failpoints: named places in the code that persists and publishes, where a test or a drill injects a failure.
//!
//! Failpoints are off unless the environment variable `FAILPOINTS` configures them, in the notation of the crate `fail`.
//! For example, `store.half=2*off->1*return(kill)` aborts the process when it reaches `store.half` for the third time,
//! without any cleanup, as after SIGKILL. `return(full)` injects the error of a full disk, and `sleep(2000)` a delay of
//! 2000 ms as of a slow disk.

use std::io;

/// The environment variable that configures failpoints.
const ENVIRONMENT_VARIABLE: &str = "FAILPOINTS";

/// The names of all failpoints, in the order in which a configuration change reaches them.
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

/// Turns on the failpoints that the environment configures; returns whether the variable is set and not empty.
pub fn enable_from_environment() -> bool {
    if std::env::var_os(ENVIRONMENT_VARIABLE).is_none_or(|points| points.is_empty()) {
        return false;
    }
    // Dropping the scenario would turn the failpoints off, and they have to stay on until the process ends.
    std::mem::forget(fail::FailScenario::setup());
    true
}

/// Evaluates a failpoint. If it is configured, this call aborts the process, waits, or returns an I/O error.
pub fn failpoint(name: &str) -> io::Result<()> {
    let inject = |failure: Option<String>| match failure.as_deref() {
        Some("kill") => std::process::abort(),
        Some("full") => io::Error::from(io::ErrorKind::StorageFull),
        _ => io::Error::other(format!("failure injected at failpoint {name}")),
    };
    fail::eval(name, inject).map_or(Ok(()), Err)
}
