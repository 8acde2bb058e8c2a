//! Converts `upstream` blocks: each becomes a pool with its servers.

use super::notation::{address, span};
use super::{Disposition, Importer, Pool, Server, DEFAULT_MAX_FAILS};
use crate::parse::Directive;
use std::collections::BTreeSet;

/// The parameters of a `server` directive.
struct ServerParameters<'a> {
    weight: f64,
    max_fails: u32,
    /// Parameters that are not carried over.
    ignored: Vec<&'a str>,
}

/// Why a `server` is not listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ServerError {
    #[error("marked down: not listed")]
    Down,
    #[error(
        "a backup server serves only while all others are down: list it if it should serve always"
    )]
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
            // This includes `fail_timeout`, because proxies have an ejection time of their own.
            _ => parameters.ignored.push(word),
        }
    }
    Ok(parameters)
}

impl Importer {
    /// Converts the `upstream` blocks. They are converted before locations, because a location may precede the
    /// upstream that it names.
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
            return self.skip(directive, "an upstream needs exactly one name");
        };
        if self.pools.contains_key(name) {
            return self.skip(directive, "an upstream of this name already exists");
        }
        self.record(directive, Disposition::Carried, "a pool");
        let mut pool = Pool {
            name: name.clone(),
            ..Pool::default()
        };
        // The distinct values of `max_fails` among the servers.
        let mut max_fails: BTreeSet<u32> = BTreeSet::new();
        for inner in block {
            self.in_upstream(inner, &mut pool, &mut max_fails);
        }
        pool.errors_until_ejected = max_fails
            .iter()
            .next_back()
            .copied()
            .unwrap_or(DEFAULT_MAX_FAILS);
        if max_fails.len() > 1 {
            let reason = format!(
                "servers have different max_fails: the maximum, {}, is used for all",
                pool.errors_until_ejected
            );
            self.record(directive, Disposition::Assumed, &reason);
        }
        self.pool_names.push(name.clone());
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
                    pool.idle_timeout = Some(idle);
                    self.record(directive, Disposition::Carried, "proxies.connection_idle");
                }
                None => self.skip(directive, "not a valid duration"),
            },
            (
                "least_conn" | "ip_hash" | "hash" | "random" | "least_time" | "sticky" | "ntlm",
                _,
            ) => self.skip(directive, "the controller decides how nodes are selected"),
            ("keepalive" | "keepalive_requests" | "keepalive_time" | "queue", _) => {
                self.skip(directive, "proxies manage their own connections");
            }
            ("zone" | "state" | "resolver" | "resolver_timeout", _) => {
                self.skip(directive, "concerns nginx itself");
            }
            _ => self.skip(directive, "not supported in an upstream"),
        }
    }

    /// Adds a server to the pool and returns its `max_fails`; `None` if it was not added.
    fn server(
        &mut self,
        directive: &Directive,
        text: &str,
        words: &[String],
        pool: &mut Pool,
    ) -> Option<u32> {
        let node = address(text)
            .map_err(|error| self.skip(directive, &error.to_string()))
            .ok()?;
        let parameters = server_parameters(words)
            .map_err(|error| self.skip(directive, &error.to_string()))
            .ok()?;
        if pool.servers.iter().any(|server| server.node == node) {
            self.skip(
                directive,
                "already listed in this pool: a node is listed once",
            );
            return None;
        }
        pool.servers.push(Server {
            node,
            weight: parameters.weight,
            position: directive.position.clone(),
        });
        if parameters.ignored.is_empty() {
            self.record(directive, Disposition::Carried, "a node");
        } else {
            let ignored = parameters.ignored.join(" ");
            let reason = format!("a node; not carried over: {ignored}");
            self.record(directive, Disposition::Assumed, &reason);
        }
        Some(parameters.max_fails)
    }
}
