//! Configuration changes as transactions, without I/O.
//!
//! A [`Ledger`] holds the configuration in force, its version, and every change with its state. It returns
//! [`LedgerAction`]s (write, apply, watch); the caller, which owns disk and sockets, carries them out and reports the
//! outcome as a [`ChangeEvent`]. Each call is idempotent: a repeated call changes nothing.
//!
//! - `change`: the change, its findings and its record;
//! - `state`: the state machine of a change;
//! - `ledger`: conflicts, versions and deadlines over all changes;
//! - `checks`: the effect of a change on capacity and on the proxies' update queues, from measured values;
//! - `persisted`: the state that is stored on disk and recovered after a crash.

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
