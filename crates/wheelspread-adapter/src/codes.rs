//! The codes of the simulator's wire.

/// Events, from the simulator.
pub mod event {
    use std::ops::RangeInclusive;

    pub const TIMER: u8 = 16;
    pub const GOSSIP: u8 = 17;
    pub const NODE_LOAD: u8 = 18;
    pub const SLICE_OWNERSHIP: u8 = 19;
    pub const PROXY_LEFT: u8 = 20;
    pub const BOOT: u8 = 21;
    pub const DEMAND: u8 = 22;
    pub const SLICE_DEMAND: u8 = 23;
    pub const PROXY_JOINED: u8 = 24;
    pub const PROBE_COMPLETED: u8 = 25;
    pub const MARKER_ACKNOWLEDGED: u8 = 26;
    pub const STOP: u8 = 27;
    pub const ENDPOINT_LIST: u8 = 28;
    pub const SLICE_ASSIGNMENT: u8 = 29;

    /// All of them.
    pub const ALL: RangeInclusive<u8> = TIMER..=SLICE_ASSIGNMENT;
}

/// Kinds of endpoint lists.
pub mod list_kind {
    pub const CACHED: u8 = 0;
    pub const CHANGES: u8 = 1;
    pub const COMPLETE: u8 = 2;
    pub const UNAVAILABLE: u8 = 3;
}

/// Status of an endpoint in a list.
pub mod endpoint_status {
    pub const GONE: u8 = 0;
    pub const READY: u8 = 1;
    pub const DRAINING: u8 = 2;
}

/// The HTTP status of a probe that succeeded.
pub const PROBE_SUCCEEDED: u16 = 200;

/// Actions, to the simulator.
pub mod action {
    pub const GOSSIP: u8 = 16;
    pub const MARKER: u8 = 17;
    pub const REQUEST_ENDPOINT_LIST: u8 = 18;
    pub const LOG: u8 = 19;
    pub const EJECT: u8 = 20;
    pub const BIND_TABLE: u8 = 21;
    pub const SET_WEIGHT: u8 = 22;
    pub const CLEAR_TABLE: u8 = 23;
    pub const SET_TIMER: u8 = 24;
    pub const SET_ADMISSION: u8 = 25;
    pub const WATCH_ENDPOINTS: u8 = 26;
    /// The decisions have failed.
    pub const FAILURE: u8 = 27;
    pub const PROBE: u8 = 28;
}

/// Retry policies.
pub mod retry {
    pub const NEVER: u8 = 0;
    pub const IF_UNPROCESSED: u8 = 1;
    pub const ONCE_ON_ANY_FAILURE: u8 = 2;
    pub const TWICE_ON_ANY_FAILURE: u8 = 3;
}

/// Stands for all peers where one could be named.
pub const ALL_PEERS: u32 = u32::MAX;
/// Stands for all tables where one could be named.
pub const ALL_TABLES: u16 = u16::MAX;
