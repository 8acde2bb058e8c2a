//! The channel's ledger: what waits for which proxy, whose turn it is, and at what pace. A proxy has at
//! most one message waiting, the newest version: what is overtaken is never sent, so a slow channel or a
//! slow proxy costs no queue. Lines taken away go first, then proxies that hold nothing.

use crate::deployment::ChannelPlan;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::ProxyId;
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Takes a node away, as when it drains.
    Removal,
    /// The proxy holds nothing of ours yet.
    Empty,
    Change,
    /// The proxy's stream broke; it still reads what is swapped in.
    Away,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    since: Moment,
    not_before: Moment,
    lines: f64,
    urgency: Urgency,
}

#[derive(Clone, Debug)]
struct Flight {
    lines: f64,
}

/// Buckets of the window in which messages to one proxy are counted; two more than it, so that a
/// message counts until it is surely outside.
const BUCKETS: usize = 20;
/// Of a second's lines: so much may be on its way to the disk before the next is sent.
const AHEAD: f64 = 0.1;
/// To the longest delay of a message: the first wait after a write failed; then twice that, and so on.
const AFTER_FAILURE: f64 = 0.5;
const DOUBLINGS: u32 = 5;

#[derive(Clone, Debug)]
pub struct UpdateQueue {
    lines_per_second: f64,
    head: f64,
    most_messages: f64,
    window: Span,
    delay: Span,
    most_waiting: f64,
    waiting: BTreeMap<ProxyId, Waiting>,
    turns: BTreeSet<(Urgency, Moment, ProxyId)>,
    in_flight: BTreeMap<ProxyId, Flight>,
    failures: BTreeMap<ProxyId, u32>,
    written: BTreeMap<ProxyId, RollingWindow<f64>>,
    free_at: Moment,
    pub messages: u64,
    pub overtaken: u64,
}

impl UpdateQueue {
    pub fn new(now: Moment, plan: &ChannelPlan) -> UpdateQueue {
        UpdateQueue {
            lines_per_second: plan.lines_per_second.max(1.0),
            head: plan.head_lines,
            most_messages: f64::from(plan.messages_at_most),
            window: plan.messages_window,
            delay: plan.delay_at_most,
            most_waiting: plan.lines_waiting_at_most,
            waiting: BTreeMap::new(),
            turns: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            failures: BTreeMap::new(),
            written: BTreeMap::new(),
            free_at: now,
            messages: 0,
            overtaken: 0,
        }
    }

    /// Other limits, from now on; what was written counts on.
    pub fn set_plan(&mut self, plan: &ChannelPlan) {
        self.set_pace(plan.lines_per_second);
        (self.head, self.delay, self.most_waiting) = (
            plan.head_lines,
            plan.delay_at_most,
            plan.lines_waiting_at_most,
        );
        self.most_messages = f64::from(plan.messages_at_most);
    }

    /// A new pace, as when settings are read again.
    pub fn set_pace(&mut self, lines_per_second: f64) {
        self.lines_per_second = lines_per_second.max(1.0);
    }

    /// What waits here and on its way to the disk, heads included.
    pub fn lines_waiting(&self) -> f64 {
        let flying: f64 = self.in_flight.values().map(|flight| flight.lines).sum();
        // Adding to 0 keeps the sum of nothing from being -0.
        0.0 + self
            .waiting
            .values()
            .map(|waiting| waiting.lines + self.head)
            .sum::<f64>()
            + flying
    }

    pub fn full(&self) -> bool {
        self.lines_waiting() > self.most_waiting
    }

    /// A message for a proxy, in the place of one that still waits.
    pub fn offer(&mut self, now: Moment, proxy: ProxyId, lines: f64, urgency: Urgency) {
        let before = self.withhold(proxy);
        self.overtaken += u64::from(before.is_some());
        // What is more urgent stays so, and its turn is that of the first: nobody starves by news.
        let waiting = Waiting {
            since: before.map_or(now, |before| before.since),
            not_before: before.map_or(now, |before| before.not_before),
            lines,
            urgency: before.map_or(urgency, |before| before.urgency.min(urgency)),
        };
        self.put(proxy, waiting);
    }

