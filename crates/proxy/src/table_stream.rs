//! Reads tables from a discovery stream of the controller that the proxy is joined to, that is, the controller that
//! accepted the load report stream. The stream is dialed when the proxy joins a controller, and redialed when it
//! closes. The first request of a new stream names the version that the proxy already holds.

use crate::config::ProxyConfig;
use crate::table_files::TableUpdate;
use crate::tls::{self, TlsConfig};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_discovery::{DeltaClient, Request, ResourceType, TypeSubscription};
use wheelspread_files::LoadedTables;
use wheelspread_grpc::{ClientConnection, ClientEvent};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};
use wheelspread_xds::discovery;

/// Maximum time between two polls of an open stream, which sends its keepalive pings when it is polled.
const KEEPALIVE_INTERVAL: Span = Span::from_seconds(0.5);

/// Why a stream closed.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("{0}")]
    Connection(String),
    #[error("{0}")]
    Message(String),
    /// A response does not fit the resources held. A new stream starts again with all resources.
    #[error("{0}")]
    Inconsistent(String),
}

/// The discovery stream of a proxy.
pub struct TableStream {
    identity: ProxyIdentity,
    addresses: Vec<SocketAddrV4>,
    source: Option<Ipv4Addr>,
    token: Token,
    reconnect_delay: Span,
    /// Index of the controller that the proxy is joined to.
    controller: Option<usize>,
    connection: Option<Box<ClientConnection>>,
    next_dial_at: Option<Moment>,
    delta_client: DeltaClient,
    /// Whether the next request is the first of its stream and has to carry the identity of the proxy.
    needs_identity: bool,
    tls: Option<TlsConfig>,
}

impl TableStream {
    /// Creates a stream that is dialed once the proxy is joined to a controller.
    pub fn new(config: &ProxyConfig, token: Token) -> TableStream {
        TableStream {
            identity: config.identity(),
            addresses: config.controller_addresses(),
            source: config.source,
            token,
            reconnect_delay: config.timeouts.reconnect_delay,
            controller: None,
            connection: None,
            next_dial_at: None,
            delta_client: DeltaClient::new(subscriptions(config)),
            needs_identity: true,
            tls: config.tls.clone(),
        }
    }

    /// Switches the stream to this controller, which the proxy has joined.
    pub fn follow(&mut self, now: Moment, controller: usize) {
        if self.controller != Some(controller) || self.connection.is_none() {
            self.controller = Some(controller);
            self.connection = None;
            self.next_dial_at = Some(now);
        }
    }

    /// Dials, reads and acknowledges what is due. Returns the resulting table updates.
    pub fn poll(&mut self, poll: &Poll, now: Moment) -> Vec<TableUpdate> {
        let mut updates = Vec::new();
        if self.next_dial_at.is_some_and(|at| now >= at) {
            self.dial(poll, now);
        }
        if let Err(error) = self.read(now, &mut updates) {
            tracing::debug!(reason = %error, "table stream closed");
            self.connection = None;
            self.next_dial_at = Some(now + self.reconnect_delay);
        }
        updates
    }

    /// Reads until there are no more events. Replies are sent by the next turn of the connection, which may return
    /// further events.
    fn read(&mut self, now: Moment, updates: &mut Vec<TableUpdate>) -> Result<(), StreamError> {
        let mut result = Ok(());
        while let Some(connection) = self.connection.as_mut().filter(|_| result.is_ok()) {
            let (events, closed) = connection.turn(now);
            if let Some(reason) = closed {
                result = Err(StreamError::Connection(reason));
            }
            if events.is_empty() {
                break;
            }
            // Events received before the stream closed are still handled.
            for event in events {
                match event {
                    ClientEvent::Opened => self.subscribe(),
                    ClientEvent::Message { bytes } => {
                        if let Err(error) = self.on_message(&bytes, updates) {
                            result = Err(error);
                        }
                    }
                }
            }
        }
        result
    }

