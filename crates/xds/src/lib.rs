//! The published forms that conductors and proxies speak, and nothing else: `ClusterLoadAssignment` and
//! `RouteConfiguration` for tables, `LoadStatsRequest` for sums, `ClientConfig` for what a proxy holds,
//! load reports in the header of answers. Reading never panics: what can't be read is named.

pub mod discovery;
pub mod json;
pub mod loads;
pub mod nodes;
pub mod orca;
pub mod status;
pub mod tables;

use wheelspread::ids::NodeId;
use xds_api::pb::envoy::config::core::v3 as core;

/// Why a document or message was not taken.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unreadable {
    #[error("no proto3 JSON of {message}: {text}")]
    Json { message: String, text: String },
    #[error("resource {at} is a `{found}`, `{wanted}` is expected")]
    Kind {
        at: usize,
        found: String,
        wanted: String,
    },
    #[error("resource {at} can't be decoded: {text}")]
    Decode { at: usize, text: String },
    #[error("{place}: {text}")]
    Content { place: String, text: String },
}

pub(crate) fn content(place: impl Into<String>, text: impl Into<String>) -> Unreadable {
    Unreadable::Content {
        place: place.into(),
        text: text.into(),
    }
}

pub(crate) fn address(node: NodeId) -> core::Address {
    let [a, b, c, d] = node.address;
    core::Address {
        address: Some(core::address::Address::SocketAddress(core::SocketAddress {
            address: format!("{a}.{b}.{c}.{d}"),
            port_specifier: Some(core::socket_address::PortSpecifier::PortValue(u32::from(
                node.port,
            ))),
            ..core::SocketAddress::default()
        })),
    }
}

pub(crate) fn node_id(address: Option<&core::Address>) -> Result<NodeId, String> {
    let Some(core::address::Address::SocketAddress(socket)) =
        address.and_then(|a| a.address.as_ref())
    else {
        return Err("a socket address is expected".to_string());
    };
    let text = &socket.address;
    let ip: std::net::Ipv4Addr = text
        .parse()
        .map_err(|_| format!("`{text}` is no IPv4 address"))?;
    let port = match socket.port_specifier {
        Some(core::socket_address::PortSpecifier::PortValue(port)) => port,
        _ => return Err("a port number is expected".to_string()),
    };
    let port = u16::try_from(port)
        .ok()
        .filter(|port| *port > 0)
        .ok_or(format!("{port} is no port"))?;
    Ok(NodeId {
        address: ip.octets(),
        port,
    })
}
