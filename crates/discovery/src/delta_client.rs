//! A client of the incremental form, without its socket: what it asks, what it takes, and when what it holds
//! is all of one version. Kinds come one after the other; nothing is in force before the last of a version
//! has come, so that no invocation meets lines of one version and routes of another.

use crate::resource_store::{DeltaUpdate, ResourceStore, UpdateResult};
use crate::snapshot::ResourceType;
use crate::stream::{Request, RequestBody};
use std::collections::BTreeMap;
use wheelspread_controller_core::publication::Version;

#[derive(Clone, Debug)]
pub struct DeltaClient {
    /// By kind, the names asked for; the last kind is the one that completes a version.
    names: Vec<(ResourceType, Vec<String>)>,
    held: BTreeMap<ResourceType, ResourceStore>,
    version: Option<Version>,
}

/// What came of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientStep {
    /// To be sent back.
    pub reply: Request,
    /// All kinds are of this version now.
    pub complete: Option<Version>,
    /// It does not fit to what is held: the stream is to be begun anew, and the whole asked for.
    pub restart: Option<String>,
}

impl DeltaClient {
    pub fn new(names: Vec<(ResourceType, Vec<String>)>) -> DeltaClient {
        DeltaClient {
            names,
            held: BTreeMap::new(),
            version: None,
        }
    }

    pub fn version(&self) -> Option<Version> {
        self.version
    }

    pub fn held(&self, kind: ResourceType) -> impl Iterator<Item = (&str, &[u8])> {
        let held = self
            .held
            .get(&kind)
            .into_iter()
            .flat_map(ResourceStore::held);
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
    pub fn hello(&self) -> Vec<Request> {
        let ask = |(kind, names): &(ResourceType, Vec<String>)| {
            let holds = self
                .held
                .get(kind)
                .map(ResourceStore::versions)
                .unwrap_or_default();
            let mode = RequestBody::Delta {
                subscribe: names.clone(),
                unsubscribe: Vec::new(),
                holds,
            };
            Request {
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
        kind: ResourceType,
        nonce: &str,
        version: Option<Version>,
        delta: &DeltaUpdate,
        usable: impl FnOnce(&DeltaClient, Version) -> Result<(), String>,
    ) -> ClientStep {
        let mode = RequestBody::Delta {
            subscribe: Vec::new(),
            unsubscribe: Vec::new(),
            holds: BTreeMap::new(),
        };
        let mut reply = Request {
            kind,
            nonce: nonce.to_string(),
            error: None,
            mode,
        };
        let last = self.names.last().map(|(kind, _)| *kind);
        if !self.names.iter().any(|(asked, _)| *asked == kind) {
            reply.error = Some("this kind was not asked for".to_string());
            return ClientStep {
                reply,
                complete: None,
                restart: None,
            };
        }
        let before = self.held.entry(kind).or_default().clone();
        if let UpdateResult::Refused(reason) = self.held.entry(kind).or_default().take(delta) {
            reply.error = Some(reason.clone());
            self.held.insert(kind, ResourceStore::default());
            return ClientStep {
                reply,
                complete: None,
                restart: Some(reason),
            };
        }
        let Some(version) = version.filter(|_| last == Some(kind)) else {
            return ClientStep {
                reply,
                complete: None,
                restart: None,
            };
        };
        match usable(self, version) {
            Ok(()) => {
                self.version = Some(version);
                ClientStep {
                    reply,
                    complete: Some(version),
                    restart: None,
                }
            }
            Err(reason) => {
                self.held.insert(kind, before);
                reply.error = Some(reason);
                ClientStep {
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
    use crate::snapshot::{Resource, Snapshot};
    use crate::{DiscoveryLimits, DiscoveryStreams};
    use std::sync::Arc;
    use wheelspread::ids::ProxyId;
    use wheelspread::time::{Moment, Span};
    use wheelspread_controller_core::membership::StreamId;
    use wheelspread_controller_core::publication::BundleId;

    fn content(version: u64, line: &str) -> Arc<Snapshot> {
        let mut content = Snapshot::new(BundleId(0), Version(version));
        content.put(ResourceType::Entries, "quote/1", line.to_string());
        content.put(ResourceType::Routes, "operations", "routes");
        Arc::new(content)
    }

    fn reader() -> DeltaClient {
        DeltaClient::new(vec![
            (ResourceType::Entries, vec!["quote/*".to_string()]),
            (ResourceType::Routes, vec!["operations".to_string()]),
        ])
    }

    fn front() -> DiscoveryStreams {
        let ten = Span::from_seconds(10.0);
        let mut front = DiscoveryStreams::new(DiscoveryLimits {
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
    fn pass(front: &mut DiscoveryStreams, reader: &mut DeltaClient, usable: bool) -> Vec<Version> {
        let now = Moment::from_seconds(1.0);
        let mut complete = Vec::new();
        while let Some(answer) = front.next(now, StreamId(1), &mut Vec::new()) {
            let changed = answer.changed.iter();
            let delta = DeltaUpdate {
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
        let wrong = DeltaUpdate {
            changed: vec![("quote/1".into(), Resource::new("a").checksum, "b".into())],
            ..DeltaUpdate::default()
        };
        let step = reader.told(
            ResourceType::Entries,
            "1",
            Some(Version(1)),
            &wrong,
            |_, _| Ok(()),
        );
        assert!(step.restart.is_some() && step.reply.error.is_some());
        assert!(reader
            .hello()
            .iter()
            .all(|ask| matches!(&ask.mode, RequestBody::Delta { holds, .. } if holds.is_empty())));
        let step = reader.told(
            ResourceType::Clusters,
            "2",
            None,
            &DeltaUpdate::default(),
            |_, _| Ok(()),
        );
        assert!(step
            .reply
            .error
            .is_some_and(|error| error.contains("not asked for")));
    }
}
