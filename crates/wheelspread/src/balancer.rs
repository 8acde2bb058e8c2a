//! The balancer: handles events and decides in each decision round what the controller publishes.
//!
//! A normal update has three stages: the target weights ([`crate::locality`]), the order in which tables move
//! towards them ([`crate::update_plan`]) and the rate at which updates are sent ([`crate::pacing`]). Urgent
//! changes, such as the removal of draining nodes, are published without waiting for an update step.
//! `docs/design.md` explains the design.

use crate::admission::Admission;
use crate::capacity::{CapacitySnapshot, KindEstimate};
use crate::config::Config;
use crate::error::{ConfigError, EventError};
use crate::event::{EndpointEntry, EndpointListKind, Event};
use crate::fleet::Fleet;
use crate::ids::{KindId, NodeId, OperationId, ProxyId, TimerId};
use crate::lifecycle::{LifecycleInput, Measurements};
use crate::locality::target_shares;
use crate::node_load::LoadReport;
use crate::pacing::Pacing;
use crate::pcg::Pcg;
use crate::publication::{
    apply_urgent_changes, bind_joined_proxies, publish_admission, publish_weights,
    published_weights, send_marker,
};
use crate::report_check::ReportClock;
use crate::report_timing::REPORT_VALIDITY;
use crate::settings::Settings;
use crate::shares::TableWeights;
use crate::slow_start::limit_warming_entries;
use crate::subset::divide_large_zones;
use crate::tables::zero_demand;
use crate::time::{Moment, Span};
use crate::update_plan::plan_step;
use crate::Action;

#[cfg(test)]
mod tests;

/// Interval between two regular decision rounds, in report periods.
const ROUND_INTERVAL_PERIODS: f64 = 0.25;
/// Minimum interval between two decision rounds, in report periods, when a join or a change of the endpoint list
/// triggers a round before its timer.
const MIN_ROUND_INTERVAL_PERIODS: f64 = 0.05;
/// Time constant of the average demand, in report cycles: a third of the common time constant of averages.
const DEMAND_TIME_CONSTANT_CYCLES: f64 = REPORT_VALIDITY.time_constant_cycles / 3.0;

/// State and decisions of one controller's balancer.
pub struct Balancer {
    fleet: Fleet,
    random: Pcg,
    admission: Admission,
    pacing: Pacing,
    rounds: Rounds,
    /// Whether the endpoint list or the health of a node has changed since the last update step.
    is_step_requested: bool,
    /// Whether the endpoint list has changed since the last publication.
    is_publication_requested: bool,
}

/// Timing of the decision rounds.
struct Rounds {
    /// Number of timers set so far, which is also the ID of the last one.
    last_timer: u64,
    next_round_at: Moment,
    last_round_at: Moment,
}

impl Balancer {
    /// Starts with an empty fleet. `seed` initializes the random number generator. Fails if a required setting is
    /// missing or has the wrong type.
    pub fn start(now: Moment, seed: u64, settings: Settings) -> Result<Balancer, ConfigError> {
        Ok(Balancer {
            fleet: Fleet::new(now, Config::read(&settings)?),
            random: Pcg::new(seed),
            admission: Admission::new(now),
            pacing: Pacing::default(),
            rounds: Rounds {
                last_timer: 0,
                next_round_at: now,
                last_round_at: Moment::default(),
            },
            is_step_requested: true,
            is_publication_requested: true,
        })
    }

