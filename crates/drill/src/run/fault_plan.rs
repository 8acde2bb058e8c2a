//! The fault plan: which steps each fault of the script takes, when, and whom it strikes.

use super::{Drill, Step};
use crate::audit::Slowed;
use crate::even::Sabotage;
use crate::node::{NodeKey, NodeOrder};
use crate::records::Record;
use crate::script::{Trouble, TroubleKind};
use crate::wire::{gateways_in, WireOrder};
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

    fn some_gateways(&mut self, part: f64) -> Vec<usize> {
        let count = ((self.script.gateways as f64 * part).round() as usize).max(1);
        self.some(count, (0..self.script.gateways).collect())
    }

    pub(super) fn plan_trouble(&mut self, trouble: &Trouble) {
        let at = self.begin + trouble.at;
        let end = at + trouble.span;
        let (part, size) = (trouble.part, trouble.size);
        let kind = serde_json::to_value(trouble.kind)
            .ok()
            .and_then(|kind| kind.as_str().map(str::to_string));
        self.at(at, Step::Tell(kind.unwrap_or_default()));
        let orders = |keys: &[NodeKey], order: &dyn Fn(NodeKey) -> NodeOrder| {
            Step::Orders(keys.iter().map(|key| order(*key)).collect())
        };
        match trouble.kind {
            TroubleKind::Deploy => {
                let all = self.some_nodes(part);
                let batch = ((self.fleet.len() as f64 * size).round() as usize).max(1);
                let batches: Vec<Vec<usize>> = all.chunks(batch).map(<[usize]>::to_vec).collect();
                let every = trouble.span * (1.0 / batches.len().max(1) as f64);
                for (number, out) in batches.into_iter().enumerate() {
                    let drain = Span::from_seconds(trouble.extra.clamp(0.5, 10.0));
                    self.at(at + every * number as f64, Step::Batch { out, drain });
                }
            }
            TroubleKind::DrainOrder => {
                let nodes = self.some_nodes(part);
                let within = trouble.span * 0.9;
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
            TroubleKind::Change => {
                let nodes = self.some_nodes(part);
                let id = format!("moved-at-{}", trouble.at.seconds());
                let within = trouble.span * 0.9;
                let change = |undo, within| Step::Change {
                    id: id.clone(),
                    nodes: nodes.clone(),
                    undo,
                    within,
                };
                self.at(at, change(false, within));
                self.at(end, change(true, Span::from_seconds(8.0)));
            }
            TroubleKind::Vanish => {
                let struck = self.some_nodes(part);
                self.at(at, Step::Vanish(struck.clone()));
                self.at(end, Step::Return(struck));
            }
            TroubleKind::Flapping => {
                let struck = self.some_nodes(part);
                let every = trouble.span * (1.0 / struck.len().max(1) as f64);
                for (number, node) in struck.into_iter().enumerate() {
                    self.at(at + every * number as f64, Step::Vanish(vec![node]));
                    self.at(at + every * (number as f64 + 0.8), Step::Return(vec![node]));
                }
            }
            TroubleKind::FastErrors | TroubleKind::AnswerLost | TroubleKind::ConnSqueeze => {
                let struck = self.some_nodes(part);
                let keys: Vec<NodeKey> = struck.iter().map(|node| self.fleet[*node].key).collect();
                let usual = self.script.nodes.connections;
                // As many connections as a fifth of the size says, four at least.
                let few = ((usual as f64 * size.clamp(0.02, 1.0) * 0.2) as usize).max(4);
                type Order = Box<dyn Fn(NodeKey) -> NodeOrder>;
                let (on, off): (Order, Order) = match trouble.kind {
                    TroubleKind::FastErrors => (
                        Box::new(move |key| NodeOrder::Errors(key, size)),
                        Box::new(|key| NodeOrder::Errors(key, 0.0)),
                    ),
                    TroubleKind::AnswerLost => (
                        Box::new(move |key| NodeOrder::AnswersLost(key, size)),
                        Box::new(|key| NodeOrder::AnswersLost(key, 0.0)),
                    ),
                    _ => (
                        Box::new(move |key| NodeOrder::Connections(key, few)),
                        Box::new(move |key| NodeOrder::Connections(key, usual)),
                    ),
                };
                self.at(at, orders(&keys, &on));
                self.at(end, orders(&keys, &off));
            }
            TroubleKind::OneSided => {
                let count = self.sides.len();
                let gateways: BTreeSet<usize> = (0..self.script.gateways)
                    .filter(|at| at % count == 0)
                    .collect();
                let kind = usize::from(self.script.nodes.kinds.len() > 1 && part < 0.5);
                let slow = 1.0 + 3.0 * size.clamp(0.0, 2.0);
                self.at(
                    at,
                    Step::Orders(vec![NodeOrder::OneSided {
                        kind,
                        gateways,
                        slow,
                        refuse: false,
                    }]),
                );
                let none = NodeOrder::OneSided {
                    kind,
                    gateways: BTreeSet::new(),
                    slow: 1.0,
                    refuse: false,
                };
                self.at(end, Step::Orders(vec![none]));
            }
            TroubleKind::SharedSlow => {
                self.at(at, Step::Orders(vec![NodeOrder::Slow(size.max(1.0))]));
                self.at(end, Step::Orders(vec![NodeOrder::Slow(1.0)]));
            }
            TroubleKind::SlowLink => {
                self.at(
                    at,
                    Step::Orders(vec![NodeOrder::SlowLink(size.clamp(0.0, 0.4))]),
                );
                self.at(end, Step::Orders(vec![NodeOrder::SlowLink(0.0)]));
            }
            TroubleKind::HotCaller => {
                let some = self.some_gateways(part);
                let factor = 1.0 + size * self.script.gateways as f64 / some.len() as f64;
                self.at(
                    at,
                    Step::Rate {
                        gateways: Some(some.clone()),
                        factor,
                    },
                );
                self.at(
                    end,
                    Step::Rate {
                        gateways: Some(some),
                        factor: 1.0,
                    },
                );
            }
            TroubleKind::Shift => {
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
            TroubleKind::Overload => {
                self.at(
                    at,
                    Step::Rate {
                        gateways: None,
                        factor: size,
                    },
                );
                self.at(
                    end,
                    Step::Rate {
                        gateways: None,
                        factor: 1.0,
                    },
                );
            }
            TroubleKind::Reconnect => {
                let some = self.some_gateways(size.clamp(0.0, 1.0));
                self.at(at, Step::Wire(WireOrder::Break(some.into_iter().collect())));
            }
            TroubleKind::CounterDown => {
                let some = self.some_gateways(part);
                self.at(
                    at,
                    Step::Wire(WireOrder::Refuse(some.into_iter().collect())),
                );
                self.at(end, Step::Wire(WireOrder::Refuse(BTreeSet::new())));
            }
            TroubleKind::ReportLate => {
                self.at(at, Step::Wire(WireOrder::Late(size.clamp(0.0, 10.0))));
                self.at(end, Step::Wire(WireOrder::Late(0.0)));
            }
            TroubleKind::ZoneCut => {
                // The last zone, which no conductor stands in where there are fewer of them than zones.
                let zone = self.script.deployment.zones.len() - 1;
                let zones = self.zones.iter().copied().enumerate().collect();
                self.at(at, Step::Orders(vec![NodeOrder::Cut(Some(zone))]));
                self.at(at, Step::Wire(WireOrder::Hold(gateways_in(&zones, zone))));
                self.at(end, Step::Orders(vec![NodeOrder::Cut(None)]));
                self.at(end, Step::Wire(WireOrder::Hold(BTreeSet::new())));
            }
            TroubleKind::OriginSlow => {
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
            TroubleKind::BalancerCrash if trouble.whom.as_deref() == Some("gateway") => {
                let some = self.some_gateways(part);
                self.at(at, Step::KillGateways(some.clone()));
                self.at(end, Step::StartGateways(some));
            }
            TroubleKind::BalancerCrash | TroubleKind::BalancerStall => {
                let count = ((self.sides.len() as f64 * part).round() as usize).max(1);
                let some = self.some(count, (0..self.sides.len()).collect());
                let crash = trouble.kind == TroubleKind::BalancerCrash;
                let (on, off) = match crash {
                    true => (
                        Step::KillConductors(some.clone()),
                        Step::StartConductors(some),
                    ),
                    false => (Step::Stall(some.clone(), true), Step::Stall(some, false)),
                };
                self.at(at, on);
                self.at(end, off);
            }
            TroubleKind::Preempt => {
                let out = self.some_nodes(part);
                let every = trouble.span * (1.0 / out.len().max(1) as f64);
                for (number, node) in out.into_iter().enumerate() {
                    self.at(at + every * number as f64, Step::Swap { out: vec![node] });
                }
            }
            TroubleKind::Grow => {
                let count =
                    ((self.fleet.len() as f64 * part.min(size.max(0.05))).round() as usize).max(1);
                self.at(at, Step::Come { count });
            }
            TroubleKind::LateList => {
                let late = self.script.list_delay + Span::from_seconds(size.clamp(0.0, 20.0));
                let usual = self.script.list_delay;
                self.at(at, Step::ListDelay(late));
                self.at(end, Step::ListDelay(usual));
            }
        }
        let kind = serde_json::to_value(trouble.kind)
            .ok()
            .and_then(|kind| kind.as_str().map(str::to_string));
        let (kind, span) = (kind.unwrap_or_default(), trouble.span.seconds());
        self.recorder.note(
            at,
            Record::Trouble {
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
                            .map(|key| NodeOrder::AnswersLost(key, 0.3))
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
