//! The course of each invocation, as a table of state, input, next state and effect, over the tables that
//! stand at the moment: a table that changes while an invocation is tried is the one its next try goes by.

use crate::admission::Admission;
use crate::ejection::{EjectionState, PassiveHealth};
use crate::load_accounting::LoadAccounting;
use crate::retry::{
    is_retry_allowed, is_retryable_after_any_failure, AttemptHistory, Failure, Processing,
    RetryBudget, RetrySafety,
};
use crate::selection::{SelectionPolicy, WeightedEntries};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, OperationId};
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};
use wheelspread::RetryPolicy;
use wheelspread_controller_core::load_report::LoadReport;

/// An invocation under way. Numbers are used again, the second part tells uses apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u32, pub u32);

/// What a proxy knows of an operation besides its tables.
#[derive(Clone, Debug)]
pub struct OperationRules {
    pub name: String,
    pub retry_safety: RetrySafety,
    /// What an invocation may take over all tries, where the tables don't say.
    pub integration_timeout: Span,
}

#[derive(Clone, Debug)]
pub struct CoreConfig {
    pub operations: Vec<OperationRules>,
    pub picking: SelectionPolicy,
    /// Failures in a row after which a node is shunned; 0: never.
    pub errors_until_avoided: u32,
    pub ejection_time: Span,
    /// Repeats, as a part of first tries; those that may come at once.
    pub repeats: (f64, f64),
    /// Invocations outstanding at one node; 0: no limit.
    pub max_in_flight_per_node: u32,
}

/// What tables order for one operation.
#[derive(Clone, Debug)]
pub struct OperationTable {
    pub lines: Vec<(NodeId, u32)>,
    pub dropped_of_million: u32,
    pub rate: Option<f64>,
    pub retry: RetryPolicy,
    pub per_try_timeout: Option<Span>,
    pub timeout: Option<Span>,
}

/// How a try ended.
#[derive(Clone, Debug)]
pub enum AttemptOutcome {
    /// Answered in full; with the loads the node told of.
    Succeeded {
        loads: Vec<(String, f64)>,
    },
    Failed(Failure),
    /// It failed when its answer had begun to go to the client: nothing can be made good.
    FailedMidResponse(Failure),
}

/// Send the invocation to a node, as its so-manyth try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptOrder {
    pub node: NodeId,
    pub number: u32,
    /// When the shell must let go of it; `ProxyCore` says so by itself, too.
    pub until: Moment,
}

/// What the client is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientResponse {
    /// What the node answered.
    Upstream,
    /// Turned away; it may come again after a while.
    RateLimited { retry_after: Span },
    /// There is no line to go by.
    NoNode,
    /// The last try failed, and no other is made.
    Failed(Failure),
    /// Nothing is told: the client is gone.
    ClientGone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Send(AttemptOrder),
    /// Give up the try that is under way, then send.
    AbandonAndSend(AttemptOrder),
    Respond(ClientResponse),
    /// Give up the try that is under way, then answer.
    AbandonAndRespond(ClientResponse),
    /// It is over already.
    Continue,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    pub request: RequestHandle,
    pub action: Action,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Arrived,
    Trying,
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Input {
    LetIn,
    TurnedAway,
    NoLine,
    Succeeded,
    /// The try failed by itself, and another one is allowed, or not.
    FailedRepeat,
    Failed,
    /// The try took too long.
    LateRepeat,
    Late,
    /// The level fell to nothing.
    Shut,
    ClientGone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Send,
    SendInstead,
    TurnAway,
    NoNode,
    Forward,
    GiveUp,
    GiveUpInstead,
    TurnAwayInstead,
    LetGo,
}

const COURSE: &[(State, Input, State, Effect)] = &[
    (State::Arrived, Input::LetIn, State::Trying, Effect::Send),
    (
        State::Arrived,
        Input::TurnedAway,
        State::Over,
        Effect::TurnAway,
    ),
    (State::Arrived, Input::NoLine, State::Over, Effect::NoNode),
    (
        State::Trying,
        Input::Succeeded,
        State::Over,
        Effect::Forward,
    ),
    (
        State::Trying,
        Input::FailedRepeat,
        State::Trying,
        Effect::Send,
    ),
    (State::Trying, Input::Failed, State::Over, Effect::GiveUp),
    (
        State::Trying,
        Input::LateRepeat,
        State::Trying,
        Effect::SendInstead,
    ),
    (
        State::Trying,
        Input::Late,
        State::Over,
        Effect::GiveUpInstead,
    ),
    (
        State::Trying,
        Input::Shut,
        State::Over,
        Effect::TurnAwayInstead,
    ),
    (State::Trying, Input::ClientGone, State::Over, Effect::LetGo),
];