    fn put(&mut self, proxy: ProxyId, waiting: Waiting) {
        self.turns.insert((waiting.urgency, waiting.since, proxy));
        self.waiting.insert(proxy, waiting);
    }

    fn withhold(&mut self, proxy: ProxyId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&proxy)?;
        self.turns.remove(&(waiting.urgency, waiting.since, proxy));
        Some(waiting)
    }

    /// What waits for this proxy is not sent; what was sent to it still counts.
    pub fn drop_message(&mut self, proxy: ProxyId) {
        self.withhold(proxy);
        self.in_flight.remove(&proxy);
    }

    /// Nothing need be sent to this proxy any more.
    pub fn drop_proxy(&mut self, proxy: ProxyId) {
        self.withhold(proxy);
        self.written.remove(&proxy);
        self.failures.remove(&proxy);
    }

    /// Whose message goes now. It counts as written; `done` or `failed` must follow.
    pub fn next(&mut self, now: Moment) -> Option<ProxyId> {
        let ahead = Span::from_seconds(AHEAD);
        let flying: f64 = self.in_flight.values().map(|flight| flight.lines).sum();
        if self.free_at > now || flying > self.lines_per_second * AHEAD + self.head {
            return None;
        }
        let may = |(_, _, proxy): &&(Urgency, Moment, ProxyId)| {
            let waiting = &self.waiting[proxy];
            waiting.not_before <= now
                && !self.in_flight.contains_key(proxy)
                && self.may_write(now, *proxy)
        };
        let proxy = self.turns.iter().find(may)?.2;
        let waiting = self.withhold(proxy)?;
        let lines = waiting.lines + self.head;
        // Idle time is not saved up beyond a tenth of a second.
        self.free_at =
            self.free_at.max(now - ahead) + Span::from_seconds(lines / self.lines_per_second);
        self.in_flight.insert(proxy, Flight { lines });
        let bucket = Span::from_seconds(self.window.seconds() / BUCKETS as f64);
        self.written
            .entry(proxy)
            .or_insert_with(|| RollingWindow::new(bucket, BUCKETS + 2))
            .add(now, 1.0);
        self.messages += 1;
        Some(proxy)
    }

    fn may_write(&self, now: Moment, proxy: ProxyId) -> bool {
        let written = self.written.get(&proxy).map_or(0.0, |ring| ring.total(now));
        self.most_messages <= 0.0 || written + 1.0 <= self.most_messages
    }

    pub fn done(&mut self, proxy: ProxyId) {
        self.in_flight.remove(&proxy);
        self.failures.remove(&proxy);
    }

    /// The write failed: it is tried again after a wait that doubles. A newer message, if one has come
    /// meanwhile, waits as long and goes in its place.
    pub fn failed(&mut self, now: Moment, proxy: ProxyId, urgency: Urgency) -> Span {
        let lines = self
            .in_flight
            .remove(&proxy)
            .map_or(0.0, |flight| flight.lines - self.head);
        let failures = self.failures.entry(proxy).or_insert(0);
        let wait = self.delay * AFTER_FAILURE * f64::from(2u32.pow((*failures).min(DOUBLINGS)));
        *failures += 1;
        let before = self.withhold(proxy);
        let waiting = Waiting {
            since: before.map_or(now, |before| before.since),
            not_before: now + wait,
            lines: before.map_or(lines, |before| before.lines),
            urgency: before.map_or(urgency, |before| before.urgency.min(urgency)),
        };
        self.put(proxy, waiting);
        wait
    }

    /// When `next` should be asked again; `None` while nothing waits, or only for `done`.
    pub fn wake_at(&self, now: Moment) -> Option<Moment> {
        let due = |(proxy, waiting): (&ProxyId, &Waiting)| {
            let capped = !self.may_write(now, *proxy);
            let free = if capped {
                now + self.window * (1.0 / BUCKETS as f64)
            } else {
                now
            };
            (!self.in_flight.contains_key(proxy)).then_some(free.max(waiting.not_before))
        };
        self.waiting
            .iter()
            .filter_map(due)
            .min()
            .map(|at| at.max(self.free_at))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::deployment::tests::plan;
    use proptest::prelude::*;

    fn at(seconds: f64) -> Moment {
        Moment::from_seconds(seconds)
    }

    fn channel(lines_per_second: f64, messages_at_most: u32) -> UpdateQueue {
        let plan = ChannelPlan {
            lines_per_second,
            messages_at_most,
            ..plan().channel
        };
        UpdateQueue::new(at(0.0), &plan)
    }

    #[test]
    fn removals_go_before_joins_and_changes_and_the_newest_in_the_place_of_the_old() {
        let mut channel = channel(1e6, 0);
        for (proxy, urgency) in [
            (1, Urgency::Away),
            (2, Urgency::Change),
            (3, Urgency::Empty),
            (4, Urgency::Change),
        ] {
            channel.offer(at(1.0), ProxyId(proxy), 5.0, urgency);
        }
        channel.offer(at(2.0), ProxyId(4), 3.0, Urgency::Removal);
        channel.offer(at(2.5), ProxyId(4), 4.0, Urgency::Change);
        assert_eq!(
            (channel.lines_waiting(), channel.overtaken),
            (4.0 * 6.0 + 15.0 + 4.0, 2)
        );
        let order: Vec<u16> = std::iter::from_fn(|| channel.next(at(3.0)))
            .map(|proxy| proxy.0)
            .collect();
        assert_eq!(order, [4, 3, 2, 1]);
    }

    #[test]
    fn a_slow_channel_keeps_its_pace_and_no_queue() {
        let mut channel = channel(100.0, 0);
        let mut sent = 0;
        for tick in 0..1000 {
            let now = at(10.0 + f64::from(tick) * 0.01);
            for proxy in 0..20 {
                channel.offer(now, ProxyId(proxy), 4.0, Urgency::Change);
            }
            while let Some(proxy) = channel.next(now) {
                channel.done(proxy);
                sent += 1;
            }
            assert!(channel.lines_waiting() <= 20.0 * 10.0);
        }
        // Ten seconds at 100 lines a second and ten lines a message.
        assert!((98..=103).contains(&sent), "{sent}");
    }

    #[test]
    fn a_write_that_fails_is_tried_again_later_each_time_with_the_newest() {
        let mut channel = channel(1e6, 0);
        channel.offer(at(1.0), ProxyId(1), 5.0, Urgency::Change);
        assert_eq!(channel.next(at(1.0)), Some(ProxyId(1)));
        channel.offer(at(1.1), ProxyId(1), 2.0, Urgency::Change);
        assert_eq!(
            channel.next(at(1.2)),
            None,
            "one write of a proxy at a time"
        );
        let first = channel.failed(at(1.2), ProxyId(1), Urgency::Change);
        assert_eq!(channel.next(at(1.2)), None);
        let later = at(1.2) + first;
        assert_eq!(channel.wake_at(at(1.2)), Some(later));
        assert_eq!(channel.next(later), Some(ProxyId(1)));
        assert_eq!(
            channel.failed(later, ProxyId(1), Urgency::Change),
            first * 2.0
        );
        assert_eq!(channel.next(at(100.0)), Some(ProxyId(1)));
        channel.done(ProxyId(1));
        assert_eq!(channel.lines_waiting(), 0.0);
    }

    proptest! {
        // Whatever is offered and whenever the channel is asked, no proxy gets more than its cap.
        #[test]
        fn the_cap_on_messages_holds(steps in prop::collection::vec((0u16..4, 0u64..400, any::<bool>()), 1..400)) {
            let mut channel = channel(1e5, 5);
            let (mut now, mut sent) = (at(0.0), BTreeMap::<ProxyId, Vec<Moment>>::new());
            for (proxy, wait, fails) in steps {
                now = now + Span::from_seconds(wait as f64 / 1000.0);
                channel.offer(now, ProxyId(proxy), 1.0, Urgency::Change);
                while let Some(proxy) = channel.next(now) {
                    sent.entry(proxy).or_default().push(now);
                    if fails { channel.failed(now, proxy, Urgency::Change); } else { channel.done(proxy); }
                }
            }
            for times in sent.values() {
                for (place, first) in times.iter().enumerate() {
                    let within = times[place..].iter().filter(|at| **at - *first < Span::from_seconds(10.0));
                    prop_assert!(within.count() <= 5);
                }
            }
        }
    }
}
