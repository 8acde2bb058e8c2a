//! Decision rounds: reports are passed to the balancer, and its actions are applied to the published tables.

use super::ControllerCore;
use crate::weight_solver::SolverOutcome;
use crate::{Effect, LogEvent};
use std::collections::BTreeSet;
use wheelspread::ids::{MarkerId, ProxyId};
use wheelspread::time::Moment;
use wheelspread::{Action, EndpointListKind, Event};

/// A version marker that the balancer wants acknowledged.
pub(super) struct MarkerRequest {
    pub(super) marker: MarkerId,
    /// Whether every joined proxy is to acknowledge it, or only those whose tables change in this round.
    pub(super) to_all: bool,
}

/// The bindings and markers of a round, which publishing needs.
#[derive(Default)]
pub(super) struct RoundOutcome {
    /// Proxies that were bound to tables in this round.
    pub(super) bound: BTreeSet<ProxyId>,
    pub(super) markers: Vec<MarkerRequest>,
}

impl ControllerCore {
    /// Runs a decision round if one is due, and appends the effects to carry out to `out`.
    pub fn settle(&mut self, now: Moment, out: &mut Vec<Effect>) {
        if let Some(event) = self.endpoints.resolve_doubt(now, &self.deployment) {
            self.accept_endpoint_list(now, &event);
            self.schedule.request_round();
        }
        let acknowledgement_at = self.acknowledgements.wake_at();
        if self.schedule.is_round_due(now, acknowledgement_at) {
            let (period, tick) = (
                self.deployment.load_reports.period,
                self.deployment.controllers.tick,
            );
            self.schedule.start_round(now, period, tick);
            self.run_round(now);
        }
        self.prune_recovered_tables(now);
        for proxy in self.transports.take_resumed(now) {
            self.enqueue_newest_tables(now, proxy, false);
        }
        self.deliver(now);
        out.append(&mut self.effects);
    }

    /// The time of the next [`ControllerCore::settle`] if nothing is observed before.
    pub fn wake_at(&self, now: Moment) -> Moment {
        let causes = [
            self.acknowledgements.wake_at(),
            self.recovered_tables.prune_at(),
            self.endpoints.doubt_deadline(&self.deployment),
            self.transports.wake_at(),
        ];
        let round_at = self
            .schedule
            .wake_at(now, self.deployment.load_reports.period, causes);
        let delivery_at = self.queue.wake_at(now);
        delivery_at.map_or(round_at, |at| round_at.min(at))
    }

    fn run_round(&mut self, now: Moment) {
        while let Some(timer) = self.schedule.take_expired_timer(now) {
            self.handle_event(now, &Event::TimerFired { timer });
        }
        if self
            .schedule
            .start_period_if_due(now, self.deployment.load_reports.period)
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
            self.apply_action(now, action, &mut outcome);
        }
        self.publish(now, outcome);
    }

    /// The tasks that run once per report period.
    fn run_period(&mut self, now: Moment) {
        let events = self.aggregator.take_events(&self.members);
        for event in &events {
            self.handle_event(now, event);
        }
        self.solve_weights(now, &events);
        self.correct_rollback(now);
        for proxy in self.members.forget(now, &self.deployment) {
            self.log(LogEvent::ProxyForgotten { proxy });
        }
        self.release_forgotten_proxies();
        self.retire_versions(now);
    }

    /// If the deployment uses the weight solver, passes reports to it and lists the weights that it computes.
    fn solve_weights(&mut self, now: Moment, events: &[Event]) {
        let Some(settings) = &self.deployment.solver else {
            return;
        };
        self.solver.record_reports(
            events,
            &self.deployment,
            settings,
            &self.members,
            &self.endpoints,
        );
        match self
            .solver
            .solve_if_due(now, &self.deployment, settings, &self.endpoints)
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
    fn apply_action(&mut self, now: Moment, action: Action, outcome: &mut RoundOutcome) {
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
            // New endpoint lists arrive as observations, so the last accepted list is the newest one.
            Action::RequestEndpointList => {
                let complete = self.endpoints.complete_event();
                self.list_endpoints(now, complete);
            }
            Action::Log { message: text } => self.log(LogEvent::BalancerMessage { text }),
            // The controller's settings disable these actions.
            Action::WatchEndpoints { .. }
            | Action::ProbeNode { .. }
            | Action::SendGossip { .. } => {}
        }
    }
}
