//! The front of streams, between the core that decides what goes to whom and the sockets: resources of a
//! version are made once, bodies of answers that many get are encoded once.

use crate::file::ControllerFile;
use crate::streams::Streams;
use std::collections::BTreeMap;
use std::sync::Arc;
use tracing::warn;
use wheelspread::ids::ProxyId;
use wheelspread::time::{Moment, Span};
use wheelspread_controller_core::membership::StreamId;
use wheelspread_controller_core::publication::{TableSet, Version};
use wheelspread_controller_core::{ControllerCore, Deployment, Observation};
use wheelspread_discovery::history::Shared;
use wheelspread_discovery::{Answer, Content, Front, News, Plan, Verdict};
use wheelspread_grpc::Status;
use wheelspread_xds::discovery;

/// Of the longest delay of a message: how long ordinary changes wait that most refuse.
const HOLD: f64 = 4.0;
/// Between two looks at who is silent or had to wait, in seconds.
const LOOK: f64 = 0.25;
/// Bodies kept, of answers that others may get too.
const BODIES: usize = 64;
/// The order by which the front itself steps a table back.
const OWN: u64 = 0;

pub struct Desk {
    front: Front,
    plan: Deployment,
    /// By what they share, and the form.
    bodies: BTreeMap<(Shared, bool), Arc<Vec<u8>>>,
    next_look: Moment,
}

impl Desk {
    /// `deployment`: as it is in force, which may not be the file's.
    pub fn new(file: &ControllerFile, deployment: Deployment) -> Desk {
        let streams = &file.streams;
        let plan = Plan {
            versions: streams.versions_kept,
            changes_at_most: streams.changes_at_most,
            window: file.deployment.channel.messages_window,
            unanswered: streams.unanswered_at_most,
            hold: file.deployment.channel.delay_at_most * HOLD,
        };
        Desk {
            front: Front::new(plan),
            plan: deployment,
            bodies: BTreeMap::new(),
            next_look: Moment::default(),
        }
    }

    /// Versions that are made from now on say what this has.
    pub fn configure(&mut self, deployment: Deployment) {
        self.plan = deployment;
    }

    /// What happened on streams goes to the session; streams of tables are opened and closed here too.
    pub fn observe(&mut self, now: Moment, session: &mut ControllerCore, observation: Observation) {
        let opened = match &observation {
            Observation::Subscribed { stream, who, .. } => Some((*stream, who.name.clone())),
            Observation::Unsubscribed { stream } => {
                self.front.close(*stream);
                None
            }
            _ => None,
        };
        session.observe(now, observation);
        if let Some((stream, name)) = opened {
            let reads = |id: &ProxyId| {
                session.reads(*id).front
                    == wheelspread_controller_core::transport::Transport::Stream(stream)
            };
            if let Some(id) = session
                .members()
                .member(&name)
                .map(|member| member.id)
                .filter(reads)
            {
                self.front.open(stream, id);
            }
        }
    }

    /// The requests that came.
    pub fn asked(&mut self, now: Moment, session: &mut ControllerCore, streams: &mut Streams) {
        for (stream, ask) in streams.asks() {
            let news = self.front.ask(now, stream, &ask);
            self.told(now, session, streams, news);
            streams.offer(stream);
        }
    }

    pub fn offer(&mut self, streams: &mut Streams, stream: StreamId, set: &TableSet) {
        let known = self
            .front
            .history()
            .newest(set.bundle)
            .filter(|known| known.version == set.version);
        let content: Arc<Content> = match known {
            Some(known) => known.clone(),
            None => Arc::new(discovery::resources(set, &self.plan)),
        };
        self.front.offer(stream, &content);
        streams.offer(stream);
    }

    /// Sends to whoever can take something.
    pub fn send(&mut self, now: Moment, session: &mut ControllerCore, streams: &mut Streams) {
        for stream in streams.open() {
            let mut news = Vec::new();
            while let Some(answer) = self.front.next(now, stream, &mut news) {
                let body = self.body(&answer);
                let message = discovery::with_nonce(&body, &answer);
                streams.send(stream, &message);
            }
            self.told(now, session, streams, news);
        }
    }

    fn body(&mut self, answer: &Answer) -> Arc<Vec<u8>> {
        let Some(shared) = answer.shared else {
            return Arc::new(discovery::body(answer));
        };
        let key = (shared, answer.delta);
        if let Some(body) = self.bodies.get(&key) {
            return body.clone();
        }
        if self.bodies.len() >= BODIES {
            self.bodies.pop_first();
        }
        let body = Arc::new(discovery::body(answer));
        self.bodies.insert(key, body.clone());
        body
    }

    fn told(
        &mut self,
        now: Moment,
        session: &mut ControllerCore,
        streams: &mut Streams,
        news: Vec<News>,
    ) {
        for news in news {
            match news {
                News::Holds { proxy, version } => status(now, session, proxy, version, None),
                News::Refused {
                    proxy,
                    version,
                    reason,
                    verdict,
                } => {
                    status(now, session, proxy, version, Some(reason));
                    let bundle = session.reads(proxy).newest.map(|set| set.bundle);
                    match (verdict, bundle) {
                        (Verdict::Hold, Some(bundle)) => {
                            let until = self.front.held_until(bundle).unwrap_or(now);
                            session.observe(now, Observation::HeldBack { bundle, until });
                        }
                        (Verdict::Back(version), Some(bundle)) => {
                            session.observe(
                                now,
                                Observation::Back {
                                    order: OWN,
                                    bundle,
                                    version,
                                },
                            );
                        }
                        _ => {}
                    }
                }
                News::Strange { proxy, text } => {
                    let proxy = session.members().name(proxy).unwrap_or_default();
                    warn!(proxy, text, "not believed");
                }
                News::End { stream, reason } => {
                    streams.close(stream, Status::InvalidArgument, &reason)
                }
            }
        }
    }

    /// Ends the streams of clients that do not answer, and looks again at those that had to wait.
    pub fn look(&mut self, now: Moment, streams: &mut Streams) {
        if now < self.next_look {
            return;
        }
        self.next_look = now + Span::from_seconds(LOOK);
        for stream in self.front.silent(now) {
            streams.close(
                stream,
                Status::DeadlineExceeded,
                "what was sent is not answered",
            );
            self.front.close(stream);
        }
        for stream in self.front.limited() {
            streams.offer(stream);
        }
    }

    pub fn wake_at(&self) -> Option<Moment> {
        (!self.front.is_empty()).then_some(self.next_look)
    }
}

fn status(
    now: Moment,
    session: &mut ControllerCore,
    proxy: ProxyId,
    version: Version,
    refused: Option<String>,
) {
    if let Some(proxy) = session.members().name(proxy).map(str::to_string) {
        session.observe(
            now,
            Observation::Status {
                proxy,
                version,
                refused,
            },
        );
    }
}
