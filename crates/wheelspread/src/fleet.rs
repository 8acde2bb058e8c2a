//! The state of the fleet on which decisions are based. Each part is kept by a module of its own.

use crate::capacity::{CapacityModel, LearningInput};
use crate::config::Config;
use crate::gossip::{Gossip, LocalView};
use crate::ids::{NodeId, ProxyId, ZoneId};
use crate::lifecycle::{Node, Nodes};
use crate::membership::{Membership, Proxy};
use crate::outlier::{DetectionInput, Outliers};
use crate::pcg::Pcg;
use crate::report_check::ReportCheck;
use crate::report_timing::ReportTiming;
use crate::tables::{undivided_tables, zero_demand, DemandClass, Table, Tables};
use crate::time::Moment;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum ratio of all demand that may belong to proxies that have left. Above it, the capacity estimates of a single
/// controller ignore load reports.
const MAX_UNREPORTED_DEMAND_RATIO: f64 = 0.15;

/// The state of the fleet at one point in time.
pub(crate) struct Fleet {
    pub now: Moment,
    pub config: Config,
    pub nodes: Nodes,
    pub capacity: CapacityModel,
    pub outliers: Outliers,
    pub members: Membership,
    pub tables: Tables,
    pub gossip: Gossip,
    pub timing: ReportTiming,
    pub report_check: ReportCheck,
}

impl Fleet {
    /// The state before the first event.
    pub fn new(now: Moment, config: Config) -> Fleet {
        Fleet {
            now,
            nodes: Nodes::default(),
            capacity: CapacityModel::default(),
            outliers: Outliers::default(),
            members: Membership::new(now),
            tables: undivided_tables(&config.operations, config.zone_count()),
            gossip: Gossip::new(now),
            timing: ReportTiming::new(now, config.report_period),
            report_check: ReportCheck::default(),
            config,
        }
    }

    /// The start of the validity period of gossip; gossip received earlier is ignored.
    pub fn gossip_since(&self) -> Moment {
        Gossip::valid_since(self.timing.period(), self.now)
    }

    /// Requests per second that a node can serve now.
    pub fn capacity_of(&self, node: &Node) -> f64 {
        self.capacity.capacity(node, &self.config, self.now)
    }

    /// The node's capacity, adjusted by how its latency compares with the fleet's mean; see
    /// [`CapacityModel::effective_capacity`].
    pub fn effective_capacity_of(&self, node: &Node) -> f64 {
        self.capacity
            .effective_capacity(node, &self.config, self.now)
    }

    /// The ratio of a node's capacity that a zone should use; see [`Outliers::usable_ratio`].
    pub fn usable_ratio(&self, zone: ZoneId, id: NodeId) -> f64 {
        self.outliers.usable_ratio(id, zone, &self.timing, self.now)
    }

    /// Requests per second that a node serves for the proxies of peer controllers.
    pub fn peers_rate(&self, id: NodeId) -> f64 {
        self.gossip.rate(id, self.gossip_since())
    }

