//! Messages of proxies and collectors, from strings to figures. A message that lacks something, or says
//! what can't be, is refused whole: half of a report would be believed like all of one.

use std::collections::BTreeMap;
use std::str::FromStr;
use wheelspread::ids::{MarkerId, OperationId, ProxyId, ZoneId};
use wheelspread::time::Span;
use wheelspread_settings::{field, Names};

#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Ping,
    Collector {
        zone: ZoneId,
    },
    Joined {
        proxy: ProxyId,
        zone: ZoneId,
        usual_rate: f64,
        standing: bool,
    },
    Applied {
        proxy: ProxyId,
        mark: MarkerId,
        took: Span,
    },
    /// What the proxies of a zone met at a node.
    Met {
        zone: ZoneId,
        node: String,
        tries: f64,
        errored: f64,
        latency: Span,
        over: Span,
        load: Vec<f64>,
    },
    Offered {
        proxy: ProxyId,
        operation: OperationId,
        count: f64,
        errored: f64,
        over: Span,
    },
}

#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum BadMessage {
    #[error("a message without a kind, or a name without a value")]
    Shape,
    #[error("`{0}` is no message to a conductor")]
    Kind(String),
    #[error("`{0}` is named twice")]
    Twice(String),
    #[error("`{0}` is missing")]
    Missing(&'static str),
    #[error("`{value}` can't be the `{field}`")]
    Value { field: &'static str, value: String },
    #[error("`{0}` names nothing that there is")]
    Unknown(String),
}

/// What the settings bound figures by.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub proxies: u16,
    /// No try takes longer.
    pub longest_try: Span,
}

/// The longest time that sums may cover, in seconds: they are held back while a zone is cut off.
const LONGEST_SUMS: f64 = 600.0;
/// Invocations or tries a second that one line may tell of.
const MOST_RATE: f64 = 1e6;
/// A report's figures: cores that are all busy, with the noise of its measurement; anything else.
const MOST_LOAD: (f64, f64) = (2.0, 1e6);

struct Fields<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Fields<'a> {
    fn text(&self, name: &'static str) -> Result<&'a str, BadMessage> {
        self.0.get(name).copied().ok_or(BadMessage::Missing(name))
    }

    fn read<T: FromStr>(
        &self,
        name: &'static str,
        fits: impl Fn(&T) -> bool,
    ) -> Result<T, BadMessage> {
        let text = self.text(name)?;
        let bad = || BadMessage::Value {
            field: name,
            value: text.chars().take(40).collect(),
        };
        text.parse().ok().filter(fits).ok_or_else(bad)
    }

    fn number(&self, name: &'static str, least: f64, most: f64) -> Result<f64, BadMessage> {
        self.read(name, |number: &f64| (least..=most).contains(number))
    }

    fn count(&self, name: &'static str, most: f64) -> Result<f64, BadMessage> {
        self.read(name, |count: &u64| *count as f64 <= most)
            .map(|count| count as f64)
    }

    /// On the wire in milliseconds.
    fn span(&self, name: &'static str, most: Span) -> Result<Span, BadMessage> {
        Ok(Span::from_seconds(
            self.number(name, 0.0, most.seconds() * 1e3)? / 1e3,
        ))
    }

    fn place(&self, name: &'static str, known: &[String]) -> Result<usize, BadMessage> {
        let text = self.text(name)?;
        known
            .iter()
            .position(|known| known == text)
            .ok_or_else(|| BadMessage::Unknown(text.to_string()))
    }

    fn zone(&self, names: &Names) -> Result<ZoneId, BadMessage> {
        Ok(ZoneId(self.place("az", &names.zones)? as u16))
    }

    fn proxy(&self, bounds: &Bounds) -> Result<ProxyId, BadMessage> {
        self.read("sidecar", |number: &u16| *number < bounds.proxies)
            .map(ProxyId)
    }
}

