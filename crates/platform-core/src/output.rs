//! Outputs of the core, which the caller carries out on its sockets.

use crate::message::MessageError;
use crate::ConnectionId;
use std::net::SocketAddrV4;
use std::rc::Rc;
use wheelspread::ids::{MarkerId, NodeId, ProxyId};
use wheelspread::EventError;

/// The immediate effect of one received message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageOutcome {
    /// The message was processed or ignored; the connection needs no action.
    Consumed,
    /// The connection has identified itself as a proxy or a collector.
    Identified,
    /// The caller must answer the `ping` with `pong`.
    Pong,
    /// The caller must close the connection.
    Close(RejectReason),
}

/// Why a message causes its connection to be closed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RejectReason {
    /// An unidentified connection sent an invalid message.
    #[error("{0}")]
    InvalidMessage(MessageError),
    /// The handshake does not allow the message on this connection.
    #[error("message not allowed on this connection")]
    NotAllowed,
    /// The proxy has joined on a connection that was accepted later.
    #[error("the proxy has joined on a newer connection")]
    NewerStream,
}

/// Why the core closes a connection without a message on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CloseCause {
    /// The proxy has joined on a newer stream.
    #[error("the proxy has joined on a newer connection")]
    NewerStream,
    /// Within the silence limit the stream neither acknowledged its oldest outstanding marker nor sent a message.
    #[error(
        "the stream has an unacknowledged marker and sent no message within the silence limit"
    )]
    Silent,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send these bytes.
    Write {
        /// The proxy's stream.
        connection: ConnectionId,
        /// All parts of one message. Streams that are sent the same message share the bytes.
        bytes: Rc<[u8]>,
    },
    /// Close this connection.
    Close {
        /// The connection. Messages that it still sends are ignored.
        connection: ConnectionId,
        /// Why it is closed.
        cause: CloseCause,
    },
    /// Request the complete endpoint list from discovery.
    RequestEndpointList,
    /// Send a health check to a node.
    HealthCheck {
        /// The node to check.
        node: NodeId,
        /// The address at which the node listens.
        address: SocketAddrV4,
    },
    /// An event for the log.
    Diagnostic(Diagnostic),
}

/// A rejected event, an ignored message, or a log message of the balancer.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Diagnostic {
    /// The balancer did not accept an event.
    #[error("event rejected: {0}")]
    EventRejected(EventError),
    /// An invalid message was ignored; its connection stays open.
    #[error("message ignored: {0}")]
    InvalidMessage(MessageError),
    /// A valid message that the handshake does not allow was ignored; its connection stays open.
    #[error("message ignored: not allowed on this connection")]
    MessageNotAllowed,
    /// A load report names a node that is in no endpoint list.
    #[error("load report ignored: unknown node {0}")]
    UnknownNode(String),
    /// A proxy acknowledged a marker that it was not sent, or that it had acknowledged before.
    #[error("{proxy:?} acknowledged {marker:?}, which is not outstanding")]
    UnknownMarker {
        /// The proxy.
        proxy: ProxyId,
        /// The acknowledged marker.
        marker: MarkerId,
    },
    /// A log message of the balancer.
    #[error("{0}")]
    Balancer(String),
    /// More diagnostics arose than are kept.
    #[error("{count} further diagnostics")]
    Suppressed {
        /// Their number.
        count: usize,
    },
}
