//! Faults of traffic: changes of the rates of proxies and zones.

use super::{Drill, FaultWindow, Step};
use crate::script::Fault;

impl Drill<'_> {
    pub(super) fn plan_hot_caller(&mut self, fault: &Fault, window: FaultWindow) {
        let proxies = self.sample_proxies(fault.ratio);
        let factor = 1.0 + fault.size * self.script.proxies as f64 / proxies.len() as f64;
        let rate = |factor| Step::SetRate {
            proxies: Some(proxies.clone()),
            factor,
        };
        self.schedule_window(window, rate(factor), rate(1.0));
    }

    /// Moves traffic from a random zone to the next. The shift is permanent.
    pub(super) fn plan_traffic_shift(&mut self, fault: &Fault, window: FaultWindow) {
        let zones = self.script.deployment.zones.len();
        let from = ((self.rng.unit() * zones as f64) as usize).min(zones - 1);
        let shift = Step::ShiftTraffic {
            from,
            to: (from + 1) % zones,
            ratio: fault.size.clamp(0.0, 1.0),
        };
        self.schedule(window.begin, shift);
    }

    pub(super) fn plan_overload(&mut self, fault: &Fault, window: FaultWindow) {
        let rate = |factor| Step::SetRate {
            proxies: None,
            factor,
        };
        self.schedule_window(window, rate(fault.size), rate(1.0));
    }
}
