//! The values that a change may set while a controller runs, by path:
//!
//! - `nodes.ADDRESS:PORT.zone`, `.cell`, `.weight` and `.service` (`draining` or `out`) override the endpoint list;
//! - the fields under `deployment` in the controller's file that `MUTABLE_FIELDS` lists, with operations by name
//!   (`operations.quote.billed_value`).
//!
//! All other values need a restart; the error for such a value contains its path.

use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use wheelspread::ids::NodeId;
use wheelspread_config_transaction::{Change, Configuration};
use wheelspread_controller_core::controller_core::ConfigUpdate;
use wheelspread_controller_core::deployment::{ConfigError, ConfigErrorKind};
use wheelspread_controller_core::{Deployment, NodeValues, ServiceState};

/// Fields that a change may set; `*` stands for the name of an operation. The fields that decide whether a retry can
/// take effect twice are excluded: while a change propagates, the tables of the proxies would differ in them.
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
/// The prefix of the paths of node values.
const NODE_PREFIX: &str = "nodes.";
/// The weights that a change may set for a node.
const NODE_WEIGHT_RANGE: RangeInclusive<f64> = 1e-3..=1e6;

fn config_error(path: &str, text: impl Into<String>) -> ConfigError {
    ConfigError {
        field: path.to_string(),
        kind: ConfigErrorKind::Other(text.into()),
    }
}

fn is_mutable(path: &str) -> bool {
    let matches = |field: &str| {
        let (patterns, parts) = (field.split('.'), path.split('.'));
        patterns.clone().count() == parts.clone().count()
            && patterns
                .zip(parts)
                .all(|(pattern, part)| pattern == part || pattern == "*")
    };
    MUTABLE_FIELDS.iter().any(|field| matches(field))
}

/// Parses an address such as `127.0.0.1:9000`.
pub fn parse_node(text: &str) -> Option<NodeId> {
    let address: std::net::SocketAddrV4 = text.parse().ok()?;
    Some(NodeId {
        address: address.ip().octets(),
        port: address.port(),
    })
}

/// Finds the value at a path; the items of an array are looked up by their `name`.
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

/// Parses a value as written in a change: a number, `true` or `false`, and any other text as a string.
fn parse_value(text: &str) -> Value {
    match serde_json::from_str::<Value>(text) {
        Ok(scalar @ (Value::Number(_) | Value::Bool(_))) => scalar,
        _ => Value::String(text.to_string()),
    }
}

/// Sets one value of a node. `path` is the full path, for errors; `field` is its last part.
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

/// Returns the deployment with one field set to a new value.
fn with_field(deployment: &Deployment, path: &str, text: &str) -> Result<Deployment, ConfigError> {
    let invalid = |error: serde_json::Error| config_error(path, error.to_string());
    let mut file = serde_json::to_value(deployment).map_err(invalid)?;
    let Some(value) = find_value(&mut file, path) else {
        return Err(config_error(path, "there is no such value"));
    };
    *value = parse_value(text);
    serde_json::from_value(file).map_err(invalid)
}

/// The deployment of the controller's file, merged with the values of a configuration.
struct MergedValues {
    deployment: Deployment,
    nodes: BTreeMap<NodeId, NodeValues>,
    /// The errors of all invalid values.
    errors: Vec<ConfigError>,
}

impl MergedValues {
    fn new(base_deployment: &Deployment, configuration: &Configuration) -> MergedValues {
        let mut merged = MergedValues {
            deployment: base_deployment.clone(),
            nodes: BTreeMap::new(),
            errors: Vec::new(),
        };
        for (path, text) in &configuration.values {
            let result = match path.strip_prefix(NODE_PREFIX) {
                Some(node_path) => merged.merge_node_value(base_deployment, path, node_path, text),
                None => merged.merge_field(path, text),
            };
            merged.errors.extend(result.err());
        }
        merged
    }

    /// `node_path`: the path without `NODE_PREFIX`.
    fn merge_node_value(
        &mut self,
        base_deployment: &Deployment,
        path: &str,
        node_path: &str,
        text: &str,
    ) -> Result<(), ConfigError> {
        let (node, field) = node_path
            .rsplit_once('.')
            .and_then(|(address, field)| Some((parse_node(address)?, field)))
            .ok_or_else(|| config_error(path, "should be nodes.ADDRESS:PORT.FIELD"))?;
        let values = self.nodes.entry(node).or_default();
        set_node_value(values, path, field, text, base_deployment)
    }

    fn merge_field(&mut self, path: &str, text: &str) -> Result<(), ConfigError> {
        if !is_mutable(path) {
            let text = "can't change while the controller runs";
            return Err(config_error(path, text));
        }
        self.deployment = with_field(&self.deployment, path, text)?;
        Ok(())
    }
}

/// Returns the update that a configuration results in, or the errors of all invalid values.
pub fn config_update(
    base_deployment: &Deployment,
    configuration: &Configuration,
) -> Result<ConfigUpdate, Vec<ConfigError>> {
    let mut merged = MergedValues::new(base_deployment, configuration);
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

/// Returns the update that the valid values of a configuration result in, and the errors of the other values. Values of
/// an earlier run can become invalid when the controller's file changes. If the merged deployment is invalid as a
/// whole, the deployment of the controller's file is used.
pub fn config_update_of_valid_values(
    base_deployment: &Deployment,
    configuration: &Configuration,
) -> (ConfigUpdate, Vec<ConfigError>) {
    let mut merged = MergedValues::new(base_deployment, configuration);
    let errors = merged.deployment.validate();
    let deployment = match errors.is_empty() {
        true => merged.deployment,
        false => base_deployment.clone(),
    };
    merged.errors.extend(errors);
    let update = ConfigUpdate {
        version: configuration.version,
        deployment,
        node_values: merged.nodes,
    };
    (update, merged.errors)
}

/// Returns the nodes that a change migrates to another pool: those whose zone it sets.
pub fn migrating_nodes(change: &Change) -> Vec<NodeId> {
    let migrating = |path: &String| {
        let address = path.strip_prefix(NODE_PREFIX)?.strip_suffix(".zone")?;
        parse_node(address)
    };
    change.sets.keys().filter_map(migrating).collect()
}

/// Returns the value at a path in the controller's file, as it would be written in a change; `None` if there is none or
/// it is not a single value.
pub fn value_in_file(base_deployment: &Deployment, path: &str) -> Option<String> {
    let mut file = serde_json::to_value(base_deployment).ok()?;
    match find_value(&mut file, path)? {
        Value::String(text) => Some(text.clone()),
        Value::Null | Value::Object(_) | Value::Array(_) => None,
        scalar => Some(scalar.to_string()),
    }
}
