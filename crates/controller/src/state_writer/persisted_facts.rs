//! Facts that are persisted beside configuration and changes: the last published version, the endpoint list,
//! and the capacity that the balancer has estimated of each node. Names and JSON fields of stored facts stay as
//! they are, so that state files of older programs load.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelspread::ids::NodeId;
use wheelspread::time::Span;
use wheelspread::CapacitySnapshot;
use wheelspread_config_rollout::values::parse_node;
use wheelspread_config_transaction::PersistedState;
use wheelspread_controller_core::controller_core::RecoveredState;
use wheelspread_controller_core::endpoint_list::{format_node, EndpointRecord, EndpointSnapshot};
use wheelspread_controller_core::Version;

/// The fact that holds the last version published.
pub(super) const VERSION_FACT: &str = "version";
/// The fact that holds the version of the endpoint list.
pub(super) const LIST_FACT: &str = "list";
const ENDPOINT_FACT_PREFIX: &str = "listed.";
const CAPACITY_FACT_PREFIX: &str = "learnt.";

/// Versions that may have been published after the last that was persisted.
const VERSION_MARGIN: u64 = 10_000;
/// A node is taken to have started at most so long ago.
const LONGEST_AGE_SECONDS: f64 = 1e9;

/// When two capacity snapshots count as the same.
struct CapacityTolerance {
    /// Difference of the capacity, which is a logarithm.
    capacity: f64,
    /// Difference of the evidence, as a part of it.
    evidence: f64,
}

const CAPACITY_TOLERANCE: CapacityTolerance = CapacityTolerance {
    capacity: 0.05,
    evidence: 0.3,
};

/// Changes of facts, by name; `None` deletes one.
pub(super) type FactChanges = BTreeMap<String, Option<String>>;

/// A node of the endpoint list, as it is stored.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct EndpointFact {
    zone: String,
    kind: String,
    cell: String,
    draining: bool,
    weight: f64,
    /// The incarnation of its process, and when that started, in seconds since 1970.
    started: Option<(String, f64)>,
}

impl EndpointFact {
    /// `wall`: seconds since 1970 now.
    pub(super) fn new(record: &EndpointRecord, wall: f64) -> EndpointFact {
        EndpointFact {
            zone: record.zone.clone(),
            kind: record.kind.clone(),
            cell: record.cell.clone(),
            draining: record.draining,
            weight: record.weight,
            started: record
                .started
                .as_ref()
                .map(|(incarnation, age)| (incarnation.clone(), wall - age.seconds())),
        }
    }

    fn into_record(self, node: NodeId, wall: f64) -> EndpointRecord {
        let age = |at: f64| Span::from_seconds((wall - at).clamp(0.0, LONGEST_AGE_SECONDS));
        EndpointRecord {
            node,
            zone: self.zone,
            kind: self.kind,
            cell: self.cell,
            draining: self.draining,
            weight: self.weight,
            started: self.started.map(|(incarnation, at)| (incarnation, age(at))),
        }
    }
}

/// What the balancer has estimated of a node's capacity, as it is stored.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct CapacityFact {
    capacity: f64,
    evidence: f64,
    quickest_s: f64,
}

impl CapacityFact {
    pub(super) fn new(snapshot: &CapacitySnapshot) -> CapacityFact {
        CapacityFact {
            capacity: snapshot.log_capacity,
            evidence: snapshot.evidence,
            quickest_s: snapshot.kind_base_latency,
        }
    }

    fn into_snapshot(self, node: NodeId) -> CapacitySnapshot {
        CapacitySnapshot {
            node,
            log_capacity: self.capacity,
            evidence: self.evidence,
            kind_base_latency: self.quickest_s,
        }
    }

    /// Whether `later` says so much the same that it need not be stored.
    pub(super) fn is_close_to(&self, later: &CapacityFact) -> bool {
        let evidence_tolerance = CAPACITY_TOLERANCE.evidence * self.evidence.max(1.0);
        (self.capacity - later.capacity).abs() <= CAPACITY_TOLERANCE.capacity
            && (self.evidence - later.evidence).abs() <= evidence_tolerance
    }
}

/// The name of the fact that holds a node of the endpoint list.
pub(super) fn endpoint_fact_name(node: NodeId) -> String {
    format!("{ENDPOINT_FACT_PREFIX}{}", format_node(node))
}

/// The name of the fact that holds a node's capacity.
pub(super) fn capacity_fact_name(node: NodeId) -> String {
    format!("{CAPACITY_FACT_PREFIX}{}", format_node(node))
}

/// Restores what the core starts with: version, endpoint list and capacity snapshots. `wall`: seconds since
/// 1970 now.
pub fn restore_core_state(persisted: &PersistedState, wall: f64, recovered: &mut RecoveredState) {
    recovered.version_floor = restore_version_floor(persisted);
    recovered.endpoint_list = restore_endpoint_list(persisted, wall);
    recovered.capacities = restore_capacity_facts(persisted)
        .map(|(node, fact)| fact.into_snapshot(node))
        .collect();
}

/// Version numbers go on above this one.
fn restore_version_floor(persisted: &PersistedState) -> Version {
    let last = persisted
        .facts
        .get(VERSION_FACT)
        .and_then(|text| text.parse::<u64>().ok());
    last.map_or(Version(0), |last| {
        Version(last.saturating_add(VERSION_MARGIN))
    })
}

fn restore_endpoint_list(persisted: &PersistedState, wall: f64) -> Option<EndpointSnapshot> {
    let records: Vec<EndpointRecord> = restore_endpoint_records(persisted, wall).collect();
    if records.is_empty() {
        return None;
    }
    let version = persisted.facts.get(LIST_FACT)?.clone();
    Some(EndpointSnapshot { version, records })
}

/// The nodes of the stored endpoint list.
pub(super) fn restore_endpoint_records(
    persisted: &PersistedState,
    wall: f64,
) -> impl Iterator<Item = EndpointRecord> + '_ {
    node_facts(persisted, ENDPOINT_FACT_PREFIX).filter_map(move |(node, text)| {
        let fact: EndpointFact = serde_json::from_str(text).ok()?;
        Some(fact.into_record(node, wall))
    })
}

/// The stored capacities by node.
pub(super) fn restore_capacity_facts(
    persisted: &PersistedState,
) -> impl Iterator<Item = (NodeId, CapacityFact)> + '_ {
    node_facts(persisted, CAPACITY_FACT_PREFIX)
        .filter_map(|(node, text)| Some((node, serde_json::from_str(text).ok()?)))
}

/// Facts of nodes under a prefix.
fn node_facts<'a>(
    persisted: &'a PersistedState,
    prefix: &'a str,
) -> impl Iterator<Item = (NodeId, &'a String)> {
    persisted
        .facts
        .iter()
        .filter_map(move |(name, text)| Some((parse_node(name.strip_prefix(prefix)?)?, text)))
}
