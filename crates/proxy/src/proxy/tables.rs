//! Handles events of the load report stream, the table stream and the table files.

use super::Proxy;
use crate::observer::RequestObserver;
use crate::report_stream::ReportStreamEvent;
use crate::table_files::TableUpdate;
use crate::token::Source;
use wheelspread::time::Moment;
use wheelspread_controller_core::TableEntry;
use wheelspread_files::LoadedTables;
use wheelspread_proxy_core::{OperationTable, WeightedNode};
use wheelspread_reactor::Poll;
use wheelspread_xds::tables::ProxyTable;

/// Published weights are multiples of 0.001. The core uses integers, in units of 0.001.
const WEIGHT_SCALE: f64 = 1000.0;

impl<W: RequestObserver> Proxy<W> {
    /// Polls the load report stream and handles its events.
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

    /// Reads tables from the controller that accepted the load report stream from now on.
    fn follow_controller(&mut self, poll: &Poll, now: Moment, controller: usize) {
        let controller_count = self.config.controllers.len();
        self.observer
            .controller_joined(now, controller, controller_count);
        if let Some(stream) = &mut self.table_stream {
            stream.follow(now, controller);
            return;
        }
        let token = self.tokens.token(Source::TableFiles);
        let dialed_at = self.report_stream.dialed_at();
        match self.table_files.follow(poll, token, controller, dialed_at) {
            Ok(update) => self.apply_table_update(poll, now, update),
            Err(error) => {
                let reason =
                    format!("the table directory of the controller can't be watched: {error}");
                self.observer.tables_rejected(now, &reason);
            }
        }
    }

    /// Polls the table stream, if there is one, and applies the resulting updates.
    pub(super) fn poll_table_stream(&mut self, poll: &Poll, now: Moment) {
        let Some(stream) = &mut self.table_stream else {
            return;
        };
        for update in stream.poll(poll, now) {
            self.apply_table_update(poll, now, update);
        }
    }

    /// Applies new tables, or reports to the observer why they were rejected.
    pub(super) fn apply_table_update(&mut self, poll: &Poll, now: Moment, update: TableUpdate) {
        match update {
            TableUpdate::Unchanged => {}
            TableUpdate::Rejected(reason) => self.observer.tables_rejected(now, &reason),
            TableUpdate::New(loaded) => {
                self.observer.tables_applied(now, &loaded);
                self.apply_tables(poll, now, &loaded);
            }
        }
    }

    fn apply_tables(&mut self, poll: &Poll, now: Moment, loaded: &LoadedTables) {
        let mut tables = Vec::new();
        for table in &loaded.tables.operations {
            if let Some(operation) = self.core.operation_id(&table.operation) {
                tables.push((operation, operation_table(table)));
            }
        }
        for decision in self.core.apply_tables(now, &tables) {
            self.apply_decision(poll, now, decision);
        }
        self.upstreams
            .close_idle_except(&self.core.published_nodes());
    }
}

fn operation_table(table: &ProxyTable) -> OperationTable {
    let entry = |entry: &TableEntry| WeightedNode {
        node: entry.node,
        weight: (entry.weight * WEIGHT_SCALE).round() as u32,
    };
    OperationTable {
        entries: table.entries.iter().map(entry).collect(),
        dropped_of_million: table.dropped_of_million,
        rate_limit: table.rate_limit,
        retry_policy: table.retry,
        per_attempt_timeout: table.per_try_timeout,
        request_timeout: table.timeout,
    }
}
