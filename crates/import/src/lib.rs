//! Reads nginx configurations: `parse` turns text into directives, `load` follows `include`, `pools` makes
//! pools of nodes with their operations out of them and accounts for every directive that was read: carried
//! over, assumed, or left with its reason. No nginx is needed or run.

pub mod load;
pub mod parse;
pub mod pools;

pub use load::{load, IncludeError, Loaded};
pub use parse::{parse, Directive, Place, SyntaxError};
pub use pools::{pools, Fate, Imported, Note, Operation, Pool, Server};
