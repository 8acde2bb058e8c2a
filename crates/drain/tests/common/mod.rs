//! Helpers for tests with orders for one node.

use wheelspread::time::Moment;
use wheelspread_drain::{DrainAction, DrainOrder, DrainRegistry, OrderId};

pub const NODE: &str = "127.0.0.1:9001";

pub fn at(seconds: f64) -> Moment {
    Moment::from_seconds(seconds)
}

pub fn order(id: &str, action: DrainAction, given_ms: u64) -> DrainOrder {
    let (node, by) = (NODE.to_string(), "ada".to_string());
    DrainOrder {
        id: OrderId(id.into()),
        node,
        action,
        by,
        given_ms,
        overrides: Vec::new(),
    }
}

/// Submits an order and reports it as persisted.
pub fn submit_and_persist(registry: &mut DrainRegistry, now: Moment, order: DrainOrder) {
    let id = order.id.clone();
    registry.submit(now, order, &[]).expect("accepted");
    registry.on_persisted(now, NODE, &id);
    registry.take_effects();
}
