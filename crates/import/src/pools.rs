//! From directives to pools: an `upstream` is a pool of nodes, each `location` that passes to it is an operation
//! of the pool. Every directive that was read has a fate, so that nothing is dropped without a word.

use crate::load::Loaded;
use crate::parse::{Directive, Place};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::RetryClass;
use wheelspread_controller_core::span_format;

/// What became of a directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    Carried,
    /// Something had to be chosen that the file does not say: to be looked at by a person.
    Assumed,
    /// Not carried over.
    Left,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Note {
    pub at: String,
    pub text: String,
    pub fate: Fate,
    pub why: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub node: NodeId,
    pub weight: f64,
    pub place: Place,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    pub name: String,
    /// As the location is written.
    pub location: String,
    pub integration_timeout: Span,
    pub repeat: RetryClass,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    pub name: String,
    pub servers: Vec<Server>,
    pub operations: Vec<Operation>,
    pub errors_until_avoided: u32,
    pub connection_idle: Option<Span>,
}

#[derive(Debug, Default)]
pub struct Imported {
    pub pools: Vec<Pool>,
    pub notes: Vec<Note>,
    /// Directives that were read, includes among them.
    pub read: usize,
}

/// nginx's own: tries a server may fail before it is avoided, and how long an answer is waited for.
const MAX_FAILS: u32 = 1;
const READ_TIMEOUT: f64 = 60.0;
const DEFAULT_PORT: u16 = 80;

/// What goes for locations unless they say otherwise, as it is handed down from block to block.
#[derive(Clone, Debug)]
struct Inherited {
    read_timeout: Option<Span>,
    next_timeout: Option<Span>,
    next: Option<Vec<String>>,
}

struct Importer {
    imported: Imported,
    pools: BTreeMap<String, Pool>,
    order: Vec<String>,
    names: BTreeMap<String, BTreeSet<String>>,
}

pub fn pools(loaded: &Loaded) -> Imported {
    let mut importer = Importer {
        imported: Imported::default(),
        pools: BTreeMap::new(),
        order: Vec::new(),
        names: BTreeMap::new(),
    };
    let directives = &loaded.directives;
    importer.imported.read = directives.iter().map(Directive::count).sum::<usize>()
        + loaded.missing.len()
        + loaded.followed;
    for (directive, why) in &loaded.missing {
        importer.note(directive, Fate::Left, why);
    }
    // Upstreams first, wherever they stand: a location may come before the one that it names.
    importer.upstreams(directives, true);
    let inherited = Inherited {
        read_timeout: None,
        next_timeout: None,
        next: None,
    };
    importer.rest(directives, &inherited, true);
    let Importer {
        mut imported,
        mut pools,
        order,
        ..
    } = importer;
    for name in order {
        let Some(pool) = pools.remove(&name) else {
            continue;
        };
        if pool.servers.is_empty() || pool.operations.is_empty() {
            let lacks = if pool.servers.is_empty() {
                "server that can be listed"
            } else {
                "location"
            };
            let why = format!("no {lacks}: nothing is written for it");
            let (at, text) = (String::new(), format!("upstream {name}"));
            imported.notes.push(Note {
                at,
                text,
                fate: Fate::Left,
                why,
            });
            continue;
        }
        imported.pools.push(pool);
    }
    imported
}

/// A server's address: IPv4 with a port, 80 where it has none.
fn address(text: &str) -> Result<NodeId, &'static str> {
    if text.starts_with("unix:") {
        return Err("a Unix socket is no node that gateways elsewhere could reach");
    }
    if text.starts_with('[') {
        return Err("nodes have IPv4 addresses");
    }
    if text.contains('$') {
        return Err("a variable has no address");
    }
    let (host, port) = match text.rsplit_once(':') {
        Some((host, port)) => (host, port.parse().map_err(|_| "its port can't be read")?),
        None => (text, DEFAULT_PORT),
    };
    let host: std::net::Ipv4Addr = host
        .parse()
        .map_err(|_| "a name has to be looked up: list its addresses")?;
    Ok(NodeId {
        address: host.octets(),
        port,
    })
}

