//! The published xDS forms that controllers and proxies speak, to and from our types.
//!
//! | module | messages |
//! | --- | --- |
//! | [`tables`] | `ClusterLoadAssignment` and `RouteConfiguration`: a proxy's tables |
//! | [`discovery`] | discovery requests and responses, and the resources that they bring |
//! | [`loads`] | `LoadStatsRequest`: load reports |
//! | [`nodes`] | `ClusterLoadAssignment`: the endpoint list |
//! | [`status`] | `ClientConfig`: which version a proxy holds |
//! | [`orca`] | load metrics in the header of a node's response |
//! | [`json`] | messages as canonical proto3 JSON |
//!
//! Decoding never panics: what is not accepted is a [`DecodeError`] that names the field.

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
