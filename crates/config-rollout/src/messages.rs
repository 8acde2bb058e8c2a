//! What goes into a rollout and what comes out of it.

use crate::watch::Conditions;
use serde::Serialize;
use wheelspread::time::Span;
use wheelspread_config_transaction::checks::ChangeLimits;
use wheelspread_config_transaction::{
    Change, ChangeError, ChangeId, ChangeRecord, ChangeState, Commit, Deadlines, Finding,
};
use wheelspread_controller_core::controller_core::ConfigUpdate;

/// How changes are handled, by the controller's file.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// How long each state of a change may last.
    pub deadlines: Deadlines,
    /// What a change may cost.
    pub limits: ChangeLimits,
    /// When a change in force is undone.
    pub conditions: Conditions,
}

/// A command of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutCommand {
    /// Show what a change would do, and what its checks find.
    Plan(Change),
    /// Check a change and keep it ready.
    Stage(Change),
    /// Put a staged change in force.
    Apply(ChangeId),
    /// Undo a change, for the reason given.
    Undo(ChangeId, String),
}

/// One value in a plan. `None`: the controller's file, or the endpoint list, counts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedValue {
    /// The path of the value.
    pub path: String,
    /// The value in force.
    pub from: Option<String>,
    /// The value that the change sets.
    pub to: Option<String>,
}

/// The answer to a command, in the form of the operators' API.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// What a change would do.
    Planned {
        /// The version of the configuration in force.
        version: u64,
        /// Values that would change.
        lines: Vec<PlannedValue>,
        /// What the checks find.
        findings: Vec<Finding>,
    },
    /// The change as it stands.
    Change(Box<ChangeRecord>),
}

/// What the owner of disk and sockets is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Write to the disk and report the result with `Rollout::on_write_completed`. One write is out at a time.
    Write {
        /// Identifies the write.
        number: u64,
        /// What is written.
        commit: Commit,
    },
    /// Put a configuration in force in the controller core.
    Configure(Box<ConfigUpdate>),
    /// Answer a command.
    Answer {
        /// The request that carried the command.
        request: u64,
        /// The answer.
        result: Result<Answer, ChangeError>,
    },
    /// Log an event.
    Log(RolloutEvent),
}

/// Why the disk refused a write.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct WriteError(pub String);

/// What a rollout reports to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutEvent {
    /// A change entered a state.
    StateChanged {
        /// The change.
        id: ChangeId,
        /// Its state.
        state: ChangeState,
        /// Why it is refused or undone.
        reason: Option<String>,
    },
    /// A write failed and is repeated.
    WriteFailed {
        /// Why it failed.
        reason: String,
        /// When it is repeated.
        retry_in: Span,
    },
    /// A value of an earlier run does not fit the controller's file any more.
    ValueIgnored {
        /// The path of the value.
        field: String,
        /// Why it does not fit.
        text: String,
    },
}
