//! The balancer: takes in events and decides, once a moment, what a controller is to publish.
//!
//! The ordinary path is a target ([`crate::locality`]), an order of the way there ([`crate::update_plan`]) and its
//! pace ([`crate::pacing`]). What cannot wait for a step, such as drains, is published outside of it.
//! `docs/design.md` explains the design.

use crate::admission::Admission;
use crate::capacity::CapacitySnapshot;
use crate::config::Config;
use crate::error::{ConfigError, EventError};
use crate::event::{EndpointEntry, EndpointListKind, Event};
use crate::fleet::Fleet;
use crate::ids::{NodeId, OperationId, ProxyId, TimerId};
use crate::lifecycle::{LifecycleInput, Measurements};
use crate::locality::target_shares;
use crate::node_load::LoadReport;
use crate::pacing::Pacing;
use crate::pcg::Pcg;
use crate::publication::{
    apply_urgent_changes, bind_joined, publish_admission, publish_weights, published_weights,
    send_marker,
};
use crate::report_timing::REPORT_RETENTION;
use crate::settings::Settings;
use crate::shares::TableWeights;
use crate::slow_start::limit_warming_entries;
use crate::subset::divide_large_zones;
use crate::tables::empty_demand;
use crate::time::{Moment, Span};
use crate::update_plan::plan_step;
use crate::Action;

#[cfg(test)]
mod tests;

/// Report periods between two decision rounds, at their usual pace.
const ROUND_PERIODS: f64 = 0.25;
/// The same where joins or changes of the endpoint list bring a round forward.
const HURRIED_ROUND_PERIODS: f64 = 0.05;
/// Of the memory of averages: that of demand.
const DEMAND_MEMORY: f64 = REPORT_RETENTION.time_constant_cycles / 3.0;

/// All that one controller's balancer knows and has decided.
pub struct Balancer {
    fleet: Fleet,
    random: Pcg,
    admission: Admission,
    pacing: Pacing,
    rounds: Rounds,
    /// Whether the endpoint list or health has changed since the last step.
    is_step_wanted: bool,
    /// Whether the endpoint list has changed since the last publication.
    is_publication_wanted: bool,
}

/// When decisions are made.
struct Rounds {
    timers: u64,
    next_at: Moment,
    last_at: Moment,
}

impl Balancer {
    /// Starts without knowing anything of the fleet. `seed` feeds the balancer's random numbers.
    pub fn start(now: Moment, seed: u64, settings: Settings) -> Result<Balancer, ConfigError> {
        Ok(Balancer {
            fleet: Fleet::new(now, Config::read(&settings)?),
            random: Pcg::new(seed),
            admission: Admission::new(now),
            pacing: Pacing::default(),
            rounds: Rounds {
                timers: 0,
                next_at: now,
                last_at: Moment::default(),
            },
            is_step_wanted: true,
            is_publication_wanted: true,
        })
    }

