//! One decision round: what was reported goes to the balancer, its actions are applied to the published tables.

use super::ControllerCore;
use crate::weight_solver::SolverOutcome;
use crate::{Effect, LogEvent};
use std::collections::BTreeSet;
use wheelspread::ids::{MarkerId, ProxyId};
use wheelspread::time::Moment;
use wheelspread::{Action, EndpointListKind, Event};

/// A marker that the balancer sends.
pub(super) struct MarkerRequest {
    pub(super) marker: MarkerId,
    /// To every joined proxy, not only to those whose tables change.
    pub(super) to_all: bool,
}

/// What a round leaves to be published.
#[derive(Default)]
pub(super) struct RoundOutcome {
    /// Proxies that were bound to tables.
    pub(super) bound: BTreeSet<ProxyId>,
    pub(super) markers: Vec<MarkerRequest>,
}

impl ControllerCore {
    /// Runs a decision round if one is due, and appends what is to be done to `out`.
    pub fn settle(&mut self, now: Moment, out: &mut Vec<Effect>) {
        if let Some(event) = self.endpoints.resolve_doubt(now, &self.plan) {
            self.accept_endpoint_list(now, &event);
            self.schedule.request_round();
        }
        let acknowledgement_at = self.acknowledgements.wake_at();
        if self.schedule.is_round_due(now, acknowledgement_at) {
            let (period, tick) = (self.plan.load_reports.period, self.plan.controllers.tick);
            self.schedule.start_round(now, period, tick);
            self.run_round(now);
        }
        self.prune_unclaimed(now);
        for proxy in self.transports.take_resumed(now) {
            self.offer(now, proxy, false);
        }
        self.deliver(now);
        out.append(&mut self.effects);
    }

    /// When [`ControllerCore::settle`] should be called again though nothing was observed.
    pub fn wake_at(&self, now: Moment) -> Moment {
        let causes = [
            self.acknowledgements.wake_at(),
            self.unclaimed.prune_at(),
            self.endpoints.doubt_deadline(&self.plan),
            self.transports.wake_at(),
        ];
        let round_at = self
            .schedule
            .wake_at(now, self.plan.load_reports.period, causes);
        let delivery_at = self.queue.wake_at(now);
        delivery_at.map_or(round_at, |at| round_at.min(at))
    }

    fn run_round(&mut self, now: Moment) {
        while let Some(timer) = self.schedule.take_expired_timer(now) {
            self.handle_event(now, &Event::TimerFired { timer });
        }
        if self
            .schedule
            .start_period_if_due(now, self.plan.load_reports.period)
        {
            self.run_period(now);
        }
        for event in self.acknowledgements.take_acknowledged(now) {
            self.handle_event(now, &event);
        }
        self.finish_migrations(now);
        let mut actions = Vec::new();
        self.balancer.decide(now, &mut actions);
        let mut outcome = RoundOutcome::default();
        for action in actions {
            self.apply(now, action, &mut outcome);
        }
        self.publish(now, outcome);
    }

    /// What is done once in a report period.
    fn run_period(&mut self, now: Moment) {
        let events = self.aggregator.take_events(&self.members);
        for event in &events {
            self.handle_event(now, event);
        }
        self.solve_weights(now, &events);
        self.correct_rollback(now);
        for proxy in self.members.forget(now, &self.plan) {
            self.log(LogEvent::ProxyForgotten { proxy });
        }
        self.release_forgotten_proxies();
        self.retire_versions(now);
    }

    /// Where the deployment has weights solved: now and then other weights are listed, by what was reported.
    fn solve_weights(&mut self, now: Moment, events: &[Event]) {
        let Some(settings) = &self.plan.solver else {
            return;
        };
        self.solver
            .record_reports(events, &self.plan, settings, &self.members, &self.endpoints);
        match self
            .solver
            .solve_if_due(now, &self.plan, settings, &self.endpoints)
        {
            Some(SolverOutcome::Changed(entries)) => {
                self.log(LogEvent::WeightsSolved {
                    nodes: entries.len(),
                });
                let kind = EndpointListKind::Changes;
                self.list_endpoints(now, Event::EndpointList { kind, entries });
            }
            Some(SolverOutcome::Failed(error)) => self.log(LogEvent::SolverFailed {
                reason: error.to_string(),
            }),
            None => {}
        }
    }

    /// Applies one action of the balancer.
    fn apply(&mut self, now: Moment, action: Action, outcome: &mut RoundOutcome) {
        match action {
            Action::SetWeight {
                table,
                node,
                weight,
            } => self.publication.set_weight(table, node, weight),
            Action::ClearTable { table } => self.publication.clear(table),
            Action::BindTable {
                proxy,
                table,
                operations,
            } => {
                self.publication.bind(proxy, table, &operations);
                outcome.bound.insert(proxy);
            }
            Action::SetAdmission {
                table,
                operations,
                limit,
                retry,
            } => self
                .publication
                .set_admission(table, &operations, limit, retry),
            Action::EjectNode { node, ejected } => self.publication.set_ejected(node, ejected),
            Action::SendMarker { marker, to_all } => {
                outcome.markers.push(MarkerRequest { marker, to_all });
            }
            Action::SetTimer { after, timer } => self.schedule.set_timer(now + after, timer),
            // The list is watched: what was last accepted is what there is.
            Action::RequestEndpointList => {
                let complete = self.endpoints.complete_event();
                self.list_endpoints(now, complete);
            }
            Action::Log { message: text } => self.log(LogEvent::BalancerMessage { text }),
            // The settings that this program gives don't allow these.
            Action::WatchEndpoints { .. }
            | Action::ProbeNode { .. }
            | Action::SendGossip { .. } => {}
        }
    }
}
