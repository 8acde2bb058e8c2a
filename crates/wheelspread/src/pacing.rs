//! Pacing of updates: the update queue to the proxies, message caps, and acknowledgement barriers.
//!
//! All messages of a controller pass through one ordered queue that holds a limited number of entries. Each proxy
//! may be sent a limited number of messages, the message cap, within a sliding window.

use crate::config::Config;
use crate::fleet::Fleet;
use crate::ids::{MarkerId, ProxyId};
use crate::time::{Moment, Span};
use std::collections::{BTreeSet, VecDeque};

/// When an acknowledgement barrier lets the next update step pass.
struct BarrierRule {
    /// Minimum ratio of the proxies of the last step that must have acknowledged its version marker.
    min_acknowledged_ratio: f64,
    /// Time after which the next step is sent without these acknowledgements.
    timeout_seconds: f64,
}

const BARRIER_RULE: BarrierRule = BarrierRule {
    min_acknowledged_ratio: 0.9,
    timeout_seconds: 1.0,
};

/// Ratios of the message cap of a proxy, by kind of update.
struct MessageCapRatios {
    /// Update steps and admission limits: the ratio from which the normal spacing of steps is computed.
    paced_steps: f64,
    /// Update steps and admission limits: no more are sent above this ratio, whatever the spacing.
    max_paced_steps: f64,
    /// Steps that are sent early because the endpoint list or the health of a node has changed.
    early_steps: f64,
    /// Changed weights of existing entries, such as lowered weights of warming nodes.
    weight_adjustments: f64,
}

const MESSAGE_CAP_RATIOS: MessageCapRatios = MessageCapRatios {
    paced_steps: 0.55,
    max_paced_steps: 0.55 + 0.1,
    early_steps: 0.4,
    weight_adjustments: 0.8,
};

/// Ratios of the capacity of the update queue, in entries.
struct QueueRatios {
    /// Maximum fill level at which a step may be published; also the maximum including a publication while proxies
    /// wait to be bound.
    before_step: f64,
    /// Maximum fill level including a publication.
    publication: f64,
    /// Maximum fill level including the tables for joining proxies.
    joins: f64,
}

const QUEUE_RATIOS: QueueRatios = QueueRatios {
    before_step: 0.1,
    publication: 0.5,
    joins: 0.7,
};

/// Interval between two early steps, in report periods.
const EARLY_STEP_PERIODS: f64 = 0.2;
/// Maximum time that an urgent change is held back to save messages, as a ratio of the grace period of a drain.
const MAX_URGENT_SPACING_RATIO: f64 = 0.4;
/// Age at which a message round is no longer tracked, acknowledged or not.
const BARRIER_LIFETIME_SECONDS: f64 = 20.0;
/// Number of distinct version markers; numbers are reused after that.
const MARKER_COUNT: u32 = 65536;

/// One round of messages to proxies, and the proxies that have not acknowledged it.
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
    /// Estimate of the entries that are still queued: the ratio of the proxies that have not acknowledged, times
    /// all entries.
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

/// Message rounds in flight and the times of the last updates.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacing {
    barriers: VecDeque<AckBarrier>,
    last_marker: u32,
    /// When update steps or admission limits were last sent.
    last_paced_at: Option<Moment>,
    /// When changed entries or admission limits of tables were last sent.
    last_update_at: Option<Moment>,
    last_admission_at: Option<Moment>,
}

impl Pacing {
    /// Handles the acknowledgement of a version marker: the proxy has applied everything sent before it.
    pub fn on_acknowledged(&mut self, proxy: ProxyId, marker: MarkerId) {
        let index = self
            .barriers
            .iter()
            .position(|barrier| barrier.marker == marker);
        if let Some(index) = index {
            // The queue is ordered: everything sent before this message has left the queue.
            self.barriers[index].unacknowledged.remove(&proxy);
            for earlier in self.barriers.iter_mut().take(index) {
                earlier.entry_count = 0.0;
            }
        }
    }

    /// Stops waiting for acknowledgements of a proxy that has left.
    pub fn on_left(&mut self, proxy: ProxyId) {
        for barrier in &mut self.barriers {
            barrier.unacknowledged.remove(&proxy);
        }
    }

    /// Removes message rounds that are older than `BARRIER_LIFETIME_SECONDS`.
    pub fn remove_expired(&mut self, now: Moment) {
        let lifetime = Span::from_seconds(BARRIER_LIFETIME_SECONDS);
        self.barriers
            .retain(|barrier| now - barrier.sent_at < lifetime);
    }

