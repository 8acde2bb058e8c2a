//! The fault plan: the steps of each fault of the script, their times and their targets.

mod control_plane;
mod nodes;
mod sampling;
mod traffic;

use super::{Drill, Step};
use crate::even_publisher::RuleViolation;
use crate::records::Record;
use crate::script::{Fault, FaultKind};
use crate::stand_in_server::{NodeCommand, NodeKey};
use wheelspread::time::{Moment, Span};

/// When a fault begins and ends.
#[derive(Clone, Copy)]
struct FaultWindow {
    begin: Moment,
    end: Moment,
}

impl Drill<'_> {
    /// Schedules the steps of a fault and records it.
    pub(super) fn plan_fault(&mut self, fault: &Fault) {
        let begin = self.begin + fault.at;
        let window = FaultWindow {
            begin,
            end: begin + fault.span,
        };
        let kind = fault.kind.name();
        self.schedule(begin, Step::Announce(kind.clone()));
        match fault.kind {
            FaultKind::Deploy => self.plan_deploy(fault, window),
            FaultKind::DrainOrder => self.plan_drain_order(fault, window),
            FaultKind::ZoneChange => self.plan_zone_change(fault, window),
            FaultKind::Vanish => self.plan_vanish(fault, window),
            FaultKind::Flapping => self.plan_flapping(fault, window),
            FaultKind::FastErrors => self.plan_fast_errors(fault, window),
            FaultKind::AnswerLost => self.plan_lost_answers(fault, window),
            FaultKind::ConnectionLimit => self.plan_connection_squeeze(fault, window),
            FaultKind::SlowForOneController => self.plan_one_sided(fault, window),
            FaultKind::AllNodesSlow => self.plan_shared_slowness(fault, window),
            FaultKind::SlowLink => self.plan_slow_link(fault, window),
            FaultKind::Preempt => self.plan_preemption(fault, window),
            FaultKind::FleetGrowth => self.plan_growth(fault, window),
            FaultKind::HotCaller => self.plan_hot_caller(fault, window),
            FaultKind::TrafficShift => self.plan_traffic_shift(fault, window),
            FaultKind::Overload => self.plan_overload(fault, window),
            FaultKind::Reconnect => self.plan_reconnect(fault, window),
            FaultKind::ControllersUnreachable => self.plan_unreachable_controllers(fault, window),
            FaultKind::ReportLate => self.plan_late_reports(fault, window),
            FaultKind::ZoneCut => self.plan_zone_cut(window),
            FaultKind::UpdateChannelSlow => self.plan_slow_channel(fault, window),
            FaultKind::BalancerCrash if fault.target.as_deref() == Some("gateway") => {
                self.plan_proxy_crash(fault, window);
            }
            FaultKind::BalancerCrash => self.plan_controller_crash(fault, window),
            FaultKind::BalancerStall => self.plan_controller_stall(fault, window),
            FaultKind::LateList => self.plan_late_list(fault, window),
        }
        let record = Record::Fault {
            kind,
            injected: true,
            span: fault.span.seconds(),
        };
        self.recorder.record(begin, record);
    }

    /// Schedules one step at the begin of a fault and one at its end.
    fn schedule_window(&mut self, window: FaultWindow, on: Step, off: Step) {
        self.schedule(window.begin, on);
        self.schedule(window.end, off);
    }

    /// Schedules the steps that a violation needs in addition to its publisher.
    pub(super) fn plan_violation(&mut self) {
        let at = self.begin + Span::from_seconds(1.0);
        match self.options.violation {
            Some(RuleViolation::RetryUnsafe) => {
                let keys: Vec<NodeKey> = self.fleet.iter().map(|node| node.key).collect();
                let lose = |key| NodeCommand::SetLossRatio(key, 0.3);
                self.schedule(at, Step::SendToNodes(keys.into_iter().map(lose).collect()));
            }
            Some(RuleViolation::KeepDrained) => {
                let nodes = self.sample_nodes(0.1);
                let drain = Span::from_seconds(60.0);
                self.schedule(at, Step::DrainBatch { nodes, drain });
            }
            Some(RuleViolation::OverloadWarming | RuleViolation::EmptyTable) => {
                self.schedule(at, Step::AddNodes { count: 1 });
            }
            Some(RuleViolation::ExceedMessageCap) => {
                let until = at + Span::from_seconds(5.0);
                self.schedule(at, Step::RepublishUntil(until));
            }
            None => {}
        }
    }
}
