//! The codes of the simulator's wire.

/// Events, from the simulator.
pub mod event {
    use std::ops::RangeInclusive;

    /// A timer has fired.
    pub const TIMER: u8 = 16;
    /// A note of another controller.
    pub const GOSSIP: u8 = 17;
    /// What the proxies of a zone observed at a node.
    pub const NODE_LOAD: u8 = 18;
    /// A slice is owned, or no longer.
    pub const SLICE_OWNERSHIP: u8 = 19;
    /// A proxy has left.
    pub const PROXY_LEFT: u8 = 20;
    /// A controller starts.
    pub const BOOT: u8 = 21;
    /// What came to a proxy.
    pub const DEMAND: u8 = 22;
    /// What came to a slice.
    pub const SLICE_DEMAND: u8 = 23;
    /// A proxy has joined.
    pub const PROXY_JOINED: u8 = 24;
    /// A probe has ended.
    pub const PROBE_COMPLETED: u8 = 25;
    /// A proxy has applied everything up to a marker.
    pub const MARKER_ACKNOWLEDGED: u8 = 26;
    /// A controller stops.
    pub const STOP: u8 = 27;
    /// An endpoint list, or changes of it.
    pub const ENDPOINT_LIST: u8 = 28;
    /// A slice is assigned to a node.
    pub const SLICE_ASSIGNMENT: u8 = 29;

    /// All of them.
    pub const ALL: RangeInclusive<u8> = TIMER..=SLICE_ASSIGNMENT;
}

/// Kinds of endpoint lists.
pub mod list_kind {
    /// As the controller held it last.
    pub const CACHED: u8 = 0;
    /// Entries that have changed.
    pub const CHANGES: u8 = 1;
    /// The full list.
    pub const COMPLETE: u8 = 2;
    /// The full list could not be read.
    pub const UNAVAILABLE: u8 = 3;
}

/// Status of an endpoint in a list.
pub mod endpoint_status {
    /// Not listed any more.
    pub const GONE: u8 = 0;
    /// Takes requests.
    pub const READY: u8 = 1;
    /// Finishes what it has.
    pub const DRAINING: u8 = 2;
}

/// The HTTP status of a probe that succeeded.
pub const PROBE_SUCCEEDED: u16 = 200;

/// Actions, to the simulator.
pub mod action {
    /// A note to other controllers.
    pub const GOSSIP: u8 = 16;
    /// A version marker to proxies.
    pub const MARKER: u8 = 17;
    /// Read the full endpoint list.
    pub const REQUEST_ENDPOINT_LIST: u8 = 18;
    /// A log message.
    pub const LOG: u8 = 19;
    /// Eject or readmit a node.
    pub const EJECT: u8 = 20;
    /// Bind a proxy to a table.
    pub const BIND_TABLE: u8 = 21;
    /// Set a node's weight in a table.
    pub const SET_WEIGHT: u8 = 22;
    /// Drop a table.
    pub const CLEAR_TABLE: u8 = 23;
    /// Set a timer.
    pub const SET_TIMER: u8 = 24;
    /// Set admission and retries of operations.
    pub const SET_ADMISSION: u8 = 25;
    /// Begin or end the watch on the endpoint list.
    pub const WATCH_ENDPOINTS: u8 = 26;
    /// The decisions have failed.
    pub const FAILURE: u8 = 27;
    /// Probe a node.
    pub const PROBE: u8 = 28;
}

/// Retry policies.
pub mod retry {
    /// No retry.
    pub const NEVER: u8 = 0;
    /// Retry what the node has not begun to process.
    pub const IF_UNPROCESSED: u8 = 1;
    /// One retry after any failure.
    pub const ONCE_ON_ANY_FAILURE: u8 = 2;
    /// Two retries after any failure.
    pub const TWICE_ON_ANY_FAILURE: u8 = 3;
}

/// Stands for all peers where one could be named.
pub const ALL_PEERS: u32 = u32::MAX;
/// Stands for all tables where one could be named.
pub const ALL_TABLES: u16 = u16::MAX;
