//! Values that a change may set while a conductor runs, by their paths:
//!
//! - `nodes.ADDRESS:PORT.zone`, `.cell`, `.weight`, `.service` (`draining` or `out`): over what the list says;
//! - fields of the conductor's file under `deployment` that `LIVE` names, operations by their names
//!   (`operations.quote.billed_value`).
//!
//! Everything else needs a restart and is refused by name.

use serde_json::Value;
use std::collections::BTreeMap;
use wheelspread::ids::NodeId;
use wheelspread_config_transaction::{Change, Configuration};
use wheelspread_controller_core::controller_core::ConfigUpdate;
use wheelspread_controller_core::deployment::{ConfigError, ConfigErrorKind};
use wheelspread_controller_core::{Deployment, NodeValues, Service};

/// Fields that may change, `*` for the name of an operation. What decides whether a repeat can take effect
/// twice is not among them: tables of two minds about it would be at gateways at the same time.
const LIVE: &[&str] = &[
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

fn flaw(field: &str, text: impl Into<String>) -> ConfigError {
    ConfigError {
        field: field.to_string(),
        kind: ConfigErrorKind::Other(text.into()),
    }
}

fn is_live(path: &str) -> bool {
    let parts: Vec<&str> = path.split('.').collect();
    LIVE.iter().any(|live| {
        let wanted: Vec<&str> = live.split('.').collect();
        wanted.len() == parts.len()
            && wanted
                .iter()
                .zip(&parts)
                .all(|(w, part)| w == part || *w == "*")
    })
}

/// An address as `127.0.0.1:9000`.
pub fn node(text: &str) -> Option<NodeId> {
    let address: std::net::SocketAddrV4 = text.parse().ok()?;
    Some(NodeId {
        address: address.ip().octets(),
        port: address.port(),
    })
}

/// The place of a path in a file's value: names of operations become their positions.
fn place<'a>(file: &'a mut Value, path: &str) -> Option<&'a mut Value> {
    let mut at = file;
    for part in path.split('.') {
        at = match at {
            Value::Object(fields) => fields.get_mut(part)?,
            Value::Array(items) => items.iter_mut().find(|item| item["name"] == part)?,
            _ => return None,
        };
    }
    Some(at)
}

/// A value as it is written: a number, `true`, `false`, or else a text.
fn value(text: &str) -> Value {
    match serde_json::from_str::<Value>(text) {
        Ok(plain @ (Value::Number(_) | Value::Bool(_))) => plain,
        _ => Value::String(text.to_string()),
    }
}

fn of_node(
    values: &mut NodeValues,
    path: &str,
    field: &str,
    text: &str,
    base: &Deployment,
) -> Result<(), ConfigError> {
    match field {
        "zone" if base.zones.iter().any(|zone| zone == text) => {
            values.zone = Some(text.to_string())
        }
        "zone" => {
            let zones = base.zones.join(", ");
            return Err(flaw(
                path,
                format!("zone `{text}` is not one of this deployment: {zones} are"),
            ));
        }
        "cell" => values.cell = Some(text.to_string()),
        "weight" => match text.parse::<f64>() {
            Ok(weight) if (1e-3..=1e6).contains(&weight) => values.weight = Some(weight),
            _ => {
                return Err(flaw(
                    path,
                    format!("`{text}` should be a number between 0.001 and 1e6"),
                ))
            }
        },
        "service" => {
            values.service = Some(match text {
                "draining" => Service::Draining,
                "out" => Service::Out,
                _ => return Err(flaw(path, format!("`{text}` should be draining or out"))),
            })
        }
        _ => return Err(flaw(path, "a node has zone, cell, weight and service")),
    }
    Ok(())
}

/// What the file and the values of a configuration come to, and every value that can't be, by its path.
fn merged(
    base: &Deployment,
    configuration: &Configuration,
) -> (Deployment, BTreeMap<NodeId, NodeValues>, Vec<ConfigError>) {
    let mut flaws = Vec::new();
    let mut nodes: BTreeMap<NodeId, NodeValues> = BTreeMap::new();
    let mut plan = base.clone();
    for (path, text) in &configuration.values {
        if let Some(rest) = path.strip_prefix("nodes.") {
            let named = rest
                .rsplit_once('.')
                .and_then(|(name, field)| Some((node(name)?, field)));
            let Some((id, field)) = named else {
                flaws.push(flaw(path, "should be nodes.ADDRESS:PORT.FIELD"));
                continue;
            };
            flaws.extend(of_node(nodes.entry(id).or_default(), path, field, text, base).err());
            continue;
        }
        if !is_live(path) {
            flaws.push(flaw(path, "can't change while the conductor runs"));
            continue;
        }
        let with = serde_json::to_value(&plan)
            .map_err(|error| error.to_string())
            .and_then(|mut file| {
                *place(&mut file, path).ok_or("there is no such value")? = value(text);
                serde_json::from_value::<Deployment>(file).map_err(|error| error.to_string())
            });
        match with {
            Ok(next) => plan = next,
            Err(text) => flaws.push(flaw(path, text)),
        }
    }
    (plan, nodes, flaws)
}

/// What a configuration comes to, or every reason why it can't be.
pub fn configured(
    base: &Deployment,
    configuration: &Configuration,
) -> Result<ConfigUpdate, Vec<ConfigError>> {
    let (plan, values, mut flaws) = merged(base, configuration);
    flaws.extend(plan.validate());
    if flaws.is_empty() {
        Ok(ConfigUpdate {
            version: configuration.version,
            plan,
            values,
        })
    } else {
        Err(flaws)
    }
}

/// The same for a conductor that starts: what does not fit to its file any more is left out and told.
pub fn what_fits(
    base: &Deployment,
    configuration: &Configuration,
) -> (ConfigUpdate, Vec<ConfigError>) {
    let (plan, values, mut flaws) = merged(base, configuration);
    let together = plan.validate();
    let plan = if together.is_empty() {
        plan
    } else {
        base.clone()
    };
    flaws.extend(together);
    (
        ConfigUpdate {
            version: configuration.version,
            plan,
            values,
        },
        flaws,
    )
}

/// Nodes that a change puts into another pool.
pub fn moved(change: &Change) -> Vec<NodeId> {
    let named = |path: &String| node(path.strip_prefix("nodes.")?.strip_suffix(".zone")?);
    change.sets.keys().filter_map(named).collect()
}

/// What the file says of a path, as it would be written in a change.
pub fn in_file(base: &Deployment, path: &str) -> Option<String> {
    let mut file = serde_json::to_value(base).ok()?;
    match place(&mut file, path)? {
        Value::String(text) => Some(text.clone()),
        Value::Null | Value::Object(_) | Value::Array(_) => None,
        plain => Some(plain.to_string()),
    }
}
