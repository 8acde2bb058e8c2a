//! The balancer's tables, and the part of them that was sent on each proxy's stream.
//!
//! All changes of one decision round become one message for each affected proxy: complete tables if the proxy
//! was bound to them in this round, the changed entries otherwise. `update_message` composes the messages.

mod admission;
mod update_message;

use crate::membership::Membership;
use admission::AdmissionSetting;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use wheelspread::ids::{MarkerId, NodeId, OperationId, ProxyId, TableId};
use wheelspread::time::Moment;
use wheelspread::Action;

/// A table with all of the balancer's changes so far.
#[derive(Clone, Debug, Default)]
struct WeightTable {
    weights: BTreeMap<NodeId, f64>,
    admission: BTreeMap<OperationId, AdmissionSetting>,
}

/// A version marker that a proxy has not acknowledged.
#[derive(Clone, Copy, Debug)]
struct OutstandingMarker {
    marker: MarkerId,
    sent_at: Moment,
}

/// The markers that an acknowledgement covers.
#[derive(Clone, Debug, PartialEq)]
pub struct Acknowledged {
    /// The covered markers in the order of sending.
    pub markers: Vec<MarkerId>,
    /// When the acknowledged marker was sent.
    pub sent_at: Moment,
}

/// The bindings, ejections and outstanding markers that were sent on one stream.
#[derive(Clone, Debug, Default)]
struct StreamState {
    bindings: BTreeMap<OperationId, TableId>,
    ejected: BTreeSet<NodeId>,
    /// Ordered by the time of sending.
    outstanding: VecDeque<OutstandingMarker>,
}

/// The version marker to send with the next messages.
#[derive(Clone, Copy, Debug)]
struct PendingMarker {
    marker: MarkerId,
    /// Also send the marker to proxies that no change affects.
    to_all: bool,
}

/// The changes recorded since the last messages were composed.
#[derive(Clone, Debug, Default)]
struct PendingChanges {
    weights: BTreeMap<TableId, BTreeSet<NodeId>>,
    /// A table of `None` stands for the admission setting for all proxies.
    admission: BTreeSet<(Option<TableId>, OperationId)>,
    cleared: BTreeSet<TableId>,
    newly_bound: BTreeMap<ProxyId, BTreeSet<TableId>>,
    marker: Option<PendingMarker>,
    /// Whether any change was recorded. If not, `take_messages` skips the pass over all streams.
    has_changes: bool,
}

/// The per-proxy state that a message depends on, beside the pending changes. Proxies with equal keys share one
/// message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MessageKey {
    bindings: BTreeMap<OperationId, TableId>,
    /// Tables to send complete.
    newly_bound: BTreeSet<TableId>,
    eject: Vec<NodeId>,
    readmit: Vec<NodeId>,
}

/// Nodes that a message tells a proxy to eject or to readmit.
#[derive(Debug, Default)]
struct EjectionChanges {
    eject: Vec<NodeId>,
    readmit: Vec<NodeId>,
}

/// The tables, admission settings and ejections to publish, and the state of each stream.
#[derive(Clone, Debug, Default)]
pub struct Publication {
    operations: Vec<String>,
    tables: BTreeMap<TableId, WeightTable>,
    global_admission: BTreeMap<OperationId, AdmissionSetting>,
    ejected: BTreeSet<NodeId>,
    /// Nodes that were ejected and then readmitted. Proxies keep ejections when they change streams, so a new
    /// stream is told of these nodes.
    readmitted: BTreeSet<NodeId>,
    streams: BTreeMap<ProxyId, StreamState>,
    changes: PendingChanges,
}

/// Whether an action of the balancer changes the messages to proxies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ActionTarget {
    /// The action was recorded for the next messages.
    Proxies,
    /// The action is not for proxies, and nothing was recorded.
    Other,
}

impl Publication {
    /// An empty publication for these operations.
    pub fn new(operations: &[String]) -> Publication {
        Publication {
            operations: operations.to_vec(),
            ..Publication::default()
        }
    }

