//! The drains that a controller knows. Of several orders for one node the newest counts, so controllers that get them
//! in different sequences, or late, end with the same one.

use crate::order::{DrainAction, DrainError, DrainOrder, FailedCheck, OrderId};
use crate::state::{DrainEvent, DrainState};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::time::{Moment, Span};

/// How many nodes may have orders.
const MAX_ORDERS: usize = 10_000;
/// Withdrawn orders are remembered for this many grace periods, so that a late order is known to be overtaken.
const WITHDRAWN_RETENTION_GRACE_PERIODS: f64 = 600.0;

/// What shows that nothing is sent to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Joined proxies whose tables still have the node.
    #[serde(rename = "named_by")]
    pub proxies_with_node: usize,
    /// Joined proxies.
    #[serde(rename = "gateways")]
    pub proxies: usize,
    /// Attempts at the node that were reported since the order came into force.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Proxies that have reported since.
    #[serde(rename = "heard")]
    pub reporting_proxies: usize,
}

/// The newest order for a node, and how far it has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// The order.
    pub order: DrainOrder,
    /// How far it has come.
    pub state: DrainState,
    /// By what that is known.
    #[serde(default)]
    pub evidence: Evidence,
    #[serde(skip)]
    entered_state_at: Moment,
    /// When the proxies began to get tables without the node; the grace period begins then.
    #[serde(skip)]
    propagating_since: Option<Moment>,
}

impl Drain {
    /// An order that has just been accepted.
    fn accepted(now: Moment, order: DrainOrder) -> Drain {
        Drain {
            order,
            state: DrainState::Accepted,
            evidence: Evidence::default(),
            entered_state_at: now,
            propagating_since: None,
        }
    }

    /// Whether it keeps the node out of tables.
    pub fn is_active(&self) -> bool {
        self.order.action == DrainAction::Drain && self.state != DrainState::Accepted
    }

    /// The disk has the order.
    fn on_persisted(&mut self, now: Moment) {
        self.state = match self.order.action {
            DrainAction::Drain => DrainState::Propagating,
            DrainAction::Undrain => DrainState::Withdrawn,
        };
        self.entered_state_at = now;
        self.propagating_since = Some(now);
    }

    /// What the evidence shows of an active drain; `None`: nothing new.
    fn event_from_evidence(
        &self,
        now: Moment,
        grace: Span,
        evidence: Evidence,
    ) -> Option<DrainEvent> {
        let is_grace_period_over = self
            .propagating_since
            .is_some_and(|since| now - since >= grace);
        let is_removed_from_tables = evidence.proxies_with_node == 0 && evidence.proxies > 0;
        let has_no_traffic = evidence.attempts == 0 && evidence.reporting_proxies > 0;
        match self.state {
            DrainState::Propagating if is_removed_from_tables => {
                Some(DrainEvent::RemovedFromTables)
            }
            DrainState::Propagating if is_grace_period_over => Some(DrainEvent::GracePeriodOver),
            DrainState::InForce if has_no_traffic => Some(DrainEvent::NoTraffic),
            DrainState::Drained if evidence.attempts > 0 => Some(DrainEvent::TrafficSeen),
            _ => None,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainEffect {
    /// Persist the drain of a node; `None` removes it.
    Persist {
        /// The node.
        node: String,
        /// Its drain.
        drain: Option<Box<Drain>>,
    },
    /// Log that a drain entered a state.
    StateChanged {
        /// The node.
        node: String,
        /// The state.
        state: DrainState,
        /// The order.
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
    /// Takes up the drains of an earlier run.
    pub fn recover(now: Moment, persisted: impl Iterator<Item = Drain>) -> DrainRegistry {
        let mut registry = DrainRegistry::default();
        for mut drain in persisted {
            // An order that was read from the disk has been written.
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

    /// Nodes that are kept out of tables.
    pub fn drained_nodes(&self) -> impl Iterator<Item = &str> {
        self.drains
            .values()
            .filter(|drain| drain.is_active())
            .map(|drain| drain.order.node.as_str())
    }

    /// Takes an order in. One that takes back a drain which never came is remembered too: the drain may be on its way
    /// and is older. `failed_checks`: what is against a drain; the order has to override all of it.
    pub fn submit(
        &mut self,
        now: Moment,
        order: DrainOrder,
        failed_checks: &[FailedCheck],
    ) -> Result<&Drain, DrainError> {
        let node = order.node.clone();
        if self.is_known(&order)? {
            // Known means that the node has a drain.
            return Ok(&self.drains[&node]);
        }
        let failed_checks = order.not_overridden(failed_checks);
        if order.action == DrainAction::Drain && !failed_checks.is_empty() {
            return Err(DrainError::Checks(failed_checks));
        }
        let active = self.drains.get(&node).filter(|known| known.is_active());
        let drain = match active {
            // A drain of a node that is drained already goes on in its state, under the newer order.
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

    /// Whether an order is the one that counts for its node already. Fails if it can't become that one.
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

    /// The disk has an order.
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

    /// Takes in what is known of a drained node. Attempts count from the moment at which the drain came into force.
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

    /// Removes orders that were withdrawn long ago.
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

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<DrainEffect> {
        std::mem::take(&mut self.effects)
    }
}
