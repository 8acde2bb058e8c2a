//! The work of the stand-in servers: a few cores, a queue, a cold start, effects, loads told in answers.

use super::event_loop::ServerLoop;
use super::state::{Due, Job};
use super::NodeKey;
use crate::records::Record;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_xds::orca;

/// How far back utilization looks.
const UTILIZATION: f64 = 0.5;

/// Over the budget by which rule 4 is counted; chance alone may go a little beyond it.
pub const SLACK: f64 = 1.1;

impl ServerLoop {
    pub(super) fn admit_request(&mut self, now: Moment, key: NodeKey, proxy: usize, job: Job) {
        if self.is_overloaded_while_cold(now, key, job.work) {
            self.recorder.note(
                now,
                Record::Fell {
                    node: self.nodes[key].name.clone(),
                },
            );
            return self.close(key);
        }
        let (mut extra, mut refuse) = (1.0, false);
        if let Some(fault) = &self.one_sided {
            if fault.kind == self.nodes[key].spec.kind && fault.proxies.contains(&proxy) {
                (extra, refuse) = (fault.slow, fault.refuse);
            }
        }
        let errs = self.nodes[key].errors > 0.0 && self.chance.unit() < self.nodes[key].errors;
        let full = self.nodes[key].waiting.len() >= self.nodes[key].spec.queue;
        if errs || refuse || full {
            let status = if errs { "500 Error" } else { "503 Full" };
            let again = if errs { "" } else { "Retry-After: 1\r\n" };
            let bytes = format!(
                "HTTP/1.1 {status}\r\nContent-Length: 0\r\n{again}{}\r\n",
                self.load_header(now, key)
            );
            return self.answer(now, key, job.connection, bytes.into_bytes());
        }
        let job = Job {
            work: job.work * extra,
            ..job
        };
        if self.nodes[key].running < self.nodes[key].spec.cores as usize {
            self.begin(now, key, job);
        } else {
            self.nodes[key].waiting.push_back(job);
        }
    }

    pub(super) fn warmth(&self, now: Moment, key: NodeKey) -> f64 {
        let (age, rules) = (now - self.nodes[key].started, &self.plan.rules);
        let risen = (age.seconds() / rules.warm_after.seconds()).clamp(0.0, 1.0);
        rules.cold_start_share + (1.0 - rules.cold_start_share) * risen
    }

    pub(super) fn is_overloaded_while_cold(
        &mut self,
        now: Moment,
        key: NodeKey,
        work: f64,
    ) -> bool {
        let warmth = self.warmth(now, key);
        let rules = &self.plan.rules;
        let (span, factor) = (rules.cold_overload_span, rules.cold_overload_factor);
        let node = &mut self.nodes[key];
        if warmth >= 1.0 {
            return false;
        }
        node.came.push_back((now, work));
        while node.came.front().is_some_and(|(at, _)| now - *at > span) {
            node.came.pop_front();
        }
        let sum: f64 = node.came.iter().map(|(_, work)| work).sum();
        let capacity = f64::from(node.spec.cores) * node.spec.speed * warmth;
        sum > factor * capacity * span.seconds() * SLACK
    }

    pub(super) fn begin(&mut self, now: Moment, key: NodeKey, job: Job) {
        self.count_busy(now, key);
        let took = job.work * self.slow / (self.nodes[key].spec.speed * self.warmth(now, key));
        let node = &mut self.nodes[key];
        node.running += 1;
        let generation = node.generation;
        self.later(
            now + Span::from_seconds(took),
            Due::Done {
                node: key,
                generation,
                job,
            },
        );
    }

    pub(super) fn count_busy(&mut self, now: Moment, key: NodeKey) {
        let node = &mut self.nodes[key];
        let share = node.running as f64 / f64::from(node.spec.cores);
        let keep = (-(now - node.busy_at).seconds() / UTILIZATION).exp();
        (node.busy, node.busy_at) = (node.busy * keep + share * (1.0 - keep), now);
    }

    pub(super) fn load_header(&mut self, now: Moment, key: NodeKey) -> String {
        self.count_busy(now, key);
        let node = &self.nodes[key];
        let figures = [
            ("cpu_utilization", node.busy),
            ("named_metrics.queue", node.waiting.len() as f64),
        ];
        format!("{}: {}\r\n", orca::HEADER, orca::write(&figures))
    }

    pub(super) fn record_effect(&mut self, now: Moment, key: NodeKey, job: &Job) {
        let plan = self
            .plan
            .operations
            .iter()
            .find(|operation| operation.name == job.operation);
        let Some(plan) = plan else { return };
        if plan.retry_class == RetryClass::Fingerprinted {
            let first = *self.seen.entry(job.id.clone()).or_insert(now);
            if first != now && now - first < plan.retry_window {
                return;
            }
        }
        let (node, id, operation) = (
            self.nodes[key].name.clone(),
            job.id.clone(),
            job.operation.clone(),
        );
        self.recorder.note(
            now,
            Record::Effect {
                node,
                id,
                operation,
            },
        );
    }
}
