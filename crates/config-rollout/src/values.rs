//! Values that a change may set while a controller runs, by their paths:
//!
//! - `nodes.ADDRESS:PORT.zone`, `.cell`, `.weight`, `.service` (`draining` or `out`): they override the endpoint list;
//! - the fields under `deployment` of the controller's file that `MUTABLE_FIELDS` lists, with operations by name
//!   (`operations.quote.billed_value`).
//!
//! Everything else needs a restart and is refused by its path.

use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use wheelspread::ids::NodeId;
use wheelspread_config_transaction::{Change, Configuration};
use wheelspread_controller_core::controller_core::ConfigUpdate;
use wheelspread_controller_core::deployment::{ConfigError, ConfigErrorKind};
use wheelspread_controller_core::{Deployment, NodeValues, ServiceState};

/// Fields that may change; `*` stands for the name of an operation. What decides whether a retry can take effect twice
/// is not among them: while a change propagates, proxies would have tables that disagree about it.
const MUTABLE_FIELDS: &[&str] = &[
    "operations.*.billed_value",
    "operations.*.late_share",
    "operations.*.latency_objective",
    "operations.*.integration_timeout",
    "channel.lines_per_second",
    "channel.lines_waiting_at_most",
    "channel.messages_at_most",
    "channel.head_lines",
    "channel.delay_at_most",
    "rules.without_node_at_most",
    "rules.drain_grace",
    "rules.cold_start_share",
    "rules.warm_after",
    "rules.cold_overload_factor",
    "rules.cold_overload_span",
    "list.shrinks_at_most",
    "cross_zone_price",
    "solver.every",
    "solver.least_share",
    "solver.fill_at_most",
];
/// Paths of node values begin with this.
const NODE_PREFIX: &str = "nodes.";
/// Weights that a change may give to a node.
const NODE_WEIGHT_RANGE: RangeInclusive<f64> = 1e-3..=1e6;

fn config_error(path: &str, text: impl Into<String>) -> ConfigError {
    ConfigError {
        field: path.to_string(),
        kind: ConfigErrorKind::Other(text.into()),
    }
}

fn is_mutable(path: &str) -> bool {
    let matches = |field: &str| {
        let (wanted, parts) = (field.split('.'), path.split('.'));
        wanted.clone().count() == parts.clone().count()
            && wanted
                .zip(parts)
                .all(|(wanted, part)| wanted == part || wanted == "*")
    };
    MUTABLE_FIELDS.iter().any(|field| matches(field))
}

/// Reads an address as `127.0.0.1:9000`.
pub fn parse_node(text: &str) -> Option<NodeId> {
    let address: std::net::SocketAddrV4 = text.parse().ok()?;
    Some(NodeId {
        address: address.ip().octets(),
        port: address.port(),
    })
}

/// Finds the value at a path; an item of an array is found by its `name`.
fn find_value<'a>(file: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    let mut value = file;
    for part in path.split('.') {
        value = match value {
            Value::Object(fields) => fields.get_mut(part)?,
            Value::Array(items) => items.iter_mut().find(|item| item["name"] == part)?,
            _ => return None,
        };
    }
    Some(value)
}

/// Reads a value as it is written in a change: a number, `true`, `false`, or otherwise a text.
fn parse_value(text: &str) -> Value {
    match serde_json::from_str::<Value>(text) {
        Ok(plain @ (Value::Number(_) | Value::Bool(_))) => plain,
        _ => Value::String(text.to_string()),
    }
}

/// Sets one value of a node.
fn set_node_value(
    values: &mut NodeValues,
    path: &str,
    field: &str,
    text: &str,
    deployment: &Deployment,
) -> Result<(), ConfigError> {
    match field {
        "zone" => {
            if !deployment.zones.iter().any(|zone| zone == text) {
                let zones = deployment.zones.join(", ");
                let text = format!("zone `{text}` is not one of this deployment: {zones} are");
                return Err(config_error(path, text));
            }
            values.zone = Some(text.to_string());
        }
        "cell" => values.cell = Some(text.to_string()),
        "weight" => {
            let weight = text.parse::<f64>().ok();
            let Some(weight) = weight.filter(|weight| NODE_WEIGHT_RANGE.contains(weight)) else {
                let text = format!("`{text}` should be a number between 0.001 and 1e6");
                return Err(config_error(path, text));
            };
            values.weight = Some(weight);
        }
        "service" => {
            values.service = Some(match text {
                "draining" => ServiceState::Draining,
                "out" => ServiceState::OutOfService,
                _ => {
                    let text = format!("`{text}` should be draining or out");
                    return Err(config_error(path, text));
                }
            });
        }
        _ => {
            let text = "a node has zone, cell, weight and service";
            return Err(config_error(path, text));
        }
    }
    Ok(())
}

