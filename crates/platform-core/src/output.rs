//! What the core hands to the owner of the sockets.

use crate::message::MessageError;
use crate::ConnectionId;
use std::net::SocketAddrV4;
use std::rc::Rc;
use wheelspread::ids::{MarkerId, NodeId, ProxyId};
use wheelspread::EventError;

/// The immediate effect of one received message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageOutcome {
    /// Processed or ignored; nothing is to be done on the connection.
    Consumed,
    /// The connection has identified itself as a proxy or a collector.
    Identified,
    /// A `ping` that is to be answered by `pong`.
    Pong,
    /// The connection is to be closed.
    Close(RejectReason),
}

/// Why a message closes its connection.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RejectReason {
    /// An unidentified connection sent a message that can't be read.
    #[error("{0}")]
    InvalidMessage(MessageError),
    /// The handshake does not allow the message on this connection.
    #[error("message not allowed on this connection")]
    NotAllowed,
    /// The proxy has joined on a connection that was accepted later.
    #[error("its proxy has a newer stream")]
    NewerStream,
}

/// Why the core closes a connection of its own accord.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseCause {
    /// The proxy has joined on a newer stream.
    #[error("its proxy has a newer stream")]
    NewerStream,
    /// The stream leaves markers unacknowledged and sends nothing.
    #[error("the stream has fallen silent")]
    Silent,
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send these bytes.
    Write {
        /// The proxy's stream.
        connection: ConnectionId,
        /// One message in all its parts; streams that get the same message share it.
        bytes: Rc<[u8]>,
    },
    /// Close this connection.
    Close {
        /// The connection; whatever it still sends is ignored.
        connection: ConnectionId,
        /// Why it is closed.
        cause: CloseCause,
    },
    /// Ask discovery for the complete endpoint list.
    RequestEndpointList,
    /// Send a health check to a node.
    HealthCheck {
        /// The node to check.
        node: NodeId,
        /// Where it listens.
        address: SocketAddrV4,
    },
    /// Something worth a log line.
    Diagnostic(Diagnostic),
}

/// Something that was ignored, or that the balancer reports.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Diagnostic {
    /// The balancer did not accept an event.
    #[error("event rejected: {0}")]
    EventRejected(EventError),
    /// A message that can't be read, on a connection that goes on.
    #[error("message ignored: {0}")]
    InvalidMessage(MessageError),
    /// A readable message that the handshake does not allow, on a connection that goes on.
    #[error("message ignored: not allowed on this connection")]
    MessageNotAllowed,
    /// A load report of a node that no endpoint list has named.
    #[error("load report of an unknown node {0}")]
    UnknownNode(String),
    /// An acknowledgement of a marker that the proxy was not sent, or has acknowledged before.
    #[error("{proxy:?} acknowledges {marker:?}, which is not outstanding")]
    UnknownMarker {
        /// Who acknowledges.
        proxy: ProxyId,
        /// The marker it names.
        marker: MarkerId,
    },
    /// A log message of the balancer.
    #[error("{0}")]
    Balancer(String),
}
