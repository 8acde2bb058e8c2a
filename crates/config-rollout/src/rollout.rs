//! What becomes of changes in one conductor. Operators ask, the ledger says what is to be done, the disk says
//! what it has, the session says how far the gateways are and what was measured. What gateways could see
//! waits until the disk has what a crash would need to know of it; nothing else waits for the disk.

use crate::fleet::{emptied, Known};
use crate::values::{configured, in_file, moved, what_fits};
use crate::watch::{broken, Baseline, Conditions};
use serde::Serialize;
use std::collections::VecDeque;
use wheelspread::ids::NodeId;
use wheelspread::time::{Moment, Span};
use wheelspread_config_transaction::checks::{self, Bounds, Way};
use wheelspread_config_transaction::ledger::{Deadlines, Order, Record};
use wheelspread_config_transaction::{
    Change, ChangeId, Commit, Configuration, Effect, Finding, Input, Ledger, PersistedState,
    Refused, State, Verdict,
};
use wheelspread_controller_core::controller_core::ConfigUpdate;
use wheelspread_controller_core::{ControllerCore, Deployment};

/// All that is told of how changes are handled.
#[derive(Clone, Copy, Debug)]
pub struct Plans {
    pub deadlines: Deadlines,
    pub bounds: Bounds,
    pub conditions: Conditions,
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutCommand {
    /// What a change would do, and what speaks against it.
    Plan(Change),
    Stage(Change),
    Apply(ChangeId),
    Undo(ChangeId, String),
}

/// A line of a plan: path, what goes now, what would go. `None`: what the file, or the list, says.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlanLine {
    pub path: String,
    pub from: Option<String>,
    pub to: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    Planned {
        /// The version of the configuration in force.
        version: u64,
        lines: Vec<PlanLine>,
        findings: Vec<Finding>,
    },
    Change(Box<Record>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// To the disk, in this order; what came of it is told by its number.
    Write {
        number: u64,
        commit: Commit,
    },
    Configure(Box<ConfigUpdate>),
    Answer {
        order: u64,
        result: Result<Answer, Refused>,
    },
    Log(RolloutEvent),
}

#[derive(Clone, Debug, PartialEq)]
pub enum RolloutEvent {
    Turned {
        id: ChangeId,
        state: State,
        why: Option<String>,
    },
    NotWritten {
        reason: String,
        again_in: Span,
    },
    /// A value of an earlier run that does not fit any more.
    LeftOut {
        field: String,
        text: String,
    },
}

/// What follows a write.
#[derive(Clone, Debug, PartialEq)]
enum Then {
    Nothing,
    Staged(ChangeId),
    /// The configuration of this change is for the gateways now.
    Force(ChangeId),
}

#[derive(Clone, Debug)]
struct Writing {
    number: u64,
    commit: Commit,
    then: Then,
    orders: Vec<u64>,
}

/// A fact kept with the change that is watched.
const BASELINE: &str = "baseline";
/// Of a period of sums: between two looks at a change under way.
const LOOK: f64 = 0.25;
/// Of the time that a write may take: until it is tried again after the disk refused it.
const AGAIN: f64 = 0.25;
/// Of the time that a joined proxy may lack a line: a change that leaves one so long is undone.
const BARE: f64 = 0.5;
/// Periods of sums that come after a change is in force and still speak of the time before it.
const SETTLES: f64 = 2.0;

pub struct Rollout {
    base: Deployment,
    plans: Plans,
    ledger: Ledger,
    /// Written in order; the first is at the disk.
    writing: VecDeque<Writing>,
    at_disk: bool,
    again_at: Option<Moment>,
    next_number: u64,
    /// The change whose values the session was told, and when.
    forced: Option<(ChangeId, Moment)>,
    watched_since: Option<Moment>,
    baseline: Baseline,
    bare_since: Option<Moment>,
    out: Vec<Step>,
}

impl Rollout {
    /// Takes up what an earlier run left; returns what the session starts with: the configuration, and nodes
    /// that were on their way from one pool to another.
    pub fn start(
        now: Moment,
        base: Deployment,
        plans: Plans,
        kept: &PersistedState,
    ) -> (Rollout, ConfigUpdate, Vec<NodeId>) {
        let configuration = Configuration {
            version: kept.configuration.version.max(1),
            values: kept.configuration.values.clone(),
        };
        let (configured, flaws) = what_fits(&base, &configuration);
        let records = kept.changes.values().cloned().collect();
        let (ledger, orders) = Ledger::recover(now, configuration, records, plans.deadlines);
        let baseline = kept
            .facts
            .get(BASELINE)
            .and_then(|text| serde_json::from_str(text).ok());
        let mut rollout = Rollout {
            base,
            plans,
            ledger,
            writing: VecDeque::new(),
            at_disk: false,
            again_at: None,
            next_number: 0,
            forced: None,
            watched_since: None,
            baseline: baseline.unwrap_or_default(),
            bare_since: None,
            out: Vec::new(),
        };
        for flaw in flaws {
            rollout.out.push(Step::Log(RolloutEvent::LeftOut {
                field: flaw.field,
                text: flaw.kind.to_string(),
            }));
        }
        for Order { id, effect } in orders {
            match effect {
                // Its values stand in the configuration that the session starts with.
                Effect::PutInForce | Effect::PutBack => rollout.forced = Some((id.clone(), now)),
                Effect::Watch => rollout.watched_since = Some(now),
                Effect::Nothing | Effect::Write | Effect::Keep | Effect::Close => {}
            }
        }
        let under_way = rollout
            .forced
            .as_ref()
            .and_then(|(id, _)| rollout.ledger.record(id));
        let moving = under_way.map_or_else(Vec::new, |record| moved(&record.change));
        (rollout, configured, moving)
    }

