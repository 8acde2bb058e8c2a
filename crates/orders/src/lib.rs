//! One conductor between a platform's messages and the module, without I/O. `message` reads what comes,
//! `door` says what a connection may say, `roster` knows nodes by name, `book` holds the module's tables
//! and what each stream was told of them, and `desk` drives the module with all of it. Weights, levels,
//! health, repeats and pace are the module's; here its events and actions only change their form.

mod book;
mod desk;
mod door;
mod message;
mod roster;
#[cfg(test)]
mod tests;

pub use desk::{Desk, Out, Reply};
pub use message::{load_of, BadMessage};
pub use roster::{List, Mention};

/// What the owner of the sockets calls a connection by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);
