//! Framing: bytes into events and actions into bytes, and the wire's settings into our words.

use serde_json::Value;
use wheelspread::facts::{Fact, Facts};
use wheelspread::ids::*;
use wheelspread::interface::*;
use wheelspread::time::{Moment, Span};

pub struct Reader<'a> {
    bytes: &'a [u8],
    pub at: usize,
}

type Read<T> = Result<T, String>;

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, at: 0 }
    }

    pub fn left(&self) -> usize {
        self.bytes.len() - self.at
    }

    pub fn take(&mut self, count: usize) -> Read<&'a [u8]> {
        if self.left() < count {
            return Err(format!("{count} bytes wanted, {} left", self.left()));
        }
        self.at += count;
        Ok(&self.bytes[self.at - count..self.at])
    }

    fn array<const N: usize>(&mut self) -> Read<[u8; N]> {
        Ok(self.take(N)?.try_into().expect("as long as asked for"))
    }

    pub fn u8(&mut self) -> Read<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Read<u16> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Read<u32> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Read<u64> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Read<f64> {
        Ok(f64::from(f32::from_le_bytes(self.array()?)))
    }

    pub fn f64(&mut self) -> Read<f64> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    fn node(&mut self) -> Read<NodeId> {
        Ok(NodeId { address: self.array()?, port: self.u16()? })
    }

    fn span(&mut self) -> Read<Span> {
        Ok(Span::from_seconds(self.f64()?))
    }

    fn load(&mut self) -> Read<Vec<f64>> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}

pub enum Record {
    Boot { seed: u64, settings: String },
    Stop,
    Event(Event),
}

/// One event record; its conductor comes first so that a bad rest can still be blamed on it.
pub fn record(reader: &mut Reader) -> Read<(u16, Record)> {
    let code = reader.u8()?;
    if !(16..=29).contains(&code) {
        return Err(format!("unknown event code {code}"));
    }
    let conductor = reader.u16()?;
    let event = match code {
        16 => Event::Timer { timer: TimerId(reader.u64()?) },
        17 => {
            let from = PeerId(reader.u32()?);
            let count = reader.u16()?;
            Event::PeerNote { from, bytes: reader.take(count.into())?.to_vec() }
        }
        18 => Event::NodeSums {
            zone: ZoneId(reader.u16()?),
            node: reader.node()?,
            tries: f64::from(reader.u32()?),
            errored: f64::from(reader.u32()?),
            latency: reader.span()?,
            over: reader.span()?,
            load: reader.load()?,
        },
        19 => Event::SliceCharge { slice: SliceId(reader.u16()?), ours: reader.u8()? != 0 },
        20 => Event::ProxyLeft { proxy: ProxyId(reader.u16()?) },
        21 => {
            let seed = reader.u64()?;
            let count = reader.u32()?;
            let text = reader.take(count as usize)?;
            let settings = String::from_utf8(text.to_vec()).map_err(|e| format!("settings: {e}"))?;
            return Ok((conductor, Record::Boot { seed, settings }));
        }
        22 => Event::Offered {
            proxy: ProxyId(reader.u16()?),
            operation: OperationId(reader.u8()?),
            count: f64::from(reader.u32()?),
            errored: f64::from(reader.u32()?),
            over: reader.span()?,
        },
        23 => {
            let operation = OperationId(reader.u8()?);
            let errored = f64::from(reader.u32()?);
            let count = f64::from(reader.u32()?);
            let slice = SliceId(reader.u16()?);
            Event::SliceOffered { slice, operation, count, errored, over: reader.span()? }
        }
        24 => Event::ProxyJoined {
            proxy: ProxyId(reader.u16()?),
            zone: ZoneId(reader.u16()?),
            usual_rate: reader.f32()?,
            fresh: reader.u8()? != 0,
        },
        25 => Event::Probed {
            node: reader.node()?,
            answered: reader.u16()? == 200,
            took: reader.span()?,
            load: reader.load()?,
        },
        26 => {
            Event::Acked { proxy: ProxyId(reader.u16()?), mark: MarkId(reader.u32()?), took: reader.span()? }
        }
        27 => return Ok((conductor, Record::Stop)),
        28 => {
            let kind = match reader.u8()? {
                0 => ListKind::Cached,
                1 => ListKind::Changes,
                2 => ListKind::Complete,
                3 => ListKind::Unavailable,
                other => return Err(format!("unknown kind of list {other}")),
            };
            reader.u32()?;
            let count = reader.u32()?;
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(entry(reader)?);
            }
            Event::List { kind, entries }
        }
        _ => {
            let node = reader.node()?;
            let slice = SliceId(reader.u16()?);
            Event::SliceLine { slice, node, weight: reader.f32()? }
        }
    };
    Ok((conductor, Record::Event(event)))
}

fn entry(reader: &mut Reader) -> Read<ListEntry> {
    Ok(ListEntry {
        node: reader.node()?,
        zone: ZoneId(reader.u16()?),
        kind: KindId(reader.u8()?),
        cell: CellId(reader.u16()?),
        listing: match reader.u8()? {
            0 => Listing::Gone,
            1 => Listing::Ready,
            2 => Listing::Draining,
            other => return Err(format!("unknown mode {other} in a list entry")),
        },
        weight: reader.f32()?,
        started: Some(reader.f64()?).filter(|at| *at > 0.0).map(Moment::from_seconds),
    })
}

