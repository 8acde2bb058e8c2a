//! The queue of table updates, which orders and paces the updates to proxies.
//!
//! A proxy has at most one queued update, that of its newest version. A superseded version is never sent, so a slow
//! disk or a slow proxy builds up no backlog. Removals of entries go first, then updates of proxies without tables.

use crate::deployment::UpdateQueueConfig;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wheelspread::ids::ProxyId;
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

/// Buckets of the window in which updates to one proxy are counted for the message cap.
const WINDOW_BUCKETS: usize = 20;
/// Buckets kept beyond the window, so that an update is counted until it is certainly outside the window.
const MARGIN_BUCKETS: usize = 2;
/// Maximum burst beyond the pacing: entries in flight take up at most this time, plus one update's overhead, and
/// idle time beyond it is not saved up.
const MAX_WRITE_AHEAD: Duration = Duration::from_millis(100);
/// The backoff after the first failed write, as a multiple of the maximum update delay. It doubles with each further
/// failure.
const FIRST_BACKOFF_DELAYS: f64 = 0.5;
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
const MIN_ENTRIES_PER_SECOND: f64 = 1.0;

/// The urgency of an update; more urgent updates go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// The update removes a node, for example because it drains.
    Removal,
    /// The proxy does not hold tables of this controller yet.
    FirstTables,
    /// An ordinary update.
    Update,
    /// The proxy reads files and is not joined.
    Disconnected,
}

#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    queued_at: Moment,
    not_before: Moment,
    entries: f64,
    urgency: Urgency,
}

/// Counts of updates since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateCounts {
    /// Updates that were sent to proxies.
    pub sent: u64,
    /// Queued updates that were replaced by a newer one.
    pub superseded: u64,
}

/// The queued updates and those in flight.
#[derive(Clone, Debug)]
pub struct UpdateQueue {
    entries_per_second: f64,
    /// Cost of each update on top of its entries, in entries.
    overhead_entries: f64,
    /// Message cap: maximum updates to one proxy in the window; 0 means no limit.
    max_updates: f64,
    window: Span,
    max_delay: Span,
    max_queued_entries: f64,
    queued: BTreeMap<ProxyId, QueuedUpdate>,
    send_order: BTreeSet<(Urgency, Moment, ProxyId)>,
    /// Entries in flight to each proxy, overhead included.
    in_flight: BTreeMap<ProxyId, f64>,
    failures: BTreeMap<ProxyId, u32>,
    sent_updates: BTreeMap<ProxyId, RollingWindow<f64>>,
    next_send_at: Moment,
    counts: UpdateCounts,
}

impl UpdateQueue {
    /// An empty queue with the deployment's limits.
    pub fn new(now: Moment, settings: &UpdateQueueConfig) -> UpdateQueue {
        UpdateQueue {
            entries_per_second: settings.entries_per_second.max(MIN_ENTRIES_PER_SECOND),
            overhead_entries: settings.message_overhead_entries,
            max_updates: f64::from(settings.max_messages),
            window: settings.messages_window,
            max_delay: settings.max_delay,
            max_queued_entries: settings.max_queued_entries,
            queued: BTreeMap::new(),
            send_order: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            failures: BTreeMap::new(),
            sent_updates: BTreeMap::new(),
            next_send_at: now,
            counts: UpdateCounts::default(),
        }
    }

    /// Replaces the limits. Updates sent before still count towards the message cap.
    pub fn reconfigure(&mut self, settings: &UpdateQueueConfig) {
        self.set_pacing(settings.entries_per_second);
        self.overhead_entries = settings.message_overhead_entries;
        self.max_delay = settings.max_delay;
        self.max_queued_entries = settings.max_queued_entries;
        self.max_updates = f64::from(settings.max_messages);
    }

    /// Changes the pacing.
    pub fn set_pacing(&mut self, entries_per_second: f64) {
        self.entries_per_second = entries_per_second.max(MIN_ENTRIES_PER_SECOND);
    }

    /// Entries that are queued or in flight, overhead included.
    pub fn queued_entries(&self) -> f64 {
        let queued: f64 = self
            .queued
            .values()
            .map(|update| update.entries + self.overhead_entries)
            .sum();
        // The sum of an empty iterator of f64 is -0; adding 0 makes it 0.
        0.0 + queued + self.entries_in_flight()
    }

    fn entries_in_flight(&self) -> f64 {
        self.in_flight.values().sum()
    }

    /// Whether more entries are queued or in flight than the deployment allows.
    pub fn is_over_limit(&self) -> bool {
        self.queued_entries() > self.max_queued_entries
    }

    /// Counts of updates since the start.
    pub fn counts(&self) -> UpdateCounts {
        self.counts
    }

    /// Queues an update for a proxy; it replaces one that is still queued.
    pub fn enqueue(&mut self, now: Moment, proxy: ProxyId, entries: f64, urgency: Urgency) {
        let replaced = self.remove(proxy);
        self.counts.superseded += u64::from(replaced.is_some());
        self.insert(
            proxy,
            QueuedUpdate {
                // The replaced update's place in the order is kept, so that newer updates do not starve the proxy.
                queued_at: replaced.map_or(now, |replaced| replaced.queued_at),
                not_before: replaced.map_or(now, |replaced| replaced.not_before),
                entries,
                // The higher urgency of the two is kept.
                urgency: replaced.map_or(urgency, |replaced| replaced.urgency.min(urgency)),
            },
        );
    }

