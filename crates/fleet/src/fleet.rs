//! Calls the controllers of a fleet concurrently.

use crate::call::{call, ControllerAddress, Request, RequestError};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};
use wheelspread::time::Span;

/// The stack size of the thread that makes one call, in bytes.
const CALL_STACK_BYTES: usize = 256 << 10;

/// Additional time after the deadline for a thread to report that its call has ended at the deadline.
const REPORT_GRACE: Duration = Duration::from_millis(50);

/// The controllers that can be called.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Addresses of controllers by name.
    pub controllers: BTreeMap<String, ControllerAddress>,
    /// The maximum time for a complete answer.
    pub answer_timeout: Duration,
    /// The maximum time for which an order is retried until every controller has answered.
    pub order_timeout: Span,
}

impl Fleet {
    /// Sends a request to all controllers. The result has an answer or an error for each of them.
    pub fn call_all(
        &self,
        request: &Request,
        timeout: Duration,
    ) -> BTreeMap<String, Result<Value, RequestError>> {
        let names = self.controllers.keys().cloned().collect();
        self.call_some(&names, request, Instant::now() + timeout)
    }

    /// Like [`Fleet::call_all`], but for the named controllers, and with a deadline. Unknown names are ignored.
    pub fn call_some(
        &self,
        names: &BTreeSet<String>,
        request: &Request,
        until: Instant,
    ) -> BTreeMap<String, Result<Value, RequestError>> {
        let (sender, answers) = channel();
        let mut pending: BTreeSet<String> = BTreeSet::new();
        let mut all = BTreeMap::new();
        for (name, address) in &self.controllers {
            if !names.contains(name) {
                continue;
            }
            let (sender, caller) = (sender.clone(), name.clone());
            let (address, request) = (address.clone(), request.clone());
            let run = move || drop(sender.send((caller, call(&address, &request, until))));
            let thread = std::thread::Builder::new().stack_size(CALL_STACK_BYTES);
            if let Err(error) = thread.spawn(run) {
                let failed = RequestError::Unreachable(error.to_string());
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
            all.insert(
                name,
                Err(RequestError::Timeout("the requested time".to_string())),
            );
        }
        all
    }
}
