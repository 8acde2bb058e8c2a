//! Validation of a fleet before it is solved.

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
    /// Two hosts, gateways or operations have the same name.
    #[error("{what} `{name}` is named twice")]
    DuplicateName {
        /// What the name belongs to.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A value of a host is out of range.
    #[error("host `{id}`: {field} {value} should be between 0 and 1e9")]
    Host {
        /// The name.
        id: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A value of an operation is out of range.
    #[error("operation `{name}`: {field} {value} can't be accepted")]
    Operation {
        /// The name.
        name: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A demand of a gateway is out of range.
    #[error("gateway `{id}`: {value} invocations a second of `{operation}`: should be between 0 and 1e9")]
    Demand {
        /// The name.
        id: String,
        /// The operation.
        operation: String,
        /// Its value.
        value: f64,
    },
    /// A gateway has demand for an operation that the fleet does not define.
    #[error("gateway `{id}` has demand for `{operation}`, which is not among the operations")]
    UnknownOperation {
        /// The name.
        id: String,
        /// The operation.
        operation: String,
    },
    /// `standing` names a host that the fleet does not define.
    #[error("standing: `{id}` is not among the hosts")]
    UnknownHost {
        /// The name.
        id: String,
    },
    /// A value of the fleet itself is out of range.
    #[error("{field}: {value} can't be accepted")]
    Value {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// `steps` is empty, is not in ascending order, or does not end at 1.
    #[error("steps should rise to 1, and their costs should not fall")]
    Steps,
    /// Every host has a load limit of 0.
    #[error("hosts have no capacity left: each is draining or has a load limit of 0")]
    NoCapacity,
    /// A zone has demand for an operation with `stays_in_zone`, and no host with a load limit above 0.
    #[error("zone `{zone}` asks for `{operation}`, which stays in its zone, and has no host with capacity")]
    NoHostInZone {
        /// The zone.
        zone: String,
        /// The operation.
        operation: String,
    },
}

/// The maximum price, capacity, billed value or rate.
const MAX_VALUE: f64 = 1e9;

/// The maximum duration in seconds.
const MAX_SECONDS: f64 = 1e6;

fn is_in_range(value: f64) -> bool {
    (0.0..=MAX_VALUE).contains(&value)
}

impl Fleet {
    /// Checks whether the fleet can be solved; the error is the first problem found.
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
        self.check_values()?;
        self.check_standing(&hosts)?;
        self.check_steps()?;
        self.check_reachable()
    }

    /// Checks the hosts and returns their names.
    fn check_hosts(&self) -> Result<BTreeSet<&str>, SolveInputError> {
        let mut ids = BTreeSet::new();
        for host in &self.hosts {
            if !ids.insert(host.id.as_str()) {
                return Err(duplicate_name("host", &host.id));
            }
            check_host(host)?;
        }
        Ok(ids)
    }

    /// Checks the operations and returns their names.
    fn check_operations(&self) -> Result<BTreeSet<&str>, SolveInputError> {
        let mut names = BTreeSet::new();
        for operation in &self.operations {
            if !names.insert(operation.name.as_str()) {
                return Err(duplicate_name("operation", &operation.name));
            }
            check_operation(operation)?;
        }
        Ok(names)
    }

    fn check_gateways(&self, operations: &BTreeSet<&str>) -> Result<(), SolveInputError> {
        let mut ids = BTreeSet::new();
        for gateway in &self.gateways {
            if !ids.insert(&gateway.id) {
                return Err(duplicate_name("gateway", &gateway.id));
            }
            for (operation, value) in &gateway.demand {
                if !operations.contains(operation.as_str()) {
                    return Err(SolveInputError::UnknownOperation {
                        id: gateway.id.clone(),
                        operation: operation.clone(),
                    });
                }
                if !is_in_range(*value) {
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

    fn check_values(&self) -> Result<(), SolveInputError> {
        for (field, value, max) in [
            ("cross_zone_price", self.cross_zone_price, MAX_VALUE),
            ("connection_price", self.connection_price, MAX_VALUE),
            ("crossing_seconds", self.crossing_seconds, MAX_SECONDS),
            ("change_price", self.change_price, MAX_VALUE),
            ("fill_at_most", self.fill_at_most, 1.0),
            ("cold_share", self.cold_share, 1.0),
        ] {
            if !(0.0..=max).contains(&value) {
                return Err(SolveInputError::Value { field, value });
            }
        }
        Ok(())
    }

    fn check_standing(&self, hosts: &BTreeSet<&str>) -> Result<(), SolveInputError> {
        for (id, value) in &self.standing {
            if !hosts.contains(id.as_str()) {
                return Err(SolveInputError::UnknownHost { id: id.clone() });
            }
            if !is_in_range(*value) {
                return Err(host_out_of_range(id, "standing", *value));
            }
        }
        Ok(())
    }

    /// Checks that steps rise to 1 and that their costs do not fall.
    fn check_steps(&self) -> Result<(), SolveInputError> {
        let is_ascending = self
            .steps
            .windows(2)
            .all(|pair| pair[0].0 < pair[1].0 && pair[0].1 <= pair[1].1);
        let is_start_valid = self
            .steps
            .first()
            .is_some_and(|(until, cost)| *until > 0.0 && *cost >= 0.0);
        let is_end_valid = self
            .steps
            .last()
            .is_some_and(|(until, cost)| *until == 1.0 && cost.is_finite());
        if is_ascending && is_start_valid && is_end_valid {
            Ok(())
        } else {
            Err(SolveInputError::Steps)
        }
    }

    /// Checks that a host has a load limit above 0, and that one does in each zone with demand that stays there.
    fn check_reachable(&self) -> Result<(), SolveInputError> {
        let reachable_zones: BTreeSet<&str> = self
            .hosts
            .iter()
            .filter(|host| self.load_limit(host) > 0.0)
            .map(|host| host.zone.as_str())
            .collect();
        if reachable_zones.is_empty() {
            return Err(SolveInputError::NoCapacity);
        }
        for gateway in &self.gateways {
            let zone_bound = self
                .operations
                .iter()
                .filter(|operation| operation.stays_in_zone);
            for operation in zone_bound {
                let demand = gateway.demand.get(&operation.name).copied().unwrap_or(0.0);
                if demand > 0.0 && !reachable_zones.contains(gateway.zone.as_str()) {
                    return Err(SolveInputError::NoHostInZone {
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
        if !is_in_range(value) {
            return Err(host_out_of_range(&host.id, field, value));
        }
    }
    Ok(())
}

fn check_operation(operation: &Operation) -> Result<(), SolveInputError> {
    let holds = operation.holds.unwrap_or(0.0);
    let is_work_valid = operation.work > 0.0 && operation.work <= MAX_SECONDS;
    for (field, value, is_valid) in [
        (
            "billed_value",
            operation.billed_value,
            is_in_range(operation.billed_value),
        ),
        ("work", operation.work, is_work_valid),
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

fn duplicate_name(what: &'static str, name: &str) -> SolveInputError {
    let name = name.to_string();
    SolveInputError::DuplicateName { what, name }
}

fn host_out_of_range(id: &str, field: &'static str, value: f64) -> SolveInputError {
    let id = id.to_string();
    SolveInputError::Host { id, field, value }
}
