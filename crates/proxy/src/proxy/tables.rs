//! Tables and controllers: what the report stream, the table stream and the table files tell the proxy.

use super::Proxy;
use crate::observer::RequestObserver;
use crate::report_stream::ReportStreamEvent;
use crate::table_files::TableUpdate;
use crate::token::Source;
use wheelspread::time::Moment;
use wheelspread_controller_core::TableEntry;
use wheelspread_files::Held;
use wheelspread_proxy_core::{OperationTable, WeightedNode};
use wheelspread_reactor::Poll;
use wheelspread_xds::tables::OperationOrders;

/// Published weights are multiples of one thousandth; the core counts in whole numbers.
const WEIGHT_UNITS_PER_ONE: f64 = 1000.0;

impl<W: RequestObserver> Proxy<W> {
    /// Reads and writes the load report stream, and acts on what came of it.
    pub(super) fn poll_report_stream(&mut self, poll: &Poll, now: Moment) {
        let Proxy {
            report_stream,
            core,
            ..
        } = self;
        for event in report_stream.poll(poll, now, || core.take_load_report(now)) {
            match event {
                ReportStreamEvent::Joined { controller } => {
                    self.follow_controller(poll, now, controller);
                }
                ReportStreamEvent::Left { reason } => self.observer.controller_left(now, &reason),
            }
        }
    }

    /// Takes tables from the controller that accepted the load report stream.
    fn follow_controller(&mut self, poll: &Poll, now: Moment, controller: usize) {
        let count = self.config.controllers.len();
        self.observer.controller_joined(now, controller, count);
        if let Some(stream) = &mut self.table_stream {
            stream.follow(now, controller);
            return;
        }
        let token = self.tokens.token(Source::TableFiles);
        let dialed_at = self.report_stream.dialed_at();
        match self.table_files.follow(poll, token, controller, dialed_at) {
            Ok(update) => self.apply_table_update(poll, now, update),
            Err(error) => {
                let reason = format!("its directory can't be watched: {error}");
                self.observer.tables_rejected(now, &reason);
            }
        }
    }

    /// Reads the table stream, if there is one, and applies what came.
    pub(super) fn poll_table_stream(&mut self, poll: &Poll, now: Moment) {
        let Some(stream) = &mut self.table_stream else {
            return;
        };
        for update in stream.poll(poll, now) {
            self.apply_table_update(poll, now, update);
        }
    }

    /// Applies tables, or reports why they were rejected.
    pub(super) fn apply_table_update(&mut self, poll: &Poll, now: Moment, update: TableUpdate) {
        match update {
            TableUpdate::Unchanged => {}
            TableUpdate::Rejected(reason) => self.observer.tables_rejected(now, &reason),
            TableUpdate::New(held) => {
                self.observer.tables_applied(now, &held);
                self.apply_tables(poll, now, &held);
            }
        }
    }

    fn apply_tables(&mut self, poll: &Poll, now: Moment, held: &Held) {
        let mut tables = Vec::new();
        for orders in &held.orders.operations {
            if let Some(operation) = self.core.operation_id(&orders.operation) {
                tables.push((operation, operation_table(orders)));
            }
        }
        for decision in self.core.apply_tables(now, &tables) {
            self.apply_decision(poll, now, decision);
        }
        self.upstreams
            .close_idle_except(&self.core.published_nodes());
    }
}

fn operation_table(orders: &OperationOrders) -> OperationTable {
    let entry = |entry: &TableEntry| WeightedNode {
        node: entry.node,
        weight: (entry.weight * WEIGHT_UNITS_PER_ONE).round() as u32,
    };
    OperationTable {
        entries: orders.lines.iter().map(entry).collect(),
        dropped_of_million: orders.dropped_of_million,
        rate_limit: orders.rate,
        retry_policy: orders.retry,
        per_attempt_timeout: orders.per_try_timeout,
        request_timeout: orders.timeout,
    }
}
