//! Operators' orders to drain nodes. Connects the registry, which decides which order is in force for a node, with
//! the core, the state writer and the operators who wait for an answer.

use crate::state_writer::{StateWriteError, StateWriter};
use std::collections::{BTreeMap, BTreeSet};
use tracing::{info, warn};
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_config_rollout::pool_risk::{drain_objections, DrainObjection};
use wheelspread_config_rollout::values::parse_node;
use wheelspread_config_transaction::{Commit, PersistedState};
use wheelspread_controller_core::{ControllerCore, Observation};
use wheelspread_drain::registry::DrainEffect;
use wheelspread_drain::{
    describe_checks, Drain, DrainAction, DrainError, DrainOrder, DrainRegistry, DrainState,
    Evidence, FailedCheck, OrderId,
};

/// Prefix of the names of persisted facts that hold a node's drain.
const DRAIN_FACT_PREFIX: &str = "drain.";
/// Writes of drains are numbered above this value, those of configuration changes below.
pub const FIRST_WRITE_NUMBER: u64 = 1 << 62;
/// Time between two reviews of the drain evidence, in periods of load reports.
const REVIEW_INTERVAL_PERIODS: f64 = 0.25;
/// Time until a failed write is retried.
const WRITE_RETRY_DELAY: Span = Span::from_seconds(1.0);

/// Why an accepted order is not in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainAnswerError {
    /// The node's drain was removed from the registry before the order was persisted.
    #[error("the node's drain was removed before the order was persisted")]
    Withdrawn,
}

fn failed_check(objection: &DrainObjection) -> FailedCheck {
    FailedCheck {
        name: objection.check_name().to_string(),
        text: objection.to_string(),
    }
}

/// The result of an order, for the operator who waits for it.
pub struct DrainAnswer {
    /// The number of the operator's order.
    pub order: u64,
    /// The node's drain at the time of the answer.
    pub result: Result<Drain, DrainAnswerError>,
}

/// A drain that is not persisted yet.
struct PendingWrite {
    node: String,
    /// `None` if the write deletes the node's drain.
    drain_order: Option<OrderId>,
    commit: Commit,
    /// Numbers of the operators' orders that are answered once it is persisted.
    waiting_orders: Vec<u64>,
    /// When it is handed to the state writer; `None` while the state writer has it.
    write_at: Option<Moment>,
}

/// Drains ordered by operators, and the writes that persist them.
pub struct DrainOrders {
    registry: DrainRegistry,
    pending_writes: BTreeMap<u64, PendingWrite>,
    last_write_number: u64,
    review_at: Moment,
    value_lost_at_most: f64,
    answers: Vec<DrainAnswer>,
}

impl DrainOrders {
    /// Restores the drains that the previous run persisted.
    pub fn restore(
        now: Moment,
        persisted: &PersistedState,
        value_lost_at_most: f64,
    ) -> DrainOrders {
        let facts = persisted
            .facts
            .iter()
            .filter(|(name, _)| name.starts_with(DRAIN_FACT_PREFIX));
        let drains = facts.filter_map(|(name, text)| match serde_json::from_str::<Drain>(text) {
            Ok(drain) => Some(drain),
            Err(error) => {
                warn!(name, %error, "persisted drain unreadable, it is not in force");
                None
            }
        });
        DrainOrders {
            registry: DrainRegistry::recover(now, drains),
            pending_writes: BTreeMap::new(),
            last_write_number: FIRST_WRITE_NUMBER,
            review_at: now,
            value_lost_at_most,
            answers: Vec::new(),
        }
    }

    /// All known drains, including withdrawn ones that are still remembered.
    pub fn drains(&self) -> impl Iterator<Item = &Drain> {
        self.registry.drains()
    }

    /// The drain of a node.
    pub fn drain(&self, node: &str) -> Option<&Drain> {
        self.registry.drain(node)
    }

