//! The proxies: which have joined, the demand of each, and which still wait to be bound to their tables.
//!
//! A proxy that has left still sends requests to nodes, so its demand counts until the proxy is removed. After a
//! restart of the controller, a proxy that already holds a table is assumed to have been sent a part of its message cap
//! by the previous process.

use crate::config::Config;
use crate::error::EventError;
use crate::ids::{OperationId, ProxyId, ZoneId};
use crate::rates::ReportedRate;
use crate::rolling_window::RollingWindow;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Ratio of the message cap that the previous process is assumed to have used before a restart.
const ASSUMED_CAP_RATIO_BEFORE_RESTART: f64 = 0.35;
/// Number of buckets into which the message window is divided, and number of buckets that are kept: two more, so that
/// a message counts until it is certainly outside the window.
const MESSAGE_BUCKETS: f64 = 20.0;
const RETAINED_MESSAGE_BUCKETS: usize = 22;

/// A proxy that is joined or has been joined before.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    zone: ZoneId,
    has_joined: bool,
    is_bound: bool,
    /// When the proxy last joined or left.
    joined_or_left_at: Moment,
    /// Requests per second by operation.
    demand: BTreeMap<OperationId, ReportedRate>,
    /// Messages sent to the proxy within the message window.
    messages: RollingWindow<f64>,
}

impl Proxy {
    /// The zone of the proxy.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// Whether the proxy has joined and not left since.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Whether the proxy was sent the tables that it uses.
    pub fn is_bound(&self) -> bool {
        self.is_bound
    }

    /// Requests per second that the proxy receives for one operation; `None`: unknown.
    pub fn demand_for(&self, operation: OperationId) -> Option<f64> {
        self.demand.get(&operation).and_then(ReportedRate::get)
    }

    /// Requests per second that the proxy receives for the given operations; operations of unknown demand count as
    /// 0.
    pub fn demand(&self, operations: &[OperationId]) -> f64 {
        operations
            .iter()
            .filter_map(|operation| self.demand_for(*operation))
            .sum()
    }
}

/// All known proxies.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    started_at: Moment,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Joined proxies that are not bound yet, or that must be bound again because the tables that serve them
    /// changed.
    unbound: BTreeSet<ProxyId>,
}

impl Membership {
    /// Starts without proxies.
    pub fn new(started_at: Moment) -> Membership {
        Membership {
            started_at,
            proxies: BTreeMap::new(),
            unbound: BTreeSet::new(),
        }
    }

    /// Records that a proxy has joined. `holds_no_table`: the proxy holds no table from any controller.
    pub fn on_joined(
        &mut self,
        id: ProxyId,
        zone: ZoneId,
        usual_rate: f64,
        holds_no_table: bool,
        config: &Config,
        now: Moment,
    ) {
        let (demand, messages) = match self.proxies.remove(&id) {
            Some(previous) => (
                Some(previous.demand).filter(|demand| !demand.is_empty()),
                previous.messages,
            ),
            None => (None, self.initial_messages(holds_no_table, config, now)),
        };
        let demand = demand.unwrap_or_else(|| assumed_demand(usual_rate, config));
        let proxy = Proxy {
            zone,
            has_joined: true,
            is_bound: false,
            joined_or_left_at: now,
            demand,
            messages,
        };
        self.proxies.insert(id, proxy);
        self.unbound.insert(id);
    }

    /// The messages that a new proxy is assumed to have been sent. Messages count for a proxy across its
    /// connections and across a restart of the controller: a proxy that already holds a table may have got it from
    /// the previous process.
    fn initial_messages(
        &self,
        holds_no_table: bool,
        config: &Config,
        now: Moment,
    ) -> RollingWindow<f64> {
        let window = config.message_window.max(Span::from_seconds(1.0));
        let bucket = window * (1.0 / MESSAGE_BUCKETS);
        let mut messages = RollingWindow::new(bucket, RETAINED_MESSAGE_BUCKETS);
        if !holds_no_table && now - self.started_at < window {
            messages.add(
                self.started_at,
                ASSUMED_CAP_RATIO_BEFORE_RESTART * config.message_cap,
            );
        }
        messages
    }

