//! `location` blocks: an operation each, of the pool that it passes to.

use super::notation::{address, span};
use super::{Fate, Importer, Operation, Pool, Server, DEFAULT_MAX_FAILS};
use crate::parse::Directive;
use std::time::Duration;
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::RetryClass;

/// nginx's default of `proxy_read_timeout`.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(60);

const MAX_OPERATION_NAME_BYTES: usize = 80;

/// What applies to locations unless they say otherwise; handed down from block to block.
#[derive(Clone, Debug, Default)]
pub(super) struct Inherited {
    read_timeout: Option<Span>,
    next_timeout: Option<Span>,
    next: Option<Vec<String>>,
}

/// Where a `proxy_pass` goes.
struct PassTarget<'a> {
    host: &'a str,
    path: &'a str,
    is_https: bool,
}

impl PassTarget<'_> {
    fn parse(text: &str) -> Option<PassTarget<'_>> {
        let stripped = text
            .strip_prefix("http://")
            .or_else(|| text.strip_prefix("https://"))?;
        let (host, path) = stripped.split_at(stripped.find('/').unwrap_or(stripped.len()));
        let is_https = text.starts_with("https://");
        Some(PassTarget {
            host,
            path,
            is_https,
        })
    }

    /// What of it is not carried over.
    fn lost(&self) -> Option<String> {
        if self.is_https {
            return Some("https is not: how gateways reach nodes is theirs".to_string());
        }
        let path = self.path;
        (!path.is_empty())
            .then(|| format!("its path `{path}` is not: gateways pass paths on as they come"))
    }
}