    fn insert(&mut self, proxy: ProxyId, update: QueuedUpdate) {
        self.send_order
            .insert((update.urgency, update.queued_at, proxy));
        self.queued.insert(proxy, update);
    }

    fn remove(&mut self, proxy: ProxyId) -> Option<QueuedUpdate> {
        let update = self.queued.remove(&proxy)?;
        self.send_order
            .remove(&(update.urgency, update.queued_at, proxy));
        Some(update)
    }

    /// Drops the queued update of a proxy and the one in flight. Updates sent before still count towards the cap.
    pub fn drop_updates(&mut self, proxy: ProxyId) {
        self.remove(proxy);
        self.in_flight.remove(&proxy);
    }

    /// Forgets a proxy: its queued update, its failures and the updates counted towards the cap.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.remove(proxy);
        self.sent_updates.remove(&proxy);
        self.failures.remove(&proxy);
    }

    /// Puts the next update in flight and returns its proxy; `None` if no update may go now. The update counts as
    /// sent. The caller must then call [`UpdateQueue::on_written`] or [`UpdateQueue::on_write_failed`].
    pub fn start_next(&mut self, now: Moment) -> Option<ProxyId> {
        let write_ahead = MAX_WRITE_AHEAD.as_secs_f64();
        let max_in_flight = self.entries_per_second * write_ahead + self.overhead_entries;
        if self.next_send_at > now || self.entries_in_flight() > max_in_flight {
            return None;
        }
        let (_, _, proxy) = *self
            .send_order
            .iter()
            .find(|(_, _, proxy)| self.can_send(now, *proxy))?;
        let update = self.remove(proxy)?;
        let entries = update.entries + self.overhead_entries;
        self.next_send_at = self.next_send_at.max(now - Span::from_seconds(write_ahead))
            + Span::from_seconds(entries / self.entries_per_second);
        self.in_flight.insert(proxy, entries);
        self.count_sent(now, proxy);
        Some(proxy)
    }

    fn can_send(&self, now: Moment, proxy: ProxyId) -> bool {
        self.queued
            .get(&proxy)
            .is_some_and(|update| update.not_before <= now)
            && !self.in_flight.contains_key(&proxy)
            && self.is_below_update_cap(now, proxy)
    }

    fn count_sent(&mut self, now: Moment, proxy: ProxyId) {
        let bucket = Span::from_seconds(self.window.seconds() / WINDOW_BUCKETS as f64);
        self.sent_updates
            .entry(proxy)
            .or_insert_with(|| RollingWindow::new(bucket, WINDOW_BUCKETS + MARGIN_BUCKETS))
            .add(now, 1.0);
        self.counts.sent += 1;
    }

    fn is_below_update_cap(&self, now: Moment, proxy: ProxyId) -> bool {
        let sent = self
            .sent_updates
            .get(&proxy)
            .map_or(0.0, |window| window.total(now));
        self.max_updates <= 0.0 || sent + 1.0 <= self.max_updates
    }

    /// The update in flight was written for the proxy, or sent to it.
    pub fn on_written(&mut self, proxy: ProxyId) {
        self.in_flight.remove(&proxy);
        self.failures.remove(&proxy);
    }

    /// The write failed: it is retried after the returned backoff. If a newer update was queued meanwhile, it is sent
    /// instead, after the same backoff.
    pub fn on_write_failed(&mut self, now: Moment, proxy: ProxyId, urgency: Urgency) -> Span {
        let entries = self
            .in_flight
            .remove(&proxy)
            .map_or(0.0, |entries| entries - self.overhead_entries);
        let failures = self.failures.entry(proxy).or_insert(0);
        let doublings = (*failures).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = self.max_delay * FIRST_BACKOFF_DELAYS * f64::from(2u32.pow(doublings));
        *failures += 1;
        let newer = self.remove(proxy);
        self.insert(
            proxy,
            QueuedUpdate {
                queued_at: newer.map_or(now, |newer| newer.queued_at),
                not_before: now + backoff,
                entries: newer.map_or(entries, |newer| newer.entries),
                urgency: newer.map_or(urgency, |newer| newer.urgency.min(urgency)),
            },
        );
        backoff
    }

    /// When [`UpdateQueue::start_next`] should be called again; `None` if nothing is queued, or only updates of proxies
    /// with one in flight.
    pub fn wake_at(&self, now: Moment) -> Option<Moment> {
        self.queued
            .iter()
            .filter(|(proxy, _)| !self.in_flight.contains_key(proxy))
            .map(|(proxy, update)| {
                let allowed_at = if self.is_below_update_cap(now, *proxy) {
                    now
                } else {
                    now + self.window * (1.0 / WINDOW_BUCKETS as f64)
                };
                allowed_at.max(update.not_before)
            })
            .min()
            .map(|at| at.max(self.next_send_at))
    }
}

#[cfg(test)]
mod tests;
