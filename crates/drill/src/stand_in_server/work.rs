//! The work of the stand-in servers: cores, queue, slow start, effects and load reports in responses.

use super::event_loop::ServerLoop;
use super::state::{Due, Job};
use super::NodeKey;
use crate::records::Record;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_xds::orca;

/// The time constant of the exponential average of utilization, in seconds.
const UTILIZATION_TIME_CONSTANT_S: f64 = 0.5;

/// The factor on the work that rule 4 allows a warming node, as random arrivals may exceed it slightly.
pub const WARMING_OVERLOAD_TOLERANCE: f64 = 1.1;

impl ServerLoop {
    pub(super) fn admit_request(&mut self, now: Moment, key: NodeKey, proxy: usize, job: Job) {
        if self.is_overloaded_while_warming(now, key, job.work) {
            self.recorder.record(
                now,
                Record::NodeOverloaded {
                    node: self.nodes[key].name.clone(),
                },
            );
            return self.close(key);
        }
        let (mut work_factor, mut refuse) = (1.0, false);
        if let Some(fault) = &self.one_sided {
            if fault.kind == self.nodes[key].spec.kind && fault.proxies.contains(&proxy) {
                (work_factor, refuse) = (fault.work_factor, fault.refuse);
            }
        }
        let fails =
            self.nodes[key].error_ratio > 0.0 && self.rng.unit() < self.nodes[key].error_ratio;
        let is_full = self.nodes[key].waiting.len() >= self.nodes[key].spec.queue;
        if fails || refuse || is_full {
            let status = if fails { "500 Error" } else { "503 Full" };
            let retry_after = if fails { "" } else { "Retry-After: 1\r\n" };
            let bytes = format!(
                "HTTP/1.1 {status}\r\nContent-Length: 0\r\n{retry_after}{}\r\n",
                self.load_header(now, key)
            );
            return self.send_response(now, key, job.connection, bytes.into_bytes());
        }
        let job = Job {
            work: job.work * work_factor,
            ..job
        };
        if self.nodes[key].running < self.nodes[key].spec.cores as usize {
            self.start_job(now, key, job);
        } else {
            self.nodes[key].waiting.push_back(job);
        }
    }

    pub(super) fn warmup_ratio(&self, now: Moment, key: NodeKey) -> f64 {
        let (age, rules) = (now - self.nodes[key].started, &self.deployment.rules);
        let progress = (age.seconds() / rules.warm_after.seconds()).clamp(0.0, 1.0);
        rules.cold_start_share + (1.0 - rules.cold_start_share) * progress
    }

    pub(super) fn is_overloaded_while_warming(
        &mut self,
        now: Moment,
        key: NodeKey,
        work: f64,
    ) -> bool {
        let warmup_ratio = self.warmup_ratio(now, key);
        let rules = &self.deployment.rules;
        let (span, factor) = (rules.cold_overload_span, rules.cold_overload_factor);
        let node = &mut self.nodes[key];
        if warmup_ratio >= 1.0 {
            return false;
        }
        node.recent_work.push_back((now, work));
        while node
            .recent_work
            .front()
            .is_some_and(|(at, _)| now - *at > span)
        {
            node.recent_work.pop_front();
        }
        let sum: f64 = node.recent_work.iter().map(|(_, work)| work).sum();
        let capacity = f64::from(node.spec.cores) * node.spec.speed * warmup_ratio;
        sum > factor * capacity * span.seconds() * WARMING_OVERLOAD_TOLERANCE
    }

    pub(super) fn start_job(&mut self, now: Moment, key: NodeKey, job: Job) {
        self.update_utilization(now, key);
        let duration_s = job.work * self.work_factor
            / (self.nodes[key].spec.speed * self.warmup_ratio(now, key));
        let node = &mut self.nodes[key];
        node.running += 1;
        let generation = node.generation;
        self.schedule(
            now + Span::from_seconds(duration_s),
            Due::FinishJob {
                node: key,
                generation,
                job,
            },
        );
    }

    pub(super) fn update_utilization(&mut self, now: Moment, key: NodeKey) {
        let node = &mut self.nodes[key];
        let share = node.running as f64 / f64::from(node.spec.cores);
        let keep = (-(now - node.utilization_at).seconds() / UTILIZATION_TIME_CONSTANT_S).exp();
        (node.utilization, node.utilization_at) =
            (node.utilization * keep + share * (1.0 - keep), now);
    }

    pub(super) fn load_header(&mut self, now: Moment, key: NodeKey) -> String {
        self.update_utilization(now, key);
        let node = &self.nodes[key];
        let figures = [
            ("cpu_utilization", node.utilization),
            ("named_metrics.queue", node.waiting.len() as f64),
        ];
        format!("{}: {}\r\n", orca::HEADER, orca::write(&figures))
    }

    pub(super) fn record_effect(&mut self, now: Moment, key: NodeKey, job: &Job) {
        let config = self
            .deployment
            .operations
            .iter()
            .find(|operation| operation.name == job.operation);
        let Some(config) = config else { return };
        if config.retry_class == RetryClass::Fingerprinted {
            let first = *self
                .fingerprints_first_seen
                .entry(job.id.clone())
                .or_insert(now);
            if first != now && now - first < config.retry_window {
                return;
            }
        }
        let (node, id, operation) = (
            self.nodes[key].name.clone(),
            job.id.clone(),
            job.operation.clone(),
        );
        self.recorder.record(
            now,
            Record::RequestExecuted {
                node,
                id,
                operation,
            },
        );
    }
}
