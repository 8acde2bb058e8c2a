//! Conversions between the published xDS messages, which controllers and proxies exchange, and the types of this
//! workspace.
//!
//! | module | messages |
//! | --- | --- |
//! | [`tables`] | `ClusterLoadAssignment` and `RouteConfiguration`: a proxy's tables |
//! | [`discovery`] | discovery requests and responses, and their resources |
//! | [`loads`] | `LoadStatsRequest`: load reports |
//! | [`nodes`] | `ClusterLoadAssignment`: the endpoint list |
//! | [`status`] | `ClientConfig`: the version that a proxy holds |
//! | [`orca`] | load metrics in the header of a node's response |
//! | [`json`] | messages as canonical proto3 JSON |
//!
//! Decoding never panics: invalid input results in a [`DecodeError`] that names the field.

mod convert;
pub mod discovery;
pub mod error;
pub mod json;
pub mod loads;
pub mod nodes;
pub mod orca;
pub mod status;
pub mod tables;

pub use error::{DecodeError, EncodeError, FieldError};