    /// The file was read again: its pace goes where no change has set one.
    pub fn pace(&mut self, lines_per_second: f64) {
        self.base.channel.lines_per_second = lines_per_second;
    }

    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Changes whose latest state waits for the disk.
    pub fn unwritten(&self) -> usize {
        self.writing.len()
    }

    pub fn ask(&mut self, now: Moment, order: u64, ask: RolloutCommand, session: &ControllerCore) {
        let result = match ask {
            RolloutCommand::Plan(change) => self.plan(now, change, session),
            RolloutCommand::Stage(change) => self.stage(now, order, change, session),
            RolloutCommand::Apply(id) => self.ledger.apply(now, &id).and_then(|orders| {
                if !orders.is_empty() {
                    self.measure(now, session);
                }
                self.follow(now, orders, order);
                self.answer(&id)
            }),
            RolloutCommand::Undo(id, why) => self.ledger.undo(now, &id, &why).and_then(|orders| {
                self.follow(now, orders, order);
                self.answer(&id)
            }),
        };
        // What waits for the disk is answered when the disk has it.
        if !self
            .writing
            .iter()
            .any(|writing| writing.orders.contains(&order))
        {
            self.out.push(Step::Answer { order, result });
        }
    }

    fn answer(&self, id: &ChangeId) -> Result<Answer, Refused> {
        let record = self
            .ledger
            .record(id)
            .cloned()
            .ok_or_else(|| Refused::Unknown(id.0.clone()))?;
        Ok(Answer::Change(Box::new(record)))
    }

    fn plan(
        &self,
        now: Moment,
        change: Change,
        session: &ControllerCore,
    ) -> Result<Answer, Refused> {
        let lines = self
            .ledger
            .plan(&change)
            .into_iter()
            .map(|(path, from, to)| {
                // Where no change sets a path, the file has its word.
                let file = in_file(&self.base, &path);
                let (from, to) = (from.or_else(|| file.clone()), to.or(file));
                PlanLine { path, from, to }
            });
        let (lines, findings) = (lines.collect(), self.check(now, &change, session).0);
        Ok(Answer::Planned {
            version: self.ledger.configuration().version,
            lines,
            findings,
        })
    }

    fn stage(
        &mut self,
        now: Moment,
        order: u64,
        change: Change,
        session: &ControllerCore,
    ) -> Result<Answer, Refused> {
        let id = change.id.clone();
        if self.ledger.propose(now, change.clone())? == State::Proposed {
            let verdict = self.check(now, &change, session);
            let orders = self.ledger.checked(now, &id, verdict)?;
            self.follow(now, orders, order);
        }
        self.answer(&id)
    }

