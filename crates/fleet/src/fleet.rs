//! Calls all controllers of a fleet at the same time.

use crate::call::{call, Failed, Line, Request};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use wheelspread::time::Span;

/// The stack of a thread that makes one call, in bytes.
const CALL_STACK_BYTES: usize = 256 << 10;

/// A call ends by itself at its deadline; this is for its thread to report that.
const REPORT_GRACE: Duration = Duration::from_millis(50);

/// The controllers that can be called.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Where each is called, by name.
    pub conductors: BTreeMap<String, Line>,
    /// How long a complete answer may take.
    pub within: Duration,
    /// How long an order is retried until every controller has answered.
    pub order_within: Span,
}

impl Fleet {
    /// Sends a request to all controllers. Each has an answer, or the reason for none, by the deadline.
    pub fn ask(
        &self,
        request: &Request,
        within: Duration,
    ) -> BTreeMap<String, Result<Value, Failed>> {
        let names = self.conductors.keys().cloned().collect();
        self.ask_some(&names, request, Instant::now() + within)
    }

    /// As [`Fleet::ask`], for some of the controllers.
    pub fn ask_some(
        &self,
        names: &BTreeSet<String>,
        request: &Request,
        until: Instant,
    ) -> BTreeMap<String, Result<Value, Failed>> {
        let (sender, answers) = channel();
        let mut pending: BTreeSet<String> = BTreeSet::new();
        let mut all = BTreeMap::new();
        for (name, line) in &self.conductors {
            if !names.contains(name) {
                continue;
            }
            let (sender, caller) = (sender.clone(), name.clone());
            let (line, request) = (line.clone(), request.clone());
            let run = move || drop(sender.send((caller, call(&line, &request, until))));
            let thread = std::thread::Builder::new().stack_size(CALL_STACK_BYTES);
            if let Err(error) = thread.spawn(run) {
                let failed = Failed::Unreachable(error.to_string());
                all.insert(name.clone(), Err(failed));
            } else {
                pending.insert(name.clone());
            }
        }
        drop(sender);
        while !pending.is_empty() {
            let left = until.saturating_duration_since(Instant::now()) + REPORT_GRACE;
            let Ok((name, answer)) = answers.recv_timeout(left) else {
                break;
            };
            pending.remove(&name);
            all.insert(name, answer);
        }
        for name in pending {
            all.insert(name, Err(Failed::Silent("the time asked for".to_string())));
        }
        all
    }
}
