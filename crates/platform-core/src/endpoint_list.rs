//! Endpoint lists as discovery sends them, and how far a watch on them has come.

use serde_json::Value;
use std::net::SocketAddrV4;
use wheelspread::ids::{CellId, KindId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::EndpointStatus;
use wheelspread_settings::Names;

/// One node as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The same at every controller.
    pub name: String,
    /// Where the node listens, as seen from this controller.
    pub address: SocketAddrV4,
    /// The node's zone.
    pub zone: ZoneId,
    /// Its type of machine.
    pub kind: KindId,
    /// Its group.
    pub cell: CellId,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// Its nominal weight.
    pub weight: f64,
    /// When it last started, unless that is long ago.
    pub started: Option<Moment>,
}

/// One object of discovery: a complete list, or the entries that have changed.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Discovery's count of changes.
    pub version: u64,
    /// Whether nodes that are not in it are gone.
    pub is_complete: bool,
    /// The valid entries.
    pub entries: Vec<ListedEndpoint>,
    /// Why other entries were rejected.
    pub entry_errors: Vec<EntryError>,
    /// The names of rejected entries, of those that have one.
    pub rejected_names: Vec<String>,
}

/// Why an endpoint list is rejected whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The text is no JSON.
    #[error("the endpoint list is no JSON: {0}")]
    Syntax(String),
    /// A field of the list is missing or has the wrong type.
    #[error("a list without its `{0}`")]
    MissingField(&'static str),
}

/// Why an entry of an endpoint list is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The entry has no name.
    #[error("a node without a name")]
    Unnamed,
    /// A field is missing or is no text.
    #[error("{node} has no `{field}`")]
    MissingField {
        /// The node's name.
        node: String,
        /// The field.
        field: &'static str,
    },
    /// A field names something that the settings don't.
    #[error("{node} has a `{field}` that the settings don't name: {value}")]
    UnknownName {
        /// The node's name.
        node: String,
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The status is unknown.
    #[error("{node} has an unknown `status`: {status}")]
    UnknownStatus {
        /// The node's name.
        node: String,
        /// The status.
        status: String,
    },
    /// The address can't be read.
    #[error("{node} has no address in {address}")]
    InvalidAddress {
        /// The node's name.
        node: String,
        /// The address.
        address: String,
    },
}

impl EndpointList {
    /// Reads a list. An invalid entry is left out alone.
    pub fn parse(value: &Value, names: &Names) -> Result<EndpointList, ListError> {
        let version = value["index"]
            .as_u64()
            .ok_or(ListError::MissingField("index"))?;
        let is_complete = value["snapshot"]
            .as_bool()
            .ok_or(ListError::MissingField("snapshot"))?;
        let endpoints = value["endpoints"]
            .as_array()
            .ok_or(ListError::MissingField("endpoints"))?;
        let mut list = EndpointList {
            version,
            is_complete,
            entries: Vec::new(),
            entry_errors: Vec::new(),
            rejected_names: Vec::new(),
        };
        for endpoint in endpoints {
            match ListedEndpoint::parse(endpoint, names) {
                Ok(entry) => list.entries.push(entry),
                Err(error) => {
                    list.entry_errors.push(error);
                    list.rejected_names
                        .extend(endpoint["name"].as_str().map(str::to_string));
                }
            }
        }
        Ok(list)
    }

    /// Reads a list from JSON text.
    pub fn parse_json(text: &[u8], names: &Names) -> Result<EndpointList, ListError> {
        let value = serde_json::from_slice(text)
            .map_err(|error: serde_json::Error| ListError::Syntax(error.to_string()))?;
        EndpointList::parse(&value, names)
    }
}

/// The text fields of an entry, with the node's name for errors.
struct EntryFields<'a> {
    node: &'a str,
    entry: &'a Value,
}

