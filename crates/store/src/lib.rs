//! The persistent state of a controller, as a log of commits in one file: the configuration in force, every
//! configuration change with its state, and facts by name.
//!
//! A commit is written as one frame with a checksum and is therefore atomic. A torn or corrupted frame is detected and
//! reported, and all commits before it are recovered. If a controller starts with an empty state, [`OpenOutcome`] gives
//! the reason.
//!
//! - `format`: the file format: header and frames;
//! - `recovery`: opens a file, validates it and recovers the valid commits of a damaged one;
//! - `store`: the open file, to which commits are appended;
//! - `compaction`: rewrites the file as one commit.
//!
//! The embedded database redb 2.6 is not used, because it panics on a truncated file and cannot recover a part of one.

mod compaction;
mod error;
mod format;
mod recovery;
mod store;

pub use error::StoreError;
pub use format::FORMAT_VERSION;
pub use recovery::{Inspection, OpenOutcome};
pub use store::Store;
pub use wheelspread_config_transaction::{Commit, PersistedState};
