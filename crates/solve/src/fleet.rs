//! The solver's input: hosts, demand and prices, as they are written in a fleet file.

mod checks;

pub use checks::SolveInputError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host may be loaded up to its limit.
    #[default]
    Ready,
    /// The host is in slow start: its load limit is reduced to `cold_share` of the normal limit.
    #[serde(rename = "cold")]
    Warming,
    /// The host gets no load.
    Draining,
}

/// A server that processes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// The host's name, unique among hosts.
    pub id: String,
    /// The host's zone.
    pub zone: String,
    /// The machine type; used only to select hosts and in output.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub kind: String,
    /// Capacity in seconds of work a second: the number of cores times their relative speed.
    pub capacity: f64,
    /// Whether the host may get its full load, a reduced load or none.
    #[serde(default)]
    pub state: HostState,
    /// The price of a second of work at the host, in units of billed value.
    #[serde(default)]
    pub price: f64,
    /// The maximum load in seconds of work a second, regardless of the capacity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub load_at_most: Option<f64>,
}

/// A proxy, or a group of proxies of one zone, with its demand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// The proxy's name, unique among proxies.
    pub id: String,
    /// The proxy's zone.
    pub zone: String,
    /// Invocations a second by operation.
    pub demand: BTreeMap<String, f64>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// The operation's name, unique among operations.
    pub name: String,
    /// The value of each invocation that is answered within its latency objective.
    pub billed_value: f64,
    /// Work of one invocation, in seconds.
    pub work: f64,
    /// Seconds for which an invocation occupies its connection; `work` by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds: Option<f64>,
    /// Whether the operation may be served only in the zone of the proxy.
    #[serde(default)]
    pub stays_in_zone: bool,
    /// The ratio of the operation's demand that is admitted before any demand beyond such guarantees.
    #[serde(default)]
    pub least_share: f64,
}

/// The hosts, demand and prices for which weights are computed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The hosts that process requests.
    pub hosts: Vec<Host>,
    /// The proxies that receive requests.
    pub gateways: Vec<Gateway>,
    /// The operations that clients request.
    pub operations: Vec<Operation>,
    /// The price of an invocation that is served in another zone than that of its proxy.
    #[serde(default)]
    pub cross_zone_price: f64,
    /// The price of one second for which a connection is occupied.
    #[serde(default)]
    pub connection_price: f64,
    /// Additional seconds for which an invocation occupies its connection when it crosses zones.
    #[serde(default)]
    pub crossing_seconds: f64,
    /// The maximum load of a host as a ratio of its capacity; above it, responses miss their latency objective.
    #[serde(default = "default_fill_at_most")]
    pub fill_at_most: f64,
    /// The ratio of the normal load limit that applies to a host in slow start.
    #[serde(default = "default_cold_share")]
    pub cold_share: f64,
    /// The cost of load by steps, as pairs: the ratio of the load limit at which the step ends, and the price of a
    /// second of work within the step as a ratio of the maximum value of a second of work.
    #[serde(default = "default_steps")]
    pub steps: Vec<(f64, f64)>,
    /// The current load of hosts by name, in seconds of work a second; used with `change_price`.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub standing: BTreeMap<String, f64>,
    /// The price of a second of work beyond the current load of the hosts of a zone and price: work moves only where
    /// it gains more than this price.
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
    /// The total current load of the hosts of one zone and price; each host counts up to its limit.
    pub fn current_load(&self, zone: &str, price: f64) -> f64 {
        let hosts = self
            .hosts
            .iter()
            .filter(|host| host.zone == zone && host.price == price);
        hosts
            .map(|host| {
                self.standing
                    .get(&host.id)
                    .copied()
                    .unwrap_or(0.0)
                    .min(self.load_limit(host))
            })
            .sum()
    }

    /// The price of an invocation's route: the crossing of zones, and the time for which a connection is occupied.
    pub fn route_cost(&self, operation: &Operation, crosses_zones: bool) -> f64 {
        let (crossing, longer) = if crosses_zones {
            (self.cross_zone_price, self.crossing_seconds)
        } else {
            (0.0, 0.0)
        };
        crossing + self.connection_price * (operation.holds.unwrap_or(operation.work) + longer)
    }

    /// A host's maximum load, in seconds of work a second.
    pub fn load_limit(&self, host: &Host) -> f64 {
        let ratio = match host.state {
            HostState::Ready => 1.0,
            HostState::Warming => self.cold_share,
            HostState::Draining => 0.0,
        };
        (host.capacity * ratio * self.fill_at_most).min(host.load_at_most.unwrap_or(f64::INFINITY))
    }
}
