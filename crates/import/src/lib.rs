//! Reads nginx configurations.
//!
//! [`parse()`] turns text into directives, [`load()`] follows `include`, [`pools()`] makes pools of nodes with their
//! operations from them and records what became of every directive: carried over, assumed, or left with the
//! reason. nginx is neither needed nor run.

pub mod load;
pub mod parse;
pub mod pools;

pub use load::{load, IncludeError, Loaded, MissingInclude};
pub use parse::{parse, Directive, Place, SyntaxError};
pub use pools::{pools, DirectiveOutcome, Fate, Imported, Operation, Pool, Server};
