//! The course of each request, over the tables in force at the moment: a table that changes while a request is
//! active is the one that its next attempt goes by.
//!
//! `requests` holds the active requests, `transitions` is their state machine, `attempts` ends attempts and
//! selects nodes for new ones.

mod attempts;
mod requests;
mod transitions;

use crate::admission::Admission;
use crate::config::{CoreConfig, OperationRules, OperationTable};
use crate::ejection::{EjectionState, PassiveHealth};
use crate::load_accounting::{InFlightAttempts, LoadAccounting};
use crate::message::{Action, AttemptOutcome, Decision, RequestHandle};
use crate::retry::{Failure, RetryBudget};
use crate::selection::WeightedEntries;
use requests::{ActiveRequest, ActiveRequests, RequestState};
use std::collections::{BTreeMap, BTreeSet};
use transitions::RequestInput;
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread::RetryPolicy;
use wheelspread_controller_core::load_report::LoadReport;

/// An operation with the table in force.
#[derive(Clone, Debug)]
struct Operation {
    rules: OperationRules,
    entries: WeightedEntries,
    admission: Admission,
    retry_policy: RetryPolicy,
    per_attempt_timeout: Option<Span>,
    request_timeout: Option<Span>,
}

impl Operation {
    /// An operation without a table.
    fn new(rules: &OperationRules) -> Operation {
        Operation {
            rules: rules.clone(),
            entries: WeightedEntries::new([]),
            admission: Admission::default(),
            retry_policy: RetryPolicy::IfUnprocessed,
            per_attempt_timeout: None,
            request_timeout: None,
        }
    }

    fn apply(&mut self, now: Moment, table: &OperationTable) {
        self.entries = WeightedEntries::new(table.entries.iter().copied());
        self.admission
            .configure(now, table.dropped_of_million, table.rate_limit);
        self.retry_policy = table.retry_policy;
        self.per_attempt_timeout = table.per_attempt_timeout;
        self.request_timeout = table.request_timeout;
    }
}

/// What is known of a node that a table names or that has attempts in flight.
#[derive(Clone, Debug, Default)]
struct NodeState {
    health: PassiveHealth,
    in_flight: u32,
}

/// When an attempt is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptTimer {
    deadline: Moment,
    slot: u32,
}

/// When a node's ejection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EjectionTimer {
    ends_at: Moment,
    node: NodeId,
}

/// The decisions of one proxy.
pub struct ProxyCore {
    config: CoreConfig,
    random: Pcg,
    /// In the order of their ids.
    operations: Vec<Operation>,
    nodes: BTreeMap<NodeId, NodeState>,
    requests: ActiveRequests,
    attempt_timers: BTreeSet<AttemptTimer>,
    ejection_timers: BTreeSet<EjectionTimer>,
    retry_budget: RetryBudget,
    accounting: LoadAccounting,
    in_flight: InFlightAttempts,
}

impl ProxyCore {
    /// A core without tables: each request gets `NoNode`.
    pub fn new(now: Moment, seed: u64, config: CoreConfig) -> ProxyCore {
        let rules = &config.operations;
        let names = rules.iter().map(|rules| rules.name.clone()).collect();
        ProxyCore {
            random: Pcg::new(seed),
            operations: rules.iter().map(Operation::new).collect(),
            nodes: BTreeMap::new(),
            requests: ActiveRequests::default(),
            attempt_timers: BTreeSet::new(),
            ejection_timers: BTreeSet::new(),
            retry_budget: RetryBudget::new(config.retry_budget),
            accounting: LoadAccounting::new(now, names),
            in_flight: InFlightAttempts::default(),
            config,
        }
    }

    /// The id of an operation, by its name.
    pub fn operation_id(&self, name: &str) -> Option<OperationId> {
        let is_named = |operation: &Operation| operation.rules.name == name;
        let position = self.operations.iter().position(is_named)?;
        Some(OperationId(position as u8))
    }

    /// The nodes that some table names.
    pub fn published_nodes(&self) -> BTreeSet<NodeId> {
        self.operations
            .iter()
            .flat_map(|operation| operation.entries.nodes())
            .collect()
    }

    /// Whether a node gets attempts, by the proxy's own failures there.
    pub fn ejection_state(&self, node: NodeId) -> EjectionState {
        self.nodes
            .get(&node)
            .map_or(EjectionState::Available, |node| node.health.state())
    }

    /// The number of requests that wait for a response.
    pub fn active_requests(&self) -> usize {
        self.requests.len()
    }

    fn operation(&self, id: OperationId) -> &Operation {
        // Ids come from `operation_id`, and operations do not change.
        &self.operations[usize::from(id.0)]
    }

    // ---- tables ----

    /// Applies new tables, all at once. An operation that they do not name has no nodes any more. Active requests
    /// go on, but those of an operation that now rejects everything are rejected.
    pub fn apply_tables(
        &mut self,
        now: Moment,
        tables: &[(OperationId, OperationTable)],
    ) -> Vec<Decision> {
        let named: BTreeSet<OperationId> = tables.iter().map(|(id, _)| *id).collect();
        for (position, operation) in self.operations.iter_mut().enumerate() {
            if !named.contains(&OperationId(position as u8)) {
                operation.entries = WeightedEntries::new([]);
            }
        }
        for (id, table) in tables {
            if let Some(operation) = self.operations.get_mut(usize::from(id.0)) {
                operation.apply(now, table);
            }
        }
        self.forget_unpublished_nodes();
        self.shed_requests(now)
    }

