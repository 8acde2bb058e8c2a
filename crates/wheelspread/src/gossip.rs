//! Peer gossip between controllers: the demand of the proxies of each controller and the rates that nodes serve
//! for them.

use crate::config::Config;
use crate::error::EventError;
use crate::ids::{NodeId, PeerId};
use crate::tables::DemandClass;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// How long received gossip is valid and how often gossip is sent, in report periods.
struct GossipPeriods {
    validity: f64,
    interval: f64,
}

const GOSSIP_PERIODS: GossipPeriods = GossipPeriods {
    validity: 12.0,
    interval: 2.0,
};
/// Maximum length of a message, in bytes.
const MAX_MESSAGE_LENGTH: usize = 256;
/// Lengths in bytes of the parts of a message: the number of proxies, the demand of one class, the rate of one
/// node.
const PROXY_COUNT_LENGTH: usize = 2;
const DEMAND_LENGTH: usize = 4;
const NODE_LENGTH: usize = 8;
/// Rates of nodes are sent as integers in units of 1 / RATE_SCALE requests per second.
const RATE_SCALE: f64 = 64.0;
const MAX_U16: f64 = 65535.0;

/// The last values that one peer sent. Values that a message does not contain keep the previously sent value.
#[derive(Clone, Debug, Default)]
struct PeerView {
    last_message_at: Moment,
    proxy_count: f64,
    demand: BTreeMap<DemandClass, f64>,
    /// Requests per second that each node serves for the peer's proxies, and when this rate was received.
    rates: BTreeMap<NodeId, (f64, Moment)>,
}

/// The last values that all peers sent, and when this controller last sent gossip.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    peers: BTreeMap<PeerId, PeerView>,
    last_sent_at: Moment,
}

/// Values that this controller sends to its peers.
pub(crate) struct LocalView {
    /// Number of proxies that have joined this controller.
    pub proxy_count: usize,
    /// Requests per second that these proxies receive, in the order of the demand classes.
    pub demand: Vec<f64>,
    /// Requests per second that each open node serves for these proxies.
    pub rates: Vec<(NodeId, f64)>,
}

impl Gossip {
    /// Starts without messages of peers.
    pub fn new(now: Moment) -> Gossip {
        Gossip {
            peers: BTreeMap::new(),
            last_sent_at: now,
        }
    }

    /// The start of the validity period: gossip received earlier is ignored.
    pub fn valid_since(period: Span, now: Moment) -> Moment {
        now - period * GOSSIP_PERIODS.validity
    }

    /// Handles a message from a peer. `classes` are the demand classes that have tables, in ascending order. A message
    /// whose length does not match the format is an error and changes no received value.
    pub fn on_message(
        &mut self,
        from: PeerId,
        payload: &[u8],
        classes: &[DemandClass],
        now: Moment,
    ) -> Result<(), EventError> {
        let view = self.peers.entry(from).or_default();
        let malformed = EventError::MalformedGossip {
            length: payload.len(),
        };
        view.decode(payload, classes, now).ok_or(malformed)
    }

    /// Whether a message is due. If it is due, it is recorded as sent.
    pub fn take_due(&mut self, config: &Config, now: Moment) -> bool {
        let has_peers = config.gossip_enabled && config.controller_count > 1.0;
        let is_due =
            has_peers && now - self.last_sent_at >= config.report_period * GOSSIP_PERIODS.interval;
        if is_due {
            self.last_sent_at = now;
        }
        is_due
    }

    /// Number of proxies that have joined the peers whose last message arrived at or after `since`.
    pub fn peer_proxy_count(&self, since: Moment) -> f64 {
        self.peers_since(since).map(|peer| peer.proxy_count).sum()
    }

    /// Adds the demand of the peers whose last message arrived at or after `since`.
    pub fn add_demand(&self, sums: &mut BTreeMap<DemandClass, f64>, since: Moment) {
        for peer in self.peers_since(since) {
            for (class, sum) in sums.iter_mut() {
                *sum += peer.demand.get(class).unwrap_or(&0.0);
            }
        }
    }

    /// Requests per second that a node serves for the proxies of peers, by rates received at or after `since`.
    pub fn rate(&self, id: NodeId, since: Moment) -> f64 {
        let peer_rates = self.peers.values().filter_map(|peer| peer.rates.get(&id));
        peer_rates
            .filter(|(_, received_at)| *received_at >= since)
            .map(|(rate, _)| rate)
            .sum()
    }

    fn peers_since(&self, since: Moment) -> impl Iterator<Item = &PeerView> {
        self.peers
            .values()
            .filter(move |peer| peer.last_message_at >= since)
    }
}

impl LocalView {
    /// The messages that carry this view, split so that each stays within the maximum length.
    pub fn messages(&self) -> Vec<Vec<u8>> {
        let header_length = PROXY_COUNT_LENGTH + DEMAND_LENGTH * self.demand.len();
        let nodes_per_message =
            (MAX_MESSAGE_LENGTH.saturating_sub(header_length) / NODE_LENGTH).max(1);
        let chunks = self.rates.chunks(nodes_per_message);
        chunks.map(|rates| self.message(rates)).collect()
    }

    fn message(&self, rates: &[(NodeId, f64)]) -> Vec<u8> {
        let proxy_count = self.proxy_count.min(usize::from(u16::MAX)) as u16;
        let mut bytes = proxy_count.to_le_bytes().to_vec();
        bytes.extend(
            self.demand
                .iter()
                .flat_map(|rate| (*rate as f32).to_le_bytes()),
        );
        for (id, rate) in rates {
            bytes.extend(id.address);
            bytes.extend(id.port.to_le_bytes());
            bytes.extend(((rate * RATE_SCALE).min(MAX_U16) as u16).to_le_bytes());
        }
        bytes
    }
}

impl PeerView {
    fn decode(&mut self, bytes: &[u8], classes: &[DemandClass], now: Moment) -> Option<()> {
        let header_length = PROXY_COUNT_LENGTH + DEMAND_LENGTH * classes.len();
        if bytes.len() < header_length || !(bytes.len() - header_length).is_multiple_of(NODE_LENGTH)
        {
            return None;
        }
        self.last_message_at = now;
        self.proxy_count = f64::from(u16::from_le_bytes([bytes[0], bytes[1]]));
        let demands = bytes[PROXY_COUNT_LENGTH..].chunks_exact(DEMAND_LENGTH);
        for (class, demand_bytes) in classes.iter().zip(demands) {
            let demand = f64::from(f32::from_le_bytes(demand_bytes.try_into().ok()?));
            if demand.is_finite() && demand >= 0.0 {
                self.demand.insert(*class, demand);
            }
        }
        for node_bytes in bytes[header_length..].chunks_exact(NODE_LENGTH) {
            let address = node_bytes[..4].try_into().ok()?;
            let port = u16::from_le_bytes([node_bytes[4], node_bytes[5]]);
            let rate = f64::from(u16::from_le_bytes([node_bytes[6], node_bytes[7]])) / RATE_SCALE;
            self.rates.insert(NodeId { address, port }, (rate, now));
        }
        Some(())
    }
}
