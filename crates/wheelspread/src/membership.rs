//! The proxies: who has joined, what comes to each, and who still waits to be bound to its tables.
//!
//! A proxy that left goes on sending, so its demand counts for some time. After a restart of the controller, a
//! proxy that holds a table is assumed to have been sent a part of its message cap by the previous process.

use crate::config::Config;
use crate::error::EventError;
use crate::ids::{OperationId, ProxyId, ZoneId};
use crate::rates::ReportedRate;
use crate::rolling_window::RollingWindow;
use crate::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Of a proxy's message cap: assumed to have been used before a restart.
const ASSUMED_CAP_RATIO_BEFORE_RESTART: f64 = 0.35;
/// Buckets in which the message window is counted, and how many are kept: two more than the window has, so that
/// a message counts until it is surely outside.
const MESSAGE_BUCKETS: f64 = 20.0;
const RETAINED_MESSAGE_BUCKETS: usize = 22;

/// A proxy that has joined at some time.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    zone: ZoneId,
    has_joined: bool,
    is_bound: bool,
    joined_or_left_at: Moment,
    demand: BTreeMap<OperationId, ReportedRate>,
    /// Messages that were sent to it.
    messages: RollingWindow<f64>,
}

impl Proxy {
    /// Its zone.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// Whether it is connected.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Whether it was sent the tables that it uses.
    pub fn is_bound(&self) -> bool {
        self.is_bound
    }

    /// Requests per second that come to it for one operation; `None`: not known.
    pub fn demand_for(&self, operation: OperationId) -> Option<f64> {
        self.demand.get(&operation).and_then(ReportedRate::get)
    }

    /// Requests per second that come to it for some operations.
    pub fn demand(&self, operations: &[OperationId]) -> f64 {
        operations
            .iter()
            .filter_map(|operation| self.demand_for(*operation))
            .sum()
    }
}

/// All proxies that are known.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    started_at: Moment,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Proxies that have joined and are not bound yet, or not to the tables that serve them by now.
    unbound: BTreeSet<ProxyId>,
}

impl Membership {
    /// Nobody has joined yet.
    pub fn new(started_at: Moment) -> Membership {
        Membership {
            started_at,
            proxies: BTreeMap::new(),
            unbound: BTreeSet::new(),
        }
    }

    /// A proxy has joined. `fresh`: it holds no table that a controller ordered.
    pub fn on_joined(
        &mut self,
        id: ProxyId,
        zone: ZoneId,
        usual_rate: f64,
        fresh: bool,
        config: &Config,
        now: Moment,
    ) {
        let (demand, messages) = match self.proxies.remove(&id) {
            Some(known) => (
                Some(known.demand).filter(|demand| !demand.is_empty()),
                known.messages,
            ),
            None => (None, self.initial_messages(fresh, config, now)),
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

    /// Messages count on whatever connection they went, and from before a restart too: who holds a table may
    /// have it from this controller.
    fn initial_messages(&self, fresh: bool, config: &Config, now: Moment) -> RollingWindow<f64> {
        let window = config.message_window.max(Span::from_seconds(1.0));
        let bucket = window * (1.0 / MESSAGE_BUCKETS);
        let mut messages = RollingWindow::new(bucket, RETAINED_MESSAGE_BUCKETS);
        if !fresh && now - self.started_at < window {
            messages.add(
                self.started_at,
                ASSUMED_CAP_RATIO_BEFORE_RESTART * config.message_cap,
            );
        }
        messages
    }

    /// A proxy has left.
    pub fn on_left(&mut self, id: ProxyId, now: Moment) -> Result<(), EventError> {
        let proxy = self
            .proxies
            .get_mut(&id)
            .ok_or(EventError::NeverJoined(id))?;
        (proxy.has_joined, proxy.is_bound, proxy.joined_or_left_at) = (false, false, now);
        self.unbound.remove(&id);
        Ok(())
    }

    /// The rate that reports say of one operation at a proxy, to add a report to.
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

    /// Drops proxies that left long ago.
    pub fn forget_departed(&mut self, is_recent: impl Fn(Moment) -> bool) {
        self.proxies
            .retain(|_, proxy| proxy.has_joined || is_recent(proxy.joined_or_left_at));
    }

    /// All proxies, by number.
    pub fn proxies(&self) -> &BTreeMap<ProxyId, Proxy> {
        &self.proxies
    }

    /// The proxies that are connected.
    pub fn joined(&self) -> impl Iterator<Item = (&ProxyId, &Proxy)> {
        self.proxies.iter().filter(|(_, proxy)| proxy.has_joined)
    }

    /// Requests per second that come to some proxies.
    pub fn demand_where(&self, is_counted: impl Fn(&Proxy) -> bool) -> f64 {
        let counted = self.proxies.values().filter(|proxy| is_counted(proxy));
        counted
            .flat_map(|proxy| proxy.demand.values())
            .filter_map(ReportedRate::get)
            .sum()
    }

    /// Requests per second that come to all proxies.
    pub fn total_demand(&self) -> f64 {
        self.demand_where(|_| true)
    }

    /// Proxies that wait to be bound.
    pub fn unbound(&self) -> &BTreeSet<ProxyId> {
        &self.unbound
    }

    /// Binds proxies of a zone again: which tables serve them has changed.
    pub fn rebind_zone(&mut self, zone: ZoneId) {
        let is_affected = |proxy: &Proxy| proxy.has_joined && proxy.zone == zone && proxy.is_bound;
        let to_rebind = self.proxies.iter().filter(|(_, proxy)| is_affected(proxy));
        self.unbound.extend(to_rebind.map(|(id, _)| *id));
    }

    /// Proxies were bound.
    pub fn on_bound(&mut self, ids: &BTreeSet<ProxyId>) {
        self.unbound.retain(|id| !ids.contains(id));
    }

    /// A message goes to each of these proxies; whoever gets one knows its tables.
    pub fn on_message_sent(&mut self, ids: &BTreeSet<ProxyId>, now: Moment) {
        for (_, proxy) in self.proxies.iter_mut().filter(|(id, _)| ids.contains(id)) {
            proxy.is_bound = true;
            proxy.messages.add(now, 1.0);
        }
    }

    /// The most messages that a joined proxy was sent within the window.
    pub fn max_messages(&self, now: Moment) -> f64 {
        self.joined()
            .map(|(_, proxy)| proxy.messages.total(now))
            .fold(0.0, f64::max)
    }
}

/// The usual rate, spread evenly over the operations.
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
