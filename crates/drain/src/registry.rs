//! The drains that a controller knows. Only the newest order for each node takes effect, so controllers that receive
//! orders late or in different sequences converge to the same one.

use crate::order::{DrainAction, DrainError, DrainOrder, FailedCheck, OrderId};
use crate::state::{DrainEvent, DrainState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::time::{Moment, Span};

/// The maximum count of nodes with an order.
const MAX_ORDERS: usize = 10_000;
/// The time for which withdrawn orders are kept, in grace periods, so that an older order that arrives late is
/// recognized as superseded.
const WITHDRAWN_RETENTION_GRACE_PERIODS: f64 = 600.0;

/// The evidence of whether proxies still send attempts to a drained node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The count of joined proxies whose tables still have the node or are unknown.
    #[serde(rename = "named_by")]
    pub proxies_with_node: usize,
    /// The count of joined proxies.
    #[serde(rename = "gateways")]
    pub proxies: usize,
    /// The count of attempts at the node that were reported since the drain came into force.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// The count of proxies that have reported since the drain came into force.
    #[serde(rename = "heard")]
    pub reporting_proxies: usize,
}

/// The newest order for a node, with its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// The order.
    pub order: DrainOrder,
    /// The state of the order.
    pub state: DrainState,
    /// The latest evidence; all counts are 0 until some is recorded.
    #[serde(default)]
    pub evidence: Evidence,
    #[serde(skip)]
    entered_state_at: Moment,
    /// The start of the grace period: the time from which tables without the node are published.
    #[serde(skip)]
    propagating_since: Option<Moment>,
}

impl Drain {
    /// The drain of an order that was accepted at `now`.
    fn accepted(now: Moment, order: DrainOrder) -> Drain {
        Drain {
            order,
            state: DrainState::Accepted,
            evidence: Evidence::default(),
            entered_state_at: now,
            propagating_since: None,
        }
    }

    /// Whether the drain excludes the node from tables.
    pub fn is_active(&self) -> bool {
        self.order.action == DrainAction::Drain && self.state != DrainState::Accepted
    }

    /// Enters the state that follows once the order is persisted.
    fn on_persisted(&mut self, now: Moment) {
        self.state = match self.order.action {
            DrainAction::Drain => DrainState::Propagating,
            DrainAction::Undrain => DrainState::Withdrawn,
        };
        self.entered_state_at = now;
        self.propagating_since = Some(now);
    }

    /// The event that follows from the evidence; `None` if the state does not change.
    fn event_from_evidence(
        &self,
        now: Moment,
        grace: Span,
        evidence: Evidence,
    ) -> Option<DrainEvent> {
        let is_grace_period_over = self
            .propagating_since
            .is_some_and(|since| now - since >= grace);
        let is_not_in_tables = evidence.proxies_with_node == 0 && evidence.proxies > 0;
        let has_no_traffic = evidence.attempts == 0 && evidence.reporting_proxies > 0;
        match self.state {
            DrainState::Propagating if is_not_in_tables => Some(DrainEvent::NotInTables),
            DrainState::Propagating if is_grace_period_over => Some(DrainEvent::GraceOver),
            DrainState::InForce if has_no_traffic => Some(DrainEvent::NoTraffic),
            DrainState::Drained if evidence.attempts > 0 => Some(DrainEvent::TrafficSeen),
            _ => None,
        }
    }
}

/// A side effect that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainEffect {
    /// Persist the drain of a node, or remove it from the persisted state.
    Persist {
        /// The node.
        node: String,
        /// The drain to be persisted; `None` to remove it.
        drain: Option<Box<Drain>>,
    },
    /// Log that a drain entered a state.
    StateChanged {
        /// The node.
        node: String,
        /// The state that the drain is in now.
        state: DrainState,
        /// The id of the drain's order.
        order: OrderId,
    },
}

/// The newest order for each node.
#[derive(Clone, Debug, Default)]
pub struct DrainRegistry {
    drains: BTreeMap<String, Drain>,
    effects: Vec<DrainEffect>,
}

impl DrainRegistry {
    /// Restores the persisted drains of an earlier run. Grace periods begin again at `now`, and earlier evidence is
    /// discarded.
    pub fn recover(now: Moment, persisted: impl Iterator<Item = Drain>) -> DrainRegistry {
        let mut registry = DrainRegistry::default();
        for mut drain in persisted {
            // The controller was stopped after the order was persisted, but before that was reported to the registry.
            if drain.state == DrainState::Accepted {
                drain.on_persisted(now);
            }
            drain.entered_state_at = now;
            drain.propagating_since = Some(now);
            if let Some(next) = drain.state.on_event(DrainEvent::Restarted) {
                drain.state = next;
            }
            drain.evidence = Evidence::default();
            registry.drains.insert(drain.order.node.clone(), drain);
        }
        registry
    }

