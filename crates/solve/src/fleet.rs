//! The input of the solver: hosts, demand and prices, as users write them.

mod checks;

pub use checks::SolveInputError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It may be filled.
    #[default]
    Ready,
    /// The host is in slow start: its load limit is reduced to `cold_share` of the normal limit.
    #[serde(rename = "cold")]
    Warming,
    /// It is given nothing.
    Draining,
}

/// A server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// The machine type; used only to select hosts and in output.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Seconds of work a second: cores times their speed.
    pub capacity: f64,
    /// Whether it may be filled.
    #[serde(default)]
    pub state: HostState,
    /// The price of a second of work there, in units of value.
    #[serde(default)]
    pub price: f64,
    /// Seconds of work a second that it is given at most, whatever its capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_at_most: Option<f64>,
}

/// A source of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its name.
    pub id: String,
    /// Its zone.
    pub zone: String,
    /// Invocations a second, by operation.
    pub demand: BTreeMap<String, f64>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Its name.
    pub name: String,
    /// The value of each invocation answered within its latency objective.
    pub billed_value: f64,
    /// Seconds of work of an invocation.
    pub work: f64,
    /// Seconds that an invocation keeps its connection; by default as long as its work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds: Option<f64>,
    /// It may not be served in another zone.
    #[serde(default)]
    pub stays_in_zone: bool,
    /// The share of its demand that is admitted before any other operation gets more.
    #[serde(default)]
    pub least_share: f64,
}

/// A fleet to solve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Where work can be done.
    pub hosts: Vec<Host>,
    /// Where requests come in.
    pub gateways: Vec<Gateway>,
    /// What is asked for.
    pub operations: Vec<Operation>,
    /// The price of an invocation that crosses zones.
    #[serde(default)]
    pub cross_zone_price: f64,
    /// The price of a connection in use, a second.
    #[serde(default)]
    pub connection_price: f64,
    /// Seconds longer that an invocation keeps its connection when it crosses zones.
    #[serde(default)]
    pub crossing_seconds: f64,
    /// The part of its capacity that a host may be given; with more, answers come too late.
    #[serde(default = "default_fill_at_most")]
    pub fill_at_most: f64,
    /// The part of that for a host in slow start.
    #[serde(default = "default_cold_share")]
    pub cold_share: f64,
    /// Pairs as they are written in a fleet file: the part of its limit up to which a host is filled, and what
    /// filling it to there costs, as a part of the highest value of a second of work.
    #[serde(default = "default_steps")]
    pub steps: Vec<(f64, f64)>,
    /// What hosts carry now, in seconds of work a second; used with `change_price`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub standing: BTreeMap<String, f64>,
    /// The price of a second of work that goes to a place that does not carry it now: work moves only for a
    /// greater gain.
    #[serde(default)]
    pub change_price: f64,
}

fn default_fill_at_most() -> f64 {
    0.85
}

fn default_cold_share() -> f64 {
    0.2
}

fn default_steps() -> Vec<(f64, f64)> {
    vec![(0.6, 0.0), (0.8, 0.01), (1.0, 0.03)]
}

impl Fleet {
    /// What the hosts of one zone and price carry now together, each up to its limit.
    pub fn current_load(&self, zone: &str, price: f64) -> f64 {
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
                    .min(self.load_limit(host))
            })
            .sum()
    }

    /// The price of an invocation's way: crossing zones, and its connection while that is in use.
    pub fn route_cost(&self, operation: &Operation, crosses_zones: bool) -> f64 {
        let (crossing, longer) = if crosses_zones {
            (self.cross_zone_price, self.crossing_seconds)
        } else {
            (0.0, 0.0)
        };
        crossing + self.connection_price * (operation.holds.unwrap_or(operation.work) + longer)
    }

    /// A host's limit: seconds of work a second that it may be given.
    pub fn load_limit(&self, host: &Host) -> f64 {
        let part = match host.state {
            HostState::Ready => 1.0,
            HostState::Warming => self.cold_share,
            HostState::Draining => 0.0,
        };
        (host.capacity * part * self.fill_at_most).min(host.load_at_most.unwrap_or(f64::INFINITY))
    }
}
