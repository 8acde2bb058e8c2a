//! `upstream` blocks: a pool each, with its servers.

use super::notation::{address, span};
use super::{Fate, Importer, Pool, Server, DEFAULT_MAX_FAILS};
use crate::parse::Directive;
use std::collections::BTreeSet;

/// What the parameters of a `server` say.
struct ServerParameters<'a> {
    weight: f64,
    max_fails: u32,
    /// Parameters that are not carried over.
    ignored: Vec<&'a str>,
}

/// Why a `server` is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ServerError {
    #[error("marked down: it is not listed")]
    Down,
    #[error("a backup serves only when all others are down: list it when it should serve")]
    Backup,
    #[error("its weight can't be read")]
    Weight,
    #[error("its max_fails can't be read")]
    MaxFails,
}

fn server_parameters(words: &[String]) -> Result<ServerParameters<'_>, ServerError> {
    let mut parameters = ServerParameters {
        weight: 1.0,
        max_fails: DEFAULT_MAX_FAILS,
        ignored: Vec::new(),
    };
    for word in words {
        let (key, value) = word.split_once('=').unwrap_or((word, ""));
        match key {
            "down" => return Err(ServerError::Down),
            "backup" => return Err(ServerError::Backup),
            "weight" => match value.parse::<u32>() {
                Ok(number) if number > 0 => parameters.weight = f64::from(number),
                _ => return Err(ServerError::Weight),
            },
            "max_fails" => {
                parameters.max_fails = value.parse().map_err(|_| ServerError::MaxFails)?;
            }
            // `fail_timeout` among them: proxies have an ejection time of their own.
            _ => parameters.ignored.push(word),
        }
    }
    Ok(parameters)
}

impl Importer {
    /// Reads the `upstream` blocks. They come first, because a location may stand before the one it names.
    pub(super) fn upstreams(&mut self, directives: &[Directive], http: bool) {
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
            return self.leave(directive, "an upstream has one name");
        };
        if self.pools.contains_key(name) {
            return self.leave(directive, "an upstream of this name was read before");
        }
        self.record(directive, Fate::Carried, "a pool");
        let mut pool = Pool {
            name: name.clone(),
            ..Pool::default()
        };
        // The different `max_fails` of the servers.
        let mut max_fails: BTreeSet<u32> = BTreeSet::new();
        for inner in block {
            self.in_upstream(inner, &mut pool, &mut max_fails);
        }
        pool.errors_until_avoided = max_fails
            .iter()
            .next_back()
            .copied()
            .unwrap_or(DEFAULT_MAX_FAILS);
        if max_fails.len() > 1 {
            let why = format!(
                "servers have different max_fails: the largest, {}, goes for all",
                pool.errors_until_avoided
            );
            self.record(directive, Fate::Assumed, &why);
        }
        self.order.push(name.clone());
        self.pools.insert(name.clone(), pool);
    }

    fn in_upstream(
        &mut self,
        directive: &Directive,
        pool: &mut Pool,
        max_fails: &mut BTreeSet<u32>,
    ) {
        match (directive.name.as_str(), &directive.arguments[..]) {
            ("server", [text, rest @ ..]) => {
                if let Some(of_server) = self.server(directive, text, rest, pool) {
                    max_fails.insert(of_server);
                }
            }
            ("keepalive_timeout", [text]) => match span(text) {
                Some(idle) => {
                    pool.connection_idle = Some(idle);
                    self.record(directive, Fate::Carried, "proxies.connection_idle");
                }
                None => self.leave(directive, "no span of time"),
            },
            (
                "least_conn" | "ip_hash" | "hash" | "random" | "least_time" | "sticky" | "ntlm",
                _,
            ) => self.leave(
                directive,
                "how servers are picked is the conductor's to decide",
            ),
            ("keepalive" | "keepalive_requests" | "keepalive_time" | "queue", _) => {
                self.leave(directive, "gateways keep their connections by themselves");
            }
            ("zone" | "state" | "resolver" | "resolver_timeout", _) => {
                self.leave(directive, "of the workings of nginx itself");
            }
            _ => self.leave(directive, "not known in an upstream"),
        }
    }

    /// Lists a server; its `max_fails` if it was listed.
    fn server(
        &mut self,
        directive: &Directive,
        text: &str,
        words: &[String],
        pool: &mut Pool,
    ) -> Option<u32> {
        let node = address(text)
            .map_err(|error| self.leave(directive, &error.to_string()))
            .ok()?;
        let parameters = server_parameters(words)
            .map_err(|error| self.leave(directive, &error.to_string()))
            .ok()?;
        if pool.servers.iter().any(|server| server.node == node) {
            self.leave(
                directive,
                "listed before in this pool: a node is listed once",
            );
            return None;
        }
        pool.servers.push(Server {
            node,
            weight: parameters.weight,
            place: directive.place.clone(),
        });
        if parameters.ignored.is_empty() {
            self.record(directive, Fate::Carried, "a node");
        } else {
            let ignored = parameters.ignored.join(" ");
            let why = format!("a node; not carried over: {ignored}");
            self.record(directive, Fate::Assumed, &why);
        }
        Some(parameters.max_fails)
    }
}
