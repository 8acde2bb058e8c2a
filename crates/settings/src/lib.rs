//! The simulator's names for settings and ours, in one copy for all that read them: the adapter to the
//! simulator, and the conductor on a platform, which is told the same settings in its configuration.

mod check;

pub use check::{check, Wrong};

use serde_json::Value;
use wheelspread::settings::{SettingValue, Settings};

/// Names on the wire (after the lists are spelt out by position) and ours.
const NAMES: &[(&str, &str)] = &[
    ("az", "conductor.zone"),
    ("me", "conductor.number"),
    ("peers_total", "conductor.count"),
    ("discovery", "list.delivery"),
    ("tick", "conductor.tick"),
    ("weights", "list.weights"),
    ("extra.admit", "level.form"),
    ("extra.backlog", "channel.lines_waiting_at_most"),
    ("extra.bare", "rules.without_node_at_most"),
    ("extra.base_mode", "retry.usual"),
    ("extra.buffer_for", "slice.wait"),
    ("extra.exclusive", "slice.single_owner"),
    ("extra.fails_to_eject", "proxy.errors_until_avoided"),
    ("extra.first_wait", "retry.wait_in_objectives"),
    ("extra.head", "channel.head_lines"),
    ("extra.hears_per_s", "sums.lines_per_second"),
    ("extra.homed_by_zone", "conductor.joined_by_zone"),
    ("extra.min_conn_cap", "node.connections"),
    ("extra.order_price", "price.orders"),
    ("extra.period", "sums.period"),
    ("extra.pick", "proxy.pick"),
    ("extra.proxy_count", "proxy.count"),
    ("extra.push_delay", "channel.delay"),
    ("extra.push_delay_max", "channel.delay_at_most"),
    ("extra.push_rate", "channel.lines_per_second"),
    ("extra.pushes_allowed", "channel.messages_at_most"),
    ("extra.update_window", "channel.messages_window"),
    ("extra.reassign_price", "price.moves"),
    ("extra.settle", "slice.settle"),
    ("extra.shards", "slice.count"),
    ("extra.standing", "proxy.standing_lines"),
    ("extra.tenure", "slice.lease"),
    ("extra.warm_keys", "node.remembers_keys"),
    ("feedback.via", "report.way"),
    ("goal.whole", "goal.whole"),
    ("goal.worst_class", "goal.worst_operation"),
    ("goal.worst_window", "goal.worst_window"),
    ("limits.conn_idle", "proxy.connection_idle"),
    ("limits.connect_timeout", "proxy.connect_timeout"),
    ("limits.max_streams", "proxy.invocations_on_connection"),
    ("limits.peer_messages", "peers.may_tell"),
    ("limits.probes", "probes.allowed"),
    ("prices.cross_zone", "price.cross_zone"),
    ("prices.waste", "price.waste"),
    ("prices.late_fail", "price.late"),
    ("prices.probe", "price.probe"),
    ("prices.handshake", "price.handshake"),
    ("rules.ask_within", "rules.ask_within"),
    ("rules.overload_factor", "rules.cold_overload_factor"),
    ("rules.start_capacity", "rules.cold_start_share"),
    ("rules.stop_sending_within", "rules.drain_grace"),
    ("rules.tip_after", "rules.cold_overload_span"),
    ("rules.warm_after", "rules.warm_after"),
    ("rules.gone_is_advice", "rules.gone_is_advice"),
];

/// The same for what each operation has; `*` stands for its position.
const OPERATION_NAMES: &[(&str, &str)] = &[
    ("classes.*.aim", "operation.*.latency_objective"),
    ("classes.*.aim_stretch", "operation.*.objective_stretch"),
    ("classes.*.deadline", "operation.*.integration_timeout"),
    ("classes.*.worth", "operation.*.billed_value"),
    ("classes.*.late_value", "operation.*.late_share"),
    ("classes.*.idempotency", "operation.*.repeat"),
    ("classes.*.group", "operation.*.repeat_group"),
    ("classes.*.key_ttl", "operation.*.repeat_window"),
    ("extra.stays_local.*", "operation.*.stays_in_zone"),
    ("extra.write_classes.*", "operation.*.writes"),
    ("feedback.fields.*", "report.field.*"),
];

