//! The lifecycle of each request under the tables currently in force. When a table changes while a request is
//! active, the new table applies to the request's next attempt.
//!
//! `requests` stores the active requests, `transitions` is their state machine, `attempts` ends attempts and
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

/// An operation and the contents of its table in force.
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
    /// Creates an operation without a table.
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

    /// Replaces the table. A token bucket keeps its tokens.
    fn apply(&mut self, now: Moment, table: &OperationTable) {
        self.entries = WeightedEntries::new(table.entries.iter().copied());
        self.admission
            .configure(now, table.dropped_of_million, table.rate_limit);
        self.retry_policy = table.retry_policy;
        self.per_attempt_timeout = table.per_attempt_timeout;
        self.request_timeout = table.request_timeout;
    }
}

/// State of a node that a table lists or that has attempts in flight.
#[derive(Clone, Debug, Default)]
struct NodeState {
    health: PassiveHealth,
    /// Number of attempts in flight at the node, over all operations.
    in_flight: u32,
}

/// Time-out of the attempt in flight of the request in `slot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptTimer {
    deadline: Moment,
    slot: u32,
}

/// End of a node's ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EjectionTimer {
    ends_at: Moment,
    node: NodeId,
}

/// The decision logic of one proxy.
pub struct ProxyCore {
    config: CoreConfig,
    random: Pcg,
    /// Ordered by operation id.
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
    /// Creates a core without tables. Until tables are applied, each request gets [`ClientResponse::NoNode`].
    ///
    /// [`ClientResponse::NoNode`]: crate::ClientResponse::NoNode
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

    /// The id of the operation with this name.
    pub fn operation_id(&self, name: &str) -> Option<OperationId> {
        let is_named = |operation: &Operation| operation.rules.name == name;
        let position = self.operations.iter().position(is_named)?;
        Some(OperationId(position as u8))
    }

    /// The nodes that at least one table lists.
    pub fn published_nodes(&self) -> BTreeSet<NodeId> {
        self.operations
            .iter()
            .flat_map(|operation| operation.entries.nodes())
            .collect()
    }

    /// The ejection state of a node, based on the proxy's own attempts; [`EjectionState::Available`] for an unknown
    /// node.
    pub fn ejection_state(&self, node: NodeId) -> EjectionState {
        self.nodes
            .get(&node)
            .map_or(EjectionState::Available, |node| node.health.state())
    }

    /// Number of requests that wait for a response.
    pub fn active_requests(&self) -> usize {
        self.requests.len()
    }

    fn operation(&self, id: OperationId) -> &Operation {
        // In range: ids come from `operation_id`, and the list of operations is constant.
        &self.operations[usize::from(id.0)]
    }

    // ---- tables ----

    /// Replaces all tables at once. An operation without a table in `tables` has no nodes from now on. Active requests
    /// continue, except that those of an operation that now admits nothing are rejected.
    pub fn apply_tables(
        &mut self,
        now: Moment,
        tables: &[(OperationId, OperationTable)],
    ) -> Vec<Decision> {
        let operations_with_table: BTreeSet<OperationId> =
            tables.iter().map(|(id, _)| *id).collect();
        for (position, operation) in self.operations.iter_mut().enumerate() {
            if !operations_with_table.contains(&OperationId(position as u8)) {
                operation.entries = WeightedEntries::new([]);
            }
        }
        for (id, table) in tables {
            if let Some(operation) = self.operations.get_mut(usize::from(id.0)) {
                operation.apply(now, table);
            }
        }
        self.remove_unpublished_nodes();
        self.shed_requests(now)
    }

    /// Removes the state, health included, of nodes that no table lists and that have no attempts in flight.
    fn remove_unpublished_nodes(&mut self) {
        let published = self.published_nodes();
        self.nodes
            .retain(|node, state| published.contains(node) || state.in_flight > 0);
        self.ejection_timers
            .retain(|timer| published.contains(&timer.node));
        for node in published {
            self.update_availability(node);
        }
    }

    /// Rejects the active requests of operations that admit nothing, unless their response has started.
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

    /// Sets the availability of a node's entries in all tables from its health and its attempts in flight.
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

    /// Handles a request that has arrived: it is sent to a node or rejected.
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

    /// Handles the end of attempt `number`. An attempt that is not in flight any more is ignored.
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

    /// Records that the response of attempt `number` starts to be sent to the client. The request is not retried after
    /// this, and the attempt's deadline becomes that of the request.
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

    /// Handles the disconnection of a client before its request finished.
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

    /// Ends the ejections that are over by `now`, and times out the attempts whose deadline has passed.
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

    /// When [`expire_timers`](Self::expire_timers) has to be called next; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Moment> {
        let attempt = self.attempt_timers.first().map(|timer| timer.deadline);
        let ejection = self.ejection_timers.first().map(|timer| timer.ends_at);
        attempt.into_iter().chain(ejection).min()
    }

    /// Returns the load report for the time since the last one; see [`LoadAccounting::take_report`].
    pub fn take_load_report(&mut self, now: Moment) -> Option<LoadReport> {
        self.accounting.take_report(now, &self.in_flight)
    }
}

#[cfg(test)]
mod tests;
