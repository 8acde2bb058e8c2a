//! Loopback source addresses of proxies, from which the stand-ins derive zone and number.

use std::net::{IpAddr, Ipv4Addr};

/// The source address of a proxy, which encodes its zone and number.
pub fn proxy_address(zone: usize, proxy: usize) -> Ipv4Addr {
    Ipv4Addr::new(
        127,
        1 + zone as u8,
        (proxy / 250) as u8,
        (1 + proxy % 250) as u8,
    )
}

/// The zone and the number of the proxy with this source address.
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