/// The deployment with one field set to another value.
fn with_field(deployment: &Deployment, path: &str, text: &str) -> Result<Deployment, ConfigError> {
    let invalid = |error: serde_json::Error| config_error(path, error.to_string());
    let mut file = serde_json::to_value(deployment).map_err(invalid)?;
    let Some(value) = find_value(&mut file, path) else {
        return Err(config_error(path, "there is no such value"));
    };
    *value = parse_value(text);
    serde_json::from_value(file).map_err(invalid)
}

/// The controller's file with the values of a configuration.
struct MergedValues {
    deployment: Deployment,
    nodes: BTreeMap<NodeId, NodeValues>,
    /// Every value that can't be used.
    errors: Vec<ConfigError>,
}

impl MergedValues {
    fn new(base: &Deployment, configuration: &Configuration) -> MergedValues {
        let mut merged = MergedValues {
            deployment: base.clone(),
            nodes: BTreeMap::new(),
            errors: Vec::new(),
        };
        for (path, text) in &configuration.values {
            let result = match path.strip_prefix(NODE_PREFIX) {
                Some(rest) => merged.merge_node_value(base, path, rest, text),
                None => merged.merge_field(path, text),
            };
            merged.errors.extend(result.err());
        }
        merged
    }

    /// `rest`: the path without its prefix.
    fn merge_node_value(
        &mut self,
        base: &Deployment,
        path: &str,
        rest: &str,
        text: &str,
    ) -> Result<(), ConfigError> {
        let (node, field) = rest
            .rsplit_once('.')
            .and_then(|(address, field)| Some((parse_node(address)?, field)))
            .ok_or_else(|| config_error(path, "should be nodes.ADDRESS:PORT.FIELD"))?;
        let values = self.nodes.entry(node).or_default();
        set_node_value(values, path, field, text, base)
    }

    fn merge_field(&mut self, path: &str, text: &str) -> Result<(), ConfigError> {
        if !is_mutable(path) {
            let text = "can't change while the conductor runs";
            return Err(config_error(path, text));
        }
        self.deployment = with_field(&self.deployment, path, text)?;
        Ok(())
    }
}

/// What a configuration comes to, or every reason why it can't be used.
pub fn config_update(
    base: &Deployment,
    configuration: &Configuration,
) -> Result<ConfigUpdate, Vec<ConfigError>> {
    let mut merged = MergedValues::new(base, configuration);
    merged.errors.extend(merged.deployment.validate());
    if !merged.errors.is_empty() {
        return Err(merged.errors);
    }
    Ok(ConfigUpdate {
        version: configuration.version,
        deployment: merged.deployment,
        node_values: merged.nodes,
    })
}

/// What a configuration comes to without the values that do not fit the controller's file any more, and those values.
pub fn config_update_of_valid_values(
    base: &Deployment,
    configuration: &Configuration,
) -> (ConfigUpdate, Vec<ConfigError>) {
    let mut merged = MergedValues::new(base, configuration);
    let errors = merged.deployment.validate();
    let deployment = match errors.is_empty() {
        true => merged.deployment,
        false => base.clone(),
    };
    merged.errors.extend(errors);
    let update = ConfigUpdate {
        version: configuration.version,
        deployment,
        node_values: merged.nodes,
    };
    (update, merged.errors)
}

/// Nodes that a change migrates to another pool.
pub fn migrating_nodes(change: &Change) -> Vec<NodeId> {
    let migrating = |path: &String| {
        let address = path.strip_prefix(NODE_PREFIX)?.strip_suffix(".zone")?;
        parse_node(address)
    };
    change.sets.keys().filter_map(migrating).collect()
}

/// The value at a path in the controller's file, as it would be written in a change.
pub fn value_in_file(base: &Deployment, path: &str) -> Option<String> {
    let mut file = serde_json::to_value(base).ok()?;
    match find_value(&mut file, path)? {
        Value::String(text) => Some(text.clone()),
        Value::Null | Value::Object(_) | Value::Array(_) => None,
        plain => Some(plain.to_string()),
    }
}