impl Importer {
    /// Reads the blocks below, apart from upstreams.
    pub(super) fn blocks(&mut self, directives: &[Directive], from: &Inherited, http: bool) {
        let mut inherited = from.clone();
        // What a block says about its locations applies also to those that stand before it.
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
                    self.record(directive, Fate::Carried, "read through for its blocks");
                    self.blocks(block, &inherited, name == "http");
                }
                ("location", Some(block)) => self.location(directive, block, &inherited),
                ("stream", Some(_)) => self.leave(directive, "only HTTP is carried over"),
                ("events" | "mail", Some(_)) => {
                    self.leave(directive, "of the workings of nginx itself");
                }
                ("upstream", Some(_)) => self.leave(directive, "only HTTP is carried over"),
                _ => self.leave(directive, "of no pool and no operation"),
            }
        }
    }

    /// Takes in what applies to the locations below; recorded once, where it stands.
    fn inherit(&mut self, directive: &Directive, inherited: &mut Inherited) {
        let (name, arguments) = (directive.name.as_str(), &directive.arguments);
        match (name, &arguments[..]) {
            ("proxy_read_timeout" | "proxy_next_upstream_timeout", [text]) => {
                let timeout = span(text);
                if timeout.is_none() && text != "0" {
                    return self.leave(directive, "no span of time");
                }
                if name == "proxy_read_timeout" {
                    inherited.read_timeout = timeout;
                } else {
                    inherited.next_timeout = timeout;
                }
                self.record(
                    directive,
                    Fate::Carried,
                    "integration_timeout of the locations here",
                );
            }
            ("proxy_next_upstream", words) if !words.is_empty() => {
                inherited.next = Some(words.to_vec());
                self.record(
                    directive,
                    Fate::Carried,
                    "how operations here may be repeated",
                );
            }
            ("proxy_read_timeout" | "proxy_next_upstream_timeout" | "proxy_next_upstream", _) => {
                self.leave(directive, "its arguments can't be read");
            }
            _ => {}
        }
    }

    /// Reads a location: an operation, if it passes to a pool.
    fn location(&mut self, directive: &Directive, block: &[Directive], from: &Inherited) {
        let mut inherited = from.clone();
        for inner in block {
            self.inherit(inner, &mut inherited);
        }
        let mut passes = block.iter().filter(|inner| inner.name == "proxy_pass");
        let target = passes.find_map(|pass| pass.arguments.first().map(|text| (pass, text)));
        let nested = block.iter().any(|inner| inner.name == "location");
        match target {
            None if nested => self.record(directive, Fate::Carried, "read through for its blocks"),
            None => self.record(directive, Fate::Left, "it passes nothing on"),
            Some((pass, text)) => self.pass(directive, pass, text, &inherited),
        }
        let pass = target.map(|(pass, _)| pass);
        for inner in block {
            match (inner.name.as_str(), &inner.block) {
                ("location", Some(block)) => self.location(inner, block, &inherited),
                ("proxy_pass", None) if pass.is_some_and(|pass| std::ptr::eq(pass, inner)) => {}
                _ => self.in_location(inner),
            }
        }
    }

    /// What stands in a location, apart from its pass and locations within it.
    fn in_location(&mut self, directive: &Directive) {
        match (directive.name.as_str(), &directive.block) {
            (
                "proxy_read_timeout" | "proxy_next_upstream_timeout" | "proxy_next_upstream",
                None,
            ) => {}
            ("if" | "limit_except", Some(_)) => self.leave(
                directive,
                "what depends on a request is not known to tables",
            ),
            ("limit_req" | "limit_conn" | "limit_rate", _) => {
                self.leave(directive, "admission is the conductor's to decide");
            }
            ("proxy_next_upstream_tries", _) => self.leave(
                directive,
                "how often something is repeated is the conductor's to decide",
            ),
            ("proxy_connect_timeout" | "proxy_send_timeout", _) => {
                self.leave(directive, "gateways have their own");
            }
            _ => self.leave(directive, "of no pool and no operation"),
        }
    }

    fn pass(&mut self, location: &Directive, pass: &Directive, text: &str, inherited: &Inherited) {
        let Some(target) = PassTarget::parse(text) else {
            self.record(location, Fate::Left, "it passes to no pool");
            return self.leave(pass, "only http:// and https:// are carried over");
        };
        if target.host.contains('$') {
            let why = "where it passes to is only known with a request";
            self.record(location, Fate::Left, why);
            return self.leave(pass, "a variable names no pool");
        }
        if !self.ensure_pool(target.host, pass) {
            self.record(location, Fate::Left, "it passes to no pool");
            let why = "no upstream of this name was read, and it is no address";
            return self.leave(pass, why);
        }
        match target.lost() {
            None => self.record(pass, Fate::Carried, "the pool of the operation"),
            Some(lost) => {
                let why = format!("the pool of the operation; {lost}");
                self.record(pass, Fate::Assumed, &why);
            }
        }
        self.add_operation(location, target.host, inherited);
    }

    /// A location may name a server itself: that is a pool of one. `false`: there is no such pool.
    fn ensure_pool(&mut self, host: &str, pass: &Directive) -> bool {
        if self.pools.contains_key(host) {
            return true;
        }
        let Ok(node) = address(host) else {
            return false;
        };
        let server = Server {
            node,
            weight: 1.0,
            place: pass.place.clone(),
        };
        let pool = Pool {
            name: host.to_string(),
            servers: vec![server],
            errors_until_avoided: DEFAULT_MAX_FAILS,
            ..Pool::default()
        };
        self.order.push(host.to_string());
        self.pools.insert(host.to_string(), pool);
        true
    }

    fn add_operation(&mut self, location: &Directive, pool: &str, inherited: &Inherited) {
        let written = location.arguments.join(" ");
        let name = self.operation_name(pool, &written);
        let (repeat, repeat_why) = retry_safety(inherited.next.as_deref());
        let timeout = inherited.next_timeout.or(inherited.read_timeout);
        let default_timeout = DEFAULT_READ_TIMEOUT.as_secs_f64();
        let timeout_why = match timeout {
            Some(_) => String::new(),
            None => format!("; integration_timeout is nginx's own {default_timeout:.0} s"),
        };
        let why = format!(
            "operation `{name}`, {repeat_why}{timeout_why}; latency_objective and billed_value are not in the file"
        );
        self.record(location, Fate::Assumed, &why);
        let operation = Operation {
            name,
            location: written,
            integration_timeout: timeout.unwrap_or(Span::from_seconds(default_timeout)),
            repeat,
        };
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.operations.push(operation);
        }
    }

    /// A name for an operation that settings accept, unlike the others of its pool.
    fn operation_name(&mut self, pool: &str, location: &str) -> String {
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
        name.truncate(MAX_OPERATION_NAME_BYTES);
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

/// Whether an operation may be retried. The file does not say what an operation does, so nothing is retried but
/// what the file allows to be retried whatever it does.
fn retry_safety(next: Option<&[String]>) -> (RetryClass, &'static str) {
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
