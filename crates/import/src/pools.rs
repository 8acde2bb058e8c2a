//! From directives to pools: an `upstream` is a pool of nodes, each `location` that passes to it is an operation
//! of the pool. Every directive that was read has a recorded outcome, so that nothing is dropped silently.

mod controller_file;
mod location;
mod notation;
mod upstream;

use crate::load::Loaded;
use crate::parse::{Directive, Place};
use location::Inherited;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use wheelspread::ids::NodeId;
use wheelspread::time::Span;
use wheelspread_controller_core::deployment::RetryClass;

/// What became of a directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fate {
    /// Carried over as it is.
    Carried,
    /// Something had to be chosen that the file does not say; a person should check it.
    Assumed,
    /// Not carried over.
    Left,
}

/// A directive, what became of it, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DirectiveOutcome {
    /// Its file and line.
    pub at: String,
    /// The directive without its block.
    pub text: String,
    /// What became of it.
    pub fate: Fate,
    /// Why.
    pub why: String,
}

/// A server of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its address.
    pub node: NodeId,
    /// Its weight, 1 by default.
    pub weight: f64,
    /// Where it stands.
    pub place: Place,
}

/// An operation, made from a location.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// Its name in settings.
    pub name: String,
    /// The location's arguments as they are written.
    pub location: String,
    /// What a client waits at most.
    pub integration_timeout: Span,
    /// Whether a retry can take effect twice.
    pub repeat: RetryClass,
}

/// A pool, made from an upstream or from a location that names a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// The upstream's name, or the server.
    pub name: String,
    /// Its servers in their order.
    pub servers: Vec<Server>,
    /// Its operations in their order.
    pub operations: Vec<Operation>,
    /// Failures in a row until a proxy ejects a node.
    pub errors_until_avoided: u32,
    /// How long an unused connection stays open.
    pub connection_idle: Option<Span>,
}

/// What an import brought.
#[derive(Debug, Default)]
pub struct Imported {
    /// Pools that have servers and operations.
    pub pools: Vec<Pool>,
    /// What became of each directive.
    pub outcomes: Vec<DirectiveOutcome>,
    /// Directives that were read, includes among them.
    pub read: usize,
}

/// nginx's default of `max_fails`.
const DEFAULT_MAX_FAILS: u32 = 1;

const MAX_NAME_CHARS: usize = 100;

#[derive(Default)]
struct Importer {
    imported: Imported,
    pools: BTreeMap<String, Pool>,
    /// Names of pools in the order of the file.
    order: Vec<String>,
    /// Names of operations by pool.
    names: BTreeMap<String, BTreeSet<String>>,
}

/// Makes pools from directives, and records what became of each directive.
pub fn pools(loaded: &Loaded) -> Imported {
    let mut importer = Importer::default();
    let directives = &loaded.directives;
    importer.imported.read = directives.iter().map(Directive::count).sum::<usize>()
        + loaded.missing.len()
        + loaded.followed;
    for missing in &loaded.missing {
        importer.record(&missing.directive, Fate::Left, &missing.reason);
    }
    importer.upstreams(directives, true);
    importer.blocks(directives, &Inherited::default(), true);
    importer.finish()
}

impl Importer {
    fn record(&mut self, directive: &Directive, fate: Fate, why: &str) {
        self.imported.outcomes.push(DirectiveOutcome {
            at: directive.place.to_string(),
            text: directive.text(),
            fate,
            why: why.to_string(),
        });
    }

    /// Records that a directive is not carried over, and neither is each one in its block.
    fn leave(&mut self, directive: &Directive, why: &str) {
        self.record(directive, Fate::Left, why);
        for inner in directive.block.iter().flatten() {
            self.leave(inner, "it stands in a block that is left");
        }
    }

    /// Pools without servers or operations are left out.
    fn finish(self) -> Imported {
        let Importer {
            mut imported,
            mut pools,
            order,
            ..
        } = self;
        for name in order {
            let Some(pool) = pools.remove(&name) else {
                continue;
            };
            let lacks = if pool.servers.is_empty() {
                "server that can be listed"
            } else if pool.operations.is_empty() {
                "location"
            } else {
                imported.pools.push(pool);
                continue;
            };
            imported.outcomes.push(DirectiveOutcome {
                at: String::new(),
                text: format!("upstream {name}"),
                fate: Fate::Left,
                why: format!("no {lacks}: nothing is written for it"),
            });
        }
        imported
    }
}

impl Imported {
    /// The directives with one fate.
    pub fn of(&self, fate: Fate) -> impl Iterator<Item = &DirectiveOutcome> {
        let outcomes = self.outcomes.iter();
        outcomes.filter(move |outcome| outcome.fate == fate)
    }
}

/// A name that paths and settings accept: other characters become `-`.
pub fn plain(name: &str) -> String {
    let replaced = |c: char| {
        if c.is_ascii_alphanumeric() || c == '-' || c == '_' {
            c
        } else {
            '-'
        }
    };
    name.chars().map(replaced).take(MAX_NAME_CHARS).collect()
}
