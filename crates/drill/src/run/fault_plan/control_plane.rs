//! Faults of controllers and proxies, of the network between them, and of the endpoint list.

use super::{Drill, FaultWindow, Step};
use crate::audit::SlowedPeriod;
use crate::network::{proxies_in_zone, NetworkCommand};
use crate::script::Fault;
use crate::stand_in_server::NodeCommand;
use std::collections::BTreeSet;
use wheelspread::time::Span;

impl Drill<'_> {
    pub(super) fn plan_reconnect(&mut self, fault: &Fault, window: FaultWindow) {
        let proxies = self.sample_proxies(fault.size.clamp(0.0, 1.0));
        let streams = NetworkCommand::ResetStreams(proxies.into_iter().collect());
        self.schedule(window.begin, Step::SendToNetwork(streams));
    }

    pub(super) fn plan_unreachable_controllers(&mut self, fault: &Fault, window: FaultWindow) {
        let proxies = self.sample_proxies(fault.ratio);
        let refuse = |proxies| Step::SendToNetwork(NetworkCommand::RefuseConnections(proxies));
        let on = refuse(proxies.into_iter().collect());
        self.schedule_window(window, on, refuse(BTreeSet::new()));
    }

    pub(super) fn plan_late_reports(&mut self, fault: &Fault, window: FaultWindow) {
        let late = |seconds| Step::SendToNetwork(NetworkCommand::SetDelay(seconds));
        self.schedule_window(window, late(fault.size.clamp(0.0, 10.0)), late(0.0));
    }

    /// Cuts off the last zone. It contains no controller if there are fewer controllers than zones.
    pub(super) fn plan_zone_cut(&mut self, window: FaultWindow) {
        let zone = self.script.deployment.zones.len() - 1;
        let zones = self.zones.iter().copied().enumerate().collect();
        let cut = |zone| Step::SendToNodes(vec![NodeCommand::SetZoneCut(zone)]);
        let hold = |proxies| Step::SendToNetwork(NetworkCommand::Pause(proxies));
        self.schedule_window(window, cut(Some(zone)), cut(None));
        let held = hold(proxies_in_zone(&zones, zone));
        self.schedule_window(window, held, hold(BTreeSet::new()));
    }

    pub(super) fn plan_slow_channel(&mut self, fault: &Fault, window: FaultWindow) {
        let factor = fault.size.max(1.0);
        self.slowed_periods.push(SlowedPeriod {
            from: self.recorder.seconds_at(window.begin),
            to: self.recorder.seconds_at(window.end),
            factor,
        });
        let slow = |factor| Step::SlowChannel { factor };
        self.schedule_window(window, slow(factor), slow(1.0));
    }

    pub(super) fn plan_proxy_crash(&mut self, fault: &Fault, window: FaultWindow) {
        let proxies = self.sample_proxies(fault.ratio);
        let kill = Step::KillProxies(proxies.clone());
        self.schedule_window(window, kill, Step::StartProxies(proxies));
    }

    pub(super) fn plan_controller_crash(&mut self, fault: &Fault, window: FaultWindow) {
        let controllers = self.sample_controllers(fault.ratio);
        let kill = Step::KillControllers(controllers.clone());
        self.schedule_window(window, kill, Step::StartControllers(controllers));
    }

    pub(super) fn plan_controller_stall(&mut self, fault: &Fault, window: FaultWindow) {
        let controllers = self.sample_controllers(fault.ratio);
        let pause = Step::PauseControllers(controllers.clone());
        self.schedule_window(window, pause, Step::ResumeControllers(controllers));
    }

    pub(super) fn plan_late_list(&mut self, fault: &Fault, window: FaultWindow) {
        let base_delay = self.script.list_delay;
        let late = base_delay + Span::from_seconds(fault.size.clamp(0.0, 20.0));
        let delay = Step::SetListDelay(late);
        self.schedule_window(window, delay, Step::SetListDelay(base_delay));
    }
}
