//! Which messages each kind of peer may send on its connection.

use crate::message::Message;
use wheelspread::ids::{ProxyId, ZoneId};

/// The peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The peer has not identified itself yet.
    Unidentified,
    /// The collector of a zone, which forwards reports.
    Collector(ZoneId),
    /// A proxy that has joined: this connection is its stream.
    Proxy(ProxyId),
    /// This controller is closing the connection. Messages that still arrive are ignored: if the connection
    /// counted as unidentified, a join that was in flight would register the proxy again.
    Closing,
}

/// How a message is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeAction {
    /// The ping is answered immediately.
    AnswerPing,
    /// The connection is registered as a collector's.
    RegisterCollector,
    /// The connection becomes a proxy's stream.
    JoinProxy,
    /// The report or acknowledgement is passed to the balancer.
    Process,
    /// The message is dropped; later messages of the connection are handled.
    Ignore,
    /// The connection is closed.
    Close,
}

/// How a message of this peer is handled. `None` is an invalid message.
pub fn action_for(peer: Peer, message: Option<&Message>) -> HandshakeAction {
    match peer {
        Peer::Unidentified => unidentified_action(message),
        Peer::Collector(_) => collector_action(message),
        Peer::Proxy(proxy) => proxy_action(proxy, message),
        Peer::Closing => HandshakeAction::Ignore,
    }
}

/// Any message other than a ping, a collector's hello or a join shows that the peer is neither a proxy nor a
/// collector, so the connection is closed.
fn unidentified_action(message: Option<&Message>) -> HandshakeAction {
    match message {
        Some(Message::Ping) => HandshakeAction::AnswerPing,
        Some(Message::CollectorHello { .. }) => HandshakeAction::RegisterCollector,
        Some(Message::ProxyJoin(_)) => HandshakeAction::JoinProxy,
        Some(
            Message::Acknowledgement { .. }
            | Message::NodeLoadReport { .. }
            | Message::DemandReport { .. },
        )
        | None => HandshakeAction::Close,
    }
}

fn collector_action(message: Option<&Message>) -> HandshakeAction {
    match message {
        Some(Message::Ping) => HandshakeAction::AnswerPing,
        Some(Message::NodeLoadReport { .. } | Message::DemandReport { .. }) => {
            HandshakeAction::Process
        }
        Some(Message::ProxyJoin(_)) => HandshakeAction::Close,
        Some(Message::CollectorHello { .. } | Message::Acknowledgement { .. }) | None => {
            HandshakeAction::Ignore
        }
    }
}

/// On a proxy's stream only acknowledgements and demand reports of the same proxy are processed.
fn proxy_action(stream_proxy: ProxyId, message: Option<&Message>) -> HandshakeAction {
    match message {
        Some(Message::Ping) => HandshakeAction::AnswerPing,
        Some(Message::Acknowledgement { proxy, .. } | Message::DemandReport { proxy, .. })
            if *proxy == stream_proxy =>
        {
            HandshakeAction::Process
        }
        Some(Message::CollectorHello { .. }) => HandshakeAction::Close,
        Some(
            Message::Acknowledgement { .. }
            | Message::DemandReport { .. }
            | Message::ProxyJoin(_)
            | Message::NodeLoadReport { .. },
        )
        | None => HandshakeAction::Ignore,
    }
}
