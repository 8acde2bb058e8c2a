//! Nodes by the names that the platform assigns, according to the current endpoint list.
//!
//! A node's id is a hash of its name: the balancer requires that the id is the same at every controller and
//! after every restart.

use crate::endpoint_list::{EndpointList, ListedEndpoint, SourceId, CONFIGURED_SOURCE};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};
use xxhash_rust::xxh3::xxh3_64;

#[derive(Clone, Debug)]
struct KnownNode {
    /// The latest endpoint entry.
    endpoint: ListedEndpoint,
    listed: bool,
    /// The time of the latest endpoint entry, or of the complete list that no longer had the node.
    since: Moment,
}

/// The source and version of the current list.
#[derive(Clone, Copy, Debug)]
struct ListPosition {
    source: SourceId,
    version: u64,
}

/// The nodes that endpoint lists have named.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    ids: BTreeMap<String, NodeId>,
    nodes: BTreeMap<NodeId, KnownNode>,
    /// `None` before the first complete list.
    current: Option<ListPosition>,
}

impl Membership {
    /// The version of the current list.
    pub fn version(&self) -> Option<u64> {
        self.current.map(|current| current.version)
    }

    /// The node's name, unless it was forgotten.
    pub fn name(&self, id: NodeId) -> Option<&str> {
        self.nodes
            .get(&id)
            .map(|known| known.endpoint.name.as_str())
    }

    /// The address in the node's latest endpoint entry.
    pub fn address(&self, id: NodeId) -> Option<SocketAddrV4> {
        self.nodes.get(&id).map(|known| known.endpoint.address)
    }

    /// The id of a node by its name, unless it was forgotten.
    pub fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Applies a list and returns the event for the balancer; `None` if the list is older than the current one.
    pub fn apply(&mut self, list: &EndpointList, source: SourceId, now: Moment) -> Option<Event> {
        if !self.is_newer(list, source) {
            return None;
        }
        self.current = Some(ListPosition {
            source,
            version: list.version,
        });
        let mut endpoints = list.entries.clone();
        if list.is_complete {
            endpoints.extend(self.retained_endpoints(list));
            for known in self.nodes.values_mut().filter(|known| known.listed) {
                (known.listed, known.since) = (false, now);
            }
        }
        let entries = endpoints
            .iter()
            .map(|endpoint| self.balancer_entry(endpoint, now))
            .collect();
        let kind = match (source, list.is_complete) {
            (CONFIGURED_SOURCE, _) => EndpointListKind::Cached,
            (_, true) => EndpointListKind::Complete,
            _ => EndpointListKind::Changes,
        };
        Some(Event::EndpointList { kind, entries })
    }

    /// Lists of a watch older than the current one's are ignored, since that watch was replaced. The complete list
    /// of a newer watch is accepted with any version, since discovery may have restarted its version count.
    fn is_newer(&self, list: &EndpointList, source: SourceId) -> bool {
        let Some(current) = self.current else {
            return list.is_complete;
        };
        // A complete list of the same version is accepted too, since it includes changes that were lost on the watch.
        let newer_version =
            list.version > current.version || (list.is_complete && list.version == current.version);
        source >= current.source && (newer_version || (list.is_complete && source > current.source))
    }

    /// The previous entries of listed nodes whose entry in `list` was rejected. An invalid entry neither changes
    /// nor removes its node.
    fn retained_endpoints(&self, list: &EndpointList) -> Vec<ListedEndpoint> {
        let is_absent = |name: &&String| !list.entries.iter().any(|entry| entry.name == **name);
        let listed_node = |name: &String| {
            self.nodes
                .get(self.ids.get(name)?)
                .filter(|known| known.listed)
        };
        list.rejected_names
            .iter()
            .filter(is_absent)
            .filter_map(listed_node)
            .map(|known| known.endpoint.clone())
            .collect()
    }

    fn balancer_entry(&mut self, endpoint: &ListedEndpoint, now: Moment) -> EndpointEntry {
        EndpointEntry {
            node: self.insert(endpoint, now),
            zone: endpoint.zone,
            kind: endpoint.kind,
            cell: endpoint.cell,
            status: endpoint.status,
            weight: endpoint.weight,
            started: endpoint.started,
        }
    }

    fn insert(&mut self, endpoint: &ListedEndpoint, now: Moment) -> NodeId {
        let id = self
            .id(&endpoint.name)
            .unwrap_or_else(|| self.new_id(&endpoint.name));
        let known = KnownNode {
            endpoint: endpoint.clone(),
            listed: endpoint.status != EndpointStatus::Gone,
            since: now,
        };
        self.ids.insert(endpoint.name.clone(), id);
        self.nodes.insert(id, known);
        id
    }

    /// The id of a new name. If another node has the same hash, the next free port number is used.
    fn new_id(&self, name: &str) -> NodeId {
        let [a, b, c, d, e, f, ..] = xxh3_64(name.as_bytes()).to_le_bytes();
        let mut id = NodeId {
            address: [a, b, c, d],
            port: u16::from_le_bytes([e, f]),
        };
        while self.nodes.contains_key(&id) {
            id.port = id.port.wrapping_add(1);
        }
        id
    }

    /// Removes nodes that have been unlisted for at least `retention` and are not in use. Without this, repeated
    /// replacement of the fleet would let the number of stored names grow without bound.
    pub fn forget_unlisted(
        &mut self,
        now: Moment,
        retention: Span,
        is_in_use: impl Fn(NodeId) -> bool,
    ) {
        self.nodes
            .retain(|id, known| known.listed || now - known.since < retention || is_in_use(*id));
        let nodes = &self.nodes;
        self.ids.retain(|_, id| nodes.contains_key(id));
    }
}