    /// Count of drains that keep a node out of tables.
    pub fn active_count(&self) -> usize {
        self.drains().filter(|drain| drain.is_active()).count()
    }

    /// Nodes that are kept out of all tables.
    pub fn drained_nodes(&self) -> BTreeSet<NodeId> {
        self.registry
            .drained_nodes()
            .filter_map(parse_node)
            .collect()
    }

    /// When [`DrainOrders::settle`] has work to do; `None` while no write is pending and no drain is active.
    pub fn wake_at(&self) -> Option<Moment> {
        let has_work = !self.pending_writes.is_empty() || self.drains().any(Drain::is_active);
        has_work.then_some(self.review_at)
    }

    /// Takes an operator's order. It is answered once it is persisted; an order that is already persisted is answered
    /// at once.
    pub fn submit(
        &mut self,
        now: Moment,
        operator_order: u64,
        order: DrainOrder,
        core: &ControllerCore,
    ) -> Result<(), DrainError> {
        let objections = self.check(now, &order, core)?;
        let node = order.node.clone();
        let drain = self.registry.submit(now, order, &objections)?.clone();
        self.carry_out_effects(now, Some(operator_order));
        if !self.has_waiting_order(operator_order) {
            self.answer_repeated_order(operator_order, &node, drain);
        }
        self.review_at = now;
        Ok(())
    }

    /// Runs the checks of an order and returns those that fail. Logs the checks that the order overrides.
    fn check(
        &self,
        now: Moment,
        order: &DrainOrder,
        core: &ControllerCore,
    ) -> Result<Vec<FailedCheck>, DrainError> {
        let id = parse_node(&order.node).ok_or_else(|| {
            DrainError::Checks(vec![FailedCheck {
                name: "node".to_string(),
                text: format!(
                    "node: `{}` should be an address as 127.0.0.1:9000",
                    order.node
                ),
            }])
        })?;
        let objections = match order.action {
            DrainAction::Drain => {
                let objections = drain_objections(now, id, self.value_lost_at_most, core);
                objections.iter().map(failed_check).collect()
            }
            DrainAction::Undrain => Vec::new(),
        };
        if !order.overrides.is_empty() {
            warn!(
                node = order.node,
                by = order.by,
                overrides = order.overrides.join(", "),
                against = describe_checks(&objections),
                "drain order overrides checks"
            );
        }
        Ok(objections)
    }

    fn has_waiting_order(&self, operator_order: u64) -> bool {
        self.pending_writes
            .values()
            .any(|write| write.waiting_orders.contains(&operator_order))
    }

    /// Answers an order that was sent again with the node's current drain, once that is persisted.
    fn answer_repeated_order(&mut self, operator_order: u64, node: &str, drain: Drain) {
        let pending = self
            .pending_writes
            .values_mut()
            .find(|write| write.node == node);
        match pending {
            Some(write) => write.waiting_orders.push(operator_order),
            None => self.answers.push(DrainAnswer {
                order: operator_order,
                result: Ok(drain),
            }),
        }
    }

    fn carry_out_effects(&mut self, now: Moment, operator_order: Option<u64>) {
        for effect in self.registry.take_effects() {
            match effect {
                DrainEffect::Persist { node, drain } => {
                    self.schedule_write(now, node, drain, operator_order);
                }
                DrainEffect::StateChanged { node, state, order } => {
                    let (state, order) = (state.as_str(), order.0);
                    info!(node, state, order, "drain state changed");
                }
            }
        }
    }

    fn schedule_write(
        &mut self,
        now: Moment,
        node: String,
        drain: Option<Box<Drain>>,
        operator_order: Option<u64>,
    ) {
        let drain_order = drain.as_ref().map(|drain| drain.order.id.clone());
        let text = drain.and_then(|drain| serde_json::to_string(&drain).ok());
        let facts = BTreeMap::from([(format!("{DRAIN_FACT_PREFIX}{node}"), text)]);
        let mut waiting_orders = Vec::from_iter(operator_order);
        // A retry of an older failed write must not overwrite a newer one.
        self.pending_writes.retain(|_, write| {
            let is_older = write.node == node;
            if is_older {
                waiting_orders.append(&mut write.waiting_orders);
            }
            !is_older
        });
        self.last_write_number += 1;
        let write = PendingWrite {
            node,
            drain_order,
            commit: Commit {
                facts,
                ..Commit::default()
            },
            waiting_orders,
            write_at: Some(now),
        };
        self.pending_writes.insert(self.last_write_number, write);
    }