#[derive(Clone, Debug)]
struct Invocation {
    use_number: u32,
    state: State,
    operation: OperationId,
    deadline: Moment,
    tries: u32,
    tried: Vec<NodeId>,
    node: Option<NodeId>,
    sent_at: Moment,
    until: Moment,
    processing: Processing,
    first_maybe_processed_at: Option<Moment>,
    answering: bool,
}

#[derive(Clone, Debug)]
struct Operation {
    rules: OperationRules,
    lines: WeightedEntries,
    admission: Admission,
    retry: RetryPolicy,
    per_try_timeout: Option<Span>,
    timeout: Option<Span>,
}

#[derive(Clone, Debug, Default)]
struct Node {
    shunning: PassiveHealth,
    outstanding: u32,
}

pub struct ProxyCore {
    plan: CoreConfig,
    chance: Pcg,
    operations: Vec<Operation>,
    nodes: BTreeMap<NodeId, Node>,
    invocations: Vec<Invocation>,
    free: Vec<u32>,
    timers: BTreeSet<(Moment, u32)>,
    shunned: BTreeSet<(Moment, NodeId)>,
    budget: RetryBudget,
    tally: LoadAccounting,
    open: BTreeMap<(OperationId, NodeId), u64>,
}

impl ProxyCore {
    pub fn new(now: Moment, seed: u64, plan: CoreConfig) -> ProxyCore {
        let operation = |rules: &OperationRules| Operation {
            rules: rules.clone(),
            lines: WeightedEntries::new([]),
            admission: Admission::default(),
            retry: RetryPolicy::IfUnprocessed,
            per_try_timeout: None,
            timeout: None,
        };
        let names = plan
            .operations
            .iter()
            .map(|rules| rules.name.clone())
            .collect();
        ProxyCore {
            chance: Pcg::new(seed),
            operations: plan.operations.iter().map(operation).collect(),
            nodes: BTreeMap::new(),
            invocations: Vec::new(),
            free: Vec::new(),
            timers: BTreeSet::new(),
            shunned: BTreeSet::new(),
            budget: RetryBudget::new(plan.repeats.0, plan.repeats.1),
            tally: LoadAccounting::new(now, names),
            open: BTreeMap::new(),
            plan,
        }
    }

    pub fn operation_id(&self, name: &str) -> Option<OperationId> {
        self.operations
            .iter()
            .position(|operation| operation.rules.name == name)
            .map(|at| OperationId(at as u8))
    }

    /// Nodes that some table names now.
    pub fn published_nodes(&self) -> BTreeSet<NodeId> {
        self.operations
            .iter()
            .flat_map(|operation| operation.lines.nodes())
            .collect()
    }

    pub fn lines(&self, operation: OperationId) -> usize {
        self.operations
            .get(usize::from(operation.0))
            .map_or(0, |operation| operation.lines.len())
    }

    pub fn ejection_state(&self, node: NodeId) -> EjectionState {
        self.nodes
            .get(&node)
            .map_or(EjectionState::Available, |node| node.shunning.standing())
    }

    pub fn active_requests(&self) -> usize {
        self.invocations.len() - self.free.len()
    }

    /// New tables, all at once. Invocations under way go on; one whose operation is shut is answered.
    pub fn apply_tables(
        &mut self,
        now: Moment,
        orders: &[(OperationId, OperationTable)],
    ) -> Vec<Decision> {
        let named: BTreeSet<OperationId> = orders.iter().map(|(operation, _)| *operation).collect();
        for (place, operation) in self.operations.iter_mut().enumerate() {
            if !named.contains(&OperationId(place as u8)) {
                operation.lines = WeightedEntries::new([]);
            }
        }
        for (id, order) in orders {
            let Some(operation) = self.operations.get_mut(usize::from(id.0)) else {
                continue;
            };
            operation.lines = WeightedEntries::new(order.lines.iter().copied());
            operation
                .admission
                .order(now, order.dropped_of_million, order.rate);
            operation.retry = order.retry;
            (operation.per_try_timeout, operation.timeout) = (order.per_try_timeout, order.timeout);
        }
        let published = self.published_nodes();
        // A node that is published no more and has nothing outstanding is forgotten, its run too.
        self.nodes
            .retain(|node, known| published.contains(node) || known.outstanding > 0);
        self.shunned.retain(|(_, node)| published.contains(node));
        for node in published {
            self.nodes.entry(node).or_default();
            self.reopen(node);
        }
        let shut: Vec<u32> = (0..self.invocations.len() as u32)
            .filter(|at| {
                let invocation = &self.invocations[*at as usize];
                let operation = &self.operations[usize::from(invocation.operation.0)];
                invocation.state == State::Trying
                    && !invocation.answering
                    && operation.admission.shut()
            })
            .collect();
        shut.into_iter()
            .map(|at| self.turn(now, at, Input::Shut, None, Failure::Refused))
            .collect()
    }

