//! What an event loop needs of a Linux machine: readiness by epoll, clocks, wake-ups from other threads,
//! signals, non-blocking sockets and watched directories.
//!
//! There is no runtime: the owner of the loop calls [`Poll::wait`] and acts on what it returns.

mod clock;
mod poll;
mod socket;
mod wake;
mod watch;

pub use clock::{now, unix_seconds};
pub use poll::{Interest, Poll, Readiness, Token};
pub use socket::{accept, accept_up_to, connect, connect_from, listen, reset};
pub use wake::{Signals, Waker, INTERRUPT, RELOAD, TERMINATE};
pub use watch::{FsEvent, Watcher};

#[cfg(test)]
mod tests;
