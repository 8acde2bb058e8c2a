//! Changes of configuration as transactions, without I/O.
//!
//! A [`Ledger`] holds the configuration in force, its version, and every change with its state. It returns
//! [`LedgerAction`]s (write, apply, watch); whoever owns disk and sockets carries them out and reports the outcome as
//! a [`ChangeEvent`]. Each call may be repeated: the second time changes nothing.
//!
//! - `change`: the change, its findings and its record;
//! - `state`: the state machine of a change;
//! - `ledger`: conflicts, versions and deadlines over all changes;
//! - `checks`: what a change does to capacity and to the proxies' update queues, by measured figures;
//! - `persisted`: what outlives a crash.

pub mod change;
pub mod checks;
pub mod error;
pub mod ledger;
pub mod persisted;
pub mod state;

pub use change::{
    Change, ChangeId, ChangeRecord, CheckReport, Configuration, Finding, ValueChange,
};
pub use error::ChangeError;
pub use ledger::{Deadlines, Ledger, LedgerAction};
pub use persisted::{Commit, PersistedState};
pub use state::{ChangeEffect, ChangeEvent, ChangeState, Transition};
