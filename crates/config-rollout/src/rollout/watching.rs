//! Watches a change in force: the baseline before it, and the conditions that undo it.

use super::Rollout;
use crate::watch::{broken_condition, Baseline, BrokenCondition};
use wheelspread::time::{Moment, Span};
use wheelspread_config_transaction::ChangeState;
use wheelspread_controller_core::{ControllerCore, Deployment};

/// The time that proxies may be without an entry for an operation before the change is undone, as a share of the time
/// that a joined proxy may be without one at all.
const MISSING_ENTRY_SHARE: f64 = 0.5;
/// Reports of this many periods after a change is in force still speak of the time before it.
const STALE_REPORT_PERIODS: f64 = 2.0;

fn missing_entry_limit(deployment: &Deployment) -> Span {
    deployment.rules.without_node_at_most * MISSING_ENTRY_SHARE
}

fn stale_report_time(deployment: &Deployment) -> Span {
    deployment.load_reports.period * STALE_REPORT_PERIODS
}

impl Rollout {
    /// Measures the service before a change.
    pub(super) fn measure_baseline(&mut self, now: Moment, core: &ControllerCore) {
        let begin = now - self.settings.deadlines.watch;
        let (tallies, _) = core.service_history().between(begin, now);
        self.baseline = Baseline::from_tallies(&tallies, core.deployment());
    }

    /// Undoes the change that is watched if it broke a condition.
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
            // If a later change rests on it, it stays as it is.
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
        let (tallies, _) = core.service_history().between(begin, now);
        broken_condition(
            &self.settings.conditions,
            &self.baseline,
            &tallies,
            deployment,
        )
    }
}