    /// Adds a proxy's new stream, on which nothing was sent yet.
    pub fn add_stream(&mut self, proxy: ProxyId) {
        self.streams.insert(proxy, StreamState::default());
    }

    /// Removes a proxy's stream that has ended.
    pub fn remove_stream(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
        self.changes.newly_bound.remove(&proxy);
    }

    /// Processes an acknowledgement, which covers the marker and all markers sent before it; `None` if the marker is
    /// not outstanding.
    pub fn acknowledge(&mut self, proxy: ProxyId, marker: MarkerId) -> Option<Acknowledged> {
        let stream = self.streams.get_mut(&proxy)?;
        let is_named = |sent: &OutstandingMarker| sent.marker == marker;
        let index = stream.outstanding.iter().position(is_named)?;
        let sent_at = stream.outstanding[index].sent_at;
        let covered = stream.outstanding.drain(..=index);
        let markers = covered.map(|sent| sent.marker).collect();
        Some(Acknowledged { markers, sent_at })
    }

    /// The time at which the proxy's oldest outstanding marker was sent.
    pub fn oldest_unacknowledged(&self, proxy: ProxyId) -> Option<Moment> {
        let stream = self.streams.get(&proxy)?;
        stream.outstanding.front().map(|sent| sent.sent_at)
    }

    /// Whether a later message may contain the node's name.
    pub fn uses_node(&self, node: NodeId) -> bool {
        // Readmission on a proxy that has ejected the node needs the name.
        self.ejected.contains(&node)
            || self
                .tables
                .values()
                .any(|table| table.weights.contains_key(&node))
            || self
                .streams
                .values()
                .any(|stream| stream.ejected.contains(&node))
    }

    /// The operations of an action; an empty list stands for all operations.
    fn expand_operations(&self, operations: &[OperationId]) -> Vec<OperationId> {
        match operations {
            [] => (0..self.operations.len())
                .map(|index| OperationId(index as u8))
                .collect(),
            named => named.to_vec(),
        }
    }

    /// Records an action for the next messages.
    pub fn record(&mut self, action: &Action) -> ActionTarget {
        match action {
            Action::SetWeight {
                table,
                node,
                weight,
            } => self.set_weight(*table, *node, *weight),
            Action::ClearTable { table } => {
                self.tables.remove(table);
                self.changes.cleared.insert(*table);
            }
            Action::BindTable {
                proxy,
                table,
                operations,
            } => self.bind_table(*proxy, *table, operations),
            Action::SetAdmission {
                table,
                operations,
                limit,
                retry,
            } => {
                let setting = AdmissionSetting {
                    limit: *limit,
                    retry: *retry,
                };
                self.set_admission(*table, operations, setting);
            }
            Action::EjectNode { node, ejected } => self.set_ejected(*node, *ejected),
            Action::SendMarker { marker, to_all } => {
                self.changes.marker = Some(PendingMarker {
                    marker: *marker,
                    to_all: *to_all,
                });
            }
            _ => return ActionTarget::Other,
        }
        self.changes.has_changes = true;
        ActionTarget::Proxies
    }

    fn set_weight(&mut self, table: TableId, node: NodeId, weight: f64) {
        let weights = &mut self.tables.entry(table).or_default().weights;
        // Stored with the precision of the wire; an entry whose weight is 0 on the wire is removed.
        let sent_weight = f64::from(weight as f32);
        if sent_weight > 0.0 {
            weights.insert(node, sent_weight);
        } else {
            weights.remove(&node);
        }
        self.changes.weights.entry(table).or_default().insert(node);
    }

    fn bind_table(&mut self, proxy: ProxyId, table: TableId, operations: &[OperationId]) {
        let named = self.expand_operations(operations);
        if let Some(stream) = self.streams.get_mut(&proxy) {
            stream
                .bindings
                .extend(named.into_iter().map(|operation| (operation, table)));
            self.changes
                .newly_bound
                .entry(proxy)
                .or_default()
                .insert(table);
        }
    }

