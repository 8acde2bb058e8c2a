//! Changes of configuration as transactions, without I/O. A `Ledger` holds the configuration in force, its
//! version, and every change with its state; what it says is to be done (check, write, apply, watch) is
//! carried out by whoever owns disk and sockets, who tells what came of it. Each step may be told twice: the
//! second time changes nothing.

pub mod checks;
pub mod ledger;
pub mod persisted;
pub mod state;

pub use ledger::{Change, ChangeError, ChangeId, CheckReport, Configuration, Finding, Ledger};
pub use persisted::{Commit, PersistedState};
pub use state::{ChangeEffect, ChangeEvent, ChangeState};
