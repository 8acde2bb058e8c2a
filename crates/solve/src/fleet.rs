//! What is solved: hosts, what is asked for, and what it costs.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    #[default]
    Ready,
    /// Carries a part of its capacity.
    Cold,
    /// Carries nothing.
    Draining,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    pub id: String,
    pub zone: String,
    /// Hosts that are built alike; only told and asked for by it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Seconds of work a second: cores times their speed.
    pub capacity: f64,
    #[serde(default)]
    pub state: HostState,
    /// Value that a second of work costs there.
    #[serde(default)]
    pub price: f64,
    /// Seconds of work a second that it is given at most, whatever it can do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_at_most: Option<f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    pub id: String,
    pub zone: String,
    /// Invocations a second, by operation.
    pub demand: BTreeMap<String, f64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    pub name: String,
    /// For each invocation answered within its latency objective.
    pub billed_value: f64,
    /// Seconds of work of an invocation.
    pub work: f64,
    /// Seconds that an invocation keeps its connection; as long as its work where it is not told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds: Option<f64>,
    #[serde(default)]
    pub stays_in_zone: bool,
    /// Of what is asked for: so much is let in before any other operation gets more.
    #[serde(default)]
    pub least_share: f64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub gateways: Vec<Gateway>,
    pub operations: Vec<Operation>,
    /// Value that an invocation costs which crosses zones.
    #[serde(default)]
    pub cross_zone_price: f64,
    /// Value a second that a connection in use costs.
    #[serde(default)]
    pub connection_price: f64,
    /// Seconds longer that an invocation keeps its connection when it crosses zones.
    #[serde(default)]
    pub crossing_seconds: f64,
    /// Of a host's capacity: with more, answers come too late.
    #[serde(default = "fill")]
    pub fill_at_most: f64,
    /// Of its capacity, what a cold host may carry.
    #[serde(default = "cold")]
    pub cold_share: f64,
    /// Parts of `fill_at_most` up to which a host fills before it costs more to fill it further, and what
    /// that costs, as parts of the highest value of a second of work.
    #[serde(default = "steps")]
    pub steps: Vec<(f64, f64)>,
    /// What hosts carry now, in seconds of work a second; used with `change_price`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub standing: BTreeMap<String, f64>,
    /// Value that a second of work costs which goes to a place that does not carry it now: for less than it
    /// nothing moves.
    #[serde(default)]
    pub change_price: f64,
}

fn fill() -> f64 {
    0.85
}

fn cold() -> f64 {
    0.2
}

fn steps() -> Vec<(f64, f64)> {
    vec![(0.6, 0.0), (0.8, 0.01), (1.0, 0.03)]
}

