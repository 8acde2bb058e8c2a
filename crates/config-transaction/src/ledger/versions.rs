//! Versions of the configuration: applying a change creates one version, undoing the change creates another.

use super::Ledger;
use crate::change::ChangeId;

impl Ledger {
    /// Puts all values of a change in force as one new version, and stores the values that they replace in its record.
    pub(super) fn apply_values(&mut self, id: &ChangeId) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        self.configuration.version += 1;
        for (path, to) in &record.change.sets {
            let values = &mut self.configuration.values;
            let previous = match to {
                Some(value) => values.insert(path.clone(), value.clone()),
                None => values.remove(path),
            };
            record.previous_values.insert(path.clone(), previous);
        }
        record.applied_version = Some(self.configuration.version);
        self.version_history
            .push((self.configuration.version, id.clone()));
    }

    /// Puts the previous values in force, again as a new version: versions never decrease.
    pub(super) fn restore_values(&mut self, id: &ChangeId) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        self.configuration.version += 1;
        record.undone_version = Some(self.configuration.version);
        self.version_history
            .push((self.configuration.version, id.clone()));
        for (path, previous) in &record.previous_values {
            let values = &mut self.configuration.values;
            match previous {
                Some(value) => drop(values.insert(path.clone(), value.clone())),
                None => drop(values.remove(path)),
            }
        }
    }
}
