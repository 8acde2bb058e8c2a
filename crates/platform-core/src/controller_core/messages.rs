//! Handling of received messages: the handshake, and conversion of reports and acknowledgements to events.

use super::{ControllerCore, Stream};
use crate::handshake::{self, HandshakeAction, Peer};
use crate::message::{self, Message, ProxyJoin};
use crate::output::{CloseCause, Diagnostic, MessageOutcome, RejectReason};
use crate::ConnectionId;
use wheelspread::ids::{MarkerId, ProxyId};
use wheelspread::time::{Moment, Span};
use wheelspread::Event;

impl ControllerCore {
    /// Handles one message received on a connection.
    pub fn handle_message(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        strings: &[&[u8]],
    ) -> MessageOutcome {
        let peer = self
            .peers
            .get(&connection)
            .copied()
            .unwrap_or(Peer::Unidentified);
        let parsed = message::parse(strings, &self.names, &self.settings.message_limits);
        if let Some(stream) = self.stream_of(peer) {
            stream.last_message_at = now;
        }
        let action = handshake::action_for(peer, parsed.as_ref().ok());
        match (action, parsed) {
            (HandshakeAction::AnswerPing, _) => MessageOutcome::Pong,
            (HandshakeAction::RegisterCollector, Ok(Message::CollectorHello { zone })) => {
                self.peers.insert(connection, Peer::Collector(zone));
                MessageOutcome::Identified
            }
            (HandshakeAction::JoinProxy, Ok(Message::ProxyJoin(join))) => {
                self.join_proxy(now, connection, join)
            }
            (HandshakeAction::Process, Ok(message)) => {
                self.process_report(now, message);
                MessageOutcome::Consumed
            }
            (HandshakeAction::Close, Err(error)) => {
                MessageOutcome::Close(RejectReason::InvalidMessage(error))
            }
            (HandshakeAction::Close, Ok(_)) => MessageOutcome::Close(RejectReason::NotAllowed),
            (_, Err(error)) => {
                self.report(Diagnostic::InvalidMessage(error));
                MessageOutcome::Consumed
            }
            (_, Ok(_)) => {
                self.report(Diagnostic::MessageNotAllowed);
                MessageOutcome::Consumed
            }
        }
    }

    fn stream_of(&mut self, peer: Peer) -> Option<&mut Stream> {
        match peer {
            Peer::Proxy(proxy) => self.streams.get_mut(&proxy),
            _ => None,
        }
    }

    fn join_proxy(
        &mut self,
        now: Moment,
        connection: ConnectionId,
        join: ProxyJoin,
    ) -> MessageOutcome {
        let proxy = join.proxy;
        // Connection ids ascend in the order of acceptance, so the proxy has already replaced this connection.
        let is_newer = |newest: &ConnectionId| *newest > connection;
        if self.newest_connections.get(&proxy).is_some_and(is_newer) {
            return MessageOutcome::Close(RejectReason::NewerStream);
        }
        if let Some(old) = self.streams.get(&proxy).map(|stream| stream.connection) {
            // The proxy may join on a new stream before the end of the old one is detected.
            self.close(now, old, CloseCause::NewerStream);
        }
        let stream = Stream {
            connection,
            last_message_at: now,
        };
        self.peers.insert(connection, Peer::Proxy(proxy));
        self.streams.insert(proxy, stream);
        self.newest_connections.insert(proxy, connection);
        self.publication.add_stream(proxy);
        let event = Event::ProxyJoined {
            proxy,
            zone: join.zone,
            usual_rate: join.usual_rate,
            holds_no_table: join.fresh,
        };
        self.handle_event(now, &event);
        MessageOutcome::Identified
    }

    fn process_report(&mut self, now: Moment, message: Message) {
        match message {
            Message::NodeLoadReport {
                zone,
                node,
                attempts,
                failures,
                mean_latency,
                window,
                metrics,
            } => {
                let Some(node) = self.membership.id(&node) else {
                    return self.report(Diagnostic::UnknownNode(node));
                };
                let event = Event::NodeLoadReport {
                    zone,
                    node,
                    attempts,
                    failures,
                    mean_latency,
                    window,
                    metrics,
                };
                self.handle_event(now, &event);
            }
            Message::DemandReport {
                proxy,
                operation,
                requests,
                failures,
                window,
            } => {
                let event = Event::DemandReport {
                    proxy,
                    operation,
                    requests,
                    failures,
                    window,
                };
                self.handle_event(now, &event);
            }
            Message::Acknowledgement {
                proxy,
                marker,
                latency,
            } => self.process_acknowledgement(now, proxy, marker, latency),
            Message::Ping | Message::CollectorHello { .. } | Message::ProxyJoin(_) => {}
        }
    }

    fn process_acknowledgement(
        &mut self,
        now: Moment,
        proxy: ProxyId,
        marker: MarkerId,
        latency: Span,
    ) {
        let Some(acknowledged) = self.publication.acknowledge(proxy, marker) else {
            return self.report(Diagnostic::UnknownMarker { proxy, marker });
        };
        // A wrong latency must not raise the silence limit of all streams.
        let latency = latency.min(now - acknowledged.sent_at);
        self.acknowledgement_latency.record(now, latency);
        for marker in acknowledged.markers {
            let event = Event::MarkerAcknowledged {
                proxy,
                marker,
                latency,
            };
            self.handle_event(now, &event);
        }
    }
}