    /// Handles the result of a write; a failed write is retried.
    pub fn on_write_completed(
        &mut self,
        now: Moment,
        number: u64,
        result: Result<(), StateWriteError>,
    ) {
        let Some(write) = self.pending_writes.get_mut(&number) else {
            return;
        };
        if result.is_err() {
            write.write_at = Some(now + WRITE_RETRY_DELAY);
            return;
        }
        let Some(write) = self.pending_writes.remove(&number) else {
            return;
        };
        if let Some(order) = &write.drain_order {
            self.registry.on_persisted(now, &write.node, order);
        }
        let drain = self.registry.drain(&write.node).cloned();
        let result = drain.ok_or(DrainAnswerError::Withdrawn);
        let answers = write.waiting_orders.into_iter().map(|order| DrainAnswer {
            order,
            result: result.clone(),
        });
        self.answers.extend(answers);
        self.review_at = now;
    }

    /// Hands due writes to the state writer, passes the drained nodes to the core and reviews the evidence of active
    /// drains; returns the answers that are due.
    pub fn settle(
        &mut self,
        now: Moment,
        core: &mut ControllerCore,
        state_writer: &mut StateWriter,
    ) -> Vec<DrainAnswer> {
        if now < self.review_at {
            return std::mem::take(&mut self.answers);
        }
        self.review_at = now + core.deployment().load_reports.period * REVIEW_INTERVAL_PERIODS;
        self.submit_writes(now, state_writer);
        self.carry_out_effects(now, None);
        let drained = self.drained_nodes();
        if drained != *core.drained_nodes() {
            core.observe(now, Observation::DrainedNodes(drained));
        }
        self.review_evidence(now, core);
        self.registry
            .expire_withdrawn(now, core.deployment().rules.drain_grace);
        self.carry_out_effects(now, None);
        std::mem::take(&mut self.answers)
    }

    fn submit_writes(&mut self, now: Moment, state_writer: &mut StateWriter) {
        let mut failed = Vec::new();
        for (number, write) in &mut self.pending_writes {
            if write.write_at.is_none_or(|at| now < at) {
                continue;
            }
            write.write_at = None;
            if let Err(error) = state_writer.write(*number, write.commit.clone()) {
                failed.push((*number, error));
            }
        }
        for (number, error) in failed {
            self.on_write_completed(now, number, Err(error));
        }
    }

    /// Records in the registry how many proxies still name each node with an active drain, and how many attempts at
    /// the node they report.
    fn review_evidence(&mut self, now: Moment, core: &mut ControllerCore) {
        let grace = core.deployment().rules.drain_grace;
        let active: Vec<(String, DrainState)> = self
            .drains()
            .filter(|drain| drain.is_active())
            .map(|drain| (drain.order.node.clone(), drain.state))
            .collect();
        for (name, before) in active {
            let Some(id) = parse_node(&name) else {
                continue;
            };
            let observed = core.drain_evidence(id);
            let evidence = Evidence {
                proxies_with_node: observed.naming_proxies,
                proxies: observed.joined_proxies,
                attempts: observed.attempts,
                reporting_proxies: observed.reporting_proxies,
            };
            self.registry.record_evidence(now, &name, grace, evidence);
            let after = self.registry.drain(&name).map(|drain| drain.state);
            if before == DrainState::Propagating && after == Some(DrainState::InForce) {
                core.watch_drained_node(now, id);
            }
        }
    }
}