    /// All drains, by node.
    pub fn drains(&self) -> impl Iterator<Item = &Drain> {
        self.drains.values()
    }

    /// The drain of a node.
    pub fn drain(&self, node: &str) -> Option<&Drain> {
        self.drains.get(node)
    }

    /// The nodes that are excluded from tables.
    pub fn drained_nodes(&self) -> impl Iterator<Item = &str> {
        self.drains
            .values()
            .filter(|drain| drain.is_active())
            .map(|drain| drain.order.node.as_str())
    }

    /// Accepts an order, or refuses it. An order that withdraws an unknown drain is kept too, because an older order to
    /// drain the node may still arrive. A drain has to override all of `failed_checks`; a withdrawal is accepted
    /// whatever they are.
    pub fn submit(
        &mut self,
        now: Moment,
        order: DrainOrder,
        failed_checks: &[FailedCheck],
    ) -> Result<&Drain, DrainError> {
        let node = order.node.clone();
        if self.is_known(&order)? {
            // A known order is the order of the node's drain, so the node has one.
            return Ok(&self.drains[&node]);
        }
        let failed_checks = order.not_overridden(failed_checks);
        if order.action == DrainAction::Drain && !failed_checks.is_empty() {
            return Err(DrainError::Checks(failed_checks));
        }
        let active = self.drains.get(&node).filter(|known| known.is_active());
        let drain = match active {
            // A newer order to drain a node that is drained already replaces the order and keeps the state.
            Some(known) if order.action == DrainAction::Drain => Drain {
                order,
                ..known.clone()
            },
            _ => Drain::accepted(now, order),
        };
        self.effects.push(DrainEffect::Persist {
            node: node.clone(),
            drain: Some(Box::new(drain.clone())),
        });
        self.push_state_changed(&drain);
        Ok(self.drains.entry(node).insert_entry(drain).into_mut())
    }

    /// Whether an order is already the newest order for its node. Fails if the order cannot become the newest.
    fn is_known(&self, order: &DrainOrder) -> Result<bool, DrainError> {
        let Some(known) = self.drains.get(&order.node) else {
            return match self.drains.len() < MAX_ORDERS {
                true => Ok(false),
                false => Err(DrainError::TooManyOrders(MAX_ORDERS)),
            };
        };
        if known.order.id == order.id {
            return match known.order == *order {
                true => Ok(true),
                false => Err(DrainError::ConflictingContent(order.id.0.clone())),
            };
        }
        if known.order.rank() > order.rank() {
            return Err(DrainError::Superseded {
                newer: known.order.id.0.clone(),
                by: known.order.by.clone(),
            });
        }
        Ok(false)
    }

    fn push_state_changed(&mut self, drain: &Drain) {
        self.effects.push(DrainEffect::StateChanged {
            node: drain.order.node.clone(),
            state: drain.state,
            order: drain.order.id.clone(),
        });
    }

    /// Reports that an order is persisted. Ignored if a newer order for the node was accepted meanwhile.
    pub fn on_persisted(&mut self, now: Moment, node: &str, id: &OrderId) {
        let drain = self.drains.get_mut(node);
        let Some(drain) = drain.filter(|drain| drain.order.id == *id) else {
            return;
        };
        if drain.state != DrainState::Accepted {
            return;
        }
        drain.on_persisted(now);
        let drain = drain.clone();
        self.push_state_changed(&drain);
    }

    /// Records the evidence for a drained node and changes the state of its drain accordingly. `evidence.attempts` is
    /// counted from the time at which the drain came into force.
    pub fn record_evidence(&mut self, now: Moment, node: &str, grace: Span, evidence: Evidence) {
        let drain = self.drains.get_mut(node);
        let Some(drain) = drain.filter(|drain| drain.is_active()) else {
            return;
        };
        let event = drain.event_from_evidence(now, grace, evidence);
        drain.evidence = evidence;
        if let Some(next) = event.and_then(|event| drain.state.on_event(event)) {
            drain.state = next;
            drain.entered_state_at = now;
            let drain = drain.clone();
            self.push_state_changed(&drain);
        }
    }

    /// Removes drains that were withdrawn at least `WITHDRAWN_RETENTION_GRACE_PERIODS` ago.
    pub fn expire_withdrawn(&mut self, now: Moment, grace: Span) {
        let retention = grace * WITHDRAWN_RETENTION_GRACE_PERIODS;
        let is_expired = |drain: &Drain| {
            drain.state == DrainState::Withdrawn && now - drain.entered_state_at >= retention
        };
        let expired: Vec<String> = self
            .drains
            .iter()
            .filter(|(_, drain)| is_expired(drain))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.drains.remove(&node);
            self.effects
                .push(DrainEffect::Persist { node, drain: None });
        }
    }

    /// The side effects since the last call, in order.
    pub fn take_effects(&mut self) -> Vec<DrainEffect> {
        std::mem::take(&mut self.effects)
    }
}
