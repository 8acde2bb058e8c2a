//! Versions on the disk, until no proxy reads them, and versions that tables can be rolled back to.

use super::ControllerCore;
use crate::publication::{BundleId, TableSet, Version};
use crate::Effect;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wheelspread::time::{Moment, Span};

/// How long a version stays on the disk after its last use. A slow reader may still be at a version that it was
/// pointed away from.
struct RetireDelay {
    /// Multiple of the longest delay of an update.
    update_delays: f64,
    at_least: Duration,
}

const RETIRE_DELAY: RetireDelay = RetireDelay {
    update_delays: 10.0,
    at_least: Duration::from_secs(20),
};

/// Versions of each table that it can be rolled back to.
const RETAINED_PER_TABLE: usize = 16;

impl RetireDelay {
    fn span(&self, max_update_delay: Span) -> Span {
        let by_updates = max_update_delay.seconds() * self.update_delays;
        Span::from_seconds(by_updates.max(self.at_least.as_secs_f64()))
    }
}

/// Versions on the disk, and when each was last in use.
pub(super) struct StoredVersions {
    last_used: BTreeMap<Version, Moment>,
}

impl StoredVersions {
    pub(super) fn new(now: Moment, found: impl IntoIterator<Item = Version>) -> StoredVersions {
        StoredVersions {
            last_used: found.into_iter().map(|version| (version, now)).collect(),
        }
    }

    pub(super) fn mark_used(&mut self, now: Moment, version: Version) {
        self.last_used.insert(version, now);
    }

    /// Removes versions that have not been in use for so long.
    fn take_unused(&mut self, now: Moment, delay: Span) -> Vec<Version> {
        let unused: Vec<Version> = self
            .last_used
            .iter()
            .filter(|(_, last_used)| now - **last_used >= delay)
            .map(|(version, _)| *version)
            .collect();
        for version in &unused {
            self.last_used.remove(version);
        }
        unused
    }
}

/// Versions that tables can be rolled back to.
#[derive(Default)]
pub(super) struct RetainedVersions {
    sets: BTreeMap<Version, Arc<TableSet>>,
}

impl RetainedVersions {
    pub(super) fn insert(&mut self, set: Arc<TableSet>) {
        self.sets.insert(set.version, set);
    }

    pub(super) fn get(&self, version: Version) -> Option<&Arc<TableSet>> {
        self.sets.get(&version)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Arc<TableSet>> {
        self.sets.values()
    }

    /// Drops the oldest versions of tables that have too many.
    pub(super) fn trim(&mut self) {
        let mut counts: BTreeMap<BundleId, usize> = BTreeMap::new();
        let newest_first = std::mem::take(&mut self.sets).into_iter().rev();
        self.sets = newest_first
            .filter(|(_, set)| {
                let count = counts.entry(set.bundle).or_insert(0);
                *count += 1;
                *count <= RETAINED_PER_TABLE
            })
            .collect();
    }
}

impl ControllerCore {
    /// Versions that tables can be rolled back to, oldest first.
    pub fn retained_versions(&self) -> impl Iterator<Item = &Arc<TableSet>> {
        self.retained_versions.iter()
    }

    /// Has versions removed from the disk that no proxy has read for a while.
    pub(super) fn retire_versions(&mut self, now: Moment) {
        let newest = self.publication.in_use().map(|set| set.version);
        let in_use = self
            .deliveries
            .versions()
            .chain(self.unclaimed.versions())
            .chain(newest);
        for version in in_use {
            self.stored_versions.mark_used(now, version);
        }
        let delay = RETIRE_DELAY.span(self.plan.update_queue.max_delay);
        for version in self.stored_versions.take_unused(now, delay) {
            self.effects.push(Effect::RetireVersion { version });
        }
    }
}

#[cfg(test)]
mod tests;