impl<'a> EntryFields<'a> {
    fn text(&self, field: &'static str) -> Result<&'a str, EntryError> {
        let missing = || EntryError::MissingField {
            node: self.node.to_string(),
            field,
        };
        self.entry[field].as_str().ok_or_else(missing)
    }

    fn index_of(&self, field: &'static str, known: &[String]) -> Result<usize, EntryError> {
        let text = self.text(field)?;
        let unknown = || EntryError::UnknownName {
            node: self.node.to_string(),
            field,
            value: text.to_string(),
        };
        known
            .iter()
            .position(|known| known == text)
            .ok_or_else(unknown)
    }

    fn status(&self) -> Result<EndpointStatus, EntryError> {
        match self.text("status")? {
            "Ready" => Ok(EndpointStatus::Ready),
            "Terminating" => Ok(EndpointStatus::Draining),
            "Gone" => Ok(EndpointStatus::Gone),
            other => Err(EntryError::UnknownStatus {
                node: self.node.to_string(),
                status: other.to_string(),
            }),
        }
    }

    fn address(&self) -> Result<SocketAddrV4, EntryError> {
        let address = self.text("address")?;
        address.parse().map_err(|_| EntryError::InvalidAddress {
            node: self.node.to_string(),
            address: address.to_string(),
        })
    }

    fn cell(&self) -> CellId {
        let group = self.entry["group"].as_u64().unwrap_or(0);
        CellId(group.min(u64::from(u16::MAX)) as u16)
    }

    fn started(&self) -> Option<Moment> {
        self.entry["since_ms"]
            .as_f64()
            .filter(|millis| *millis > 0.0)
            .map(|millis| Moment::from_seconds(millis / 1e3))
    }
}

impl ListedEndpoint {
    fn parse(entry: &Value, names: &Names) -> Result<ListedEndpoint, EntryError> {
        let node = entry["name"]
            .as_str()
            .filter(|name| !name.is_empty())
            .ok_or(EntryError::Unnamed)?;
        let fields = EntryFields { node, entry };
        Ok(ListedEndpoint {
            name: node.to_string(),
            status: fields.status()?,
            address: fields.address()?,
            zone: ZoneId(fields.index_of("zone", &names.zones)? as u16),
            kind: KindId(fields.index_of("type", &names.kinds)? as u8),
            cell: fields.cell(),
            weight: entry["weight"].as_f64().unwrap_or(1.0),
            started: fields.started(),
        })
    }
}

/// Identifies one watch of discovery, or the configuration. Ids ascend in the order in which the watches
/// were opened: a later one knows better, also where discovery has started its versions again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceId(pub u64);

impl SourceId {
    /// The id of the watch that is opened after this one.
    pub fn next(self) -> SourceId {
        SourceId(self.0 + 1)
    }
}

/// The list in the configuration, from before the start: whatever discovery sends is newer.
pub const CONFIGURED_SOURCE: SourceId = SourceId(0);

/// How far a watch has come.
///
/// Discovery that has started its versions again answers a watch from a version it never had with nothing
/// until its own count gets there. Versions that go down on a watch show it; then the complete list must be read.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchPosition {
    version: Option<u64>,
    has_received: bool,
}

impl WatchPosition {
    /// A watch that was opened from this version; `None` asks for the whole list.
    pub fn starting_at(version: Option<u64>) -> WatchPosition {
        WatchPosition {
            version,
            has_received: false,
        }
    }

    /// The complete list was read beside the watch, before the watch brought anything.
    pub fn record_complete_list(&mut self, list: &EndpointList) {
        if !self.has_received {
            self.version = Some(list.version);
        }
    }

    /// Advances to a list that the watch has brought. Whether the list continues from the position before;
    /// the first one may be a complete list of any version.
    pub fn advance(&mut self, list: &EndpointList) -> bool {
        let continues = self.version.is_none_or(|version| list.version >= version)
            || (list.is_complete && !self.has_received);
        (self.version, self.has_received) = (Some(list.version), true);
        continues
    }
}
