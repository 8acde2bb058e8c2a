//! Parses nginx's addresses and durations.

use wheelspread::ids::NodeId;
use wheelspread::time::Span;

const DEFAULT_PORT: u16 = 80;

const SPAN_LIMIT_SECONDS: f64 = 30.0 * 86400.0;

/// Why a server cannot be listed as a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AddressError {
    #[error("a Unix socket can't be reached by proxies on other machines")]
    UnixSocket,
    #[error("only IPv4 addresses are supported")]
    Ipv6,
    #[error("a variable is not an address")]
    Variable,
    #[error("its port can't be read")]
    Port,
    #[error("host names are not resolved: list the addresses instead")]
    HostName,
}

/// Parses a server's address: IPv4 with an optional port, 80 by default.
pub(super) fn address(text: &str) -> Result<NodeId, AddressError> {
    if text.starts_with("unix:") {
        return Err(AddressError::UnixSocket);
    }
    if text.starts_with('[') {
        return Err(AddressError::Ipv6);
    }
    if text.contains('$') {
        return Err(AddressError::Variable);
    }
    let (host, port) = match text.rsplit_once(':') {
        Some((host, port)) => (host, port.parse().map_err(|_| AddressError::Port)?),
        None => (text, DEFAULT_PORT),
    };
    let host: std::net::Ipv4Addr = host.parse().map_err(|_| AddressError::HostName)?;
    Ok(NodeId {
        address: host.octets(),
        port,
    })
}

/// Parses nginx's durations, such as `60`, `60s`, `1m30s` or `500ms`; `None` for other text, for zero, and for 30 days
/// or more.
pub(super) fn span(text: &str) -> Option<Span> {
    let mut seconds = 0.0;
    let mut rest = text;
    if rest.is_empty() {
        return None;
    }
    while !rest.is_empty() {
        let digits = rest
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(rest.len());
        let number: f64 = rest[..digits].parse().ok()?;
        let unit_end = rest[digits..]
            .find(|c: char| c.is_ascii_digit())
            .map_or(rest.len(), |at| digits + at);
        let factor = match &rest[digits..unit_end] {
            "ms" => 1e-3,
            "" | "s" => 1.0,
            "m" => 60.0,
            "h" => 3600.0,
            "d" => 86400.0,
            _ => return None,
        };
        seconds += number * factor;
        rest = &rest[unit_end..];
    }
    (seconds > 0.0 && seconds < SPAN_LIMIT_SECONDS).then(|| Span::from_seconds(seconds))
}
