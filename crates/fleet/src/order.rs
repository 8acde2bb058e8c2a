//! Orders for a whole fleet: an order is sent to each controller until it has answered or the timeout has passed.

use crate::call::{Request, RequestError};
use crate::fleet::Fleet;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wheelspread::time::{Moment, Span};
use wheelspread_drain::{DrainAction, OrderDelivery, Outcome, Reply, RetryBudget};

/// The result of an order.
#[derive(Clone, Debug, Serialize)]
pub struct OrderResult {
    /// Whether all, some or no controllers accepted the order.
    pub outcome: Outcome,
    /// The number of attempts and the last reply by controller; `null` without a reply. It is a pair because the
    /// `fleet` command prints it as a JSON array.
    #[serde(rename = "conductors")]
    pub controllers: BTreeMap<String, (u32, Option<Reply>)>,
}

/// The initial and the maximum backoff, as ratios of the fleet's answer timeout.
const INITIAL_BACKOFF_RATIO: f64 = 0.05;
const MAX_BACKOFF_RATIO: f64 = 0.5;

/// The minimum time for which the delivery loop waits for replies.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The body of a drain order. Its id contains its author, its time and the process id, so that the same order given
/// later has a different id.
pub fn drain_order(node: &str, word: DrainAction, by: &str, overrides: &[String]) -> Value {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let given_ms = since.as_millis() as u64;
    let process_id = std::process::id();
    let id = format!("{by}-{given_ms}-{process_id}");
    json!({ "id": id, "node": node, "word": word, "by": by, "given_ms": given_ms, "overrides": overrides })
}

fn reply_from(answer: Result<Value, RequestError>) -> Reply {
    match answer {
        Ok(value) => Reply::Accepted {
            state: value["state"].as_str().unwrap_or("taken").to_string(),
        },
        Err(failed) if failed.is_transient() => Reply::Failed {
            reason: failed.to_string(),
        },
        Err(failed) => Reply::Refused {
            reason: failed.to_string(),
        },
    }
}

impl Fleet {
    /// Sends a request to all controllers and retries transient failures. The request has to be idempotent.
    pub fn order(&self, request: &Request, order_timeout: Span, seed: u64) -> OrderResult {
        let begin = Instant::now();
        let now = || Moment::from_seconds(begin.elapsed().as_secs_f64());
        let answer_timeout = Span::from_seconds(self.answer_timeout.as_secs_f64());
        let budget = RetryBudget {
            timeout: order_timeout,
            initial_backoff: answer_timeout * INITIAL_BACKOFF_RATIO,
            max_backoff: answer_timeout * MAX_BACKOFF_RATIO,
        };
        let mut delivery =
            OrderDelivery::new(now(), seed, budget, self.controllers.keys().cloned());
        let (sender, replies) = std::sync::mpsc::channel();
        while !delivery.is_over(now()) {
            for name in delivery.due(now()) {
                let left = duration(delivery.deadline() - now());
                let until = Instant::now() + left.min(self.answer_timeout);
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
        OrderResult {
            outcome: delivery.outcome(),
            controllers: replies.collect(),
        }
    }
    /// Starts a thread that makes one attempt at one controller.
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
            let answer = fleet.call_some(&names, &request, until).remove(&name);
            let missing = RequestError::Unreachable("it is not known".to_string());
            let reply = reply_from(answer.unwrap_or(Err(missing)));
            // The receiver no longer exists if the order has ended.
            drop(replies.send((name, reply)));
        });
    }
}

/// Converts a span to a duration; a negative span becomes zero.
fn duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.seconds().max(0.0))
}
