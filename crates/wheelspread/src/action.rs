//! Output of the balancer: what the controller is to publish, send or schedule.

use crate::ids::*;
use crate::time::Span;

/// When a proxy retries a failed request at another node.
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

/// An instruction to the host of the balancer.
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
        /// The operations that the table serves for the proxy; empty: all operations.
        operations: Vec<OperationId>,
    },
    /// Sets the admission limit and the retry policy of operations.
    SetAdmission {
        /// The table whose proxies are affected; `None`: all joined proxies.
        table: Option<TableId>,
        /// The affected operations.
        operations: Vec<OperationId>,
        /// A ratio of the requests, or a rate limit per proxy in requests per second, depending on the settings.
        limit: f64,
        /// The retry policy.
        retry: RetryPolicy,
    },
    /// Ejects a node at all proxies, or ends its ejection.
    EjectNode {
        /// The node.
        node: NodeId,
        /// Whether the node is ejected.
        ejected: bool,
    },
    /// Asks proxies to acknowledge everything that was sent before the marker.
    SendMarker {
        /// The version marker to acknowledge.
        marker: MarkerId,
        /// Whether every joined proxy is asked to acknowledge, not only the proxies that are sent something in
        /// this round.
        to_all: bool,
    },
    /// Requests a health check of a node.
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
    /// Requests a `TimerFired` event.
    SetTimer {
        /// Time from now until the timer fires.
        after: Span,
        /// The timer.
        timer: TimerId,
    },
    /// Requests a complete endpoint list.
    RequestEndpointList,
    /// Starts or stops watching the endpoint list.
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
