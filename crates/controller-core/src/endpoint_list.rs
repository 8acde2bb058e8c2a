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
pub enum Refusal {
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
pub struct Outcome {
    pub event: Option<Event>,
    pub refusal: Option<Refusal>,
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
    pub fn remember(&mut self) {
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
    pub fn take(
        &mut self,
        now: Moment,
        list: Result<EndpointSnapshot, String>,
        plan: &Deployment,
        first: bool,
    ) -> Outcome {
        let (came, refusal) = match &list {
            Err(text) => (Came::Broken, Some(Refusal::Unreadable(text.clone()))),
            Ok(list) => self.judge(list, plan),
        };
        let taken = self.turn(came);
        let list = match list {
            Ok(list) => list,
            Err(text) => {
                return Outcome {
                    event: None,
                    refusal: Some(Refusal::Unreadable(text)),
                }
            }
        };
        match taken {
            Taken::Take => {
                self.doubt = None;
                Outcome {
                    event: Some(self.adopt(now, list, plan, first)),
                    refusal: None,
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
                Outcome {
                    event: Some(event),
                    refusal,
                }
            }
            Taken::KeepOut | Taken::TakeDoubted | Taken::Drop => {
                let empty = Refusal::Empty {
                    held: self.held.len(),
                };
                Outcome {
                    event: None,
                    refusal: refusal.or(Some(empty)),
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
    pub fn answered(&mut self, node: NodeId, since: Moment) {
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
    pub fn resolve(&mut self, now: Moment, plan: &Deployment) -> Option<Event> {
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

    fn judge(&self, list: &EndpointSnapshot, plan: &Deployment) -> (Came, Option<Refusal>) {
        let mut seen = BTreeSet::new();
        let broken = |refusal| (Came::Broken, Some(refusal));
        if list.records.len() > MOST_NODES {
            return broken(Refusal::TooMany {
                count: list.records.len(),
                most: MOST_NODES,
            });
        }
        for record in &list.records {
            let node = show(record.node);
            if !seen.insert(record.node) {
                return broken(Refusal::Twice(node));
            }
            if !plan.zones.contains(&record.zone) {
                return broken(Refusal::UnknownZone {
                    node,
                    zone: record.zone.clone(),
                });
            }
            if !record.kind.is_empty() && !plan.kinds.contains(&record.kind) {
                return broken(Refusal::UnknownKind {
                    node,
                    kind: record.kind.clone(),
                });
            }
        }
        let same = self.remembered && list.version == self.version;
        if self.trust != Trust::Blank && !same && !newer(&list.version, &self.version) {
            let (version, held) = (list.version.clone(), self.version.clone());
            return (Came::Late, Some(Refusal::Late { version, held }));
        }
        if list.records.is_empty() {
            return (
                Came::Empty,
                Some(Refusal::Empty {
                    held: self.held.len(),
                }),
            );
        }
        let (missing, ready) = (self.missing(list), self.ready().count());
        let few =
            missing.len() as f64 <= ready as f64 * plan.list.shrinks_at_most || missing.len() <= 1;
        let refusal = match (few, self.emptied(list, &missing)) {
            (true, None) => return (Came::Sound, None),
            (false, _) => Refusal::Shrunk {
                missing: missing.len(),
                ready,
            },
            (true, Some((what, count))) => Refusal::Emptied { what, count },
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
            Some(refusal),
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
            cell: self.cell(&record.cell),
            status: if record.draining {
                EndpointStatus::Draining
            } else {
                EndpointStatus::Ready
            },
            weight: record.weight,
            started,
        }
    }

    pub fn cell(&mut self, name: &str) -> CellId {
        let next = CellId(self.cells.len() as u16);
        *self.cells.entry(name.to_string()).or_insert(next)
    }

    fn returns(&self, node: NodeId) -> bool {
        self.gone.contains_key(&node)
    }

    /// The whole list as it is held, for a module that asks.
    pub fn complete(&self) -> Event {
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
mod tests {
    use super::*;
    use crate::deployment::tests::plan;
    use test_case::test_case;

    fn record(port: u16) -> EndpointRecord {
        EndpointRecord {
            node: NodeId {
                address: [127, 0, 0, 1],
                port,
            },
            zone: "north".to_string(),
            kind: String::new(),
            cell: String::new(),
            draining: false,
            weight: 1.0,
            started: None,
        }
    }

    fn list(version: &str, ports: std::ops::Range<u16>) -> Result<EndpointSnapshot, String> {
        Ok(EndpointSnapshot {
            version: version.to_string(),
            records: ports.map(record).collect(),
        })
    }

    fn at(seconds: f64) -> Moment {
        Moment::from_seconds(seconds)
    }

    fn held(version: &str, ports: std::ops::Range<u16>) -> EndpointList {
        let mut nodes = EndpointList::default();
        assert_eq!(
            nodes
                .take(at(1.0), list(version, ports), &plan(), true)
                .refusal,
            None
        );
        nodes
    }

    #[test_case(Err("not JSON".to_string()), "can't be read"; "torn")]
    #[test_case(list("4", 0..10), "not newer than version 5"; "an older version, naming a node already gone")]
    #[test_case(list("5", 0..4), "not newer"; "the same version with other content")]
    #[test_case(list("6", 0..0), "names no node while 8"; "empty")]
    #[test_case(list("6", 0..3), "5 of 8 ready nodes are missing"; "more than half missing")]
    #[test_case(Ok(EndpointSnapshot { version: "6".into(), records: vec![record(1), record(1)] }), "twice"; "a node twice")]
    #[test_case(Ok(EndpointSnapshot { version: "6".into(), records: vec![EndpointRecord { zone: "moon".into(), ..record(1) }] }),
        "zone `moon`"; "an unknown zone")]
    fn a_list_that_cannot_be_right_is_kept_out(
        came: Result<EndpointSnapshot, String>,
        reason: &str,
    ) {
        let mut nodes = held("5", 0..8);
        let refusal = nodes
            .take(at(2.0), came, &plan(), false)
            .refusal
            .expect("it is refused");
        assert!(refusal.to_string().contains(reason), "{refusal}");
        assert_eq!(nodes.listed().count(), 8, "the last good list stands");
    }

    fn gone(event: Option<Event>) -> usize {
        let Some(Event::EndpointList { entries, .. }) = event else {
            return 0;
        };
        entries
            .iter()
            .filter(|entry| entry.status == EndpointStatus::Gone)
            .count()
    }

    #[test]
    fn a_second_list_that_lacks_the_same_nodes_is_believed() {
        let mut nodes = held("5", 0..8);
        assert!(nodes
            .take(at(2.0), list("6", 0..3), &plan(), false)
            .refusal
            .is_some());
        // A broken one in between neither confirms nor clears the doubt.
        assert!(nodes
            .take(at(2.1), Err("half".into()), &plan(), false)
            .refusal
            .is_some());
        assert_eq!(
            gone(nodes.take(at(3.0), list("7", 0..3), &plan(), false).event),
            5
        );
        // A whole list in between clears it.
        let mut nodes = held("5", 0..8);
        assert!(nodes
            .take(at(2.0), list("6", 0..3), &plan(), false)
            .refusal
            .is_some());
        assert!(nodes
            .take(at(2.5), list("7", 0..8), &plan(), false)
            .refusal
            .is_none());
        assert!(nodes
            .take(at(2.6), list("8", 0..3), &plan(), false)
            .refusal
            .is_some());
        assert_eq!(
            nodes.resolve(at(3.5), &plan()),
            None,
            "the doubt is that of the newer one"
        );
    }

    #[test]
    fn what_a_doubted_list_adds_is_taken_at_once() {
        let mut nodes = held("5", 0..8);
        let outcome = nodes.take(at(2.0), list("6", 6..12), &plan(), false);
        assert!(outcome.refusal.is_some() && gone(outcome.event) == 0);
        assert_eq!(nodes.listed().count(), 12);
    }

    #[test]
    fn nodes_that_nobody_hears_of_any_more_are_gone_within_the_grace() {
        let mut nodes = held("5", 0..8);
        nodes.take(at(2.0), list("6", 0..3), &plan(), false);
        // What was answered before the list came says nothing.
        (3..8).for_each(|port| nodes.answered(record(port).node, at(1.5)));
        let until = nodes.doubted_until(&plan()).expect("it is doubted");
        assert!(until > at(2.5) && until < at(2.0) + plan().rules.drain_grace);
        assert_eq!(nodes.resolve(at(2.5), &plan()), None);
        assert_eq!(gone(nodes.resolve(until, &plan())), 5);
        assert_eq!(nodes.listed().count(), 3);
    }

    #[test]
    fn nodes_that_go_on_answering_are_kept_though_a_list_lacks_them() {
        let mut nodes = held("5", 0..8);
        nodes.take(at(2.0), list("6", 0..3), &plan(), false);
        (4..8).for_each(|port| nodes.answered(record(port).node, at(2.1)));
        assert_eq!(nodes.resolve(at(3.5), &plan()), None);
        assert_eq!(nodes.listed().count(), 8);
        // One more list that says so is doubted anew.
        assert!(nodes
            .take(at(4.0), list("7", 0..3), &plan(), false)
            .refusal
            .is_some());
    }

    /// Twelve nodes, two of them in the south, three of kind `large`; `without` says which a list lacks.
    fn mixed(
        version: &str,
        without: impl Fn(&EndpointRecord) -> bool,
    ) -> Result<EndpointSnapshot, String> {
        let record = |port: u16| EndpointRecord {
            zone: if port < 2 { "south" } else { "north" }.into(),
            kind: if (4..7).contains(&port) {
                "large"
            } else {
                "small"
            }
            .into(),
            ..record(port)
        };
        let records = (0..12)
            .map(record)
            .filter(|record| !without(record))
            .collect();
        Ok(EndpointSnapshot {
            version: version.into(),
            records,
        })
    }

    #[test_case(|record| record.zone == "south", "all 2 ready nodes of zone `south`"; "a zone")]
    #[test_case(|record| record.kind == "large", "all 3 ready nodes of kind `large`"; "a kind")]
    fn a_list_that_empties_a_pool_is_doubted_though_it_lacks_few(
        without: fn(&EndpointRecord) -> bool,
        said: &str,
    ) {
        let plan = Deployment {
            kinds: vec!["large".into(), "small".into()],
            ..plan()
        };
        let mut nodes = EndpointList::default();
        assert_eq!(
            nodes
                .take(at(1.0), mixed("1", |_| false), &plan, true)
                .refusal,
            None
        );
        let outcome = nodes.take(at(2.0), mixed("2", without), &plan, false);
        assert!(outcome
            .refusal
            .is_some_and(|refusal| refusal.to_string().starts_with(said)));
        assert_eq!(nodes.listed().count(), 12, "they are kept meanwhile");
        // Nobody had an answer from them: it was right.
        let until = nodes.doubted_until(&plan).expect("doubted");
        assert!(until < at(2.0) + plan.rules.drain_grace);
        assert!(nodes.resolve(until, &plan).is_some());
        assert!(nodes.listed().count() < 12);
        // One node of several may go without a word.
        let mut nodes = EndpointList::default();
        nodes.take(at(1.0), mixed("1", |_| false), &plan, true);
        let one = nodes.take(
            at(2.0),
            mixed("2", |record| record.node.port == 0),
            &plan,
            false,
        );
        assert_eq!(one.refusal, None);
    }

    #[test]
    fn a_clock_that_jumps_restarts_no_node() {
        let run = |age: f64| EndpointRecord {
            started: Some(("r1".into(), Span::from_seconds(age))),
            ..record(1)
        };
        let told = |version: &str, age| {
            Ok(EndpointSnapshot {
                version: version.into(),
                records: vec![run(age)],
            })
        };
        let mut nodes = EndpointList::default();
        nodes.take(at(100.0), told("1", 60.0), &plan(), true);
        let Some(Event::EndpointList { entries, .. }) =
            nodes.take(at(101.0), told("2", 0.0), &plan(), false).event
        else {
            panic!("sound")
        };
        assert!(
            entries.is_empty(),
            "the same run tells nothing new: {entries:?}"
        );
    }

    #[test]
    fn a_node_that_returns_without_an_age_may_be_cold() {
        let mut nodes = held("1", 0..8);
        nodes.take(at(2.0), list("2", 0..7), &plan(), false);
        let Some(Event::EndpointList { entries, .. }) =
            nodes.take(at(9.0), list("3", 0..8), &plan(), false).event
        else {
            panic!("sound")
        };
        assert_eq!(
            entries
                .iter()
                .map(|entry| entry.started)
                .collect::<Vec<_>>(),
            [Some(at(9.0))]
        );
    }
}
