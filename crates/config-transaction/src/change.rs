//! A change of the configuration, what its checks found, and its record. The serde names are those of the state file
//! and the operators' API.

use crate::state::ChangeState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies a change. Whoever proposes it chooses the id, so that a proposal that is sent twice is one change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub String);

/// Values by their path, as `operations.quote.billed_value`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Configuration {
    /// Rises with each change that comes into force or is undone; it never falls.
    pub version: u64,
    /// Values that a change has set; where there is none, the controller's file counts.
    pub values: BTreeMap<String, String>,
}

/// A proposed set of values.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Its id.
    pub id: ChangeId,
    /// Who made it.
    pub by: String,
    /// The version that it was made against.
    pub base: u64,
    /// Values by path; `None` removes a value.
    pub sets: BTreeMap<String, Option<String>>,
}

/// One value that a change would set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueChange {
    /// The path of the value.
    pub path: String,
    /// The value in force; `None`: no change has set it.
    pub from: Option<String>,
    /// The value that the change sets; `None`: it is removed.
    pub to: Option<String>,
}

/// What a check found, with its figures, in the form that is stored and shown.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finding {
    /// The name of the check.
    pub check: String,
    /// What was found.
    pub text: String,
    /// Whether it forbids the change.
    pub forbids: bool,
}

/// All findings of the checks of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckReport(pub Vec<Finding>);

impl CheckReport {
    /// The first finding that forbids the change.
    pub fn first_forbidding(&self) -> Option<&Finding> {
        self.0.iter().find(|finding| finding.forbids)
    }
}

/// A change with its state and history.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// The change as it was proposed.
    pub change: Change,
    /// How far it has come.
    pub state: ChangeState,
    /// The values that it replaced, once it was in force.
    #[serde(rename = "before")]
    pub previous_values: BTreeMap<String, Option<String>>,
    /// What its checks found.
    pub findings: Vec<Finding>,
    /// Why it is refused or undone.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// The version of the configuration that it made.
    #[serde(rename = "made")]
    pub applied_version: Option<u64>,
    /// The version of the configuration that undid it. Files of early versions lack it.
    #[serde(default, rename = "unmade")]
    pub undone_version: Option<u64>,
}

impl ChangeRecord {
    /// The record of a change that has just been proposed.
    pub(crate) fn proposed(change: Change) -> ChangeRecord {
        ChangeRecord {
            change,
            state: ChangeState::Proposed,
            previous_values: BTreeMap::new(),
            findings: Vec::new(),
            reason: None,
            applied_version: None,
            undone_version: None,
        }
    }
}
