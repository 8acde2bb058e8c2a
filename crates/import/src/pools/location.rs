//! Converts `location` blocks: each becomes an operation of the pool that its `proxy_pass` names.

use super::notation::{address, span};
use super::{Disposition, Importer, Operation, Pool, Server, DEFAULT_MAX_FAILS};
use crate::parse::Directive;
use std::time::Duration;
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::RetryClass;

/// nginx's default of `proxy_read_timeout`.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(60);

const MAX_OPERATION_NAME_BYTES: usize = 80;

/// Settings that blocks inherit from their enclosing blocks and may override.
#[derive(Clone, Debug, Default)]
pub(super) struct Inherited {
    read_timeout: Option<Span>,
    next_upstream_timeout: Option<Span>,
    next_upstream: Option<Vec<String>>,
}

/// The parts of the URL in a `proxy_pass`.
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

    /// Describes the part of the URL that is not carried over, if there is one.
    fn not_carried_over(&self) -> Option<String> {
        if self.is_https {
            return Some("https is not carried over: proxies have their own settings for connections to nodes".to_string());
        }
        let path = self.path;
        (!path.is_empty()).then(|| {
            format!("its path `{path}` is not carried over: proxies forward paths unchanged")
        })
    }
}

impl Importer {
    /// Converts the blocks among directives, except upstreams.
    pub(super) fn blocks(&mut self, directives: &[Directive], from: &Inherited, http: bool) {
        let mut inherited = from.clone();
        // A setting applies to all locations of its block, including those that precede the setting.
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
                    self.record(
                        directive,
                        Disposition::Carried,
                        "searched for upstreams and locations",
                    );
                    self.blocks(block, &inherited, name == "http");
                }
                ("location", Some(block)) => self.location(directive, block, &inherited),
                ("stream", Some(_)) => self.skip(directive, "only HTTP is carried over"),
                ("events" | "mail", Some(_)) => {
                    self.skip(directive, "concerns nginx itself");
                }
                ("upstream", Some(_)) => self.skip(directive, "only HTTP is carried over"),
                _ => self.skip(directive, "does not belong to a pool or an operation"),
            }
        }
    }

    /// Applies a directive to the inherited settings, and records its outcome once, in the block that contains it.
    fn inherit(&mut self, directive: &Directive, inherited: &mut Inherited) {
        let (name, arguments) = (directive.name.as_str(), &directive.arguments);
        match (name, &arguments[..]) {
            ("proxy_read_timeout" | "proxy_next_upstream_timeout", [text]) => {
                let timeout = span(text);
                if timeout.is_none() && text != "0" {
                    return self.skip(directive, "not a valid duration");
                }
                if name == "proxy_read_timeout" {
                    inherited.read_timeout = timeout;
                } else {
                    inherited.next_upstream_timeout = timeout;
                }
                self.record(
                    directive,
                    Disposition::Carried,
                    "integration_timeout of the locations here",
                );
            }
            ("proxy_next_upstream", words) if !words.is_empty() => {
                inherited.next_upstream = Some(words.to_vec());
                self.record(
                    directive,
                    Disposition::Carried,
                    "retry class of the operations here",
                );
            }
            ("proxy_read_timeout" | "proxy_next_upstream_timeout" | "proxy_next_upstream", _) => {
                self.skip(directive, "its arguments can't be read");
            }
            _ => {}
        }
    }

    /// Converts a location to an operation, if it has a `proxy_pass` to a pool.
    fn location(&mut self, directive: &Directive, block: &[Directive], from: &Inherited) {
        let mut inherited = from.clone();
        for inner in block {
            self.inherit(inner, &mut inherited);
        }
        let mut passes = block.iter().filter(|inner| inner.name == "proxy_pass");
        let target = passes.find_map(|pass| pass.arguments.first().map(|text| (pass, text)));
        let nested = block.iter().any(|inner| inner.name == "location");
        match target {
            None if nested => self.record(
                directive,
                Disposition::Carried,
                "searched for upstreams and locations",
            ),
            None => self.record(directive, Disposition::Left, "it has no proxy_pass"),
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

    /// Records the outcome of a directive in a location, except its `proxy_pass` and nested locations.
    fn in_location(&mut self, directive: &Directive) {
        match (directive.name.as_str(), &directive.block) {
            (
                "proxy_read_timeout" | "proxy_next_upstream_timeout" | "proxy_next_upstream",
                None,
            ) => {}
            ("if" | "limit_except", Some(_)) => self.skip(
                directive,
                "tables can't express conditions that depend on a single request",
            ),
            ("limit_req" | "limit_conn" | "limit_rate", _) => {
                self.skip(directive, "the controller decides about admission");
            }
            ("proxy_next_upstream_tries", _) => self.skip(
                directive,
                "the controller decides about the number of attempts",
            ),
            ("proxy_connect_timeout" | "proxy_send_timeout", _) => {
                self.skip(directive, "proxies have timeouts of their own");
            }
            _ => self.skip(directive, "does not belong to a pool or an operation"),
        }
    }

    fn pass(&mut self, location: &Directive, pass: &Directive, text: &str, inherited: &Inherited) {
        let Some(target) = PassTarget::parse(text) else {
            self.record(location, Disposition::Left, "its proxy_pass names no pool");
            return self.skip(pass, "only http:// and https:// are carried over");
        };
        if target.host.contains('$') {
            let reason = "its proxy_pass depends on the request";
            self.record(location, Disposition::Left, reason);
            return self.skip(pass, "a variable can't name a pool");
        }
        if !self.ensure_pool(target.host, pass) {
            self.record(location, Disposition::Left, "its proxy_pass names no pool");
            let reason = "no upstream of this name was read, and it is not an address";
            return self.skip(pass, reason);
        }
        match target.not_carried_over() {
            None => self.record(pass, Disposition::Carried, "the pool of the operation"),
            Some(not_carried_over) => {
                let reason = format!("the pool of the operation; {not_carried_over}");
                self.record(pass, Disposition::Assumed, &reason);
            }
        }
        self.add_operation(location, target.host, inherited);
    }

    /// Ensures that the pool of a `proxy_pass` exists. A `proxy_pass` to an address makes a pool with one server.
    /// Returns `false` if there is no such pool and the name is not an address.
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
            position: pass.position.clone(),
        };
        let pool = Pool {
            name: host.to_string(),
            servers: vec![server],
            errors_until_ejected: DEFAULT_MAX_FAILS,
            ..Pool::default()
        };
        self.pool_names.push(host.to_string());
        self.pools.insert(host.to_string(), pool);
        true
    }

    fn add_operation(&mut self, location: &Directive, pool: &str, inherited: &Inherited) {
        let written = location.arguments.join(" ");
        let name = self.operation_name(pool, &written);
        let (retry_class, retry_reason) = retry_safety(inherited.next_upstream.as_deref());
        let timeout = inherited.next_upstream_timeout.or(inherited.read_timeout);
        let default_timeout = DEFAULT_READ_TIMEOUT.as_secs_f64();
        let timeout_reason = match timeout {
            Some(_) => String::new(),
            None => format!("; integration_timeout is nginx's own {default_timeout:.0} s"),
        };
        let reason = format!(
            "operation `{name}`, {retry_reason}{timeout_reason}; latency_objective and billed_value are not in the file"
        );
        self.record(location, Disposition::Assumed, &reason);
        let operation = Operation {
            name,
            location: written,
            integration_timeout: timeout.unwrap_or(Span::from_seconds(default_timeout)),
            retry_class,
        };
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.operations.push(operation);
        }
    }

    /// A name for an operation that settings accept and that is unique in its pool.
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
        let taken = self.operation_names.entry(pool.to_string()).or_default();
        let mut free = name.clone();
        let mut number = 2;
        while !taken.insert(free.clone()) {
            free = format!("{name}-{number}");
            number += 1;
        }
        free
    }
}

/// The retry class of an operation, with the reason. The file does not state what an operation does, so only an
/// operation with `non_idempotent` in `proxy_next_upstream`, and without `off`, counts as idempotent.
fn retry_safety(next_upstream: Option<&[String]>) -> (RetryClass, &'static str) {
    let has =
        |word: &str| next_upstream.is_some_and(|words| words.iter().any(|known| known == word));
    match (has("off"), has("non_idempotent")) {
        (false, true) => (RetryClass::Idempotent, "idempotent as non_idempotent says"),
        (true, _) => (RetryClass::SideEffecting, "side-effecting as off says"),
        (false, false) => (
            RetryClass::SideEffecting,
            "assumed to be side-effecting: set it to idempotent if every request may be retried",
        ),
    }
}