/// Why there is nothing to solve.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SolveError {
    #[error("no host")]
    NoHosts,
    #[error("no operation")]
    NoOperations,
    #[error("{what} `{name}` is named twice")]
    Twice { what: &'static str, name: String },
    #[error("host `{id}`: {field} {value} should be between 0 and 1e9")]
    Host {
        id: String,
        field: &'static str,
        value: f64,
    },
    #[error("operation `{name}`: {field} {value} can't be")]
    Operation {
        name: String,
        field: &'static str,
        value: f64,
    },
    #[error("gateway `{id}`: {value} invocations a second of `{operation}`")]
    Demand {
        id: String,
        operation: String,
        value: f64,
    },
    #[error("gateway `{id}` asks for `{operation}`, which is no operation")]
    UnknownOperation { id: String, operation: String },
    #[error("standing: `{id}` is no host")]
    UnknownHost { id: String },
    #[error("{field}: {value} can't be")]
    Figure { field: &'static str, value: f64 },
    #[error("steps should rise to 1, their costs too")]
    Steps,
    #[error("hosts have no capacity left: all drain, or theirs is 0")]
    NoCapacity,
    #[error("zone `{zone}` asks for `{operation}`, which stays there, and has no host for it")]
    Stranded { zone: String, operation: String },
}

fn figure(value: f64) -> bool {
    (0.0..=1e9).contains(&value)
}

impl Fleet {
    pub fn check(&self) -> Result<(), SolveError> {
        if self.hosts.is_empty() {
            return Err(SolveError::NoHosts);
        }
        if self.operations.is_empty() {
            return Err(SolveError::NoOperations);
        }
        let mut seen = BTreeSet::new();
        for host in &self.hosts {
            if !seen.insert(&host.id) {
                return Err(SolveError::Twice {
                    what: "host",
                    name: host.id.clone(),
                });
            }
            let most = host.load_at_most.unwrap_or(0.0);
            for (field, value) in [
                ("capacity", host.capacity),
                ("price", host.price),
                ("load_at_most", most),
            ] {
                if !figure(value) {
                    return Err(SolveError::Host {
                        id: host.id.clone(),
                        field,
                        value,
                    });
                }
            }
        }
        let seen_hosts = seen;
        let mut names = BTreeSet::new();
        for operation in &self.operations {
            let name = || operation.name.clone();
            if !names.insert(operation.name.as_str()) {
                return Err(SolveError::Twice {
                    what: "operation",
                    name: name(),
                });
            }
            if !figure(operation.billed_value) {
                let value = operation.billed_value;
                return Err(SolveError::Operation {
                    name: name(),
                    field: "billed_value",
                    value,
                });
            }
            if !(operation.work > 0.0 && operation.work <= 1e6) {
                return Err(SolveError::Operation {
                    name: name(),
                    field: "work",
                    value: operation.work,
                });
            }
            if let Some(value) = operation
                .holds
                .filter(|holds| !(*holds >= 0.0 && *holds <= 1e6))
            {
                return Err(SolveError::Operation {
                    name: name(),
                    field: "holds",
                    value,
                });
            }
            if !(0.0..=1.0).contains(&operation.least_share) {
                let value = operation.least_share;
                return Err(SolveError::Operation {
                    name: name(),
                    field: "least_share",
                    value,
                });
            }
        }
        let mut seen = BTreeSet::new();
        for gateway in &self.gateways {
            let id = || gateway.id.clone();
            if !seen.insert(&gateway.id) {
                return Err(SolveError::Twice {
                    what: "gateway",
                    name: id(),
                });
            }
            for (operation, value) in &gateway.demand {
                if !names.contains(operation.as_str()) {
                    return Err(SolveError::UnknownOperation {
                        id: id(),
                        operation: operation.clone(),
                    });
                }
                if !figure(*value) {
                    return Err(SolveError::Demand {
                        id: id(),
                        operation: operation.clone(),
                        value: *value,
                    });
                }
            }
        }
        for (field, value, most) in [
            ("cross_zone_price", self.cross_zone_price, 1e9),
            ("connection_price", self.connection_price, 1e9),
            ("crossing_seconds", self.crossing_seconds, 1e6),
            ("change_price", self.change_price, 1e9),
            ("fill_at_most", self.fill_at_most, 1.0),
            ("cold_share", self.cold_share, 1.0),
        ] {
            if !(value >= 0.0 && value <= most) {
                return Err(SolveError::Figure { field, value });
            }
        }
        for (id, value) in &self.standing {
            if !seen_hosts.contains(id) {
                return Err(SolveError::UnknownHost { id: id.clone() });
            }
            if !figure(*value) {
                return Err(SolveError::Host {
                    id: id.clone(),
                    field: "standing",
                    value: *value,
                });
            }
        }
        let rise = self
            .steps
            .windows(2)
            .all(|two| two[0].0 < two[1].0 && two[0].1 <= two[1].1);
        let ends = self
            .steps
            .first()
            .is_some_and(|step| step.0 > 0.0 && step.1 >= 0.0)
            && self
                .steps
                .last()
                .is_some_and(|step| step.0 == 1.0 && step.1.is_finite());
        if !(rise && ends) {
            return Err(SolveError::Steps);
        }
        self.reachable()
    }

    fn reachable(&self) -> Result<(), SolveError> {
        let open: BTreeSet<&str> = self
            .hosts
            .iter()
            .filter(|host| self.room(host) > 0.0)
            .map(|host| host.zone.as_str())
            .collect();
        if open.is_empty() {
            return Err(SolveError::NoCapacity);
        }
        for gateway in &self.gateways {
            for operation in self
                .operations
                .iter()
                .filter(|operation| operation.stays_in_zone)
            {
                let asked = gateway.demand.get(&operation.name).copied().unwrap_or(0.0);
                if asked > 0.0 && !open.contains(gateway.zone.as_str()) {
                    let (zone, operation) = (gateway.zone.clone(), operation.name.clone());
                    return Err(SolveError::Stranded { zone, operation });
                }
            }
        }
        Ok(())
    }

    /// What the hosts of one zone and price carry now, all together, as far as they may.
    pub fn carried_now(&self, zone: &str, price: f64) -> f64 {
        let alike = self
            .hosts
            .iter()
            .filter(|host| host.zone == zone && host.price == price);
        alike
            .map(|host| {
                self.standing
                    .get(&host.id)
                    .copied()
                    .unwrap_or(0.0)
                    .min(self.room(host))
            })
            .sum()
    }

    /// What an invocation costs on its way: crossing zones, and its connection while it is kept.
    pub fn way(&self, operation: &Operation, away: bool) -> f64 {
        let (crossing, longer) = if away {
            (self.cross_zone_price, self.crossing_seconds)
        } else {
            (0.0, 0.0)
        };
        crossing + self.connection_price * (operation.holds.unwrap_or(operation.work) + longer)
    }

    /// Seconds of work a second that a host may be given.
    pub fn room(&self, host: &Host) -> f64 {
        let part = match host.state {
            HostState::Ready => 1.0,
            HostState::Cold => self.cold_share,
            HostState::Draining => 0.0,
        };
        (host.capacity * part * self.fill_at_most).min(host.load_at_most.unwrap_or(f64::INFINITY))
    }
}