    /// Opens or closes a node's lines in all operations, by what is known of it.
    fn reopen(&mut self, node: NodeId) {
        let known = self.nodes.entry(node).or_default();
        let most = self.plan.max_in_flight_per_node;
        let open = known.shunning.open() && (most == 0 || known.outstanding < most);
        for operation in &mut self.operations {
            operation.lines.set_open(node, open);
        }
    }

    // ---- what happens ----

    pub fn start_request(&mut self, now: Moment, operation: OperationId) -> Decision {
        let of = &mut self.operations[usize::from(operation.0)];
        let admitted = of.admission.ask(now, &mut self.chance);
        let timeout = of.timeout.unwrap_or(of.rules.integration_timeout);
        let fresh = Invocation {
            use_number: 0,
            state: State::Arrived,
            operation,
            deadline: now + timeout,
            tries: 0,
            tried: Vec::new(),
            node: None,
            sent_at: now,
            until: now,
            processing: Processing::NotProcessed,
            first_maybe_processed_at: None,
            answering: false,
        };
        let at = match self.free.pop() {
            Some(at) => {
                let use_number = self.invocations[at as usize].use_number.wrapping_add(1);
                self.invocations[at as usize] = Invocation {
                    use_number,
                    ..fresh
                };
                at
            }
            None => {
                self.invocations.push(fresh);
                self.invocations.len() as u32 - 1
            }
        };
        match admitted {
            Err(retry_after) => self.reject(now, at, retry_after),
            Ok(()) => match self.pick(operation, &[]) {
                Some(node) => {
                    self.budget.first_try();
                    self.turn(now, at, Input::LetIn, Some(node), Failure::Connect)
                }
                None => self.turn(now, at, Input::NoLine, None, Failure::Connect),
            },
        }
    }

    fn reject(&mut self, now: Moment, at: u32, retry_after: Span) -> Decision {
        self.tally
            .rate_limited(self.invocations[at as usize].operation);
        let mut decision = self.turn(now, at, Input::TurnedAway, None, Failure::Refused);
        decision.action = Action::Respond(ClientResponse::RateLimited { retry_after });
        decision
    }

    /// Which place an id still names.
    fn place(&self, id: RequestHandle) -> Option<u32> {
        let invocation = self.invocations.get(id.0 as usize)?;
        (invocation.use_number == id.1 && invocation.state == State::Trying).then_some(id.0)
    }

    /// A try ended, or its bytes can't be forwarded; `number` tells which.
    pub fn finish_attempt(
        &mut self,
        now: Moment,
        id: RequestHandle,
        number: u32,
        end: AttemptOutcome,
    ) -> Decision {
        let nothing = Decision {
            request: id,
            action: Action::Continue,
        };
        let Some(at) = self.place(id) else {
            return nothing;
        };
        let invocation = &self.invocations[at as usize];
        let (Some(node), operation) = (invocation.node, invocation.operation) else {
            return nothing;
        };
        if invocation.tries != number {
            return nothing;
        }
        match end {
            AttemptOutcome::Succeeded { loads } => {
                let latency = now - invocation.sent_at;
                self.tally.succeeded(operation, node, latency, &loads);
                self.close_try(now, at, Some(true));
                self.turn(now, at, Input::Succeeded, None, Failure::Connect)
            }
            AttemptOutcome::Failed(failure) => self.failed(now, at, failure, false),
            AttemptOutcome::FailedMidResponse(failure) => {
                self.invocations[at as usize].answering = true;
                self.failed(now, at, failure, false)
            }
        }
    }

