//! Carries out the changes of one controller. Operators send commands, the ledger decides on the transitions, the disk
//! reports completed writes, and the controller core reports the progress of the proxies and the measurements. Changes
//! that proxies could see are sent only after the state needed to recover them is on disk; nothing else waits for the
//! disk.

mod apply;
mod proposal;
mod watching;
mod writes;

use crate::messages::{Answer, RolloutAction, RolloutCommand, RolloutEvent, RolloutSettings};
use crate::values::{config_update_of_valid_values, migrating_nodes};
use crate::watch::Baseline;
use std::collections::VecDeque;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_config_transaction::{
    ChangeEffect, ChangeError, ChangeId, Configuration, Ledger, LedgerAction, PersistedState,
};
use wheelspread_controller_core::controller_core::ConfigUpdate;
use wheelspread_controller_core::deployment::ConfigError;
use wheelspread_controller_core::{ControllerCore, Deployment};
use writes::PendingWrite;

/// The name of the fact that stores the baseline of the watched change.
const BASELINE_FACT: &str = "baseline";
/// The interval at which a change in progress is checked, in report periods.
const CHECK_INTERVAL_PERIODS: f64 = 0.25;

/// A change whose values the controller core is sending to the proxies, and the time at which it started.
#[derive(Clone, Debug)]
struct Propagating {
    id: ChangeId,
    since: Moment,
}

/// The configuration changes of one controller.
pub struct Rollout {
    /// The deployment of the controller's file, without the values of changes.
    base_deployment: Deployment,
    settings: RolloutSettings,
    ledger: Ledger,
    /// Writes that have not completed, in the order in which they are written.
    pending_writes: VecDeque<PendingWrite>,
    /// Whether the first pending write was handed to the disk.
    write_in_progress: bool,
    /// When the first pending write is retried after it failed.
    retry_write_at: Option<Moment>,
    next_write_number: u64,
    propagating: Option<Propagating>,
    /// The time at which the watch of the change in force started.
    watched_since: Option<Moment>,
    /// The service measured before the watched change.
    baseline: Baseline,
    /// The time since which at least one proxy has had no entry for an operation.
    missing_entries_since: Option<Moment>,
    /// Actions that the next `settle` returns.
    actions: Vec<RolloutAction>,
}

impl Rollout {
    /// Recovers the changes of an earlier run. Also returns what the controller core starts with: the configuration and
    /// the nodes that were migrating between pools.
    pub fn start(
        now: Moment,
        base_deployment: Deployment,
        settings: RolloutSettings,
        persisted: &PersistedState,
    ) -> (Rollout, ConfigUpdate, Vec<NodeId>) {
        let configuration = Configuration {
            version: persisted.configuration.version.max(1),
            values: persisted.configuration.values.clone(),
        };
        let (update, errors) = config_update_of_valid_values(&base_deployment, &configuration);
        let records = persisted.changes.values().cloned().collect();
        let (ledger, actions) = Ledger::recover(now, configuration, records, settings.deadlines);
        let baseline = persisted
            .facts
            .get(BASELINE_FACT)
            .and_then(|text| serde_json::from_str(text).ok());
        let mut rollout = Rollout {
            base_deployment,
            settings,
            ledger,
            pending_writes: VecDeque::new(),
            write_in_progress: false,
            retry_write_at: None,
            next_write_number: 0,
            propagating: None,
            watched_since: None,
            baseline: baseline.unwrap_or_default(),
            missing_entries_since: None,
            actions: Vec::new(),
        };
        rollout.log_ignored_values(errors);
        for action in actions {
            rollout.resume(now, action);
        }
        let in_progress = rollout
            .propagating
            .as_ref()
            .and_then(|propagating| rollout.ledger.record(&propagating.id));
        let migrating = in_progress.map_or_else(Vec::new, |record| migrating_nodes(&record.change));
        (rollout, update, migrating)
    }

    /// Resumes a change that was in progress when the controller stopped.
    fn resume(&mut self, now: Moment, action: LedgerAction) {
        match action.effect {
            // The controller core starts with the values in force, so no `Configure` action is needed.
            ChangeEffect::ApplyValues | ChangeEffect::RestoreValues => {
                self.propagating = Some(Propagating {
                    id: action.id,
                    since: now,
                });
            }
            ChangeEffect::Watch => self.watched_since = Some(now),
            ChangeEffect::Nothing
            | ChangeEffect::Write
            | ChangeEffect::Keep
            | ChangeEffect::Close => {}
        }
    }

