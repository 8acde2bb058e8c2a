//! Explains a host's weight from the fleet and its solution, without solving again.

use crate::fleet::{Fleet, Host, HostState};
use crate::solution::{HostResult, Solution};
use std::fmt;

/// A reason for a host's weight, in the order in which reasons are checked.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The host is draining.
    Draining,
    /// The host is in slow start.
    SlowStart {
        /// The ratio of its normal load limit that applies during slow start.
        ratio: f64,
    },
    /// The host's capacity is 0.
    NoCapacity,
    /// The host's `load_at_most` is not above the limit that its capacity allows.
    LoadLimit {
        /// The value of `load_at_most`, in seconds of work a second.
        limit: f64,
    },
    /// The host's load has reached its limit.
    Full {
        /// The value a second that one more second of work a second would bring.
        shadow_price: f64,
    },
    /// The host's load is below its limit.
    BelowLimit {
        /// The ratio of its load to its limit.
        utilization: f64,
    },
    /// The host has a price and no load: cheaper hosts have headroom, or work there would cost more than it gains.
    TooExpensive {
        /// The price of a second of work at the host.
        price: f64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Reason::Draining => write!(f, "it drains and gets no load"),
            Reason::SlowStart { ratio } => {
                write!(
                    f,
                    "it is in slow start: its limit is {ratio} of the normal limit"
                )
            }
            Reason::NoCapacity => write!(f, "its capacity is 0"),
            Reason::LoadLimit { limit } => write!(f, "its own load limit of {limit} applies"),
            Reason::Full { shadow_price } => {
                write!(
                    f,
                    "it is at its limit; one more second of work a second would be worth {shadow_price:.3}"
                )
            }
            Reason::BelowLimit { utilization } => {
                write!(
                    f,
                    "it is below its limit: its load is {:.0}% of the limit",
                    utilization * 100.0
                )
            }
            Reason::TooExpensive { price } => {
                write!(
                    f,
                    "a second of work costs {price} at this host, and cheaper hosts have headroom"
                )
            }
        }
    }
}

/// A host's weight with the reasons for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The host.
    pub id: String,
    /// The host's zone.
    pub zone: String,
    /// The host's weight.
    pub weight: f64,
    /// The host's load, in seconds of work a second.
    pub load: f64,
    /// The maximum load of the host, in seconds of work a second.
    pub load_limit: f64,
    /// The reasons for the weight.
    pub reasons: Vec<Reason>,
    /// Other hosts of the same zone and price, which have the same ratio of load to limit.
    pub peers: Vec<String>,
    /// Flows into the host's zone: the operation, the zone of its proxies, and invocations a second.
    pub zone_flows: Vec<(String, String, f64)>,
}

/// Loads and limits that differ by less than these ratios of a limit count as equal.
const FULL_TOLERANCE: f64 = 1e-9;
const LIMIT_TOLERANCE: f64 = 1e-12;

/// Explains a host's weight; `None` if the fleet or the solution has no such host.
pub fn explain(fleet: &Fleet, solution: &Solution, id: &str) -> Option<Explanation> {
    let host = fleet.hosts.iter().find(|host| host.id == id)?;
    let result = solution.hosts.iter().find(|result| result.id == id)?;
    let peers = fleet.hosts.iter().filter(|other| {
        other.id != host.id
            && other.zone == host.zone
            && other.price == host.price
            && fleet.load_limit(other) > 0.0
    });
    let zone_flows = solution.flows.iter().filter(|flow| flow.to == host.zone);
    Some(Explanation {
        id: id.to_string(),
        zone: host.zone.clone(),
        weight: result.weight,
        load: result.load,
        load_limit: fleet.load_limit(host),
        reasons: reasons(fleet, host, result),
        peers: peers.map(|other| other.id.clone()).collect(),
        zone_flows: zone_flows
            .map(|flow| (flow.operation.clone(), flow.from.clone(), flow.invocations))
            .collect(),
    })
}

fn reasons(fleet: &Fleet, host: &Host, result: &HostResult) -> Vec<Reason> {
    let limit = fleet.load_limit(host);
    let mut reasons = Vec::new();
    match host.state {
        HostState::Draining => reasons.push(Reason::Draining),
        HostState::Warming => reasons.push(Reason::SlowStart {
            ratio: fleet.cold_share,
        }),
        HostState::Ready => {}
    }
    if host.capacity <= 0.0 {
        reasons.push(Reason::NoCapacity);
    }
    if limit <= 0.0 {
        return reasons;
    }
    let own_limit = host
        .load_at_most
        .filter(|load| *load <= limit * (1.0 + LIMIT_TOLERANCE));
    reasons.extend(own_limit.map(|limit| Reason::LoadLimit { limit }));
    let utilization = result.load / limit;
    reasons.push(if utilization >= 1.0 - FULL_TOLERANCE {
        Reason::Full {
            shadow_price: result.shadow_price,
        }
    } else if result.load <= 0.0 && host.price > 0.0 {
        Reason::TooExpensive { price: host.price }
    } else {
        Reason::BelowLimit { utilization }
    });
    reasons
}
