//! Nodes by the names that the platform gives them, and what discovery says of them. A node's id is made
//! of its name, so it is the same at every conductor and after every start, as the module is used to.

use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wheelspread::ids::{CellId, KindId, NodeId, ZoneId};
use wheelspread::time::{Moment, Span};
use wheelspread::{EndpointEntry, EndpointListKind, EndpointStatus, Event};
use wheelspread_settings::Names;
use xxhash_rust::xxh3::xxh3_64;

/// One node as discovery entries it.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddrV4,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub status: EndpointStatus,
    pub weight: f64,
    pub started: Option<Moment>,
}

/// What discovery said at once.
#[derive(Clone, Debug, PartialEq)]
pub struct List {
    pub version: u64,
    pub full: bool,
    pub entries: Vec<Entry>,
    /// Entries that can't be right, and why; the names of those that have one.
    pub refused: Vec<String>,
    pub spoilt: Vec<String>,
}

/// One asking for the list. What was asked for later knows better, also where discovery counts anew.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceId(pub u64);

/// The list that the configuration brings, from before the start: whatever discovery says is newer.
pub const CONFIGURATION: SourceId = SourceId(0);

/// How far a watch has come. Discovery that counts anew answers a watch from a version it never had with
/// nothing until its own count gets there: lower versions on a watch say so, and the full list is owed.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchPlace {
    version: Option<u64>,
    spoke: bool,
}

impl WatchPlace {
    pub fn from(version: Option<u64>) -> WatchPlace {
        WatchPlace {
            version,
            spoke: false,
        }
    }

    /// The full list has come another way, before the watch said anything.
    pub fn told(&mut self, list: &List) {
        if !self.spoke {
            self.version = Some(list.version);
        }
    }

    /// Whether this goes on from there; the first answer may be a full list of any version.
    pub fn follows(&mut self, list: &List) -> bool {
        let fits = self.version.is_none_or(|version| list.version >= version)
            || (list.full && !self.spoke);
        (self.version, self.spoke) = (Some(list.version), true);
        fits
    }
}

impl List {
    pub fn read(value: &Value, names: &Names) -> Result<List, String> {
        let version = value["index"]
            .as_u64()
            .ok_or("a list without its `index`")?;
        let full = value["snapshot"]
            .as_bool()
            .ok_or("a list without its `snapshot`")?;
        let told = value["endpoints"]
            .as_array()
            .ok_or("a list without its `endpoints`")?;
        let (mut entries, mut refused, mut spoilt) = (Vec::new(), Vec::new(), Vec::new());
        for one in told {
            match read_entry(one, names) {
                Ok(entry) => entries.push(entry),
                Err(text) => {
                    refused.push(text);
                    spoilt.extend(one["name"].as_str().map(str::to_string));
                }
            }
        }
        Ok(List {
            version,
            full,
            entries,
            refused,
            spoilt,
        })
    }
}

fn read_entry(entry: &Value, names: &Names) -> Result<Entry, String> {
    let name = entry["name"]
        .as_str()
        .filter(|name| !name.is_empty())
        .ok_or("a node without a name")?;
    let text = |field: &str| {
        entry[field]
            .as_str()
            .ok_or_else(|| format!("{name} has no `{field}`"))
    };
    let place = |field: &str, known: &[String]| {
        let text = text(field)?;
        let place = known.iter().position(|known| known == text);
        place.ok_or_else(|| format!("{name} has a `{field}` that the settings don't name: {text}"))
    };
    let status = match text("status")? {
        "Ready" => EndpointStatus::Ready,
        "Terminating" => EndpointStatus::Draining,
        "Gone" => EndpointStatus::Gone,
        other => return Err(format!("{name} is said to be {other}")),
    };
    let address = text("address")?;
    let started = entry["since_ms"].as_f64().filter(|millis| *millis > 0.0);
    Ok(Entry {
        name: name.to_string(),
        address: address
            .parse()
            .map_err(|_| format!("{name} has no address in {address}"))?,
        zone: ZoneId(place("zone", &names.zones)? as u16),
        kind: KindId(place("type", &names.kinds)? as u8),
        cell: CellId(
            entry["group"]
                .as_u64()
                .unwrap_or(0)
                .min(u64::from(u16::MAX)) as u16,
        ),
        status,
        weight: entry["weight"].as_f64().unwrap_or(1.0),
        started: started.map(|millis| Moment::from_seconds(millis / 1e3)),
    })
}

