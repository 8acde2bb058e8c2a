//! What outlives a crash, and in which pieces it is written.

use crate::ledger::{ChangeRecord, Configuration};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is written together; later commits take the place of earlier ones, value by value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Configuration>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ChangeRecord>,
    /// `None` takes a fact away.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub facts: BTreeMap<String, Option<String>>,
}

impl Commit {
    /// What another commit adds, in the same write.
    pub fn merge(&mut self, later: Commit) {
        self.configuration = later.configuration.or(self.configuration.take());
        self.changes.extend(later.changes);
        self.facts.extend(later.facts);
    }
}

/// All that is kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PersistedState {
    pub configuration: Configuration,
    pub changes: BTreeMap<String, ChangeRecord>,
    pub facts: BTreeMap<String, String>,
    pub commits: u64,
}

impl PersistedState {
    pub fn apply(&mut self, commit: Commit) {
        self.commits += 1;
        self.configuration = commit
            .configuration
            .unwrap_or_else(|| std::mem::take(&mut self.configuration));
        self.changes.extend(
            commit
                .changes
                .into_iter()
                .map(|record| (record.change.id.0.clone(), record)),
        );
        for (name, value) in commit.facts {
            match value {
                Some(value) => drop(self.facts.insert(name, value)),
                None => drop(self.facts.remove(&name)),
            }
        }
    }

    /// All of it as one commit.
    pub fn to_commit(&self) -> Commit {
        Commit {
            configuration: Some(self.configuration.clone()),
            changes: self.changes.values().cloned().collect(),
            facts: self
                .facts
                .iter()
                .map(|(name, value)| (name.clone(), Some(value.clone())))
                .collect(),
        }
    }
}
