//! What proxies told of the service they gave, over the last minutes: by zone and operation, in buckets of
//! the period of sums that are used again in a ring. Changes are judged by it.

use crate::load_report::{LoadReport, LATENCY};
use std::collections::BTreeMap;
use std::ops::AddAssign;
use wheelspread::ids::{OperationId, ProxyId, ZoneId};
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

/// Invocations, but for `tries` and `errored`, which count every try.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub asked: f64,
    pub succeeded: f64,
    pub rate_limited: f64,
    pub tries: f64,
    pub errored: f64,
    /// How many were timed, and how long they took together, in seconds.
    pub timed: f64,
    pub seconds: f64,
}

impl AddAssign for Tally {
    fn add_assign(&mut self, more: Tally) {
        self.asked += more.asked;
        self.succeeded += more.succeeded;
        self.rate_limited += more.rate_limited;
        self.tries += more.tries;
        self.errored += more.errored;
        self.timed += more.timed;
        self.seconds += more.seconds;
    }
}

/// By zone of the proxy and operation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tallies(pub BTreeMap<(ZoneId, OperationId), Tally>);

impl AddAssign for Tallies {
    fn add_assign(&mut self, more: Tallies) {
        for (key, tally) in more.0 {
            *self.0.entry(key).or_default() += tally;
        }
    }
}

impl Tallies {
    pub fn of(&self, operation: OperationId) -> Tally {
        let mut all = Tally::default();
        let own = self.0.iter().filter(|((_, of), _)| *of == operation);
        own.for_each(|(_, tally)| all += *tally);
        all
    }
}

/// Periods that are kept.
const KEPT: usize = 300;

#[derive(Clone, Debug)]
pub struct ServiceHistory {
    width: Span,
    ring: RollingWindow<Tallies>,
    /// When each proxy last reported.
    heard: BTreeMap<ProxyId, Moment>,
}

impl ServiceHistory {
    pub fn new(period: Span) -> ServiceHistory {
        ServiceHistory {
            width: period,
            ring: RollingWindow::new(period, KEPT),
            heard: BTreeMap::new(),
        }
    }

    /// A report that was found sound; `operation` looks up a name.
    pub fn hear(
        &mut self,
        now: Moment,
        proxy: ProxyId,
        zone: ZoneId,
        report: &LoadReport,
        operation: impl Fn(&str) -> Option<OperationId>,
    ) {
        self.heard.insert(proxy, now);
        let mut all = Tallies::default();
        for told in &report.operations {
            let Some(id) = operation(&told.operation) else {
                continue;
            };
            let tally = all.0.entry((zone, id)).or_default();
            for node in &told.nodes {
                tally.succeeded += node.succeeded as f64;
                tally.errored += node.errored as f64;
                tally.tries += node.succeeded as f64 + node.errored as f64;
                if let Some((metric, mean)) =
                    node.metrics.get(LATENCY).and_then(|m| Some((m, m.mean()?)))
                {
                    tally.timed += metric.count as f64;
                    tally.seconds += metric.count as f64 * mean / 1e3;
                }
            }
            tally.rate_limited += told.rate_limited as f64;
            tally.asked += (tally.tries - told.repeats as f64).max(0.0) + told.rate_limited as f64;
        }
        self.ring.add(now, all);
    }

    /// When a proxy last reported, and when any did.
    pub fn heard(&self, proxy: ProxyId) -> Option<Moment> {
        self.heard.get(&proxy).copied()
    }

    pub fn heard_last(&self) -> Option<Moment> {
        self.heard.values().copied().max()
    }

    pub fn forget(&mut self, proxy: ProxyId) {
        self.heard.remove(&proxy);
    }

    /// What was told from `from` up to `to`, and over how many seconds; what is older than the ring is left out.
    pub fn between(&self, from: Moment, to: Moment) -> (Tallies, f64) {
        let count =
            ((to - from).micros() / self.width.micros().max(1)).clamp(0, KEPT as i64) as usize;
        (
            self.ring.last(to, count),
            self.width.seconds() * count as f64,
        )
    }

    /// Up to when all of these proxies that report have told what they met. Some never do, as clients that
    /// only read streams of tables; `None` if that is all of them.
    pub fn known_until(&self, proxies: impl Iterator<Item = ProxyId>) -> Option<Moment> {
        proxies
            .filter_map(|proxy| self.heard.get(&proxy).copied())
            .min()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::load_report::{NodeReport, OperationReport};

    fn at(seconds: f64) -> Moment {
        Moment::from_seconds(seconds)
    }

    fn report(succeeded: u64, errored: u64, repeats: u64, rate_limited: u64) -> LoadReport {
        let node = NodeReport {
            succeeded,
            errored,
            ..NodeReport::default()
        };
        let operation = OperationReport {
            operation: "quote".into(),
            rate_limited,
            repeats,
            nodes: vec![node],
        };
        LoadReport {
            over: Span::from_seconds(1.0),
            operations: vec![operation],
        }
    }

    #[test]
    fn a_span_is_counted_apart_from_what_came_before_and_after() {
        let mut measured = ServiceHistory::new(Span::from_seconds(1.0));
        let quote = |name: &str| (name == "quote").then_some(OperationId(0));
        for second in 0..20 {
            let told = if second < 10 {
                report(9, 1, 1, 2)
            } else {
                report(0, 10, 0, 0)
            };
            measured.hear(
                at(f64::from(second) + 0.5),
                ProxyId(1),
                ZoneId(0),
                &told,
                quote,
            );
        }
        let (before, seconds) = measured.between(at(4.9), at(9.9));
        let tally = before.of(OperationId(0));
        assert_eq!(
            (seconds, tally.asked, tally.succeeded, tally.errored),
            (5.0, 55.0, 45.0, 5.0)
        );
        assert_eq!(
            measured
                .between(at(9.9), at(19.9))
                .0
                .of(OperationId(0))
                .succeeded,
            0.0
        );
    }

    #[test]
    fn what_is_known_ends_where_the_last_proxy_was_heard() {
        let mut measured = ServiceHistory::new(Span::from_seconds(1.0));
        let both = || [ProxyId(1), ProxyId(2)].into_iter();
        assert_eq!(
            measured.known_until(both()),
            None,
            "nobody has said anything"
        );
        measured.hear(at(1.0), ProxyId(1), ZoneId(0), &report(1, 0, 0, 0), |_| {
            None
        });
        assert_eq!(
            measured.known_until(both()),
            Some(at(1.0)),
            "the other may never"
        );
        measured.hear(at(3.0), ProxyId(2), ZoneId(0), &report(1, 0, 0, 0), |_| {
            None
        });
        assert_eq!(measured.known_until(both()), Some(at(1.0)));
    }
}