    /// Records that a proxy has left.
    pub fn on_left(&mut self, id: ProxyId, now: Moment) -> Result<(), EventError> {
        let proxy = self
            .proxies
            .get_mut(&id)
            .ok_or(EventError::NeverJoined(id))?;
        (proxy.has_joined, proxy.is_bound, proxy.joined_or_left_at) = (false, false, now);
        self.unbound.remove(&id);
        Ok(())
    }

    /// The time at which the balancer started.
    pub fn started_at(&self) -> Moment {
        self.started_at
    }

    /// The reported demand of one operation at a proxy, to which a report can be added.
    pub fn demand_mut(
        &mut self,
        id: ProxyId,
        operation: OperationId,
    ) -> Result<&mut ReportedRate, EventError> {
        let proxy = self
            .proxies
            .get_mut(&id)
            .ok_or(EventError::UnknownProxy(id))?;
        Ok(proxy.demand.entry(operation).or_default())
    }

    /// Removes proxies that have left and whose leaving is no longer recent.
    pub fn remove_departed(&mut self, is_recent: impl Fn(Moment) -> bool) {
        self.proxies
            .retain(|_, proxy| proxy.has_joined || is_recent(proxy.joined_or_left_at));
    }

    /// All known proxies, by ID.
    pub fn proxies(&self) -> &BTreeMap<ProxyId, Proxy> {
        &self.proxies
    }

    /// The joined proxies.
    pub fn joined(&self) -> impl Iterator<Item = (&ProxyId, &Proxy)> {
        self.proxies.iter().filter(|(_, proxy)| proxy.has_joined)
    }

    /// Requests per second that the proxies that `is_counted` accepts receive.
    pub fn demand_where(&self, is_counted: impl Fn(&Proxy) -> bool) -> f64 {
        let counted = self.proxies.values().filter(|proxy| is_counted(proxy));
        counted
            .flat_map(|proxy| proxy.demand.values())
            .filter_map(ReportedRate::get)
            .sum()
    }

    /// Requests per second that all known proxies receive.
    pub fn total_demand(&self) -> f64 {
        self.demand_where(|_| true)
    }

    /// Joined proxies that wait to be bound.
    pub fn unbound(&self) -> &BTreeSet<ProxyId> {
        &self.unbound
    }

    /// Marks the bound proxies of a zone to be bound again, because the tables that serve them have changed.
    pub fn rebind_zone(&mut self, zone: ZoneId) {
        let is_affected = |proxy: &Proxy| proxy.has_joined && proxy.zone == zone && proxy.is_bound;
        let to_rebind = self.proxies.iter().filter(|(_, proxy)| is_affected(proxy));
        self.unbound.extend(to_rebind.map(|(id, _)| *id));
    }

    /// Records that these proxies were bound, so that they no longer wait.
    pub fn on_bound(&mut self, ids: &BTreeSet<ProxyId>) {
        self.unbound.retain(|id| !ids.contains(id));
    }

    /// Records a message to each of these proxies. A proxy that gets a message counts as bound.
    pub fn on_message_sent(&mut self, ids: &BTreeSet<ProxyId>, now: Moment) {
        for (_, proxy) in self.proxies.iter_mut().filter(|(id, _)| ids.contains(id)) {
            proxy.is_bound = true;
            proxy.messages.add(now, 1.0);
        }
    }

    /// Maximum number of messages that any joined proxy was sent within the message window.
    pub fn max_messages(&self, now: Moment) -> f64 {
        self.joined()
            .map(|(_, proxy)| proxy.messages.total(now))
            .fold(0.0, f64::max)
    }
}

/// The usual rate of a proxy, spread evenly over the operations; a rate that is not finite counts as 0.
fn assumed_demand(usual_rate: f64, config: &Config) -> BTreeMap<OperationId, ReportedRate> {
    let finite_rate = if usual_rate.is_finite() {
        usual_rate.max(0.0)
    } else {
        0.0
    };
    let rate_per_operation =
        ReportedRate::assumed(finite_rate / config.operations.len().max(1) as f64);
    let operations = config.operations.iter();
    operations
        .map(|operation| (operation.id, rate_per_operation))
        .collect()
}
