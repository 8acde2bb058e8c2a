//! Checks of a snapshot: what it names has to be possible, its version has to be newer, and it may not
//! lack too many of the ready nodes at once.

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
    #[error("the list can't be read: {0}")]
    Unreadable(#[from] SnapshotReadError),
    /// It is older than what was accepted, or the same version.
    #[error("version {version} is not newer than version {held}, which is held")]
    Late {
        /// The snapshot's version.
        version: String,
        /// The accepted version.
        held: String,
    },
    /// It names no node at all.
    #[error("the list names no node while {held} are held")]
    Empty {
        /// Nodes accepted so far.
        held: usize,
    },
    /// It lacks too many ready nodes; it is doubted, see [`super::EndpointList`].
    #[error(
        "{missing} of {ready} ready nodes are missing at once; they are kept while that is doubted"
    )]
    Shrunk {
        /// Ready nodes that it lacks.
        missing: usize,
        /// Ready nodes so far.
        ready: usize,
    },
    /// It leaves nothing of a zone or a kind; it is doubted.
    #[error("all {count} ready nodes of {what} are missing at once; they are kept while that is doubted")]
    Emptied {
        /// The zone or the kind.
        what: String,
        /// Ready nodes that it had.
        count: usize,
    },
    /// A node is named more than once.
    #[error("{0} is named twice")]
    Twice(String),
    /// A node stands in a zone that the deployment does not have.
    #[error("{node} stands in zone `{zone}`, which the settings don't name")]
    UnknownZone {
        /// The node's address.
        node: String,
        /// The zone that the snapshot names.
        zone: String,
    },
    /// A node is of a kind that the deployment does not have.
    #[error("{node} is of kind `{kind}`, which the settings don't name")]
    UnknownKind {
        /// The node's address.
        node: String,
        /// The kind that the snapshot names.
        kind: String,
    },
    /// It names more nodes than a controller can hold.
    #[error("{count} nodes: {most} at most are possible")]
    TooMany {
        /// Nodes that the snapshot names.
        count: usize,
        /// The limit.
        most: usize,
    },
}

/// Checks what does not depend on earlier snapshots: count, duplicates, names of zones and kinds.
pub(super) fn check_records(
    records: &[EndpointRecord],
    plan: &Deployment,
) -> Result<(), SnapshotRejection> {
    if records.len() > MAX_NODES {
        return Err(SnapshotRejection::TooMany {
            count: records.len(),
            most: MAX_NODES,
        });
    }
    let mut seen = BTreeSet::new();
    for record in records {
        if !seen.insert(record.node) {
            return Err(SnapshotRejection::Twice(format_node(record.node)));
        }
        check_names(record, plan)?;
    }
    Ok(())
}

fn check_names(record: &EndpointRecord, plan: &Deployment) -> Result<(), SnapshotRejection> {
    if !plan.zones.contains(&record.zone) {
        return Err(SnapshotRejection::UnknownZone {
            node: format_node(record.node),
            zone: record.zone.clone(),
        });
    }
    if !record.kind.is_empty() && !plan.kinds.contains(&record.kind) {
        return Err(SnapshotRejection::UnknownKind {
            node: format_node(record.node),
            kind: record.kind.clone(),
        });
    }
    Ok(())
}

/// Versions that both are numbers rise; others only have to differ.
pub(super) fn is_newer(version: &str, accepted: &str) -> bool {
    match (version.parse::<u64>(), accepted.parse::<u64>()) {
        (Ok(version), Ok(accepted)) => version > accepted,
        _ => version != accepted,
    }
}

/// Checks that a snapshot does not lack more ready nodes than the deployment allows, nor all of a group.
pub(super) fn check_shrinkage(
    snapshot: &EndpointSnapshot,
    missing: &BTreeSet<NodeId>,
    table: &EndpointTable,
    plan: &Deployment,
) -> Result<(), SnapshotRejection> {
    let ready = table.ready().count();
    let tolerated =
        missing.len() as f64 <= ready as f64 * plan.list.shrinks_at_most || missing.len() <= 1;
    if !tolerated {
        return Err(SnapshotRejection::Shrunk {
            missing: missing.len(),
            ready,
        });
    }
    match emptied_group(snapshot, missing, table) {
        Some((what, count)) => Err(SnapshotRejection::Emptied { what, count }),
        None => Ok(()),
    }
}

/// A zone or a kind of which a snapshot leaves nothing, though in total it lacks no more than is tolerated:
/// what stays in that zone would have no node. A group that had a single node may well lose it.
fn emptied_group(
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
