//! A client of the incremental form, without its socket: what it asks, what it takes, and when what it holds
//! is all of one version. Kinds come one after the other; nothing is in force before the last of a version
//! has come, so that no invocation meets lines of one version and routes of another.

use crate::resource_store::{Delta, Receiver, Taken};
use crate::snapshot::Kind;
use crate::stream::{Ask, Mode};
use std::collections::BTreeMap;
use wheelspread_controller_core::publication::Version;

#[derive(Clone, Debug)]
pub struct Reader {
    /// By kind, the names asked for; the last kind is the one that completes a version.
    names: Vec<(Kind, Vec<String>)>,
    held: BTreeMap<Kind, Receiver>,
    version: Option<Version>,
}

/// What came of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// To be sent back.
    pub reply: Ask,
    /// All kinds are of this version now.
    pub complete: Option<Version>,
    /// It does not fit to what is held: the stream is to be begun anew, and the whole asked for.
    pub restart: Option<String>,
}

impl Reader {
    pub fn new(names: Vec<(Kind, Vec<String>)>) -> Reader {
        Reader {
            names,
            held: BTreeMap::new(),
            version: None,
        }
    }

    pub fn version(&self) -> Option<Version> {
        self.version
    }

    pub fn held(&self, kind: Kind) -> impl Iterator<Item = (&str, &[u8])> {
        let held = self.held.get(&kind).into_iter().flat_map(Receiver::held);
        held.map(|(name, resource)| (name.as_str(), &resource.bytes[..]))
    }

    /// A name of all that is held: the same wherever the same is.
    pub fn name(&self) -> String {
        self.held
            .values()
            .map(|held| held.checksum().to_string())
            .collect::<Vec<_>>()
            .join("-")
    }

    /// What a stream begins with: names, and what is held of them already.
    pub fn hello(&self) -> Vec<Ask> {
        let ask = |(kind, names): &(Kind, Vec<String>)| {
            let holds = self
                .held
                .get(kind)
                .map(Receiver::versions)
                .unwrap_or_default();
            let mode = Mode::Delta {
                subscribe: names.clone(),
                unsubscribe: Vec::new(),
                holds,
            };
            Ask {
                kind: *kind,
                nonce: String::new(),
                error: None,
                mode,
            }
        };
        self.names.iter().map(ask).collect()
    }

