//! Why a measurement could not be made.

use crate::operator::CallError;
use std::fmt::Display;
use std::io;
use wheelspread_store::StoreError;

/// A failure before or during a measurement.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The path of the running executable is unknown, so no child process can be started.
    #[error("this program can't be found")]
    Executable(#[source] io::Error),
    /// An operating system call on the named thing failed.
    #[error("{what}")]
    Io {
        /// The socket, file or process in question.
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
    /// A controller did not answer an operators' call.
    #[error(transparent)]
    Call(#[from] CallError),
    /// A controller refused a change, or did not carry it out.
    #[error("{0}")]
    Change(String),
    /// A measurement at one size of the fleet failed.
    #[error("{nodes} nodes, {count} {clients}")]
    AtSize {
        /// Nodes in the endpoint list.
        nodes: usize,
        /// How many clients there were.
        count: usize,
        /// What the clients are, in the plural.
        clients: &'static str,
        /// The failure itself.
        source: Box<MeasureError>,
    },
    /// The figures could not be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A side-effecting request was executed more than once.
    #[error("an effect happened twice")]
    DuplicateEffect,
}

impl MeasureError {
    /// Names the fleet size at which a measurement failed.
    pub fn at_size(self, nodes: usize, count: usize, clients: &'static str) -> MeasureError {
        MeasureError::AtSize {
            nodes,
            count,
            clients,
            source: Box::new(self),
        }
    }
}

/// Converts an I/O error into a [`MeasureError`] that names what was being used.
pub fn io(what: &'static str) -> impl FnOnce(io::Error) -> MeasureError {
    move |source| MeasureError::Io { what, source }
}

/// Converts an error that prevents the start of a measurement.
pub fn not_ready(error: impl Display) -> MeasureError {
    MeasureError::NotReady(error.to_string())
}