    /// The answer of a try begins to go to the client: from here on it is this try or none, and it is
    /// waited for as long as the client waits.
    pub fn start_response(&mut self, id: RequestHandle, number: u32) {
        let Some(at) = self.place(id) else { return };
        let invocation = &mut self.invocations[at as usize];
        if invocation.tries == number && invocation.node.is_some() {
            self.timers.remove(&(invocation.until, at));
            (invocation.answering, invocation.until) = (true, invocation.deadline);
            self.timers.insert((invocation.until, at));
        }
    }

    pub fn cancel_request(&mut self, now: Moment, id: RequestHandle) -> Decision {
        let Some(at) = self.place(id) else {
            return Decision {
                request: id,
                action: Action::Continue,
            };
        };
        self.close_try(now, at, None);
        self.turn(now, at, Input::ClientGone, None, Failure::Unsent)
    }

    fn failed(&mut self, now: Moment, at: u32, failure: Failure, late: bool) -> Decision {
        let invocation = &mut self.invocations[at as usize];
        let (processing, operation) = (failure.processing(), invocation.operation);
        if processing == Processing::MaybeProcessed {
            invocation.processing = Processing::MaybeProcessed;
            invocation.first_maybe_processed_at = invocation
                .first_maybe_processed_at
                .or(Some(invocation.sent_at));
        }
        if let Some(node) = invocation.node {
            invocation.tried.push(node);
            self.tally.errored(operation, node);
        }
        self.close_try(now, at, Some(false));
        let invocation = &self.invocations[at as usize];
        let of = &self.operations[usize::from(operation.0)];
        let (tries, first_maybe_processed_at) =
            (invocation.tries, invocation.first_maybe_processed_at);
        let past = AttemptHistory {
            tries,
            processing: invocation.processing,
            first_maybe_processed_at,
        };
        let allowed = now < invocation.deadline
            && !invocation.answering
            && !of.admission.shut()
            && is_retry_allowed(
                of.retry,
                of.rules.retry_safety,
                past,
                processing,
                invocation.deadline,
            );
        let tried = invocation.tried.clone();
        // Another node, or none: the one that just failed is not asked again.
        let node = if allowed {
            self.pick(operation, &tried)
        } else {
            None
        };
        let node = node.filter(|_| self.budget.take());
        let input = match (node.is_some(), late) {
            (true, false) => Input::FailedRepeat,
            (true, true) => Input::LateRepeat,
            (false, false) => Input::Failed,
            (false, true) => Input::Late,
        };
        if node.is_some() {
            self.tally.repeated(operation);
        }
        self.turn(now, at, input, node, failure)
    }

