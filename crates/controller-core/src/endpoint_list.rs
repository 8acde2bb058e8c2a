//! The list of nodes as this conductor holds it. Lists come from a file that others swap in: late,
//! partial, torn or empty. A list that can't be right is kept out with a named reason and the last good
//! one stands; what it then says is told to the module as events.

use crate::deployment::Deployment;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::{CellId, KindId, NodeId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};

/// One node as a list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    pub node: NodeId,
    pub zone: String,
    pub kind: String,
    pub cell: String,
    pub draining: bool,
    pub weight: f64,
    /// What tells one run of the process from the next, and how long ago it started, where known.
    pub started: Option<(String, Span)>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// `version_info` of the document.
    pub version: String,
    pub records: Vec<EndpointRecord>,
}

/// Why a list was not taken.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SnapshotRejection {
    #[error("the list can't be read: {0}")]
    Unreadable(String),
    #[error("version {version} is not newer than version {held}, which is held")]
    Late { version: String, held: String },
    #[error("the list names no node while {held} are held")]
    Empty { held: usize },
    #[error(
        "{missing} of {ready} ready nodes are missing at once; they are kept while that is doubted"
    )]
    Shrunk { missing: usize, ready: usize },
    #[error("all {count} ready nodes of {what} are missing at once; they are kept while that is doubted")]
    Emptied { what: String, count: usize },
    #[error("{0} is named twice")]
    Twice(String),
    #[error("{node} stands in zone `{zone}`, which the settings don't name")]
    UnknownZone { node: String, zone: String },
    #[error("{node} is of kind `{kind}`, which the settings don't name")]
    UnknownKind { node: String, kind: String },
    #[error("{count} nodes: {most} at most are possible")]
    TooMany { count: usize, most: usize },
}

/// How the guard takes what comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    /// Nothing was ever taken: anything readable is better than nothing.
    Blank,
    Held,
    /// A list lacked too many nodes; the next one decides.
    Doubting,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Came {
    Sound,
    Shrunk,
    ShrunkAlike,
    Empty,
    Late,
    Broken,
    /// The time of doubt is over, and most of the missing nodes answered meanwhile, or did not.
    Answered,
    Silent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Taken {
    Take,
    KeepOut,
    /// What the list adds and drains is taken, what it lacks is kept.
    TakePart,
    /// The doubted list is taken as it was.
    TakeDoubted,
    Drop,
}

// A late or broken list says nothing of whether the doubted one was right. An empty one is never right.
const TRUST: &[(Trust, Came, Trust, Taken)] = &[
    (Trust::Blank, Came::Sound, Trust::Held, Taken::Take),
    (Trust::Blank, Came::Empty, Trust::Blank, Taken::KeepOut),
    (Trust::Held, Came::Sound, Trust::Held, Taken::Take),
    (Trust::Held, Came::Shrunk, Trust::Doubting, Taken::TakePart),
    (Trust::Doubting, Came::Sound, Trust::Held, Taken::Take),
    (
        Trust::Doubting,
        Came::Shrunk,
        Trust::Doubting,
        Taken::TakePart,
    ),
    (Trust::Doubting, Came::ShrunkAlike, Trust::Held, Taken::Take),
    (
        Trust::Doubting,
        Came::Silent,
        Trust::Held,
        Taken::TakeDoubted,
    ),
    (Trust::Doubting, Came::Answered, Trust::Held, Taken::Drop),
];

/// Of the grace that proxies have to stop sending to a node that is gone: so long a list is doubted. What is
/// left of it is for the tables to get there, should the list be right.
const DOUBT: f64 = 0.6;
/// Of the missing nodes: with more of them answering the list is wrong.
const ANSWERING: f64 = 0.5;

#[derive(Clone, Debug)]
struct Doubt {
    list: EndpointSnapshot,
    since: Moment,
    missing: BTreeSet<NodeId>,
    answered: BTreeSet<NodeId>,
}

/// What came of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotOutcome {
    pub event: Option<Event>,
    pub rejection: Option<SnapshotRejection>,
}

const MOST_NODES: usize = 20_000;

