//! Checks of a fleet before it is solved.

use super::{Fleet, Host, Operation};
use std::collections::BTreeSet;

/// Why a fleet cannot be solved.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SolveInputError {
    /// The fleet has no host.
    #[error("no host")]
    NoHosts,
    /// The fleet has no operation.
    #[error("no operation")]
    NoOperations,
    /// Two things have the same name.
    #[error("{what} `{name}` is named twice")]
    Twice {
        /// What has the name.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A host's figure is out of range.
    #[error("host `{id}`: {field} {value} should be between 0 and 1e9")]
    Host {
        /// The name.
        id: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// An operation's figure is out of range.
    #[error("operation `{name}`: {field} {value} can't be")]
    Operation {
        /// The name.
        name: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A gateway's demand is out of range.
    #[error("gateway `{id}`: {value} invocations a second of `{operation}`")]
    Demand {
        /// The name.
        id: String,
        /// The operation.
        operation: String,
        /// Its value.
        value: f64,
    },
    /// A gateway asks for an operation that the fleet does not have.
    #[error("gateway `{id}` asks for `{operation}`, which is no operation")]
    UnknownOperation {
        /// The name.
        id: String,
        /// The operation.
        operation: String,
    },
    /// `standing` names a host that the fleet does not have.
    #[error("standing: `{id}` is no host")]
    UnknownHost {
        /// The name.
        id: String,
    },
    /// A figure of the fleet is out of range.
    #[error("{field}: {value} can't be")]
    Figure {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// `steps` are not in order, or do not end at 1.
    #[error("steps should rise to 1, their costs too")]
    Steps,
    /// No host may be given anything.
    #[error("hosts have no capacity left: all drain, or theirs is 0")]
    NoCapacity,
    /// An operation that stays in its zone has no host there.
    #[error("zone `{zone}` asks for `{operation}`, which stays there, and has no host for it")]
    Stranded {
        /// The zone.
        zone: String,
        /// The operation.
        operation: String,
    },
}

/// The largest price, capacity, value or rate.
const MAX_FIGURE: f64 = 1e9;

/// The longest time in seconds.
const MAX_SECONDS: f64 = 1e6;

fn is_figure(value: f64) -> bool {
    (0.0..=MAX_FIGURE).contains(&value)
}

impl Fleet {
    /// Whether the fleet can be solved; otherwise the first reason why not.
    pub fn check(&self) -> Result<(), SolveInputError> {
        if self.hosts.is_empty() {
            return Err(SolveInputError::NoHosts);
        }
        if self.operations.is_empty() {
            return Err(SolveInputError::NoOperations);
        }
        let hosts = self.check_hosts()?;
        let operations = self.check_operations()?;
        self.check_gateways(&operations)?;
        self.check_figures()?;
        self.check_standing(&hosts)?;
        self.check_steps()?;
        self.check_reachable()
    }

    /// The names of all hosts.
    fn check_hosts(&self) -> Result<BTreeSet<&str>, SolveInputError> {
        let mut ids = BTreeSet::new();
        for host in &self.hosts {
            if !ids.insert(host.id.as_str()) {
                return Err(named_twice("host", &host.id));
            }
            check_host(host)?;
        }
        Ok(ids)
    }

    /// The names of all operations.
    fn check_operations(&self) -> Result<BTreeSet<&str>, SolveInputError> {
        let mut names = BTreeSet::new();
        for operation in &self.operations {
            if !names.insert(operation.name.as_str()) {
                return Err(named_twice("operation", &operation.name));
            }
            check_operation(operation)?;
        }
        Ok(names)
    }

    fn check_gateways(&self, operations: &BTreeSet<&str>) -> Result<(), SolveInputError> {
        let mut ids = BTreeSet::new();
        for gateway in &self.gateways {
            if !ids.insert(&gateway.id) {
                return Err(named_twice("gateway", &gateway.id));
            }
            for (operation, value) in &gateway.demand {
                if !operations.contains(operation.as_str()) {
                    return Err(SolveInputError::UnknownOperation {
                        id: gateway.id.clone(),
                        operation: operation.clone(),
                    });
                }
                if !is_figure(*value) {
                    return Err(SolveInputError::Demand {
                        id: gateway.id.clone(),
                        operation: operation.clone(),
                        value: *value,
                    });
                }
            }
        }
        Ok(())
    }

    fn check_figures(&self) -> Result<(), SolveInputError> {
        for (field, value, most) in [
            ("cross_zone_price", self.cross_zone_price, MAX_FIGURE),
            ("connection_price", self.connection_price, MAX_FIGURE),
            ("crossing_seconds", self.crossing_seconds, MAX_SECONDS),
            ("change_price", self.change_price, MAX_FIGURE),
            ("fill_at_most", self.fill_at_most, 1.0),
            ("cold_share", self.cold_share, 1.0),
        ] {
            if !(0.0..=most).contains(&value) {
                return Err(SolveInputError::Figure { field, value });
            }
        }
        Ok(())
    }

    fn check_standing(&self, hosts: &BTreeSet<&str>) -> Result<(), SolveInputError> {
        for (id, value) in &self.standing {
            if !hosts.contains(id.as_str()) {
                return Err(SolveInputError::UnknownHost { id: id.clone() });
            }
            if !is_figure(*value) {
                return Err(host_figure(id, "standing", *value));
            }
        }
        Ok(())
    }

    /// Steps rise to 1, and their costs do not fall.
    fn check_steps(&self) -> Result<(), SolveInputError> {
        let rises = self
            .steps
            .windows(2)
            .all(|two| two[0].0 < two[1].0 && two[0].1 <= two[1].1);
        let starts = self
            .steps
            .first()
            .is_some_and(|(until, cost)| *until > 0.0 && *cost >= 0.0);
        let ends = self
            .steps
            .last()
            .is_some_and(|(until, cost)| *until == 1.0 && cost.is_finite());
        if rises && starts && ends {
            Ok(())
        } else {
            Err(SolveInputError::Steps)
        }
    }

    /// There is a host that may be given something, also in each zone with demand that stays there.
    fn check_reachable(&self) -> Result<(), SolveInputError> {
        let open: BTreeSet<&str> = self
            .hosts
            .iter()
            .filter(|host| self.room(host) > 0.0)
            .map(|host| host.zone.as_str())
            .collect();
        if open.is_empty() {
            return Err(SolveInputError::NoCapacity);
        }
        for gateway in &self.gateways {
            let staying = self.operations.iter().filter(|of| of.stays_in_zone);
            for operation in staying {
                let demand = gateway.demand.get(&operation.name).copied().unwrap_or(0.0);
                if demand > 0.0 && !open.contains(gateway.zone.as_str()) {
                    return Err(SolveInputError::Stranded {
                        zone: gateway.zone.clone(),
                        operation: operation.name.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}

fn check_host(host: &Host) -> Result<(), SolveInputError> {
    for (field, value) in [
        ("capacity", host.capacity),
        ("price", host.price),
        ("load_at_most", host.load_at_most.unwrap_or(0.0)),
    ] {
        if !is_figure(value) {
            return Err(host_figure(&host.id, field, value));
        }
    }
    Ok(())
}

fn check_operation(operation: &Operation) -> Result<(), SolveInputError> {
    let holds = operation.holds.unwrap_or(0.0);
    let has_work = operation.work > 0.0 && operation.work <= MAX_SECONDS;
    for (field, value, is_valid) in [
        (
            "billed_value",
            operation.billed_value,
            is_figure(operation.billed_value),
        ),
        ("work", operation.work, has_work),
        ("holds", holds, (0.0..=MAX_SECONDS).contains(&holds)),
        (
            "least_share",
            operation.least_share,
            (0.0..=1.0).contains(&operation.least_share),
        ),
    ] {
        if !is_valid {
            return Err(SolveInputError::Operation {
                name: operation.name.clone(),
                field,
                value,
            });
        }
    }
    Ok(())
}

fn named_twice(what: &'static str, name: &str) -> SolveInputError {
    let name = name.to_string();
    SolveInputError::Twice { what, name }
}

fn host_figure(id: &str, field: &'static str, value: f64) -> SolveInputError {
    let id = id.to_string();
    SolveInputError::Host { id, field, value }
}
