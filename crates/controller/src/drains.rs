//! Orders to drain nodes, between the registry that decides which goes and the session, the disk and whoever asked.

use crate::state_writer::StateWriter;
use std::collections::BTreeMap;
use tracing::{info, warn};
use wheelspread::time::{Moment, Span};
use wheelspread_config_rollout::pool_risk::{drain_objections, DrainObjection};
use wheelspread_config_rollout::values::parse_node;
use wheelspread_config_transaction::{Commit, PersistedState};
use wheelspread_controller_core::{ControllerCore, Observation};
use wheelspread_drain::registry::DrainEffect;
use wheelspread_drain::{
    describe_checks, Drain, DrainAction, DrainError, DrainOrder, DrainRegistry, DrainState,
    Evidence, FailedCheck, OrderId,
};

/// A fact: what is kept of a node's order.
const DRAIN: &str = "drain.";
/// Numbers of writes that are not those of changes.
pub const NUMBERS: u64 = 1 << 62;
/// Of a period of sums: between two looks at who still names a drained node.
const LOOK: f64 = 0.25;
/// Seconds until a write is tried again that the disk refused.
const AGAIN: f64 = 1.0;

struct Writing {
    node: String,
    order: Option<OrderId>,
    commit: Commit,
    /// Callers whose answers wait for it.
    callers: Vec<u64>,
    again_at: Option<Moment>,
}

/// An answer to a caller.
pub type Told = (u64, Result<Drain, String>);

fn failed_check(objection: &DrainObjection) -> FailedCheck {
    FailedCheck {
        name: objection.check_name().to_string(),
        text: objection.to_string(),
    }
}

pub struct Drains {
    book: DrainRegistry,
    writing: BTreeMap<u64, Writing>,
    next: u64,
    look_at: Moment,
    value_lost_at_most: f64,
    told: Vec<Told>,
}

impl Drains {
    /// Takes up what an earlier run kept.
    pub fn start(now: Moment, kept: &PersistedState, value_lost_at_most: f64) -> Drains {
        let drains = kept
            .facts
            .iter()
            .filter(|(name, _)| name.starts_with(DRAIN));
        let drains = drains.filter_map(|(name, text)| match serde_json::from_str::<Drain>(text) {
            Ok(drain) => Some(drain),
            Err(error) => {
                warn!(name, %error, "a drain that was kept can't be read, it is not in force");
                None
            }
        });
        let book = DrainRegistry::recover(now, drains);
        Drains {
            book,
            writing: BTreeMap::new(),
            next: NUMBERS,
            look_at: now,
            value_lost_at_most,
            told: Vec::new(),
        }
    }

    pub fn book(&self) -> &DrainRegistry {
        &self.book
    }

    /// Nodes that are kept out.
    pub fn out(&self) -> std::collections::BTreeSet<wheelspread::ids::NodeId> {
        self.book.drained_nodes().filter_map(parse_node).collect()
    }

    /// Whether there is anything to look after.
    pub fn wake_at(&self) -> Option<Moment> {
        let waits = !self.writing.is_empty() || self.book.drains().any(Drain::is_active);
        waits.then_some(self.look_at)
    }

    /// An order comes; what came of it is told when the disk has it, or at once where nothing is new.
    pub fn order(
        &mut self,
        now: Moment,
        caller: u64,
        order: DrainOrder,
        session: &ControllerCore,
    ) -> Result<(), DrainError> {
        let named = parse_node(&order.node).ok_or_else(|| {
            DrainError::Checks(vec![FailedCheck {
                name: "node".to_string(),
                text: format!(
                    "node: `{}` should be an address as 127.0.0.1:9000",
                    order.node
                ),
            }])
        })?;
        let against = match order.action {
            DrainAction::Drain => {
                let objections = drain_objections(now, named, self.value_lost_at_most, session);
                objections.iter().map(failed_check).collect()
            }
            DrainAction::Undrain => Vec::new(),
        };
        let (place, overrides) = (order.node.clone(), order.overrides.join(", "));
        if !overrides.is_empty() {
            let against = describe_checks(&against);
            warn!(
                node = place,
                by = order.by,
                overrides,
                against,
                "an order overrides checks"
            );
        }
        let drain = self.book.submit(now, order, &against)?.clone();
        self.follow(now, caller);
        // Told twice, and kept since: answered as it stands.
        if !self
            .writing
            .values()
            .any(|writing| writing.callers.contains(&caller))
        {
            match self
                .writing
                .values_mut()
                .find(|writing| writing.node == place)
            {
                Some(writing) => writing.callers.push(caller),
                None => self.told.push((caller, Ok(drain))),
            }
        }
        self.look_at = now;
        Ok(())
    }

