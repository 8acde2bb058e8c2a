//! The queue of table updates: what waits for which proxy, whose turn it is, and at what pace.
//!
//! A proxy has at most one update waiting, its newest version: what is superseded is never sent, so a slow disk
//! or a slow proxy builds up no backlog. Removals of entries go first, then proxies that hold nothing.

use crate::deployment::UpdateQueueConfig;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use wheelspread::ids::ProxyId;
use wheelspread::rolling_window::RollingWindow;
use wheelspread::time::{Moment, Span};

/// Buckets of the window in which updates to one proxy are counted; two more are kept, so that an update
/// counts until it is surely outside.
const WINDOW_BUCKETS: usize = 20;
const MARGIN_BUCKETS: usize = 2;
/// The queue writes so far ahead of its pace, and saves up no more idle time than this.
const MAX_WRITE_AHEAD: Duration = Duration::from_millis(100);
/// The first wait after a failed write, as a multiple of the longest delay of an update; it doubles with each
/// further failure.
const FIRST_BACKOFF_DELAYS: f64 = 0.5;
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
const MIN_ENTRIES_PER_SECOND: f64 = 1.0;

/// In which order updates go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// It takes a node away, as when it drains.
    Removal,
    /// The proxy holds no tables of this controller yet.
    FirstTables,
    /// An ordinary update.
    Update,
    /// The proxy's stream broke; it still reads what is swapped in.
    Disconnected,
}

#[derive(Clone, Copy, Debug)]
struct QueuedUpdate {
    queued_at: Moment,
    not_before: Moment,
    entries: f64,
    urgency: Urgency,
}

/// How many updates went out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateCounts {
    /// Updates that were sent to proxies.
    pub sent: u64,
    /// Updates that a newer one replaced while they waited.
    pub superseded: u64,
}

/// The updates that wait and those being written.
#[derive(Clone, Debug)]
pub struct UpdateQueue {
    entries_per_second: f64,
    /// Counted for each update on top of its entries.
    overhead_entries: f64,
    /// In the window, to one proxy; 0: no limit.
    max_updates: f64,
    window: Span,
    max_delay: Span,
    max_queued_entries: f64,
    queued: BTreeMap<ProxyId, QueuedUpdate>,
    turns: BTreeSet<(Urgency, Moment, ProxyId)>,
    /// Entries that are being written, overhead included.
    in_flight: BTreeMap<ProxyId, f64>,
    failures: BTreeMap<ProxyId, u32>,
    written: BTreeMap<ProxyId, RollingWindow<f64>>,
    free_at: Moment,
    counts: UpdateCounts,
}

impl UpdateQueue {
    /// An empty queue with the deployment's limits.
    pub fn new(now: Moment, plan: &UpdateQueueConfig) -> UpdateQueue {
        UpdateQueue {
            entries_per_second: plan.entries_per_second.max(MIN_ENTRIES_PER_SECOND),
            overhead_entries: plan.message_overhead_entries,
            max_updates: f64::from(plan.max_messages),
            window: plan.messages_window,
            max_delay: plan.max_delay,
            max_queued_entries: plan.max_queued_entries,
            queued: BTreeMap::new(),
            turns: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            failures: BTreeMap::new(),
            written: BTreeMap::new(),
            free_at: now,
            counts: UpdateCounts::default(),
        }
    }

    /// Other limits from now on; updates that were written still count.
    pub fn reconfigure(&mut self, plan: &UpdateQueueConfig) {
        self.set_pace(plan.entries_per_second);
        self.overhead_entries = plan.message_overhead_entries;
        self.max_delay = plan.max_delay;
        self.max_queued_entries = plan.max_queued_entries;
        self.max_updates = f64::from(plan.max_messages);
    }

    /// Another pace, as when settings are read again.
    pub fn set_pace(&mut self, entries_per_second: f64) {
        self.entries_per_second = entries_per_second.max(MIN_ENTRIES_PER_SECOND);
    }

    /// Entries that wait or are being written, overhead included.
    pub fn queued_entries(&self) -> f64 {
        let queued: f64 = self
            .queued
            .values()
            .map(|update| update.entries + self.overhead_entries)
            .sum();
        // Adding to 0 keeps the sum of nothing from being -0.
        0.0 + queued + self.entries_in_flight()
    }

    fn entries_in_flight(&self) -> f64 {
        self.in_flight.values().sum()
    }

    /// Whether more entries wait than the deployment allows.
    pub fn is_over_limit(&self) -> bool {
        self.queued_entries() > self.max_queued_entries
    }

