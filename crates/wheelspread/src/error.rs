//! What can be wrong with the balancer's settings and events.

use crate::ids::{NodeId, ProxyId};
use crate::setting_value::SettingValue;
use thiserror::Error;

/// The settings do not allow the balancer to start or to be reconfigured.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// A setting that is needed is not there.
    #[error("setting {name} is missing")]
    Missing {
        /// The setting.
        name: String,
    },
    /// A setting has a value of another type.
    #[error("setting {name} should be a {expected}, it is {found:?}")]
    WrongType {
        /// The setting.
        name: String,
        /// The type it should have.
        expected: &'static str,
        /// The value that was found.
        found: SettingValue,
    },
    /// The zones, or the operations, differ from those that the balancer was started with.
    #[error("zones and operations stay what they are while this runs")]
    TopologyChanged,
}

/// An event that cannot be handled. It changes no estimate.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EventError {
    /// A node's load report whose figures contradict each other.
    #[error("load report of {attempts} attempts, {failures} failed, over {window_seconds} s")]
    InvalidLoadReport {
        /// Reported attempts.
        attempts: f64,
        /// Reported failures.
        failures: f64,
        /// Time that the report covers, in seconds.
        window_seconds: f64,
    },
    /// A proxy's demand report with an impossible figure.
    #[error("demand report of {requests} requests over {window_seconds} s")]
    InvalidDemandReport {
        /// Reported requests.
        requests: f64,
        /// Time that the report covers, in seconds.
        window_seconds: f64,
    },
    /// A load report for a node that is in no endpoint list.
    #[error("load report for unknown node {0:?}")]
    UnknownNode(NodeId),
    /// A demand report from a proxy that never joined.
    #[error("demand report from unknown proxy {0:?}")]
    UnknownProxy(ProxyId),
    /// A proxy left that never joined.
    #[error("{0:?} left but never joined")]
    NeverJoined(ProxyId),
    /// Gossip whose length fits no message.
    #[error("unreadable gossip of {length} bytes")]
    UnreadableGossip {
        /// Its length in bytes.
        length: usize,
    },
}
