//! What the controller core wants done: the outputs of [`ControllerCore::settle`](super::ControllerCore::settle).

use crate::membership::StreamId;
use crate::publication::{BundleId, TableSet, Version};
use crate::rollback::{RollbackError, RollbackResult};
use std::sync::Arc;
use wheelspread::ids::NodeId;
use wheelspread::time::Span;

/// Something to carry out outside the core.
#[derive(Clone, Debug)]
pub enum Effect {
    /// The stream is accepted.
    AcceptStream {
        /// The stream.
        stream: StreamId,
        /// How often it is to report.
        period: Span,
    },
    /// The stream is to be closed.
    CloseStream {
        /// The stream.
        stream: StreamId,
        /// The reason, which the proxy gets.
        reason: String,
    },
    /// Write the version if it is not on the disk yet, then point the proxy's files at it.
    WriteTables {
        /// The proxy's name.
        proxy: String,
        /// The tables.
        set: Arc<TableSet>,
    },
    /// Offer the version to a stream, in the place of what was not sent yet.
    SendTables {
        /// The stream.
        stream: StreamId,
        /// The tables.
        set: Arc<TableSet>,
    },
    /// A rollback, or its end, was carried out or refused.
    RollbackFinished {
        /// The request that asked for it.
        request: u64,
        /// What it leads to.
        result: Result<RollbackResult, RollbackError>,
    },
    /// The version is not in use any more: remove it from the disk.
    RetireVersion {
        /// The version.
        version: Version,
    },
    /// Operators should read this.
    Log(LogEvent),
}

/// What operators read in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// An endpoint list was accepted.
    EndpointListAccepted {
        /// The list's version.
        version: String,
        /// Nodes that are not draining.
        ready: usize,
        /// Entries that changed.
        changes: usize,
    },
    /// An endpoint list was rejected, or could not be read.
    EndpointListRejected {
        /// Why.
        reason: String,
    },
    /// No endpoint list can be read; the last one accepted before the restart is in force.
    EndpointListRestored {
        /// The list's version.
        version: String,
        /// How many nodes it lists.
        nodes: usize,
    },
    /// A proxy joined.
    ProxyJoined {
        /// Its name.
        proxy: String,
        /// Its zone.
        zone: String,
    },
    /// A proxy's stream ended.
    ProxyLeft {
        /// Its name.
        proxy: String,
    },
    /// A proxy reads its tables from a stream.
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
    /// Ordinary updates of a table wait, because most proxies reject it.
    UpdatesPaused {
        /// The table.
        bundle: BundleId,
        /// How long.
        wait: Span,
    },
    /// A table is rolled back.
    RolledBack {
        /// To this version.
        version: Version,
        /// Entries that are in force again, or will be.
        entries: usize,
        /// Nodes that don't come back, and why.
        excluded: Vec<(NodeId, &'static str)>,
    },
    /// The rollback ended.
    RollbackEnded {
        /// Nodes whose weight is again the listed one.
        nodes: usize,
    },
    /// A configuration is in force.
    ConfigApplied {
        /// Its version.
        configuration: u64,
        /// Nodes that it changes.
        nodes: usize,
    },
    /// A configuration says what can't change while the controller runs; the one before stays in force.
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
    /// A proxy has been away for so long that nothing is written for it any more.
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
        /// The configuration it was made under.
        configuration: u64,
        /// Proxies that are bound to it.
        proxies: usize,
        /// Entries of its largest operation.
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
        /// The backoff.
        retry_in: Span,
    },
    /// A proxy rejects a version.
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
    /// Load reports name nodes that are not listed.
    UnknownNodes {
        /// How many times.
        count: u64,
    },
    /// More entries wait in the update queue than the deployment allows.
    UpdateQueueFull {
        /// How many wait.
        entries: f64,
    },
    /// Nodes that left were taken out of the files of a proxy that has not come back after a restart.
    StaleEntriesPruned {
        /// The proxy's name.
        proxy: String,
        /// The nodes.
        nodes: Vec<String>,
    },
    /// Solved weights are listed.
    WeightsSolved {
        /// For how many nodes they changed.
        nodes: usize,
    },
    /// Weights could not be solved; the last ones stand.
    SolverFailed {
        /// Why.
        reason: String,
    },
    /// The balancer says something of its decisions.
    BalancerMessage {
        /// The message.
        text: String,
    },
    /// The balancer could not use an event.
    EventIgnored {
        /// Why.
        reason: String,
    },
}
