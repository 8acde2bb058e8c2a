//! A client of discovery streams that follows tables, and can be told to refuse what it gets.

use super::Stage;
use std::collections::BTreeSet;
use wheelspread_controller_core::membership::ProxyIdentity;
use wheelspread_controller_core::publication::Version;
use wheelspread_discovery::{DeltaClient, ResourceType, TypeSubscription};
use wheelspread_grpc::{ClientConnection, ClientEvent, Limits};
use wheelspread_reactor as reactor;
use wheelspread_xds::{discovery, tables::ProxyTables};

/// A client of lines that can be told to refuse what it gets.
pub struct Client {
    pub who: ProxyIdentity,
    pub connection: ClientConnection,
    pub reader: DeltaClient,
    pub silent: bool,
    pub refuses: bool,
    pub orders: Option<ProxyTables>,
    pub over: Option<String>,
    pub refused: BTreeSet<Version>,
}

impl Client {
    pub fn dial(stage: &Stage, name: &str, zone: &str) -> Client {
        let kinds = vec![
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
            who: ProxyIdentity {
                name: name.into(),
                zone: zone.into(),
                usual_rate: None,
            },
            connection: connect(stage),
            reader: DeltaClient::new(kinds),
            silent: true,
            refuses: false,
            orders: None,
            over: None,
            refused: BTreeSet::new(),
        }
    }

    /// A new stream of the same client, which tells what it holds.
    pub fn again(&mut self, stage: &Stage) {
        (self.connection, self.silent, self.over) = (connect(stage), true, None);
    }

    pub fn turn(&mut self) {
        loop {
            let (events, over) = self.connection.turn(reactor::now());
            self.over = self.over.take().or(over);
            if events.is_empty() {
                return;
            }
            events.into_iter().for_each(|event| self.event(event));
        }
    }

    fn event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Opened => {
                for ask in self.reader.initial_requests() {
                    let who = std::mem::take(&mut self.silent).then_some(&self.who);
                    self.connection.send(&discovery::encode_delta_request(
                        who,
                        self.reader.version(),
                        &ask,
                    ));
                }
            }
            ClientEvent::Message { bytes } => self.told(&bytes),
        }
    }

    fn told(&mut self, bytes: &[u8]) {
        let told = discovery::decode_delta_response(bytes).expect("of the published form");
        let (refuses, mut made) = (self.refuses, None);
        let step = self.reader.handle_response(&told, |reader, version| {
            let values = |kind| reader.resources(kind).map(|(_, bytes)| bytes);
            let lines = reader.resources(ResourceType::Entries);
            made = discovery::decode_tables(
                version,
                lines,
                values(ResourceType::Endpoints),
                values(ResourceType::Routes),
            )
            .ok();
            if refuses {
                Err("it does not please".to_string())
            } else {
                Ok(())
            }
        });
        assert_eq!(
            step.restart_reason, None,
            "every delta comes to what it says"
        );
        if step.reply.error.is_some() {
            self.refused.extend(told.version);
        } else if step.completed_version.is_some() {
            self.orders = made;
        }
        self.connection
            .send(&discovery::encode_delta_request(None, None, &step.reply));
    }

    pub fn ports(&self) -> Vec<u16> {
        let lines = self
            .orders
            .iter()
            .flat_map(|orders| &orders.operations[0].entries);
        lines.map(|line| line.node.port).collect()
    }

    pub fn version(&self) -> u64 {
        self.orders.as_ref().map_or(0, |orders| orders.version.0)
    }
}

pub fn connect(stage: &Stage) -> ClientConnection {
    let socket = reactor::connect(stage.listen.ip().octets(), stage.listen.port()).expect("dials");
    ClientConnection::new(
        reactor::now(),
        socket,
        discovery::DELTA_METHOD,
        Limits::default(),
    )
}
