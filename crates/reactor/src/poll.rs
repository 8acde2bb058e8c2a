//! Readiness of file descriptors by epoll.

use rustix::event::{epoll, Timespec};
use rustix::fd::{AsFd, OwnedFd};
use rustix::io::Errno;
use std::io;
use std::mem::MaybeUninit;
use wheelspread::time::Span;

/// Identifies a registered file descriptor to the owner of the event loop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// The readiness of a registered file descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// The token of the registration.
    pub token: Token,
    /// Whether reading does not block.
    pub readable: bool,
    /// Whether writing does not block.
    pub writable: bool,
    /// Whether the peer closed the connection or the socket failed; reading shows which.
    pub closed: bool,
    /// Whether the peer closed its sending side, the connection, or the socket failed. Unlike the end that reading
    /// shows, this is known while bytes that the peer sent before are still unread.
    pub peer_closed: bool,
}

/// The conditions under which [`Poll::wait`] reports a file descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
    /// Level-triggered: reported by every wait while the descriptor is readable.
    Readable,
    /// Edge-triggered for reading and writing: reported once per change, so the owner must read and write until the
    /// descriptor would block.
    Edges,
}

/// An epoll instance.
#[derive(Debug)]
pub struct Poll {
    epoll: OwnedFd,
}

/// Maximum number of events fetched from the kernel by one wait.
const MAX_EVENTS_PER_WAIT: usize = 512;

impl Poll {
    /// Creates an epoll instance without registrations.
    pub fn new() -> io::Result<Poll> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        Ok(Poll { epoll })
    }

    /// Registers a file descriptor.
    pub fn add(&self, fd: impl AsFd, token: Token, interest: Interest) -> io::Result<()> {
        let flags = match interest {
            Interest::Readable => epoll::EventFlags::IN | epoll::EventFlags::RDHUP,
            Interest::Edges => {
                epoll::EventFlags::IN
                    | epoll::EventFlags::OUT
                    | epoll::EventFlags::RDHUP
                    | epoll::EventFlags::ET
            }
        };
        Ok(epoll::add(
            &self.epoll,
            fd,
            epoll::EventData::new_u64(token.0),
            flags,
        )?)
    }

    /// Removes the registration of a file descriptor.
    pub fn remove(&self, fd: impl AsFd) -> io::Result<()> {
        Ok(epoll::delete(&self.epoll, fd)?)
    }

    /// Waits until a file descriptor is ready or the timeout expires, and replaces the content of `ready` by the
    /// ready descriptors. An interruption by a signal is not an error.
    pub fn wait(&mut self, timeout: Span, ready: &mut Vec<Readiness>) -> io::Result<()> {
        ready.clear();
        let micros = timeout.micros().max(0);
        let timeout = Timespec {
            tv_sec: micros / 1_000_000,
            tv_nsec: (micros % 1_000_000) * 1000,
        };
        let mut buffer = [MaybeUninit::<epoll::Event>::uninit(); MAX_EVENTS_PER_WAIT];
        let events = match epoll::wait(&self.epoll, &mut buffer, Some(&timeout)) {
            Ok((events, _)) => events,
            Err(Errno::INTR) => return Ok(()),
            Err(error) => return Err(error.into()),
        };
        let broken = epoll::EventFlags::HUP | epoll::EventFlags::ERR;
        ready.extend(events.iter().map(|event| {
            let (flags, data) = (event.flags, event.data);
            Readiness {
                token: Token(data.u64()),
                readable: flags
                    .intersects(epoll::EventFlags::IN | epoll::EventFlags::RDHUP | broken),
                writable: flags.intersects(epoll::EventFlags::OUT | broken),
                closed: flags.intersects(broken),
                peer_closed: flags.intersects(epoll::EventFlags::RDHUP | broken),
            }
        }));
        Ok(())
    }
}