    fn follow(&mut self, now: Moment, caller: u64) {
        for effect in self.book.take_effects() {
            match effect {
                DrainEffect::Write { node, drain } => {
                    let order = drain.as_ref().map(|drain| drain.order.id.clone());
                    let text = drain.and_then(|drain| serde_json::to_string(&drain).ok());
                    let facts = BTreeMap::from([(format!("{DRAIN}{node}"), text)]);
                    let commit = Commit {
                        facts,
                        ..Commit::default()
                    };
                    let mut callers: Vec<u64> = Some(caller)
                        .filter(|caller| *caller > 0)
                        .into_iter()
                        .collect();
                    // One that failed must not be written again over a newer one.
                    self.writing.retain(|_, writing| {
                        let older = writing.node == node;
                        if older {
                            callers.append(&mut writing.callers);
                        }
                        !older
                    });
                    self.next += 1;
                    let writing = Writing {
                        node,
                        order,
                        commit,
                        callers,
                        again_at: Some(now),
                    };
                    self.writing.insert(self.next, writing);
                }
                DrainEffect::StateChanged { node, state, order } => {
                    let (state, order) = (state.as_str(), order.0);
                    info!(node, state, order, "drain");
                }
            }
        }
    }

    /// What came of a write.
    pub fn written(&mut self, now: Moment, number: u64, result: Result<(), String>) {
        let Some(writing) = self.writing.get_mut(&number) else {
            return;
        };
        if result.is_err() {
            writing.again_at = Some(now + Span::from_seconds(AGAIN));
            return;
        }
        let Some(writing) = self.writing.remove(&number) else {
            return;
        };
        if let Some(order) = &writing.order {
            self.book.written(now, &writing.node, order);
        }
        let drain = self
            .book
            .drain(&writing.node)
            .cloned()
            .ok_or_else(|| "it was taken back".to_string());
        self.told.extend(
            writing
                .callers
                .into_iter()
                .map(|caller| (caller, drain.clone())),
        );
        self.look_at = now;
    }

    /// Hands over to the disk, tells the session, looks how far drains have come; returns answers.
    pub fn settle(
        &mut self,
        now: Moment,
        session: &mut ControllerCore,
        keeper: &mut StateWriter,
    ) -> Vec<Told> {
        if now < self.look_at {
            return std::mem::take(&mut self.told);
        }
        self.look_at = now + session.plan().sums.period * LOOK;
        let mut refused = Vec::new();
        for (number, writing) in &mut self.writing {
            if writing.again_at.is_some_and(|at| at <= now) {
                writing.again_at = None;
                if !keeper.write(*number, writing.commit.clone()) {
                    refused.push(*number);
                }
            }
        }
        for number in refused {
            self.written(now, number, Err("the state can't be written".to_string()));
        }
        self.follow(now, 0);
        let out = self.out();
        if out != *session.drained_nodes() {
            session.observe(now, Observation::DrainedNodes(out));
        }
        let grace = session.plan().rules.drain_grace;
        let going: Vec<(String, DrainState)> = self
            .book
            .drains()
            .filter(|drain| drain.is_active())
            .map(|drain| (drain.order.node.clone(), drain.state))
            .collect();
        for (name, before) in going {
            let Some(id) = parse_node(&name) else {
                continue;
            };
            let traces = session.drain_evidence(id);
            let evidence = Evidence {
                named_by: traces.naming_proxies,
                proxies: traces.joined_proxies,
                attempts: traces.attempts,
                reporting_proxies: traces.reporting_proxies,
            };
            self.book.record_evidence(now, &name, grace, evidence);
            let after = self.book.drain(&name).map(|drain| drain.state);
            if before == DrainState::Propagating && after == Some(DrainState::InForce) {
                session.watch_drained_node(now, id);
            }
        }
        self.book.expire_withdrawn(now, grace);
        self.follow(now, 0);
        std::mem::take(&mut self.told)
    }
}
