//! The findings of the checks, with their values and the text that is stored and shown to operators.

use crate::change::Finding;
use std::fmt;
use wheelspread::time::Span;

/// The value served now and after a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedValue {
    /// The value served per second now.
    pub now_per_s: f64,
    /// The value served per second after the change.
    pub after_per_s: f64,
    /// The loss as a ratio of the value served now; negative if the value increases.
    pub loss_ratio: f64,
    /// The maximum allowed `loss_ratio`.
    pub max_loss_ratio: f64,
    /// Whether `loss_ratio` exceeds `max_loss_ratio`.
    pub exceeds_limit: bool,
    /// The number of hosts whose capacity would be used up.
    pub full_hosts: usize,
    /// The number of hosts after the change.
    pub hosts: usize,
}

/// The result of a check.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckFinding {
    /// An operation would have no host for a zone that has demand for it.
    ZoneWithoutHost {
        /// The operation.
        operation: String,
        /// The zone.
        zone: String,
        /// The demand of the zone for the operation, in invocations per second.
        demand_per_s: f64,
        /// The number of hosts that serve the operation for the zone now.
        hosts_now: usize,
    },
    /// Every operation would have a host for each zone that has demand for it.
    EveryZoneHasHosts,
    /// The solver rejects the fleet as it would be after the change.
    NoSolution(wheelspread_solve::SolveInputError),
    /// The solver rejects the current fleet and accepts the fleet after the change.
    NothingServedNow {
        /// The value served per second after the change.
        value_after_per_s: f64,
    },
    /// The value served now and after the change.
    ServedValue(ServedValue),
    /// The share of all work that hosts in slow start would carry.
    SlowStartWork {
        /// The number of hosts that would be in slow start.
        hosts: usize,
        /// Their share of all work.
        work_share: f64,
        /// The maximum allowed `work_share`.
        max_work_share: f64,
        /// Whether `work_share` exceeds `max_work_share`.
        exceeds_limit: bool,
    },
    /// The minimum time until all proxies have the change.
    PropagationTime {
        /// The number of hosts that are added, removed, or have another zone or capacity.
        changed_hosts: usize,
        /// The number of entries sent to all proxies together, including the fixed cost of messages.
        entries: f64,
        /// The number of messages to each proxy.
        messages: f64,
        /// The number of proxies.
        proxies: f64,
        /// The minimum propagation time, in seconds.
        min_seconds: f64,
        /// The maximum allowed propagation time.
        limit: Span,
        /// Whether `min_seconds` exceeds `limit`.
        exceeds_limit: bool,
    },
}

impl CheckFinding {
    /// The name of the check, as stored and shown to operators.
    pub fn check_name(&self) -> &'static str {
        match self {
            CheckFinding::ZoneWithoutHost { .. } | CheckFinding::EveryZoneHasHosts => "pools",
            CheckFinding::NoSolution(_)
            | CheckFinding::NothingServedNow { .. }
            | CheckFinding::ServedValue(_) => "capacity",
            CheckFinding::SlowStartWork { .. } => "cold",
            CheckFinding::PropagationTime { .. } => "channel",
        }
    }

    /// Whether the finding forbids the change.
    pub fn forbids(&self) -> bool {
        match self {
            CheckFinding::ZoneWithoutHost { .. } | CheckFinding::NoSolution(_) => true,
            CheckFinding::EveryZoneHasHosts | CheckFinding::NothingServedNow { .. } => false,
            CheckFinding::ServedValue(ServedValue { exceeds_limit, .. })
            | CheckFinding::SlowStartWork { exceeds_limit, .. }
            | CheckFinding::PropagationTime { exceeds_limit, .. } => *exceeds_limit,
        }
    }
}

impl fmt::Display for ServedValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "value served {:.2} a second now, {:.2} after ({:+.1}%, {:.1}% may be lost), {} of {} hosts full",
            self.now_per_s,
            self.after_per_s,
            -self.loss_ratio * 100.0,
            self.max_loss_ratio * 100.0,
            self.full_hosts,
            self.hosts
        )
    }
}

/// The texts are stored with the change and shown to operators.
impl fmt::Display for CheckFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CheckFinding::ZoneWithoutHost {
                operation,
                zone,
                demand_per_s,
                hosts_now,
            } => write!(
                f,
                "no host for `{operation}` in `{zone}`, which asks for {demand_per_s:.1}/s ({hosts_now} hosts now)"
            ),
            CheckFinding::EveryZoneHasHosts => {
                write!(f, "every zone has a host for what it asks for")
            }
            CheckFinding::NoSolution(error) => write!(f, "{error}"),
            CheckFinding::NothingServedNow { value_after_per_s } => write!(
                f,
                "{value_after_per_s:.2} a second would be served; now nothing can be"
            ),
            CheckFinding::ServedValue(value) => write!(f, "{value}"),
            CheckFinding::SlowStartWork {
                hosts,
                work_share,
                max_work_share,
                ..
            } => write!(
                f,
                "{hosts} cold hosts would carry {:.1}% of the work ({:.1}% may be)",
                work_share * 100.0,
                max_work_share * 100.0
            ),
            CheckFinding::PropagationTime {
                changed_hosts,
                entries,
                messages,
                proxies,
                min_seconds,
                limit,
                ..
            } => write!(
                f,
                "{changed_hosts} hosts change: {entries:.0} lines and {messages:.0} messages to each of {proxies:.0} \
                 gateways, at least {min_seconds:.1} s ({:.1} s at most)",
                limit.seconds()
            ),
        }
    }
}

impl From<CheckFinding> for Finding {
    fn from(found: CheckFinding) -> Finding {
        Finding {
            check: found.check_name().to_string(),
            text: found.to_string(),
            forbids: found.forbids(),
        }
    }
}
