//! An order for a whole fleet: told to each conductor until it has answered, within a budget of time.

use crate::call::{Failed, Request};
use crate::file::Fleet;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wheelspread::time::{Moment, Span};
use wheelspread_drain::{DrainAction, OrderDelivery, Outcome, Reply, RetryBudget};

/// How far an order came.
#[derive(Clone, Debug, Serialize)]
pub struct Ordered {
    pub outcome: Outcome,
    /// By conductor: how often it was told, and what it said last; `null`: nothing.
    pub conductors: BTreeMap<String, (u32, Option<Reply>)>,
}

/// Of the time that one answer may take.
const FIRST_WAIT: f64 = 0.05;
const LONGEST_WAIT: f64 = 0.5;

/// The body of an order about a node. Its name holds who gave it and when, so that the same words given again
/// later are another order.
pub fn drain_order(node: &str, word: DrainAction, by: &str, overrides: &[String]) -> Value {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let given_ms = since.as_millis() as u64;
    let tool = std::process::id();
    let id = format!("{by}-{given_ms}-{tool}");
    json!({ "id": id, "node": node, "word": word, "by": by, "given_ms": given_ms, "overrides": overrides })
}

fn reply(answer: Result<Value, Failed>) -> Reply {
    match answer {
        Ok(told) => Reply::Taken {
            state: told["state"].as_str().unwrap_or("taken").to_string(),
        },
        Err(failed) if failed.passes() => Reply::Failed {
            reason: failed.to_string(),
        },
        Err(failed) => Reply::Refused {
            reason: failed.to_string(),
        },
    }
}

impl Fleet {
    /// Tells a request to all, again where it failed. It has to be one that may be told twice.
    pub fn order(&self, request: &Request, within: Span, seed: u64) -> Ordered {
        let begin = Instant::now();
        let now = || Moment::from_seconds(begin.elapsed().as_secs_f64());
        let one = Span::from_seconds(self.within.as_secs_f64());
        let budget = RetryBudget {
            timeout: within,
            initial_backoff: one * FIRST_WAIT,
            max_backoff: one * LONGEST_WAIT,
        };
        let mut delivery = OrderDelivery::new(now(), seed, budget, self.conductors.keys().cloned());
        let (told, answers) = std::sync::mpsc::channel();
        while !delivery.is_over(now()) {
            for name in delivery.due(now()) {
                let (fleet, request, to) = (self.clone(), request.clone(), told.clone());
                let left = Duration::from_secs_f64((delivery.until() - now()).seconds().max(0.0));
                let until = Instant::now() + left.min(self.within);
                let ask = move || {
                    let one = BTreeSet::from([name.clone()]);
                    let answer = fleet.ask_some(&one, &request, until).remove(&name);
                    let gone = Failed::Unreachable("it is not known".to_string());
                    drop(to.send((name, reply(answer.unwrap_or(Err(gone))))));
                };
                std::thread::spawn(ask);
            }
            let next = delivery
                .wake_at()
                .unwrap_or(delivery.until())
                .min(delivery.until());
            let wait = Duration::from_secs_f64((next - now()).seconds().max(0.001));
            if let Ok((name, reply)) = answers.recv_timeout(wait) {
                delivery.on_reply(now(), &name, reply);
            }
        }
        let replies = delivery.replies().map(|reply| {
            (
                reply.controller.to_string(),
                (reply.attempts, reply.last.cloned()),
            )
        });
        Ordered {
            outcome: delivery.outcome(),
            conductors: replies.collect(),
        }
    }
}
