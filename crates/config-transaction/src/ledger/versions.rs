//! Versions of the configuration: one for a change that is applied, another for one that is undone.

use super::Ledger;
use crate::change::ChangeId;

impl Ledger {
    /// Puts all values of a change in force as one new version, and remembers those that they replace.
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

    /// Puts the former values in force as a new version too: versions never fall.
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
