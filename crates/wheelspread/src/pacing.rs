//! Pacing of updates: the update queue to the proxies, message caps, and acknowledgement barriers.
//!
//! Everything a controller sends goes through one ordered queue that holds a limited number of entries, and each
//! proxy may be sent a limited number of messages within a window.

use crate::config::Config;
use crate::fleet::Fleet;
use crate::ids::{MarkerId, ProxyId};
use crate::time::{Moment, Span};
use std::collections::{BTreeSet, VecDeque};

/// When the next step may follow.
struct BarrierRule {
    /// Of the proxies asked: so many must have acknowledged the last step.
    min_acknowledged_ratio: f64,
    /// Seconds after which the next step goes out all the same.
    timeout_seconds: f64,
}

const BARRIER_RULE: BarrierRule = BarrierRule {
    min_acknowledged_ratio: 0.9,
    timeout_seconds: 1.0,
};

/// Of a proxy's message cap, for each sort of update.
struct MessageCapRatios {
    /// Steps and admission ratios, at their usual pace.
    paced_steps: f64,
    /// The same up to that, whatever the pace.
    max_paced_steps: f64,
    /// Steps after the endpoint list or health has changed.
    early_steps: f64,
    /// Lowered entries of warming nodes.
    warming_limits: f64,
}

const MESSAGE_CAP_RATIOS: MessageCapRatios = MessageCapRatios {
    paced_steps: 0.55,
    max_paced_steps: 0.55 + 0.1,
    early_steps: 0.4,
    warming_limits: 0.8,
};

/// Of the entries that the update queue may hold.
struct QueueRatios {
    /// At most, before a step; and what one publication may add while proxies wait to be bound.
    before_step: f64,
    /// At most, with what is published.
    publication: f64,
    /// At most, with what joining proxies are sent.
    joins: f64,
}

const QUEUE_RATIOS: QueueRatios = QueueRatios {
    before_step: 0.1,
    publication: 0.5,
    joins: 0.7,
};

/// Report periods between two hurried steps.
const EARLY_STEP_PERIODS: f64 = 0.2;
/// Of a drain's grace: what cannot wait waits no longer for the message cap's sake.
const MAX_URGENT_SPACING_RATIO: f64 = 0.4;
/// Seconds after which an update is no longer waited for.
const BARRIER_LIFETIME_SECONDS: f64 = 20.0;
/// Marker numbers are reused after so many.
const MARKER_COUNT: u32 = 65536;

/// One message round on its way, and who has not acknowledged it.
#[derive(Clone, Debug)]
struct AckBarrier {
    marker: MarkerId,
    sent_at: Moment,
    entry_count: f64,
    proxy_count: usize,
    unacknowledged: BTreeSet<ProxyId>,
    is_step: bool,
}

impl AckBarrier {
    /// Entries that may still be queued, by the proxies that have not acknowledged.
    fn remaining_entries(&self) -> f64 {
        self.entry_count * self.unacknowledged.len() as f64 / self.proxy_count.max(1) as f64
    }

    fn is_passed(&self, now: Moment) -> bool {
        let max_unacknowledged =
            self.proxy_count as f64 * (1.0 - BARRIER_RULE.min_acknowledged_ratio);
        self.unacknowledged.len() as f64 <= max_unacknowledged
            || now - self.sent_at >= Span::from_seconds(BARRIER_RULE.timeout_seconds)
    }
}

/// What was sent, and when.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacing {
    barriers: VecDeque<AckBarrier>,
    last_marker: u32,
    last_paced_at: Option<Moment>,
    /// When entries or admission ratios were last sent to proxies that were bound before.
    last_update_at: Option<Moment>,
    last_admission_at: Option<Moment>,
}

impl Pacing {
    /// A proxy has applied everything up to a marker.
    pub fn on_acknowledged(&mut self, proxy: ProxyId, marker: MarkerId) {
        let position = self
            .barriers
            .iter()
            .position(|barrier| barrier.marker == marker);
        if let Some(position) = position {
            // The queue is in order: what was sent before this message has left it.
            self.barriers[position].unacknowledged.remove(&proxy);
            for earlier in self.barriers.iter_mut().take(position) {
                earlier.entry_count = 0.0;
            }
        }
    }

    /// Nobody waits for a proxy that has left.
    pub fn on_left(&mut self, proxy: ProxyId) {
        for barrier in &mut self.barriers {
            barrier.unacknowledged.remove(&proxy);
        }
    }

    /// Drops updates that are no longer waited for.
    pub fn drop_expired(&mut self, now: Moment) {
        let lifetime = Span::from_seconds(BARRIER_LIFETIME_SECONDS);
        self.barriers
            .retain(|barrier| now - barrier.sent_at < lifetime);
    }

    /// Entries that may still wait in the queue, by acknowledgements: a slow queue shows in them at once.
    pub fn queued_entries(&self) -> f64 {
        self.queued_entries_since(Moment::default())
    }

    fn queued_entries_since(&self, since: Moment) -> f64 {
        let barriers = self
            .barriers
            .iter()
            .filter(|barrier| barrier.sent_at >= since);
        barriers.map(AckBarrier::remaining_entries).sum()
    }

    /// The same for those who wait to be bound: a full queue at its pace has been empty twice since what is older.
    /// Where nobody acknowledges at all, a proxy would wait for an entry as long as for an acknowledgement.
    pub fn queued_entries_for_joins(&self, config: &Config, now: Moment) -> f64 {
        let entries_per_second = config.queue_entries_per_second;
        if entries_per_second <= 0.0 {
            return self.queued_entries();
        }
        let flush_time =
            Span::from_seconds(config.queue_capacity / entries_per_second) + config.max_queue_delay;
        self.queued_entries_since(now - flush_time * 2.0)
    }