    /// An answer came. `usable`: whether what would be held makes sense, asked when a version is complete.
    pub fn told(
        &mut self,
        kind: Kind,
        nonce: &str,
        version: Option<Version>,
        delta: &Delta,
        usable: impl FnOnce(&Reader, Version) -> Result<(), String>,
    ) -> Step {
        let mode = Mode::Delta {
            subscribe: Vec::new(),
            unsubscribe: Vec::new(),
            holds: BTreeMap::new(),
        };
        let mut reply = Ask {
            kind,
            nonce: nonce.to_string(),
            error: None,
            mode,
        };
        let last = self.names.last().map(|(kind, _)| *kind);
        if !self.names.iter().any(|(asked, _)| *asked == kind) {
            reply.error = Some("this kind was not asked for".to_string());
            return Step {
                reply,
                complete: None,
                restart: None,
            };
        }
        let before = self.held.entry(kind).or_default().clone();
        if let Taken::Refused(reason) = self.held.entry(kind).or_default().take(delta) {
            reply.error = Some(reason.clone());
            self.held.insert(kind, Receiver::default());
            return Step {
                reply,
                complete: None,
                restart: Some(reason),
            };
        }
        let Some(version) = version.filter(|_| last == Some(kind)) else {
            return Step {
                reply,
                complete: None,
                restart: None,
            };
        };
        match usable(self, version) {
            Ok(()) => {
                self.version = Some(version);
                Step {
                    reply,
                    complete: Some(version),
                    restart: None,
                }
            }
            Err(reason) => {
                self.held.insert(kind, before);
                reply.error = Some(reason);
                Step {
                    reply,
                    complete: None,
                    restart: None,
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::snapshot::{Content, Resource};
    use crate::{Front, Plan};
    use std::sync::Arc;
    use wheelspread::ids::ProxyId;
    use wheelspread::time::{Moment, Span};
    use wheelspread_controller_core::membership::StreamId;
    use wheelspread_controller_core::publication::BundleId;

    fn content(version: u64, line: &str) -> Arc<Content> {
        let mut content = Content::new(BundleId(0), Version(version));
        content.put(Kind::Lines, "quote/1", line.to_string());
        content.put(Kind::Routes, "operations", "routes");
        Arc::new(content)
    }

    fn reader() -> Reader {
        Reader::new(vec![
            (Kind::Lines, vec!["quote/*".to_string()]),
            (Kind::Routes, vec!["operations".to_string()]),
        ])
    }

    fn front() -> Front {
        let ten = Span::from_seconds(10.0);
        let mut front = Front::new(Plan {
            versions: 4,
            changes_at_most: 20,
            window: ten,
            unanswered: ten,
            hold: Span::from_seconds(1.0),
        });
        front.open(StreamId(1), ProxyId(1));
        front
    }

    /// Passes answers on until none comes; returns the versions that came into force.
    fn pass(front: &mut Front, reader: &mut Reader, usable: bool) -> Vec<Version> {
        let now = Moment::from_seconds(1.0);
        let mut complete = Vec::new();
        while let Some(answer) = front.next(now, StreamId(1), &mut Vec::new()) {
            let changed = answer.changed.iter();
            let delta = Delta {
                changed: changed
                    .map(|(name, r)| (name.to_string(), r.checksum, r.bytes.clone()))
                    .collect(),
                removed: answer.removed.iter().map(|name| name.to_string()).collect(),
                comes_to: answer.comes_to,
            };
            let result = if usable {
                Ok(())
            } else {
                Err("no table".to_string())
            };
            let nonce = answer.nonce.to_string();
            let step = reader.told(answer.kind, &nonce, Some(answer.version), &delta, |_, _| {
                result
            });
            complete.extend(step.complete);
            front.ask(now, StreamId(1), &step.reply);
        }
        complete
    }

    #[test]
    fn a_version_is_in_force_when_its_last_kind_has_come_though_only_lines_changed() {
        let (mut front, mut reader) = (front(), reader());
        for ask in reader.hello() {
            front.ask(Moment::from_seconds(0.0), StreamId(1), &ask);
        }
        for version in 1..4 {
            front.offer(StreamId(1), &content(version, &version.to_string()));
            assert_eq!(pass(&mut front, &mut reader, true), [Version(version)]);
            assert_eq!(
                front.holds(StreamId(1)).map(|held| held.0),
                Some(Version(version))
            );
        }
        front.offer(StreamId(1), &content(4, "4"));
        assert_eq!(
            pass(&mut front, &mut reader, false),
            [],
            "what makes no sense is refused"
        );
        assert_eq!(
            (
                reader.version(),
                front.holds(StreamId(1)).map(|held| held.0)
            ),
            (Some(Version(3)), Some(Version(3)))
        );
    }

    #[test]
    fn what_does_not_fit_begins_the_stream_anew_from_nothing() {
        let mut reader = reader();
        let wrong = Delta {
            changed: vec![("quote/1".into(), Resource::new("a").checksum, "b".into())],
            ..Delta::default()
        };
        let step = reader.told(Kind::Lines, "1", Some(Version(1)), &wrong, |_, _| Ok(()));
        assert!(step.restart.is_some() && step.reply.error.is_some());
        assert!(reader
            .hello()
            .iter()
            .all(|ask| matches!(&ask.mode, Mode::Delta { holds, .. } if holds.is_empty())));
        let step = reader.told(Kind::Clusters, "2", None, &Delta::default(), |_, _| Ok(()));
        assert!(step
            .reply
            .error
            .is_some_and(|error| error.contains("not asked for")));
    }
}