    /// How many updates went out until now.
    pub fn counts(&self) -> UpdateCounts {
        self.counts
    }

    /// Queues an update for a proxy, in the place of one that still waits.
    pub fn offer(&mut self, now: Moment, proxy: ProxyId, entries: f64, urgency: Urgency) {
        let replaced = self.remove(proxy);
        self.counts.superseded += u64::from(replaced.is_some());
        self.insert(
            proxy,
            QueuedUpdate {
                // The turn is that of the first update: a proxy isn't starved by newer ones.
                queued_at: replaced.map_or(now, |replaced| replaced.queued_at),
                not_before: replaced.map_or(now, |replaced| replaced.not_before),
                entries,
                // What was more urgent stays so.
                urgency: replaced.map_or(urgency, |replaced| replaced.urgency.min(urgency)),
            },
        );
    }

    fn insert(&mut self, proxy: ProxyId, update: QueuedUpdate) {
        self.turns.insert((update.urgency, update.queued_at, proxy));
        self.queued.insert(proxy, update);
    }

    fn remove(&mut self, proxy: ProxyId) -> Option<QueuedUpdate> {
        let update = self.queued.remove(&proxy)?;
        self.turns
            .remove(&(update.urgency, update.queued_at, proxy));
        Some(update)
    }

    /// Drops what waits for a proxy or is being written for it; updates that it got still count.
    pub fn drop_updates(&mut self, proxy: ProxyId) {
        self.remove(proxy);
        self.in_flight.remove(&proxy);
    }

    /// Nothing is known of a proxy any more and nothing waits for it.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.remove(proxy);
        self.written.remove(&proxy);
        self.failures.remove(&proxy);
    }

    /// The proxy whose update goes now. It counts as written; [`UpdateQueue::on_written`] or
    /// [`UpdateQueue::on_write_failed`] must follow.
    pub fn next(&mut self, now: Moment) -> Option<ProxyId> {
        let ahead = MAX_WRITE_AHEAD.as_secs_f64();
        let max_in_flight = self.entries_per_second * ahead + self.overhead_entries;
        if self.free_at > now || self.entries_in_flight() > max_in_flight {
            return None;
        }
        let (_, _, proxy) = *self
            .turns
            .iter()
            .find(|(_, _, proxy)| self.may_go(now, *proxy))?;
        let update = self.remove(proxy)?;
        let entries = update.entries + self.overhead_entries;
        self.free_at = self.free_at.max(now - Span::from_seconds(ahead))
            + Span::from_seconds(entries / self.entries_per_second);
        self.in_flight.insert(proxy, entries);
        self.count_written(now, proxy);
        Some(proxy)
    }

    fn may_go(&self, now: Moment, proxy: ProxyId) -> bool {
        self.queued
            .get(&proxy)
            .is_some_and(|update| update.not_before <= now)
            && !self.in_flight.contains_key(&proxy)
            && self.is_below_update_cap(now, proxy)
    }

    fn count_written(&mut self, now: Moment, proxy: ProxyId) {
        let bucket = Span::from_seconds(self.window.seconds() / WINDOW_BUCKETS as f64);
        self.written
            .entry(proxy)
            .or_insert_with(|| RollingWindow::new(bucket, WINDOW_BUCKETS + MARGIN_BUCKETS))
            .add(now, 1.0);
        self.counts.sent += 1;
    }

    fn is_below_update_cap(&self, now: Moment, proxy: ProxyId) -> bool {
        let written = self
            .written
            .get(&proxy)
            .map_or(0.0, |window| window.total(now));
        self.max_updates <= 0.0 || written + 1.0 <= self.max_updates
    }

    /// The update was written for the proxy, or sent to it.
    pub fn on_written(&mut self, proxy: ProxyId) {
        self.in_flight.remove(&proxy);
        self.failures.remove(&proxy);
    }

    /// The write failed: it is retried after a backoff, which is returned. A newer update that came meanwhile
    /// waits as long and goes in its place.
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

    /// When [`UpdateQueue::next`] should be called again; `None` while nothing waits, or only for a write.
    pub fn wake_at(&self, now: Moment) -> Option<Moment> {
        self.queued
            .iter()
            .filter(|(proxy, _)| !self.in_flight.contains_key(proxy))
            .map(|(proxy, update)| {
                let free = if self.is_below_update_cap(now, *proxy) {
                    now
                } else {
                    now + self.window * (1.0 / WINDOW_BUCKETS as f64)
                };
                free.max(update.not_before)
            })
            .min()
            .map(|at| at.max(self.free_at))
    }
}

#[cfg(test)]
mod tests;
