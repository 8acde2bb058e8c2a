//! Answers to the module's marks. A file has no acknowledgement: a proxy that publishes its status says
//! which version it holds; one that never does is taken to hold what it was pointed at after the wait
//! that the design gives an answer. What a status refuses is no answer.

use crate::publication::Version;
use std::collections::{BTreeMap, VecDeque};
use wheelspread::ids::{MarkerId, ProxyId};
use wheelspread::time::{Moment, Span};
use wheelspread::Event;

/// The design's wait for answers, in seconds.
const ASSUMED: f64 = 1.0;
/// Markers that wait for one proxy; the balancer lets go of older ones by itself.
const MOST: usize = 64;

#[derive(Clone, Debug)]
struct Asked {
    mark: MarkerId,
    version: Version,
    at: Moment,
}

#[derive(Clone, Debug, Default)]
struct Answers {
    asked: VecDeque<Asked>,
    pointed: Option<(Version, Moment)>,
    /// The newest version that its status said it holds; `None` while it published none.
    told: Option<Version>,
    since: Option<Moment>,
    refused: Option<Version>,
    /// It reads a stream, whose silence and refusals the design's wait ends.
    streams: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Acknowledgements {
    proxies: BTreeMap<ProxyId, Answers>,
}

impl Acknowledgements {
    /// The module wants to know when the proxy holds `version`.
    pub fn ask(&mut self, now: Moment, proxy: ProxyId, mark: MarkerId, version: Version) {
        let answers = self.proxies.entry(proxy).or_default();
        if answers.asked.len() >= MOST {
            answers.asked.pop_front();
        }
        answers.asked.push_back(Asked {
            mark,
            version,
            at: now,
        });
    }

    pub fn pointed(&mut self, now: Moment, proxy: ProxyId, version: Version) {
        self.proxies.entry(proxy).or_default().pointed = Some((version, now));
    }

    pub fn told(&mut self, now: Moment, proxy: ProxyId, version: Version) {
        let answers = self.proxies.entry(proxy).or_default();
        if answers.told < Some(version) {
            (answers.told, answers.since) = (Some(version), Some(now));
        }
    }

    /// It reads a stream from now on.
    pub fn streams(&mut self, proxy: ProxyId) {
        let answers = self.proxies.entry(proxy).or_default();
        (answers.streams, answers.told) = (true, answers.told.max(Some(Version(0))));
    }

    /// The version that a proxy holds by its own word, or that it was pointed at, and since when.
    pub fn holds(&self, proxy: ProxyId) -> Option<(Version, Moment)> {
        let answers = self.proxies.get(&proxy)?;
        match (answers.told, answers.since) {
            (Some(version), Some(since)) => Some((version, since)),
            _ => answers.pointed.filter(|_| !answers.streams),
        }
    }

    pub fn refused(&mut self, proxy: ProxyId, version: Version) {
        self.proxies.entry(proxy).or_default().refused = Some(version);
    }

    pub fn refused_version(&self, proxy: ProxyId) -> Option<Version> {
        self.proxies.get(&proxy)?.refused
    }

    /// Its stream broke: what it was asked stays unanswered, and a status must be told anew.
    pub fn forget(&mut self, proxy: ProxyId) {
        self.proxies.remove(&proxy);
    }

    /// Markers acknowledged by now, in the order asked.
    pub fn answered(&mut self, now: Moment) -> Vec<Event> {
        let mut events = Vec::new();
        for (proxy, answers) in &mut self.proxies {
            // One who is silent, or refuses for good, holds up nobody else: after the wait it is gone on without.
            let assumed = |(version, at): (Version, Moment)| {
                let speaks = answers.told.is_some() || answers.refused >= Some(version);
                let passed = now - at >= Span::from_seconds(ASSUMED);
                (passed && (answers.streams || !speaks)).then_some(version)
            };
            let holds = answers.told.max(answers.pointed.and_then(assumed));
            while let Some(asked) = answers
                .asked
                .front()
                .filter(|asked| Some(asked.version) <= holds)
            {
                events.push(Event::MarkerAcknowledged {
                    proxy: *proxy,
                    marker: asked.mark,
                    latency: now - asked.at,
                });
                answers.asked.pop_front();
            }
        }
        events
    }

    /// When an answer may next be assumed.
    pub fn wake_at(&self) -> Option<Moment> {
        let due = |answers: &Answers| {
            let waits = (answers.told.is_none() || answers.streams) && !answers.asked.is_empty();
            answers
                .pointed
                .filter(|_| waits)
                .map(|(_, at)| at + Span::from_seconds(ASSUMED))
        };
        self.proxies.values().filter_map(due).min()
    }
}

#[cfg(test)]
mod tests;
