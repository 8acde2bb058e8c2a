//! The watch of a change in force: the baseline measured before it, and the conditions on which it is undone.

use super::Rollout;
use crate::watch::{broken_condition, Baseline, BrokenCondition};
use wheelspread::time::{Moment, Span};
use wheelspread_config_transaction::ChangeState;
use wheelspread_controller_core::{ControllerCore, Deployment};

/// The time for which proxies may have no entry for an operation before the change is undone, as a ratio of
/// `without_node_at_most`, the time for which a joined proxy may have none at all.
const MISSING_ENTRY_TIME_RATIO: f64 = 0.5;
/// The time after a change is in force during which load reports may still cover the time before it, in report periods.
const STALE_REPORT_PERIODS: f64 = 2.0;

fn missing_entry_limit(deployment: &Deployment) -> Span {
    deployment.rules.without_node_at_most * MISSING_ENTRY_TIME_RATIO
}

fn stale_report_time(deployment: &Deployment) -> Span {
    deployment.load_reports.period * STALE_REPORT_PERIODS
}

impl Rollout {
    /// Measures the service before a change, over the duration of a watch.
    pub(super) fn measure_baseline(&mut self, now: Moment, core: &ControllerCore) {
        let begin = now - self.settings.deadlines.watch;
        let (totals, _) = core.service_history().between(begin, now);
        self.baseline = Baseline::from_totals(&totals, core.deployment());
    }

    /// Undoes the watched change if a condition is broken.
    pub(super) fn check_watched_change(&mut self, now: Moment, core: &ControllerCore) {
        let watched = self
            .ledger
            .unfinished()
            .find(|record| record.state == ChangeState::Watched);
        let Some(id) = watched.map(|record| record.change.id.clone()) else {
            (self.watched_since, self.missing_entries_since) = (None, None);
            return;
        };
        let Some(since) = self.watched_since else {
            return;
        };
        if let Some(broken) = self.find_broken_condition(now, since, core) {
            let result = self.ledger.undo(now, &id, &broken.to_string());
            // The ledger rejects the undo if a later change sets the same values; then the change stays in force.
            self.carry_out(now, result.unwrap_or_default(), None);
        }
    }

    fn find_broken_condition(
        &mut self,
        now: Moment,
        watched_since: Moment,
        core: &ControllerCore,
    ) -> Option<BrokenCondition> {
        let deployment = core.deployment();
        let proxies = core.proxies_without_entries();
        self.missing_entries_since = match proxies.is_empty() {
            true => None,
            false => self.missing_entries_since.or(Some(now)),
        };
        let is_too_long = |since: Moment| now - since >= missing_entry_limit(deployment);
        if self.missing_entries_since.is_some_and(is_too_long) {
            return Some(BrokenCondition::MissingEntries { proxies });
        }
        let begin = watched_since + stale_report_time(deployment);
        let (totals, _) = core.service_history().between(begin, now);
        broken_condition(
            &self.settings.conditions,
            &self.baseline,
            &totals,
            deployment,
        )
    }
}