#[derive(Clone, Debug)]
struct Known {
    /// As it was listed last.
    entry: Entry,
    listed: bool,
    since: Moment,
}

#[derive(Clone, Debug, Default)]
pub struct Membership {
    ids: BTreeMap<String, NodeId>,
    nodes: BTreeMap<NodeId, Known>,
    /// Of what was taken last, and who said it; nothing was before the first full list.
    stands: Option<(SourceId, u64)>,
}

impl Membership {
    pub fn version(&self) -> Option<u64> {
        self.stands.map(|stands| stands.1)
    }

    pub fn name(&self, id: NodeId) -> Option<&str> {
        self.nodes.get(&id).map(|known| known.entry.name.as_str())
    }

    pub fn address(&self, id: NodeId) -> Option<SocketAddrV4> {
        self.nodes.get(&id).map(|known| known.entry.address)
    }

    pub fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// The id of a name; two names that fall on one id get neighbouring ones.
    fn enter(&mut self, entry: &Entry, now: Moment) -> NodeId {
        let id = self.ids.get(&entry.name).copied().unwrap_or_else(|| {
            let [a, b, c, d, e, f, ..] = xxh3_64(entry.name.as_bytes()).to_le_bytes();
            let mut id = NodeId {
                address: [a, b, c, d],
                port: u16::from_le_bytes([e, f]),
            };
            while self.nodes.contains_key(&id) {
                id.port = id.port.wrapping_add(1);
            }
            id
        });
        let listed = entry.status != EndpointStatus::Gone;
        let known = Known {
            entry: entry.clone(),
            listed,
            since: now,
        };
        self.ids.insert(entry.name.clone(), id);
        self.nodes.insert(id, known);
        id
    }

    /// What the list tells the module; nothing, where it is older than what was taken. A source asked for
    /// before the one that stands has been left, and says nothing any more. One asked for later is believed
    /// in its full list whatever that counts, since discovery may have begun to count anew.
    pub fn take(&mut self, list: &List, source: SourceId, now: Moment) -> Option<Event> {
        let news = self.stands.map_or(list.full, |(stands, version)| {
            // A full list of the same version may repair what a lost change left out.
            let newer = list.version > version || (list.full && list.version == version);
            source >= stands && (newer || (list.full && source > stands))
        });
        if !news {
            return None;
        }
        self.stands = Some((source, list.version));
        let mut entries = list.entries.clone();
        if list.full {
            // An entry that can't be read loses only itself: its node stays what it was listed as.
            let kept = |name: &String| {
                self.nodes
                    .get(self.ids.get(name)?)
                    .filter(|known| known.listed)
            };
            let named = |name: &&String| !list.entries.iter().any(|entry| entry.name == **name);
            entries.extend(
                list.spoilt
                    .iter()
                    .filter(named)
                    .filter_map(kept)
                    .map(|known| known.entry.clone()),
            );
            for known in self.nodes.values_mut().filter(|known| known.listed) {
                (known.listed, known.since) = (false, now);
            }
        }
        let entry = |entry: &Entry| EndpointEntry {
            node: self.enter(entry, now),
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            status: entry.status,
            weight: entry.weight,
            started: entry.started,
        };
        let entries = entries.iter().map(entry).collect();
        let kind = match (source, list.full) {
            (CONFIGURATION, _) => EndpointListKind::Cached,
            (_, true) => EndpointListKind::Complete,
            _ => EndpointListKind::Changes,
        };
        Some(Event::EndpointList { kind, entries })
    }

    /// Lets go of nodes that are long gone and that no table names: a fleet that is replaced again and
    /// again would fill the memory with names.
    pub fn forget(&mut self, now: Moment, after: Span, held: impl Fn(NodeId) -> bool) {
        self.nodes
            .retain(|id, known| known.listed || now - known.since < after || held(*id));
        let nodes = &self.nodes;
        self.ids.retain(|_, id| nodes.contains_key(id));
    }
}