    fn subscribe(&mut self) {
        self.needs_identity = true;
        for request in self.delta_client.initial_requests() {
            self.send(&request);
        }
    }

    fn send(&mut self, request: &Request) {
        let is_first = std::mem::take(&mut self.needs_identity);
        let identity = is_first.then_some(&self.identity);
        let message =
            discovery::encode_delta_request(identity, self.delta_client.version(), request);
        if let Some(connection) = &mut self.connection {
            connection.send(&message);
        }
    }

    fn on_message(
        &mut self,
        bytes: &[u8],
        updates: &mut Vec<TableUpdate>,
    ) -> Result<(), StreamError> {
        let response = discovery::decode_delta_response(bytes)
            .map_err(|error| StreamError::Message(error.to_string()))?;
        let mut complete_table_set = None;
        let step = self
            .delta_client
            .handle_response(&response, |delta_client, version| {
                let values = |kind| delta_client.resources(kind).map(|(_, bytes)| bytes);
                let table_set = discovery::decode_tables(
                    version,
                    delta_client.resources(ResourceType::Entries),
                    values(ResourceType::Endpoints),
                    values(ResourceType::Routes),
                );
                complete_table_set = Some(table_set?);
                Ok::<(), wheelspread_xds::DecodeError>(())
            });
        // If the stream has to restart, the error is not a rejection: the new stream delivers the same version in full.
        if let Some(reason) = step
            .reply
            .error
            .clone()
            .filter(|_| step.restart_reason.is_none())
        {
            updates.push(TableUpdate::Rejected(reason));
        }
        if let (Some(table_set), Some(_)) = (complete_table_set, step.completed_version) {
            updates.push(TableUpdate::New(Box::new(LoadedTables {
                tables: table_set,
                hash: self.delta_client.fingerprint(),
            })));
        }
        self.send(&step.reply);
        step.restart_reason
            .map_or(Ok(()), |reason| Err(StreamError::Inconsistent(reason)))
    }

    fn dial(&mut self, poll: &Poll, now: Moment) {
        let address = self
            .controller
            .and_then(|controller| self.addresses.get(controller));
        let Some(&address) = address else {
            return;
        };
        match self.connect(poll, now, address) {
            Ok(connection) => {
                self.connection = Some(Box::new(connection));
                self.next_dial_at = None;
            }
            Err(_) => self.next_dial_at = Some(now + self.reconnect_delay),
        }
    }

    fn connect(
        &self,
        poll: &Poll,
        now: Moment,
        address: SocketAddrV4,
    ) -> io::Result<ClientConnection> {
        let socket = reactor::connect_from(self.source, address.ip().octets(), address.port())?;
        poll.add(&socket, self.token, Interest::Edges)?;
        tls::connect(now, socket, discovery::DELTA_METHOD, self.tls.as_ref())
    }

    /// When [`poll`](Self::poll) has to be called at the latest.
    pub fn next_wakeup(&self, now: Moment) -> Moment {
        let keepalive = now + KEEPALIVE_INTERVAL;
        self.next_dial_at.unwrap_or(keepalive)
    }
}

/// The resources that the proxy's operations need, in the order in which they complete a version.
fn subscriptions(config: &ProxyConfig) -> Vec<TypeSubscription> {
    let operations = &config.core.operations;
    let assignments = operations
        .iter()
        .map(|operation| format!("{}{}", discovery::LEDS_ASSIGNMENT_PREFIX, operation.name));
    let entries = operations
        .iter()
        .map(|operation| format!("{}{}/*", discovery::ENTRY_PREFIX, operation.name));
    vec![
        TypeSubscription::new(ResourceType::Endpoints, assignments.collect()),
        TypeSubscription::new(ResourceType::Entries, entries.collect()),
        TypeSubscription::new(
            ResourceType::Routes,
            vec![discovery::ALL_OPERATIONS.to_string()],
        ),
    ]
}