#[derive(Clone, Debug)]
struct Held {
    record: EndpointRecord,
    entry: EndpointEntry,
}

#[derive(Clone, Debug)]
pub struct EndpointList {
    trust: Trust,
    version: String,
    held: BTreeMap<NodeId, Held>,
    doubt: Option<Doubt>,
    cells: BTreeMap<String, CellId>,
    gone: BTreeMap<NodeId, Moment>,
    /// What is held was not read but remembered: the same version, read, is news.
    remembered: bool,
}

impl Default for EndpointList {
    fn default() -> Self {
        EndpointList {
            trust: Trust::Blank,
            version: String::new(),
            held: BTreeMap::new(),
            doubt: None,
            cells: BTreeMap::new(),
            gone: BTreeMap::new(),
            remembered: false,
        }
    }
}

pub fn show(node: NodeId) -> String {
    let [a, b, c, d] = node.address;
    format!("{a}.{b}.{c}.{d}:{}", node.port)
}

impl EndpointList {
    /// What was just taken is what an earlier run had read.
    pub fn mark_restored(&mut self) {
        self.remembered = true;
    }

    pub fn version(&self) -> &str {
        &self.version
    }

    pub fn listed(&self) -> impl Iterator<Item = (&EndpointRecord, &EndpointEntry)> {
        self.held.values().map(|held| (&held.record, &held.entry))
    }

    pub fn record(&self, node: NodeId) -> Option<&EndpointRecord> {
        self.held.get(&node).map(|held| &held.record)
    }

    /// Takes a list, a part of it, or says why not. `first` marks the one that stands when a conductor starts.
    pub fn apply_snapshot(
        &mut self,
        now: Moment,
        list: Result<EndpointSnapshot, String>,
        plan: &Deployment,
        first: bool,
    ) -> SnapshotOutcome {
        let (came, rejection) = match &list {
            Err(text) => (
                Came::Broken,
                Some(SnapshotRejection::Unreadable(text.clone())),
            ),
            Ok(list) => self.judge(list, plan),
        };
        let taken = self.turn(came);
        let list = match list {
            Ok(list) => list,
            Err(text) => {
                return SnapshotOutcome {
                    event: None,
                    rejection: Some(SnapshotRejection::Unreadable(text)),
                }
            }
        };
        match taken {
            Taken::Take => {
                self.doubt = None;
                SnapshotOutcome {
                    event: Some(self.adopt(now, list, plan, first)),
                    rejection: None,
                }
            }
            Taken::TakePart => {
                let missing = self.missing(&list);
                let kept = missing
                    .iter()
                    .filter_map(|node| self.record(*node).cloned());
                let records = list.records.iter().cloned().chain(kept).collect();
                let part = EndpointSnapshot {
                    version: list.version.clone(),
                    records,
                };
                let event = self.adopt(now, part, plan, first);
                self.doubt = Some(Doubt {
                    list,
                    since: now,
                    missing,
                    answered: BTreeSet::new(),
                });
                SnapshotOutcome {
                    event: Some(event),
                    rejection,
                }
            }
            Taken::KeepOut | Taken::TakeDoubted | Taken::Drop => {
                let empty = SnapshotRejection::Empty {
                    held: self.held.len(),
                };
                SnapshotOutcome {
                    event: None,
                    rejection: rejection.or(Some(empty)),
                }
            }
        }
    }

    fn turn(&mut self, came: Came) -> Taken {
        let row = TRUST
            .iter()
            .find(|row| (row.0, row.1) == (self.trust, came));
        let (next, taken) = row.map_or((self.trust, Taken::KeepOut), |row| (row.2, row.3));
        self.trust = next;
        taken
    }

    /// A node answered in a time that began at `since`: if the list that lacks it came before, that speaks
    /// against the list.
    pub fn record_answer(&mut self, node: NodeId, since: Moment) {
        let doubt = self
            .doubt
            .as_mut()
            .filter(|doubt| since >= doubt.since && doubt.missing.contains(&node));
        if let Some(doubt) = doubt {
            doubt.answered.insert(node);
        }
    }

