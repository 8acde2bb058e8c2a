//! Gossip between controllers: what comes to each one's proxies and what nodes serve of it.

use crate::config::Config;
use crate::error::EventError;
use crate::ids::{NodeId, PeerId};
use crate::tables::DemandClass;
use crate::time::{Moment, Span};
use std::collections::BTreeMap;

/// How long gossip stands and how often it is sent, in report periods.
struct GossipTiming {
    stands: f64,
    between: f64,
}

const GOSSIP_TIMING: GossipTiming = GossipTiming {
    stands: 12.0,
    between: 2.0,
};
/// Longest message, in bytes.
const MAX_MESSAGE_LENGTH: usize = 256;
/// Bytes of a message: the number of proxies, the demand of one class, the rate of one node.
const PROXIES_LENGTH: usize = 2;
const DEMAND_LENGTH: usize = 4;
const NODE_LENGTH: usize = 8;
/// Rates of nodes are sent in parts of a request per second.
const RATE_STEPS: f64 = 64.0;
const MAX_U16: f64 = 65535.0;

/// What one peer reported; what a message does not name stands as it was reported before.
#[derive(Clone, Debug, Default)]
struct PeerView {
    last_message_at: Moment,
    proxies: f64,
    demand: BTreeMap<DemandClass, f64>,
    /// Requests per second that a node serves for the peer's proxies, and when that was reported.
    rates: BTreeMap<NodeId, (f64, Moment)>,
}

/// What all peers reported.
#[derive(Clone, Debug)]
pub(crate) struct Gossip {
    peers: BTreeMap<PeerId, PeerView>,
    last_sent_at: Moment,
}

/// What this controller reports to its peers.
pub(crate) struct LocalView {
    /// Proxies that have joined here.
    pub proxies: usize,
    /// Their requests per second, in the order of the classes of demand.
    pub demand: Vec<f64>,
    /// Requests per second that each open node serves of them.
    pub rates: Vec<(NodeId, f64)>,
}

impl Gossip {
    /// Nothing was received yet.
    pub fn new(now: Moment) -> Gossip {
        Gossip {
            peers: BTreeMap::new(),
            last_sent_at: now,
        }
    }

    /// What was received before that moment no longer counts.
    pub fn valid_since(period: Span, now: Moment) -> Moment {
        now - period * GOSSIP_TIMING.stands
    }

    /// Takes in a message. `classes` are the classes of demand that have tables, in their order.
    pub fn on_message(
        &mut self,
        from: PeerId,
        payload: &[u8],
        classes: &[DemandClass],
        now: Moment,
    ) -> Result<(), EventError> {
        let view = self.peers.entry(from).or_default();
        let unreadable = EventError::UnreadableGossip {
            length: payload.len(),
        };
        view.read(payload, classes, now).ok_or(unreadable)
    }

    /// Whether a message is due; it then counts as sent.
    pub fn take_due(&mut self, config: &Config, now: Moment) -> bool {
        let has_peers = config.gossip_enabled && config.controller_count > 1.0;
        let is_due =
            has_peers && now - self.last_sent_at >= config.report_period * GOSSIP_TIMING.between;
        if is_due {
            self.last_sent_at = now;
        }
        is_due
    }

    /// Proxies that have joined peers, by messages since `since`.
    pub fn proxies(&self, since: Moment) -> f64 {
        self.recent(since).map(|peer| peer.proxies).sum()
    }

    /// Adds the demand that peers reported since `since`.
    pub fn add_demand(&self, sums: &mut BTreeMap<DemandClass, f64>, since: Moment) {
        for peer in self.recent(since) {
            for (class, sum) in sums.iter_mut() {
                *sum += peer.demand.get(class).unwrap_or(&0.0);
            }
        }
    }

    /// Requests per second that a node serves for peers' proxies, as reported since `since`.
    pub fn rate(&self, id: NodeId, since: Moment) -> f64 {
        let reported = self.peers.values().filter_map(|peer| peer.rates.get(&id));
        reported
            .filter(|(_, reported_at)| *reported_at >= since)
            .map(|(rate, _)| rate)
            .sum()
    }

    fn recent(&self, since: Moment) -> impl Iterator<Item = &PeerView> {
        self.peers
            .values()
            .filter(move |peer| peer.last_message_at >= since)
    }
}

impl LocalView {
    /// The view in as many messages as it takes.
    pub fn messages(&self) -> Vec<Vec<u8>> {
        let head = PROXIES_LENGTH + DEMAND_LENGTH * self.demand.len();
        let nodes = (MAX_MESSAGE_LENGTH.saturating_sub(head) / NODE_LENGTH).max(1);
        let chunks = self.rates.chunks(nodes);
        chunks.map(|rates| self.message(rates)).collect()
    }

    fn message(&self, rates: &[(NodeId, f64)]) -> Vec<u8> {
        let proxies = self.proxies.min(usize::from(u16::MAX)) as u16;
        let mut bytes = proxies.to_le_bytes().to_vec();
        bytes.extend(
            self.demand
                .iter()
                .flat_map(|rate| (*rate as f32).to_le_bytes()),
        );
        for (id, rate) in rates {
            bytes.extend(id.address);
            bytes.extend(id.port.to_le_bytes());
            bytes.extend(((rate * RATE_STEPS).min(MAX_U16) as u16).to_le_bytes());
        }
        bytes
    }
}

impl PeerView {
    fn read(&mut self, bytes: &[u8], classes: &[DemandClass], now: Moment) -> Option<()> {
        let head = PROXIES_LENGTH + DEMAND_LENGTH * classes.len();
        if bytes.len() < head || !(bytes.len() - head).is_multiple_of(NODE_LENGTH) {
            return None;
        }
        self.last_message_at = now;
        self.proxies = f64::from(u16::from_le_bytes([bytes[0], bytes[1]]));
        let demands = bytes[PROXIES_LENGTH..].chunks_exact(DEMAND_LENGTH);
        for (class, four) in classes.iter().zip(demands) {
            let demand = f64::from(f32::from_le_bytes(four.try_into().ok()?));
            if demand.is_finite() && demand >= 0.0 {
                self.demand.insert(*class, demand);
            }
        }
        for node in bytes[head..].chunks_exact(NODE_LENGTH) {
            let address = node[..4].try_into().ok()?;
            let port = u16::from_le_bytes([node[4], node[5]]);
            let rate = f64::from(u16::from_le_bytes([node[6], node[7]])) / RATE_STEPS;
            self.rates.insert(NodeId { address, port }, (rate, now));
        }
        Some(())
    }
}
