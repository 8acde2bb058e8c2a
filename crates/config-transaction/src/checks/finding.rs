//! What the checks find, with figures, and the text in which an operator reads it.

use crate::change::Finding;
use std::fmt;
use wheelspread::time::Span;

/// The value served now and after a change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedValue {
    /// Value a second now.
    pub now_per_s: f64,
    /// Value a second afterwards.
    pub after_per_s: f64,
    /// The share of the value now that would be lost; negative: it rises.
    pub loss_ratio: f64,
    /// The share that may be lost.
    pub max_loss_ratio: f64,
    /// Whether more would be lost than may be.
    pub exceeds_limit: bool,
    /// Hosts whose capacity would be used up.
    pub full_hosts: usize,
    /// All hosts afterwards.
    pub hosts: usize,
}

/// What a check found.
#[derive(Clone, Debug, PartialEq)]
pub enum CheckFinding {
    /// An operation would have no host in a zone that asks for it.
    ZoneWithoutHost {
        /// The operation.
        operation: String,
        /// The zone.
        zone: String,
        /// Requests a second that the zone asks for.
        demand_per_s: f64,
        /// Hosts that serve it there now.
        hosts_now: usize,
    },
    /// No zone would be without a host for what it asks for.
    EveryZoneHasHosts,
    /// The solver finds no weights for the fleet afterwards.
    NoSolution(wheelspread_solve::SolveInputError),
    /// The solver finds weights only for the fleet afterwards.
    NothingServedNow {
        /// Value a second afterwards.
        value_after_per_s: f64,
    },
    /// The value served now and afterwards.
    ServedValue(ServedValue),
    /// The work that hosts in slow start would carry.
    SlowStartWork {
        /// How many hosts would be in slow start.
        hosts: usize,
        /// Their share of all work.
        work_share: f64,
        /// The share that they may have.
        max_work_share: f64,
        /// Whether they would have more.
        exceeds_limit: bool,
    },
    /// The time until all proxies have the change.
    PropagationTime {
        /// Hosts that are added, removed or weighted anew.
        changed_hosts: usize,
        /// Entries to all proxies together.
        entries: f64,
        /// Messages to each proxy.
        messages: f64,
        /// How many proxies there are.
        proxies: f64,
        /// The shortest time that it can take, in seconds.
        min_seconds: f64,
        /// The time that it may take.
        limit: Span,
        /// Whether it takes longer.
        exceeds_limit: bool,
    },
}

impl CheckFinding {
    /// The name of the check, as it is stored and shown.
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

    /// Whether it forbids the change.
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

/// The texts are stored with the change and read by operators.
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
