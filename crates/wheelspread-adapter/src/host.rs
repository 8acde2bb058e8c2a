//! Runs one balancer for each simulated controller.

use crate::decode::{self, ControllerId, Reader, Record, RecordBody};
use crate::encode;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{catch_unwind, AssertUnwindSafe};
use wheelspread::time::Moment;
use wheelspread::{Action, Balancer, ConfigError, Event, EventError};

/// The running balancers, and the controllers whose balancer failed to start or panicked.
#[derive(Default)]
pub struct Host {
    balancers: BTreeMap<ControllerId, Balancer>,
    failed: BTreeSet<ControllerId>,
}

/// The reply to a batch.
#[derive(Default)]
pub struct Reply {
    /// Number of actions.
    pub action_count: u32,
    /// The encoded actions.
    pub bytes: Vec<u8>,
}

impl Reply {
    fn push_actions(&mut self, controller: ControllerId, actions: &[Action]) {
        for action in actions {
            encode::write_action(controller, action, &mut self.bytes);
            self.action_count += 1;
        }
    }

    fn push_failure(&mut self, controller: ControllerId, text: &str) {
        eprintln!("controller {}: {text}", controller.0);
        encode::write_failure(controller, text, &mut self.bytes);
        self.action_count += 1;
    }
}

/// An error because of which a record is ignored.
#[derive(Debug, thiserror::Error)]
enum RecordError {
    #[error("stop record for controller {0}, which is not running")]
    StopNotRunning(u16),
    #[error("event for controller {0}, which is not running")]
    EventNotRunning(u16),
    /// The balancer rejected the event.
    #[error(transparent)]
    EventRejected(#[from] EventError),
}

/// An error that prevents the start of a controller.
#[derive(Debug, thiserror::Error)]
enum BootError {
    #[error(transparent)]
    Settings(#[from] wheelspread_settings::ParseError),
    #[error(transparent)]
    Balancer(#[from] ConfigError),
}

impl Host {
    /// Processes the records of one batch, then runs a decision round for each of their controllers. A record that
    /// cannot be decoded is reported on standard error with its index and byte offset. The rest of the batch is then
    /// ignored, since the start of the next record is unknown.
    pub fn run_batch(&mut self, now: Moment, record_count: u32, body: &[u8]) -> Reply {
        let mut reply = Reply::default();
        let mut reader = Reader::new(body);
        let mut addressed = BTreeSet::new();
        for index in 0..record_count {
            let offset = reader.offset;
            match decode::read_record(&mut reader) {
                Ok(record) => {
                    addressed.insert(record.controller);
                    if let Err(error) = self.run_record(now, record, &mut reply) {
                        eprintln!("record {index} at offset {offset}: {error}");
                    }
                }
                Err(error) => {
                    eprintln!(
                        "record {index} at offset {offset}: {error}; the rest of the batch is ignored"
                    );
                    break;
                }
            }
        }
        if reader.remaining() > 0 {
            eprintln!(
                "{} bytes left after {record_count} records at offset {}",
                reader.remaining(),
                reader.offset
            );
        }
        for controller in addressed {
            self.decide(now, controller, &mut reply);
        }
        reply
    }

    fn run_record(
        &mut self,
        now: Moment,
        record: Record,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let controller = record.controller;
        match record.body {
            RecordBody::Boot { seed, settings } => {
                self.boot(now, controller, seed, &settings, reply);
                Ok(())
            }
            RecordBody::Stop => match self.balancers.remove(&controller) {
                Some(_) => Ok(()),
                None => Err(RecordError::StopNotRunning(controller.0)),
            },
            RecordBody::Event(_) if self.failed.contains(&controller) => Ok(()),
            RecordBody::Event(event) => self.handle_event(now, controller, &event, reply),
        }
    }

    fn boot(
        &mut self,
        now: Moment,
        controller: ControllerId,
        seed: u64,
        settings: &str,
        reply: &mut Reply,
    ) {
        self.failed.remove(&controller);
        self.balancers.remove(&controller);
        match start_balancer(now, seed, settings) {
            Ok(balancer) => {
                self.balancers.insert(controller, balancer);
            }
            Err(error) => self.fail(controller, &error.to_string(), reply),
        }
    }

    fn handle_event(
        &mut self,
        now: Moment,
        controller: ControllerId,
        event: &Event,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        if !self.balancers.contains_key(&controller) {
            return Err(RecordError::EventNotRunning(controller.0));
        }
        let mut result = Ok(());
        self.run_balancer(controller, reply, |balancer, _| {
            result = balancer.handle_event(now, event);
        });
        Ok(result?)
    }

    fn decide(&mut self, now: Moment, controller: ControllerId, reply: &mut Reply) {
        self.run_balancer(controller, reply, |balancer, actions| {
            balancer.decide(now, actions);
        });
    }

    /// Calls `run` with a controller's balancer, if it is running, and adds the resulting actions to the reply. If
    /// `run` panics, the balancer is removed and the reply reports the failure to the simulator.
    fn run_balancer<F>(&mut self, controller: ControllerId, reply: &mut Reply, run: F)
    where
        F: FnOnce(&mut Balancer, &mut Vec<Action>),
    {
        let Some(balancer) = self.balancers.get_mut(&controller) else {
            return;
        };
        let mut actions = Vec::new();
        // The balancer is removed after a panic, so its inconsistent state is never used.
        match catch_unwind(AssertUnwindSafe(|| run(balancer, &mut actions))) {
            Ok(()) => reply.push_actions(controller, &actions),
            Err(_) => {
                let text = "the decisions failed, see standard error";
                self.fail(controller, text, reply);
            }
        }
    }

    fn fail(&mut self, controller: ControllerId, text: &str, reply: &mut Reply) {
        self.balancers.remove(&controller);
        self.failed.insert(controller);
        reply.push_failure(controller, text);
    }
}

fn start_balancer(now: Moment, seed: u64, settings: &str) -> Result<Balancer, BootError> {
    let settings = wheelspread_settings::parse(settings)?;
    Ok(Balancer::start(now, seed, settings)?)
}
