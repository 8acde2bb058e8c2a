//! Facts that are persisted besides the configuration and its changes: the last published version, the endpoint
//! list, and the balancer's capacity estimate of each node. Names and JSON fields of stored facts must not change,
//! so that state files written by older versions of the program load.

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

/// Upper bound of the count of versions published after the last persisted one. New versions are numbered above the
/// persisted one plus this margin, so that no number is used twice.
const VERSION_MARGIN: u64 = 10_000;
/// Maximum age of a restored incarnation; a longer one is clamped.
const MAX_AGE_SECONDS: f64 = 1e9;

/// The differences up to which a capacity snapshot is not stored again.
struct CapacityTolerance {
    /// Difference of the capacity, which is the logarithm of requests per second.
    capacity: f64,
    /// Difference of the evidence, as a ratio of the stored evidence (of at least 1 report period).
    evidence_ratio: f64,
}

const CAPACITY_TOLERANCE: CapacityTolerance = CapacityTolerance {
    capacity: 0.05,
    evidence_ratio: 0.3,
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
    /// The incarnation of its process, and the time when that started, in seconds since 1970.
    started: Option<(String, f64)>,
}

impl EndpointFact {
    /// `unix_seconds`: the time now, in seconds since 1970.
    pub(super) fn new(record: &EndpointRecord, unix_seconds: f64) -> EndpointFact {
        EndpointFact {
            zone: record.zone.clone(),
            kind: record.kind.clone(),
            cell: record.cell.clone(),
            draining: record.draining,
            weight: record.weight,
            started: record
                .started
                .as_ref()
                .map(|(incarnation, age)| (incarnation.clone(), unix_seconds - age.seconds())),
        }
    }

    fn into_record(self, node: NodeId, unix_seconds: f64) -> EndpointRecord {
        let age = |at: f64| Span::from_seconds((unix_seconds - at).clamp(0.0, MAX_AGE_SECONDS));
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

/// The balancer's capacity estimate of a node, as it is stored.
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

    /// Whether `later` differs by no more than the tolerance, so that it need not be stored.
    pub(super) fn is_close_to(&self, later: &CapacityFact) -> bool {
        let evidence_tolerance = CAPACITY_TOLERANCE.evidence_ratio * self.evidence.max(1.0);
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

/// Restores the version floor, the endpoint list and the capacity snapshots that the core starts with.
/// `unix_seconds`: the time now, in seconds since 1970.
pub fn restore_core_state(
    persisted: &PersistedState,
    unix_seconds: f64,
    recovered: &mut RecoveredState,
) {
    recovered.version_floor = restore_version_floor(persisted);
    recovered.endpoint_list = restore_endpoint_list(persisted, unix_seconds);
    recovered.capacities = restore_capacity_facts(persisted)
        .map(|(node, fact)| fact.into_snapshot(node))
        .collect();
}

/// The version above which new versions are numbered.
fn restore_version_floor(persisted: &PersistedState) -> Version {
    let last = persisted
        .facts
        .get(VERSION_FACT)
        .and_then(|text| text.parse::<u64>().ok());
    last.map_or(Version(0), |last| {
        Version(last.saturating_add(VERSION_MARGIN))
    })
}

fn restore_endpoint_list(
    persisted: &PersistedState,
    unix_seconds: f64,
) -> Option<EndpointSnapshot> {
    let records: Vec<EndpointRecord> = restore_endpoint_records(persisted, unix_seconds).collect();
    if records.is_empty() {
        return None;
    }
    let version = persisted.facts.get(LIST_FACT)?.clone();
    Some(EndpointSnapshot { version, records })
}

/// The nodes of the stored endpoint list.
pub(super) fn restore_endpoint_records(
    persisted: &PersistedState,
    unix_seconds: f64,
) -> impl Iterator<Item = EndpointRecord> + '_ {
    node_facts(persisted, ENDPOINT_FACT_PREFIX).filter_map(move |(node, text)| {
        let fact: EndpointFact = serde_json::from_str(text).ok()?;
        Some(fact.into_record(node, unix_seconds))
    })
}

/// The stored capacity estimates by node.
pub(super) fn restore_capacity_facts(
    persisted: &PersistedState,
) -> impl Iterator<Item = (NodeId, CapacityFact)> + '_ {
    node_facts(persisted, CAPACITY_FACT_PREFIX)
        .filter_map(|(node, text)| Some((node, serde_json::from_str(text).ok()?)))
}

/// Facts whose names are the prefix followed by a node.
fn node_facts<'a>(
    persisted: &'a PersistedState,
    prefix: &'a str,
) -> impl Iterator<Item = (NodeId, &'a String)> {
    persisted
        .facts
        .iter()
        .filter_map(move |(name, text)| Some((parse_node(name.strip_prefix(prefix)?)?, text)))
}
