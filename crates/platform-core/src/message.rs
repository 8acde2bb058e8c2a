//! Parsing of messages from proxies and collectors.
//!
//! A message that lacks a field, or holds a value that can't be, is rejected whole: half of a report would
//! be taken for a complete one.

use std::collections::BTreeMap;
use std::str::FromStr;
use wheelspread::ids::{MarkerId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread_settings::{metric_name, Names};

/// A parsed message. The words on the wire are in docs/platform.md.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Asks whether the controller is alive.
    Ping,
    /// The first message of a collector.
    CollectorHello { zone: ZoneId },
    /// The first message on a proxy's stream.
    ProxyJoin(ProxyJoin),
    /// A proxy has applied everything up to a version marker.
    Acknowledgement {
        proxy: ProxyId,
        marker: MarkerId,
        latency: Span,
    },
    /// What the proxies of a zone observed at a node.
    NodeLoadReport {
        zone: ZoneId,
        node: String,
        attempts: f64,
        failures: f64,
        mean_latency: Span,
        window: Span,
        metrics: Vec<f64>,
    },
    /// What came to a proxy.
    DemandReport {
        proxy: ProxyId,
        operation: OperationId,
        requests: f64,
        failures: f64,
        window: Span,
    },
}

/// A proxy that joins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyJoin {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    /// Requests a second, roughly.
    pub usual_rate: f64,
    /// It holds no table that a controller has published.
    pub fresh: bool,
}

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// The strings are no kind followed by pairs of name and value, or no UTF-8.
    #[error("a message without a kind, or a name without a value")]
    Malformed,
    /// The kind of message is unknown.
    #[error("`{0}` is no message to a controller")]
    UnknownKind(String),
    /// A field appears more than once.
    #[error("`{0}` is named twice")]
    DuplicateField(String),
    /// A field is missing.
    #[error("`{0}` is missing")]
    MissingField(&'static str),
    /// A value can't be read, or is out of range.
    #[error("`{value}` can't be the `{field}`")]
    InvalidValue {
        /// The field on the wire.
        field: &'static str,
        /// The beginning of its value.
        value: String,
    },
    /// A zone, an operation or a metric that the settings don't name.
    #[error("`{0}` names nothing that there is")]
    UnknownName(String),
}

/// Limits of values, as the settings give them.
#[derive(Clone, Debug)]
pub struct MessageLimits {
    /// Proxies are numbered from 0 to one less than this.
    pub proxy_count: u16,
    /// No attempt takes longer.
    pub max_attempt_duration: Span,
}

/// The longest window of a report, and the longest latency of an acknowledgement: both are held back while
/// a zone is cut off.
const REPORT_WINDOW_MAX_SECONDS: f64 = 600.0;
const REPORT_WINDOW_MIN_MILLIS: f64 = 1.0;
/// Requests or attempts a second that one report may tell of.
const RATE_MAX: f64 = 1e6;
/// The utilization of cores that are all busy, with the noise of its measurement.
const UTILIZATION_MAX: f64 = 2.0;
/// Any other metric of a load report.
const METRIC_MAX: f64 = 1e6;
/// Marker ids on the wire are below this.
const MARKER_ID_LIMIT: u32 = 65536;
/// Characters of a bad value that go into an error.
const ERROR_VALUE_CHARS_MAX: usize = 40;

fn truncated(text: &str) -> String {
    text.chars().take(ERROR_VALUE_CHARS_MAX).collect()
}

