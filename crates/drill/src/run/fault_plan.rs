//! The fault plan: which steps each fault of the script takes, when, and whom it strikes.

use super::{Drill, Step};
use crate::audit::Slowed;
use crate::even::Sabotage;
use crate::network::{proxies_in, NetworkCommand};
use crate::records::Record;
use crate::script::{Fault, FaultKind};
use crate::stand_in_server::{NodeCommand, NodeKey};
use std::collections::BTreeSet;
use wheelspread::time::Span;
use wheelspread_drain::DrainAction;

impl Drill<'_> {
    /// Some of a number of things, by chance, in their order.
    fn some(&mut self, count: usize, of: Vec<usize>) -> Vec<usize> {
        let mut left = of;
        let mut chosen = BTreeSet::new();
        while chosen.len() < count && !left.is_empty() {
            let at = (self.chance.unit() * left.len() as f64) as usize;
            chosen.insert(left.swap_remove(at.min(left.len() - 1)));
        }
        chosen.into_iter().collect()
    }

    fn some_nodes(&mut self, part: f64) -> Vec<usize> {
        let open: Vec<usize> = (0..self.fleet.len())
            .filter(|at| !self.fleet[*at].gone && !self.fleet[*at].draining)
            .collect();
        let count = ((open.len() as f64 * part).round() as usize).max(1);
        self.some(count, open)
    }

    fn some_proxies(&mut self, part: f64) -> Vec<usize> {
        let count = ((self.script.proxies as f64 * part).round() as usize).max(1);
        self.some(count, (0..self.script.proxies).collect())
    }

    pub(super) fn plan_fault(&mut self, fault: &Fault) {
        let at = self.begin + fault.at;
        let end = at + fault.span;
        let (part, size) = (fault.part, fault.size);
        let kind = serde_json::to_value(fault.kind)
            .ok()
            .and_then(|kind| kind.as_str().map(str::to_string));
        self.at(at, Step::Tell(kind.unwrap_or_default()));
        let orders = |keys: &[NodeKey], order: &dyn Fn(NodeKey) -> NodeCommand| {
            Step::Orders(keys.iter().map(|key| order(*key)).collect())
        };
        match fault.kind {
            FaultKind::Deploy => {
                let all = self.some_nodes(part);
                let batch = ((self.fleet.len() as f64 * size).round() as usize).max(1);
                let batches: Vec<Vec<usize>> = all.chunks(batch).map(<[usize]>::to_vec).collect();
                let every = fault.span * (1.0 / batches.len().max(1) as f64);
                for (number, out) in batches.into_iter().enumerate() {
                    let drain = Span::from_seconds(fault.extra.clamp(0.5, 10.0));
                    self.at(at + every * number as f64, Step::Batch { out, drain });
                }
            }
            FaultKind::DrainOrder => {
                let nodes = self.some_nodes(part);
                let within = fault.span * 0.9;
                self.at(
                    at,
                    Step::Order {
                        nodes: nodes.clone(),
                        word: DrainAction::Drain,
                        within,
                    },
                );
                let within = Span::from_seconds(5.0);
                self.at(
                    end,
                    Step::Order {
                        nodes,
                        word: DrainAction::Undrain,
                        within,
                    },
                );
            }
            FaultKind::Change => {
                let nodes = self.some_nodes(part);
                let id = format!("moved-at-{}", fault.at.seconds());
                let within = fault.span * 0.9;
                let change = |undo, within| Step::Change {
                    id: id.clone(),
                    nodes: nodes.clone(),
                    undo,
                    within,
                };
                self.at(at, change(false, within));
                self.at(end, change(true, Span::from_seconds(8.0)));
            }
            FaultKind::Vanish => {
                let struck = self.some_nodes(part);
                self.at(at, Step::Vanish(struck.clone()));
                self.at(end, Step::Return(struck));
            }
            FaultKind::Flapping => {
                let struck = self.some_nodes(part);
                let every = fault.span * (1.0 / struck.len().max(1) as f64);
                for (number, node) in struck.into_iter().enumerate() {
                    self.at(at + every * number as f64, Step::Vanish(vec![node]));
                    self.at(at + every * (number as f64 + 0.8), Step::Return(vec![node]));
                }
            }
            FaultKind::FastErrors | FaultKind::AnswerLost | FaultKind::ConnSqueeze => {
                let struck = self.some_nodes(part);
                let keys: Vec<NodeKey> = struck.iter().map(|node| self.fleet[*node].key).collect();
                let usual = self.script.nodes.connections;
                // As many connections as a fifth of the size says, four at least.
                let few = ((usual as f64 * size.clamp(0.02, 1.0) * 0.2) as usize).max(4);
                type Order = Box<dyn Fn(NodeKey) -> NodeCommand>;
                let (on, off): (Order, Order) = match fault.kind {
                    FaultKind::FastErrors => (
                        Box::new(move |key| NodeCommand::Errors(key, size)),
                        Box::new(|key| NodeCommand::Errors(key, 0.0)),
                    ),
                    FaultKind::AnswerLost => (
                        Box::new(move |key| NodeCommand::AnswersLost(key, size)),
                        Box::new(|key| NodeCommand::AnswersLost(key, 0.0)),
                    ),
                    _ => (
                        Box::new(move |key| NodeCommand::Connections(key, few)),
                        Box::new(move |key| NodeCommand::Connections(key, usual)),
                    ),
                };
                self.at(at, orders(&keys, &on));
                self.at(end, orders(&keys, &off));
            }
            FaultKind::OneSided => {
                let count = self.controllers.len();
                let proxies: BTreeSet<usize> = (0..self.script.proxies)
                    .filter(|at| at % count == 0)
                    .collect();
                let kind = usize::from(self.script.nodes.kinds.len() > 1 && part < 0.5);
                let slow = 1.0 + 3.0 * size.clamp(0.0, 2.0);
                self.at(
                    at,
                    Step::Orders(vec![NodeCommand::OneSided {
                        kind,
                        proxies,
                        slow,
                        refuse: false,
                    }]),
                );
                let none = NodeCommand::OneSided {
                    kind,
                    proxies: BTreeSet::new(),
                    slow: 1.0,
                    refuse: false,
                };
                self.at(end, Step::Orders(vec![none]));
            }
            FaultKind::SharedSlow => {
                self.at(at, Step::Orders(vec![NodeCommand::Slow(size.max(1.0))]));
                self.at(end, Step::Orders(vec![NodeCommand::Slow(1.0)]));
            }
            FaultKind::SlowLink => {
                self.at(
                    at,
                    Step::Orders(vec![NodeCommand::SlowLink(size.clamp(0.0, 0.4))]),
                );
                self.at(end, Step::Orders(vec![NodeCommand::SlowLink(0.0)]));
            }
            FaultKind::HotCaller => {
                let some = self.some_proxies(part);
                let factor = 1.0 + size * self.script.proxies as f64 / some.len() as f64;
                self.at(
                    at,
                    Step::Rate {
                        proxies: Some(some.clone()),
                        factor,
                    },
                );
                self.at(
                    end,
                    Step::Rate {
                        proxies: Some(some),
                        factor: 1.0,
                    },
                );
            }
            FaultKind::Shift => {
                let zones = self.script.deployment.zones.len();
                let from = ((self.chance.unit() * zones as f64) as usize).min(zones - 1);
                // It moves for good.
                self.at(
                    at,
                    Step::Shift {
                        from,
                        to: (from + 1) % zones,
                        part: size.clamp(0.0, 1.0),
                    },
                );
            }
            FaultKind::Overload => {
                self.at(
                    at,
                    Step::Rate {
                        proxies: None,
                        factor: size,
                    },
                );
                self.at(
                    end,
                    Step::Rate {
                        proxies: None,
                        factor: 1.0,
                    },
                );
            }
            FaultKind::Reconnect => {
                let some = self.some_proxies(size.clamp(0.0, 1.0));
                self.at(
                    at,
                    Step::Wire(NetworkCommand::Break(some.into_iter().collect())),
                );
            }
            FaultKind::CounterDown => {
                let some = self.some_proxies(part);
                self.at(
                    at,
                    Step::Wire(NetworkCommand::Refuse(some.into_iter().collect())),
                );
                self.at(end, Step::Wire(NetworkCommand::Refuse(BTreeSet::new())));
            }
            FaultKind::ReportLate => {
                self.at(at, Step::Wire(NetworkCommand::Late(size.clamp(0.0, 10.0))));
                self.at(end, Step::Wire(NetworkCommand::Late(0.0)));
            }
            FaultKind::ZoneCut => {
                // The last zone, which no controller stands in where there are fewer of them than zones.
                let zone = self.script.deployment.zones.len() - 1;
                let zones = self.zones.iter().copied().enumerate().collect();
                self.at(at, Step::Orders(vec![NodeCommand::Cut(Some(zone))]));
                self.at(
                    at,
                    Step::Wire(NetworkCommand::Hold(proxies_in(&zones, zone))),
                );
                self.at(end, Step::Orders(vec![NodeCommand::Cut(None)]));
                self.at(end, Step::Wire(NetworkCommand::Hold(BTreeSet::new())));
            }
            FaultKind::OriginSlow => {
                let factor = size.max(1.0);
                let from = self.recorder.at(at);
                self.slowed.push(Slowed {
                    from,
                    to: self.recorder.at(end),
                    factor,
                });
                self.at(at, Step::Pace { factor });
                self.at(end, Step::Pace { factor: 1.0 });
            }
            FaultKind::BalancerCrash if fault.whom.as_deref() == Some("gateway") => {
                let some = self.some_proxies(part);
                self.at(at, Step::KillProxies(some.clone()));
                self.at(end, Step::StartProxies(some));
            }
            FaultKind::BalancerCrash | FaultKind::BalancerStall => {
                let count = ((self.controllers.len() as f64 * part).round() as usize).max(1);
                let some = self.some(count, (0..self.controllers.len()).collect());
                let crash = fault.kind == FaultKind::BalancerCrash;
                let (on, off) = match crash {
                    true => (
                        Step::KillControllers(some.clone()),
                        Step::StartControllers(some),
                    ),
                    false => (Step::Stall(some.clone(), true), Step::Stall(some, false)),
                };
                self.at(at, on);
                self.at(end, off);
            }
            FaultKind::Preempt => {
                let out = self.some_nodes(part);
                let every = fault.span * (1.0 / out.len().max(1) as f64);
                for (number, node) in out.into_iter().enumerate() {
                    self.at(at + every * number as f64, Step::Swap { out: vec![node] });
                }
            }
            FaultKind::Grow => {
                let count =
                    ((self.fleet.len() as f64 * part.min(size.max(0.05))).round() as usize).max(1);
                self.at(at, Step::Come { count });
            }
            FaultKind::LateList => {
                let late = self.script.list_delay + Span::from_seconds(size.clamp(0.0, 20.0));
                let usual = self.script.list_delay;
                self.at(at, Step::ListDelay(late));
                self.at(end, Step::ListDelay(usual));
            }
        }
        let kind = serde_json::to_value(fault.kind)
            .ok()
            .and_then(|kind| kind.as_str().map(str::to_string));
        let (kind, span) = (kind.unwrap_or_default(), fault.span.seconds());
        self.recorder.note(
            at,
            Record::Fault {
                kind,
                injected: true,
                span,
            },
        );
    }

    /// What a sabotaged run needs besides its writer.
    pub(super) fn plan_sabotage(&mut self) {
        let at = self.begin + Span::from_seconds(1.0);
        match self.options.sabotage {
            Some(Sabotage::Repeat) => {
                let keys: Vec<NodeKey> = self.fleet.iter().map(|node| node.key).collect();
                self.at(
                    at,
                    Step::Orders(
                        keys.into_iter()
                            .map(|key| NodeCommand::AnswersLost(key, 0.3))
                            .collect(),
                    ),
                );
            }
            Some(Sabotage::KeepDrained) => {
                let out = self.some_nodes(0.1);
                self.at(
                    at,
                    Step::Batch {
                        out,
                        drain: Span::from_seconds(60.0),
                    },
                );
            }
            Some(Sabotage::FloodCold | Sabotage::EmptyTable) => {
                self.at(at, Step::Come { count: 1 })
            }
            Some(Sabotage::Overfill) => self.at(
                at,
                Step::Swarm {
                    until: at + Span::from_seconds(5.0),
                },
            ),
            None => {}
        }
    }
}