pub fn read(strings: &[&[u8]], names: &Names, bounds: &Bounds) -> Result<Message, BadMessage> {
    let texts: Vec<&str> = strings
        .iter()
        .map(|string| std::str::from_utf8(string).map_err(|_| BadMessage::Shape))
        .collect::<Result<_, _>>()?;
    let Some((kind, rest)) = texts.split_first() else {
        return Err(BadMessage::Shape);
    };
    if rest.len() % 2 != 0 {
        return Err(BadMessage::Shape);
    }
    let mut fields = Fields(BTreeMap::new());
    for pair in rest.chunks_exact(2) {
        if fields.0.insert(pair[0], pair[1]).is_some() {
            return Err(BadMessage::Twice(pair[0].chars().take(40).collect()));
        }
    }
    match *kind {
        "ping" => Ok(Message::Ping),
        "collector" => Ok(Message::Collector {
            zone: fields.zone(names)?,
        }),
        "joined" => Ok(Message::Joined {
            proxy: fields.proxy(bounds)?,
            zone: fields.zone(names)?,
            usual_rate: fields.number("share", 0.0, MOST_RATE)?,
            standing: fields.read("standing", |yes: &u8| *yes <= 1)? == 1,
        }),
        "applied" => Ok(Message::Applied {
            proxy: fields.proxy(bounds)?,
            mark: MarkerId(fields.read("version", |mark: &u32| *mark < 65536)?),
            took: fields.span("lag_ms", Span::from_seconds(LONGEST_SUMS))?,
        }),
        "heard" => met(&fields, names, bounds),
        "usage" => {
            let over = window(&fields)?;
            let count = fields.count("n", MOST_RATE * over.seconds())?;
            Ok(Message::Offered {
                proxy: fields.proxy(bounds)?,
                operation: OperationId(fields.place("kind", &names.operations)? as u8),
                count,
                errored: fields.count("bad", count)?,
                over,
            })
        }
        other => Err(BadMessage::Kind(other.chars().take(40).collect())),
    }
}

fn window(fields: &Fields) -> Result<Span, BadMessage> {
    let millis = fields.number("window", 1.0, LONGEST_SUMS * 1e3)?;
    Ok(Span::from_seconds(millis / 1e3))
}

fn met(fields: &Fields, names: &Names, bounds: &Bounds) -> Result<Message, BadMessage> {
    let over = window(fields)?;
    let tries = fields.count("n", MOST_RATE * over.seconds())?;
    let errored = fields.count("bad", tries)?;
    // Where none succeeded there is no mean to tell.
    let latency = match fields.0.contains_key("avg") || errored < tries {
        true => fields.span("avg", bounds.longest_try)?,
        false => Span::ZERO,
    };
    let load = match fields.0.get("report") {
        Some(text) => load_of(text, ':', names)?,
        None => Vec::new(),
    };
    let (zone, node) = (fields.zone(names)?, fields.text("host")?.to_string());
    Ok(Message::Met {
        zone,
        node,
        tries,
        errored,
        latency,
        over,
        load,
    })
}

/// A load report in the order that the settings name; what it does not say is no number.
pub fn load_of(text: &str, sign: char, names: &Names) -> Result<Vec<f64>, BadMessage> {
    let mut load = vec![f64::NAN; names.fields.len()];
    for part in text.trim().split(',').filter(|part| !part.is_empty()) {
        let (name, value) = part.split_once(sign).ok_or(BadMessage::Shape)?;
        let bad = || BadMessage::Value {
            field: "report",
            value: part.chars().take(40).collect(),
        };
        let known = field(name);
        let most = if known == "utilization" {
            MOST_LOAD.0
        } else {
            MOST_LOAD.1
        };
        let value: f64 = value
            .parse()
            .ok()
            .filter(|value| (0.0..=most).contains(value))
            .ok_or_else(bad)?;
        let place = names.fields.iter().position(|field| field == known);
        load[place.ok_or_else(|| BadMessage::Unknown(name.chars().take(40).collect()))?] = value;
    }
    Ok(load)
}
