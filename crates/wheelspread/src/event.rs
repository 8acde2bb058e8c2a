//! The balancer's input: events about endpoints, proxies, load and peer controllers.

use crate::error::EventError;
use crate::ids::*;
use crate::time::{Moment, Span};

/// A node's status in an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The node takes new requests.
    Ready,
    /// The node finishes the requests in flight and must get no new ones.
    Draining,
    /// The node no longer exists.
    Gone,
}

/// The source of an endpoint list and the entries that it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// A complete list that was cached before a restart; may be stale.
    Cached,
    /// Only the entries that changed.
    Changes,
    /// A complete list.
    Complete,
    /// The list was requested but could not be read; there are no entries.
    Unavailable,
}

/// One node in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The node's address.
    pub node: NodeId,
    /// The zone in which the node runs.
    pub zone: ZoneId,
    /// The node's machine type.
    pub kind: KindId,
    /// The node's failure domain within the zone.
    pub cell: CellId,
    /// Whether the node is ready, draining or gone.
    pub status: EndpointStatus,
    /// The node's listed weight; a value that is not finite or not above 0 counts as 1.
    pub weight: f64,
    /// When the node's process last started; `None` if it started long ago.
    pub started: Option<Moment>,
}

/// An event for the balancer. Rates are per second.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint list, or changes to it.
    EndpointList {
        /// What the entries cover.
        kind: EndpointListKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A proxy has joined.
    ProxyJoined {
        /// The proxy.
        proxy: ProxyId,
        /// Its zone.
        zone: ZoneId,
        /// A rough estimate of the requests per second that the proxy receives, used as its initial demand.
        usual_rate: f64,
        /// Whether the proxy holds no table from any controller.
        holds_no_table: bool,
    },
    /// A proxy has left.
    ProxyLeft {
        /// The proxy.
        proxy: ProxyId,
    },
    /// Load of a node as observed by the proxies of one zone.
    NodeLoadReport {
        /// The zone of the proxies.
        zone: ZoneId,
        /// The node.
        node: NodeId,
        /// Attempts sent to the node.
        attempts: f64,
        /// Attempts that failed.
        failures: f64,
        /// Mean latency of the attempts that succeeded.
        mean_latency: Span,
        /// The length of time that the report covers.
        window: Span,
        /// The node's own metrics, in the order of the settings `report.field.N`; a value below 0 means unknown.
        metrics: Vec<f64>,
    },
    /// Requests that a proxy received for one operation.
    DemandReport {
        /// The proxy.
        proxy: ProxyId,
        /// The operation.
        operation: OperationId,
        /// Requests received.
        requests: f64,
        /// Requests that were admitted and failed.
        failures: f64,
        /// The length of time that the report covers.
        window: Span,
    },
    /// Requests received for one slice and operation.
    SliceDemandReport {
        /// The slice.
        slice: SliceId,
        /// The operation.
        operation: OperationId,
        /// Requests received.
        requests: f64,
        /// Requests that were admitted and failed.
        failures: f64,
        /// The length of time that the report covers.
        window: Span,
    },
    /// A slice was assigned to this controller or withdrawn from it.
    SliceOwnership {
        /// The slice.
        slice: SliceId,
        /// Whether this controller now owns the slice.
        owned: bool,
    },
    /// A node's weight for a slice, as read from a proxy.
    SliceAssignment {
        /// The slice.
        slice: SliceId,
        /// The node.
        node: NodeId,
        /// Its weight.
        weight: f64,
    },
    /// A proxy has applied all updates up to a version marker.
    MarkerAcknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The version marker.
        marker: MarkerId,
        /// Time from sending the marker to its acknowledgement.
        latency: Span,
    },
    /// A requested health check has ended.
    ProbeCompleted {
        /// The node.
        node: NodeId,
        /// Whether the node reported itself healthy.
        succeeded: bool,
        /// Latency of the node's response.
        latency: Span,
        /// The node's own metrics, in the same order as in a load report.
        metrics: Vec<f64>,
    },
    /// Gossip from another controller.
    PeerGossip {
        /// The sending controller.
        from: PeerId,
        /// The message, encoded as in `SendGossip`.
        payload: Vec<u8>,
    },
    /// A requested timer has fired.
    TimerFired {
        /// The timer.
        timer: TimerId,
    },
}

impl Event {
    /// Checks the values of an event. An event that fails the check must change no state.
    pub fn check(&self) -> Result<(), EventError> {
        let is_valid = |window: &Span| *window > Span::ZERO && window.seconds() < 3600.0;
        match self {
            Event::NodeLoadReport {
                attempts,
                failures,
                window,
                ..
            } if !is_valid(window) || !(0.0..=*attempts).contains(failures) => {
                Err(EventError::InvalidLoadReport {
                    attempts: *attempts,
                    failures: *failures,
                    window_seconds: window.seconds(),
                })
            }
            Event::DemandReport {
                requests, window, ..
            } if !is_valid(window) || requests.is_nan() || *requests < 0.0 => {
                Err(EventError::InvalidDemandReport {
                    requests: *requests,
                    window_seconds: window.seconds(),
                })
            }
            _ => Ok(()),
        }
    }
}
