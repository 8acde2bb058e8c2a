//! Observations: the inputs of [`ControllerCore::observe`](super::ControllerCore::observe).

use crate::deployment::Deployment;
use crate::endpoint_list::{EndpointSnapshot, SnapshotReadError};
use crate::load_report::LoadReport;
use crate::membership::{ProxyIdentity, StreamId};
use crate::node_overrides::NodeValues;
use crate::publication::{BundleId, Version};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;

/// A configuration to apply.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    /// Its version.
    pub version: u64,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// The configuration's values of single nodes.
    pub node_values: BTreeMap<NodeId, NodeValues>,
}

/// An event outside the core.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A new endpoint list was read, or reading it failed.
    EndpointList(Result<EndpointSnapshot, SnapshotReadError>),
    /// A proxy opened a stream of load reports.
    StreamOpened {
        /// The stream.
        stream: StreamId,
        /// Identity of the proxy.
        proxy_identity: ProxyIdentity,
    },
    /// A stream of load reports ended.
    StreamClosed {
        /// The stream.
        stream: StreamId,
    },
    /// A load report was received.
    LoadReport {
        /// The stream by which it was received.
        stream: StreamId,
        /// The report.
        report: LoadReport,
    },
    /// A proxy reported that it holds a version, or that it rejects one.
    StatusReported {
        /// The proxy's name.
        proxy: String,
        /// The version that it holds or rejects.
        version: Version,
        /// Why it rejects the version.
        rejection: Option<String>,
    },
    /// A version was written for a proxy, or the write failed.
    TablesWritten {
        /// The proxy's name.
        proxy: String,
        /// The version.
        version: Version,
        /// Whether the write succeeded.
        result: Result<(), TableWriteError>,
    },
    /// An operator changed the pacing of the update queue.
    PacingChanged {
        /// The new pacing.
        entries_per_second: f64,
    },
    /// A proxy opened a stream of tables.
    Subscribed {
        /// The stream.
        stream: StreamId,
        /// Identity of the proxy.
        proxy_identity: ProxyIdentity,
        /// The version that the proxy reports to hold.
        initial_version: Option<Version>,
    },
    /// A stream of tables ended.
    Unsubscribed {
        /// The stream.
        stream: StreamId,
    },
    /// Most proxies reject the newest version of a table: its ordinary updates are paused.
    UpdatesPaused {
        /// The table.
        bundle: BundleId,
        /// When the pause ends.
        until: Moment,
    },
    /// A request to roll a table back to an older version, made by an operator or because most proxies reject the
    /// newer versions.
    RollBack {
        /// Identifies the request in [`Effect::RollbackFinished`](super::Effect::RollbackFinished).
        request: u64,
        /// The table.
        bundle: BundleId,
        /// The version to roll back to.
        version: Version,
    },
    /// A request to end the rollback, after which the weights of the endpoint list are in force again.
    EndRollback {
        /// Identifies the request in [`Effect::RollbackFinished`](super::Effect::RollbackFinished).
        request: u64,
    },
    /// The complete set of nodes that are drained by request, regardless of their status in the endpoint list.
    DrainedNodes(BTreeSet<NodeId>),
    /// A configuration change is to be applied.
    ConfigUpdated(Box<ConfigUpdate>),
}

/// Why tables could not be written for a proxy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct TableWriteError {
    /// The table writer's error text.
    pub reason: String,
}

impl TableWriteError {
    /// Makes an error from the table writer's error.
    pub fn new(reason: impl ToString) -> TableWriteError {
        TableWriteError {
            reason: reason.to_string(),
        }
    }
}
