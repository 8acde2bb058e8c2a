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
    Cold {
        /// The part of its capacity that it may be given.
        part: f64,
    },
    /// Its capacity is 0.
    NoCapacity,
    /// Its own limit is below what its capacity would allow.
    Limited {
        /// The limit, in seconds of work a second.
        load: f64,
    },
    /// All it may be given is used.
    Full {
        /// The value of one more second of work a second.
        worth: f64,
    },
    /// Demand is less than what hosts may be given.
    RoomToSpare {
        /// The part of its limit that is used.
        filled: f64,
    },
    /// It costs more than it would gain, while cheaper hosts have headroom.
    TooDear {
        /// The price of a second of work there.
        price: f64,
    },
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Reason::Draining => write!(f, "it drains: it is given nothing"),
            Reason::Cold { part } => {
                write!(f, "it is cold: it may be given {part} of its capacity")
            }
            Reason::NoCapacity => write!(f, "its capacity is 0"),
            Reason::Limited { load } => write!(f, "its own limit of {load} binds"),
            Reason::Full { worth } => {
                write!(
                    f,
                    "it is full; one more second of work a second there is worth {worth:.3}"
                )
            }
            Reason::RoomToSpare { filled } => {
                write!(
                    f,
                    "there is room to spare: it is filled to {:.0}% of what it may be given",
                    filled * 100.0
                )
            }
            Reason::TooDear { price } => {
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
pub struct Explained {
    /// The host.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Its weight.
    pub weight: f64,
    /// Seconds of work a second that it is given.
    pub load: f64,
    /// Seconds of work a second that it may be given.
    pub room: f64,
    /// What decided.
    pub reasons: Vec<Reason>,
    /// Other hosts of its zone and price, which are loaded like it.
    pub alike: Vec<String>,
    /// What its zone gets: the operation, the zone it comes from, and invocations a second.
    pub gets: Vec<(String, String, f64)>,
}

/// Loads and limits closer than these parts of a limit count as equal.
const FULL_TOLERANCE: f64 = 1e-9;
const LIMIT_TOLERANCE: f64 = 1e-12;

/// Explains a host's weight; `None` if the fleet or the solution has no such host.
pub fn explain(fleet: &Fleet, solution: &Solution, id: &str) -> Option<Explained> {
    let host = fleet.hosts.iter().find(|host| host.id == id)?;
    let result = solution.hosts.iter().find(|result| result.id == id)?;
    let alike = fleet.hosts.iter().filter(|other| {
        other.id != host.id
            && other.zone == host.zone
            && other.price == host.price
            && fleet.room(other) > 0.0
    });
    let gets = solution.flows.iter().filter(|flow| flow.to == host.zone);
    Some(Explained {
        id: id.to_string(),
        zone: host.zone.clone(),
        weight: result.weight,
        load: result.load,
        room: fleet.room(host),
        reasons: reasons(fleet, host, result),
        alike: alike.map(|other| other.id.clone()).collect(),
        gets: gets
            .map(|flow| (flow.operation.clone(), flow.from.clone(), flow.invocations))
            .collect(),
    })
}

fn reasons(fleet: &Fleet, host: &Host, result: &HostResult) -> Vec<Reason> {
    let limit = fleet.room(host);
    let mut reasons = Vec::new();
    match host.state {
        HostState::Draining => reasons.push(Reason::Draining),
        HostState::Cold => reasons.push(Reason::Cold {
            part: fleet.cold_share,
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
    reasons.extend(own_limit.map(|load| Reason::Limited { load }));
    let filled = result.load / limit;
    reasons.push(if filled >= 1.0 - FULL_TOLERANCE {
        Reason::Full {
            worth: result.shadow_price,
        }
    } else if result.load <= 0.0 && host.price > 0.0 {
        Reason::TooDear { price: host.price }
    } else {
        Reason::RoomToSpare { filled }
    });
    reasons
}
