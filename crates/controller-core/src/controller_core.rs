//! The controller's protocol state, without sockets, disk or clock.
//!
//! [`ControllerCore::observe`] takes in what happened. [`ControllerCore::settle`] runs a decision round of the
//! balancer when one is due and hands out the effects to carry out. One loop drives it: observe what came,
//! settle, carry out the effects, sleep until [`ControllerCore::wake_at`].

mod configuration;
mod deliveries;
mod drains;
mod effect;
mod endpoints;
mod observation;
mod publishing;
mod recovery;
mod reports;
mod rollbacks;
mod rounds;
mod schedule;
mod streams;
mod versions;

pub use configuration::RolloutProgress;
pub use effect::{Effect, LogEvent};
pub use observation::{ConfigUpdate, Observation, TableWriteError};
pub use recovery::{RecoveredState, StartError};

use crate::acknowledgement::{Acknowledgements, AppliedVersion};
use crate::deployment::Deployment;
use crate::drain_evidence::DrainEvidence;
use crate::endpoint_list::EndpointList;
use crate::load_report::LoadAggregator;
use crate::membership::{Member, Membership};
use crate::node_overrides::NodeOverrides;
use crate::publication::{Publication, TableSet, Version};
use crate::rollback::RollbackWeights;
use crate::service_history::ServiceHistory;
use crate::transport::{Transport, Transports};
use crate::update_queue::{UpdateCounts, UpdateQueue};
use crate::weight_solver::WeightSolver;
use configuration::ConfigurationInForce;
use deliveries::Deliveries;
use recovery::{PendingRestore, UnclaimedProxies, PRUNE_AFTER_DRAIN_GRACES};
use schedule::RoundSchedule;
use std::sync::Arc;
use versions::{RetainedVersions, StoredVersions};
use wheelspread::ids::{ProxyId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{Balancer, CapacitySnapshot, Event};

/// The tables of one proxy: what it should hold, and what it holds.
pub struct ProxyTableStatus<'a> {
    /// The newest version for it.
    pub newest: Option<&'a Arc<TableSet>>,
    /// How it gets its tables.
    pub transport: Transport,
    /// The version that it holds, and since when.
    pub applied: Option<AppliedVersion>,
    /// The last version that it rejected.
    pub rejected: Option<Version>,
}

/// A controller without its sockets, files and clock.
pub struct ControllerCore {
    plan: Deployment,
    /// This controller's among those of the deployment.
    number: u32,
    started_at: Moment,
    balancer: Balancer,
    schedule: RoundSchedule,
    endpoints: EndpointList,
    overrides: NodeOverrides,
    solver: WeightSolver,
    rollback: RollbackWeights,
    members: Membership,
    transports: Transports,
    aggregator: LoadAggregator,
    history: ServiceHistory,
    evidence: DrainEvidence,
    publication: Publication,
    retained_versions: RetainedVersions,
    queue: UpdateQueue,
    queue_was_over_limit: bool,
    deliveries: Deliveries,
    acknowledgements: Acknowledgements,
    stored_versions: StoredVersions,
    unclaimed: UnclaimedProxies,
    pending_restore: PendingRestore,
    configuration: ConfigurationInForce,
    effects: Vec<Effect>,
}

impl ControllerCore {
    /// Starts from what an earlier run left. `number`: this controller's among those of the deployment.
    pub fn start(
        now: Moment,
        seed: u64,
        plan: Deployment,
        number: u32,
        recovered: RecoveredState,
    ) -> Result<ControllerCore, StartError> {
        let balancer = start_balancer(now, seed, &plan, number)?;
        let last_version = recovered.last_version();
        let mut publication = Publication::new(plan.operations.len(), last_version);
        publication.set_configuration(recovered.configuration);
        let mut endpoints = EndpointList::default();
        let overrides = recovered.node_overrides(now, &plan, &mut endpoints);
        let prune_at = now + plan.rules.drain_grace * PRUNE_AFTER_DRAIN_GRACES;
        Ok(ControllerCore {
            number,
            started_at: now,
            balancer,
            schedule: RoundSchedule::new(now, plan.load_reports.period),
            endpoints,
            overrides,
            solver: WeightSolver::default(),
            rollback: RollbackWeights::default(),
            members: Membership::default(),
            transports: Transports::new(plan.table_delivery.files),
            aggregator: LoadAggregator::default(),
            history: ServiceHistory::new(plan.load_reports.period),
            evidence: DrainEvidence::default(),
            publication,
            retained_versions: RetainedVersions::default(),
            queue: UpdateQueue::new(now, &plan.update_queue),
            queue_was_over_limit: false,
            deliveries: Deliveries::default(),
            acknowledgements: Acknowledgements::default(),
            stored_versions: StoredVersions::new(now, recovered.versions),
            unclaimed: UnclaimedProxies::new(recovered.tables, prune_at),
            pending_restore: PendingRestore::new(recovered.endpoint_list, recovered.capacities),
            configuration: ConfigurationInForce {
                version: recovered.configuration,
                tables_above: last_version,
            },
            effects: Vec::new(),
            plan,
        })
    }

