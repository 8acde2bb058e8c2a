//! The input and output of a rollout: settings, commands, answers, actions and log events.

use crate::watch::Conditions;
use serde::Serialize;
use wheelspread::time::Span;
use wheelspread_config_transaction::checks::ChangeLimits;
use wheelspread_config_transaction::{
    Change, ChangeError, ChangeId, ChangeRecord, ChangeState, Commit, Deadlines, Finding,
};
use wheelspread_controller_core::controller_core::ConfigUpdate;

/// The settings for changes from the controller's file.
#[derive(Clone, Copy, Debug)]
pub struct RolloutSettings {
    /// The maximum duration of each state of a change.
    pub deadlines: Deadlines,
    /// The limits on the cost of a change.
    pub limits: ChangeLimits,
    /// The conditions on which a change in force is undone.
    pub conditions: Conditions,
}

/// A command from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutCommand {
    /// Show the values that a change would set and the findings of its checks.
    Plan(Change),
    /// Check a change and write it to disk, ready to be applied.
    Stage(Change),
    /// Put a staged change in force.
    Apply(ChangeId),
    /// Undo a change for the given reason.
    Undo(ChangeId, String),
}

/// One value in a plan. `None` means that neither a change nor the controller's file sets the value; for a node, the
/// endpoint list then applies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedValue {
    /// The path of the value.
    pub path: String,
    /// The value in force.
    pub from: Option<String>,
    /// The value that the change sets.
    pub to: Option<String>,
}

/// The answer to a command, as serialized in the operators' API.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// The effect that a change would have.
    Planned {
        /// The version of the configuration in force.
        version: u64,
        /// The values that would change.
        lines: Vec<PlannedValue>,
        /// The findings of the checks.
        findings: Vec<Finding>,
    },
    /// The current record of the change.
    Change(Box<ChangeRecord>),
}

/// An action for the caller, which owns disk and sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutAction {
    /// Write to disk and report the result with `Rollout::on_write_completed`. Only one write is in progress at a time.
    Write {
        /// Identifies the write.
        number: u64,
        /// The data to write.
        commit: Commit,
    },
    /// Put a configuration in force in the controller core.
    Configure(Box<ConfigUpdate>),
    /// Answer a command.
    Answer {
        /// The request that carried the command.
        request: u64,
        /// The answer, or the error with which the ledger rejected the command.
        result: Result<Answer, ChangeError>,
    },
    /// Log an event.
    Log(RolloutEvent),
}

/// The reason why a write failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct WriteError(pub String);

/// An event that the caller logs.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutEvent {
    /// A change entered a state.
    StateChanged {
        /// The change.
        id: ChangeId,
        /// The new state.
        state: ChangeState,
        /// The reason why the change was refused or undone.
        reason: Option<String>,
    },
    /// A write failed and will be retried.
    WriteFailed {
        /// The reason.
        reason: String,
        /// The time until the retry.
        retry_in: Span,
    },
    /// A value of an earlier run is no longer valid with the controller's file and is not used.
    ValueIgnored {
        /// The path of the value.
        field: String,
        /// The reason why the value is invalid.
        text: String,
    },
}
