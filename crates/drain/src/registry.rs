//! What a conductor knows of drains. Of several orders for one node the newest goes, by the time at which it
//! was given and then by its name, so that conductors which hear them in different orders, or late, end alike.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::time::{Moment, Span};

/// Given by who orders, so that an order that is told twice is one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId(pub String);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainAction {
    Drain,
    Undrain,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DrainOrder {
    pub id: OrderId,
    pub node: String,
    #[serde(rename = "word")]
    pub action: DrainAction,
    pub by: String,
    /// When it was given, in milliseconds since 1970 by the clock of who gave it.
    pub given_ms: u64,
    /// What it overrides, as the conductor named it; empty: nothing.
    #[serde(default)]
    pub overrides: Vec<String>,
}

impl DrainOrder {
    /// The newer of two goes; of two that were given at once, the later name, whoever hears them.
    pub fn rank(&self) -> (u64, &OrderId) {
        (self.given_ms, &self.id)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// Taken; the disk does not have it yet.
    #[serde(rename = "wanted")]
    Accepted,
    /// Kept over crashes, and the gateways are being told.
    #[serde(rename = "telling")]
    Propagating,
    /// No table that a joined gateway holds names the node, or the grace is over.
    InForce,
    /// And nothing was sent there since, by what gateways report.
    #[serde(rename = "quiet")]
    Drained,
    /// Taken back: the list has its word again.
    Withdrawn,
}

impl DrainState {
    /// The spelling in the operators' API, the state file and the log.
    pub fn as_str(self) -> &'static str {
        match self {
            DrainState::Accepted => "wanted",
            DrainState::Propagating => "telling",
            DrainState::InForce => "in-force",
            DrainState::Drained => "quiet",
            DrainState::Withdrawn => "withdrawn",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    Written,
    /// No joined gateway holds a table that names it.
    Unnamed,
    GraceOver,
    /// Gateways that report were all heard since, and none sent anything there.
    Silent,
    /// Something was sent there after all.
    Met,
    Restarted,
}

/// What is not in it does not happen. An order of the other word is a new one: it begins at `Wanted`.
pub const TABLE: &[(DrainState, DrainEvent, DrainState)] = &[
    (
        DrainState::Accepted,
        DrainEvent::Written,
        DrainState::Propagating,
    ),
    (
        DrainState::Propagating,
        DrainEvent::Unnamed,
        DrainState::InForce,
    ),
    (
        DrainState::Propagating,
        DrainEvent::GraceOver,
        DrainState::InForce,
    ),
    (DrainState::InForce, DrainEvent::Silent, DrainState::Drained),
    (DrainState::Drained, DrainEvent::Met, DrainState::InForce),
    // What stood in force has to be shown again: gateways may hold what an earlier run gave them.
    (
        DrainState::Propagating,
        DrainEvent::Restarted,
        DrainState::Propagating,
    ),
    (
        DrainState::InForce,
        DrainEvent::Restarted,
        DrainState::Propagating,
    ),
    (
        DrainState::Drained,
        DrainEvent::Restarted,
        DrainState::Propagating,
    ),
];

/// By what is said that nothing is sent to a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Joined gateways whose tables name it still.
    pub named_by: usize,
    #[serde(rename = "gateways")]
    pub proxies: usize,
    /// Tries there that were reported since the order came into force.
    #[serde(rename = "tries")]
    pub attempts: u64,
    /// Gateways that have reported since.
    #[serde(rename = "heard")]
    pub reporting_proxies: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    pub order: DrainOrder,
    pub state: DrainState,
    #[serde(default)]
    pub evidence: Evidence,
    #[serde(skip)]
    since: Moment,
    #[serde(skip)]
    told: Option<Moment>,
}

impl Drain {
    /// Whether the node is kept out by it.
    pub fn is_active(&self) -> bool {
        self.order.action == DrainAction::Drain && self.state != DrainState::Accepted
    }
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainError {
    #[error("order `{0}` was given before with other content")]
    OtherContent(String),
    #[error("`{newer}` by {by}, given later, goes before it")]
    Overtaken { newer: String, by: String },
    #[error("{}", .0.join("; "))]
    Checks(Vec<String>),
    #[error("{0} orders are kept, no more are taken")]
    Full(usize),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum DrainEffect {
    /// Keep it over crashes; `None` lets go of it.
    Write {
        node: String,
        drain: Option<Box<Drain>>,
    },
    StateChanged {
        node: String,
        state: DrainState,
        order: OrderId,
    },
}

/// So many nodes may have orders.
const MOST: usize = 10_000;
/// Withdrawn orders are remembered for so many times the grace, so that a late one is known as overtaken.
const REMEMBERED: f64 = 600.0;

#[derive(Clone, Debug, Default)]
pub struct DrainRegistry {
    drains: BTreeMap<String, Drain>,
    effects: Vec<DrainEffect>,
}

impl DrainRegistry {
    /// What an earlier run kept.
    pub fn recover(now: Moment, kept: impl Iterator<Item = Drain>) -> DrainRegistry {
        let mut registry = DrainRegistry::default();
        for mut drain in kept {
            // What was found written is written.
            if drain.state == DrainState::Accepted {
                drain.state = settled(drain.order.action);
            }
            (drain.since, drain.told) = (now, Some(now));
            drain.state = turn(drain.state, DrainEvent::Restarted).unwrap_or(drain.state);
            drain.evidence = Evidence::default();
            registry.drains.insert(drain.order.node.clone(), drain);
        }
        registry
    }

    pub fn drains(&self) -> impl Iterator<Item = &Drain> {
        self.drains.values()
    }

    pub fn drain(&self, node: &str) -> Option<&Drain> {
        self.drains.get(node)
    }

    /// Nodes that are kept out.
    pub fn drained_nodes(&self) -> impl Iterator<Item = &str> {
        self.drains
            .values()
            .filter(|drain| drain.is_active())
            .map(|drain| drain.order.node.as_str())
    }

    /// An order comes. One that takes back a drain which never came is kept too: the drain may be on its way,
    /// and was given before. `against`: what speaks against it; a drain goes against no more than it names.
    pub fn submit(
        &mut self,
        now: Moment,
        order: DrainOrder,
        against: &[String],
    ) -> Result<&Drain, DrainError> {
        let node = order.node.clone();
        if let Some(known) = self.drains.get(&node) {
            if known.order.id == order.id {
                let same = known.order == order;
                return if same {
                    Ok(&self.drains[&node])
                } else {
                    Err(DrainError::OtherContent(order.id.0))
                };
            }
            if known.order.rank() > order.rank() {
                let (newer, by) = (known.order.id.0.clone(), known.order.by.clone());
                return Err(DrainError::Overtaken { newer, by });
            }
        } else if self.drains.len() >= MOST {
            return Err(DrainError::Full(MOST));
        }
        let left: Vec<String> = against
            .iter()
            .filter(|text| !overridden(&order.overrides, text))
            .cloned()
            .collect();
        if order.action == DrainAction::Drain && !left.is_empty() {
            return Err(DrainError::Checks(left));
        }
        // A drain on a drain goes on where that is; its order is the one that is told.
        let before = self
            .drains
            .get(&node)
            .filter(|known| known.is_active() && order.action == DrainAction::Drain);
        let drain = match before {
            Some(known) => Drain {
                order,
                ..known.clone()
            },
            None => {
                let evidence = Evidence::default();
                Drain {
                    order,
                    state: DrainState::Accepted,
                    evidence,
                    since: now,
                    told: None,
                }
            }
        };
        let keep = Box::new(drain.clone());
        self.effects.push(DrainEffect::Write {
            node: node.clone(),
            drain: Some(keep),
        });
        self.turned(&drain);
        self.drains.insert(node.clone(), drain);
        Ok(&self.drains[&node])
    }

    fn turned(&mut self, drain: &Drain) {
        let (node, order) = (drain.order.node.clone(), drain.order.id.clone());
        self.effects.push(DrainEffect::StateChanged {
            node,
            state: drain.state,
            order,
        });
    }

    /// The disk has the order.
    pub fn written(&mut self, now: Moment, node: &str, id: &OrderId) {
        let Some(drain) = self
            .drains
            .get_mut(node)
            .filter(|drain| drain.order.id == *id)
        else {
            return;
        };
        if drain.state != DrainState::Accepted {
            return;
        }
        drain.state = settled(drain.order.action);
        (drain.since, drain.told) = (now, Some(now));
        let drain = drain.clone();
        self.turned(&drain);
    }

    /// What is known of a node that is kept out, after the moment from which tries there count.
    pub fn record_evidence(&mut self, now: Moment, node: &str, grace: Span, evidence: Evidence) {
        let Some(drain) = self.drains.get_mut(node).filter(|drain| drain.is_active()) else {
            return;
        };
        let over = drain.told.is_some_and(|told| now - told >= grace);
        let input = match drain.state {
            DrainState::Propagating if evidence.named_by == 0 && evidence.proxies > 0 => {
                DrainEvent::Unnamed
            }
            DrainState::Propagating if over => DrainEvent::GraceOver,
            DrainState::InForce if evidence.attempts == 0 && evidence.reporting_proxies > 0 => {
                DrainEvent::Silent
            }
            DrainState::Drained if evidence.attempts > 0 => DrainEvent::Met,
            _ => {
                drain.evidence = evidence;
                return;
            }
        };
        drain.evidence = evidence;
        if let Some(next) = turn(drain.state, input) {
            (drain.state, drain.since) = (next, now);
            let drain = drain.clone();
            self.turned(&drain);
        }
    }

    /// Lets go of orders that were taken back long ago.
    pub fn expire_withdrawn(&mut self, now: Moment, grace: Span) {
        let long = grace * REMEMBERED;
        let old = |drain: &Drain| drain.state == DrainState::Withdrawn && now - drain.since >= long;
        let gone: Vec<String> = self
            .drains
            .iter()
            .filter(|(_, drain)| old(drain))
            .map(|(node, _)| node.clone())
            .collect();
        for node in gone {
            self.drains.remove(&node);
            self.effects.push(DrainEffect::Write { node, drain: None });
        }
    }

    pub fn take_effects(&mut self) -> Vec<DrainEffect> {
        std::mem::take(&mut self.effects)
    }
}

fn settled(word: DrainAction) -> DrainState {
    match word {
        DrainAction::Drain => DrainState::Propagating,
        DrainAction::Undrain => DrainState::Withdrawn,
    }
}

fn turn(state: DrainState, input: DrainEvent) -> Option<DrainState> {
    TABLE
        .iter()
        .find(|row| (row.0, row.1) == (state, input))
        .map(|row| row.2)
}

/// A check is overridden by its name, which is what comes before the colon.
fn overridden(overrides: &[String], text: &str) -> bool {
    let name = text.split(':').next().unwrap_or(text);
    overrides.iter().any(|known| known == name)
}
