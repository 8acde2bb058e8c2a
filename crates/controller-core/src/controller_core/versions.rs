//! Versions stored on the disk, and versions retained as rollback targets.

use super::ControllerCore;
use crate::publication::{BundleId, TableSet, Version};
use crate::Effect;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wheelspread::time::{Moment, Span};

/// The time for which a version stays on the disk after its last use. A slow proxy may still read a version after
/// its files were switched to a newer one.
struct RetireDelay {
    /// The delay as a multiple of the maximum update delay.
    max_update_delays: f64,
    /// Lower bound of the delay.
    min: Duration,
}

const RETIRE_DELAY: RetireDelay = RetireDelay {
    max_update_delays: 10.0,
    min: Duration::from_secs(20),
};

/// Maximum number of retained versions per table.
const MAX_RETAINED_PER_TABLE: usize = 16;

impl RetireDelay {
    fn span(&self, max_update_delay: Span) -> Span {
        let by_update_delay = max_update_delay.seconds() * self.max_update_delays;
        Span::from_seconds(by_update_delay.max(self.min.as_secs_f64()))
    }
}

/// Versions on the disk, and the time at which each was last in use.
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

    /// Removes and returns versions whose last use is at least `delay` ago.
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

/// The newest versions of each table, which are the possible rollback targets.
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

    /// Drops the oldest versions of tables that have more than [`MAX_RETAINED_PER_TABLE`].
    pub(super) fn trim(&mut self) {
        let mut counts: BTreeMap<BundleId, usize> = BTreeMap::new();
        let newest_first = std::mem::take(&mut self.sets).into_iter().rev();
        self.sets = newest_first
            .filter(|(_, set)| {
                let count = counts.entry(set.bundle).or_insert(0);
                *count += 1;
                *count <= MAX_RETAINED_PER_TABLE
            })
            .collect();
    }
}

impl ControllerCore {
    /// The retained versions of all tables, oldest first.
    pub fn retained_versions(&self) -> impl Iterator<Item = &Arc<TableSet>> {
        self.retained_versions.iter()
    }

    /// Retires versions that have not been in use for the retire delay.
    pub(super) fn retire_versions(&mut self, now: Moment) {
        let newest = self.publication.newest_in_use().map(|set| set.version);
        let in_use = self
            .deliveries
            .versions()
            .chain(self.recovered_tables.versions())
            .chain(newest);
        for version in in_use {
            self.stored_versions.mark_used(now, version);
        }
        let delay = RETIRE_DELAY.span(self.deployment.update_queue.max_delay);
        for version in self.stored_versions.take_unused(now, delay) {
            self.effects.push(Effect::RetireVersion { version });
        }
    }
}

#[cfg(test)]
mod tests;
