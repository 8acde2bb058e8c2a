//! Parsing of messages from proxies and collectors.
//!
//! A message with a missing field or an invalid value is rejected as a whole, since a part of a report would be
//! processed like a complete report.

use std::collections::BTreeMap;
use std::str::FromStr;
use wheelspread::ids::{MarkerId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread_settings::{metric_name, Names};

/// A parsed message. docs/platform.md describes the wire format.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A check whether the controller is alive, answered with `pong`.
    Ping,
    /// The first message of a collector.
    CollectorHello { zone: ZoneId },
    /// The first message of a proxy; its connection becomes the proxy's stream.
    ProxyJoin(ProxyJoin),
    /// A proxy has applied all updates up to a version marker.
    Acknowledgement {
        proxy: ProxyId,
        marker: MarkerId,
        latency: Span,
    },
    /// Attempts that the proxies of a zone sent to a node within a window.
    NodeLoadReport {
        zone: ZoneId,
        node: String,
        attempts: f64,
        failures: f64,
        mean_latency: Span,
        window: Span,
        metrics: Vec<f64>,
    },
    /// Requests of an operation that a proxy received within a window.
    DemandReport {
        proxy: ProxyId,
        operation: OperationId,
        requests: f64,
        failures: f64,
        window: Span,
    },
}

/// The fields of a proxy's join.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyJoin {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    /// The approximate requests per second that the proxy receives.
    pub usual_rate: f64,
    /// The proxy holds no table published by a controller.
    pub fresh: bool,
}

/// Why a message is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MessageError {
    /// The strings are not a kind followed by pairs of name and value, or are not UTF-8.
    #[error("malformed message: invalid UTF-8, no message kind, or a name without a value")]
    Malformed,
    /// The kind of message is unknown.
    #[error("unknown message kind `{0}`")]
    UnknownKind(String),
    /// A field appears more than once.
    #[error("field `{0}` is given twice")]
    DuplicateField(String),
    /// A field is missing.
    #[error("field `{0}` is missing")]
    MissingField(&'static str),
    /// A value can't be parsed, or is out of range.
    #[error("invalid value `{value}` of field `{field}`")]
    InvalidValue {
        /// The field on the wire.
        field: &'static str,
        /// The first characters of its value.
        value: String,
    },
    /// A zone, an operation or a metric is not in the settings.
    #[error("`{0}` is not a zone, operation or metric in the settings")]
    UnknownName(String),
}

/// Limits of field values, derived from the settings.
#[derive(Clone, Debug)]
pub struct MessageLimits {
    /// Proxy ids on the wire are below this.
    pub proxy_count: u16,
    /// The largest mean latency that a node's load report may have.
    pub max_attempt_duration: Span,
}

/// The longest window of a report, and the longest latency of an acknowledgement. Both grow while a zone is
/// disconnected, as its reports and acknowledgements are sent only afterwards.
const REPORT_WINDOW_MAX_SECONDS: f64 = 600.0;
const REPORT_WINDOW_MIN_MILLIS: f64 = 1.0;
/// The largest rate of requests or attempts per second in one report.
const RATE_MAX: f64 = 1e6;
/// The largest valid utilization: 1 when all cores are busy, with a margin for measurement noise.
const UTILIZATION_MAX: f64 = 2.0;
/// The largest value of any other metric of a load report.
const METRIC_MAX: f64 = 1e6;
/// Marker ids on the wire are below this.
const MARKER_ID_LIMIT: u32 = 65536;
/// Characters of an invalid value that are copied into an error.
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

    /// Parses a duration, which is in milliseconds on the wire.
    fn span(&self, name: &'static str, max: Span) -> Result<Span, MessageError> {
        let millis = self.number(name, 0.0, max.seconds() * 1e3)?;
        Ok(Span::from_seconds(millis / 1e3))
    }

    /// The index of the field's value in a list of names from the settings.
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
    // A report without successful attempts needs no mean latency.
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

/// Parses a node's load metrics, `NAME:VALUE,..` with `separator` in place of the colon. The result is in the
/// order of the metrics in the settings; a metric missing from the text is `NaN`.
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