    /// Replaces the settings from now on. Fails if the zones, the operations, or whether an operation stays in its
    /// zone differ from the current settings.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), ConfigError> {
        let config = Config::read(&settings)?;
        if !config.has_same_topology(&self.fleet.config) {
            return Err(ConfigError::TopologyChanged);
        }
        self.fleet.timing.set_period(config.report_period);
        self.fleet.config = config;
        self.request_update();
        Ok(())
    }

    /// Restores capacity snapshots that were taken before a restart. Snapshots of nodes that are not in the
    /// endpoint list are ignored.
    pub fn restore_capacities(&mut self, snapshots: &[CapacitySnapshot]) {
        self.fleet
            .capacity
            .restore(&mut self.fleet.nodes, snapshots);
    }

    /// Capacity snapshots of the ready nodes, to be restored after a restart.
    pub fn capacity_snapshots(&self) -> impl Iterator<Item = CapacitySnapshot> + '_ {
        self.fleet.capacity.snapshots(&self.fleet.nodes)
    }

    /// The estimate of each kind of node, for the host's log.
    pub fn kind_estimates(&self) -> impl Iterator<Item = (KindId, KindEstimate)> + '_ {
        self.fleet.capacity.kind_estimates()
    }

    /// Handles an event. An event that is rejected with an error changes no estimate.
    pub fn handle_event(&mut self, now: Moment, event: &Event) -> Result<(), EventError> {
        self.fleet.now = now;
        event.check()?;
        match event {
            Event::EndpointList { kind, entries } => self.on_endpoint_list(*kind, entries),
            Event::ProxyJoined {
                proxy,
                zone,
                usual_rate,
                holds_no_table,
            } => {
                let fleet = &mut self.fleet;
                let members = &mut fleet.members;
                members.on_joined(
                    *proxy,
                    *zone,
                    *usual_rate,
                    *holds_no_table,
                    &fleet.config,
                    now,
                );
            }
            Event::ProxyLeft { proxy } => {
                self.fleet.members.on_left(*proxy, now)?;
                self.pacing.on_left(*proxy);
            }
            Event::NodeLoadReport { .. } => self.on_load_report(event)?,
            Event::DemandReport {
                proxy,
                operation,
                requests,
                window,
                ..
            } => {
                self.on_demand_report(*proxy, *operation, *requests, *window)?;
            }
            Event::MarkerAcknowledged { proxy, marker, .. } => {
                self.pacing.on_acknowledged(*proxy, *marker);
            }
            Event::PeerGossip { from, payload } => {
                let classes: Vec<_> = zero_demand(&self.fleet.tables).into_keys().collect();
                self.fleet
                    .gossip
                    .on_message(*from, payload, &classes, now)?;
            }
            // A timer only triggers a decision round. Events of slices and health checks do not influence decisions
            // yet.
            Event::TimerFired { .. }
            | Event::SliceDemandReport { .. }
            | Event::SliceOwnership { .. }
            | Event::SliceAssignment { .. }
            | Event::ProbeCompleted { .. } => {}
        }
        Ok(())
    }

    fn on_endpoint_list(&mut self, kind: EndpointListKind, entries: &[EndpointEntry]) {
        let (warm_up, now) = (self.fleet.config.warm_up, self.fleet.now);
        for entry in entries {
            let input = self.fleet.nodes.on_entry(entry, warm_up, now);
            self.apply_lifecycle(entry.node, input);
        }
        if matches!(kind, EndpointListKind::Cached | EndpointListKind::Complete) {
            for id in self.fleet.nodes.missing_from(entries) {
                self.apply_lifecycle(id, LifecycleInput::Removed);
            }
        }
    }

    fn apply_lifecycle(&mut self, id: NodeId, input: LifecycleInput) {
        let Some(measurements) = self.fleet.nodes.apply(id, input, self.fleet.now) else {
            return;
        };
        if measurements != Measurements::Keep {
            self.fleet.outliers.remove_node(id);
        }
        self.request_update();
    }

    fn request_update(&mut self) {
        self.is_step_requested = true;
        self.is_publication_requested = true;
    }

    fn on_load_report(&mut self, event: &Event) -> Result<(), EventError> {
        let Some(report) = LoadReport::from_event(event) else {
            return Ok(());
        };
        let fleet = &mut self.fleet;
        let clock = ReportClock::new(fleet);
        let node = fleet
            .nodes
            .get_mut(&report.node)
            .ok_or(EventError::UnknownNode(report.node))?;
        let own = fleet.outliers.path_rates(report.node, report.zone);
        let report = fleet
            .report_check
            .check_load_report(&report, own, clock)
            .inspect_err(|_| fleet.outliers.skip_load_report(&report, clock.now()))?;
        fleet.timing.on_report(fleet.now, report.window);
        fleet.timing.on_load_report(fleet.now);
        node.load
            .on_report(&report, &fleet.config, fleet.timing.time_constant());
        fleet
            .outliers
            .on_load_report(&report, &fleet.timing, fleet.now);
        fleet.capacity.on_load_report();
        Ok(())
    }

    fn on_demand_report(
        &mut self,
        proxy: ProxyId,
        operation: OperationId,
        requests: f64,
        window: Span,
    ) -> Result<(), EventError> {
        let fleet = &mut self.fleet;
        let clock = ReportClock::new(fleet);
        let demand = fleet.members.demand_mut(proxy, operation)?;
        let requests = fleet
            .report_check
            .check_demand_report((proxy, operation), requests, window, demand, clock)
            .inspect_err(|_| demand.skip_until(clock.now()))?;
        fleet.timing.on_report(fleet.now, window);
        let time_constant = fleet.timing.cycle() * DEMAND_TIME_CONSTANT_CYCLES;
        demand.add(
            requests,
            window,
            time_constant,
            fleet.now,
            fleet.timing.previous_at(),
        );
        Ok(())
    }

    /// Runs a decision round if one is due and appends the resulting actions to `out`. To be called once after all
    /// events of the time `now`.
    pub fn decide(&mut self, now: Moment, out: &mut Vec<Action>) {
        self.fleet.now = now;
        for id in self.fleet.nodes.warmed_up(self.fleet.config.warm_up, now) {
            self.apply_lifecycle(id, LifecycleInput::WarmedUp);
        }
        if !self.begin_round(out) {
            return;
        }
        self.update_estimates();
        divide_large_zones(&mut self.fleet);
        let targets = target_shares(&self.fleet);
        self.publish(&targets, out);
        self.send_gossip(out);
    }

    /// Publishes urgent changes, and an update step towards `targets` when pacing allows one.
    fn publish(&mut self, targets: &TableWeights, out: &mut Vec<Action>) {
        let now = self.fleet.now;
        let mut draft = published_weights(&self.fleet);
        apply_urgent_changes(&self.fleet, targets, &mut draft);

        let may_update = self.pacing.may_update(&self.fleet);
        let may_publish_paced = may_update
            && self
                .pacing
                .may_publish_paced(&self.fleet, self.is_step_requested);
        let should_step = may_publish_paced && self.pacing.may_step(&self.fleet);
        if should_step {
            let cut = plan_step(&self.fleet, targets, &mut draft);
            self.admission.set_cut(cut);
            self.is_step_requested = false;
        }
        limit_warming_entries(&self.fleet, &mut draft);

        // Lowered weights of warming nodes are sent together with other changes. When each was sent on its own,
        // they used up the whole message cap and no update step was sent for 12 s.
        let mut changed = Default::default();
        if may_update {
            let is_publication_due =
                std::mem::take(&mut self.is_publication_requested) || may_publish_paced;
            let may_adjust_weights =
                is_publication_due && self.pacing.may_adjust_weights(&self.fleet);
            changed = publish_weights(
                &mut self.fleet,
                &self.pacing,
                &draft,
                may_adjust_weights,
                out,
            );
        }
        if may_publish_paced {
            self.pacing.on_paced_publication(now);
            if self
                .pacing
                .take_admission_due(self.fleet.timing.period(), now)
            {
                self.admission.update(&self.fleet);
                publish_admission(&mut self.fleet, &self.admission, &mut changed, out);
            }
        }
        if !changed.is_empty() {
            self.pacing.on_update(now);
        }
        let bindings = bind_joined_proxies(&mut self.fleet, &self.pacing, &changed, out);
        send_marker(
            &mut self.fleet,
            &mut self.pacing,
            &changed,
            &bindings,
            should_step,
            out,
        );
    }

    /// Whether a decision round is due, by its timer or because urgent work is pending. Sets the next timer if the
    /// current one is due.
    fn begin_round(&mut self, out: &mut Vec<Action>) -> bool {
        let (now, period) = (self.fleet.now, self.fleet.timing.period());
        if self.rounds.last_timer == 0 {
            // After a restart, the first endpoint list is a cached list that may be stale.
            out.push(Action::RequestEndpointList);
        }
        if now >= self.rounds.next_round_at {
            let after = (period * ROUND_INTERVAL_PERIODS).max(self.fleet.config.tick);
            self.rounds.next_round_at = now + after;
            self.rounds.last_timer += 1;
            out.push(Action::SetTimer {
                after,
                timer: TimerId(self.rounds.last_timer),
            });
        } else {
            let is_too_early =
                now - self.rounds.last_round_at < period * MIN_ROUND_INTERVAL_PERIODS;
            if is_too_early || !self.has_urgent_work() {
                return false;
            }
        }
        self.rounds.last_round_at = now;
        true
    }

    fn has_urgent_work(&self) -> bool {
        !self.fleet.members.unbound().is_empty()
            || (self.is_publication_requested && self.pacing.may_update(&self.fleet))
    }

    fn update_estimates(&mut self) {
        self.pacing.remove_expired(self.fleet.now);
        self.fleet.remove_departed();
        self.fleet.update_report_check();
        self.fleet.update_kind_estimates();
        self.fleet.learn_capacity(self.admission.is_overloaded());
        self.fleet.update_kind_estimates();
        if self.fleet.detect_outliers(&mut self.random) {
            self.is_step_requested = true;
        }
    }

    /// Sends gossip to the other controllers when it is due: the demand of the joined proxies and the rate that each
    /// node serves for them.
    fn send_gossip(&mut self, out: &mut Vec<Action>) {
        if self
            .fleet
            .gossip
            .take_due(&self.fleet.config, self.fleet.now)
        {
            let messages = self.fleet.local_view().messages().into_iter();
            out.extend(messages.map(|payload| Action::SendGossip {
                peer: None,
                payload,
            }));
        }
    }
}
