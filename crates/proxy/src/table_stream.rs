//! Tables by a discovery stream of the controller that accepted the report stream: dialed when it accepts,
//! dialed again while it stays joined. A new stream says which version is held already.

use crate::config::ProxyConfig;
use crate::table_files::TableUpdate;
use crate::tls::{self, TlsSide};
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4};
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_discovery::{DeltaClient, Request, ResourceType, TypeSubscription};
use wheelspread_files::LoadedTables;
use wheelspread_grpc::{ClientConnection, ClientEvent};
use wheelspread_reactor::{self as reactor, Interest, Poll, Token};
use wheelspread_xds::discovery;

/// Time between two polls of an open stream: its pings need them.
const KEEPALIVE_INTERVAL: Span = Span::from_seconds(0.5);

/// Why a stream closed.
#[derive(Debug, thiserror::Error)]
enum StreamError {
    #[error("{0}")]
    Connection(String),
    #[error("{0}")]
    Message(String),
    /// What came does not fit the resources held: a new stream begins with everything.
    #[error("{0}")]
    Inconsistent(String),
}

/// The discovery stream of a proxy.
pub struct TableStream {
    introduction: ProxyIdentity,
    addresses: Vec<SocketAddrV4>,
    source: Option<Ipv4Addr>,
    token: Token,
    reconnect_delay: Span,
    /// The controller that the proxy is joined to.
    controller: Option<usize>,
    connection: Option<Box<ClientConnection>>,
    dial_at: Option<Moment>,
    reader: DeltaClient,
    /// The first request of a stream still has to say who calls.
    needs_introduction: bool,
    tls: Option<TlsSide>,
}

impl TableStream {
    /// A stream that is dialed once the proxy is joined to a controller.
    pub fn new(config: &ProxyConfig, token: Token) -> TableStream {
        TableStream {
            introduction: config.introduction(),
            addresses: config.controller_addresses(),
            source: config.source,
            token,
            reconnect_delay: config.timeouts.reconnect_delay,
            controller: None,
            connection: None,
            dial_at: None,
            reader: DeltaClient::new(subscriptions(config)),
            needs_introduction: true,
            tls: config.tls.clone(),
        }
    }

    /// The proxy is joined to this controller from now on.
    pub fn follow(&mut self, now: Moment, controller: usize) {
        if self.controller != Some(controller) || self.connection.is_none() {
            self.controller = Some(controller);
            self.connection = None;
            self.dial_at = Some(now);
        }
    }

    /// Dials, reads and acknowledges; returns what came of it.
    pub fn poll(&mut self, poll: &Poll, now: Moment) -> Vec<TableUpdate> {
        let mut updates = Vec::new();
        if self.dial_at.is_some_and(|at| now >= at) {
            self.dial(poll, now);
        }
        if let Err(error) = self.read(now, &mut updates) {
            tracing::debug!(reason = %error, "table stream closed");
            self.connection = None;
            self.dial_at = Some(now + self.reconnect_delay);
        }
        updates
    }

    /// Reads until nothing more comes: what is said back goes out with a turn of its own, in which more may come.
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
            // What came before the stream closed still counts.
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
        self.needs_introduction = true;
        for request in self.reader.initial_requests() {
            self.send(&request);
        }
    }

    fn send(&mut self, request: &Request) {
        let is_first = std::mem::take(&mut self.needs_introduction);
        let introduction = is_first.then_some(&self.introduction);
        let message = discovery::encode_delta_request(introduction, self.reader.version(), request);
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
        let mut complete_orders = None;
        let step = self.reader.handle_response(&response, |reader, version| {
            let values = |kind| reader.resources(kind).map(|(_, bytes)| bytes);
            let orders = discovery::decode_tables(
                version,
                reader.resources(ResourceType::Entries),
                values(ResourceType::Endpoints),
                values(ResourceType::Routes),
            );
            complete_orders = Some(orders?);
            Ok::<(), wheelspread_xds::DecodeError>(())
        });
        // A stream that starts again rejects nothing: the same version comes whole.
        if let Some(reason) = step
            .reply
            .error
            .clone()
            .filter(|_| step.restart_reason.is_none())
        {
            updates.push(TableUpdate::Rejected(reason));
        }
        if let (Some(orders), Some(_)) = (complete_orders, step.completed_version) {
            updates.push(TableUpdate::New(Box::new(LoadedTables {
                tables: orders,
                hash: self.reader.fingerprint(),
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
                self.dial_at = None;
            }
            Err(_) => self.dial_at = Some(now + self.reconnect_delay),
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

    /// When it has to be polled at the latest.
    pub fn next_wakeup(&self, now: Moment) -> Moment {
        let keepalive = now + KEEPALIVE_INTERVAL;
        self.dial_at.unwrap_or(keepalive)
    }
}

/// The resources that the proxy's operations need, in the order in which they make up a version.
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