/// Words for values, by the setting that holds them.
const WORDS: &[(&str, &str, &str)] = &[
    ("repeat", "read_like", "idempotent"),
    ("repeat", "idempotency_key", "fingerprinted"),
    ("repeat", "non_idempotent", "side-effecting"),
    ("form", "ratio", "share"),
    ("form", "rps", "rate"),
    ("form", "silent", "none"),
    ("field", "busy", "utilization"),
    ("field", "q", "queue"),
    ("field", "lat_ms", "service-ms"),
    ("field", "rif", "in-flight"),
    // A platform's messages say the same in the simulator's own words.
    ("field", "util", "utilization"),
    ("field", "latency_ms", "service-ms"),
    ("field", "inflight", "in-flight"),
];

const COUNTS: &[(&str, &str)] = &[
    ("classes", "operation.count"),
    ("feedback.fields", "report.field.count"),
    ("zones", "zone.count"),
];

/// Settings as text.
pub fn read(text: &str) -> Result<Settings, String> {
    let value = serde_json::from_str(text).map_err(|e| format!("settings are no JSON: {e}"))?;
    Ok(settings(&value))
}

pub fn settings(value: &Value) -> Settings {
    let mut facts = Settings::default();
    flatten("", value, &mut facts);
    facts
}

fn flatten(path: &str, value: &Value, facts: &mut Settings) {
    let inner = |key: &str| {
        if path.is_empty() {
            key.to_string()
        } else {
            format!("{path}.{key}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(key, value)| flatten(&inner(key), value, facts)),
        Value::Array(items) => {
            if let Some((_, ours)) = COUNTS.iter().find(|(wire, _)| *wire == path) {
                facts
                    .0
                    .insert(ours.to_string(), SettingValue::Number(items.len() as f64));
            }
            items
                .iter()
                .enumerate()
                .for_each(|(at, value)| flatten(&inner(&at.to_string()), value, facts));
        }
        Value::Number(number) => put(
            path,
            SettingValue::Number(number.as_f64().unwrap_or(f64::NAN)),
            facts,
        ),
        Value::Bool(flag) => put(path, SettingValue::Flag(*flag), facts),
        Value::String(text) => put(path, SettingValue::Text(text.clone()), facts),
        Value::Null => {}
    }
}

fn put(path: &str, fact: SettingValue, facts: &mut Settings) {
    let plain = NAMES
        .iter()
        .find(|(wire, _)| *wire == path)
        .map(|(_, ours)| ours.to_string());
    let starred = || {
        OPERATION_NAMES.iter().find_map(|(wire, ours)| {
            let (head, tail) = wire.split_once('*')?;
            let at = path.strip_prefix(head)?.strip_suffix(tail)?;
            at.parse::<usize>().ok().map(|_| ours.replace('*', at))
        })
    };
    let Some(name) = plain.or_else(starred) else {
        return;
    };
    let fact = match fact {
        SettingValue::Text(text) => SettingValue::Text(word(&name, &text).to_string()),
        other => other,
    };
    facts.0.insert(name, fact);
}

/// Our word for a value of the setting of this name.
fn word<'a>(name: &str, text: &'a str) -> &'a str {
    WORDS
        .iter()
        .find(|(part, wire, _)| name.contains(part) && *wire == text)
        .map_or(text, |(_, _, ours)| *ours)
}

/// What a platform's messages call things by, each in the order of its list in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub operations: Vec<String>,
    /// Of a load report, in our words.
    pub fields: Vec<String>,
}

impl Names {
    pub fn read(settings: &Value) -> Names {
        let texts = |list: &Value, of: &dyn Fn(&Value) -> Option<String>| {
            list.as_array()
                .into_iter()
                .flatten()
                .map(|item| of(item).unwrap_or_default())
                .collect()
        };
        let plain = |item: &Value| item.as_str().map(str::to_string);
        Names {
            zones: texts(&settings["zones"], &plain),
            kinds: texts(&settings["kinds"], &plain),
            operations: texts(&settings["classes"], &|item| plain(&item["name"])),
            fields: texts(&settings["feedback"]["fields"], &|item| {
                Some(field(item.as_str()?).to_string())
            }),
        }
    }
}

/// Our word for a value in a load report.
pub fn field(text: &str) -> &str {
    word("field", text)
}
