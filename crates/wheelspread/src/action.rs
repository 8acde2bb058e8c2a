//! Output of the balancer: what a controller is to publish, send or schedule.

use crate::ids::*;
use crate::time::Span;

/// When a proxy retries a request at another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Never.
    Never,
    /// Only if the failed attempt is proven not to have been processed.
    IfUnprocessed,
    /// Once, after any failure.
    OnceOnAnyFailure,
    /// Up to twice, after any failure.
    TwiceOnAnyFailure,
}

/// An order to the host of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sets a node's weight in a table; 0 removes the entry.
    SetWeight {
        /// The table.
        table: TableId,
        /// The node.
        node: NodeId,
        /// The new weight.
        weight: f64,
    },
    /// Removes every entry of a table.
    ClearTable {
        /// The table.
        table: TableId,
    },
    /// Makes a proxy use a table.
    BindTable {
        /// The proxy.
        proxy: ProxyId,
        /// The table.
        table: TableId,
        /// The operations it serves; empty: all of them.
        operations: Vec<OperationId>,
    },
    /// Sets how much proxies admit and when they retry.
    SetAdmission {
        /// The table whose proxies are meant; `None`: all joined proxies.
        table: Option<TableId>,
        /// The operations that are meant.
        operations: Vec<OperationId>,
        /// A share of the requests, or a rate at each proxy, as the settings say.
        limit: f64,
        /// When to retry.
        retry: RetryPolicy,
    },
    /// Makes all proxies avoid a node, or use it again.
    EjectNode {
        /// The node.
        node: NodeId,
        /// Whether it is to be avoided.
        ejected: bool,
    },
    /// Asks proxies to acknowledge everything that was sent before.
    SendMarker {
        /// The version marker to acknowledge.
        marker: MarkerId,
        /// Whether every joined proxy is asked, not only those that are sent something now.
        to_all: bool,
    },
    /// Orders a health check.
    ProbeNode {
        /// The node.
        node: NodeId,
    },
    /// Sends gossip to other controllers.
    SendGossip {
        /// The receiver; `None`: all peers.
        peer: Option<PeerId>,
        /// The message.
        payload: Vec<u8>,
    },
    /// Asks for a `TimerFired` event.
    SetTimer {
        /// How long from now.
        after: Span,
        /// The timer.
        timer: TimerId,
    },
    /// Asks for a complete endpoint list.
    RequestEndpointList,
    /// Begins or ends watching the endpoint list.
    WatchEndpoints {
        /// Whether to watch.
        enabled: bool,
    },
    /// A message for the log.
    Log {
        /// The message.
        message: String,
    },
}