    /// Whether anything may be sent. Drained nodes leave at once, but where one after another drains, each by
    /// itself took more messages than a proxy may get.
    pub fn may_update(&self, fleet: &Fleet) -> bool {
        let spacing = min_urgent_spacing(fleet);
        has_message_budget(fleet, 1.0)
            && self
                .last_update_at
                .is_none_or(|at| fleet.now - at >= spacing)
    }

    /// Whether steps and admission ratios may be sent. They share one pace: on their own, admission ratios once
    /// took all the messages allowed under strain and no step went out for 20 s.
    pub fn may_publish_paced(&self, fleet: &Fleet, is_step_requested: bool) -> bool {
        let is_early =
            is_step_requested && has_message_budget(fleet, MESSAGE_CAP_RATIOS.early_steps);
        let spacing = if is_early {
            fleet.timing.period() * EARLY_STEP_PERIODS
        } else {
            min_step_spacing(fleet)
        };
        self.last_paced_at
            .is_none_or(|at| fleet.now - at >= spacing)
            && self.queued_entries() <= QUEUE_RATIOS.publication * fleet.config.queue_capacity
            && has_message_budget(fleet, MESSAGE_CAP_RATIOS.max_paced_steps)
    }

    /// Whether the last step has arrived, or was sent long enough ago, and the queue is nearly empty.
    pub fn may_step(&self, fleet: &Fleet) -> bool {
        let last = self.barriers.iter().rev().find(|barrier| barrier.is_step);
        last.is_none_or(|barrier| barrier.is_passed(fleet.now))
            && self.queued_entries() <= QUEUE_RATIOS.before_step * fleet.config.queue_capacity
    }

    /// Whether entries of warming nodes may be lowered by themselves.
    pub fn may_limit_warming(&self, fleet: &Fleet) -> bool {
        has_message_budget(fleet, MESSAGE_CAP_RATIOS.warming_limits)
    }

    /// Entries that may be published now.
    pub fn publication_headroom(&self, fleet: &Fleet) -> f64 {
        let ratio = if fleet.members.unbound().is_empty() {
            QUEUE_RATIOS.publication
        } else {
            QUEUE_RATIOS.before_step
        };
        fleet.config.queue_capacity * ratio - self.queued_entries()
    }

    /// Entries that the queue may hold with what joining proxies are sent.
    pub fn join_limit(config: &Config) -> f64 {
        config.queue_capacity * QUEUE_RATIOS.joins
    }

    /// Steps and admission ratios are sent now.
    pub fn on_paced_publication(&mut self, now: Moment) {
        self.last_paced_at = Some(now);
    }

    /// Something is sent now to proxies that were bound before.
    pub fn on_update(&mut self, now: Moment) {
        self.last_update_at = Some(now);
    }

    /// Whether admission ratios are due, once a report period; they then count as sent.
    pub fn take_admission_due(&mut self, period: Span, now: Moment) -> bool {
        let is_due = self.last_admission_at.is_none_or(|at| now - at >= period);
        if is_due {
            self.last_admission_at = Some(now);
        }
        is_due
    }

    /// Notes a message round; returns the marker that the proxies are to acknowledge.
    pub fn on_sent(
        &mut self,
        now: Moment,
        unacknowledged: BTreeSet<ProxyId>,
        entry_count: f64,
        is_step: bool,
    ) -> MarkerId {
        self.last_marker = (self.last_marker + 1) % MARKER_COUNT;
        let marker = MarkerId(self.last_marker);
        let proxy_count = unacknowledged.len();
        self.barriers.push_back(AckBarrier {
            marker,
            sent_at: now,
            entry_count,
            proxy_count,
            unacknowledged,
            is_step,
        });
        marker
    }
}

/// Whether every joined proxy may still be sent a message, within a part of what its cap allows.
fn has_message_budget(fleet: &Fleet, ratio: f64) -> bool {
    let cap = fleet.config.message_cap;
    cap <= 0.0 || fleet.members.max_messages(fleet.now) + 1.0 <= cap * ratio
}

/// The least time between two messages of what cannot wait, so that it never takes the whole cap: hardly any
/// while little was sent, more the nearer the cap, up to a part of the time that a drain has.
fn min_urgent_spacing(fleet: &Fleet) -> Span {
    let (cap, grace) = (fleet.config.message_cap, fleet.config.drain_grace.seconds());
    if cap <= 0.0 {
        return Span::ZERO;
    }
    let used_ratio = (fleet.members.max_messages(fleet.now) / cap).min(0.99);
    let spacing = fleet.config.message_window.seconds() / cap * used_ratio / (1.0 - used_ratio);
    Span::from_seconds(if grace > 0.0 {
        spacing.min(grace * MAX_URGENT_SPACING_RATIO)
    } else {
        spacing
    })
}

/// The least time between two steps that keep to their part of the cap.
fn min_step_spacing(fleet: &Fleet) -> Span {
    let cap = fleet.config.message_cap;
    let spacing = if cap > 0.0 {
        fleet.config.message_window.seconds() / (cap * MESSAGE_CAP_RATIOS.paced_steps)
    } else {
        0.0
    };
    fleet.timing.period().max(Span::from_seconds(spacing))
}