    /// Everything that speaks for or against a change, by what was measured.
    fn check(&self, now: Moment, change: &Change, session: &ControllerCore) -> Verdict {
        let mut after = self.ledger.configuration().clone();
        for (path, to) in &change.sets {
            match to {
                Some(value) => drop(after.values.insert(path.clone(), value.clone())),
                None => drop(after.values.remove(path)),
            }
        }
        let told = |check: &str, forbids, text| Finding {
            check: check.to_string(),
            text,
            forbids,
        };
        let then = match configured(&self.base, &after) {
            Ok(then) => then,
            Err(flaws) => {
                let each = flaws
                    .into_iter()
                    .map(|flaw| format!("{}: {}", flaw.field, flaw.kind));
                return Verdict(each.map(|text| told("values", true, text)).collect());
            }
        };
        let mut findings = Vec::new();
        let listed: Vec<_> = session
            .nodes()
            .listed()
            .map(|(_, entry)| entry.node)
            .collect();
        for node in then.values.keys().filter(|node| !listed.contains(node)) {
            let text = format!(
                "{} is not listed now",
                wheelspread_controller_core::endpoint_list::show(*node)
            );
            findings.push(told("nodes", false, text));
        }
        let (before, after) = (
            session.serving().collect::<Vec<_>>(),
            session.serving_with(&then),
        );
        for text in emptied(now, &before, &after, session.plan(), &then.plan) {
            findings.push(told("pools", true, text));
        }
        let known = Known::of(now, session);
        if !known.enough() {
            let text =
                "nothing was measured yet: what it does to capacity is not known".to_string();
            findings.push(told("measured", false, text));
        } else {
            let (before, after) = (
                known.fleet(now, &before, session.plan()),
                known.fleet(now, &after, &then.plan),
            );
            let channel = &then.plan.channel;
            let way = Way {
                gateways: session.members().members().count() as u32,
                lines_per_second: channel.lines_per_second,
                head_lines: channel.head_lines,
                messages_at_most: channel.messages_at_most,
                window: channel.messages_window,
                steps: 2,
            };
            findings.extend(checks::check(&before, &after, self.plans.bounds, way).0);
        }
        Verdict(findings)
    }

    /// What the service was like before a change.
    fn measure(&mut self, now: Moment, session: &ControllerCore) {
        let (tallies, _) = session
            .measured()
            .between(now - self.plans.deadlines.watch, now);
        self.baseline = Baseline::of(&tallies, session.plan());
    }

    /// Carries out what the ledger orders. `order`: whose answer waits for it; 0: nobody's.
    fn follow(&mut self, now: Moment, orders: Vec<Order>, order: u64) {
        for Order { id, effect } in orders {
            let then = match effect {
                Effect::Write => Then::Staged(id.clone()),
                Effect::PutInForce | Effect::PutBack => Then::Force(id.clone()),
                Effect::Nothing | Effect::Watch | Effect::Keep | Effect::Close => Then::Nothing,
            };
            if effect == Effect::Watch {
                (self.watched_since, self.bare_since) = (Some(now), None);
            }
            self.turned(&id);
            let orders = Some(order).filter(|order| *order > 0 && then != Then::Nothing);
            self.write(&id, then, orders.into_iter().collect());
        }
    }

    fn turned(&mut self, id: &ChangeId) {
        if let Some(record) = self.ledger.record(id) {
            let (id, state, why) = (id.clone(), record.state, record.why.clone());
            self.out
                .push(Step::Log(RolloutEvent::Turned { id, state, why }));
        }
    }

    /// A change as it is now, with the configuration, as one commit.
    fn write(&mut self, id: &ChangeId, then: Then, orders: Vec<u64>) {
        let mut commit = Commit::default();
        commit.changes.extend(self.ledger.record(id).cloned());
        commit.configuration = Some(self.ledger.configuration().clone());
        if matches!(then, Then::Force(_)) {
            let baseline = serde_json::to_string(&self.baseline).ok();
            commit.facts.insert(BASELINE.to_string(), baseline);
        }
        // A state that lasts too long for want of the disk is ordered again: it waits there already.
        let waits = |writing: &Writing| writing.then == then && writing.commit == commit;
        if then != Then::Nothing && self.writing.iter().any(waits) {
            return;
        }
        self.next_number += 1;
        self.writing.push_back(Writing {
            number: self.next_number,
            commit,
            then,
            orders,
        });
    }

