//! The state machine of a drain. Every new order begins in `Accepted`, except one that renews an active drain (see
//! `DrainRegistry::submit`).

use serde::{Deserialize, Serialize};

/// The state of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// The order is accepted, but not yet persisted.
    #[serde(rename = "wanted")]
    Accepted,
    /// The order is persisted, and tables without the node are being published to the proxies.
    #[serde(rename = "telling")]
    Propagating,
    /// No joined proxy has a table with the node, or the grace period is over.
    InForce,
    /// The drain is in force, and load reports show that no attempt was sent to the node since.
    #[serde(rename = "quiet")]
    Drained,
    /// The drain was withdrawn, and the node's status in the endpoint list applies again.
    Withdrawn,
}

/// An event that may change the state of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// The order was persisted.
    Persisted,
    /// No joined proxy has a table with the node.
    NotInTables,
    /// The grace period is over.
    GraceOver,
    /// At least one proxy has reported since the drain came into force, and no report shows an attempt at the node.
    NoTraffic,
    /// A load report shows an attempt at the node since the drain came into force.
    TrafficSeen,
    /// The controller restarted.
    Restarted,
}

impl DrainState {
    /// The spelling of the state in the operators' API, the state file and the log.
    pub fn as_str(self) -> &'static str {
        match self {
            DrainState::Accepted => "wanted",
            DrainState::Propagating => "telling",
            DrainState::InForce => "in-force",
            DrainState::Drained => "quiet",
            DrainState::Withdrawn => "withdrawn",
        }
    }

    /// The state after an event; `None` if the event is ignored in this state.
    pub fn on_event(self, event: DrainEvent) -> Option<DrainState> {
        match self {
            DrainState::Accepted => match event {
                DrainEvent::Persisted => Some(DrainState::Propagating),
                _ => None,
            },
            DrainState::Propagating => match event {
                DrainEvent::NotInTables | DrainEvent::GraceOver => Some(DrainState::InForce),
                DrainEvent::Restarted => Some(DrainState::Propagating),
                _ => None,
            },
            // After a restart, evidence has to be collected again, because proxies may have tables of an earlier run.
            DrainState::InForce => match event {
                DrainEvent::NoTraffic => Some(DrainState::Drained),
                DrainEvent::Restarted => Some(DrainState::Propagating),
                _ => None,
            },
            DrainState::Drained => match event {
                DrainEvent::TrafficSeen => Some(DrainState::InForce),
                DrainEvent::Restarted => Some(DrainState::Propagating),
                _ => None,
            },
            DrainState::Withdrawn => None,
        }
    }
}