    /// Takes in something that happened. Effects come with the next [`ControllerCore::settle`].
    pub fn observe(&mut self, now: Moment, observation: Observation) {
        self.schedule.request_round();
        match observation {
            Observation::EndpointList(list) => self.on_endpoint_list(now, list),
            Observation::StreamOpened {
                stream,
                introduction,
            } => self.on_stream_opened(now, stream, &introduction),
            Observation::StreamClosed { stream } => self.on_stream_closed(now, stream),
            Observation::LoadReport { stream, report } => {
                self.on_load_report(now, stream, &report);
            }
            Observation::StatusReported {
                proxy,
                version,
                rejection,
            } => self.on_status(now, proxy, version, rejection),
            Observation::TablesWritten {
                proxy,
                version,
                result,
            } => self.on_tables_written(now, proxy, version, result),
            Observation::PaceChanged { entries_per_second } => {
                self.queue.set_pace(entries_per_second);
            }
            Observation::Subscribed {
                stream,
                introduction,
                initial_version,
            } => self.on_subscribed(now, stream, &introduction, initial_version),
            Observation::Unsubscribed { stream } => self.on_unsubscribed(now, stream),
            Observation::UpdatesPaused { bundle, until } => self.pause_updates(now, bundle, until),
            Observation::RollBack {
                request,
                bundle,
                version,
            } => {
                let result = self.roll_back(now, bundle, version);
                self.finish_rollback_request(request, result);
            }
            Observation::EndRollback { request } => {
                let result = self.end_rollback(now);
                self.finish_rollback_request(request, result);
            }
            Observation::DrainedNodes(nodes) => self.set_drained_nodes(now, nodes),
            Observation::ConfigUpdated(update) => self.apply_configuration(now, *update),
        }
    }

    /// The deployment's settings in force.
    pub fn plan(&self) -> &Deployment {
        &self.plan
    }

    /// The last version that was made.
    pub fn version(&self) -> Version {
        self.publication.last_version()
    }

    /// Entries in the update queue.
    pub fn queued_entries(&self) -> f64 {
        self.queue.queued_entries()
    }

    /// How many updates went to proxies.
    pub fn update_counts(&self) -> UpdateCounts {
        self.queue.counts()
    }

    /// The endpoint list in force.
    pub fn nodes(&self) -> &EndpointList {
        &self.endpoints
    }

    /// The proxies that are joined or were lately.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// What load reports of the last periods sum up to.
    pub fn service_history(&self) -> &ServiceHistory {
        &self.history
    }

    /// Up to when all joined proxies that report have reported.
    pub fn reported_until(&self) -> Option<Moment> {
        let joined = self.joined_members().map(|(_, member)| member.id);
        self.history.reported_until(joined)
    }

    /// What the balancer knows of nodes' capacities, to be stored for a restart.
    pub fn capacity_snapshots(&self) -> impl Iterator<Item = CapacitySnapshot> + '_ {
        self.balancer.capacity_snapshots()
    }

    /// The tables of a proxy.
    pub fn table_status(&self, proxy: ProxyId) -> ProxyTableStatus<'_> {
        ProxyTableStatus {
            newest: self.publication.newest_for(proxy),
            transport: self.transports.transport(proxy),
            applied: self.acknowledgements.applied(proxy),
            rejected: self.acknowledgements.rejected(proxy),
        }
    }

    fn joined_members(&self) -> impl Iterator<Item = (&str, &Member)> {
        self.members
            .members()
            .filter(|(_, member)| member.is_joined())
    }

    fn is_joined(&self, proxy: ProxyId) -> bool {
        self.members.by_id(proxy).is_some_and(Member::is_joined)
    }

    /// The version that a proxy is known to hold.
    fn applied_version(&self, member: &Member) -> Option<Version> {
        self.acknowledgements
            .applied(member.id)
            .map(|applied| applied.version)
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }

    /// Hands an event to the balancer.
    fn handle_event(&mut self, now: Moment, event: &Event) {
        if let Err(error) = self.balancer.handle_event(now, event) {
            let reason = error.to_string();
            self.log(LogEvent::EventIgnored { reason });
        }
    }
}

fn start_balancer(
    now: Moment,
    seed: u64,
    plan: &Deployment,
    number: u32,
) -> Result<Balancer, StartError> {
    let errors = plan.validate();
    if !errors.is_empty() {
        return Err(StartError::InvalidSettings(errors));
    }
    Balancer::start(now, seed, plan.to_settings(number, None)).map_err(StartError::Balancer)
}

fn zone_of(plan: &Deployment, name: &str) -> Option<ZoneId> {
    plan.zones
        .iter()
        .position(|zone| zone == name)
        .map(|index| ZoneId(index as u16))
}

#[cfg(test)]
mod tests;