    fn set_admission(
        &mut self,
        table: Option<TableId>,
        operations: &[OperationId],
        setting: AdmissionSetting,
    ) {
        let named = self.expand_operations(operations);
        let settings = match table {
            Some(table) => &mut self.tables.entry(table).or_default().admission,
            None => &mut self.global_admission,
        };
        settings.extend(named.iter().map(|operation| (*operation, setting)));
        self.changes
            .admission
            .extend(named.iter().map(|operation| (table, *operation)));
    }

    fn set_ejected(&mut self, node: NodeId, is_ejected: bool) {
        let (added_to, removed_from) = if is_ejected {
            (&mut self.ejected, &mut self.readmitted)
        } else {
            (&mut self.readmitted, &mut self.ejected)
        };
        removed_from.remove(&node);
        added_to.insert(node);
    }

    /// Takes all recorded changes and returns the encoded message for each affected proxy.
    pub fn take_messages(
        &mut self,
        now: Moment,
        membership: &Membership,
    ) -> Vec<(ProxyId, Rc<[u8]>)> {
        let changes = std::mem::take(&mut self.changes);
        if !changes.has_changes {
            return Vec::new();
        }
        let mut composed: BTreeMap<MessageKey, Option<Rc<[u8]>>> = BTreeMap::new();
        let mut messages = Vec::new();
        for proxy in self.streams.keys().copied().collect::<Vec<_>>() {
            let Some(key) = self.message_key(proxy, &changes) else {
                continue;
            };
            let message = match composed.get(&key) {
                Some(message) => message.clone(),
                None => {
                    let message = self.compose(&changes, &key, membership);
                    composed.insert(key, message.clone());
                    message
                }
            };
            let Some(message) = message else { continue };
            self.add_outstanding_marker(proxy, changes.marker, now);
            messages.push((proxy, message));
        }
        messages
    }

    /// The message key of a proxy. The ejections in the key are recorded as sent.
    fn message_key(&mut self, proxy: ProxyId, changes: &PendingChanges) -> Option<MessageKey> {
        let newly_bound = changes.newly_bound.get(&proxy).cloned().unwrap_or_default();
        let EjectionChanges { eject, readmit } =
            self.ejection_changes(proxy, !newly_bound.is_empty());
        let stream = self.streams.get_mut(&proxy)?;
        stream.ejected.extend(&eject);
        for node in &readmit {
            stream.ejected.remove(node);
        }
        Some(MessageKey {
            bindings: stream.bindings.clone(),
            newly_bound,
            eject,
            readmit,
        })
    }

    fn add_outstanding_marker(
        &mut self,
        proxy: ProxyId,
        marker: Option<PendingMarker>,
        now: Moment,
    ) {
        if let (Some(pending), Some(stream)) = (marker, self.streams.get_mut(&proxy)) {
            stream.outstanding.push_back(OutstandingMarker {
                marker: pending.marker,
                sent_at: now,
            });
        }
    }

    /// Nodes that a proxy must eject or readmit, and was not told so on its stream yet.
    fn ejection_changes(&self, proxy: ProxyId, is_newly_bound: bool) -> EjectionChanges {
        let Some(stream) = self
            .streams
            .get(&proxy)
            .filter(|stream| !stream.bindings.is_empty())
        else {
            return EjectionChanges::default();
        };
        let is_in_tables = |node: &NodeId| {
            let mut tables = stream
                .bindings
                .values()
                .filter_map(|table| self.tables.get(table));
            tables.any(|table| table.weights.contains_key(node))
        };
        let must_eject = |node: &&NodeId| !stream.ejected.contains(node) && is_in_tables(node);
        let must_readmit = |node: &&NodeId| stream.ejected.contains(node) || is_newly_bound;
        EjectionChanges {
            eject: self.ejected.iter().filter(must_eject).copied().collect(),
            readmit: self
                .readmitted
                .iter()
                .filter(must_readmit)
                .copied()
                .collect(),
        }
    }
}