    /// What came of a write.
    pub fn written(&mut self, now: Moment, number: u64, result: Result<(), String>) {
        if self
            .writing
            .front()
            .is_none_or(|writing| writing.number != number)
        {
            return;
        }
        self.at_disk = false;
        if let Err(reason) = result {
            let again_in = self.plans.deadlines.write * AGAIN;
            self.again_at = Some(now + again_in);
            return self
                .out
                .push(Step::Log(RolloutEvent::NotWritten { reason, again_in }));
        }
        let Some(writing) = self.writing.pop_front() else {
            return;
        };
        let id = match &writing.then {
            Then::Nothing => return,
            Then::Staged(id) => {
                let _ = self.ledger.tell(now, id, Input::Written, None);
                self.turned(id);
                id
            }
            Then::Force(id) => {
                // Overtaken by its own undo: that is what goes to the gateways, when the disk has it.
                let version = writing
                    .commit
                    .configuration
                    .as_ref()
                    .map(|written| written.version);
                if version == Some(self.ledger.configuration().version) {
                    let (configured, flaws) = what_fits(&self.base, self.ledger.configuration());
                    for flaw in flaws {
                        self.out.push(Step::Log(RolloutEvent::LeftOut {
                            field: flaw.field,
                            text: flaw.kind.to_string(),
                        }));
                    }
                    self.out.push(Step::Configure(Box::new(configured)));
                    self.forced = Some((id.clone(), now));
                }
                id
            }
        };
        let result = self.answer(id);
        for order in writing.orders {
            self.out.push(Step::Answer {
                order,
                result: result.clone(),
            });
        }
    }

    /// What is due: states that lasted too long, gateways that have taken a change, harm that it did.
    pub fn settle(&mut self, now: Moment, session: &ControllerCore, out: &mut Vec<Step>) {
        self.reached(now, session);
        self.judge(now, session);
        let nobody = !session
            .members()
            .members()
            .any(|(_, member)| member.is_joined());
        let known = session.known_until().or(nobody.then_some(now));
        let evidence = known.unwrap_or_default();
        let orders = self.ledger.due(now, evidence);
        self.follow(now, orders, 0);
        self.hand_over(now);
        out.append(&mut self.out);
    }

    fn hand_over(&mut self, now: Moment) {
        if self.at_disk || self.again_at.is_some_and(|at| now < at) {
            return;
        }
        self.again_at = None;
        if let Some(Writing { number, commit, .. }) = self.writing.front() {
            self.at_disk = true;
            self.out.push(Step::Write {
                number: *number,
                commit: commit.clone(),
            });
        }
    }

    /// Whether the gateways have taken what the session was told.
    fn reached(&mut self, now: Moment, session: &ControllerCore) {
        let Some((id, since)) = self.forced.clone() else {
            return;
        };
        let reach = session.reach();
        // Who is away takes the newest when it comes back; until the grace is over it is waited for.
        let here = reach.away == 0 || now - since >= session.plan().rules.drain_grace;
        let there = reach.configuration == self.ledger.configuration().version;
        if there && here && reach.lacking.is_empty() && reach.between == 0 {
            self.forced = None;
            let orders = self
                .ledger
                .tell(now, &id, Input::InForce, None)
                .unwrap_or_default();
            self.follow(now, orders, 0);
        }
    }

    fn judge(&mut self, now: Moment, session: &ControllerCore) {
        let watched = self
            .ledger
            .open()
            .find(|record| record.state == State::Watched);
        let Some(id) = watched.map(|record| record.change.id.clone()) else {
            (self.watched_since, self.bare_since) = (None, None);
            return;
        };
        let Some(since) = self.watched_since else {
            return;
        };
        let plan = session.plan();
        let bare = session.without_line();
        self.bare_since = if bare.is_empty() {
            None
        } else {
            self.bare_since.or(Some(now))
        };
        let most = plan.rules.without_node_at_most * BARE;
        let why = match self.bare_since {
            Some(bare_since) if now - bare_since >= most => {
                Some(format!("no line for an operation at {}", bare.join(", ")))
            }
            _ => {
                let (tallies, _) = session
                    .measured()
                    .between(since + plan.sums.period * SETTLES, now);
                broken(&self.plans.conditions, &self.baseline, &tallies, plan)
            }
        };
        if let Some(why) = why {
            let orders = self.ledger.undo(now, &id, &why).unwrap_or_default();
            self.follow(now, orders, 0);
        }
    }

    /// When `settle` is due though nothing was asked or written.
    pub fn wake_at(&self, now: Moment, session: &ControllerCore) -> Option<Moment> {
        // Whoever looks at gateways and sums again and again sees what is due by the way.
        let under_way = self.forced.is_some() || self.watched_since.is_some();
        let due = match under_way {
            true => Some(now + session.plan().sums.period * LOOK),
            false => self.ledger.wake_at(),
        };
        let hands =
            (!self.at_disk && !self.writing.is_empty()).then(|| self.again_at.unwrap_or(now));
        [due, hands].into_iter().flatten().min()
    }
}
