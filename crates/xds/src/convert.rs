//! Conversions between the types of this workspace and xDS messages that several modules share.

use crate::error::FieldError;
use wheelspread::ids::NodeId;
use wheelspread::time::Span;
use xds_api::pb::envoy::config::core::v3 as core;
use xds_api::pb::envoy::config::endpoint::v3 as endpoint;
use xds_api::pb::google::protobuf::Duration;

const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_MICRO: i32 = 1000;
const NANOS_PER_SECOND: f64 = 1e9;

pub(crate) fn duration(span: Span) -> Duration {
    let micros = span.micros();
    Duration {
        seconds: micros.div_euclid(MICROS_PER_SECOND),
        nanos: micros.rem_euclid(MICROS_PER_SECOND) as i32 * NANOS_PER_MICRO,
    }
}

pub(crate) fn span(duration: &Duration) -> Span {
    Span::from_seconds(duration.seconds as f64 + f64::from(duration.nanos) / NANOS_PER_SECOND)
}

pub(crate) fn address(node: NodeId) -> core::Address {
    let [a, b, c, d] = node.address;
    let port = core::socket_address::PortSpecifier::PortValue(u32::from(node.port));
    core::Address {
        address: Some(core::address::Address::SocketAddress(core::SocketAddress {
            address: format!("{a}.{b}.{c}.{d}"),
            port_specifier: Some(port),
            ..core::SocketAddress::default()
        })),
    }
}

pub(crate) fn node_id(address: Option<&core::Address>) -> Result<NodeId, FieldError> {
    let Some(core::address::Address::SocketAddress(socket)) =
        address.and_then(|address| address.address.as_ref())
    else {
        return Err(FieldError::NoSocketAddress);
    };
    let text = &socket.address;
    let ip: std::net::Ipv4Addr = text
        .parse()
        .map_err(|_| FieldError::NotIpv4(text.clone()))?;
    let Some(core::socket_address::PortSpecifier::PortValue(number)) = socket.port_specifier else {
        return Err(FieldError::NoPortNumber);
    };
    let port = u16::try_from(number)
        .ok()
        .filter(|port| *port > 0)
        .ok_or(FieldError::InvalidPort(number))?;
    Ok(NodeId {
        address: ip.octets(),
        port,
    })
}

/// The node that an entry refers to.
pub(crate) fn entry_node(entry: &endpoint::LbEndpoint) -> Result<NodeId, FieldError> {
    match &entry.host_identifier {
        Some(endpoint::lb_endpoint::HostIdentifier::Endpoint(host)) => {
            node_id(host.address.as_ref())
        }
        _ => Err(FieldError::NoEndpointAddress),
    }
}

/// The host identifier of an entry for this node.
pub(crate) fn host_identifier(node: NodeId) -> endpoint::lb_endpoint::HostIdentifier {
    endpoint::lb_endpoint::HostIdentifier::Endpoint(endpoint::Endpoint {
        address: Some(address(node)),
        ..endpoint::Endpoint::default()
    })
}

/// The locality of a zone.
pub(crate) fn locality(zone: &str) -> core::Locality {
    core::Locality {
        zone: zone.to_string(),
        ..core::Locality::default()
    }
}

/// The zone of a group of entries; empty if the group has no locality.
pub(crate) fn zone_of(group: &endpoint::LocalityLbEndpoints) -> &str {
    group
        .locality
        .as_ref()
        .map_or("", |locality| locality.zone.as_str())
}

/// One locality group for each zone, in the order of the zone names.
pub(crate) fn locality_groups(
    zones: std::collections::BTreeMap<&str, Vec<endpoint::LbEndpoint>>,
) -> Vec<endpoint::LocalityLbEndpoints> {
    let group = |(zone, lb_endpoints): (&str, _)| endpoint::LocalityLbEndpoints {
        locality: Some(locality(zone)),
        lb_endpoints,
        ..endpoint::LocalityLbEndpoints::default()
    };
    zones.into_iter().map(group).collect()
}