    /// When a doubted list is judged.
    pub fn doubted_until(&self, plan: &Deployment) -> Option<Moment> {
        self.doubt
            .as_ref()
            .map(|doubt| doubt.since + plan.rules.drain_grace * DOUBT)
    }

    /// Judges a doubted list when its time is over: nodes that nobody had an answer from are gone.
    pub fn resolve_doubt(&mut self, now: Moment, plan: &Deployment) -> Option<Event> {
        self.doubted_until(plan).filter(|until| now >= *until)?;
        let doubt = self.doubt.take()?;
        let wrong = doubt.answered.len() as f64 > doubt.missing.len() as f64 * ANSWERING;
        match self.turn(if wrong { Came::Answered } else { Came::Silent }) {
            Taken::TakeDoubted => Some(self.adopt(now, doubt.list, plan, false)),
            _ => None,
        }
    }

    fn ready(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.held
            .iter()
            .filter(|(_, held)| !held.record.draining)
            .map(|(node, _)| *node)
    }

    fn missing(&self, list: &EndpointSnapshot) -> BTreeSet<NodeId> {
        let named: BTreeSet<NodeId> = list.records.iter().map(|record| record.node).collect();
        self.ready().filter(|node| !named.contains(node)).collect()
    }

    fn judge(
        &self,
        list: &EndpointSnapshot,
        plan: &Deployment,
    ) -> (Came, Option<SnapshotRejection>) {
        let mut seen = BTreeSet::new();
        let broken = |rejection| (Came::Broken, Some(rejection));
        if list.records.len() > MOST_NODES {
            return broken(SnapshotRejection::TooMany {
                count: list.records.len(),
                most: MOST_NODES,
            });
        }
        for record in &list.records {
            let node = show(record.node);
            if !seen.insert(record.node) {
                return broken(SnapshotRejection::Twice(node));
            }
            if !plan.zones.contains(&record.zone) {
                return broken(SnapshotRejection::UnknownZone {
                    node,
                    zone: record.zone.clone(),
                });
            }
            if !record.kind.is_empty() && !plan.kinds.contains(&record.kind) {
                return broken(SnapshotRejection::UnknownKind {
                    node,
                    kind: record.kind.clone(),
                });
            }
        }
        let same = self.remembered && list.version == self.version;
        if self.trust != Trust::Blank && !same && !newer(&list.version, &self.version) {
            let (version, held) = (list.version.clone(), self.version.clone());
            return (Came::Late, Some(SnapshotRejection::Late { version, held }));
        }
        if list.records.is_empty() {
            return (
                Came::Empty,
                Some(SnapshotRejection::Empty {
                    held: self.held.len(),
                }),
            );
        }
        let (missing, ready) = (self.missing(list), self.ready().count());
        let few =
            missing.len() as f64 <= ready as f64 * plan.list.shrinks_at_most || missing.len() <= 1;
        let rejection = match (few, self.emptied(list, &missing)) {
            (true, None) => return (Came::Sound, None),
            (false, _) => SnapshotRejection::Shrunk {
                missing: missing.len(),
                ready,
            },
            (true, Some((what, count))) => SnapshotRejection::Emptied { what, count },
        };
        let alike = self
            .doubt
            .as_ref()
            .is_some_and(|doubt| missing.is_superset(&doubt.missing));
        (
            if alike {
                Came::ShrunkAlike
            } else {
                Came::Shrunk
            },
            Some(rejection),
        )
    }

    /// A zone or a kind of which a list leaves nothing, though it has no more than usual to say otherwise: what
    /// stays in that zone would have no node. One that had a single node may well lose it.
    fn emptied(
        &self,
        list: &EndpointSnapshot,
        missing: &BTreeSet<NodeId>,
    ) -> Option<(String, usize)> {
        type Group = fn(&EndpointRecord) -> &str;
        let groups: [(&str, Group); 2] = [
            ("zone", |record| record.zone.as_str()),
            ("kind", |record| record.kind.as_str()),
        ];
        groups.into_iter().find_map(|(word, group)| {
            let left: BTreeSet<&str> = list.records.iter().map(group).collect();
            let mut gone: BTreeMap<&str, usize> = BTreeMap::new();
            let records = missing.iter().filter_map(|node| self.record(*node));
            records.for_each(|record| *gone.entry(group(record)).or_default() += 1);
            let emptied = gone
                .into_iter()
                .find(|(name, count)| *count > 1 && !left.contains(name));
            emptied.map(|(name, count)| (format!("{word} `{name}`"), count))
        })
    }

