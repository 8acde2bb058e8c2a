//! An order for a whole fleet, delivered to each controller until it has answered, within a time budget.

use crate::call::{Failed, Request};
use crate::fleet::Fleet;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wheelspread::time::{Moment, Span};
use wheelspread_drain::{DrainAction, OrderDelivery, Outcome, Reply, RetryBudget};

/// How far an order came.
#[derive(Clone, Debug, Serialize)]
pub struct Ordered {
    /// Whether all, some or no controllers accepted it.
    pub outcome: Outcome,
    /// By controller: the attempts, and the last reply; `null` if there was none. (A pair, because the JSON of the
    /// `fleet` command is an array.)
    pub conductors: BTreeMap<String, (u32, Option<Reply>)>,
}

/// The first and the longest backoff, as parts of the time that one answer may take.
const INITIAL_BACKOFF_PART: f64 = 0.05;
const MAX_BACKOFF_PART: f64 = 0.5;

/// The delivery loop waits for replies at least this long at a time.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The body of a drain order. Its id holds who gave it and when, so that the same order given later is another
/// one.
pub fn drain_order(node: &str, word: DrainAction, by: &str, overrides: &[String]) -> Value {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let given_ms = since.as_millis() as u64;
    let tool = std::process::id();
    let id = format!("{by}-{given_ms}-{tool}");
    json!({ "id": id, "node": node, "word": word, "by": by, "given_ms": given_ms, "overrides": overrides })
}

fn reply_from(answer: Result<Value, Failed>) -> Reply {
    match answer {
        Ok(value) => Reply::Accepted {
            state: value["state"].as_str().unwrap_or("taken").to_string(),
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
    /// Sends a request to all controllers and retries where it failed. It has to be idempotent.
    pub fn order(&self, request: &Request, within: Span, seed: u64) -> Ordered {
        let begin = Instant::now();
        let now = || Moment::from_seconds(begin.elapsed().as_secs_f64());
        let answer_timeout = Span::from_seconds(self.within.as_secs_f64());
        let budget = RetryBudget {
            timeout: within,
            initial_backoff: answer_timeout * INITIAL_BACKOFF_PART,
            max_backoff: answer_timeout * MAX_BACKOFF_PART,
        };
        let mut delivery = OrderDelivery::new(now(), seed, budget, self.conductors.keys().cloned());
        let (sender, replies) = std::sync::mpsc::channel();
        while !delivery.is_over(now()) {
            for name in delivery.due(now()) {
                let left = duration(delivery.deadline() - now());
                let until = Instant::now() + left.min(self.within);
                self.spawn_attempt(name, request.clone(), until, sender.clone());
            }
            let next = delivery
                .wake_at()
                .unwrap_or(delivery.deadline())
                .min(delivery.deadline());
            let wait = duration(next - now()).max(MIN_WAIT);
            if let Ok((name, reply)) = replies.recv_timeout(wait) {
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
    /// One attempt at one controller, on a thread of its own.
    fn spawn_attempt(
        &self,
        name: String,
        request: Request,
        until: Instant,
        replies: Sender<(String, Reply)>,
    ) {
        let fleet = self.clone();
        std::thread::spawn(move || {
            let names = BTreeSet::from([name.clone()]);
            let answer = fleet.ask_some(&names, &request, until).remove(&name);
            let missing = Failed::Unreachable("it is not known".to_string());
            let reply = reply_from(answer.unwrap_or(Err(missing)));
            // The receiver is gone if the order is over already.
            drop(replies.send((name, reply)));
        });
    }
}

/// A span as a wait; a negative one is none.
fn duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.seconds().max(0.0))
}
