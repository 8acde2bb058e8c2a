//! Nodes by the names that the platform gives them, as the endpoint list in force has them.
//!
//! A node's id is made of its name, so it is the same at every controller and after every start, as the
//! balancer expects.

use crate::endpoint_list::{EndpointList, ListedEndpoint, SourceId, CONFIGURED_SOURCE};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};
use xxhash_rust::xxh3::xxh3_64;

#[derive(Clone, Debug)]
struct KnownNode {
    /// As it was listed last.
    endpoint: ListedEndpoint,
    listed: bool,
    /// Since when it is listed, or is not.
    since: Moment,
}

/// Which list is in force.
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
    /// The version of the list in force.
    pub fn version(&self) -> Option<u64> {
        self.current.map(|current| current.version)
    }

    /// The node's name, unless it was forgotten.
    pub fn name(&self, id: NodeId) -> Option<&str> {
        self.nodes
            .get(&id)
            .map(|known| known.endpoint.name.as_str())
    }

    /// Where the node was listed last.
    pub fn address(&self, id: NodeId) -> Option<SocketAddrV4> {
        self.nodes.get(&id).map(|known| known.endpoint.address)
    }

    /// The id of a name that a list has named.
    pub fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// The balancer's event for a list, or nothing where the list is older than the one in force.
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

    /// A watch opened before the one in force has been left, and counts no more. One opened later is believed
    /// in its complete list whatever the version, since discovery may have started its versions again.
    fn is_newer(&self, list: &EndpointList, source: SourceId) -> bool {
        let Some(current) = self.current else {
            return list.is_complete;
        };
        // A complete list of the same version may repair what a lost change left out.
        let newer_version =
            list.version > current.version || (list.is_complete && list.version == current.version);
        source >= current.source && (newer_version || (list.is_complete && source > current.source))
    }

    /// An entry that can't be read loses only itself: its node stays what it was listed as.
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

    /// The id of a new name; two names with the same hash get neighbouring ids.
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

    /// Forgets nodes that are long gone and not in use: a fleet that is replaced again and again would fill
    /// the memory with names.
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
