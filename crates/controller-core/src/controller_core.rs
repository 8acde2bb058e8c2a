//! The controller's protocol state, without sockets, disk or clock.
//!
//! [`ControllerCore::observe`] records an observation. [`ControllerCore::settle`] runs a decision round of the
//! balancer if one is due and returns the effects to carry out. The caller's loop passes pending observations,
//! settles, carries out the effects and sleeps until [`ControllerCore::wake_at`].

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
use configuration::ActiveConfiguration;
use deliveries::Deliveries;
use recovery::{PendingRestore, RecoveredTables, PRUNE_AFTER_DRAIN_GRACES};
use schedule::RoundSchedule;
use std::sync::Arc;
use versions::{RetainedVersions, StoredVersions};
use wheelspread::ids::{ProxyId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::{Balancer, CapacitySnapshot, Event};

/// The tables of one proxy: the newest version, and the versions that it applied and rejected.
pub struct ProxyTableStatus<'a> {
    /// The newest version published for the proxy.
    pub newest: Option<&'a Arc<TableSet>>,
    /// How the proxy gets its tables.
    pub transport: Transport,
    /// The version that the proxy holds, and since when.
    pub applied: Option<AppliedVersion>,
    /// The last version that the proxy rejected.
    pub rejected: Option<Version>,
}

/// The state of a controller, without sockets, files or clock.
pub struct ControllerCore {
    deployment: Deployment,
    /// Index of this controller among the controllers of the deployment.
    controller_index: u32,
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
    recovered_tables: RecoveredTables,
    pending_restore: PendingRestore,
    configuration: ActiveConfiguration,
    effects: Vec<Effect>,
}

impl ControllerCore {
    /// Starts a controller from the state of an earlier run. `controller_index` is the controller's index among
    /// the controllers of the deployment.
    pub fn start(
        now: Moment,
        seed: u64,
        deployment: Deployment,
        controller_index: u32,
        recovered: RecoveredState,
    ) -> Result<ControllerCore, StartError> {
        let balancer = start_balancer(now, seed, &deployment, controller_index)?;
        let last_version = recovered.last_version();
        let mut publication = Publication::new(deployment.operations.len(), last_version);
        publication.set_configuration(recovered.configuration);
        let mut endpoints = EndpointList::default();
        let overrides = recovered.node_overrides(now, &deployment, &mut endpoints);
        let prune_at = now + deployment.rules.drain_grace * PRUNE_AFTER_DRAIN_GRACES;
        Ok(ControllerCore {
            controller_index,
            started_at: now,
            balancer,
            schedule: RoundSchedule::new(now, deployment.load_reports.period),
            endpoints,
            overrides,
            solver: WeightSolver::default(),
            rollback: RollbackWeights::default(),
            members: Membership::default(),
            transports: Transports::new(deployment.table_delivery.files),
            aggregator: LoadAggregator::default(),
            history: ServiceHistory::new(deployment.load_reports.period),
            evidence: DrainEvidence::default(),
            publication,
            retained_versions: RetainedVersions::default(),
            queue: UpdateQueue::new(now, &deployment.update_queue),
            queue_was_over_limit: false,
            deliveries: Deliveries::default(),
            acknowledgements: Acknowledgements::default(),
            stored_versions: StoredVersions::new(now, recovered.versions),
            recovered_tables: RecoveredTables::new(recovered.tables, prune_at),
            pending_restore: PendingRestore::new(recovered.endpoint_list, recovered.capacities),
            configuration: ActiveConfiguration {
                version: recovered.configuration,
                last_version_before: last_version,
            },
            effects: Vec::new(),
            deployment,
        })
    }

    /// Records an observation. The next [`ControllerCore::settle`] returns the resulting effects.
    pub fn observe(&mut self, now: Moment, observation: Observation) {
        self.schedule.request_round();
        match observation {
            Observation::EndpointList(list) => self.on_endpoint_list(now, list),
            Observation::StreamOpened {
                stream,
                proxy_identity,
            } => self.on_stream_opened(now, stream, &proxy_identity),
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
            Observation::PacingChanged { entries_per_second } => {
                self.queue.set_pacing(entries_per_second);
            }
            Observation::Subscribed {
                stream,
                proxy_identity,
                initial_version,
            } => self.on_subscribed(now, stream, &proxy_identity, initial_version),
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

    /// The settings of the deployment in force.
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// The highest version allocated so far.
    pub fn last_version(&self) -> Version {
        self.publication.last_version()
    }

    /// Entries in the update queue or in flight, overhead included.
    pub fn queued_entries(&self) -> f64 {
        self.queue.queued_entries()
    }

    /// Counts of the updates sent and superseded.
    pub fn update_counts(&self) -> UpdateCounts {
        self.queue.counts()
    }

    /// The endpoint list in force.
    pub fn endpoint_list(&self) -> &EndpointList {
        &self.endpoints
    }

    /// The known proxies: joined ones, and disconnected ones that are not forgotten yet.
    pub fn members(&self) -> &Membership {
        &self.members
    }

    /// Sums of the load reports of recent report periods.
    pub fn service_history(&self) -> &ServiceHistory {
        &self.history
    }

    /// The time up to which every joined proxy that sends load reports has reported.
    pub fn reported_until(&self) -> Option<Moment> {
        let joined = self.joined_members().map(|(_, member)| member.id);
        self.history.reported_until(joined)
    }

    /// The balancer's capacity estimates of nodes, to be stored and restored after a restart.
    pub fn capacity_snapshots(&self) -> impl Iterator<Item = CapacitySnapshot> + '_ {
        self.balancer.capacity_snapshots()
    }

    /// The status of a proxy's tables.
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

    /// The version that a proxy is known to hold; `None` if that is unknown.
    fn applied_version(&self, member: &Member) -> Option<Version> {
        self.acknowledgements
            .applied(member.id)
            .map(|applied| applied.version)
    }

    fn log(&mut self, event: LogEvent) {
        self.effects.push(Effect::Log(event));
    }

    /// Passes an event to the balancer; an event that the balancer rejects is logged.
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
    deployment: &Deployment,
    controller_index: u32,
) -> Result<Balancer, StartError> {
    let errors = deployment.validate();
    if !errors.is_empty() {
        return Err(StartError::InvalidSettings(errors));
    }
    Balancer::start(now, seed, deployment.to_settings(controller_index, None))
        .map_err(StartError::Balancer)
}

fn zone_of(deployment: &Deployment, name: &str) -> Option<ZoneId> {
    deployment
        .zones
        .iter()
        .position(|zone| zone == name)
        .map(|index| ZoneId(index as u16))
}

#[cfg(test)]
mod tests;