    /// Sets the pacing of the update queue after the controller's file was reloaded. A value that a change has set
    /// takes precedence.
    pub fn set_entries_per_second(&mut self, entries_per_second: f64) {
        self.base_deployment.update_queue.entries_per_second = entries_per_second;
    }

    /// The configuration in force and all changes.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The number of writes that have not completed.
    pub fn pending_write_count(&self) -> usize {
        self.pending_writes.len()
    }

    /// Carries out a command. `request` identifies the answer to it.
    pub fn handle_command(
        &mut self,
        now: Moment,
        request: u64,
        command: RolloutCommand,
        core: &ControllerCore,
    ) {
        let result = match command {
            RolloutCommand::Plan(change) => Ok(self.plan(now, &change, core)),
            RolloutCommand::Stage(change) => self.stage(now, request, change, core),
            RolloutCommand::Apply(id) => self.apply(now, request, &id, core),
            RolloutCommand::Undo(id, reason) => self.undo(now, request, &id, &reason),
        };
        let waits_for_disk = self
            .pending_writes
            .iter()
            .any(|write| write.requests.contains(&request));
        if !waits_for_disk {
            self.actions.push(RolloutAction::Answer { request, result });
        }
    }

    fn undo(
        &mut self,
        now: Moment,
        request: u64,
        id: &ChangeId,
        reason: &str,
    ) -> Result<Answer, ChangeError> {
        let actions = self.ledger.undo(now, id, reason)?;
        self.carry_out(now, actions, Some(request));
        self.answer(id)
    }

    fn answer(&self, id: &ChangeId) -> Result<Answer, ChangeError> {
        let record = self.ledger.record(id).cloned();
        let record = record.ok_or_else(|| ChangeError::UnknownChange(id.0.clone()))?;
        Ok(Answer::Change(Box::new(record)))
    }

    /// Carries out the actions of the ledger. `request` is the command whose answer waits for their writes.
    fn carry_out(&mut self, now: Moment, actions: Vec<LedgerAction>, request: Option<u64>) {
        for LedgerAction { id, effect } in actions {
            if effect == ChangeEffect::Watch {
                self.watched_since = Some(now);
                self.missing_entries_since = None;
            }
            self.log_state(&id);
            self.write(&id, effect, request);
        }
    }

    /// Handles what is due: propagation that is complete, broken conditions of a watch, deadlines and writes. `actions`
    /// receives the actions that the caller carries out.
    pub fn settle(&mut self, now: Moment, core: &ControllerCore, actions: &mut Vec<RolloutAction>) {
        self.check_propagation(now, core);
        self.check_watched_change(now, core);
        let mut members = core.members().members();
        let has_proxies = members.any(|(_, member)| member.is_joined());
        // Without a joined proxy there are no reports to wait for, so the evidence counts as complete.
        let evidence_until = match (core.reported_until(), has_proxies) {
            (Some(until), _) => until,
            (None, true) => Moment::default(),
            (None, false) => now,
        };
        let due = self.ledger.advance(now, evidence_until);
        self.carry_out(now, due, None);
        self.start_next_write(now);
        actions.append(&mut self.actions);
    }

    /// Returns when `settle` is next due, unless a command or the result of a write comes first.
    pub fn wake_at(&self, now: Moment, core: &ControllerCore) -> Option<Moment> {
        // While a change is in progress, the regular check calls `settle`, which also handles the ledger's deadlines.
        let in_progress = self.propagating.is_some() || self.watched_since.is_some();
        let check_at = match in_progress {
            true => Some(now + check_interval(core.deployment())),
            false => self.ledger.wake_at(),
        };
        [check_at, self.next_write_at(now)]
            .into_iter()
            .flatten()
            .min()
    }

    fn log_state(&mut self, id: &ChangeId) {
        if let Some(record) = self.ledger.record(id) {
            self.actions
                .push(RolloutAction::Log(RolloutEvent::StateChanged {
                    id: id.clone(),
                    state: record.state,
                    reason: record.reason.clone(),
                }));
        }
    }

    fn log_ignored_values(&mut self, errors: Vec<ConfigError>) {
        let events = errors.into_iter().map(|error| RolloutEvent::ValueIgnored {
            field: error.field,
            text: error.kind.to_string(),
        });
        self.actions.extend(events.map(RolloutAction::Log));
    }
}

/// The interval at which a change in progress is checked.
fn check_interval(deployment: &Deployment) -> Span {
    deployment.load_reports.period * CHECK_INTERVAL_PERIODS
}
