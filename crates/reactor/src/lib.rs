//! Building blocks of an event loop on Linux: readiness by epoll, clocks, wake-ups from other threads, signals,
//! non-blocking sockets and directory watches.
//!
//! There is no async runtime: the owner of the event loop calls [`Poll::wait`] and handles what it returns.

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
