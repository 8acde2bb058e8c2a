//! A client of discovery streams that applies the tables it receives, or rejects them if a test asks for that.

use super::ControllerProcess;
use std::collections::BTreeSet;
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_controller_core::publication::Version;
use wheelspread_discovery::{DeltaClient, ResourceType, TypeSubscription};
use wheelspread_grpc::{ClientConnection, ClientEvent, Limits};
use wheelspread_reactor as reactor;
use wheelspread_xds::{discovery, tables::ProxyTables};

/// A discovery stream client that can reject every version it receives.
pub struct Client {
    pub identity: ProxyIdentity,
    pub connection: ClientConnection,
    pub delta_client: DeltaClient,
    /// Whether the first request of the current stream, which carries the identity, is still to be sent.
    pub identity_pending: bool,
    /// Whether responses are rejected.
    pub rejects: bool,
    /// The last complete version that was accepted.
    pub tables: Option<ProxyTables>,
    /// Why the connection ended; `None` while it is open.
    pub close_reason: Option<String>,
    pub rejected: BTreeSet<Version>,
}

impl Client {
    pub fn dial(controller: &ControllerProcess, name: &str, zone: &str) -> Client {
        let subscriptions = vec![
            TypeSubscription::new(
                ResourceType::Endpoints,
                vec![format!("{}quote", discovery::LEDS_ASSIGNMENT_PREFIX)],
            ),
            TypeSubscription::new(
                ResourceType::Entries,
                vec![format!("{}quote/*", discovery::ENTRY_PREFIX)],
            ),
            TypeSubscription::new(
                ResourceType::Routes,
                vec![discovery::ALL_OPERATIONS.to_string()],
            ),
        ];
        Client {
            identity: ProxyIdentity {
                name: name.into(),
                zone: zone.into(),
                usual_rate: None,
            },
            connection: connect(controller),
            delta_client: DeltaClient::new(subscriptions),
            identity_pending: true,
            rejects: false,
            tables: None,
            close_reason: None,
            rejected: BTreeSet::new(),
        }
    }

    /// Opens a new stream, whose first requests state the resources that the client holds.
    pub fn reconnect(&mut self, controller: &ControllerProcess) {
        (self.connection, self.identity_pending, self.close_reason) =
            (connect(controller), true, None);
    }

    pub fn poll(&mut self) {
        loop {
            let (events, close_reason) = self.connection.turn(reactor::now());
            self.close_reason = self.close_reason.take().or(close_reason);
            if events.is_empty() {
                return;
            }
            events
                .into_iter()
                .for_each(|event| self.handle_event(event));
        }
    }

    fn handle_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Opened => {
                for request in self.delta_client.initial_requests() {
                    let identity =
                        std::mem::take(&mut self.identity_pending).then_some(&self.identity);
                    self.connection.send(&discovery::encode_delta_request(
                        identity,
                        self.delta_client.version(),
                        &request,
                    ));
                }
            }
            ClientEvent::Message { bytes } => self.handle_message(&bytes),
        }
    }

    fn handle_message(&mut self, bytes: &[u8]) {
        let response = discovery::decode_delta_response(bytes).expect("a valid delta response");
        let (rejects, mut decoded) = (self.rejects, None);
        let outcome = self
            .delta_client
            .handle_response(&response, |delta_client, version| {
                let values = |kind| delta_client.resources(kind).map(|(_, bytes)| bytes);
                let entries = delta_client.resources(ResourceType::Entries);
                decoded = discovery::decode_tables(
                    version,
                    entries,
                    values(ResourceType::Endpoints),
                    values(ResourceType::Routes),
                )
                .ok();
                if rejects {
                    Err("rejected by the test".to_string())
                } else {
                    Ok(())
                }
            });
        assert_eq!(
            outcome.restart_reason, None,
            "a delta response must fit the resources held"
        );
        if outcome.reply.error.is_some() {
            self.rejected.extend(response.version);
        } else if outcome.completed_version.is_some() {
            self.tables = decoded;
        }
        self.connection
            .send(&discovery::encode_delta_request(None, None, &outcome.reply));
    }

    /// Ports of the nodes in the tables; empty before the first version.
    pub fn ports(&self) -> Vec<u16> {
        let entries = self
            .tables
            .iter()
            .flat_map(|tables| &tables.operations[0].entries);
        entries.map(|entry| entry.node.port).collect()
    }

    /// Version of the tables; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.tables.as_ref().map_or(0, |tables| tables.version.0)
    }
}

pub fn connect(controller: &ControllerProcess) -> ClientConnection {
    let socket = reactor::connect(controller.listen.ip().octets(), controller.listen.port())
        .expect("connection started");
    ClientConnection::new(
        reactor::now(),
        socket,
        discovery::DELTA_METHOD,
        Limits::default(),
    )
}
