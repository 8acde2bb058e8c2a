//! Reports of proxies: load reports, and the status of table versions.

use super::ControllerCore;
use crate::load_report::LoadReport;
use crate::membership::StreamId;
use crate::publication::Version;
use crate::{Effect, LogEvent};
use wheelspread::ids::{OperationId, ProxyId, ZoneId};
use wheelspread::time::Moment;

impl ControllerCore {
    pub(super) fn on_load_report(&mut self, now: Moment, stream: StreamId, report: &LoadReport) {
        let Some((name, member)) = self.members.by_stream(stream) else {
            return;
        };
        let (name, id, zone) = (name.to_string(), member.id, member.zone);
        let unknown_before = self.aggregator.unknown_nodes;
        let endpoints = &self.endpoints;
        let result = self
            .aggregator
            .add_report(id, zone, report, &self.deployment, |node| {
                endpoints.record(node).is_some()
            });
        match result {
            Ok(()) => self.record_report(now, id, zone, report),
            Err(error) => {
                let reason = error.to_string();
                self.effects.push(Effect::CloseStream {
                    stream,
                    reason: reason.clone(),
                });
                let proxy = name;
                self.log(LogEvent::LoadReportRejected { proxy, reason });
            }
        }
        // Logged once per process: a proxy with outdated tables names unlisted nodes in every report.
        let unknown = self.aggregator.unknown_nodes;
        if unknown > unknown_before && unknown_before == 0 {
            self.log(LogEvent::UnknownNodes { count: unknown });
        }
        self.confirm_doubted_nodes(now, report);
    }

    fn record_report(&mut self, now: Moment, proxy: ProxyId, zone: ZoneId, report: &LoadReport) {
        let operations = &self.deployment.operations;
        let operation_id = |name: &str| {
            operations
                .iter()
                .position(|operation| operation.name == name)
                .map(|index| OperationId(index as u8))
        };
        self.history.record(now, proxy, zone, report, operation_id);
        self.evidence.record_report(now, proxy, report);
    }

    /// While the endpoint list is in doubt, records that nodes answered requests, which shows that they still serve.
    fn confirm_doubted_nodes(&mut self, now: Moment, report: &LoadReport) {
        if self.endpoints.doubt_deadline(&self.deployment).is_none() {
            return;
        }
        let interval_start = now - report.window;
        let reported = report
            .operations
            .iter()
            .flat_map(|operation| &operation.nodes);
        for node in reported
            .filter(|reported| reported.succeeded > 0)
            .filter_map(|reported| reported.node)
        {
            self.endpoints.record_answer(node, interval_start);
        }
    }

    pub(super) fn on_status(
        &mut self,
        now: Moment,
        proxy: String,
        version: Version,
        rejection: Option<String>,
    ) {
        let Some(id) = self.members.member(&proxy).map(|member| member.id) else {
            return;
        };
        match rejection {
            // A proxy cannot hold a version that was never published, so such a status is ignored.
            None if version > self.publication.last_version() => {}
            None => self.acknowledgements.on_reported(now, id, version),
            Some(reason) => {
                self.acknowledgements.on_rejected(id, version);
                self.log(LogEvent::TablesRejected {
                    proxy,
                    version,
                    reason,
                });
            }
        }
    }
}