    /// Forgets nodes that no table names and that have nothing in flight, their health too.
    fn forget_unpublished_nodes(&mut self) {
        let published = self.published_nodes();
        self.nodes
            .retain(|node, state| published.contains(node) || state.in_flight > 0);
        self.ejection_timers
            .retain(|timer| published.contains(&timer.node));
        for node in published {
            self.update_availability(node);
        }
    }

    /// Rejects active requests of operations that admit nothing.
    fn shed_requests(&mut self, now: Moment) -> Vec<Decision> {
        let is_shed = |request: &ActiveRequest| {
            let operation = self.operation(request.operation);
            request.state == RequestState::InFlight
                && !request.response_started
                && operation.admission.rejects_all()
        };
        let shed: Vec<u32> = self.requests.slots_where(is_shed);
        shed.into_iter()
            .map(|slot| self.advance(now, slot, RequestInput::Shed))
            .collect()
    }

    /// Makes a node available in all tables, or not, by its health and what it has in flight.
    fn update_availability(&mut self, node: NodeId) {
        let state = self.nodes.entry(node).or_default();
        let limit = self.config.max_in_flight_per_node;
        let has_capacity = limit == 0 || state.in_flight < limit;
        let is_available = state.health.is_available() && has_capacity;
        for operation in &mut self.operations {
            operation.entries.set_available(node, is_available);
        }
    }

    // ---- requests ----

    /// A request has arrived: it is sent to a node, or rejected.
    pub fn start_request(&mut self, now: Moment, operation: OperationId) -> Decision {
        let state = &mut self.operations[usize::from(operation.0)];
        let admitted = state.admission.try_admit(now, &mut self.random);
        let timeout = state
            .request_timeout
            .unwrap_or(state.rules.integration_timeout);
        let slot = self
            .requests
            .insert(ActiveRequest::new(now, operation, now + timeout));
        if let Err(rejected) = admitted {
            self.accounting.record_rejected(operation);
            let retry_after = rejected.retry_after;
            return self.advance(now, slot, RequestInput::Rejected { retry_after });
        }
        match self.select_node(operation, &[]) {
            Some(node) => {
                self.retry_budget.on_first_attempt();
                self.advance(now, slot, RequestInput::Admitted { node })
            }
            None => self.advance(now, slot, RequestInput::NoNode),
        }
    }

    /// An attempt ended, or its response can't be passed on; `number` tells which attempt.
    pub fn finish_attempt(
        &mut self,
        now: Moment,
        handle: RequestHandle,
        number: u32,
        outcome: AttemptOutcome,
    ) -> Decision {
        let ignored = Decision {
            request: handle,
            action: Action::Continue,
        };
        let Some((slot, request)) = self.requests.in_flight(handle) else {
            return ignored;
        };
        let Some(node) = request.node.filter(|_| request.attempts == number) else {
            return ignored;
        };
        match outcome {
            AttemptOutcome::Succeeded { loads } => {
                let latency = now - request.sent_at;
                self.accounting
                    .record_success(request.operation, node, latency, &loads);
                self.succeed_attempt(now, slot)
            }
            AttemptOutcome::Failed(failure) => self.fail_attempt(now, slot, failure, false),
            AttemptOutcome::FailedMidResponse(failure) => {
                request.response_started = true;
                self.fail_attempt(now, slot, failure, false)
            }
        }
    }

    /// The response of an attempt begins to go to the client: from here on it is this attempt or none, and it is
    /// waited for as long as the client waits.
    pub fn start_response(&mut self, handle: RequestHandle, number: u32) {
        let Some((slot, request)) = self.requests.in_flight(handle) else {
            return;
        };
        if request.attempts != number || request.node.is_none() {
            return;
        }
        request.response_started = true;
        self.attempt_timers.remove(&request.timer(slot));
        request.attempt_deadline = request.deadline;
        self.attempt_timers.insert(request.timer(slot));
    }

    /// The client is gone.
    pub fn cancel_request(&mut self, now: Moment, handle: RequestHandle) -> Decision {
        let Some((slot, _)) = self.requests.in_flight(handle) else {
            return Decision {
                request: handle,
                action: Action::Continue,
            };
        };
        self.cancel_attempt(slot);
        self.advance(now, slot, RequestInput::ClientGone)
    }

    // ---- time ----

    /// Ends what is due by now: ejections, and attempts that took too long.
    pub fn expire_timers(&mut self, now: Moment) -> Vec<Decision> {
        while let Some(timer) = self.ejection_timers.first().copied() {
            if timer.ends_at > now {
                break;
            }
            self.ejection_timers.remove(&timer);
            if let Some(state) = self.nodes.get_mut(&timer.node) {
                state.health.end_ejection_if_due(now);
                self.update_availability(timer.node);
            }
        }
        let mut decisions = Vec::new();
        while let Some(timer) = self.attempt_timers.first().copied() {
            if timer.deadline > now {
                break;
            }
            self.attempt_timers.remove(&timer);
            if self.requests.get(timer.slot).state == RequestState::InFlight {
                decisions.push(self.fail_attempt(now, timer.slot, Failure::TimedOut, true));
            }
        }
        decisions
    }

    /// When timers have to be expired next.
    pub fn next_timer(&self) -> Option<Moment> {
        let attempt = self.attempt_timers.first().map(|timer| timer.deadline);
        let ejection = self.ejection_timers.first().map(|timer| timer.ends_at);
        attempt.into_iter().chain(ejection).min()
    }

    /// The load report since the last one.
    pub fn take_load_report(&mut self, now: Moment) -> Option<LoadReport> {
        self.accounting.take_report(now, &self.in_flight)
    }
}

#[cfg(test)]
mod tests;
