//! Imports nginx configurations.
//!
//! [`parse()`] parses text to directives, [`load()`] reads files and resolves `include`, and [`pools()`] converts
//! directives to pools of nodes with their operations. It records an outcome with a reason for every directive:
//! carried over, assumed, or left out. nginx is not needed and not run.

pub mod load;
pub mod parse;
pub mod pools;

pub use load::{load, IncludeError, Loaded, MissingInclude};
pub use parse::{parse, Directive, SourcePosition, SyntaxError};
pub use pools::{pools, DirectiveOutcome, Disposition, Imported, Operation, Pool, Server};
