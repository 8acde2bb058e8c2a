//! Streams: load reports and tables, and the proxies that join and leave with them.

use super::ControllerCore;
use crate::membership::{Introduction, Member, OpenedStream, StreamId};
use crate::publication::Version;
use crate::{Effect, LogEvent};
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::Moment;

impl ControllerCore {
    pub(super) fn on_stream_opened(
        &mut self,
        now: Moment,
        stream: StreamId,
        introduction: &Introduction,
    ) {
        let Some(opened) = self.open_member_stream(now, stream, introduction) else {
            return;
        };
        // A stream of tables goes on beside one of load reports.
        let superseded = opened.superseded;
        if let Some(old) = superseded.filter(|old| !self.transports.is_table_stream(*old)) {
            self.close_superseded(old, &introduction.name);
        }
        self.effects.push(Effect::AcceptStream {
            stream,
            period: self.plan.load_reports.period,
        });
        self.on_joined(now, &opened, introduction);
        let member = self.members.member(&introduction.name);
        let claimed = self.unclaimed.claim(&introduction.name);
        if let (Some(set), Some(member)) = (claimed, member) {
            self.deliveries.set_delivered(member.id, Arc::new(set));
        }
    }

    pub(super) fn on_stream_closed(&mut self, now: Moment, stream: StreamId) {
        let member = self
            .members
            .by_stream(stream)
            .map(|(name, member)| (name.to_string(), member.id));
        let left = self.members.close(now, stream);
        let (Some((proxy, id)), Some(event)) = (member, left) else {
            return;
        };
        self.acknowledgements.forget(id);
        self.handle_event(now, &event);
        self.log(LogEvent::ProxyLeft { proxy });
    }

    pub(super) fn on_subscribed(
        &mut self,
        now: Moment,
        stream: StreamId,
        introduction: &Introduction,
        initial_version: Option<Version>,
    ) {
        if !self.plan.table_delivery.streams {
            let reason = "tables are not given out by streams here".to_string();
            return self.effects.push(Effect::CloseStream { stream, reason });
        }
        if !self.has_report_stream(&introduction.name) {
            let Some(opened) = self.open_member_stream(now, stream, introduction) else {
                return;
            };
            self.on_joined(now, &opened, introduction);
        }
        let member = self.members.member(&introduction.name);
        let Some(id) = member.map(|member| member.id) else {
            return;
        };
        let initial_version =
            initial_version.filter(|version| self.publication.raise_last_version(*version));
        if let Some(old) = self.transports.open(id, stream, initial_version) {
            self.close_superseded(old, &introduction.name);
        }
        self.unclaimed.claim(&introduction.name);
        self.start_subscription(id);
        self.log(LogEvent::ProxySubscribed {
            proxy: introduction.name.clone(),
            stream,
        });
        self.offer(now, id, true);
    }

    pub(super) fn on_unsubscribed(&mut self, now: Moment, stream: StreamId) {
        if let Some(id) = self.transports.close(stream) {
            self.deliveries.clear_delivered(id);
            self.queue.drop_updates(id);
            let proxy = self.members.name(id).unwrap_or_default().to_string();
            self.log(LogEvent::ProxyUnsubscribed { proxy });
        }
        self.on_stream_closed(now, stream);
    }

    /// Whether the proxy is joined by a stream of load reports, beside which one of tables can go.
    fn has_report_stream(&self, proxy: &str) -> bool {
        self.members
            .member(proxy)
            .and_then(Member::stream)
            .is_some_and(|stream| !self.transports.is_table_stream(stream))
    }

    /// Opens the stream that a proxy is joined by, or rejects it.
    fn open_member_stream(
        &mut self,
        now: Moment,
        stream: StreamId,
        introduction: &Introduction,
    ) -> Option<OpenedStream> {
        match self.members.open(now, stream, introduction, &self.plan) {
            Ok(opened) => Some(opened),
            Err(error) => {
                let reason = error.to_string();
                self.log(LogEvent::StreamRejected {
                    stream,
                    reason: reason.clone(),
                });
                self.effects.push(Effect::CloseStream { stream, reason });
                None
            }
        }
    }

    fn on_joined(&mut self, now: Moment, opened: &OpenedStream, introduction: &Introduction) {
        for event in &opened.events {
            self.handle_event(now, event);
        }
        self.log(LogEvent::ProxyJoined {
            proxy: introduction.name.clone(),
            zone: introduction.zone.clone(),
        });
    }

    fn close_superseded(&mut self, stream: StreamId, proxy: &str) {
        let reason = format!("`{proxy}` opened another stream");
        self.effects.push(Effect::CloseStream { stream, reason });
    }

    /// The proxy says by itself what it holds from now on: nothing is assumed of it.
    fn start_subscription(&mut self, proxy: ProxyId) {
        self.deliveries.forget(proxy);
        self.queue.drop_updates(proxy);
        self.acknowledgements.on_subscribed(proxy);
    }

    /// Nothing is published any more for proxies that the membership has forgotten.
    pub(super) fn release_forgotten_proxies(&mut self) {
        let forgotten: Vec<ProxyId> = self
            .publication
            .bound_proxies()
            .filter(|id| self.members.name(*id).is_none())
            .collect();
        for id in forgotten {
            self.publication.unbind(id);
            self.queue.forget(id);
            self.acknowledgements.forget(id);
            self.aggregator.forget(id);
            self.history.forget(id);
            self.transports.forget(id);
            self.deliveries.forget(id);
        }
    }
}
