//! Puts the values of a change, or the former ones, in force and waits until all proxies have them.

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

    /// Hands the configuration to the controller core once the disk has it. `written_version`: the version that was
    /// written; if it is not in force any more, its undoing follows when the disk has that.
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
        let (update, errors) = config_update_of_valid_values(&self.base, configuration);
        self.log_ignored_values(errors);
        self.actions
            .push(RolloutAction::Configure(Box::new(update)));
        self.propagating = Some(Propagating {
            id: id.clone(),
            since: now,
        });
    }

    /// Checks whether all proxies have the change that propagates.
    pub(super) fn check_propagation(&mut self, now: Moment, core: &ControllerCore) {
        let Some(Propagating { id, since }) = self.propagating.clone() else {
            return;
        };
        let progress = core.rollout_progress();
        // A proxy that is away gets the newest tables when it comes back; it is waited for until the grace is over.
        let is_over_for_away =
            progress.disconnected_count == 0 || now - since >= core.deployment().rules.drain_grace;
        let is_current = progress.configuration == self.ledger.configuration().version;
        let is_everywhere = progress.outdated_proxies.is_empty() && progress.migrating_count == 0;
        if is_current && is_over_for_away && is_everywhere {
            self.propagating = None;
            let event = ChangeEvent::InForce;
            // Only a change that the ledger knows propagates.
            let result = self.ledger.handle_event(now, &id, event, None);
            self.carry_out(now, result.unwrap_or_default(), None);
        }
    }
}
