//! Input of the balancer: events about endpoints, proxies, load and peers.

use crate::error::EventError;
use crate::ids::*;
use crate::time::{Moment, Span};

/// What the endpoint list says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes new requests.
    Ready,
    /// It finishes what it has and is to get nothing new.
    Draining,
    /// It is no longer there.
    Gone,
}

/// Where an endpoint list comes from and what it covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// A complete list that was cached before a restart and may be stale.
    Cached,
    /// Only the entries that changed.
    Changes,
    /// A complete list.
    Complete,
    /// The list was requested and could not be read.
    Unavailable,
}

/// One node in an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The node's address.
    pub node: NodeId,
    /// The zone it runs in.
    pub zone: ZoneId,
    /// The machine type.
    pub kind: KindId,
    /// The failure domain within the zone.
    pub cell: CellId,
    /// Whether it is ready, draining or gone.
    pub status: EndpointStatus,
    /// The weight it is listed with.
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Moment>,
}

/// Something that happened. Rates are per second.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An endpoint list or its changes.
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
        /// A rough figure of the requests that usually come to it, per second.
        usual_rate: f64,
        /// Whether it holds no table that a controller ordered.
        holds_no_table: bool,
    },
    /// A proxy has left.
    ProxyLeft {
        /// The proxy.
        proxy: ProxyId,
    },
    /// What the proxies of a zone observed at a node.
    NodeLoadReport {
        /// The zone of the proxies.
        zone: ZoneId,
        /// The node.
        node: NodeId,
        /// Requests that were sent to it.
        attempts: f64,
        /// How many of them failed.
        failures: f64,
        /// The mean time of the others.
        mean_latency: Span,
        /// The time that the report covers.
        window: Span,
        /// The node's own metrics, in the order that the settings name; a value below 0 is not known.
        metrics: Vec<f64>,
    },
    /// Requests that came to a proxy for one operation.
    DemandReport {
        /// The proxy.
        proxy: ProxyId,
        /// The operation.
        operation: OperationId,
        /// Requests that came.
        requests: f64,
        /// How many of them were admitted and failed.
        failures: f64,
        /// The time that the report covers.
        window: Span,
    },
    /// Requests that came for one slice and operation.
    SliceDemandReport {
        /// The slice.
        slice: SliceId,
        /// The operation.
        operation: OperationId,
        /// Requests that came.
        requests: f64,
        /// How many of them were admitted and failed.
        failures: f64,
        /// The time that the report covers.
        window: Span,
    },
    /// A slice was assigned to this controller, or taken from it.
    SliceOwnership {
        /// The slice.
        slice: SliceId,
        /// Whether this controller owns it now.
        owned: bool,
    },
    /// A node's weight for a slice, as found at a proxy.
    SliceAssignment {
        /// The slice.
        slice: SliceId,
        /// The node.
        node: NodeId,
        /// Its weight.
        weight: f64,
    },
    /// A proxy has applied everything up to a version marker.
    MarkerAcknowledged {
        /// The proxy.
        proxy: ProxyId,
        /// The marker.
        marker: MarkerId,
        /// How long that took.
        latency: Span,
    },
    /// A health check that was ordered has ended.
    ProbeCompleted {
        /// The node.
        node: NodeId,
        /// Whether it answered that it is healthy.
        succeeded: bool,
        /// How long the answer took.
        latency: Span,
        /// The node's own metrics, as in a load report.
        metrics: Vec<f64>,
    },
    /// Gossip from another controller.
    PeerGossip {
        /// The controller.
        from: PeerId,
        /// The message, in the form that `SendGossip` carries.
        payload: Vec<u8>,
    },
    /// A timer that was set has fired.
    TimerFired {
        /// The timer.
        timer: TimerId,
    },
}

impl Event {
    /// Checks the figures of an event; one that fails must change nothing.
    pub fn check(&self) -> Result<(), EventError> {
        let is_valid = |window: &Span| *window > Span::ZERO && window.seconds() < 3600.0;
        match self {
            Event::NodeLoadReport {
                attempts,
                failures,
                window,
                ..
            } if !is_valid(window) || failures > attempts => Err(EventError::InvalidLoadReport {
                attempts: *attempts,
                failures: *failures,
                window_seconds: window.seconds(),
            }),
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
