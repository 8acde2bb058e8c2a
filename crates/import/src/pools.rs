//! Converts directives to pools: an `upstream` becomes a pool of nodes, and each `location` with a `proxy_pass` to it
//! becomes an operation of the pool. Every directive has a recorded outcome, so that none is dropped silently.

mod controller_file;
mod location;
mod notation;
mod upstream;

use crate::load::Loaded;
use crate::parse::{Directive, SourcePosition};
use location::Inherited;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::RetryClass;

/// Whether a directive was carried over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disposition {
    /// Carried over unchanged.
    Carried,
    /// Carried over with assumptions that the file does not state; the operator should check them.
    Assumed,
    /// Not carried over.
    Left,
}

/// The outcome of a directive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DirectiveOutcome {
    /// The directive's file and line; empty for a pool that is left out.
    #[serde(rename = "at")]
    pub position: String,
    /// The directive without its block.
    pub text: String,
    /// Whether the directive was carried over.
    #[serde(rename = "fate")]
    pub disposition: Disposition,
    /// Why it was left out, what was assumed, or what it became.
    #[serde(rename = "why")]
    pub reason: String,
}

/// A server of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// The server's address and port.
    pub node: NodeId,
    /// The server's weight, 1 by default.
    pub weight: f64,
    /// The position of the `server` directive, or of the `proxy_pass` that names the server.
    pub position: SourcePosition,
}

/// An operation, made from a location.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// The operation's name in settings.
    pub name: String,
    /// The location's arguments as they are written.
    pub location: String,
    /// The maximum time that a client waits for a response.
    pub integration_timeout: Span,
    /// Whether a retried request can take effect twice.
    pub retry_class: RetryClass,
}

/// A pool, made from an upstream or from a location that names a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// The name of the upstream, or the address in the `proxy_pass`.
    pub name: String,
    /// Servers in the order of the file.
    pub servers: Vec<Server>,
    /// Operations in the order of the file.
    pub operations: Vec<Operation>,
    /// The number of consecutive failures after which a proxy ejects a node.
    pub errors_until_ejected: u32,
    /// The time after which an unused connection is closed.
    pub idle_timeout: Option<Span>,
}

/// The result of an import.
#[derive(Debug, Default)]
pub struct Imported {
    /// Pools that have servers and operations.
    pub pools: Vec<Pool>,
    /// The outcome of each directive.
    pub outcomes: Vec<DirectiveOutcome>,
    /// The number of directives that were read, including includes.
    pub directive_count: usize,
}

/// nginx's default of `max_fails`.
const DEFAULT_MAX_FAILS: u32 = 1;

const MAX_NAME_CHARS: usize = 100;

#[derive(Default)]
struct Importer {
    imported: Imported,
    pools: BTreeMap<String, Pool>,
    /// Names of pools in the order of the file.
    pool_names: Vec<String>,
    /// Names of operations by pool.
    operation_names: BTreeMap<String, BTreeSet<String>>,
}

/// Converts directives to pools, and records the outcome of each directive.
pub fn pools(loaded: &Loaded) -> Imported {
    let mut importer = Importer::default();
    let directives = &loaded.directives;
    importer.imported.directive_count = directives.iter().map(Directive::count).sum::<usize>()
        + loaded.missing.len()
        + loaded.followed_includes;
    for missing in &loaded.missing {
        importer.record(&missing.directive, Disposition::Left, &missing.reason);
    }
    importer.upstreams(directives, true);
    importer.blocks(directives, &Inherited::default(), true);
    importer.finish()
}

impl Importer {
    fn record(&mut self, directive: &Directive, disposition: Disposition, reason: &str) {
        self.imported.outcomes.push(DirectiveOutcome {
            position: directive.position.to_string(),
            text: directive.text(),
            disposition,
            reason: reason.to_string(),
        });
    }

    /// Records that a directive and all directives in its block are not carried over.
    fn skip(&mut self, directive: &Directive, reason: &str) {
        self.record(directive, Disposition::Left, reason);
        for inner in directive.block.iter().flatten() {
            self.skip(inner, "in a block that is not carried over");
        }
    }

    /// Collects the pools; those without servers or operations are left out.
    fn finish(self) -> Imported {
        let Importer {
            mut imported,
            mut pools,
            pool_names,
            ..
        } = self;
        for name in pool_names {
            let Some(pool) = pools.remove(&name) else {
                continue;
            };
            let missing = if pool.servers.is_empty() {
                "server that can be listed"
            } else if pool.operations.is_empty() {
                "location"
            } else {
                imported.pools.push(pool);
                continue;
            };
            imported.outcomes.push(DirectiveOutcome {
                position: String::new(),
                text: format!("upstream {name}"),
                disposition: Disposition::Left,
                reason: format!("no {missing}: nothing is written for it"),
            });
        }
        imported
    }
}

impl Imported {
    /// The outcomes with one disposition.
    pub fn with_disposition(
        &self,
        disposition: Disposition,
    ) -> impl Iterator<Item = &DirectiveOutcome> {
        let outcomes = self.outcomes.iter();
        outcomes.filter(move |outcome| outcome.disposition == disposition)
    }
}

/// Converts a name to one that paths and settings accept: other characters become `-`, and the length is limited.
pub fn sanitized_name(name: &str) -> String {
    let replaced = |c: char| {
        if c.is_ascii_alphanumeric() || c == '-' || c == '_' {
            c
        } else {
            '-'
        }
    };
    name.chars().map(replaced).take(MAX_NAME_CHARS).collect()
}