    /// The proxies that use a table, including those that have left.
    pub fn proxies_of<'a>(
        &'a self,
        table: &'a Table,
    ) -> impl Iterator<Item = (&'a ProxyId, &'a Proxy)> {
        let proxies = self.members.proxies().iter();
        proxies.filter(|(id, proxy)| table.serves(**id, proxy.zone()))
    }

    /// Requests per second that the proxies of a table receive, including rejected ones.
    pub fn demand_of(&self, table: &Table) -> f64 {
        self.proxies_of(table)
            .map(|(_, proxy)| proxy.demand(table.operations()))
            .sum()
    }

    /// Requests per second that the joined proxies of a table admit.
    pub fn admitted_rate(&self, table: &Table) -> f64 {
        let mut sum = 0.0;
        for (_, proxy) in self
            .proxies_of(table)
            .filter(|(_, proxy)| proxy.has_joined())
        {
            for operation in table.operations() {
                let demand = proxy.demand_for(*operation).unwrap_or(0.0);
                let admission = table.admission(*operation);
                let limit = admission.map_or(f64::INFINITY, |admission| admission.limit);
                sum += if self.config.admission_as_share {
                    demand * limit.min(1.0)
                } else {
                    demand.min(limit)
                };
            }
        }
        sum
    }

    /// Demand by zone and by whether it must stay in its zone: of the proxies that have joined this controller and of
    /// those that peers reported. A single controller also counts proxies that have left, since no other controller
    /// reports their demand.
    pub fn demand_by_class(&self) -> BTreeMap<DemandClass, f64> {
        let is_single_controller = self.config.controller_count <= 1.0;
        let mut sums = self.own_demand(|proxy| proxy.has_joined() || is_single_controller);
        self.gossip.add_demand(&mut sums, self.gossip_since());
        sums
    }

    /// Demand of this controller's proxies that `is_included` accepts, by zone and by whether it must stay there.
    fn own_demand(&self, is_included: impl Fn(&Proxy) -> bool) -> BTreeMap<DemandClass, f64> {
        let mut sums = zero_demand(&self.tables);
        for proxy in self
            .members
            .proxies()
            .values()
            .filter(|proxy| is_included(proxy))
        {
            for operation in &self.config.operations {
                let class = DemandClass {
                    zone: proxy.zone(),
                    stays_in_zone: operation.stays_in_zone,
                };
                let demand = proxy.demand(&[operation.id]);
                sums.entry(class).and_modify(|sum| *sum += demand);
            }
        }
        sums
    }

    /// The view of the fleet that this controller sends to its peers.
    pub fn local_view(&self) -> LocalView {
        let since = self.timing.rates_valid_since();
        let rate = |id: NodeId| (id, self.outliers.success_rate(id, since));
        LocalView {
            proxy_count: self.members.joined().count(),
            demand: self.own_demand(Proxy::has_joined).into_values().collect(),
            rates: self.nodes.open().map(|(id, _)| rate(*id)).collect(),
        }
    }

    /// Updates the capacity estimates from new load reports. A single controller ignores reports while proxies that
    /// have left account for too much of the demand, since they then show only a part of the nodes' load.
    pub fn learn_capacity(&mut self, is_overloaded: bool) {
        let unreported_ratio = self.members.demand_where(|proxy| !proxy.has_joined())
            / self.members.total_demand().max(1e-6);
        let is_partial =
            self.config.controller_count <= 1.0 && unreported_ratio > MAX_UNREPORTED_DEMAND_RATIO;
        if !self.capacity.take_new_reports() || is_partial {
            return;
        }
        let input = LearningInput {
            time_constant: self.timing.time_constant(),
            objective: self.config.shortest_objective(),
            is_overloaded,
            now: self.now,
        };
        let (own_since, gossip_since) = (self.timing.rates_valid_since(), self.gossip_since());
        let (outliers, gossip) = (&self.outliers, &self.gossip);
        let rate_at = |id| outliers.success_rate(id, own_since) + gossip.rate(id, gossip_since);
        self.capacity
            .learn(&mut self.nodes, &self.config, &input, rate_at);
    }

    /// Updates the capacity and the peak observed rate of each kind of node, and the fleet's mean latency.
    pub fn update_kind_estimates(&mut self) {
        let demand = self.members.total_demand();
        self.capacity.update_kind_estimates(&self.nodes, demand);
    }

    /// Updates the rates with which reports are compared.
    pub fn update_report_check(&mut self) {
        let since = self.timing.rates_valid_since();
        let successes = self.outliers.total_success_rate(since);
        self.report_check
            .update(&self.nodes, &self.members, &self.config, successes);
    }

    /// Runs outlier detection; returns whether any node's health state changed.
    pub fn detect_outliers(&mut self, random: &mut Pcg) -> bool {
        let input = DetectionInput {
            nodes: &self.nodes,
            timing: &self.timing,
            max_queue_delay: self.config.max_queue_delay,
            objective: self.config.shortest_objective(),
            now: self.now,
        };
        self.outliers.detect_outliers(&input, random)
    }

    /// Removes nodes without table entries and proxies that left more than `RETENTION_WARM_UPS` warm-up times ago,
    /// and the paths of unknown nodes.
    pub fn remove_departed(&mut self) {
        const RETENTION_WARM_UPS: f64 = 10.0;
        let (now, retention) = (self.now, self.config.warm_up * RETENTION_WARM_UPS);
        let is_recent = |at: Moment| now - at < retention;
        let entry_nodes = self
            .tables
            .values()
            .flat_map(|table| table.entries().keys());
        let nodes_with_entries: BTreeSet<NodeId> = entry_nodes.copied().collect();
        self.nodes.remove_unlisted(&nodes_with_entries, is_recent);
        self.outliers.remove_unknown(&self.nodes);
        self.members.remove_departed(is_recent);
    }
}