/// nginx's spans: `60`, `60s`, `1m30s`, `500ms`.
fn span(text: &str) -> Option<Span> {
    let mut seconds = 0.0;
    let mut rest = text;
    if rest.is_empty() {
        return None;
    }
    while !rest.is_empty() {
        let digits = rest
            .find(|c: char| !c.is_ascii_digit())
            .unwrap_or(rest.len());
        let number: f64 = rest[..digits].parse().ok()?;
        let unit_end = rest[digits..]
            .find(|c: char| c.is_ascii_digit())
            .map_or(rest.len(), |at| digits + at);
        let factor = match &rest[digits..unit_end] {
            "ms" => 1e-3,
            "" | "s" => 1.0,
            "m" => 60.0,
            "h" => 3600.0,
            "d" => 86400.0,
            _ => return None,
        };
        seconds += number * factor;
        rest = &rest[unit_end..];
    }
    (seconds > 0.0 && seconds < 30.0 * 86400.0).then(|| Span::from_seconds(seconds))
}

impl Importer {
    fn note(&mut self, directive: &Directive, fate: Fate, why: &str) {
        let (at, text) = (directive.place.to_string(), directive.text());
        self.imported.notes.push(Note {
            at,
            text,
            fate,
            why: why.to_string(),
        });
    }

    fn left(&mut self, directive: &Directive, why: &str) {
        self.note(directive, Fate::Left, why);
        // What stands in it is left with it, line by line.
        for inner in directive.block.iter().flatten() {
            self.left(inner, "it stands in a block that is left");
        }
    }

    fn upstreams(&mut self, directives: &[Directive], http: bool) {
        for directive in directives {
            match (directive.name.as_str(), &directive.block) {
                ("upstream", Some(block)) if http => self.upstream(directive, block),
                ("http", Some(block)) => self.upstreams(block, true),
                _ => {}
            }
        }
    }

    fn upstream(&mut self, directive: &Directive, block: &[Directive]) {
        let [name] = &directive.arguments[..] else {
            return self.left(directive, "an upstream has one name");
        };
        if self.pools.contains_key(name) {
            return self.left(directive, "an upstream of this name was read before");
        }
        self.note(directive, Fate::Carried, "a pool");
        let mut pool = Pool {
            name: name.clone(),
            ..Pool::default()
        };
        let mut fails: BTreeSet<u32> = BTreeSet::new();
        for inner in block {
            self.in_upstream(inner, &mut pool, &mut fails);
        }
        pool.errors_until_avoided = fails.iter().next_back().copied().unwrap_or(MAX_FAILS);
        if fails.len() > 1 {
            let why = format!(
                "servers have different max_fails: the largest, {}, goes for all",
                pool.errors_until_avoided
            );
            self.note(directive, Fate::Assumed, &why);
        }
        self.order.push(name.clone());
        self.pools.insert(name.clone(), pool);
    }

    fn in_upstream(&mut self, directive: &Directive, pool: &mut Pool, fails: &mut BTreeSet<u32>) {
        match (directive.name.as_str(), &directive.arguments[..]) {
            ("server", [text, rest @ ..]) => self.server(directive, text, rest, pool, fails),
            ("keepalive_timeout", [text]) => match span(text) {
                Some(idle) => {
                    pool.connection_idle = Some(idle);
                    self.note(directive, Fate::Carried, "proxies.connection_idle");
                }
                None => self.left(directive, "no span of time"),
            },
            (
                "least_conn" | "ip_hash" | "hash" | "random" | "least_time" | "sticky" | "ntlm",
                _,
            ) => self.left(
                directive,
                "how servers are picked is the conductor's to decide",
            ),
            ("keepalive" | "keepalive_requests" | "keepalive_time" | "queue", _) => {
                self.left(directive, "gateways keep their connections by themselves")
            }
            ("zone" | "state" | "resolver" | "resolver_timeout", _) => {
                self.left(directive, "of the workings of nginx itself")
            }
            _ => self.left(directive, "not known in an upstream"),
        }
    }