    /// What is due by now: tries that took too long, nodes whose time is over.
    pub fn expire_timers(&mut self, now: Moment) -> Vec<Decision> {
        while let Some((_, node)) = self.shunned.first().copied().filter(|(at, _)| *at <= now) {
            self.shunned.pop_first();
            let span = self.plan.ejection_time;
            if let Some(known) = self.nodes.get_mut(&node) {
                known.shunning.pass(now, span);
                self.reopen(node);
            }
        }
        let mut decisions = Vec::new();
        while let Some((until, at)) = self
            .timers
            .first()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.timers.remove(&(until, at));
            if self.invocations[at as usize].state == State::Trying {
                decisions.push(self.failed(now, at, Failure::TimedOut, true));
            }
        }
        decisions
    }

    pub fn next_timer(&self) -> Option<Moment> {
        let timers = self.timers.first().map(|(at, _)| *at);
        timers
            .into_iter()
            .chain(self.shunned.first().map(|(at, _)| *at))
            .min()
    }

    pub fn take_load_report(&mut self, now: Moment) -> Option<LoadReport> {
        self.tally.report(now, &self.open)
    }

    // ---- how it goes on ----

    fn pick(&mut self, operation: OperationId, tried: &[NodeId]) -> Option<NodeId> {
        let ProxyCore {
            operations,
            nodes,
            chance,
            plan,
            ..
        } = self;
        let lines = &mut operations[usize::from(operation.0)].lines;
        let closed: Vec<NodeId> = tried
            .iter()
            .copied()
            .filter(|node| lines.set_open(*node, false))
            .collect();
        let outstanding = |node: NodeId| nodes.get(&node).map_or(0, |node| node.outstanding);
        let mut picked = lines.pick(plan.picking, chance, outstanding);
        if picked.is_none() && tried.is_empty() {
            // All are shunned or full: to shun one is only of use while another is better, so those that
            // are shunned are asked after all.
            let shunned: Vec<NodeId> = lines
                .nodes()
                .filter(|node| nodes.get(node).is_some_and(|node| !node.shunning.open()))
                .filter(|node| {
                    plan.max_in_flight_per_node == 0
                        || outstanding(*node) < plan.max_in_flight_per_node
                })
                .collect();
            let opened: Vec<NodeId> = shunned
                .into_iter()
                .filter(|node| lines.set_open(*node, true))
                .collect();
            picked = lines.pick(plan.picking, chance, outstanding);
            for node in opened {
                lines.set_open(node, false);
            }
        }
        for node in closed {
            lines.set_open(node, true);
        }
        picked
    }

    /// Takes a try off the books of its node; `None`: it told nothing of the node.
    fn close_try(&mut self, now: Moment, at: u32, success: Option<bool>) {
        let invocation = &mut self.invocations[at as usize];
        self.timers.remove(&(invocation.until, at));
        let Some(node) = invocation.node.take() else {
            return;
        };
        let key = (invocation.operation, node);
        if let Some(count) = self.open.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.open.remove(&key);
            }
        }
        let Some(known) = self.nodes.get_mut(&node) else {
            return;
        };
        known.outstanding = known.outstanding.saturating_sub(1);
        let (after, span) = (self.plan.errors_until_avoided, self.plan.ejection_time);
        match success {
            Some(success) => known.shunning.met(now, success, after, span),
            None => known.shunning.untold(),
        }
        if let Some(until) = known.shunning.until() {
            self.shunned.insert((until, node));
        }
        self.reopen(node);
    }

    fn turn(
        &mut self,
        now: Moment,
        at: u32,
        input: Input,
        node: Option<NodeId>,
        failure: Failure,
    ) -> Decision {
        let invocation = &self.invocations[at as usize];
        let id = RequestHandle(at, invocation.use_number);
        let Some(row) = COURSE
            .iter()
            .find(|row| (row.0, row.1) == (invocation.state, input))
        else {
            return Decision {
                request: id,
                action: Action::Continue,
            };
        };
        let (next, effect) = (row.2, row.3);
        if matches!(effect, Effect::TurnAwayInstead) {
            self.close_try(now, at, None);
        }
        self.invocations[at as usize].state = next;
        if next == State::Over {
            self.free.push(at);
        }
        let retry_after = Span::from_seconds(1.0);
        let step = match (effect, node) {
            (Effect::Send, Some(node)) => Action::Send(self.send(now, at, node)),
            (Effect::SendInstead, Some(node)) => Action::AbandonAndSend(self.send(now, at, node)),
            (Effect::TurnAway, _) => Action::Respond(ClientResponse::RateLimited { retry_after }),
            (Effect::TurnAwayInstead, _) => {
                Action::AbandonAndRespond(ClientResponse::RateLimited { retry_after })
            }
            (Effect::NoNode, _) => Action::Respond(ClientResponse::NoNode),
            (Effect::Forward, _) => Action::Respond(ClientResponse::Upstream),
            (Effect::GiveUp, _) => Action::Respond(ClientResponse::Failed(failure)),
            (Effect::GiveUpInstead, _) => {
                Action::AbandonAndRespond(ClientResponse::Failed(failure))
            }
            (Effect::LetGo, _) => Action::AbandonAndRespond(ClientResponse::ClientGone),
            (Effect::Send | Effect::SendInstead, None) => Action::Continue,
        };
        Decision {
            request: id,
            action: step,
        }
    }

    fn send(&mut self, now: Moment, at: u32, node: NodeId) -> AttemptOrder {
        let invocation = &mut self.invocations[at as usize];
        invocation.tries += 1;
        (invocation.node, invocation.sent_at) = (Some(node), now);
        let of = &self.operations[usize::from(invocation.operation.0)];
        // One that may be followed is given up early; the last one is waited for as long as the client is.
        let early = of.per_try_timeout.filter(|_| {
            is_retryable_after_any_failure(of.retry, of.rules.retry_safety, invocation.tries)
        });
        invocation.until = early.map_or(invocation.deadline, |early| {
            (now + early).min(invocation.deadline)
        });
        let send = AttemptOrder {
            node,
            number: invocation.tries,
            until: invocation.until,
        };
        self.timers.insert((invocation.until, at));
        *self.open.entry((invocation.operation, node)).or_insert(0) += 1;
        let known = self.nodes.entry(node).or_default();
        known.outstanding += 1;
        known.shunning.sent();
        self.reopen(node);
        send
    }
}

#[cfg(test)]
mod tests;
