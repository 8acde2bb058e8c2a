//! Changes of configuration as transactions, without I/O. A `Ledger` holds the configuration in force, its
//! version, and every change with its state; what it says is to be done (check, write, apply, watch) is
//! carried out by whoever owns disk and sockets, who tells what came of it. Each step may be told twice: the
//! second time changes nothing.

pub mod checks;
pub mod kept;
pub mod ledger;
pub mod state;

pub use kept::{Commit, Kept};
pub use ledger::{Change, ChangeId, Configuration, Finding, Ledger, Refused, Verdict};
pub use state::{Effect, Input, State};
