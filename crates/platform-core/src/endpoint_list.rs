//! Parsing of endpoint lists from discovery, and the version that a watch on them has reached.

use serde_json::Value;
use std::net::SocketAddrV4;
use wheelspread::ids::{CellId, KindId, ZoneId};
use wheelspread::time::Moment;
use wheelspread::EndpointStatus;
use wheelspread_settings::Names;

/// One valid endpoint entry.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The node's name, which is the same at every controller.
    pub name: String,
    /// The address at which this controller reaches the node.
    pub address: SocketAddrV4,
    /// The node's zone.
    pub zone: ZoneId,
    /// The node's machine type.
    pub kind: KindId,
    /// The node's cell.
    pub cell: CellId,
    /// Whether the node is ready, draining or gone.
    pub status: EndpointStatus,
    /// The node's nominal weight.
    pub weight: f64,
    /// When the node last started; `None` if the entry has no positive start time, as for a start long ago.
    pub started: Option<Moment>,
}

/// One JSON object from discovery: a complete list, or only the changed entries.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version of the list, which discovery increments with each change.
    pub version: u64,
    /// Whether this is a complete list: nodes that are not in it are gone.
    pub is_complete: bool,
    /// The valid entries.
    pub entries: Vec<ListedEndpoint>,
    /// The errors of the rejected entries.
    pub entry_errors: Vec<EntryError>,
    /// The names of the rejected entries that have one.
    pub rejected_names: Vec<String>,
}

/// Why an endpoint list is rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The text is not valid JSON.
    #[error("the endpoint list is not valid JSON: {0}")]
    Syntax(String),
    /// A field of the list is missing or has the wrong type.
    #[error("field `{0}` of the endpoint list is missing or has the wrong type")]
    MissingField(&'static str),
}

/// Why an entry of an endpoint list is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The entry has no name.
    #[error("endpoint entry without a name")]
    Unnamed,
    /// A field is missing or is not a string.
    #[error("node {node}: field `{field}` is missing or not a string")]
    MissingField {
        /// The node's name.
        node: String,
        /// The field.
        field: &'static str,
    },
    /// A field has a value that is not in the settings.
    #[error("node {node}: `{field}` has the value `{value}`, which is not in the settings")]
    UnknownName {
        /// The node's name.
        node: String,
        /// The field.
        field: &'static str,
        /// The value of the field.
        value: String,
    },
    /// The status is unknown.
    #[error("node {node}: unknown `status` `{status}`")]
    UnknownStatus {
        /// The node's name.
        node: String,
        /// The status.
        status: String,
    },
    /// The address can't be parsed.
    #[error("node {node}: `{address}` is not an IPv4 address with a port")]
    InvalidAddress {
        /// The node's name.
        node: String,
        /// The address.
        address: String,
    },
}

impl EndpointList {
    /// Parses a list. Invalid entries are left out, the others are kept.
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

    /// Parses a list from JSON text.
    pub fn parse_json(text: &[u8], names: &Names) -> Result<EndpointList, ListError> {
        let value = serde_json::from_slice(text)
            .map_err(|error: serde_json::Error| ListError::Syntax(error.to_string()))?;
        EndpointList::parse(&value, names)
    }
}

/// An endpoint entry in JSON, with the node's name for errors.
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

/// Identifies one watch of discovery, or the configuration, as the source of a list. Ids ascend in the order in
/// which the watches were opened. The later source takes precedence, even with lower versions: discovery may
/// have restarted its version count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SourceId(pub u64);

impl SourceId {
    /// The id of the watch that is opened after this one.
    pub fn next(self) -> SourceId {
        SourceId(self.0 + 1)
    }
}

/// The source of the cached list in the configuration, which is older than any list from discovery.
pub const CONFIGURED_SOURCE: SourceId = SourceId(0);

/// The version that a watch has reached.
///
/// When discovery has restarted its version count, a watch from a version beyond the new count brings no changes
/// until the count reaches that version. A version lower than the one before shows the restart; the complete list
/// must then be read.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchPosition {
    version: Option<u64>,
    has_received: bool,
}

impl WatchPosition {
    /// The position of a watch opened from this version; `None` requests the complete list first.
    pub fn starting_at(version: Option<u64>) -> WatchPosition {
        WatchPosition {
            version,
            has_received: false,
        }
    }

    /// Continues from a complete list that was read outside the watch, unless the watch has already received a list.
    pub fn record_complete_list(&mut self, list: &EndpointList) {
        if !self.has_received {
            self.version = Some(list.version);
        }
    }

    /// Advances to a list received on the watch. Returns whether the list continues from the previous position; the
    /// first list of a watch may be a complete list of any version.
    pub fn advance(&mut self, list: &EndpointList) -> bool {
        let continues = self.version.is_none_or(|version| list.version >= version)
            || (list.is_complete && !self.has_received);
        (self.version, self.has_received) = (Some(list.version), true);
        continues
    }
}