    fn server(
        &mut self,
        directive: &Directive,
        text: &str,
        rest: &[String],
        pool: &mut Pool,
        fails: &mut BTreeSet<u32>,
    ) {
        let node = match address(text) {
            Ok(node) => node,
            Err(why) => return self.left(directive, why),
        };
        let (mut weight, mut max_fails, mut lost) = (1.0, MAX_FAILS, Vec::new());
        for parameter in rest {
            let (key, value) = parameter.split_once('=').unwrap_or((parameter, ""));
            match key {
                "down" => return self.left(directive, "marked down: it is not listed"),
                "backup" => return self.left(
                    directive,
                    "a backup serves only when all others are down: list it when it should serve",
                ),
                "weight" => match value.parse::<u32>() {
                    Ok(number) if number > 0 => weight = f64::from(number),
                    _ => return self.left(directive, "its weight can't be read"),
                },
                "max_fails" => match value.parse() {
                    Ok(number) => max_fails = number,
                    Err(_) => return self.left(directive, "its max_fails can't be read"),
                },
                // Gateways avoid a node for a span of their own.
                _ => lost.push(parameter.as_str()),
            }
        }
        if pool.servers.iter().any(|server| server.node == node) {
            return self.left(
                directive,
                "listed before in this pool: a node is listed once",
            );
        }
        fails.insert(max_fails);
        pool.servers.push(Server {
            node,
            weight,
            place: directive.place.clone(),
        });
        match lost.is_empty() {
            true => self.note(directive, Fate::Carried, "a node"),
            false => {
                let why = format!("a node; not carried over: {}", lost.join(" "));
                self.note(directive, Fate::Assumed, &why);
            }
        }
    }

    fn rest(&mut self, directives: &[Directive], from: &Inherited, http: bool) {
        let mut inherited = from.clone();
        // What a block says of its locations goes for those before it too.
        for directive in directives {
            self.inherit(directive, &mut inherited);
        }
        for directive in directives {
            match (directive.name.as_str(), &directive.block) {
                ("upstream", Some(_)) if http => {}
                (
                    "proxy_read_timeout" | "proxy_next_upstream_timeout" | "proxy_next_upstream",
                    None,
                ) => {}
                (name @ ("http" | "server"), Some(block)) => {
                    self.note(directive, Fate::Carried, "read through for its blocks");
                    self.rest(block, &inherited, name == "http");
                }
                ("location", Some(block)) => self.location(directive, block, &inherited),
                ("stream", Some(_)) => self.left(directive, "only HTTP is carried over"),
                ("events" | "mail", Some(_)) => {
                    self.left(directive, "of the workings of nginx itself")
                }
                ("upstream", Some(_)) => self.left(directive, "only HTTP is carried over"),
                _ => self.left(directive, "of no pool and no operation"),
            }
        }
    }

    /// Takes in what goes for locations below; notes it once, where it stands.
    fn inherit(&mut self, directive: &Directive, inherited: &mut Inherited) {
        let (name, arguments) = (directive.name.as_str(), &directive.arguments);
        match (name, &arguments[..]) {
            ("proxy_read_timeout" | "proxy_next_upstream_timeout", [text]) => {
                let told = span(text);
                if told.is_none() && text != "0" {
                    return self.left(directive, "no span of time");
                }
                if name == "proxy_read_timeout" {
                    inherited.read_timeout = told;
                } else {
                    inherited.next_timeout = told;
                }
                self.note(
                    directive,
                    Fate::Carried,
                    "integration_timeout of the locations here",
                );
            }
            ("proxy_next_upstream", words) if !words.is_empty() => {
                inherited.next = Some(words.to_vec());
                self.note(
                    directive,
                    Fate::Carried,
                    "how operations here may be repeated",
                );
            }
            ("proxy_read_timeout" | "proxy_next_upstream_timeout" | "proxy_next_upstream", _) => {
                self.left(directive, "its arguments can't be read")
            }
            _ => {}
        }
    }

