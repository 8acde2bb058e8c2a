//! Errors in the balancer's settings and events.

use crate::ids::{NodeId, ProxyId};
use crate::setting_value::SettingValue;
use thiserror::Error;

/// The settings do not allow the balancer to start or to be reconfigured.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ConfigError {
    /// A required setting is missing.
    #[error("setting {name} is missing")]
    Missing {
        /// The setting.
        name: String,
    },
    /// A setting has a value of the wrong type.
    #[error("setting {name} should be a {expected}, it is {found:?}")]
    WrongType {
        /// The setting.
        name: String,
        /// The type that the setting must have.
        expected: &'static str,
        /// The value that was found.
        found: SettingValue,
    },
    /// The zones, the operations, or which operations stay in their zone differ from the running configuration.
    #[error("zones and operations cannot be changed while the balancer runs")]
    TopologyChanged,
}

/// An event that cannot be handled. Such an event changes no estimate.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EventError {
    /// A node's load report with more failures than attempts, or with an invalid window.
    #[error(
        "load report of {attempts} attempts, {failures} failed, over {window_seconds} s is invalid: \
         failures must not exceed attempts, and the window must be above 0 s and below 3600 s"
    )]
    InvalidLoadReport {
        /// Reported attempts.
        attempts: f64,
        /// Reported failures.
        failures: f64,
        /// Length of time that the report covers, in seconds.
        window_seconds: f64,
    },
    /// A proxy's demand report with an invalid request count or window.
    #[error(
        "demand report of {requests} requests over {window_seconds} s is invalid: \
         requests must be at least 0, and the window must be above 0 s and below 3600 s"
    )]
    InvalidDemandReport {
        /// Reported requests.
        requests: f64,
        /// Length of time that the report covers, in seconds.
        window_seconds: f64,
    },
    /// A node's load report whose rate or window can't be true, or whose rate no other report has confirmed yet.
    #[error(
        "load report of {attempts_per_second} attempts/s at {node:?} over {window_seconds} s is not plausible: \
         {expected_per_second} attempts/s at most are expected"
    )]
    ImplausibleLoadReport {
        /// The node.
        node: NodeId,
        /// Reported attempts per second.
        attempts_per_second: f64,
        /// The highest rate that is believed without confirmation.
        expected_per_second: f64,
        /// Length of time that the report covers, in seconds.
        window_seconds: f64,
    },
    /// A proxy's demand report whose rate or window can't be true, or whose rate no other report has confirmed yet.
    #[error(
        "demand report of {requests_per_second} requests/s at {proxy:?} over {window_seconds} s is not plausible: \
         {expected_per_second} requests/s at most are expected"
    )]
    ImplausibleDemandReport {
        /// The proxy.
        proxy: ProxyId,
        /// Reported requests per second.
        requests_per_second: f64,
        /// The highest rate that is believed without confirmation.
        expected_per_second: f64,
        /// Length of time that the report covers, in seconds.
        window_seconds: f64,
    },
    /// A load report for a node that was in no endpoint list.
    #[error("load report for unknown node {0:?}")]
    UnknownNode(NodeId),
    /// A demand report from a proxy that never joined.
    #[error("demand report from unknown proxy {0:?}")]
    UnknownProxy(ProxyId),
    /// A proxy that never joined has left.
    #[error("{0:?} left but never joined")]
    NeverJoined(ProxyId),
    /// Gossip from a peer whose length does not match the message format.
    #[error("gossip of {length} bytes does not match the message format")]
    MalformedGossip {
        /// Length of the message in bytes.
        length: usize,
    },
}
