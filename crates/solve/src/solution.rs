//! From a fleet to flows and back: gateways of a zone that ask for the same operation are one source,
//! hosts of a zone and price are one room, and what a room carries is shared among its hosts by what they
//! can do, so that hosts that are alike are loaded alike.

use crate::fleet::{Fleet, SolveError};
use crate::flow::{maximize_gain, Sink, Source};
use serde::Serialize;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    Optimal,
    /// The deadline came first; what is told is feasible.
    CutShort,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HostResult {
    pub id: String,
    pub zone: String,
    /// Its part of all work, times the number of hosts that carry any: 1 is an even part.
    pub weight: f64,
    /// Seconds of work a second.
    pub load: f64,
    pub capacity: f64,
    /// Value a second that one more second of work a second would bring; 0 where there is room.
    pub shadow_price: f64,
    /// What keeps it from carrying more.
    pub binds: &'static str,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct AdmissionResult {
    pub id: String,
    pub operation: String,
    /// Of what it asks for.
    pub admitted: f64,
}

/// Invocations a second of an operation from one zone to another.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FlowResult {
    pub operation: String,
    pub from: String,
    pub to: String,
    pub invocations: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Solution {
    pub status: Status,
    /// Value a second less the prices of hosts, of crossing zones, of connections and of filling hosts far.
    pub objective: f64,
    /// Billed value a second of what is let in.
    pub value_per_s: f64,
    pub hosts: Vec<HostResult>,
    pub gateways: Vec<AdmissionResult>,
    pub flows: Vec<FlowResult>,
    /// Steps of the method.
    pub paths: usize,
}

/// What is asked for by a zone of one operation, up to its least share or beyond it.
struct Wish {
    zone: String,
    operation: usize,
    least: bool,
}

/// Over the largest gain: what comes before everything else counts so much more.
const FIRST: f64 = 4.0;

/// Solves a fleet. `over` is asked now and then whether to stop with the best so far.
pub fn solve(fleet: &Fleet, over: &mut dyn FnMut() -> bool) -> Result<Solution, SolveError> {
    fleet.check()?;
    let mut asked: BTreeMap<(&str, usize), f64> = BTreeMap::new();
    for gateway in &fleet.gateways {
        for (place, operation) in fleet.operations.iter().enumerate() {
            let demand = gateway.demand.get(&operation.name).copied().unwrap_or(0.0);
            *asked.entry((&gateway.zone, place)).or_insert(0.0) += demand * operation.work;
        }
    }
    // Hosts of one zone and price are one place; each of the steps of filling it is a room, and the rooms of
    // a zone are a class.
    let mut zones: Vec<&str> = Vec::new();
    let mut classes: Vec<(&str, f64, f64)> = Vec::new();
    let mut class_of = Vec::new();
    for host in &fleet.hosts {
        let found = classes
            .iter()
            .position(|class| class.0 == host.zone && class.1 == host.price);
        let class = found.unwrap_or_else(|| {
            classes.push((&host.zone, host.price, 0.0));
            classes.len() - 1
        });
        if !zones.contains(&host.zone.as_str()) {
            zones.push(&host.zone);
        }
        classes[class].2 += fleet.room(host);
        class_of.push(class);
    }
    let dearest = fleet
        .operations
        .iter()
        .map(|o| o.billed_value / o.work)
        .fold(0.0, f64::max);
    let mut rooms = Vec::new();
    let mut places = Vec::new();
    for (place, (zone, price, room)) in classes.iter().enumerate() {
        let class = zones.iter().position(|known| known == zone).unwrap_or(0);
        for part in parts(fleet, *room, fleet.carried_now(zone, *price)) {
            rooms.push(Sink {
                class,
                amount: part.amount,
                cost: part.filling * dearest + part.change + price,
            });
            places.push(place);
        }
    }
    let gains = |zone: &str, place: usize, bonus: f64| -> Vec<Option<f64>> {
        let operation = &fleet.operations[place];
        let to = |to: &&str| {
            let away = *to != zone;
            let gain = (operation.billed_value - fleet.way(operation, away)) / operation.work;
            (!(away && operation.stays_in_zone)).then_some(gain + bonus)
        };
        zones.iter().map(to).collect()
    };
    let highest = |price: f64| {
        dearest
            + price
            + fleet.change_price
            + fleet.steps.last().map_or(0.0, |step| step.1 * dearest)
    };
    let dear = fleet
        .hosts
        .iter()
        .map(|host| host.price)
        .fold(0.0, f64::max);
    let way = fleet
        .operations
        .iter()
        .map(|o| fleet.way(o, true) / o.work)
        .fold(0.0, f64::max);
    let bonus = FIRST * (highest(dear) + way);
    let (mut wishes, mut sources) = (Vec::new(), Vec::new());
    for ((zone, place), work) in &asked {
        let least = fleet.operations[*place].least_share;
        for (is_least, amount, bonus) in [
            (true, work * least, bonus),
            (false, work * (1.0 - least), 0.0),
        ] {
            if amount > 0.0 {
                wishes.push(Wish {
                    zone: zone.to_string(),
                    operation: *place,
                    least: is_least,
                });
                sources.push(Source {
                    amount,
                    gains: gains(zone, *place, bonus),
                });
            }
        }
    }
    let flows = maximize_gain(&sources, &rooms, over);
    Ok(told(
        fleet,
        &asked,
        &classes,
        &class_of,
        (&rooms, &places),
        &wishes,
        &sources,
        &flows,
        bonus,
    ))
}