    fn location(&mut self, directive: &Directive, block: &[Directive], from: &Inherited) {
        let mut inherited = from.clone();
        for inner in block {
            self.inherit(inner, &mut inherited);
        }
        let passes = block.iter().filter(|inner| inner.name == "proxy_pass");
        let target = passes
            .clone()
            .find_map(|pass| pass.arguments.first().map(|text| (pass, text)));
        let nested = block.iter().any(|inner| inner.name == "location");
        match &target {
            None if nested => self.note(directive, Fate::Carried, "read through for its blocks"),
            None => self.note(directive, Fate::Left, "it passes nothing on"),
            Some((pass, text)) => self.passes(directive, pass, text, &inherited),
        }
        for inner in block {
            match (inner.name.as_str(), &inner.block) {
                (
                    "proxy_read_timeout" | "proxy_next_upstream_timeout" | "proxy_next_upstream",
                    None,
                ) => {}
                ("proxy_pass", None)
                    if target
                        .as_ref()
                        .is_some_and(|(pass, _)| std::ptr::eq(*pass, inner)) => {}
                ("location", Some(block)) => self.location(inner, block, &inherited),
                ("if" | "limit_except", Some(_)) => {
                    self.left(inner, "what depends on a request is not known to tables")
                }
                ("limit_req" | "limit_conn" | "limit_rate", _) => {
                    self.left(inner, "admission is the conductor's to decide")
                }
                ("proxy_next_upstream_tries", _) => self.left(
                    inner,
                    "how often something is repeated is the conductor's to decide",
                ),
                ("proxy_connect_timeout" | "proxy_send_timeout", _) => {
                    self.left(inner, "gateways have their own")
                }
                _ => self.left(inner, "of no pool and no operation"),
            }
        }
    }

    fn passes(
        &mut self,
        location: &Directive,
        pass: &Directive,
        text: &str,
        inherited: &Inherited,
    ) {
        let stripped = text
            .strip_prefix("http://")
            .or_else(|| text.strip_prefix("https://"));
        let Some(stripped) = stripped else {
            self.note(location, Fate::Left, "it passes to no pool");
            return self.left(pass, "only http:// and https:// are carried over");
        };
        let (host, path) = match stripped.find('/') {
            Some(at) => (&stripped[..at], &stripped[at..]),
            None => (stripped, ""),
        };
        if host.contains('$') {
            self.note(
                location,
                Fate::Left,
                "where it passes to is only known with a request",
            );
            return self.left(pass, "a variable names no pool");
        }
        // A location may name a server itself: that is a pool of one.
        if !self.pools.contains_key(host) {
            match address(host) {
                Ok(node) => {
                    let servers = vec![Server {
                        node,
                        weight: 1.0,
                        place: pass.place.clone(),
                    }];
                    let name = host.to_string();
                    let pool = Pool {
                        name,
                        servers,
                        errors_until_avoided: MAX_FAILS,
                        ..Pool::default()
                    };
                    self.order.push(host.to_string());
                    self.pools.insert(host.to_string(), pool);
                }
                Err(_) => {
                    self.note(location, Fate::Left, "it passes to no pool");
                    return self.left(
                        pass,
                        "no upstream of this name was read, and it is no address",
                    );
                }
            }
        }
        let why = match (path.is_empty(), text.starts_with("https://")) {
            (true, false) => None,
            (false, false) => Some(format!(
                "its path `{path}` is not: gateways pass paths on as they come"
            )),
            (_, true) => Some("https is not: how gateways reach nodes is theirs".to_string()),
        };
        match why {
            None => self.note(pass, Fate::Carried, "the pool of the operation"),
            Some(why) => self.note(
                pass,
                Fate::Assumed,
                &format!("the pool of the operation; {why}"),
            ),
        }
        let written = location.arguments.join(" ");
        let name = self.name(host, &written);
        let (repeat, repeat_why) = repeat(inherited.next.as_deref());
        let timeout = inherited.next_timeout.or(inherited.read_timeout);
        let timeout_why = match timeout {
            Some(_) => String::new(),
            None => format!("; integration_timeout is nginx's own {READ_TIMEOUT:.0} s"),
        };
        let why = format!(
            "operation `{name}`, {repeat_why}{timeout_why}; latency_objective and billed_value are not in the file"
        );
        self.note(location, Fate::Assumed, &why);
        let integration_timeout = timeout.unwrap_or(Span::from_seconds(READ_TIMEOUT));
        let operation = Operation {
            name,
            location: written,
            integration_timeout,
            repeat,
        };
        if let Some(pool) = self.pools.get_mut(host) {
            pool.operations.push(operation);
        }
    }

