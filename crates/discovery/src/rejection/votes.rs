//! The votes on a version: which clients acknowledged it and which rejected it.

use std::collections::BTreeSet;
use wheelspread::ids::ProxyId;

/// If more than this ratio of the clients that answered reject a version, the table set is considered faulty.
const MAJORITY_RATIO: f64 = 0.5;
/// The minimum number of rejecting clients of a majority: a single client is not one.
const MAJORITY_MIN_CLIENTS: f64 = 2.0;

/// The clients that acknowledged and that rejected a version; the last answer of a client counts.
#[derive(Debug, Default)]
pub(super) struct Votes {
    acknowledged: BTreeSet<ProxyId>,
    rejected: BTreeSet<ProxyId>,
}

impl Votes {
    pub(super) fn acknowledge(&mut self, proxy: ProxyId) {
        self.acknowledged.insert(proxy);
        self.rejected.remove(&proxy);
    }

    pub(super) fn reject(&mut self, proxy: ProxyId) {
        self.rejected.insert(proxy);
        self.acknowledged.remove(&proxy);
    }

    pub(super) fn majority_rejects(&self) -> bool {
        let acknowledged = self.acknowledged.len() as f64;
        let rejected = self.rejected.len() as f64;
        rejected >= MAJORITY_MIN_CLIENTS && rejected > MAJORITY_RATIO * (acknowledged + rejected)
    }

    pub(super) fn majority_acknowledges(&self) -> bool {
        !self.acknowledged.is_empty() && self.acknowledged.len() > self.rejected.len()
    }
}
