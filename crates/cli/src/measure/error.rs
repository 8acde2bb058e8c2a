//! Why a measurement could not be made.

use crate::operator::CallError;
use std::fmt::Display;
use std::io;
use wheelspread_store::StoreError;

/// A failure before or during a measurement.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The path of the running executable is unknown, so no child process can be started.
    #[error("cannot determine the path of the running executable")]
    Executable(#[source] io::Error),
    /// An operating system call on `what` failed.
    #[error("{what}")]
    Io {
        /// The socket, file or process that the call used.
        what: &'static str,
        /// What the operating system reported.
        source: io::Error,
    },
    /// The state file could not be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A measured process did not reach the state that the measurement starts from.
    #[error("{0}")]
    NotReady(String),
    /// A controller did not answer a request to the operators' API.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A controller refused a change, or did not carry it out.
    #[error("{0}")]
    Change(String),
    /// A measurement at one fleet size failed.
    #[error("{nodes} nodes, {count} {clients}")]
    AtSize {
        /// Nodes in the endpoint list.
        nodes: usize,
        /// The number of clients.
        count: usize,
        /// The name of the kind of client, in the plural.
        clients: &'static str,
        /// The failure.
        source: Box<MeasureError>,
    },
    /// The figures could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A side-effecting request was executed more than once.
    #[error("a side-effecting request was executed twice")]
    DuplicateEffect,
}

impl MeasureError {
    /// Adds the fleet size at which a measurement failed.
    pub fn at_size(self, nodes: usize, count: usize, clients: &'static str) -> MeasureError {
        MeasureError::AtSize {
            nodes,
            count,
            clients,
            source: Box::new(self),
        }
    }
}

/// Converts an I/O error into a [`MeasureError`] that names the file, socket or process that was used.
pub fn io(what: &'static str) -> impl FnOnce(io::Error) -> MeasureError {
    move |source| MeasureError::Io { what, source }
}

/// Converts an error that prevents the start of a measurement.
pub fn not_ready(error: impl Display) -> MeasureError {
    MeasureError::NotReady(error.to_string())
}
