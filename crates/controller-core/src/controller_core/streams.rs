//! Streams of load reports and of tables, by which proxies join and leave.

use super::ControllerCore;
use crate::membership::{Member, OpenedStream, ProxyIdentity, StreamId};
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
        identity: &ProxyIdentity,
    ) {
        let Some(opened) = self.open_member_stream(now, stream, identity) else {
            return;
        };
        // A stream of load reports does not close the proxy's stream of tables.
        let superseded = opened.superseded;
        if let Some(old) = superseded.filter(|old| !self.transports.is_table_stream(*old)) {
            self.close_superseded(old, &identity.name);
        }
        self.effects.push(Effect::AcceptStream {
            stream,
            period: self.deployment.load_reports.period,
        });
        self.on_joined(now, &opened, identity);
        let member = self.members.member(&identity.name);
        let recovered = self.recovered_tables.take(&identity.name);
        if let (Some(set), Some(member)) = (recovered, member) {
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
        identity: &ProxyIdentity,
        initial_version: Option<Version>,
    ) {
        if !self.deployment.table_delivery.streams {
            let reason = "this deployment does not serve tables by streams".to_string();
            return self.effects.push(Effect::CloseStream { stream, reason });
        }
        if !self.has_report_stream(&identity.name) {
            let Some(opened) = self.open_member_stream(now, stream, identity) else {
                return;
            };
            self.on_joined(now, &opened, identity);
        }
        let member = self.members.member(&identity.name);
        let Some(id) = member.map(|member| member.id) else {
            return;
        };
        let initial_version =
            initial_version.filter(|version| self.publication.raise_last_version(*version));
        if let Some(old) = self.transports.open(id, stream, initial_version) {
            self.close_superseded(old, &identity.name);
        }
        self.recovered_tables.take(&identity.name);
        self.start_subscription(id);
        self.log(LogEvent::ProxySubscribed {
            proxy: identity.name.clone(),
            stream,
        });
        self.enqueue_newest_tables(now, id, true);
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

    /// Whether the proxy is joined by a stream of load reports; its stream of tables is then opened in addition.
    fn has_report_stream(&self, proxy: &str) -> bool {
        self.members
            .member(proxy)
            .and_then(Member::stream)
            .is_some_and(|stream| !self.transports.is_table_stream(stream))
    }

    /// Opens the stream by which a proxy joins, or rejects it and closes it with the reason.
    fn open_member_stream(
        &mut self,
        now: Moment,
        stream: StreamId,
        identity: &ProxyIdentity,
    ) -> Option<OpenedStream> {
        match self.members.open(now, stream, identity, &self.deployment) {
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

    fn on_joined(&mut self, now: Moment, opened: &OpenedStream, identity: &ProxyIdentity) {
        for event in &opened.events {
            self.handle_event(now, event);
        }
        self.log(LogEvent::ProxyJoined {
            proxy: identity.name.clone(),
            zone: identity.zone.clone(),
        });
    }

    fn close_superseded(&mut self, stream: StreamId, proxy: &str) {
        let reason = format!("`{proxy}` opened another stream");
        self.effects.push(Effect::CloseStream { stream, reason });
    }

    /// Clears deliveries, queued updates and assumptions about a proxy's tables. A proxy that reads a stream reports
    /// the version that it holds.
    fn start_subscription(&mut self, proxy: ProxyId) {
        self.deliveries.forget(proxy);
        self.queue.drop_updates(proxy);
        self.acknowledgements.on_subscribed(proxy);
    }

    /// Removes the state of proxies that the membership has forgotten; nothing is published for them any more.
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
