//! The contents of the endpoint list file, before any check.

use wheelspread::ids::NodeId;
use wheelspread::time::Span;

/// One node of an endpoint list file.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The node's address.
    pub node: NodeId,
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind; empty where the deployment has no kinds.
    pub kind: String,
    /// Name of its cell; the nodes of a cell fail together.
    pub cell: String,
    /// Whether the node finishes its requests in flight and takes no new ones.
    pub draining: bool,
    /// Its weight among the nodes of its zone.
    pub weight: f64,
    /// Identifier of the process's current run and its age, where known.
    pub started: Option<(String, Span)>,
}

/// A whole endpoint list as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// `version_info` of the document.
    pub version: String,
    /// All nodes of the document.
    pub records: Vec<EndpointRecord>,
}

/// Error for an endpoint list file that could not be read or parsed.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{reason}")]
pub struct SnapshotReadError {
    /// The error text of the file system or the parser.
    pub reason: String,
}

impl SnapshotReadError {
    /// Stores the text of an error from the file system or the parser.
    pub fn new(error: impl ToString) -> SnapshotReadError {
        SnapshotReadError {
            reason: error.to_string(),
        }
    }
}
