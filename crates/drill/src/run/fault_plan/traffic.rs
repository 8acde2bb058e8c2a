//! Faults of traffic: what comes to the proxies, and from where.

use super::{Drill, FaultWindow, Step};
use crate::script::Fault;

impl Drill<'_> {
    pub(super) fn plan_hot_caller(&mut self, fault: &Fault, window: FaultWindow) {
        let proxies = self.sample_proxies(fault.ratio);
        let factor = 1.0 + fault.size * self.script.proxies as f64 / proxies.len() as f64;
        let rate = |factor| Step::Rate {
            proxies: Some(proxies.clone()),
            factor,
        };
        self.between(window, rate(factor), rate(1.0));
    }

    /// It moves for good: nothing takes the shift back at the end.
    pub(super) fn plan_shift(&mut self, fault: &Fault, window: FaultWindow) {
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
        let rate = |factor| Step::Rate {
            proxies: None,
            factor,
        };
        self.between(window, rate(fault.size), rate(1.0));
    }
}
