//! Which controller each proxy is joined to, as the records show it.

use crate::records::Record;
use std::collections::BTreeMap;

/// Which controller each proxy is joined to at the moment, and since when.
#[derive(Default)]
pub(super) struct JoinedControllers(pub(super) BTreeMap<usize, (usize, f64)>);

impl JoinedControllers {
    pub(super) fn follow(&mut self, t: f64, record: &Record) {
        match record {
            Record::Joined { proxy, controller } => drop(self.0.insert(*proxy, (*controller, t))),
            Record::Left { proxy } | Record::ProxyKilled { proxy } => drop(self.0.remove(proxy)),
            _ => {}
        }
    }
}
