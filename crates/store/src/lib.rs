//! What a controller keeps over crashes, as a log of commits in one file: the configuration in force, every change
//! with its state, and facts by name.
//!
//! A commit is one frame, so what belongs together is there as a whole or not at all. A torn or flipped frame is found
//! by its checksum and reported, and everything before it is saved; a controller never starts from nothing without
//! saying so.
//!
//! - `format`: the form of the file: header and frames;
//! - `recovery`: what is found when a file is opened, and what is saved of a damaged one;
//! - `store`: the open file, to which commits are appended;
//! - `compaction`: writes the file anew as one commit.
//!
//! An embedded store was tried first (redb 2.6): it panics on a file that was cut short, and can't save a part.

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