/// The fields of a message by name.
struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn from_pairs(strings: &[&'a str]) -> Result<Fields<'a>, MessageError> {
        if !strings.len().is_multiple_of(2) {
            return Err(MessageError::Malformed);
        }
        let mut fields = BTreeMap::new();
        for pair in strings.chunks_exact(2) {
            if fields.insert(pair[0], pair[1]).is_some() {
                return Err(MessageError::DuplicateField(truncated(pair[0])));
            }
        }
        Ok(Fields(fields))
    }

    fn text(&self, name: &'static str) -> Result<&'a str, MessageError> {
        self.0
            .get(name)
            .copied()
            .ok_or(MessageError::MissingField(name))
    }

    fn parse<T: FromStr>(
        &self,
        name: &'static str,
        is_valid: impl Fn(&T) -> bool,
    ) -> Result<T, MessageError> {
        let text = self.text(name)?;
        let invalid = || MessageError::InvalidValue {
            field: name,
            value: truncated(text),
        };
        text.parse().ok().filter(is_valid).ok_or_else(invalid)
    }

    fn number(&self, name: &'static str, min: f64, max: f64) -> Result<f64, MessageError> {
        self.parse(name, |number: &f64| (min..=max).contains(number))
    }

    fn count(&self, name: &'static str, max: f64) -> Result<f64, MessageError> {
        self.parse(name, |count: &u64| *count as f64 <= max)
            .map(|count| count as f64)
    }

    /// Durations are in milliseconds on the wire.
    fn span(&self, name: &'static str, max: Span) -> Result<Span, MessageError> {
        let millis = self.number(name, 0.0, max.seconds() * 1e3)?;
        Ok(Span::from_seconds(millis / 1e3))
    }

    /// The position of a named thing in the settings' list of such names.
    fn index_of(&self, name: &'static str, known: &[String]) -> Result<usize, MessageError> {
        let text = self.text(name)?;
        known
            .iter()
            .position(|known| known == text)
            .ok_or_else(|| MessageError::UnknownName(text.to_string()))
    }

    fn zone(&self, names: &Names) -> Result<ZoneId, MessageError> {
        Ok(ZoneId(self.index_of("az", &names.zones)? as u16))
    }

    fn proxy(&self, limits: &MessageLimits) -> Result<ProxyId, MessageError> {
        self.parse("sidecar", |number: &u16| *number < limits.proxy_count)
            .map(ProxyId)
    }

    fn window(&self) -> Result<Span, MessageError> {
        let max = REPORT_WINDOW_MAX_SECONDS * 1e3;
        let millis = self.number("window", REPORT_WINDOW_MIN_MILLIS, max)?;
        Ok(Span::from_seconds(millis / 1e3))
    }
}

/// Parses the strings of one message.
pub fn parse(
    strings: &[&[u8]],
    names: &Names,
    limits: &MessageLimits,
) -> Result<Message, MessageError> {
    let texts: Vec<&str> = strings
        .iter()
        .map(|string| std::str::from_utf8(string).map_err(|_| MessageError::Malformed))
        .collect::<Result<_, _>>()?;
    let Some((kind, pairs)) = texts.split_first() else {
        return Err(MessageError::Malformed);
    };
    let fields = Fields::from_pairs(pairs)?;
    match *kind {
        "ping" => Ok(Message::Ping),
        "collector" => Ok(Message::CollectorHello {
            zone: fields.zone(names)?,
        }),
        "joined" => parse_join(&fields, names, limits),
        "applied" => parse_acknowledgement(&fields, limits),
        "heard" => parse_node_load_report(&fields, names, limits),
        "usage" => parse_demand_report(&fields, names, limits),
        other => Err(MessageError::UnknownKind(truncated(other))),
    }
}

fn parse_join(
    fields: &Fields,
    names: &Names,
    limits: &MessageLimits,
) -> Result<Message, MessageError> {
    Ok(Message::ProxyJoin(ProxyJoin {
        proxy: fields.proxy(limits)?,
        zone: fields.zone(names)?,
        usual_rate: fields.number("share", 0.0, RATE_MAX)?,
        fresh: fields.parse("standing", |flag: &u8| *flag <= 1)? == 1,
    }))
}

fn parse_acknowledgement(fields: &Fields, limits: &MessageLimits) -> Result<Message, MessageError> {
    Ok(Message::Acknowledgement {
        proxy: fields.proxy(limits)?,
        marker: MarkerId(fields.parse("version", |marker: &u32| *marker < MARKER_ID_LIMIT)?),
        latency: fields.span("lag_ms", Span::from_seconds(REPORT_WINDOW_MAX_SECONDS))?,
    })
}

fn parse_node_load_report(
    fields: &Fields,
    names: &Names,
    limits: &MessageLimits,
) -> Result<Message, MessageError> {
    let window = fields.window()?;
    let attempts = fields.count("n", RATE_MAX * window.seconds())?;
    let failures = fields.count("bad", attempts)?;
    // Where no attempt succeeded there is no mean latency to report.
    let mean_latency = if fields.0.contains_key("avg") || failures < attempts {
        fields.span("avg", limits.max_attempt_duration)?
    } else {
        Span::ZERO
    };
    let metrics = match fields.0.get("report") {
        Some(text) => parse_load_metrics(text, ':', names)?,
        None => Vec::new(),
    };
    Ok(Message::NodeLoadReport {
        zone: fields.zone(names)?,
        node: fields.text("host")?.to_string(),
        attempts,
        failures,
        mean_latency,
        window,
        metrics,
    })
}

fn parse_demand_report(
    fields: &Fields,
    names: &Names,
    limits: &MessageLimits,
) -> Result<Message, MessageError> {
    let window = fields.window()?;
    let requests = fields.count("n", RATE_MAX * window.seconds())?;
    Ok(Message::DemandReport {
        proxy: fields.proxy(limits)?,
        operation: OperationId(fields.index_of("kind", &names.operations)? as u8),
        requests,
        failures: fields.count("bad", requests)?,
        window,
    })
}

/// Parses a node's load metrics (`NAME:VALUE,..`, with `separator` in place of the colon) into the order in
/// which the settings list them. A metric that the text does not name is `NaN`.
pub fn parse_load_metrics(
    text: &str,
    separator: char,
    names: &Names,
) -> Result<Vec<f64>, MessageError> {
    let mut metrics = vec![f64::NAN; names.metrics.len()];
    for pair in text.trim().split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once(separator).ok_or(MessageError::Malformed)?;
        let invalid = || MessageError::InvalidValue {
            field: "report",
            value: truncated(pair),
        };
        let metric = metric_name(name);
        let max = if metric == "utilization" {
            UTILIZATION_MAX
        } else {
            METRIC_MAX
        };
        let value: f64 = value
            .parse()
            .ok()
            .filter(|value| (0.0..=max).contains(value))
            .ok_or_else(invalid)?;
        let index = names.metrics.iter().position(|known| known == metric);
        metrics[index.ok_or_else(|| MessageError::UnknownName(truncated(name)))?] = value;
    }
    Ok(metrics)
}
