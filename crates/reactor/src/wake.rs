//! Wake-ups of an event loop by other threads and by signals.

use crate::{Interest, Poll, Token};
use rustix::event::{eventfd, EventfdFlags};
use rustix::fd::OwnedFd;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;

/// Wakes an event loop from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<OwnedFd>);

impl Waker {
    /// Creates and registers a waker; [`Poll::wait`] reports its wake-ups with `token`.
    pub fn new(poll: &Poll, token: Token) -> io::Result<Waker> {
        let fd = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        poll.add(&fd, token, Interest::Readable)?;
        Ok(Waker(Arc::new(fd)))
    }

    /// Wakes the event loop. May be called from any thread.
    pub fn wake(&self) {
        // Writing fails only if the counter is full, and then the event loop is being woken already.
        let _ = rustix::io::write(&*self.0, &1u64.to_ne_bytes());
    }

    /// Resets the waker after the event loop has handled the wake-up.
    pub fn reset(&self) {
        let _ = rustix::io::read(&*self.0, &mut [0u8; 8]);
    }
}

/// Signals that are delivered through sockets in an event loop.
#[derive(Debug)]
pub struct Signals {
    sources: Vec<SignalSource>,
}

/// SIGTERM.
pub const TERMINATE: i32 = 15;
/// SIGINT.
pub const INTERRUPT: i32 = 2;
/// SIGHUP.
pub const RELOAD: i32 = 1;

impl Signals {
    /// Registers handlers for `signals`; [`Poll::wait`] reports all of them with `token`.
    pub fn new(poll: &Poll, token: Token, signals: &[i32]) -> io::Result<Signals> {
        let mut sources = Vec::new();
        for signal in signals {
            let (receiver, sender) = UnixStream::pair()?;
            receiver.set_nonblocking(true)?;
            signal_hook::low_level::pipe::register(*signal, sender)?;
            poll.add(&receiver, token, Interest::Readable)?;
            sources.push(SignalSource {
                signal: *signal,
                receiver,
            });
        }
        Ok(Signals { sources })
    }

    /// The signals received since the last call.
    pub fn received(&self) -> Vec<i32> {
        self.sources
            .iter()
            .filter(|source| source.drain())
            .map(|source| source.signal)
            .collect()
    }
}

#[derive(Debug)]
struct SignalSource {
    signal: i32,
    receiver: UnixStream,
}

impl SignalSource {
    /// Returns whether the signal was received since the last call.
    fn drain(&self) -> bool {
        let mut buffer = [0u8; 64];
        matches!(io::Read::read(&mut &self.receiver, &mut buffer), Ok(count) if count > 0)
    }
}
