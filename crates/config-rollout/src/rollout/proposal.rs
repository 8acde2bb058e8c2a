//! Planning and staging of changes: the values that would change, and the findings of the checks.

use super::Rollout;
use crate::measured_fleet::MeasuredFleet;
use crate::messages::{Answer, PlannedValue};
use crate::pool_risk::{pool_risks, PoolRisk};
use crate::values::{config_update, value_in_file};
use std::fmt;
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;
use wheelspread::EndpointEntry;
use wheelspread_config_transaction::checks::{check, Propagation};
use wheelspread_config_transaction::{
    Change, ChangeError, ChangeState, CheckReport, Configuration, Finding, ValueChange,
};
use wheelspread_controller_core::controller_core::ConfigUpdate;
use wheelspread_controller_core::deployment::ConfigError;
use wheelspread_controller_core::endpoint_list::format_node;
use wheelspread_controller_core::ControllerCore;

/// The minimum number of update steps of a change: removals, then additions.
const MIN_UPDATE_STEPS: u32 = 2;

/// A finding about a proposal that needs no measurements.
enum ProposalFinding {
    /// A value is invalid.
    InvalidValue(ConfigError),
    /// The configuration sets values for a node that is not in the endpoint list.
    UnlistedNode(NodeId),
    /// A pool would lose its last node, or its last node that is not in slow start.
    Pool(PoolRisk),
    /// There are no measurements yet, so the effect on capacity is unknown.
    NotMeasured,
}

impl ProposalFinding {
    /// The name of the check, as stored and shown to operators.
    fn check_name(&self) -> &'static str {
        match self {
            ProposalFinding::InvalidValue(_) => "values",
            ProposalFinding::UnlistedNode(_) => "nodes",
            ProposalFinding::Pool(_) => "pools",
            ProposalFinding::NotMeasured => "measured",
        }
    }

    fn forbids(&self) -> bool {
        match self {
            ProposalFinding::InvalidValue(_) | ProposalFinding::Pool(_) => true,
            ProposalFinding::UnlistedNode(_) | ProposalFinding::NotMeasured => false,
        }
    }
}

/// The texts are stored with the change and shown to operators.
impl fmt::Display for ProposalFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ProposalFinding::InvalidValue(error) => write!(f, "{error}"),
            ProposalFinding::UnlistedNode(node) => {
                write!(f, "{} is not listed now", format_node(*node))
            }
            ProposalFinding::Pool(risk) => write!(f, "{risk}"),
            ProposalFinding::NotMeasured => write!(
                f,
                "nothing was measured yet: what it does to capacity is not known"
            ),
        }
    }
}

impl From<ProposalFinding> for Finding {
    fn from(found: ProposalFinding) -> Finding {
        Finding {
            check: found.check_name().to_string(),
            text: found.to_string(),
            forbids: found.forbids(),
        }
    }
}

/// Returns the configuration with the values of a change; its version stays.
fn configuration_with(configuration: &Configuration, change: &Change) -> Configuration {
    let mut after = configuration.clone();
    for (path, to) in &change.sets {
        match to {
            Some(value) => drop(after.values.insert(path.clone(), value.clone())),
            None => drop(after.values.remove(path)),
        }
    }
    after
}

/// Returns a finding for each node that has values and is not in the endpoint list.
fn unlisted_nodes(update: &ConfigUpdate, core: &ControllerCore) -> Vec<ProposalFinding> {
    let listed: Vec<NodeId> = core
        .endpoint_list()
        .listed()
        .map(|(_, entry)| entry.node)
        .collect();
    let nodes = update.node_values.keys().copied();
    nodes
        .filter(|node| !listed.contains(node))
        .map(ProposalFinding::UnlistedNode)
        .collect()
}

impl Rollout {
    pub(super) fn plan(&self, now: Moment, change: &Change, core: &ControllerCore) -> Answer {
        let planned_value = |ValueChange { path, from, to }| {
            // A path that no change sets has the value of the controller's file.
            let in_file = value_in_file(&self.base_deployment, &path);
            PlannedValue {
                path,
                from: from.or_else(|| in_file.clone()),
                to: to.or(in_file),
            }
        };
        let value_changes = self.ledger.plan(change);
        Answer::Planned {
            version: self.ledger.configuration().version,
            lines: value_changes.into_iter().map(planned_value).collect(),
            findings: self.check(now, change, core).0,
        }
    }

    pub(super) fn stage(
        &mut self,
        now: Moment,
        request: u64,
        change: Change,
        core: &ControllerCore,
    ) -> Result<Answer, ChangeError> {
        let id = change.id.clone();
        if self.ledger.propose(now, change.clone())? == ChangeState::Proposed {
            let report = self.check(now, &change, core);
            let actions = self.ledger.record_checks(now, &id, report)?;
            self.carry_out(now, actions, Some(request));
        }
        self.answer(&id)
    }

    /// Runs all checks of a change. Invalid values end the checks early; the checks of capacity and propagation need
    /// measurements.
    fn check(&self, now: Moment, change: &Change, core: &ControllerCore) -> CheckReport {
        let configuration = configuration_with(self.ledger.configuration(), change);
        let update = match config_update(&self.base_deployment, &configuration) {
            Ok(update) => update,
            Err(errors) => {
                let findings = errors.into_iter().map(ProposalFinding::InvalidValue);
                return CheckReport(findings.map(Finding::from).collect());
            }
        };
        let before: Vec<EndpointEntry> = core.effective_entries().collect();
        let after = core.effective_entries_with(&update);
        let mut found = unlisted_nodes(&update, core);
        let risks = pool_risks(now, &before, &after, core.deployment(), &update.deployment);
        found.extend(risks.into_iter().map(ProposalFinding::Pool));
        let measured = MeasuredFleet::from_core(now, core);
        if !measured.has_capacity_and_demand() {
            found.push(ProposalFinding::NotMeasured);
            return CheckReport(found.into_iter().map(Finding::from).collect());
        }
        let fleet_before = measured.fleet(now, &before, core.deployment());
        let fleet_after = measured.fleet(now, &after, &update.deployment);
        let propagation = propagation(&update, core);
        let mut findings: Vec<Finding> = found.into_iter().map(Finding::from).collect();
        findings.extend(
            check(
                &fleet_before,
                &fleet_after,
                self.settings.limits,
                propagation,
            )
            .0,
        );
        CheckReport(findings)
    }
}

/// Returns the parameters of sending the tables of an update to the proxies.
fn propagation(update: &ConfigUpdate, core: &ControllerCore) -> Propagation {
    let queue = &update.deployment.update_queue;
    Propagation {
        proxies: core.members().members().count() as u32,
        entries_per_second: queue.entries_per_second,
        header_entries: queue.message_overhead_entries,
        messages_per_window: queue.max_messages,
        window: queue.messages_window,
        min_update_steps: MIN_UPDATE_STEPS,
    }
}
