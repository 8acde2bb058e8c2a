//! Numeric codes of the simulator's wire format.

/// Codes of the records that the simulator sends.
pub mod event {
    use std::ops::RangeInclusive;

    /// A timer of the controller has fired.
    pub const TIMER: u8 = 16;
    /// Gossip from another controller.
    pub const GOSSIP: u8 = 17;
    /// A load report: attempts, failures and latency that the proxies of one zone observed at a node.
    pub const NODE_LOAD: u8 = 18;
    /// A slice was assigned to the controller or withdrawn from it.
    pub const SLICE_OWNERSHIP: u8 = 19;
    /// A proxy has left.
    pub const PROXY_LEFT: u8 = 20;
    /// The controller starts.
    pub const BOOT: u8 = 21;
    /// A demand report: requests that a proxy received for one operation.
    pub const DEMAND: u8 = 22;
    /// Requests received for one slice and operation.
    pub const SLICE_DEMAND: u8 = 23;
    /// A proxy has joined.
    pub const PROXY_JOINED: u8 = 24;
    /// A requested health check of a node has ended.
    pub const PROBE_COMPLETED: u8 = 25;
    /// A proxy has applied all updates up to a version marker.
    pub const MARKER_ACKNOWLEDGED: u8 = 26;
    /// The controller stops.
    pub const STOP: u8 = 27;
    /// An endpoint list, or changes to it.
    pub const ENDPOINT_LIST: u8 = 28;
    /// A node's weight for a slice.
    pub const SLICE_ASSIGNMENT: u8 = 29;

    /// All codes in this module.
    pub const CODE_RANGE: RangeInclusive<u8> = TIMER..=SLICE_ASSIGNMENT;
}

/// Codes of the kinds of endpoint lists.
pub mod list_kind {
    /// The complete list that the controller had cached before its start; may be stale.
    pub const CACHED: u8 = 0;
    /// Only the entries that changed.
    pub const CHANGES: u8 = 1;
    /// The complete list.
    pub const COMPLETE: u8 = 2;
    /// The complete list could not be read.
    pub const UNAVAILABLE: u8 = 3;
}

/// Codes of the status of an endpoint entry.
pub mod endpoint_status {
    /// The node is no longer listed.
    pub const GONE: u8 = 0;
    /// The node takes new requests.
    pub const READY: u8 = 1;
    /// The node finishes the requests in flight and takes no new ones.
    pub const DRAINING: u8 = 2;
}

/// The HTTP status of a successful health check; any other status means that the node is not healthy.
pub const PROBE_SUCCESS_STATUS: u16 = 200;

/// Codes of the actions that are sent to the simulator.
pub mod action {
    /// Send gossip to one or all other controllers.
    pub const GOSSIP: u8 = 16;
    /// Send a version marker to proxies.
    pub const MARKER: u8 = 17;
    /// Read the complete endpoint list.
    pub const REQUEST_ENDPOINT_LIST: u8 = 18;
    /// Write a log message.
    pub const LOG: u8 = 19;
    /// Eject a node at all proxies, or end its ejection.
    pub const EJECT: u8 = 20;
    /// Bind a proxy to a table.
    pub const BIND_TABLE: u8 = 21;
    /// Set a node's weight in a table.
    pub const SET_WEIGHT: u8 = 22;
    /// Remove all entries of a table.
    pub const CLEAR_TABLE: u8 = 23;
    /// Set a timer.
    pub const SET_TIMER: u8 = 24;
    /// Set the admission limit and the retry policy of operations.
    pub const SET_ADMISSION: u8 = 25;
    /// Start or stop watching the endpoint list.
    pub const WATCH_ENDPOINTS: u8 = 26;
    /// The controller's balancer failed to start or panicked.
    pub const FAILURE: u8 = 27;
    /// Run a health check of a node.
    pub const PROBE: u8 = 28;
}

/// Codes of the retry policies.
pub mod retry {
    /// Never retry.
    pub const NEVER: u8 = 0;
    /// Retry only if the failed attempt was not processed.
    pub const IF_UNPROCESSED: u8 = 1;
    /// Retry once after any failure.
    pub const ONCE_ON_ANY_FAILURE: u8 = 2;
    /// Retry up to twice after any failure.
    pub const TWICE_ON_ANY_FAILURE: u8 = 3;
}

/// Value of a peer field that means all peers.
pub const ALL_PEERS: u32 = u32::MAX;
/// Value of a table field that means the tables of all joined proxies.
pub const ALL_TABLES: u16 = u16::MAX;
