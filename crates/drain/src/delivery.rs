//! Delivers one order to every controller of a fleet: each gets it until it has answered, with backoff and jitter,
//! within a budget of time. The outcome never claims more than what every controller has answered.

use serde::Serialize;
use std::collections::BTreeMap;
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

/// The backoff stops to double after this many attempts; `max_backoff` ends it long before.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// The share of a backoff that jitter may take off.
const JITTER_RATIO: f64 = 0.5;

/// What came of one attempt at a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// It has the order.
    #[serde(rename = "taken")]
    Accepted {
        /// How far it is with the order.
        state: String,
    },
    /// It refuses the order; a retry would change nothing.
    Refused {
        /// Why.
        reason: String,
    },
    /// It could not be reached, or its answer could not be read; the attempt is repeated.
    Failed {
        /// Why.
        reason: String,
    },
}

/// Where the delivery to one controller stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeliveryState {
    /// The next attempt is due then.
    Due(Moment),
    InFlight,
    Accepted,
    Refused,
}

/// How long the whole delivery may take, and how soon a failed attempt is repeated.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The time for all attempts.
    pub timeout: Span,
    /// The backoff after the first failed attempt; it doubles with each further one.
    pub initial_backoff: Span,
    /// The longest backoff.
    pub max_backoff: Span,
}

impl RetryBudget {
    fn backoff(&self, attempts: u32) -> Span {
        let doublings = attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let backoff = self.initial_backoff * f64::from(1u32 << doublings);
        backoff.min(self.max_backoff)
    }
}

/// The delivery to one controller.
#[derive(Clone, Debug)]
struct ControllerDelivery {
    state: DeliveryState,
    attempts: u32,
    last_reply: Option<Reply>,
}

/// What may be said of the whole delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every controller has the order.
    Everywhere,
    /// Some controllers have it: it holds for a part of the proxies.
    Partly,
    /// No controller has it.
    Nowhere,
}

/// What one controller replied last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerReply<'a> {
    /// The controller.
    pub controller: &'a str,
    /// How many attempts were made at it.
    pub attempts: u32,
    /// Its last reply; `None`: none within the time.
    pub last: Option<&'a Reply>,
}

/// The delivery of one order to a fleet.
#[derive(Debug)]
pub struct OrderDelivery {
    controllers: BTreeMap<String, ControllerDelivery>,
    deadline: Moment,
    budget: RetryBudget,
    random: Pcg,
}

impl OrderDelivery {
    /// A delivery to these controllers that begins now. `seed`: of the jitter.
    pub fn new(
        now: Moment,
        seed: u64,
        budget: RetryBudget,
        controllers: impl Iterator<Item = String>,
    ) -> OrderDelivery {
        let not_attempted = ControllerDelivery {
            state: DeliveryState::Due(now),
            attempts: 0,
            last_reply: None,
        };
        OrderDelivery {
            controllers: controllers
                .map(|name| (name, not_attempted.clone()))
                .collect(),
            deadline: now + budget.timeout,
            budget,
            random: Pcg::new(seed),
        }
    }

    /// Controllers at which an attempt is due. Each counts as in flight until its reply comes.
    pub fn due(&mut self, now: Moment) -> Vec<String> {
        if now >= self.deadline {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (name, delivery) in &mut self.controllers {
            if matches!(delivery.state, DeliveryState::Due(at) if at <= now) {
                delivery.state = DeliveryState::InFlight;
                delivery.attempts += 1;
                due.push(name.clone());
            }
        }
        due
    }

    /// Takes in the reply of a controller; one that was not expected changes nothing.
    pub fn on_reply(&mut self, now: Moment, controller: &str, reply: Reply) {
        let delivery = self.controllers.get_mut(controller);
        let Some(delivery) = delivery.filter(|delivery| delivery.state == DeliveryState::InFlight)
        else {
            return;
        };
        delivery.state = match &reply {
            Reply::Accepted { .. } => DeliveryState::Accepted,
            Reply::Refused { .. } => DeliveryState::Refused,
            Reply::Failed { .. } => {
                let backoff = self.budget.backoff(delivery.attempts);
                // Jitter keeps controllers that failed together from being retried together.
                let jitter = (1.0 - JITTER_RATIO) + JITTER_RATIO * self.random.unit();
                DeliveryState::Due(now + backoff * jitter)
            }
        };
        delivery.last_reply = Some(reply);
    }

    /// Whether nothing more will come of it: every controller has taken or refused it, or the time is over.
    pub fn is_over(&self, now: Moment) -> bool {
        let is_final = |delivery: &ControllerDelivery| {
            matches!(
                delivery.state,
                DeliveryState::Accepted | DeliveryState::Refused
            )
        };
        now >= self.deadline || self.controllers.values().all(is_final)
    }

    /// When the next attempt is due.
    pub fn wake_at(&self) -> Option<Moment> {
        let due_at = |delivery: &ControllerDelivery| match delivery.state {
            DeliveryState::Due(at) => Some(at),
            _ => None,
        };
        let next = self.controllers.values().filter_map(due_at).min()?;
        Some(next.min(self.deadline))
    }

    /// When the time is over.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// What may be said of the whole delivery by now.
    pub fn outcome(&self) -> Outcome {
        let taken = self
            .controllers
            .values()
            .filter(|delivery| delivery.state == DeliveryState::Accepted)
            .count();
        match taken {
            count if count == self.controllers.len() => Outcome::Everywhere,
            0 => Outcome::Nowhere,
            _ => Outcome::Partly,
        }
    }

    /// The last reply of each controller.
    pub fn replies(&self) -> impl Iterator<Item = ControllerReply<'_>> {
        self.controllers
            .iter()
            .map(|(name, delivery)| ControllerReply {
                controller: name,
                attempts: delivery.attempts,
                last: delivery.last_reply.as_ref(),
            })
    }
}