    /// Estimate of the entries in the update queue, computed from missing acknowledgements, so that the estimate is
    /// high as soon as the queue is slow.
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

    /// The estimate of queued entries that is used for binding proxies. It leaves out rounds that are older than twice
    /// the sum of the time in which a full queue empties at its configured rate and the maximum queue delay. If no
    /// proxy ever acknowledges, a joining proxy would otherwise wait for its table until these rounds expire.
    pub fn queued_entries_for_joins(&self, config: &Config, now: Moment) -> f64 {
        let entries_per_second = config.queue_entries_per_second;
        if entries_per_second <= 0.0 {
            return self.queued_entries();
        }
        let flush_time =
            Span::from_seconds(config.queue_capacity / entries_per_second) + config.max_queue_delay;
        self.queued_entries_since(now - flush_time * 2.0)
    }

    /// Whether any update may be sent. Draining nodes are removed from tables at once, but a minimum spacing
    /// applies: when nodes drained one after another, each removal took a message of its own and the message cap
    /// was exceeded.
    pub fn may_update(&self, fleet: &Fleet) -> bool {
        let spacing = min_urgent_spacing(fleet);
        has_message_budget(fleet, 1.0)
            && self
                .last_update_at
                .is_none_or(|at| fleet.now - at >= spacing)
    }

    /// Whether update steps and admission limits may be sent. Both share one spacing: when admission limits had
    /// their own, they used up the message cap under high load and no step was sent for 20 s.
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

    /// Whether the barrier of the last step has been passed, by acknowledgements or by its timeout, and the queue
    /// is nearly empty.
    pub fn may_step(&self, fleet: &Fleet) -> bool {
        let last_step = self.barriers.iter().rev().find(|barrier| barrier.is_step);
        last_step.is_none_or(|barrier| barrier.is_passed(fleet.now))
            && self.queued_entries() <= QUEUE_RATIOS.before_step * fleet.config.queue_capacity
    }

    /// Whether the message cap leaves room to change the weights of existing entries, such as those of warming
    /// nodes.
    pub fn may_adjust_weights(&self, fleet: &Fleet) -> bool {
        has_message_budget(fleet, MESSAGE_CAP_RATIOS.weight_adjustments)
    }

    /// How many entries may be published now; below 0 if the queue is too full.
    pub fn publication_headroom(&self, fleet: &Fleet) -> f64 {
        let ratio = if fleet.members.unbound().is_empty() {
            QUEUE_RATIOS.publication
        } else {
            QUEUE_RATIOS.before_step
        };
        fleet.config.queue_capacity * ratio - self.queued_entries()
    }

    /// Maximum entries in the queue including the tables for joining proxies.
    pub fn join_limit(config: &Config) -> f64 {
        config.queue_capacity * QUEUE_RATIOS.joins
    }

    /// Records that update steps and admission limits are sent now.
    pub fn on_paced_publication(&mut self, now: Moment) {
        self.last_paced_at = Some(now);
    }

    /// Records that changed entries or admission limits of tables are sent now.
    pub fn on_update(&mut self, now: Moment) {
        self.last_update_at = Some(now);
    }

    /// Whether admission limits are due, once per report period. If they are due, they are recorded as sent.
    pub fn take_admission_due(&mut self, period: Span, now: Moment) -> bool {
        let is_due = self.last_admission_at.is_none_or(|at| now - at >= period);
        if is_due {
            self.last_admission_at = Some(now);
        }
        is_due
    }

    /// Records a round of messages to the proxies in `unacknowledged`. Returns the version marker that they are to
    /// acknowledge.
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

/// Whether every joined proxy may be sent one more message within the given ratio of the message cap.
fn has_message_budget(fleet: &Fleet, ratio: f64) -> bool {
    let cap = fleet.config.message_cap;
    cap <= 0.0 || fleet.members.max_messages(fleet.now) + 1.0 <= cap * ratio
}

/// Minimum interval between two updates, so that urgent updates do not use up the message cap. It is close to 0 while
/// few messages were sent and grows with the used ratio of the cap. If the grace period of a drain is known, the
/// interval is at most `MAX_URGENT_SPACING_RATIO` of it.
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

/// Minimum interval between two regular steps: a report period, or longer if the message cap requires it.
fn min_step_spacing(fleet: &Fleet) -> Span {
    let cap = fleet.config.message_cap;
    let spacing = if cap > 0.0 {
        fleet.config.message_window.seconds() / (cap * MESSAGE_CAP_RATIOS.paced_steps)
    } else {
        0.0
    };
    fleet.timing.period().max(Span::from_seconds(spacing))
}