/// A part of what a place may be given, all of which costs the same.
struct Part {
    amount: f64,
    /// As a part of the highest value of a second of work.
    filling: f64,
    change: f64,
}

/// Cuts a place where it grows dearer: at the steps of filling it, and at what it carries now, beyond which
/// work would have to move here. What stands already is never dearer than what would come, so the parts
/// fill in their order.
fn parts(fleet: &Fleet, room: f64, carried: f64) -> Vec<Part> {
    let mut parts = Vec::new();
    let mut before = 0.0;
    for (until, filling) in &fleet.steps {
        let until = room * until;
        let stands = carried.clamp(before, until);
        if stands > before {
            parts.push(Part {
                amount: stands - before,
                filling: *filling,
                change: 0.0,
            });
        }
        if until > stands || until <= before {
            let change = if fleet.standing.is_empty() {
                0.0
            } else {
                fleet.change_price
            };
            parts.push(Part {
                amount: (until - stands).max(0.0),
                filling: *filling,
                change,
            });
        }
        before = until;
    }
    parts
}

#[allow(clippy::too_many_arguments)]
fn told(
    fleet: &Fleet,
    asked: &BTreeMap<(&str, usize), f64>,
    classes: &[(&str, f64, f64)],
    class_of: &[usize],
    (rooms, places): (&[Sink], &[usize]),
    wishes: &[Wish],
    sources: &[Source],
    flows: &crate::flow::Flows,
    bonus: f64,
) -> Solution {
    let (mut objective, mut value) = (0.0, 0.0);
    let mut carried = vec![0.0; classes.len()];
    let mut let_in: BTreeMap<(&str, usize), f64> = BTreeMap::new();
    let mut ways: BTreeMap<(usize, &str, &str), f64> = BTreeMap::new();
    for (at, wish) in wishes.iter().enumerate() {
        let operation = &fleet.operations[wish.operation];
        for (place, room) in rooms.iter().enumerate() {
            let work = flows.work[at][place];
            if work <= 0.0 {
                continue;
            }
            let gain = sources[at].gains[room.class].unwrap_or(0.0);
            objective += work * (gain - room.cost - if wish.least { bonus } else { 0.0 });
            value += work / operation.work * operation.billed_value;
            carried[places[place]] += work;
            *let_in.entry((&wish.zone, wish.operation)).or_insert(0.0) += work;
            *ways
                .entry((wish.operation, &wish.zone, classes[places[place]].0))
                .or_insert(0.0) += work / operation.work;
        }
    }
    let all: f64 = carried.iter().sum();
    let busy = fleet
        .hosts
        .iter()
        .zip(class_of)
        .filter(|(host, class)| fleet.room(host) > 0.0 && carried[**class] > 0.0);
    let busy = busy.count().max(1) as f64;
    let price = |class: usize| {
        // The last room of a place is the one that its capacity ends in.
        let last = places.iter().rposition(|place| *place == class);
        let price = last
            .and_then(|last| flows.sink_price.get(last))
            .copied()
            .unwrap_or(0.0);
        // What comes first is told apart from value.
        if price > bonus {
            price - bonus
        } else {
            price
        }
    };
    let host = |(host, class): (&crate::Host, &usize)| {
        let (room, whole) = (fleet.room(host), classes[*class].2);
        let load = if whole > 0.0 {
            carried[*class] * room / whole
        } else {
            0.0
        };
        let shadow = if room > 0.0 { price(*class) } else { 0.0 };
        HostResult {
            id: host.id.clone(),
            zone: host.zone.clone(),
            weight: if all > 0.0 { load / all * busy } else { 0.0 },
            load,
            capacity: host.capacity,
            shadow_price: shadow,
            binds: match (room > 0.0, load >= room * (1.0 - 1e-9), load > 0.0) {
                (false, ..) => "draining or without capacity",
                (_, true, _) => "its capacity",
                (_, _, true) => "nothing",
                (_, _, false) => "not needed, or too dear",
            },
        }
    };
    let mut gateways = Vec::new();
    for gateway in &fleet.gateways {
        for (place, operation) in fleet.operations.iter().enumerate() {
            if gateway.demand.get(&operation.name).copied().unwrap_or(0.0) > 0.0 {
                let key = (gateway.zone.as_str(), place);
                let share = let_in.get(&key).copied().unwrap_or(0.0) / asked[&key].max(1e-300);
                gateways.push(AdmissionResult {
                    id: gateway.id.clone(),
                    operation: operation.name.clone(),
                    admitted: share.min(1.0),
                });
            }
        }
    }
    let way = |((operation, from, to), invocations): (&(usize, &str, &str), &f64)| FlowResult {
        operation: fleet.operations[*operation].name.clone(),
        from: from.to_string(),
        to: to.to_string(),
        invocations: *invocations,
    };
    Solution {
        status: if flows.cut_short {
            Status::CutShort
        } else {
            Status::Optimal
        },
        objective,
        value_per_s: value,
        hosts: fleet.hosts.iter().zip(class_of).map(host).collect(),
        gateways,
        flows: ways.iter().map(way).collect(),
        paths: flows.paths,
    }
}
