//! All discovery streams of a conductor: who is on which, what each was offered, who holds what since when,
//! and the verdicts on what was refused.

use crate::rejection::{RejectionResponse, RejectionTracker};
use crate::snapshot::Snapshot;
use crate::snapshot_cache::SnapshotCache;
use crate::stream::{Request, RequestOutcome, Response, Stream, MOST_NAMES};
use std::collections::BTreeMap;
use std::sync::Arc;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::{BundleId, Version};

/// What the front costs at most.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryLimits {
    /// Of so many versions differences are kept.
    pub versions: usize,
    /// Changes of a stream's subscriptions within the window.
    pub changes_at_most: u32,
    pub window: Span,
    /// An answer that is not spoken to for so long ends the stream.
    pub unanswered: Span,
    /// How long ordinary changes wait that most refuse.
    pub hold: Span,
}

#[derive(Clone, Debug, PartialEq)]
pub enum StreamEvent {
    /// The client holds this version of all that it watches.
    VersionAcknowledged { proxy: ProxyId, version: Version },
    VersionRejected {
        proxy: ProxyId,
        version: Version,
        reason: String,
        verdict: RejectionResponse,
    },
    /// It speaks of what it was not sent.
    UnknownNonce { proxy: ProxyId, text: String },
    /// The stream should be ended.
    CloseRequired { stream: StreamId, reason: String },
}

#[derive(Debug)]
struct OpenStream {
    proxy: ProxyId,
    stream: Stream,
    /// Told last, and since when.
    holds: Option<(Version, Moment)>,
    unanswered_since: Option<Moment>,
}

#[derive(Debug)]
pub struct DiscoveryStreams {
    plan: DiscoveryLimits,
    history: SnapshotCache,
    streams: BTreeMap<StreamId, OpenStream>,
    verdicts: RejectionTracker,
    /// Words on answers that were overtaken.
    pub stale: u64,
}

/// After so many words on what was never sent a client is not listened to any more.
const STRANGE: u32 = 10;

impl DiscoveryStreams {
    pub fn new(plan: DiscoveryLimits) -> DiscoveryStreams {
        DiscoveryStreams {
            history: SnapshotCache::new(plan.versions),
            verdicts: RejectionTracker::new(plan.hold),
            plan,
            streams: BTreeMap::new(),
            stale: 0,
        }
    }

    pub fn open(&mut self, stream: StreamId, proxy: ProxyId) {
        let fresh = Stream::new(self.plan.changes_at_most, self.plan.window);
        self.streams.insert(
            stream,
            OpenStream {
                proxy,
                stream: fresh,
                holds: None,
                unanswered_since: None,
            },
        );
    }

    pub fn close(&mut self, stream: StreamId) {
        if let Some(on) = self.streams.remove(&stream) {
            self.verdicts.forget(on.proxy);
        }
    }

    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    pub fn history(&self) -> &SnapshotCache {
        &self.history
    }

    /// The version that the client of a stream holds, and since when.
    pub fn holds(&self, stream: StreamId) -> Option<(Version, Moment)> {
        self.streams.get(&stream)?.holds
    }

    pub fn offer(&mut self, stream: StreamId, content: &Arc<Snapshot>) {
        self.history.add(content.clone());
        if let Some(on) = self.streams.get_mut(&stream) {
            on.stream.offer(content.clone());
        }
    }

    /// Until when ordinary changes of a table wait.
    pub fn held_until(&self, bundle: BundleId) -> Option<Moment> {
        self.verdicts.held_until(bundle)
    }

    /// Streams whose next answer had to wait for the pace that is allowed.
    pub fn limited(&self) -> Vec<StreamId> {
        self.streams
            .iter()
            .filter(|(_, on)| on.stream.limited())
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn ask(&mut self, now: Moment, id: StreamId, ask: &Request) -> Vec<StreamEvent> {
        let mut news = Vec::new();
        let Some(on) = self.streams.get_mut(&id) else {
            return news;
        };
        let (proxy, bundle) = (on.proxy, on.stream.newest().map(|newest| newest.bundle));
        match (on.stream.ask(now, ask), bundle) {
            (RequestOutcome::Noted | RequestOutcome::Acknowledged, _)
            | (RequestOutcome::Refused { .. }, None) => {}
            (RequestOutcome::Stale, _) => self.stale += 1,
            (RequestOutcome::Strange(text), _) => {
                news.push(StreamEvent::UnknownNonce {
                    proxy,
                    text: text.clone(),
                });
                if on.stream.strange > STRANGE {
                    news.push(StreamEvent::CloseRequired {
                        stream: id,
                        reason: text,
                    });
                }
            }
            (RequestOutcome::Refused { version, reason }, Some(bundle)) => {
                let verdict = self.verdicts.refused(now, bundle, version, proxy);
                news.push(StreamEvent::VersionRejected {
                    proxy,
                    version,
                    reason: reason.clone(),
                    verdict,
                });
                if verdict == RejectionResponse::RestartStream(proxy) {
                    let reason = format!("it goes on refusing: {reason}");
                    news.push(StreamEvent::CloseRequired { stream: id, reason });
                }
            }
        }
        if on.stream.names() > MOST_NAMES {
            news.push(StreamEvent::CloseRequired {
                stream: id,
                reason: format!("more than {MOST_NAMES} names asked for"),
            });
        }
        on.unanswered_since = on.unanswered_since.filter(|_| on.stream.waits());
        self.settled(now, id, &mut news);
        news
    }

    /// The next answer of a stream whose client took the last one off our hands.
    pub fn next(
        &mut self,
        now: Moment,
        id: StreamId,
        news: &mut Vec<StreamEvent>,
    ) -> Option<Response> {
        let on = self.streams.get_mut(&id)?;
        let answer = on.stream.next(now, &mut self.history);
        if answer.is_some() {
            on.unanswered_since.get_or_insert(now);
        }
        self.settled(now, id, news);
        answer
    }

    fn settled(&mut self, now: Moment, id: StreamId, news: &mut Vec<StreamEvent>) {
        let Some(on) = self.streams.get_mut(&id) else {
            return;
        };
        let Some(version) = on
            .stream
            .holds()
            .filter(|version| on.holds.map(|held| held.0) != Some(*version))
        else {
            return;
        };
        on.holds = Some((version, now));
        news.push(StreamEvent::VersionAcknowledged {
            proxy: on.proxy,
            version,
        });
        if let Some(bundle) = on.stream.newest().map(|newest| newest.bundle) {
            self.verdicts.took(now, bundle, version, on.proxy);
        }
    }

    /// Streams whose client does not speak to what it was sent.
    pub fn silent(&self, now: Moment) -> Vec<StreamId> {
        let late = |on: &&OpenStream| {
            on.unanswered_since
                .is_some_and(|since| now - since > self.plan.unanswered)
        };
        self.streams
            .iter()
            .filter(|(_, on)| late(on))
            .map(|(id, _)| *id)
            .collect()
    }
}
