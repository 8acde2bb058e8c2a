//! Sums of what proxies observed, from the reports on their streams to the module's events. Reports come at
//! their own times and of their own spans; once a period they are put together by zone and node, dated by
//! the spans they cover. What can't be is refused before anything is counted.

use crate::deployment::Deployment;
use crate::membership::Membership;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{NodeId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread::Event;

/// A figure that came with some of the answers: how many, and their total.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metric {
    pub count: u64,
    pub total: f64,
}

impl Metric {
    pub fn mean(self) -> Option<f64> {
        let mean = self.total / self.count as f64;
        (self.count > 0 && mean.is_finite() && mean >= 0.0).then_some(mean)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeReport {
    pub node: Option<NodeId>,
    pub succeeded: u64,
    pub errored: u64,
    /// Tries that had no end yet when the report was made.
    pub in_progress: u64,
    pub metrics: BTreeMap<String, Metric>,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperationReport {
    pub operation: String,
    /// Rejected at the proxy.
    pub rate_limited: u64,
    /// Tries of `nodes` that repeated an earlier one, where the proxy says so.
    pub repeats: u64,
    pub nodes: Vec<NodeReport>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    pub over: Span,
    pub operations: Vec<OperationReport>,
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LoadReportError {
    #[error("a report over {0} s")]
    Over(f64),
    #[error("{count} invocations of `{operation}` over {over} s")]
    Count {
        operation: String,
        count: f64,
        over: f64,
    },
    #[error("{0} operations in one report")]
    Operations(usize),
    #[error("{0} nodes in one report")]
    TooManyNodes(usize),
}

/// Names of the figures that a proxy may send beside its counts.
pub const LATENCY: &str = "latency_ms";
pub const UTILIZATION: &str = "cpu_utilization";
pub const QUEUE: &str = "named_metrics.queue";

const MOST_PER_SECOND: f64 = 1e7;
const MOST_OPERATIONS: usize = 1000;
const MOST_NODES: usize = 100_000;
const LONGEST: f64 = 600.0;

#[derive(Clone, Debug, Default)]
struct PathSums {
    tries: f64,
    errored: f64,
    latency: (f64, f64),
    loads: Vec<Option<f64>>,
}

#[derive(Clone, Debug, Default)]
pub struct LoadAggregator {
    paths: BTreeMap<(ZoneId, NodeId), PathSums>,
    /// Over how long each zone's proxies reported, together.
    covered: BTreeMap<ZoneId, Span>,
    reporting: BTreeMap<ZoneId, BTreeSet<ProxyId>>,
    offered: BTreeMap<(ProxyId, OperationId), (f64, f64, Span)>,
    pub unknown_nodes: u64,
    pub unknown_operations: u64,
}

fn check(report: &LoadReport) -> Result<(), LoadReportError> {
    let over = report.over.seconds();
    if !(over > 0.0 && over <= LONGEST) {
        return Err(LoadReportError::Over(over));
    }
    if report.operations.len() > MOST_OPERATIONS {
        return Err(LoadReportError::Operations(report.operations.len()));
    }
    for named in &report.operations {
        if named.nodes.len() > MOST_NODES {
            return Err(LoadReportError::TooManyNodes(named.nodes.len()));
        }
        let each = |node: &NodeReport| {
            node.succeeded as f64 + node.errored as f64 + node.in_progress as f64
        };
        let count = named.nodes.iter().map(each).sum::<f64>() + named.rate_limited as f64;
        if count > MOST_PER_SECOND * over.max(1.0) || named.repeats as f64 > count {
            let operation = named.operation.chars().take(40).collect();
            return Err(LoadReportError::Count {
                operation,
                count: count.max(named.repeats as f64),
                over,
            });
        }
    }
    Ok(())
}

impl LoadAggregator {
    pub fn report(
        &mut self,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadReport,
        plan: &Deployment,
        known: impl Fn(NodeId) -> bool,
    ) -> Result<(), LoadReportError> {
        check(report)?;
        *self.covered.entry(zone).or_insert(Span::ZERO) =
            self.covered.get(&zone).copied().unwrap_or(Span::ZERO) + report.over;
        self.reporting.entry(zone).or_default().insert(proxy);
        let mut silent: BTreeSet<OperationId> =
            (0..plan.operations.len() as u8).map(OperationId).collect();
        for named in &report.operations {
            let place = plan
                .operations
                .iter()
                .position(|operation| operation.name == named.operation);
            let Some(place) = place else {
                self.unknown_operations += 1;
                continue;
            };
            let operation = OperationId(place as u8);
            silent.remove(&operation);
            let (mut tries, mut errored) = (0.0, 0.0);
            for met in &named.nodes {
                let met_tries = met.succeeded as f64 + met.errored as f64;
                (tries, errored) = (tries + met_tries, errored + met.errored as f64);
                match met.node.filter(|node| known(*node)) {
                    Some(node) => self.met(zone, node, met, met_tries, report.over, plan),
                    None => self.unknown_nodes += 1,
                }
            }
            let count = (tries - named.repeats as f64).max(0.0) + named.rate_limited as f64;
            let sum = self
                .offered
                .entry((proxy, operation))
                .or_insert((0.0, 0.0, Span::ZERO));
            *sum = (
                sum.0 + count,
                sum.1 + errored.min(count),
                sum.2 + report.over,
            );
        }
        // What a report does not speak of did not come.
        for operation in silent {
            let sum = self
                .offered
                .entry((proxy, operation))
                .or_insert((0.0, 0.0, Span::ZERO));
            sum.2 = sum.2 + report.over;
        }
        Ok(())
    }

    fn met(
        &mut self,
        zone: ZoneId,
        node: NodeId,
        met: &NodeReport,
        tries: f64,
        over: Span,
        plan: &Deployment,
    ) {
        let sums = self.paths.entry((zone, node)).or_default();
        sums.tries += tries;
        sums.errored += met.errored as f64;
        let latency = met
            .metrics
            .get(LATENCY)
            .and_then(|metric| Some((metric.count as f64, metric.mean()?)));
        // Proxies that time nothing still tell how many tries were in progress: by Little's law that is
        // the rate times the latency.
        let by_progress = || {
            (tries > 0.0).then(|| (tries, met.in_progress as f64 * over.seconds() / tries * 1e3))
        };
        if let Some((count, mean)) = latency.or_else(by_progress) {
            sums.latency = (sums.latency.0 + count, sums.latency.1 + count * mean);
        }
        sums.loads.resize(plan.sums.loads.len(), None);
        for (load, name) in sums.loads.iter_mut().zip(&plan.sums.loads) {
            let metric = if name == "utilization" {
                UTILIZATION
            } else {
                QUEUE
            };
            // The newest of what came in this period stands.
            *load = met
                .metrics
                .get(metric)
                .and_then(|metric| metric.mean())
                .or(*load);
        }
    }

    /// The events of a period's end.
    pub fn drain(&mut self, members: &Membership) -> Vec<Event> {
        let mut events = Vec::new();
        let covered = std::mem::take(&mut self.covered);
        let reporting = std::mem::take(&mut self.reporting);
        for ((zone, node), sums) in std::mem::take(&mut self.paths) {
            // Each proxy of the zone covers its own span; those joined that were not heard count as
            // silent for now, and as heard when their report comes.
            let proxies = members
                .joined_in(zone)
                .max(reporting.get(&zone).map_or(0, BTreeSet::len))
                .max(1);
            let over = covered.get(&zone).copied().unwrap_or(Span::ZERO) * (1.0 / proxies as f64);
            if sums.tries <= 0.0 || over <= Span::ZERO {
                continue;
            }
            let latency = if sums.latency.0 > 0.0 {
                sums.latency.1 / sums.latency.0 / 1e3
            } else {
                0.0
            };
            // A load that was not told is none: the module leaves out what is below 0.
            let load: Vec<f64> = sums.loads.iter().map(|load| load.unwrap_or(-1.0)).collect();
            let (tries, errored) = (sums.tries, sums.errored);
            events.push(Event::NodeLoadReport {
                zone,
                node,
                attempts: tries,
                failures: errored,
                mean_latency: Span::from_seconds(latency),
                window: over,
                metrics: load,
            });
        }
        for ((proxy, operation), (count, errored, over)) in std::mem::take(&mut self.offered) {
            events.push(Event::DemandReport {
                proxy,
                operation,
                requests: count,
                failures: errored,
                window: over,
            });
        }
        events
    }

    /// A proxy that was forgotten.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.offered.retain(|key, _| key.0 != proxy);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::deployment::tests::plan;
    use crate::membership::{Introduction, StreamId};
    use test_case::test_case;
    use wheelspread::time::Moment;

    const NODE: NodeId = NodeId {
        address: [127, 0, 0, 1],
        port: 9,
    };

    fn members(count: u64) -> Membership {
        let mut members = Membership::default();
        for number in 0..count {
            let who = Introduction {
                name: format!("p{number}"),
                zone: "north".into(),
                usual_rate: None,
            };
            members
                .open(Moment::from_seconds(0.0), StreamId(number), &who, &plan())
                .expect("fine");
        }
        members
    }

    fn report(seconds: f64, succeeded: u64, errored: u64, in_progress: u64) -> LoadReport {
        let node = NodeReport {
            node: Some(NODE),
            succeeded,
            errored,
            in_progress,
            ..NodeReport::default()
        };
        let quote = OperationReport {
            operation: "quote".into(),
            nodes: vec![node],
            ..OperationReport::default()
        };
        LoadReport {
            over: Span::from_seconds(seconds),
            operations: vec![quote],
        }
    }

    #[test]
    fn reports_of_unequal_spans_give_the_rate_they_were_met_at() {
        // Two proxies at 10 a second: one reported twice within the period, the other once.
        let (mut sums, members) = (LoadAggregator::default(), members(2));
        for (proxy, seconds, count) in [(0, 1.0, 10), (0, 1.0, 10), (1, 1.0, 10)] {
            let told = report(seconds, count, 0, 2);
            sums.report(ProxyId(proxy), ZoneId(0), &told, &plan(), |_| true)
                .expect("fine");
        }
        let events = sums.drain(&members);
        let Event::NodeLoadReport {
            attempts: tries,
            window: over,
            mean_latency: latency,
            ..
        } = &events[0]
        else {
            panic!("{events:?}")
        };
        assert_eq!(
            (tries / over.seconds(), latency.seconds()),
            (20.0, 0.2),
            "two in progress at ten a second"
        );
        let offered = |event: &Event| match event {
            Event::DemandReport {
                proxy,
                operation,
                requests: count,
                window: over,
                ..
            } => Some((proxy.0, operation.0, *count, over.seconds())),
            _ => None,
        };
        let offered: Vec<_> = events.iter().filter_map(offered).collect();
        assert_eq!(
            offered,
            [
                (0, 0, 20.0, 2.0),
                (0, 1, 0.0, 2.0),
                (1, 0, 10.0, 1.0),
                (1, 1, 0.0, 1.0)
            ]
        );
        assert_eq!(sums.drain(&members), [], "what was told is not told again");
    }

    #[test]
    fn repeats_are_not_asked_twice_and_who_was_turned_away_was_asked() {
        let (mut sums, members) = (LoadAggregator::default(), members(1));
        let mut told = report(1.0, 8, 4, 0);
        (told.operations[0].repeats, told.operations[0].rate_limited) = (2, 5);
        sums.report(ProxyId(0), ZoneId(0), &told, &plan(), |_| true)
            .expect("fine");
        let events = sums.drain(&members);
        assert!(events.iter().any(
            |event| matches!(event, Event::DemandReport { requests: count, .. } if *count == 15.0)
        ));
    }

    #[test_case(report(0.0, 1, 0, 0); "no span")]
    #[test_case(report(1e6, 1, 0, 0); "days")]
    #[test_case(report(1.0, u64::MAX, u64::MAX, 0); "more than can be counted")]
    #[test_case(LoadReport { operations: vec![OperationReport { repeats: 9, ..Default::default() }], ..report(1.0, 0, 0, 0) };
        "more repeats than tries")]
    fn absurd_reports_change_nothing(told: LoadReport) {
        let mut sums = LoadAggregator::default();
        assert!(sums
            .report(ProxyId(0), ZoneId(0), &told, &plan(), |_| true)
            .is_err());
        assert_eq!(sums.drain(&members(1)), []);
    }

    #[test]
    fn nodes_that_never_were_are_counted_apart() {
        let mut sums = LoadAggregator::default();
        sums.report(
            ProxyId(0),
            ZoneId(0),
            &report(1.0, 5, 0, 0),
            &plan(),
            |_| false,
        )
        .expect("fine");
        assert_eq!(sums.unknown_nodes, 1);
        assert!(!sums
            .drain(&members(1))
            .iter()
            .any(|event| matches!(event, Event::NodeLoadReport { .. })));
    }
}
