//! Ends attempts and selects nodes for new ones.

use super::transitions::RequestInput;
use super::{NodeState, ProxyCore};
use crate::message::Decision;
use crate::retry::{is_retry_allowed, AttemptHistory, Failure, Processing};
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::time::Moment;

impl ProxyCore {
    /// Handles the success of the attempt in flight.
    pub(super) fn succeed_attempt(&mut self, now: Moment, slot: u32) -> Decision {
        self.remove_attempt(slot, |state| state.health.on_success());
        self.advance(now, slot, RequestInput::Succeeded)
    }

    /// Ends the attempt in flight without evidence about the health of its node.
    pub(super) fn cancel_attempt(&mut self, slot: u32) {
        self.remove_attempt(slot, |state| state.health.on_attempt_cancelled());
    }

    /// Handles the failure of the attempt in flight: it is retried, or the request finishes.
    pub(super) fn fail_attempt(
        &mut self,
        now: Moment,
        slot: u32,
        failure: Failure,
        is_timeout: bool,
    ) -> Decision {
        self.record_failure(slot, failure);
        let policy = self.config.ejection;
        self.remove_attempt(slot, |state| state.health.on_failure(now, policy));
        let node = self.select_retry_node(now, slot, failure);
        if node.is_some() {
            let operation = self.requests.get(slot).operation;
            self.accounting.record_retry(operation);
        }
        let input = match (node, is_timeout) {
            (Some(node), false) => RequestInput::Retry { node },
            (Some(node), true) => RequestInput::RetryAfterTimeout { node },
            (None, false) => RequestInput::Failed { failure },
            (None, true) => RequestInput::FailedByTimeout { failure },
        };
        self.advance(now, slot, input)
    }

    fn record_failure(&mut self, slot: u32, failure: Failure) {
        let request = self.requests.get_mut(slot);
        if failure.processing() == Processing::MaybeProcessed {
            request.processing = Processing::MaybeProcessed;
            request
                .first_maybe_processed_at
                .get_or_insert(request.sent_at);
        }
        if let Some(node) = request.node {
            request.tried.push(node);
            self.accounting.record_failure(request.operation, node);
        }
    }

    /// Selects the node for a retry. Nodes whose attempts failed are excluded. Returns `None` if no retry is allowed or
    /// no other node is available.
    fn select_retry_node(&mut self, now: Moment, slot: u32, failure: Failure) -> Option<NodeId> {
        let request = self.requests.get(slot);
        let operation = self.operation(request.operation);
        let history = AttemptHistory {
            attempts: request.attempts,
            processing: request.processing,
            first_maybe_processed_at: request.first_maybe_processed_at,
        };
        let is_allowed = now < request.deadline
            && !request.response_started
            && !operation.admission.rejects_all()
            && is_retry_allowed(
                operation.retry_policy,
                operation.rules.retry_safety,
                history,
                failure.processing(),
                request.deadline,
            );
        if !is_allowed {
            return None;
        }
        let tried = request.tried.clone();
        let node = self.select_node(request.operation, &tried)?;
        self.retry_budget.try_take().then_some(node)
    }

    /// Removes the attempt in flight from all counts and timers. `update_health` applies its result to the health of
    /// the node.
    fn remove_attempt(&mut self, slot: u32, update_health: impl FnOnce(&mut NodeState)) {
        let request = self.requests.get_mut(slot);
        self.attempt_timers.remove(&request.timer(slot));
        let Some(node) = request.node.take() else {
            return;
        };
        self.in_flight.remove(request.operation, node);
        let Some(state) = self.nodes.get_mut(&node) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        update_health(state);
        if let Some(ends_at) = state.health.ejected_until() {
            self.ejection_timers
                .insert(super::EjectionTimer { ends_at, node });
        }
        self.update_availability(node);
    }

    /// Selects a node for an attempt, other than those in `tried`. For a first attempt, for which `tried` is empty,
    /// ejected nodes are used if no other node is available.
    pub(super) fn select_node(
        &mut self,
        operation: OperationId,
        tried: &[NodeId],
    ) -> Option<NodeId> {
        let entries = &mut self.operations[usize::from(operation.0)].entries;
        let excluded: Vec<NodeId> = tried
            .iter()
            .copied()
            .filter(|node| entries.set_available(*node, false))
            .collect();
        let mut selected = self.select_available(operation);
        if selected.is_none() && tried.is_empty() {
            selected = self.select_ejected(operation);
        }
        let entries = &mut self.operations[usize::from(operation.0)].entries;
        for node in excluded {
            entries.set_available(node, true);
        }
        selected
    }

    fn select_available(&mut self, operation: OperationId) -> Option<NodeId> {
        let nodes = &self.nodes;
        let in_flight = |node: NodeId| nodes.get(&node).map_or(0, |state| state.in_flight);
        self.operations[usize::from(operation.0)].entries.select(
            self.config.selection,
            &mut self.random,
            in_flight,
        )
    }

    /// Selects among the nodes that are ejected but below their limit of attempts in flight. Used when no node is
    /// available, because ejecting a node only helps while a better one remains.
    fn select_ejected(&mut self, operation: OperationId) -> Option<NodeId> {
        let limit = self.config.max_in_flight_per_node;
        let is_ejected_with_capacity = |node: &NodeId| {
            let state = self.nodes.get(node);
            state.is_some_and(|state| {
                !state.health.is_available() && (limit == 0 || state.in_flight < limit)
            })
        };
        let entries = &mut self.operations[usize::from(operation.0)].entries;
        let ejected: Vec<NodeId> = entries.nodes().filter(is_ejected_with_capacity).collect();
        let readmitted: Vec<NodeId> = ejected
            .into_iter()
            .filter(|node| entries.set_available(*node, true))
            .collect();
        let selected = self.select_available(operation);
        let entries = &mut self.operations[usize::from(operation.0)].entries;
        for node in readmitted {
            entries.set_available(node, false);
        }
        selected
    }
}
