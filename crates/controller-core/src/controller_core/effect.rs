//! Effects: the outputs of [`ControllerCore::settle`](super::ControllerCore::settle).

use crate::membership::StreamId;
use crate::publication::{BundleId, TableSet, Version};
use crate::rollback::{RollbackError, RollbackResult};
use std::sync::Arc;
use wheelspread::ids::NodeId;
use wheelspread::time::Span;

/// An action for the caller to carry out outside the core.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Accept a stream of load reports.
    AcceptStream {
        /// The stream.
        stream: StreamId,
        /// The report period of the stream's proxy.
        period: Span,
    },
    /// Close the stream.
    CloseStream {
        /// The stream.
        stream: StreamId,
        /// The close reason that is sent to the proxy.
        reason: String,
    },
    /// Write the version to the disk unless it is there already, then switch the proxy's files to it.
    WriteTables {
        /// The proxy's name.
        proxy: String,
        /// The tables.
        set: Arc<TableSet>,
    },
    /// Offer the version to a stream; it replaces an older version that was not sent yet.
    SendTables {
        /// The stream.
        stream: StreamId,
        /// The tables.
        set: Arc<TableSet>,
    },
    /// A request to roll back, or to end a rollback, was carried out or rejected.
    RollbackFinished {
        /// The request's identifier.
        request: u64,
        /// The outcome, or why the request was rejected.
        result: Result<RollbackResult, RollbackError>,
    },
    /// Remove a version that is no longer in use from the disk.
    RetireVersion {
        /// The version.
        version: Version,
    },
    /// Write a log event.
    Log(LogEvent),
}

/// An event for the operators' log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// An endpoint list was accepted.
    EndpointListAccepted {
        /// The list's version.
        version: String,
        /// Number of nodes that are not draining.
        ready: usize,
        /// Number of entries that changed.
        changes: usize,
    },
    /// An endpoint list was rejected, or could not be read.
    EndpointListRejected {
        /// Why.
        reason: String,
    },
    /// The endpoint list could not be read at the start; the last list accepted before the restart is in force.
    EndpointListRestored {
        /// The list's version.
        version: String,
        /// Number of nodes that the list contains.
        nodes: usize,
    },
    /// A proxy joined.
    ProxyJoined {
        /// Its name.
        proxy: String,
        /// Its zone.
        zone: String,
    },
    /// The stream by which a proxy was joined ended.
    ProxyLeft {
        /// Its name.
        proxy: String,
    },
    /// A proxy opened a stream of tables.
    ProxySubscribed {
        /// Its name.
        proxy: String,
        /// The stream.
        stream: StreamId,
    },
    /// A proxy's stream of tables ended.
    ProxyUnsubscribed {
        /// Its name.
        proxy: String,
    },
    /// Ordinary updates of a table are paused, because most proxies reject the newest version.
    UpdatesPaused {
        /// The table.
        bundle: BundleId,
        /// Length of the pause.
        wait: Span,
    },
    /// A rollback of a table started.
    RolledBack {
        /// The version to roll back to.
        version: Version,
        /// Number of entries that get their old weights back.
        entries: usize,
        /// Nodes of the old version that are excluded, and why.
        excluded: Vec<(NodeId, &'static str)>,
    },
    /// The rollback ended.
    RollbackEnded {
        /// Number of nodes whose weight is the listed one again.
        nodes: usize,
    },
    /// A configuration was applied.
    ConfigApplied {
        /// Its version.
        configuration: u64,
        /// Number of nodes that the configuration changes.
        nodes: usize,
    },
    /// The balancer rejected a configuration, as it would change settings that are fixed while the controller
    /// runs; the previous configuration stays in force.
    ConfigRejected {
        /// Its version.
        configuration: u64,
        /// Why.
        reason: String,
    },
    /// A stream was rejected.
    StreamRejected {
        /// The stream.
        stream: StreamId,
        /// Why.
        reason: String,
    },
    /// A proxy was disconnected for so long that it was forgotten and gets no more tables.
    ProxyForgotten {
        /// Its name.
        proxy: String,
    },
    /// A new version of a table was made.
    VersionPublished {
        /// The table.
        bundle: BundleId,
        /// The new version.
        version: Version,
        /// Version of the configuration that it was made under.
        configuration: u64,
        /// Number of proxies that are bound to the table.
        proxies: usize,
        /// Number of entries of the operation with the most.
        entries: usize,
    },
    /// A version was written for a proxy.
    TablesWritten {
        /// The proxy's name.
        proxy: String,
        /// The version.
        version: Version,
    },
    /// A version could not be written for a proxy.
    TableWriteFailed {
        /// The proxy's name.
        proxy: String,
        /// The version.
        version: Version,
        /// Why.
        reason: String,
        /// The backoff before the write is retried.
        retry_in: Span,
    },
    /// A proxy rejected a version.
    TablesRejected {
        /// The proxy's name.
        proxy: String,
        /// The version.
        version: Version,
        /// Why.
        reason: String,
    },
    /// A load report was rejected and its stream closed.
    LoadReportRejected {
        /// The proxy's name.
        proxy: String,
        /// Why.
        reason: String,
    },
    /// Load reports contain nodes that are not listed.
    UnknownNodes {
        /// How often reports have named an unlisted node.
        count: u64,
    },
    /// The update queue holds more entries than the deployment's limit.
    UpdateQueueFull {
        /// Number of queued entries, overhead included.
        entries: f64,
    },
    /// Nodes that are no longer ready were removed from the files of a proxy that has not reconnected since the
    /// restart.
    StaleEntriesPruned {
        /// The proxy's name.
        proxy: String,
        /// The removed nodes.
        nodes: Vec<String>,
    },
    /// Weights computed by the weight solver were listed to the balancer.
    WeightsSolved {
        /// Number of nodes whose weight changed.
        nodes: usize,
    },
    /// The weight solver failed; the last weights stay in force.
    SolverFailed {
        /// Why.
        reason: String,
    },
    /// A message of the balancer about its decisions.
    BalancerMessage {
        /// Text of the message.
        text: String,
    },
    /// The balancer rejected an event.
    EventIgnored {
        /// Why.
        reason: String,
    },
}
