//! What a connection may send, by who is at its other end.

use crate::message::Message;
use wheelspread::ids::{ProxyId, ZoneId};

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// It has not identified itself yet.
    Unidentified,
    /// The collector of a zone, which passes on reports.
    Collector(ZoneId),
    /// A proxy that has joined: this connection is its stream.
    Proxy(ProxyId),
    /// It is being closed from this side. Whatever it still sends is ignored: as an unidentified connection
    /// it could join again by bytes that were in flight.
    Closing,
}

/// How a message is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandshakeAction {
    /// Answered at once.
    AnswerPing,
    /// The connection becomes a collector.
    RegisterCollector,
    /// The connection becomes a proxy's stream.
    JoinProxy,
    /// A report or an acknowledgement goes to the balancer.
    Process,
    /// The message is dropped; those after it count.
    Ignore,
    /// The connection is closed.
    Close,
}

/// How a message of this peer is treated; `None` is a message that can't be read.
pub fn action_for(peer: Peer, message: Option<&Message>) -> HandshakeAction {
    match peer {
        Peer::Unidentified => unidentified_action(message),
        Peer::Collector(_) => collector_action(message),
        Peer::Proxy(proxy) => proxy_action(proxy, message),
        Peer::Closing => HandshakeAction::Ignore,
    }
}

/// Anything but a ping, a collector's greeting or a join shows that no proxy and no collector is there.
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

/// A proxy speaks for itself alone.
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
