//! The state that survives a crash, and the commits in which it is written.

use crate::change::{ChangeRecord, Configuration};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Data that is written atomically. Later commits replace the values of earlier ones, value by value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Commit {
    /// The configuration in force; `None` if the commit does not contain it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<Configuration>,
    /// Records of changes; each replaces the previous record of its change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<ChangeRecord>,
    /// Facts by name; `None` removes a fact.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub facts: BTreeMap<String, Option<String>>,
}

impl Commit {
    /// Merges a later commit into this one, so that both are one write.
    pub fn merge(&mut self, later: Commit) {
        self.configuration = later.configuration.or(self.configuration.take());
        self.changes.extend(later.changes);
        self.facts.extend(later.facts);
    }
}

/// The persisted state, as the result of all commits.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PersistedState {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Records of changes by id.
    pub changes: BTreeMap<String, ChangeRecord>,
    /// Facts by name.
    pub facts: BTreeMap<String, String>,
    /// The number of commits applied to this state.
    pub commits: u64,
}

impl PersistedState {
    /// Applies a commit.
    pub fn apply(&mut self, commit: Commit) {
        self.commits += 1;
        if let Some(configuration) = commit.configuration {
            self.configuration = configuration;
        }
        let records = commit.changes.into_iter();
        self.changes
            .extend(records.map(|record| (record.change.id.0.clone(), record)));
        for (name, value) in commit.facts {
            match value {
                Some(value) => drop(self.facts.insert(name, value)),
                None => drop(self.facts.remove(&name)),
            }
        }
    }

    /// Returns the whole state as one commit, for compaction.
    pub fn to_commit(&self) -> Commit {
        let facts = self.facts.iter();
        Commit {
            configuration: Some(self.configuration.clone()),
            changes: self.changes.values().cloned().collect(),
            facts: facts
                .map(|(name, value)| (name.clone(), Some(value.clone())))
                .collect(),
        }
    }
}
