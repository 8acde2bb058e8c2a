//! Carries out the decisions of the core, of the rollout of configurations and of the drains.

use super::Controller;
use crate::log;
use tracing::warn;
use wheelspread::time::Moment;
use wheelspread_config_rollout::{RolloutAction, WriteError};
use wheelspread_config_transaction::Commit;
use wheelspread_controller_core::controller_core::ConfigUpdate;
use wheelspread_controller_core::rollback::{RollbackError, RollbackResult};
use wheelspread_controller_core::{Effect, Observation};
use wheelspread_faults::failpoint;
use wheelspread_files::WriteJob;
use wheelspread_grpc::Status;
use wheelspread_xds::loads;

impl Controller {
    /// Lets the core settle and carries out its effects.
    pub(super) fn settle_core(&mut self, now: Moment) {
        let mut effects = Vec::new();
        self.core.settle(now, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::AcceptStream { stream, period } => {
                self.streams.send(stream, &loads::response(period));
            }
            Effect::CloseStream { stream, reason } => {
                self.streams.close(stream, Status::InvalidArgument, &reason);
            }
            Effect::WriteTables { proxy, set } => {
                self.submit_write(WriteJob::Publish { proxy, set });
            }
            Effect::SendTables { stream, set } => {
                self.discovery.offer_tables(&mut self.streams, stream, &set);
            }
            Effect::RollbackFinished { request, result } => self.finish_rollback(request, result),
            Effect::RetireVersion { version } => self.submit_write(WriteJob::Remove { version }),
            Effect::Log(event) => log::core_event(&event),
        }
    }

    fn finish_rollback(&mut self, order: u64, result: Result<RollbackResult, RollbackError>) {
        self.admin.finish_rollback(order, &result);
        if let Err(error) = result {
            let reason = error.to_string();
            warn!(order, reason, "rollback not carried out");
        }
    }

    /// Queues a job for the thread that writes tables; a job submitted during shutdown is dropped.
    fn submit_write(&self, job: WriteJob) {
        if let Some(writer) = &self.table_writer {
            writer.submit(job);
        }
    }

    /// Advances changes of configuration, if that is due.
    pub(super) fn settle_rollout(&mut self, now: Moment) {
        if self.rollout_at.is_none_or(|at| now < at) {
            return;
        }
        let mut actions = Vec::new();
        self.rollout.settle(now, &self.core, &mut actions);
        for action in actions {
            self.carry_out_rollout_action(now, action);
        }
        let earliest = now + self.core.deployment().controllers.tick;
        self.rollout_at = self
            .rollout
            .wake_at(now, &self.core)
            .map(|at| at.max(earliest));
    }

    fn carry_out_rollout_action(&mut self, now: Moment, action: RolloutAction) {
        match action {
            RolloutAction::Write { number, commit } => {
                self.write_rollout_commit(now, number, commit);
            }
            RolloutAction::Configure(update) => self.apply_config_update(now, *update),
            RolloutAction::Answer { request, result } => {
                let _ = failpoint("change.answer");
                self.admin.finish_change(request, &result);
            }
            RolloutAction::Log(event) => log::rollout_event(&event),
        }
    }

    fn write_rollout_commit(&mut self, now: Moment, number: u64, commit: Commit) {
        if let Err(error) = self.state_writer.write(number, commit) {
            let error = WriteError(error.to_string());
            self.rollout.on_write_completed(now, number, Err(error));
        }
    }

    /// Puts a configuration in force for the table writer, the discovery server and the core.
    fn apply_config_update(&mut self, now: Moment, update: ConfigUpdate) {
        let _ = failpoint("change.configure");
        self.submit_write(WriteJob::Reconfigure(Box::new(update.deployment.clone())));
        self.discovery.reconfigure(update.deployment.clone());
        self.core
            .observe(now, Observation::ConfigUpdated(Box::new(update)));
        let _ = failpoint("change.configured");
    }

    /// Advances drains and answers the operators whose orders have been persisted.
    pub(super) fn settle_drains(&mut self, now: Moment) {
        let answers = self
            .drains
            .settle(now, &mut self.core, &mut self.state_writer);
        for answer in answers {
            self.admin.finish_drain(answer.order, &answer.result);
        }
    }
}
