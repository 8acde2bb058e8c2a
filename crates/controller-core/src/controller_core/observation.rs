//! What happened outside the core: the inputs of [`ControllerCore::observe`](super::ControllerCore::observe).

use crate::deployment::Deployment;
use crate::endpoint_list::{EndpointSnapshot, SnapshotReadError};
use crate::load_report::LoadReport;
use crate::membership::{ProxyIdentity, StreamId};
use crate::node_overrides::NodeValues;
use crate::publication::{BundleId, Version};
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::time::Moment;

/// A configuration that is to be in force from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigUpdate {
    /// Its version.
    pub version: u64,
    /// The deployment's settings.
    pub deployment: Deployment,
    /// What it says of single nodes.
    pub node_values: BTreeMap<NodeId, NodeValues>,
}

/// Something that happened outside the core.
#[derive(Clone, Debug)]
pub enum Observation {
    /// The endpoint list was swapped in, or could not be read.
    EndpointList(Result<EndpointSnapshot, SnapshotReadError>),
    /// A proxy opened a stream of load reports.
    StreamOpened {
        /// The stream.
        stream: StreamId,
        /// How the proxy introduced itself.
        identity: ProxyIdentity,
    },
    /// A stream of load reports ended.
    StreamClosed {
        /// The stream.
        stream: StreamId,
    },
    /// A load report came.
    LoadReport {
        /// The stream it came by.
        stream: StreamId,
        /// What the proxy reports.
        report: LoadReport,
    },
    /// A proxy published that it holds a version, or why it rejects one.
    StatusReported {
        /// The proxy's name.
        proxy: String,
        /// The version that it holds or rejects.
        version: Version,
        /// Why it rejects the version.
        rejection: Option<String>,
    },
    /// A version was written for a proxy, or that failed.
    TablesWritten {
        /// The proxy's name.
        proxy: String,
        /// The version.
        version: Version,
        /// Why it could not be written.
        result: Result<(), TableWriteError>,
    },
    /// The operators gave the update queue another pace.
    PacingChanged {
        /// The new pace.
        entries_per_second: f64,
    },
    /// A proxy opened a stream to read its tables from.
    Subscribed {
        /// The stream.
        stream: StreamId,
        /// How the proxy introduced itself.
        identity: ProxyIdentity,
        /// The version that it says it holds.
        initial_version: Option<Version>,
    },
    /// A stream that tables were read from ended.
    Unsubscribed {
        /// The stream.
        stream: StreamId,
    },
    /// Most proxies reject what a table became: its ordinary updates wait.
    UpdatesPaused {
        /// The table.
        bundle: BundleId,
        /// When the pause ends.
        until: Moment,
    },
    /// A table is to be rolled back to an older version, because an operator asked for it or most proxies reject
    /// the newer ones.
    RollBack {
        /// Identifies the request in [`Effect::RollbackFinished`](super::Effect::RollbackFinished).
        request: u64,
        /// The table.
        bundle: BundleId,
        /// The version to go back to.
        version: Version,
    },
    /// The rollback ends: the endpoint list's weights are in force again.
    EndRollback {
        /// Identifies the request in [`Effect::RollbackFinished`](super::Effect::RollbackFinished).
        request: u64,
    },
    /// The nodes that are drained by request, whatever the endpoint list says of them; all others are not any
    /// more.
    DrainedNodes(BTreeSet<NodeId>),
    /// A change of configuration comes into force.
    ConfigUpdated(Box<ConfigUpdate>),
}

/// Why tables could not be written for a proxy.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct TableWriteError {
    /// The writer's account of it.
    pub reason: String,
}

impl TableWriteError {
    /// Takes over the writer's account.
    pub fn new(reason: impl ToString) -> TableWriteError {
        TableWriteError {
            reason: reason.to_string(),
        }
    }
}
