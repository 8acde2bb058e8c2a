//! Delivery of one order to every controller of a fleet. Failed attempts are repeated with backoff and jitter until the
//! controller accepts or refuses the order, or the deadline of the delivery is reached. A controller counts as having
//! the order only if it replied so.

use serde::Serialize;
use std::collections::BTreeMap;
use wheelspread::pcg::Pcg;
use wheelspread::time::{Moment, Span};

/// The maximum count of doublings of the backoff, so that the shift does not overflow; `max_backoff` is usually reached
/// earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// The maximum ratio of a backoff by which jitter shortens it.
const JITTER_RATIO: f64 = 0.5;

/// The result of one attempt to send the order to a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The controller has the order.
    #[serde(rename = "taken")]
    Accepted {
        /// The state of the order at the controller.
        state: String,
    },
    /// The controller refuses the order. The attempt is not repeated, because the reply would be the same.
    Refused {
        /// The reason that the controller gave.
        reason: String,
    },
    /// The controller could not be reached, or its answer could not be read. The attempt is repeated.
    Failed {
        /// The error.
        reason: String,
    },
}

/// The state of the delivery to one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeliveryState {
    /// The next attempt is due at this time.
    Due(Moment),
    InFlight,
    Accepted,
    Refused,
}

/// The time limit of a delivery, and the backoff between its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The time limit for all attempts together.
    pub timeout: Span,
    /// The backoff after the first failed attempt. It doubles with each further failed attempt.
    pub initial_backoff: Span,
    /// The maximum backoff.
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

/// The outcome of a delivery, over all controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Every controller has replied that it has the order.
    Everywhere,
    /// Some controllers have replied that they have the order, so that it is in force for some of the proxies.
    Partly,
    /// No controller has replied that it has the order.
    Nowhere,
}

/// The last reply of one controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerReply<'a> {
    /// The controller.
    pub controller: &'a str,
    /// The count of attempts that were made at the controller.
    pub attempts: u32,
    /// The last reply; `None` if the controller has not replied.
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
    /// Creates a delivery to `controllers` that begins at `now`. `seed` is the seed of the jitter.
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

    /// The controllers at which an attempt is due; none after the deadline. Their attempts count as in flight until
    /// [`OrderDelivery::on_reply`] is called.
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

    /// Records the reply of a controller. Ignored if no attempt at the controller is in flight.
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
                // Jitter prevents controllers that failed together from being retried together.
                let jitter = (1.0 - JITTER_RATIO) + JITTER_RATIO * self.random.unit();
                DeliveryState::Due(now + backoff * jitter)
            }
        };
        delivery.last_reply = Some(reply);
    }

    /// Whether the delivery has ended: every controller has accepted or refused the order, or the deadline is reached.
    pub fn is_over(&self, now: Moment) -> bool {
        let is_final = |delivery: &ControllerDelivery| {
            matches!(
                delivery.state,
                DeliveryState::Accepted | DeliveryState::Refused
            )
        };
        now >= self.deadline || self.controllers.values().all(is_final)
    }

    /// The time at which the next attempt is due, at most the deadline; `None` if none is waiting.
    pub fn wake_at(&self) -> Option<Moment> {
        let due_at = |delivery: &ControllerDelivery| match delivery.state {
            DeliveryState::Due(at) => Some(at),
            _ => None,
        };
        let next = self.controllers.values().filter_map(due_at).min()?;
        Some(next.min(self.deadline))
    }

    /// The time after which no attempt is made.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    /// The outcome according to the replies so far.
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
