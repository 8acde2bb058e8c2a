//! A configuration change, the findings of its checks, and its record. The serde names are part of the state file and
//! of the operators' API.

use crate::state::ChangeState;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Identifies a change. The proposer chooses the id, so that a proposal that is sent twice counts as one change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub String);

/// Configuration values by path, for example `operations.quote.billed_value`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Configuration {
    /// The version, incremented by each change that is applied or undone; it never decreases.
    pub version: u64,
    /// Values that changes have set; a path that is absent has the value of the controller's file.
    pub values: BTreeMap<String, String>,
}

/// A proposed set of values.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The id that the proposer chose.
    pub id: ChangeId,
    /// The author of the change.
    pub by: String,
    /// The version of the configuration that the change was made against.
    pub base: u64,
    /// Values by path; `None` removes a value.
    pub sets: BTreeMap<String, Option<String>>,
}

/// One value that a change would set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueChange {
    /// The path of the value.
    pub path: String,
    /// The value in force; `None` if no change has set one.
    pub from: Option<String>,
    /// The value that the change sets; `None` if the change removes the value.
    pub to: Option<String>,
}

/// The result of one check with its measured values, in the form that is stored and shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finding {
    /// The name of the check.
    pub check: String,
    /// The description of the result.
    pub text: String,
    /// Whether the result forbids the change.
    pub forbids: bool,
}

/// The findings of all checks of a change.
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
    /// The current state of the change.
    pub state: ChangeState,
    /// The values that the change replaced, by path; empty until the change is applied. `None`: no change had set one.
    #[serde(rename = "before")]
    pub previous_values: BTreeMap<String, Option<String>>,
    /// The findings of the checks.
    pub findings: Vec<Finding>,
    /// The reason why the change was refused or undone.
    #[serde(rename = "why")]
    pub reason: Option<String>,
    /// The version of the configuration that applying the change created.
    #[serde(rename = "made")]
    pub applied_version: Option<u64>,
    /// The version of the configuration that undoing the change created. State files of early versions lack this field.
    #[serde(default, rename = "unmade")]
    pub undone_version: Option<u64>,
}

impl ChangeRecord {
    /// Creates the record of a newly proposed change.
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
