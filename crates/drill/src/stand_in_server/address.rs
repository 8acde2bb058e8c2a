//! Proxies call from loopback addresses of their own, so that the stand-ins can tell zone and proxy.

use std::net::{IpAddr, Ipv4Addr};

/// Proxies call from addresses of their own, which tell zone and number.
pub fn proxy_address(zone: usize, proxy: usize) -> Ipv4Addr {
    Ipv4Addr::new(
        127,
        1 + zone as u8,
        (proxy / 250) as u8,
        (1 + proxy % 250) as u8,
    )
}

pub fn proxy_of(address: IpAddr) -> (usize, usize) {
    match address {
        IpAddr::V4(v4) => {
            let [_, zone, high, low] = v4.octets();
            (
                usize::from(zone).saturating_sub(1),
                usize::from(high) * 250 + usize::from(low).saturating_sub(1),
            )
        }
        IpAddr::V6(_) => (0, 0),
    }
}