    /// A name for an operation that settings can have, unlike the others of its pool.
    fn name(&mut self, pool: &str, location: &str) -> String {
        let plain: String = location
            .chars()
            .map(|c| {
                if c.is_ascii_alphanumeric() || c == '_' {
                    c
                } else {
                    '-'
                }
            })
            .collect();
        let mut name: String = plain
            .split('-')
            .filter(|part| !part.is_empty())
            .collect::<Vec<_>>()
            .join("-");
        name.truncate(80);
        if name.is_empty() {
            name = "all".to_string();
        }
        let taken = self.names.entry(pool.to_string()).or_default();
        let mut free = name.clone();
        let mut number = 2;
        while !taken.insert(free.clone()) {
            free = format!("{name}-{number}");
            number += 1;
        }
        free
    }
}

/// What may be repeated. The file does not say what an operation does, so nothing is repeated that it does not
/// allow to be repeated whatever it is.
fn repeat(next: Option<&[String]>) -> (RetryClass, &'static str) {
    let has = |word: &str| next.is_some_and(|words| words.iter().any(|known| known == word));
    match (has("off"), has("non_idempotent")) {
        (false, true) => (RetryClass::Idempotent, "idempotent as non_idempotent says"),
        (true, _) => (RetryClass::SideEffecting, "side-effecting as off says"),
        (false, false) => (
            RetryClass::SideEffecting,
            "taken to be side-effecting: make it idempotent if all of it may run again",
        ),
    }
}

impl Imported {
    /// Notes of one fate.
    pub fn of(&self, fate: Fate) -> impl Iterator<Item = &Note> {
        self.notes.iter().filter(move |note| note.fate == fate)
    }
}

impl Pool {
    /// The conductor's file. `zone`: all nodes stand there, as nginx knows of none.
    pub fn file(&self, zone: &str, listen: &str) -> String {
        let mut text = format!(
            "# Made from upstream `{}`. Figures marked `look` are not in nginx's file: look at them.\n\
             conductor: {{name: {}, listen: \"{listen}\", tables: tables, list: nodes.json}}\n\
             deployment:\n  zones: [{zone}]\n  operations:\n",
            self.name,
            plain(&self.name)
        );
        for operation in &self.operations {
            let timeout = operation.integration_timeout;
            let objective = timeout * 0.25;
            let repeat = match operation.repeat {
                RetryClass::Idempotent => "idempotent",
                _ => "side-effecting",
            };
            text.push_str(&format!(
                "    - name: {}  # location {}\n      latency_objective: {}  # look\n      integration_timeout: {}\n      \
                 billed_value: 1  # look\n      repeat: {repeat}  # look\n",
                operation.name,
                operation.location.replace(['\n', '\r'], " "),
                span_format::write(objective),
                span_format::write(timeout),
            ));
        }
        let idle = self.connection_idle.map_or(String::new(), |idle| {
            format!(", connection_idle: {}", span_format::write(idle))
        });
        text.push_str(&format!(
            "  proxies: {{count: 4, errors_until_avoided: {}{idle}, usual_rate: 10}}  # look\n  \
             rules: {{without_node_at_most: 2s, drain_grace: 2s, cold_start_share: 0.2, warm_after: 18s,\n          \
             cold_overload_factor: 4, cold_overload_span: 3s}}  # look\n  \
             channel: {{lines_waiting_at_most: 9000, head_lines: 6, lines_per_second: 9000, delay_at_most: 500ms}}  # look\n",
            self.errors_until_avoided
        ));
        text
    }
}

/// A name that paths and settings can have.
pub fn plain(name: &str) -> String {
    let fine = |c: char| {
        if c.is_ascii_alphanumeric() || c == '-' || c == '_' {
            c
        } else {
            '-'
        }
    };
    name.chars().map(fine).take(100).collect()
}