    /// Only what changed is told, but for the first list, which the module takes as a whole.
    fn adopt(
        &mut self,
        now: Moment,
        list: EndpointSnapshot,
        plan: &Deployment,
        first: bool,
    ) -> Event {
        let whole = first || self.held.is_empty();
        let mut entries = Vec::new();
        let mut next = BTreeMap::new();
        for record in list.records {
            let before = self.held.remove(&record.node);
            let entry = self.entry(now, &record, before.as_ref(), plan, whole);
            let same = before.is_some_and(|before| before.entry_equals(&entry));
            if whole || !same {
                entries.push(entry.clone());
            }
            self.gone.remove(&record.node);
            next.insert(record.node, Held { record, entry });
        }
        for (node, held) in std::mem::take(&mut self.held) {
            self.gone.insert(node, now);
            entries.push(EndpointEntry {
                status: EndpointStatus::Gone,
                ..held.entry
            });
        }
        let long = plan.rules.warm_after * 10.0;
        self.gone.retain(|_, since| now - *since < long);
        (self.held, self.version, self.remembered) = (next, list.version, false);
        Event::EndpointList {
            kind: if whole {
                EndpointListKind::Complete
            } else {
                EndpointListKind::Changes
            },
            entries,
        }
    }

    fn entry(
        &mut self,
        now: Moment,
        record: &EndpointRecord,
        before: Option<&Held>,
        plan: &Deployment,
        whole: bool,
    ) -> EndpointEntry {
        // The start of a process is fixed when it is first heard of: a clock that jumps moves none.
        let started = match (&record.started, before) {
            (Some((run, _)), Some(held))
                if held.record.started.as_ref().is_some_and(|(r, _)| r == run) =>
            {
                held.entry.started
            }
            (Some((_, age)), _) => Some(now - *age),
            (None, Some(held)) if !self.returns(record.node) => held.entry.started,
            // Listed after the start of this conductor and silent of its age: it may be cold.
            (None, _) if !whole => Some(now),
            (None, _) => None,
        };
        EndpointEntry {
            node: record.node,
            zone: ZoneId(position(&plan.zones, &record.zone) as u16),
            kind: KindId(position(&plan.kinds, &record.kind) as u8),
            cell: self.cell_id(&record.cell),
            status: if record.draining {
                EndpointStatus::Draining
            } else {
                EndpointStatus::Ready
            },
            weight: record.weight,
            started,
        }
    }

    pub fn cell_id(&mut self, name: &str) -> CellId {
        let next = CellId(self.cells.len() as u16);
        *self.cells.entry(name.to_string()).or_insert(next)
    }

    fn returns(&self, node: NodeId) -> bool {
        self.gone.contains_key(&node)
    }

    /// The whole list as it is held, for a module that asks.
    pub fn complete_event(&self) -> Event {
        let entries = self.held.values().map(|held| held.entry.clone()).collect();
        Event::EndpointList {
            kind: EndpointListKind::Complete,
            entries,
        }
    }
}

impl Held {
    fn entry_equals(&self, other: &EndpointEntry) -> bool {
        let (a, b) = (&self.entry, other);
        (a.zone, a.kind, a.cell, a.status, a.started)
            == (b.zone, b.kind, b.cell, b.status, b.started)
            && a.weight == b.weight
    }
}

fn position(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(0)
}

/// Versions that both are numbers rise; others only have to differ.
fn newer(version: &str, held: &str) -> bool {
    match (version.parse::<u64>(), held.parse::<u64>()) {
        (Ok(version), Ok(held)) => version > held,
        _ => version != held,
    }
}

#[cfg(test)]
mod tests;
