//! How far a drain has come. An order with the other action is a new one: it begins at `Accepted`.

use serde::{Deserialize, Serialize};

/// The state of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrainState {
    /// Accepted; the disk does not have it yet.
    #[serde(rename = "wanted")]
    Accepted,
    /// On the disk; tables without the node are on their way to the proxies.
    #[serde(rename = "telling")]
    Propagating,
    /// No table of a joined proxy has the node, or the grace period is over.
    InForce,
    /// In force, and load reports show that no attempt was sent to the node since.
    #[serde(rename = "quiet")]
    Drained,
    /// Taken back: the endpoint list decides again.
    Withdrawn,
}

/// What moves a drain from one state to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainEvent {
    /// The disk has the order.
    Persisted,
    /// No joined proxy has a table with the node.
    RemovedFromTables,
    /// The grace period is over.
    GracePeriodOver,
    /// Every proxy that reports has reported since, and none sent an attempt there.
    NoTraffic,
    /// An attempt was sent there after all.
    TrafficSeen,
    /// The controller restarted.
    Restarted,
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

    /// The state after an event; `None`: the event changes nothing.
    pub fn on_event(self, event: DrainEvent) -> Option<DrainState> {
        match self {
            DrainState::Accepted => match event {
                DrainEvent::Persisted => Some(DrainState::Propagating),
                _ => None,
            },
            DrainState::Propagating => match event {
                DrainEvent::RemovedFromTables | DrainEvent::GracePeriodOver => {
                    Some(DrainState::InForce)
                }
                DrainEvent::Restarted => Some(DrainState::Propagating),
                _ => None,
            },
            // After a restart it has to be shown again: proxies may have tables of an earlier run.
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
