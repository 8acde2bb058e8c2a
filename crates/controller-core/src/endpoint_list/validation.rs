//! Checks of a snapshot: its nodes, zones and kinds have to be valid, its version has to be newer, and it may
//! not lack too many of the ready nodes at once.

use super::snapshot::{EndpointRecord, EndpointSnapshot, SnapshotReadError};
use super::{format_node, EndpointTable};
use crate::deployment::Deployment;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;

const MAX_NODES: usize = 20_000;

/// Why a snapshot was not applied, or only in part.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SnapshotRejection {
    /// The file can't be read or parsed.
    #[error("the endpoint list can't be read: {0}")]
    Unreadable(#[from] SnapshotReadError),
    /// The version is not newer than the accepted one.
    #[error("version {version} is not newer than version {accepted}, the last accepted one")]
    NotNewer {
        /// The snapshot's version.
        version: String,
        /// The accepted version.
        accepted: String,
    },
    /// The snapshot names no node.
    #[error("the endpoint list names no node while {accepted} nodes are accepted")]
    Empty {
        /// Number of accepted nodes.
        accepted: usize,
    },
    /// The snapshot lacks too many ready nodes, which puts the list in doubt.
    #[error(
        "{missing} of {ready} ready nodes are missing from the endpoint list; they are kept while the list is in doubt"
    )]
    TooManyMissing {
        /// Number of ready nodes that the snapshot lacks.
        missing: usize,
        /// Number of accepted ready nodes.
        ready: usize,
    },
    /// The snapshot lacks every node of a zone or a kind, which puts the list in doubt.
    #[error("all {count} ready nodes of {group} are missing from the endpoint list; they are kept while the list is in doubt")]
    GroupMissing {
        /// The zone or the kind.
        group: String,
        /// Number of ready nodes that it had.
        count: usize,
    },
    /// The snapshot names a node more than once.
    #[error("the endpoint list names node {0} twice")]
    DuplicateNode(String),
    /// A node is in a zone that the deployment does not have.
    #[error("node {node} is in zone `{zone}`, which is not among the zones of the settings")]
    UnknownZone {
        /// The node's address.
        node: String,
        /// The zone that the snapshot names.
        zone: String,
    },
    /// A node is of a kind that the deployment does not have.
    #[error("node {node} is of kind `{kind}`, which is not among the kinds of the settings")]
    UnknownKind {
        /// The node's address.
        node: String,
        /// The kind that the snapshot names.
        kind: String,
    },
    /// The snapshot names more nodes than a controller supports.
    #[error("the endpoint list names {count} nodes; at most {max} are allowed")]
    TooManyNodes {
        /// Number of nodes that the snapshot names.
        count: usize,
        /// Largest number of nodes.
        max: usize,
    },
}

/// Checks what does not depend on earlier snapshots: number of nodes, duplicates, names of zones and kinds.
pub(super) fn check_records(
    records: &[EndpointRecord],
    deployment: &Deployment,
) -> Result<(), SnapshotRejection> {
    if records.len() > MAX_NODES {
        return Err(SnapshotRejection::TooManyNodes {
            count: records.len(),
            max: MAX_NODES,
        });
    }
    let mut seen = BTreeSet::new();
    for record in records {
        if !seen.insert(record.node) {
            return Err(SnapshotRejection::DuplicateNode(format_node(record.node)));
        }
        check_names(record, deployment)?;
    }
    Ok(())
}

fn check_names(record: &EndpointRecord, deployment: &Deployment) -> Result<(), SnapshotRejection> {
    if !deployment.zones.contains(&record.zone) {
        return Err(SnapshotRejection::UnknownZone {
            node: format_node(record.node),
            zone: record.zone.clone(),
        });
    }
    if !record.kind.is_empty() && !deployment.kinds.contains(&record.kind) {
        return Err(SnapshotRejection::UnknownKind {
            node: format_node(record.node),
            kind: record.kind.clone(),
        });
    }
    Ok(())
}

/// Whether `version` is newer than `accepted`: greater if both are numbers, otherwise different.
pub(super) fn is_newer(version: &str, accepted: &str) -> bool {
    match (version.parse::<u64>(), accepted.parse::<u64>()) {
        (Ok(version), Ok(accepted)) => version > accepted,
        _ => version != accepted,
    }
}

/// Checks that a snapshot lacks no more ready nodes than the deployment allows, and not all nodes of a zone or
/// kind. A single missing node is always tolerated.
pub(super) fn check_shrinkage(
    snapshot: &EndpointSnapshot,
    missing: &BTreeSet<NodeId>,
    table: &EndpointTable,
    deployment: &Deployment,
) -> Result<(), SnapshotRejection> {
    let ready = table.ready().count();
    let tolerated = missing.len() as f64 <= ready as f64 * deployment.list.shrinks_at_most
        || missing.len() <= 1;
    if !tolerated {
        return Err(SnapshotRejection::TooManyMissing {
            missing: missing.len(),
            ready,
        });
    }
    match missing_group(snapshot, missing, table) {
        Some((group, count)) => Err(SnapshotRejection::GroupMissing { group, count }),
        None => Ok(()),
    }
}

/// A zone or a kind that is left without nodes, and how many ready nodes it had. Requests that have to stay in
/// such a zone would have no node even if few nodes are missing in total. A zone or kind with a single ready
/// node may lose it.
fn missing_group(
    snapshot: &EndpointSnapshot,
    missing: &BTreeSet<NodeId>,
    table: &EndpointTable,
) -> Option<(String, usize)> {
    type GroupOf = fn(&EndpointRecord) -> &str;
    let groupings: [(&str, GroupOf); 2] = [
        ("zone", |record| record.zone.as_str()),
        ("kind", |record| record.kind.as_str()),
    ];
    groupings.into_iter().find_map(|(label, group_of)| {
        let remaining: BTreeSet<&str> = snapshot.records.iter().map(group_of).collect();
        let mut lost: BTreeMap<&str, usize> = BTreeMap::new();
        for record in missing.iter().filter_map(|node| table.record(*node)) {
            *lost.entry(group_of(record)).or_default() += 1;
        }
        lost.into_iter()
            .find(|(name, count)| *count > 1 && !remaining.contains(name))
            .map(|(name, count)| (format!("{label} `{name}`"), count))
    })
}
