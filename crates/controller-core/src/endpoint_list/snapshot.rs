//! One reading of the endpoint list file, before it is checked.

use wheelspread::ids::NodeId;
use wheelspread::time::Span;

/// One node as an endpoint list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The node's address.
    pub node: NodeId,
    /// Name of the zone that it stands in.
    pub zone: String,
    /// Name of its kind; empty where the deployment has no kinds.
    pub kind: String,
    /// Name of its cell; nodes of one cell share one fate.
    pub cell: String,
    /// It finishes what it has and takes no new requests.
    pub draining: bool,
    /// Its weight among the nodes of its zone.
    pub weight: f64,
    /// What tells one run of the process from the next, and how long ago it started, where known.
    pub started: Option<(String, Span)>,
}

/// A whole endpoint list as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// `version_info` of the document.
    pub version: String,
    /// Every node that it names.
    pub records: Vec<EndpointRecord>,
}

/// The endpoint list file could not be read or parsed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct SnapshotReadError {
    /// What the file system or the parser said.
    pub reason: String,
}

impl SnapshotReadError {
    /// Keeps the text of the error that the reader met.
    pub fn new(error: impl ToString) -> SnapshotReadError {
        SnapshotReadError {
            reason: error.to_string(),
        }
    }
}