    /// Other settings for the same zones and operations, from now on.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), ConfigError> {
        let config = Config::read(&settings)?;
        if !config.has_same_topology(&self.fleet.config) {
            return Err(ConfigError::TopologyChanged);
        }
        self.fleet.timing.set_period(config.report_period);
        self.fleet.config = config;
        self.want_update();
        Ok(())
    }

    /// Takes over what was known of nodes before a restart, for those in the endpoint list.
    pub fn restore_capacities(&mut self, snapshots: &[CapacitySnapshot]) {
        self.fleet
            .capacity
            .restore(&mut self.fleet.nodes, snapshots);
    }

    /// What is known of ready nodes, to be restored after a restart.
    pub fn capacity_snapshots(&self) -> impl Iterator<Item = CapacitySnapshot> + '_ {
        self.fleet.capacity.snapshots(&self.fleet.nodes)
    }

    /// Takes in an event; one that cannot be handled changes no estimate.
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
                let classes: Vec<_> = empty_demand(&self.fleet.tables).into_keys().collect();
                self.fleet
                    .gossip
                    .on_message(*from, payload, &classes, now)?;
            }
            // Timers only begin a round; sites with slices and health checks are not decided yet.
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
        self.want_update();
    }

    fn want_update(&mut self) {
        self.is_step_wanted = true;
        self.is_publication_wanted = true;
    }

    fn on_load_report(&mut self, event: &Event) -> Result<(), EventError> {
        let Some(report) = LoadReport::from_event(event) else {
            return Ok(());
        };
        let fleet = &mut self.fleet;
        let node = fleet
            .nodes
            .get_mut(&report.node)
            .ok_or(EventError::UnknownNode(report.node))?;
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
        fleet.timing.on_report(fleet.now, window);
        let memory = fleet.timing.cycle() * DEMAND_MEMORY;
        let demand = fleet.members.demand_mut(proxy, operation)?;
        demand.add(
            requests,
            window,
            memory,
            fleet.now,
            fleet.timing.previous_at(),
        );
        Ok(())
    }

    /// One decision round, to be called after the events of a moment: writes the actions that are due.
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

    /// Publishes what cannot wait, and a step towards the targets where the pace allows one.
    fn publish(&mut self, targets: &TableWeights, out: &mut Vec<Action>) {
        let now = self.fleet.now;
        let mut draft = published_weights(&self.fleet);
        apply_urgent_changes(&self.fleet, targets, &mut draft);

        let may_update = self.pacing.may_update(&self.fleet);
        let may_order = may_update && self.pacing.may_order(&self.fleet, self.is_step_wanted);
        let is_step = may_order && self.pacing.may_step(&self.fleet);
        if is_step {
            let cut = plan_step(&self.fleet, targets, &mut draft);
            self.admission.set_cut(cut);
            self.is_step_wanted = false;
        }
        limit_warming_entries(&self.fleet, &mut draft);

        // Each by itself, limits of warming nodes once took all the messages allowed and no step went out for 12 s.
        let mut changed = Default::default();
        if may_update {
            let is_wanted = std::mem::take(&mut self.is_publication_wanted) || may_order;
            let may_lower = is_wanted && self.pacing.may_limit_warming(&self.fleet);
            changed = publish_weights(&mut self.fleet, &self.pacing, &draft, may_lower, out);
        }
        if may_order {
            self.pacing.on_orders(now);
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
        let bindings = bind_joined(&mut self.fleet, &self.pacing, &changed, out);
        send_marker(
            &mut self.fleet,
            &mut self.pacing,
            &changed,
            &bindings,
            is_step,
            out,
        );
    }

    /// Whether a round is due, by its timer or because something cannot wait; sets the next timer.
    fn begin_round(&mut self, out: &mut Vec<Action>) -> bool {
        let (now, period) = (self.fleet.now, self.fleet.timing.period());
        if self.rounds.timers == 0 {
            // After a restart the first endpoint list is a stale one.
            out.push(Action::RequestEndpointList);
        }
        if now >= self.rounds.next_at {
            let after = (period * ROUND_PERIODS).max(self.fleet.config.tick);
            self.rounds.next_at = now + after;
            self.rounds.timers += 1;
            out.push(Action::SetTimer {
                after,
                timer: TimerId(self.rounds.timers),
            });
        } else {
            let is_too_early = now - self.rounds.last_at < period * HURRIED_ROUND_PERIODS;
            if is_too_early || !self.cannot_wait() {
                return false;
            }
        }
        self.rounds.last_at = now;
        true
    }

    fn cannot_wait(&self) -> bool {
        !self.fleet.members.unbound().is_empty()
            || (self.is_publication_wanted && self.pacing.may_update(&self.fleet))
    }

    fn update_estimates(&mut self) {
        self.pacing.forget_old(self.fleet.now);
        self.fleet.remove_departed();
        self.fleet.update_kind_means();
        self.fleet.learn_capacity(self.admission.is_strained());
        self.fleet.update_kind_means();
        if self.fleet.detect_outliers(&mut self.random) {
            self.is_step_wanted = true;
        }
    }

    /// Tells the other controllers what comes to the proxies here and what each node serves of it.
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
