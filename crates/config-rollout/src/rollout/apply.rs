//! Puts the new values of a change, or the previous values, in force and waits until all proxies have them.

use super::{Propagating, Rollout};
use crate::messages::{Answer, RolloutAction};
use crate::values::config_update_of_valid_values;
use wheelspread::time::Moment;
use wheelspread_config_transaction::{ChangeError, ChangeEvent, ChangeId};
use wheelspread_controller_core::ControllerCore;

impl Rollout {
    pub(super) fn apply(
        &mut self,
        now: Moment,
        request: u64,
        id: &ChangeId,
        core: &ControllerCore,
    ) -> Result<Answer, ChangeError> {
        let actions = self.ledger.apply(now, id)?;
        if !actions.is_empty() {
            self.measure_baseline(now, core);
        }
        self.carry_out(now, actions, Some(request));
        self.answer(id)
    }

    /// Passes the configuration to the controller core after it was written to disk. `written_version` is the version
    /// that was written. If it is no longer in force, the change has been undone since, and the configuration is passed
    /// on after the write of the undo.
    pub(super) fn put_in_force(
        &mut self,
        now: Moment,
        id: &ChangeId,
        written_version: Option<u64>,
    ) {
        let configuration = self.ledger.configuration();
        if written_version != Some(configuration.version) {
            return;
        }
        let (update, errors) = config_update_of_valid_values(&self.base_deployment, configuration);
        self.log_ignored_values(errors);
        self.actions
            .push(RolloutAction::Configure(Box::new(update)));
        self.propagating = Some(Propagating {
            id: id.clone(),
            since: now,
        });
    }

    /// Checks whether all proxies have the values of the propagating change.
    pub(super) fn check_propagation(&mut self, now: Moment, core: &ControllerCore) {
        let Some(Propagating { id, since }) = self.propagating.clone() else {
            return;
        };
        let progress = core.rollout_progress();
        // Disconnected proxies are waited for only during the drain grace period: they get the newest tables when they
        // reconnect.
        let is_disconnected_grace_over =
            progress.disconnected_count == 0 || now - since >= core.deployment().rules.drain_grace;
        let is_current = progress.configuration == self.ledger.configuration().version;
        let is_applied_everywhere =
            progress.outdated_proxies.is_empty() && progress.migrating_count == 0;
        if is_current && is_disconnected_grace_over && is_applied_everywhere {
            self.propagating = None;
            let event = ChangeEvent::InForce;
            // Only a change that the ledger has can propagate, so the call cannot fail.
            let result = self.ledger.handle_event(now, &id, event, None);
            self.carry_out(now, result.unwrap_or_default(), None);
        }
    }
}