fn mask(operations: &[OperationId]) -> u16 {
    operations.iter().fold(0, |sum, operation| sum | 1u16.checked_shl(operation.0.into()).unwrap_or(0))
}

pub fn write(conductor: u16, action: &Action, out: &mut Vec<u8>) {
    let start = |code: u8, out: &mut Vec<u8>| {
        out.push(code);
        out.extend(conductor.to_le_bytes());
    };
    let node = |node: &NodeId, out: &mut Vec<u8>| {
        out.extend(node.address);
        out.extend(node.port.to_le_bytes());
    };
    match action {
        Action::Tell { peer, bytes } => {
            start(16, out);
            out.extend(peer.map_or(u32::MAX, |peer| peer.0).to_le_bytes());
            out.extend((bytes.len() as u16).to_le_bytes());
            out.extend(bytes);
        }
        Action::Mark { mark, everyone } => {
            start(17, out);
            out.extend(mark.0.to_le_bytes());
            out.push(u8::from(*everyone));
        }
        Action::ReadList => start(18, out),
        Action::Remark { text } => write_text(19, conductor, text, out),
        Action::Withdraw { node: id, out: is_out } => {
            start(20, out);
            node(id, out);
            out.push(u8::from(*is_out));
        }
        Action::Bind { proxy, table, operations } => {
            start(21, out);
            out.extend(proxy.0.to_le_bytes());
            out.extend(table.0.to_le_bytes());
            out.extend(mask(operations).to_le_bytes());
        }
        Action::SetLine { table, node: id, weight } => {
            start(22, out);
            out.extend(table.0.to_le_bytes());
            node(id, out);
            out.extend((*weight as f32).to_le_bytes());
        }
        Action::ClearTable { table } => {
            start(23, out);
            out.extend(table.0.to_le_bytes());
        }
        Action::SetTimer { after, timer } => {
            start(24, out);
            out.extend(after.seconds().to_le_bytes());
            out.extend(timer.0.to_le_bytes());
        }
        Action::SetLevel { table, operations, quota, retry } => {
            start(25, out);
            out.extend(table.map_or(u16::MAX, |table| table.0).to_le_bytes());
            out.extend(mask(operations).to_le_bytes());
            out.extend((*quota as f32).to_le_bytes());
            out.push(match retry {
                Retry::Never => 0,
                Retry::AfterProofItNeverRan => 1,
                Retry::OnceAfterAnyFailure => 2,
                Retry::TwiceAfterAnyFailure => 3,
            });
        }
        Action::Watch { on } => {
            start(26, out);
            out.push(u8::from(*on));
        }
        Action::Probe { node: id } => {
            start(28, out);
            node(id, out);
        }
    }
}

fn write_text(code: u8, conductor: u16, text: &str, out: &mut Vec<u8>) {
    let end = (0..=text.len().min(1000)).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
    out.push(code);
    out.extend(conductor.to_le_bytes());
    out.extend((end as u16).to_le_bytes());
    out.extend(&text.as_bytes()[..end]);
}

/// The wire's way to say that the decisions have failed.
pub fn write_failure(conductor: u16, text: &str, out: &mut Vec<u8>) {
    write_text(27, conductor, text, out);
}

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
];

const COUNTS: &[(&str, &str)] =
    &[("classes", "operation.count"), ("feedback.fields", "report.field.count"), ("zones", "zone.count")];

pub fn settings(text: &str) -> Result<Facts, String> {
    let value: Value = serde_json::from_str(text).map_err(|e| format!("settings are no JSON: {e}"))?;
    let mut facts = Facts::default();
    flatten("", &value, &mut facts);
    Ok(facts)
}

fn flatten(path: &str, value: &Value, facts: &mut Facts) {
    let inner = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, value)| flatten(&inner(key), value, facts)),
        Value::Array(items) => {
            if let Some((_, ours)) = COUNTS.iter().find(|(wire, _)| *wire == path) {
                facts.0.insert(ours.to_string(), Fact::Number(items.len() as f64));
            }
            items.iter().enumerate().for_each(|(at, value)| flatten(&inner(&at.to_string()), value, facts));
        }
        Value::Number(number) => put(path, Fact::Number(number.as_f64().unwrap_or(f64::NAN)), facts),
        Value::Bool(flag) => put(path, Fact::Flag(*flag), facts),
        Value::String(text) => put(path, Fact::Text(text.clone()), facts),
        Value::Null => {}
    }
}

fn put(path: &str, fact: Fact, facts: &mut Facts) {
    let plain = NAMES.iter().find(|(wire, _)| *wire == path).map(|(_, ours)| ours.to_string());
    let starred = || {
        OPERATION_NAMES.iter().find_map(|(wire, ours)| {
            let (head, tail) = wire.split_once('*')?;
            let at = path.strip_prefix(head)?.strip_suffix(tail)?;
            at.parse::<usize>().ok().map(|_| ours.replace('*', at))
        })
    };
    let Some(name) = plain.or_else(starred) else { return };
    let fact = match fact {
        Fact::Text(text) => {
            let word = WORDS.iter().find(|(part, wire, _)| name.contains(part) && *wire == text);
            Fact::Text(word.map_or(text, |(_, _, ours)| ours.to_string()))
        }
        other => other,
    };
    facts.0.insert(name, fact);
}
