//! Faults of nodes, and planned maintenance.

use super::sampling::sample_size;
use super::{Drill, FaultWindow, Step};
use crate::script::Fault;
use crate::stand_in_server::{NodeCommand, NodeKey};
use std::collections::BTreeSet;
use wheelspread::time::Span;
use wheelspread_drain::DrainAction;

/// The ratio of a fault's span in which operators' orders are retried; in the rest they take effect.
const ORDER_RETRY_RATIO: f64 = 0.9;
/// How long the undo of a drain is retried.
const UNDRAIN_RETRY: Span = Span::from_seconds(5.0);
/// How long the undo of a configuration change is retried.
const UNDO_RETRY: Span = Span::from_seconds(8.0);

/// A step that sends the same command to each node.
fn for_each(keys: &[NodeKey], command: impl Fn(NodeKey) -> NodeCommand) -> Step {
    Step::SendToNodes(keys.iter().map(|key| command(*key)).collect())
}

impl Drill<'_> {
    pub(super) fn plan_deploy(&mut self, fault: &Fault, window: FaultWindow) {
        let all = self.sample_nodes(fault.ratio);
        let batch = sample_size(self.fleet.len(), fault.size);
        let batches: Vec<Vec<usize>> = all.chunks(batch).map(<[usize]>::to_vec).collect();
        let every = fault.span * (1.0 / batches.len().max(1) as f64);
        let drain = Span::from_seconds(fault.extra.clamp(0.5, 10.0));
        for (number, nodes) in batches.into_iter().enumerate() {
            let at = window.begin + every * number as f64;
            self.schedule(at, Step::DrainBatch { nodes, drain });
        }
    }

    pub(super) fn plan_drain_order(&mut self, fault: &Fault, window: FaultWindow) {
        let nodes = self.sample_nodes(fault.ratio);
        let drain = Step::OrderDrain {
            nodes: nodes.clone(),
            action: DrainAction::Drain,
            within: fault.span * ORDER_RETRY_RATIO,
        };
        let undrain = Step::OrderDrain {
            nodes,
            action: DrainAction::Undrain,
            within: UNDRAIN_RETRY,
        };
        self.schedule_window(window, drain, undrain);
    }

    pub(super) fn plan_zone_change(&mut self, fault: &Fault, window: FaultWindow) {
        let nodes = self.sample_nodes(fault.ratio);
        let id = format!("moved-at-{}", fault.at.seconds());
        let change = |undo, within| Step::ChangeZones {
            id: id.clone(),
            nodes: nodes.clone(),
            undo,
            within,
        };
        let apply = change(false, fault.span * ORDER_RETRY_RATIO);
        let undo = change(true, UNDO_RETRY);
        self.schedule_window(window, apply, undo);
    }

    pub(super) fn plan_vanish(&mut self, fault: &Fault, window: FaultWindow) {
        let nodes = self.sample_nodes(fault.ratio);
        let silence = Step::SilenceNodes(nodes.clone());
        self.schedule_window(window, silence, Step::RestoreNodes(nodes));
    }

    pub(super) fn plan_flapping(&mut self, fault: &Fault, window: FaultWindow) {
        let nodes = self.sample_nodes(fault.ratio);
        let every = fault.span * (1.0 / nodes.len().max(1) as f64);
        for (number, node) in nodes.into_iter().enumerate() {
            let silent = window.begin + every * number as f64;
            let back = window.begin + every * (number as f64 + 0.8);
            self.schedule(silent, Step::SilenceNodes(vec![node]));
            self.schedule(back, Step::RestoreNodes(vec![node]));
        }
    }

    pub(super) fn plan_fast_errors(&mut self, fault: &Fault, window: FaultWindow) {
        let keys = self.sample_node_keys(fault.ratio);
        let on = for_each(&keys, |key| NodeCommand::SetErrorRatio(key, fault.size));
        let off = for_each(&keys, |key| NodeCommand::SetErrorRatio(key, 0.0));
        self.schedule_window(window, on, off);
    }

    pub(super) fn plan_lost_answers(&mut self, fault: &Fault, window: FaultWindow) {
        let keys = self.sample_node_keys(fault.ratio);
        let on = for_each(&keys, |key| NodeCommand::SetLossRatio(key, fault.size));
        let off = for_each(&keys, |key| NodeCommand::SetLossRatio(key, 0.0));
        self.schedule_window(window, on, off);
    }

    pub(super) fn plan_connection_squeeze(&mut self, fault: &Fault, window: FaultWindow) {
        let keys = self.sample_node_keys(fault.ratio);
        let usual = self.script.nodes.connections;
        // A fifth of `size`, as a ratio of the configured limit; at least 4.
        let few = ((usual as f64 * fault.size.clamp(0.02, 1.0) * 0.2) as usize).max(4);
        let on = for_each(&keys, |key| NodeCommand::SetConnectionLimit(key, few));
        let off = for_each(&keys, |key| NodeCommand::SetConnectionLimit(key, usual));
        self.schedule_window(window, on, off);
    }

    /// Nodes of one kind are slow for the proxies of the first controller.
    pub(super) fn plan_one_sided(&mut self, fault: &Fault, window: FaultWindow) {
        let count = self.controllers.len();
        let proxies: BTreeSet<usize> = (0..self.script.proxies)
            .filter(|at| at % count == 0)
            .collect();
        let kind = usize::from(self.script.nodes.kinds.len() > 1 && fault.ratio < 0.5);
        let one_sided = |proxies, work_factor| {
            Step::SendToNodes(vec![NodeCommand::SetOneSidedFault {
                kind,
                proxies,
                work_factor,
                refuse: false,
            }])
        };
        let work_factor = 1.0 + 3.0 * fault.size.clamp(0.0, 2.0);
        let on = one_sided(proxies, work_factor);
        self.schedule_window(window, on, one_sided(BTreeSet::new(), 1.0));
    }

    pub(super) fn plan_shared_slowness(&mut self, fault: &Fault, window: FaultWindow) {
        let slow = |factor| Step::SendToNodes(vec![NodeCommand::SetWorkFactor(factor)]);
        self.schedule_window(window, slow(fault.size.max(1.0)), slow(1.0));
    }

    pub(super) fn plan_slow_link(&mut self, fault: &Fault, window: FaultWindow) {
        let slow = |seconds| Step::SendToNodes(vec![NodeCommand::SetResponseDelay(seconds)]);
        self.schedule_window(window, slow(fault.size.clamp(0.0, 0.4)), slow(0.0));
    }

    pub(super) fn plan_preemption(&mut self, fault: &Fault, window: FaultWindow) {
        let nodes = self.sample_nodes(fault.ratio);
        let every = fault.span * (1.0 / nodes.len().max(1) as f64);
        for (number, node) in nodes.into_iter().enumerate() {
            let at = window.begin + every * number as f64;
            self.schedule(at, Step::ReplaceNodes { nodes: vec![node] });
        }
    }

    pub(super) fn plan_growth(&mut self, fault: &Fault, window: FaultWindow) {
        let part = fault.ratio.min(fault.size.max(0.05));
        let count = sample_size(self.fleet.len(), part);
        self.schedule(window.begin, Step::AddNodes { count });
    }
}
