//! Why a host got its weight, from the solution alone.

use crate::fleet::{Fleet, HostState};
use crate::solution::Solution;
use std::fmt;

/// What decided, in the order in which it is looked at.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    Draining,
    /// It may be given this part of its capacity while it is cold.
    Cold {
        part: f64,
    },
    NoCapacity,
    /// Its own limit lies below what its capacity would allow.
    Limited {
        load: f64,
    },
    /// All it may be given is used; one more second of work a second there would be worth so much.
    Full {
        worth: f64,
    },
    /// Its zone asks for less than its hosts can do.
    RoomToSpare {
        filled: f64,
    },
    /// What it costs is more than what it would gain, while cheaper hosts have room.
    TooDear {
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

#[derive(Clone, Debug, PartialEq)]
pub struct Explained {
    pub id: String,
    pub zone: String,
    pub weight: f64,
    pub load: f64,
    /// What it may be given.
    pub room: f64,
    pub reasons: Vec<Reason>,
    /// Hosts that are loaded like it, being of its zone and price.
    pub alike: Vec<String>,
    /// What its zone gets: operation, from where, invocations a second.
    pub gets: Vec<(String, String, f64)>,
}

pub fn explain(fleet: &Fleet, solution: &Solution, id: &str) -> Option<Explained> {
    let host = fleet.hosts.iter().find(|host| host.id == id)?;
    let told = solution.hosts.iter().find(|told| told.id == id)?;
    let room = fleet.room(host);
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
    let filled = if room > 0.0 { told.load / room } else { 0.0 };
    if room > 0.0 {
        if let Some(load) = host
            .load_at_most
            .filter(|most| *most <= room * (1.0 + 1e-12))
        {
            reasons.push(Reason::Limited { load });
        }
        reasons.push(
            match (filled >= 1.0 - 1e-9, told.load > 0.0, host.price > 0.0) {
                (true, ..) => Reason::Full {
                    worth: told.shadow_price,
                },
                (false, false, true) => Reason::TooDear { price: host.price },
                _ => Reason::RoomToSpare { filled },
            },
        );
    }
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
        weight: told.weight,
        load: told.load,
        room,
        reasons,
        alike: alike.map(|other| other.id.clone()).collect(),
        gets: gets
            .map(|flow| (flow.operation.clone(), flow.from.clone(), flow.invocations))
            .collect(),
    })
}
