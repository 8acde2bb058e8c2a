//! One order for a fleet of conductors: each is told until it has answered, with back-off and jitter, as long as
//! the budget lasts. What is said of the whole is never more than what every one of them has answered.

use serde::Serialize;
use std::collections::BTreeMap;
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

/// What came of telling one conductor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// It has the order, and is this far with it.
    Taken { state: String },
    /// It was heard and will not: telling it again changes nothing.
    Refused { reason: String },
    /// It could not be reached, or its answer could not be read: it is told again.
    Failed { reason: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// Not told yet, or to be told again then.
    Due(Moment),
    Asked,
    Taken,
    Refused,
}

/// How long the whole may take, and how soon one that failed is told again.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    pub timeout: Span,
    /// The first wait; then twice that, and so on.
    pub initial_backoff: Span,
    pub max_backoff: Span,
}

#[derive(Clone, Debug)]
struct Told {
    at: At,
    tries: u32,
    last: Option<Reply>,
}

/// What may be said of the whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every conductor has it.
    Everywhere,
    /// Some have it and some do not: the order holds at a part of the gateways.
    Partly,
    /// None has it.
    Nowhere,
}

#[derive(Debug)]
pub struct OrderDelivery {
    told: BTreeMap<String, Told>,
    until: Moment,
    spent: RetryBudget,
    chance: Pcg,
}

impl OrderDelivery {
    pub fn new(
        now: Moment,
        seed: u64,
        spent: RetryBudget,
        conductors: impl Iterator<Item = String>,
    ) -> OrderDelivery {
        let fresh = Told {
            at: At::Due(now),
            tries: 0,
            last: None,
        };
        let told = conductors.map(|name| (name, fresh.clone())).collect();
        OrderDelivery {
            told,
            until: now + spent.timeout,
            spent,
            chance: Pcg::new(seed),
        }
    }

    /// Whom to tell now; each counts as asked until its reply comes.
    pub fn due(&mut self, now: Moment) -> Vec<String> {
        if now >= self.until {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (name, told) in &mut self.told {
            if matches!(told.at, At::Due(at) if at <= now) {
                told.at = At::Asked;
                told.tries += 1;
                due.push(name.clone());
            }
        }
        due
    }

    pub fn reply(&mut self, now: Moment, name: &str, reply: Reply) {
        let Some(told) = self.told.get_mut(name).filter(|told| told.at == At::Asked) else {
            return;
        };
        told.at = match &reply {
            Reply::Taken { .. } => At::Taken,
            Reply::Refused { .. } => At::Refused,
            Reply::Failed { .. } => {
                let doubled = self.spent.initial_backoff
                    * f64::from(1u32 << told.tries.saturating_sub(1).min(16));
                let wait = doubled.min(self.spent.max_backoff);
                // Jitter keeps those that failed together from being told together again.
                At::Due(now + wait * (0.5 + 0.5 * self.chance.unit()))
            }
        };
        told.last = Some(reply);
    }

    /// Whether nothing more will come of it: all have answered for good, or the time is over.
    pub fn over(&self, now: Moment) -> bool {
        now >= self.until
            || self
                .told
                .values()
                .all(|told| matches!(told.at, At::Taken | At::Refused))
    }

    pub fn wake_at(&self) -> Option<Moment> {
        let due = self.told.values().filter_map(|told| match told.at {
            At::Due(at) => Some(at),
            _ => None,
        });
        due.min().map(|at| at.min(self.until))
    }

    pub fn until(&self) -> Moment {
        self.until
    }

    pub fn outcome(&self) -> Outcome {
        let taken = self
            .told
            .values()
            .filter(|told| told.at == At::Taken)
            .count();
        match taken {
            count if count == self.told.len() => Outcome::Everywhere,
            0 => Outcome::Nowhere,
            _ => Outcome::Partly,
        }
    }

    /// What each conductor said last, and how often it was told; `None`: nothing timeout the time.
    pub fn replies(&self) -> impl Iterator<Item = (&str, u32, Option<&Reply>)> {
        self.told
            .iter()
            .map(|(name, told)| (name.as_str(), told.tries, told.last.as_ref()))
    }
}
