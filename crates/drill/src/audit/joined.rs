//! The controllers that proxies are joined to, from the records.

use crate::records::Record;
use std::collections::BTreeMap;

/// The controller that each proxy is currently joined to, and since when (seconds since the drill began).
#[derive(Default)]
pub(super) struct JoinedControllers(pub(super) BTreeMap<usize, (usize, f64)>);

impl JoinedControllers {
    pub(super) fn update(&mut self, t: f64, record: &Record) {
        match record {
            Record::Joined { proxy, controller } => drop(self.0.insert(*proxy, (*controller, t))),
            Record::Left { proxy } | Record::ProxyKilled { proxy } => drop(self.0.remove(proxy)),
            _ => {}
        }
    }
}
