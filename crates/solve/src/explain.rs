//! Explains a host's weight from the solution alone.

use crate::fleet::{Fleet, Host, HostState};
use crate::solution::{HostResult, Solution};
use std::fmt;

/// What decided a weight, in the order of the checks.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// It drains.
    Draining,
    /// It is in slow start.
    SlowStart {
        /// The part of its capacity that it may be given.
        ratio: f64,
    },
    /// Its capacity is 0.
    NoCapacity,
    /// Its own limit is below what its capacity would allow.
    LoadLimit {
        /// The limit, in seconds of work a second.
        limit: f64,
    },
    /// All it may be given is used.
    Full {
        /// The value of one more second of work a second.
        shadow_price: f64,
    },
    /// Demand is less than what hosts may be given.
    BelowLimit {
        /// The part of its limit that is used.
        utilization: f64,
    },
    /// It costs more than it would gain, while cheaper hosts have headroom.
    TooExpensive {
        /// The price of a second of work there.
        price: f64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Reason::Draining => write!(f, "it drains: it is given nothing"),
            Reason::SlowStart { ratio } => {
                write!(f, "it is cold: it may be given {ratio} of its capacity")
            }
            Reason::NoCapacity => write!(f, "its capacity is 0"),
            Reason::LoadLimit { limit } => write!(f, "its own limit of {limit} binds"),
            Reason::Full { shadow_price } => {
                write!(
                    f,
                    "it is full; one more second of work a second there is worth {shadow_price:.3}"
                )
            }
            Reason::BelowLimit { utilization } => {
                write!(
                    f,
                    "there is room to spare: it is filled to {:.0}% of what it may be given",
                    utilization * 100.0
                )
            }
            Reason::TooExpensive { price } => {
                write!(
                    f,
                    "a second of work costs {price} there, and cheaper hosts have room"
                )
            }
        }
    }
}

/// Why a host got its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The host.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
    /// Seconds of work a second that it is given.
    pub load: f64,
    /// Seconds of work a second that it may be given.
    pub load_limit: f64,
    /// What decided.
    pub reasons: Vec<Reason>,
    /// Other hosts of its zone and price, which are loaded like it.
    pub peers: Vec<String>,
    /// What its zone gets: the operation, the zone it comes from, and invocations a second.
    pub zone_flows: Vec<(String, String, f64)>,
}

/// Loads and limits closer than these parts of a limit count as equal.
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
