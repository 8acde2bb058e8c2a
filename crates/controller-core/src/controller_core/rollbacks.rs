//! Starting, correcting and ending the rollback of a table to an older version.

use super::ControllerCore;
use crate::publication::{BundleId, TableSet, Version};
use crate::rollback::{RollbackError, RollbackRequest, RollbackResult};
use crate::{Effect, LogEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread::{EndpointEntry, EndpointStatus};

impl ControllerCore {
    /// The version that tables are rolled back to.
    pub fn rollback_target(&self) -> Option<Version> {
        self.rollback.target()
    }

    pub(super) fn finish_rollback_request(
        &mut self,
        request: u64,
        result: Result<RollbackResult, RollbackError>,
    ) {
        self.effects
            .push(Effect::RollbackFinished { request, result });
    }

    /// Pauses ordinary updates of a table that most proxies reject.
    pub(super) fn pause_updates(&mut self, now: Moment, bundle: BundleId, until: Moment) {
        self.transports.pause_updates(bundle, until);
        let wait = until - now;
        self.log(LogEvent::UpdatesPaused { bundle, wait });
    }

    pub(super) fn roll_back(
        &mut self,
        now: Moment,
        bundle: BundleId,
        version: Version,
    ) -> Result<RollbackResult, RollbackError> {
        let target = self
            .retained_versions
            .get(version)
            .filter(|set| set.bundle == bundle)
            .cloned()
            .ok_or(RollbackError::VersionNotRetained(version))?;
        let result = self.step_rollback(now, &target)?;
        let excluded = result.excluded.iter();
        self.log(LogEvent::RolledBack {
            version,
            entries: result.entries,
            excluded: excluded
                .map(|(node, reason)| (*node, reason.as_str()))
                .collect(),
        });
        Ok(result)
    }

    /// Computes listed weights that bring the table closer to the target, and lists all ready nodes with them.
    fn step_rollback(
        &mut self,
        now: Moment,
        target: &Arc<TableSet>,
    ) -> Result<RollbackResult, RollbackError> {
        let newest = self.publication.newest(target.bundle);
        let current = newest.cloned().ok_or(RollbackError::NeverPublished)?;
        let listed: BTreeMap<NodeId, EndpointEntry> = self
            .effective_entries()
            .map(|entry| (entry.node, entry))
            .collect();
        let request = RollbackRequest {
            target,
            current: &current,
            listed: &listed,
            rules: &self.deployment.rules,
        };
        let result = self.rollback.step(now, &request);
        self.relist(now, |entry| entry.status == EndpointStatus::Ready);
        Ok(result)
    }

    /// Corrects the listed weights of a rollback when a correction is due. The balancer combines listed weights
    /// with its own estimates, so the published weights differ from the target after the first step.
    pub(super) fn correct_rollback(&mut self, now: Moment) {
        if let Some(target) = self.rollback.due_correction(now) {
            // The error is ignored: a table that is no longer published needs no correction.
            let _ = self.step_rollback(now, &target);
        }
    }

    pub(super) fn end_rollback(&mut self, now: Moment) -> Result<RollbackResult, RollbackError> {
        let version = self.rollback.target().ok_or(RollbackError::NotRolledBack)?;
        let nodes: BTreeSet<NodeId> = self.rollback.end().into_iter().collect();
        self.relist(now, |entry| nodes.contains(&entry.node));
        self.log(LogEvent::RollbackEnded { nodes: nodes.len() });
        Ok(RollbackResult {
            version,
            entries: nodes.len(),
            excluded: Vec::new(),
        })
    }
}
